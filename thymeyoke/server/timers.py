"""The timers that the policy sets, and the gauges that are read shortly before each expires. Pure."""

from __future__ import annotations

from heapq import heappop, heappush
from typing import NamedTuple

GAUGE_LEAD_SECONDS = 0.02  # gauges are read this long before a timer, which never waits for them


class Timer(NamedTuple):
    """A moment at which something is due."""

    at: float
    sequence: int
    mark: int | None  # of the policy's timer; None: the gauges are to be read


class PolicyTimers:
    """A heap of timers, emptied as their moments pass."""

    def __init__(self) -> None:
        self.heap: list[Timer] = []
        self.sequence = 0

    def set(self, now: float, mark: int, span: float) -> None:
        """Set a timer, and the reading of the gauges before it."""
        self.sequence += 1
        at = now + span
        heappush(self.heap, Timer(at - GAUGE_LEAD_SECONDS, self.sequence, None))
        heappush(self.heap, Timer(at, self.sequence, mark))

    def expire_by(self, latest: float) -> None:
        """Let all expire by `latest`."""
        latest_reading = latest - GAUGE_LEAD_SECONDS
        self.heap = sorted(
            timer._replace(at=min(timer.at, latest_reading if timer.mark is None else latest))
            for timer in self.heap
        )

    def take_expired(self, now: float) -> Timer | None:
        """The next timer that is due."""
        return heappop(self.heap) if self.heap and self.heap[0].at <= now else None

    def next_moments(self) -> list[float]:
        """When the next one is due, if any."""
        return [self.heap[0].at] if self.heap else []
