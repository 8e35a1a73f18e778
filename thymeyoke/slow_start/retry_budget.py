"""The retry budget of a process, shared by the clients of registry, processor and dependency. Pure.

Successes fill it and retries draw on it; first attempts are free. Within T seconds with S successes at most
size + REFILL_PER_SUCCESS * S + T / PROBE_SECONDS + 1 retries are admitted.
"""

from __future__ import annotations

REFILL_PER_SUCCESS = 0.2  # retries: in the long run one retry for five successes
MIN_SIZE = 16.0  # retries
PROBE_SECONDS = 2.0  # after the last retry, one is admitted even if the budget is empty


class RetryBudget:
    """A budget of retries; times are seconds of a monotonic clock."""

    def __init__(self, now: float, size: float = MIN_SIZE) -> None:
        """`size`: retries in the full budget, at least `MIN_SIZE`."""
        self.size = max(MIN_SIZE, size)
        self.available, self.probe_at = self.size, now

    def record_success(self) -> None:
        """Note a success."""
        self.available = min(self.size, self.available + REFILL_PER_SUCCESS)

    def can_retry(self, now: float) -> bool:
        """Whether a retry is admitted now."""
        return self.available >= 1 or now >= self.probe_at

    def take(self, now: float) -> bool:
        """Admit a retry, if possible, and charge it; returns whether it is admitted."""
        if not self.can_retry(now):
            return False
        if self.available >= 1:
            self.available -= 1
        self.probe_at = now + PROBE_SECONDS
        return True

    def next_retry_at(self, now: float) -> float:
        """Earliest time at which a retry is admitted, if there is no success before."""
        return now if self.available >= 1 else max(now, self.probe_at)
