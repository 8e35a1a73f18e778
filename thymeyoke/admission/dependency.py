"""Limits on dependency calls in flight, and detection of slow calls."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable

from thymeyoke.admission.request import PendingRequest
from thymeyoke.admission.run_times import NEWEST_WEIGHT
from thymeyoke.admission.settings import DependencyKind, DependencySettings

USABLE_CONCURRENCY_SHARE = 0.85  # of the fair concurrency: most calls in flight, including abandoned ones
SLOW_FACTOR = 2.5  # calls are slow above this multiple of their usual time
OVERLOADED_FACTOR = 5  # above this multiple of their usual time fewer calls are sent
# Window of the steady mean, whose error is a quarter of the value if single calls vary by their whole mean.
STEADY_MEAN_CALLS = 20
RECENT_TIME_WEIGHT = 2 * NEWEST_WEIGHT  # of the newest call in the recent time
WINDOW_STEP = NEWEST_WEIGHT  # calls by which the window grows; share of it by which it shrinks
USUAL_TIME_RISE_WEIGHT = NEWEST_WEIGHT / 100  # of the recent time: limits how fast the usual time rises


class CallTimes:
    """Statistics of dependency call times; all zero until enough calls have returned."""

    def __init__(self, now: float) -> None:
        self.usual = self.steady = self.recent = 0.0  # seconds
        self.steady_calls = 0  # calls in the steady mean, at most STEADY_MEAN_CALLS
        self.last_return_at = now

    def learn(self, now: float, took: float) -> None:
        """Update the statistics with the time of a call that returned.

        The usual time is the lowest steady mean, as single calls vary too much to detect slowness.
        """
        self.last_return_at = now
        self.steady_calls = min(self.steady_calls + 1, STEADY_MEAN_CALLS)
        self.recent += max(RECENT_TIME_WEIGHT, 1 / self.steady_calls) * (took - self.recent)
        self.steady += (took - self.steady) / self.steady_calls
        if self.steady_calls >= STEADY_MEAN_CALLS / 2:
            rise = USUAL_TIME_RISE_WEIGHT * (self.recent - self.usual)
            self.usual = min(self.steady, (self.usual or self.steady) + rise)

    def watch(self, now: float, ages: Iterable[float], is_idle: bool) -> None:
        """Count calls in flight before they end, unless others have returned meanwhile.

        A single lost call says nothing about the others. While no calls are made the recent time decays to
        the usual one, so that calls are attempted again.
        """
        for age in ages:
            self.recent += RECENT_TIME_WEIGHT * max(0.0, min(age, now - self.last_return_at) - self.recent)
        if is_idle:
            self.recent += NEWEST_WEIGHT * ((self.usual or self.recent) - self.recent)

    @property
    def is_slow(self) -> bool:
        """Whether calls take much longer than usual."""
        return 0 < SLOW_FACTOR * self.usual < self.recent

    @property
    def is_overloaded(self) -> bool:
        """Whether calls take so long that fewer of them should be sent."""
        return 0 < OVERLOADED_FACTOR * self.usual < self.recent


class CallWindow:
    """Window of calls in flight; abandoned calls count for a while, as they occupy the dependency."""

    def __init__(self, settings: DependencySettings, now: float) -> None:
        is_shared = settings.kind is DependencyKind.SHARED
        self.max_size = settings.fair_concurrency * USABLE_CONCURRENCY_SHARE if is_shared else float("inf")
        self.size = self.max_size  # calls that may be in flight; shrinks while they are slow
        self.abandoned_call_span, self.averaging_span = settings.abandoned_call_span, settings.averaging_span
        self.in_flight = 0
        self.abandoned: deque[float] = deque()  # latest end of each abandoned call; passed ones are removed
        self.mean, self.updated_at = 0.0, now  # average number of calls that occupy the dependency

    def abandon(self, now: float) -> None:
        """Note that a call was abandoned; it may still occupy the dependency."""
        self.abandoned.append(now + self.abandoned_call_span)

    def update(self, now: float) -> None:
        """Update the average number of calls that occupy the dependency."""
        while self.abandoned and self.abandoned[0] <= now:
            self.abandoned.popleft()
        weight = min(1.0, (now - self.updated_at) / self.averaging_span) if self.averaging_span else 1.0
        self.mean += weight * (self.in_flight + len(self.abandoned) - self.mean)
        self.updated_at = now

    def has_capacity(self) -> bool:
        """Whether one more call may be sent. A maximum below one call limits the average instead."""
        occupied = self.in_flight + len(self.abandoned)
        if self.max_size >= 1:
            return occupied + 1 <= self.size
        return not occupied and self.mean < self.max_size / 2

    def resize(self, shrinks: bool) -> None:
        """Shrink the window by a share or grow it by a step, between one call and its maximum."""
        change = -self.size if shrinks else 1
        self.size = max(1.0, min(self.max_size, self.size + change * WINDOW_STEP))


class DependencyLimiter:
    """Decides when dependency calls may be sent, and predicts when they return."""

    def __init__(self, settings: DependencySettings, now: float) -> None:
        self.window, self.times = CallWindow(settings, now), CallTimes(now)
        self.waiting: list[PendingRequest] = []  # requests whose calls are not sent or given up yet

    def learn(self, now: float, took: float) -> None:
        """Update statistics and window with the time of a call that returned.

        The window shrinks while the dependency is overloaded: more calls would keep it overloaded and slow.
        """
        self.times.learn(now, took)
        self.window.resize(shrinks=self.times.is_overloaded)

    def watch(self, now: float, ages: list[float]) -> None:
        """Update the statistics with calls in flight; `ages`: seconds since each of them was sent."""
        self.times.watch(now, ages, is_idle=not self.window.in_flight and not self.waiting)

    @property
    def is_slow(self) -> bool:
        """Whether calls take much longer than usual."""
        return self.times.is_slow

    def predicted_wait(self, calls_ahead: int) -> float:
        """Seconds until a call returns that has this many calls waiting ahead of it."""
        queue = self.window.in_flight + calls_ahead
        return self.times.recent * (1 + queue / max(1.0, self.window.size))
