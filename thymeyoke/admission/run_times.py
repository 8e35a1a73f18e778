"""Recent run times of each request class, on the cores and off them, and what to expect of a request."""

from __future__ import annotations

from typing import NamedTuple

from thymeyoke.admission.events import Request

NEWEST_WEIGHT = 0.1  # of the newest value in a moving average
FADE_FACTOR = 1 - NEWEST_WEIGHT / 2


class RunTimeEstimate(NamedTuple):
    """What is expected of one run; all zero without history."""

    on_core: float = 0.0  # seconds
    off_core: float = 0.0  # seconds in dependency calls
    error: float = 0.0  # mean error of both together, in seconds
    calls: float = 0.0  # dependency calls


class RunTimeSample(NamedTuple):
    """What one run took."""

    on_core: float
    off_core: float
    error: float  # seconds by which the estimate was off
    work_hint: float
    calls: float


class RunTimeEstimator:
    """Moving averages by request class, scaled by the work hint where requests carry one.

    The scale is the mean of times over the mean of hints: a mean of ratios is ruled by the smallest requests.
    """

    def __init__(self, class_count: int) -> None:
        self.means: list[RunTimeSample | None] = [None] * class_count

    def learn(
        self, request: Request, estimate: RunTimeEstimate, on_core: float, off_core: float, calls: int
    ) -> None:
        """Take in what a run took, beside what was expected of it."""
        error = abs(on_core + off_core - estimate.on_core - estimate.off_core) if estimate.on_core else 0.0
        newest = RunTimeSample(on_core, off_core, error, request.work_hint, calls)
        mean = self.means[request.class_index] or newest
        self.means[request.class_index] = RunTimeSample(
            *(old + NEWEST_WEIGHT * (new - old) for old, new in zip(mean, newest, strict=True))
        )

    def fade(self, class_index: int) -> None:
        """Shorten the times of a class of which nothing runs.

        Times from a bad moment would otherwise reject all of its requests for ever.
        """
        if mean := self.means[class_index]:
            self.means[class_index] = mean._replace(
                on_core=FADE_FACTOR * mean.on_core,
                off_core=FADE_FACTOR * mean.off_core,
                error=FADE_FACTOR * mean.error,
            )

    def estimate(self, request: Request) -> RunTimeEstimate:
        """What a run of this request is expected to take."""
        mean = self.means[request.class_index]
        if mean is None:
            return RunTimeEstimate()
        scale = request.work_hint / mean.work_hint if request.work_hint and mean.work_hint else 1.0
        return RunTimeEstimate(mean.on_core * scale, mean.off_core, mean.error * scale, mean.calls)

    def on_core_means(self) -> list[float]:
        """Mean time on a core of each class that has history."""
        return [mean.on_core for mean in self.means if mean]
