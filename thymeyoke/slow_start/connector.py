"""When to reconnect to the processor, and whether its start is slow or has failed. Pure.

The processor may come up long after the app server: then it accepts the connection and its ready message
comes later. Such a start is slow, and the connection is kept. A start whose connection is refused for long,
or closed each time before the ready message, has failed: it is still retried, at the longest pause and
without taking from the retry budget.
"""

from __future__ import annotations

from enum import Enum
from random import Random

from thymeyoke.slow_start.retry_budget import RetryBudget

FIRST_BACKOFF_SECONDS = 0.02
MAX_BACKOFF_SECONDS = 0.5  # a pause of this length needs no budget
MAX_DOUBLINGS = 16  # of a pause: keeps the power within a float
START_TIMEOUT_SECONDS = 10.0  # without a connection or a ready message: the start has failed


class ConnectorStatus(Enum):
    """How far the processor's start has come."""

    CONNECTING = "connecting"  # within the start timeout
    SLOW = "slow"  # connected, without a ready message
    READY = "ready"
    FAILED = "failed"


class Connector:
    """The attempts of one process to reach its processor."""

    def __init__(self, now: float, rng: Random, budget: RetryBudget) -> None:
        self.rng, self.budget = rng, budget
        self.failures = 0  # in a row, until a ready message
        self.is_connected = self.is_ready = False
        self.ready_at = now  # when it was ready last, or this object was made

    def status(self, now: float) -> ConnectorStatus:
        """How far the processor's start has come."""
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
        """Note that a connect failed; returns the seconds until the next one."""
        self.failures += 1
        return self._pause(now)

    def connection_lost(self, now: float) -> float:
        """Note that the connection ended; returns the seconds until the next connect.

        After a ready message that connect is a first attempt, and needs no budget.
        """
        if self.is_ready:
            self.ready_at = now
        else:
            self.failures += 1
        self.is_connected = self.is_ready = False
        return self._pause(now)

    def _pause(self, now: float) -> float:
        if not self.failures:
            return FIRST_BACKOFF_SECONDS
        longest = min(MAX_BACKOFF_SECONDS, FIRST_BACKOFF_SECONDS * 2.0 ** min(self.failures, MAX_DOUBLINGS))
        if self.status(now) is ConnectorStatus.FAILED or not self.budget.take(now):
            return self.rng.uniform(MAX_BACKOFF_SECONDS / 2, MAX_BACKOFF_SECONDS)
        return self.rng.uniform(FIRST_BACKOFF_SECONDS / 2, longest)
