"""Backoff of connection attempts to the processor, and the status of the processor's start. Pure.

The processor may become ready long after the app server: it then accepts the connection, but sends its ready
message later. Such a start is slow, and the connection is kept. A start has failed if connections are refused
for a long time, or always closed before the ready message. Attempts then continue at the longest backoff,
without using the retry budget.
"""

from __future__ import annotations

from enum import Enum
from random import Random

from thymeyoke.slow_start.retry_budget import RetryBudget

FIRST_BACKOFF_SECONDS = 0.02
MAX_BACKOFF_SECONDS = 0.5  # attempts at this backoff need no retry budget
MAX_DOUBLINGS = 16  # of the backoff: bounds the exponent
START_TIMEOUT_SECONDS = 10.0  # without a ready message, after which the start is slow or has failed


class ConnectorStatus(Enum):
    """Status of the processor's start."""

    CONNECTING = "connecting"  # within the start timeout
    SLOW = "slow"  # connected, but no ready message within the start timeout
    READY = "ready"
    FAILED = "failed"  # not connected within the start timeout


class Connector:
    """Tracks the attempts of one process to connect to its processor."""

    def __init__(self, now: float, rng: Random, budget: RetryBudget) -> None:
        self.rng, self.budget = rng, budget
        self.failures = 0  # consecutive ones since the last ready message
        self.is_connected = self.is_ready = False
        self.ready_at = now  # when the processor was last ready, or this object was created

    def status(self, now: float) -> ConnectorStatus:
        """The status of the processor's start."""
        if self.is_ready:
            return ConnectorStatus.READY
        if now < self.ready_at + START_TIMEOUT_SECONDS:
            return ConnectorStatus.CONNECTING
        return ConnectorStatus.SLOW if self.is_connected else ConnectorStatus.FAILED

    def connected(self, now: float) -> None:
        """Note that the processor accepted the connection."""
        self.is_connected = True

    def ready(self, now: float) -> None:
        """Note the processor's ready message."""
        self.is_ready = True
        self.failures, self.ready_at = 0, now

    def connect_failed(self, now: float) -> float:
        """Note that a connection attempt failed; returns the seconds until the next one."""
        self.failures += 1
        return self._backoff(now)

    def connection_lost(self, now: float) -> float:
        """Note that the connection was closed; returns the seconds until the next attempt.

        After a ready message the next attempt is a first attempt, which needs no retry budget.
        """
        if self.is_ready:
            self.ready_at = now
        else:
            self.failures += 1
        self.is_connected = self.is_ready = False
        return self._backoff(now)

    def _backoff(self, now: float) -> float:
        if not self.failures:
            return FIRST_BACKOFF_SECONDS
        longest = min(MAX_BACKOFF_SECONDS, FIRST_BACKOFF_SECONDS * 2.0 ** min(self.failures, MAX_DOUBLINGS))
        if self.status(now) is ConnectorStatus.FAILED or not self.budget.take(now):
            return self.rng.uniform(MAX_BACKOFF_SECONDS / 2, MAX_BACKOFF_SECONDS)
        return self.rng.uniform(FIRST_BACKOFF_SECONDS / 2, longest)
