"""Run time estimates for requests, from the recent run times of their class on and off the cores."""

from __future__ import annotations

from typing import NamedTuple

from thymeyoke.admission.events import Request

NEWEST_WEIGHT = 0.1  # of the newest value in a moving average
DECAY_FACTOR = 1 - NEWEST_WEIGHT / 2  # of the mean times, for each rejection while nothing runs


class RunTimeEstimate(NamedTuple):
    """Expected times of one run; all zero without history."""

    on_core: float = 0.0  # seconds
    off_core: float = 0.0  # seconds in dependency calls
    error: float = 0.0  # mean absolute error of the total time, in seconds
    calls: float = 0.0  # number of dependency calls


class RunTimeSample(NamedTuple):
    """Measured times of one run, or means over runs."""

    on_core: float  # seconds
    off_core: float  # seconds in dependency calls
    error: float  # seconds by which the estimate of the total time was off
    work_hint: float  # seconds of a standard core
    calls: float  # number of dependency calls


class RunTimeEstimator:
    """Moving averages by request class, scaled by the work hint of requests that carry one.

    The scale is the ratio of the mean time to the mean hint: a mean of ratios would be dominated by the
    smallest requests.
    """

    def __init__(self, class_count: int) -> None:
        self.means: list[RunTimeSample | None] = [None] * class_count

    def learn(
        self, request: Request, estimate: RunTimeEstimate, on_core: float, off_core: float, calls: int
    ) -> None:
        """Update the averages with the measured times of a run and the error of its estimate."""
        error = abs(on_core + off_core - estimate.on_core - estimate.off_core) if estimate.on_core else 0.0
        newest = RunTimeSample(on_core, off_core, error, request.work_hint, calls)
        mean = self.means[request.class_index] or newest
        self.means[request.class_index] = RunTimeSample(
            *(old + NEWEST_WEIGHT * (new - old) for old, new in zip(mean, newest, strict=True))
        )

    def decay(self, class_index: int) -> None:
        """Shorten the times of a request class.

        Otherwise long times from a short disturbance could reject all requests of the class forever, as no
        further run would correct them.
        """
        if mean := self.means[class_index]:
            self.means[class_index] = mean._replace(
                on_core=DECAY_FACTOR * mean.on_core,
                off_core=DECAY_FACTOR * mean.off_core,
                error=DECAY_FACTOR * mean.error,
            )

    def estimate(self, request: Request) -> RunTimeEstimate:
        """Estimate the run time of a request."""
        mean = self.means[request.class_index]
        if mean is None:
            return RunTimeEstimate()
        scale = request.work_hint / mean.work_hint if request.work_hint and mean.work_hint else 1.0
        return RunTimeEstimate(mean.on_core * scale, mean.off_core, mean.error * scale, mean.calls)

    def on_core_means(self) -> list[float]:
        """Mean seconds on a core of each class with history."""
        return [mean.on_core for mean in self.means if mean]
