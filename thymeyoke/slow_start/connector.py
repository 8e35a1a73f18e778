"""When the link to the processor is tried again, and whether a start is slow or has failed. Pure.

The processor may come up long after the app server: then the link is taken and `hi` waits. Such a start is
slow, and nothing more is to be done for it than to hold the link. One whose link is refused, or closed before
`hi` each time, for long, has failed: it is still tried, at the floor, and leaves the budget to the others.
"""

from __future__ import annotations

from enum import Enum
from random import Random

from thymeyoke.slow_start.retry_budget import Budget

FIRST, LAST = 0.02, 0.5  # seconds between tries to connect; the last is the floor, and needs no budget
DOUBLINGS = 16  # of a pause at the most: far past LAST, and far below what a float holds
PATIENCE = 10.0  # seconds: a start that is neither up nor held for so long has failed


class Standing(Enum):
    COMING = "coming"  # too soon to tell
    SLOW = "slow"  # the link is held, and the processor has not said that it is up
    UP = "up"
    FAILED = "failed"


class Link:
    """One process's tries to reach its processor. Pauses are at most LAST, and at least half of FIRST."""

    def __init__(self, now: float, rng: Random, budget: Budget) -> None:
        self.rng, self.budget = rng, budget
        self.failures = 0  # in a row; the processor's `hi` ends it
        self.held = self.hi = False
        self.since = now  # when it was up last, or began

    def standing(self, now: float) -> Standing:
        if self.hi:
            return Standing.UP
        if now < self.since + PATIENCE:
            return Standing.COMING
        return Standing.SLOW if self.held else Standing.FAILED

    def taken(self, now: float) -> None:
        self.held = True

    def up(self, now: float) -> None:
        self.hi = True
        self.failures, self.since = 0, now

    def refused(self, now: float) -> float:
        """Not connected; seconds until the next try."""
        self.failures += 1
        return self._pause(now)

    def lost(self, now: float) -> float:
        """The link ended; seconds until the next try. After a `hi` that one is a first try, and free."""
        if self.hi:
            self.since = now
        else:
            self.failures += 1
        self.held = self.hi = False
        return self._pause(now)

    def _pause(self, now: float) -> float:
        if not self.failures:
            return FIRST
        top = min(LAST, FIRST * 2.0 ** min(self.failures, DOUBLINGS))
        if self.standing(now) is Standing.FAILED or not self.budget.take(now):
            return self.rng.uniform(LAST / 2, LAST)
        return self.rng.uniform(FIRST / 2, top)
