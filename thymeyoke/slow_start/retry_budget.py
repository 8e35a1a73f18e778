"""One retry budget a process, shared by the registry, the processor's link and the dependency. Pure.

What worked fills it, retries draw on it; first attempts are free. Within any span T with W that worked, at
most size + REFILL_PER_SUCCESS * W + T / PROBE_SECONDS + 1 retries go out.
"""

from __future__ import annotations

REFILL_PER_SUCCESS = 0.2  # of a retry: in the long run one retry for five that worked
MIN_SIZE = 16.0  # retries that a full budget holds at least
PROBE_SECONDS = 2.0  # after which one retry is let through though nothing works


class RetryBudget:
    """Moments are seconds of one clock that never steps back."""

    def __init__(self, now: float, size: float = MIN_SIZE) -> None:
        """`size`: retries that it holds when full."""
        self.size = max(MIN_SIZE, size)
        self.available, self.probe_at = self.size, now

    def record_success(self) -> None:
        """Something worked."""
        self.available = min(self.size, self.available + REFILL_PER_SUCCESS)

    def can_retry(self, now: float) -> bool:
        """Whether a retry may go out now."""
        return self.available >= 1 or now >= self.probe_at

    def take(self, now: float) -> bool:
        """Whether a retry may go out now; it is accounted for if so."""
        if not self.can_retry(now):
            return False
        if self.available >= 1:
            self.available -= 1
        self.probe_at = now + PROBE_SECONDS
        return True

    def next_retry_at(self, now: float) -> float:
        """The moment from which on one may go out, if nothing works until then."""
        return now if self.available >= 1 else max(now, self.probe_at)
