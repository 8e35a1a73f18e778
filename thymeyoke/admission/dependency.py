"""Limits on dependency calls: how many may be in flight, and how slow they are."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable

from thymeyoke.admission.request import PendingRequest
from thymeyoke.admission.run_times import NEWEST_WEIGHT
from thymeyoke.admission.settings import DependencyKind, DependencySettings

FAIR_CONCURRENCY_SHARE = 0.85  # of the fair concurrency: the most calls in flight, abandoned ones included
SLOW_FACTOR = 2.5  # calls are slow past this multiple of their usual time
OVERLOADED_FACTOR = 5  # past this multiple of it fewer calls are sent
STEADY_CALLS = 20  # calls of the steady mean: it is off by a quarter where single ones are by all of it
RECENT_WEIGHT = 2 * NEWEST_WEIGHT
WINDOW_STEP = NEWEST_WEIGHT  # calls by which the window grows, and its share by which it shrinks
USUAL_RISE = NEWEST_WEIGHT / 100  # of the difference, a call: how fast the usual time may rise


class CallTimes:
    """Times of dependency calls; all zero until enough of them are back."""

    def __init__(self, now: float) -> None:
        self.usual = self.steady = self.recent = 0.0  # seconds
        self.steady_calls = 0  # calls that the steady mean is made of, at most STEADY_CALLS
        self.last_return_at = now

    def learn(self, now: float, took: float) -> None:
        """Take in the time of a call that came back.

        The usual time is the lowest steady mean: single calls differ too much to tell slowness from.
        """
        self.last_return_at = now
        self.steady_calls = min(self.steady_calls + 1, STEADY_CALLS)
        self.recent += max(RECENT_WEIGHT, 1 / self.steady_calls) * (took - self.recent)
        self.steady += (took - self.steady) / self.steady_calls
        if self.steady_calls >= STEADY_CALLS / 2:
            rise = USUAL_RISE * (self.recent - self.usual)
            self.usual = min(self.steady, (self.usual or self.steady) + rise)

    def watch(self, now: float, ages: Iterable[float], is_idle: bool) -> None:
        """Let calls in flight count before they end, if none came back since.

        A call that is lost tells nothing of the rest. While idle the mean falls back, so that calls are tried
        again.
        """
        for age in ages:
            self.recent += RECENT_WEIGHT * max(0.0, min(age, now - self.last_return_at) - self.recent)
        if is_idle:
            self.recent += NEWEST_WEIGHT * ((self.usual or self.recent) - self.recent)

    @property
    def is_slow(self) -> bool:
        """Whether calls take much longer than usual."""
        return 0 < SLOW_FACTOR * self.usual < self.recent

    @property
    def is_overloaded(self) -> bool:
        """Whether calls take so long that fewer should be sent."""
        return 0 < OVERLOADED_FACTOR * self.usual < self.recent


class CallWindow:
    """Calls in flight and how many may be; abandoned ones occupy the dependency for a while."""

    def __init__(self, settings: DependencySettings, now: float) -> None:
        is_shared = settings.kind is DependencyKind.SHARED
        self.bound = settings.fair_concurrency * FAIR_CONCURRENCY_SHARE if is_shared else float("inf")
        self.size = self.bound  # calls to have in flight; shrinks while they are slow
        self.abandoned_call_span, self.averaging_span = settings.abandoned_call_span, settings.averaging_span
        self.in_flight = 0
        self.abandoned: deque[float] = deque()  # when each is surely over; emptied as these moments pass
        self.mean, self.updated_at = 0.0, now

    def abandon(self, now: float) -> None:
        """A call is abandoned, and may stay in the dependency's hands."""
        self.abandoned.append(now + self.abandoned_call_span)

    def update(self, now: float) -> None:
        """Keep the average number of calls in the dependency's hands."""
        while self.abandoned and self.abandoned[0] <= now:
            self.abandoned.popleft()
        weight = min(1.0, (now - self.updated_at) / self.averaging_span) if self.averaging_span else 1.0
        self.mean += weight * (self.in_flight + len(self.abandoned) - self.mean)
        self.updated_at = now

    def has_capacity(self) -> bool:
        """Whether one more may go out. A bound below one call is kept by the average instead."""
        occupied = self.in_flight + len(self.abandoned)
        if self.bound >= 1:
            return occupied + 1 <= self.size
        return not occupied and self.mean < self.bound / 2

    def resize(self, shrinks: bool) -> None:
        """Shrink the window by a share, or grow it by a step, within one call and its bound."""
        change = -self.size if shrinks else 1
        self.size = max(1.0, min(self.bound, self.size + change * WINDOW_STEP))


class DependencyLimiter:
    """Decides when dependency calls may go out, and predicts when they come back."""

    def __init__(self, settings: DependencySettings, now: float) -> None:
        self.window, self.times = CallWindow(settings, now), CallTimes(now)
        self.waiting: list[PendingRequest] = []  # emptied as calls go out or are given up

    def learn(self, now: float, took: float) -> None:
        """Take in the time of a call that came back.

        An overloaded dependency does less: slow calls that keep it overloaded would keep themselves slow.
        """
        self.times.learn(now, took)
        self.window.resize(shrinks=self.times.is_overloaded)

    def watch(self, now: float, ages: list[float]) -> None:
        """`ages`: seconds since each call in flight went out."""
        self.times.watch(now, ages, is_idle=not self.window.in_flight and not self.waiting)

    @property
    def is_slow(self) -> bool:
        """Whether calls take much longer than usual."""
        return self.times.is_slow

    def predicted_wait(self, calls_ahead: int) -> float:
        """Seconds until a call with this many waiting ahead of it is back."""
        queue = self.window.in_flight + calls_ahead
        return self.times.recent * (1 + queue / max(1.0, self.window.size))
