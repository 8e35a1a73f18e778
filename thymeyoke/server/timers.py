"""The policy's timers and the gauge readings shortly before each of them, without I/O."""

from __future__ import annotations

from heapq import heappop, heappush
from typing import NamedTuple

GAUGE_LEAD_SECONDS = 0.02  # gauges are requested this long before a timer, which does not wait for them


class Timer(NamedTuple):
    """A timer of the policy, or a gauge reading that is due."""

    at: float
    sequence: int
    mark: int | None  # the mark of the policy's timer; None for a gauge reading


class PolicyTimers:
    """A heap of pending timers."""

    def __init__(self) -> None:
        self.heap: list[Timer] = []
        self.sequence = 0

    def set(self, now: float, mark: int, span: float) -> None:
        """Set a timer and the gauge reading before it."""
        self.sequence += 1
        at = now + span
        heappush(self.heap, Timer(at - GAUGE_LEAD_SECONDS, self.sequence, None))
        heappush(self.heap, Timer(at, self.sequence, mark))

    def expire_by(self, latest: float) -> None:
        """Make all timers expire by `latest`."""
        latest_reading = latest - GAUGE_LEAD_SECONDS
        self.heap = sorted(
            timer._replace(at=min(timer.at, latest_reading if timer.mark is None else latest))
            for timer in self.heap
        )

    def take_expired(self, now: float) -> Timer | None:
        """Take the next timer that is due, if any."""
        return heappop(self.heap) if self.heap and self.heap[0].at <= now else None

    def next_moments(self) -> list[float]:
        """The time of the next timer, as a list that is empty if there is none."""
        return [self.heap[0].at] if self.heap else []
