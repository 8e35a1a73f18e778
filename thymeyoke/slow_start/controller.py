"""The slow start of one process: its state, and what follows for heartbeats, dependency calls and retries.

Pure: it receives events with their time and returns times and permissions. `EndpointRegistry`, `Dependency`
and `Processor` in `thymeyoke.server` do the I/O. docs/slow_start.md has the states and rules as tables.
"""

from __future__ import annotations

from enum import Enum
from random import Random

from thymeyoke.admission.events import Outcome
from thymeyoke.slow_start.backoff import FailedCalls
from thymeyoke.slow_start.connector import Connector
from thymeyoke.slow_start.heartbeat import (
    ENTRY_TTL_SECONDS,
    INTERVAL_SECONDS,
    REPORT_TIMEOUT_SECONDS,
    Heartbeat,
)
from thymeyoke.slow_start.rate_limiter import CallRateLimiter, RateLimits
from thymeyoke.slow_start.retry_budget import RetryBudget

STALL_SECONDS = INTERVAL_SECONDS / 4  # a timer that is later than this: the process was stopped
RETRIES_PER_CALL = 4  # for each call that can be in flight: the size of the budget


class State(Enum):
    """How far the start of a process has come."""

    STARTING = "starting"  # no report has been sent
    REPORTING = "reporting"  # reports are sent, but the registry has no live entry of this process
    WARMING = "warming"  # listed; the dependency is not proven healthy yet, or had faults
    WARM = "warm"


class Event(Enum):
    """What changes the state."""

    REPORT_SENT = "report_sent"
    LISTED = "listed"  # a report was accepted
    UNLISTED = "unlisted"  # no report was accepted within the TTL of an entry
    RATE_CUT = "rate_cut"  # the rate of dependency calls was cut
    DEPENDENCY_HEALTHY = "dependency_healthy"  # no rate limit, and no faults for a while
    STALLED = "stalled"  # this process stood still for longer than the TTL of an entry


TRANSITIONS = {
    (State.STARTING, Event.REPORT_SENT): State.REPORTING,
    (State.REPORTING, Event.LISTED): State.WARMING,
    (State.REPORTING, Event.STALLED): State.STARTING,
    (State.WARMING, Event.UNLISTED): State.REPORTING,
    (State.WARMING, Event.DEPENDENCY_HEALTHY): State.WARM,
    (State.WARMING, Event.STALLED): State.STARTING,
    (State.WARM, Event.UNLISTED): State.REPORTING,
    (State.WARM, Event.RATE_CUT): State.WARMING,
    (State.WARM, Event.STALLED): State.STARTING,
}  # any other event leaves the state as it is


class StartupController:
    """The state of one process's start, with the parts that decide on reports, calls and retries."""

    def __init__(
        self, now: float, seed: int | str = 0, name: str = "", limits: RateLimits | None = None,
        started_at: float | None = None,
    ) -> None:  # fmt: skip
        """`seed` and `name` seed the random numbers: the name tells processes with one seed apart.

        `started_at` is when the process was started, if known.
        """
        limits = limits or RateLimits()
        self.state, self.started_at = State.STARTING, started_at
        self.rng = Random(f"cold start of {name} {seed}")
        self.budget = RetryBudget(now, RETRIES_PER_CALL * limits.max_concurrency)
        self.heartbeat = Heartbeat(now, self.rng, self.budget)
        self.rate_limiter = CallRateLimiter(now, self.rng, limits)
        self.connector = Connector(now, self.rng, self.budget)
        self.failed_calls = FailedCalls(limits.client_timeout)
        self.stalled_at = float("-inf")

    def new_heartbeat(
        self, now: float, interval: float = INTERVAL_SECONDS, timeout: float = REPORT_TIMEOUT_SECONDS
    ) -> Heartbeat:
        """Replace the heartbeat by one with this interval and timeout, in seconds."""
        self.heartbeat = Heartbeat(now, self.rng, self.budget, interval, timeout)
        return self.heartbeat

    def handle(self, event: Event) -> State:
        """Apply one event to the state."""
        self.state = TRANSITIONS.get((self.state, event), self.state)
        self.rate_limiter.is_cold = self.state is not State.WARM
        return self.state

    # Reports.

    def begin(self, now: float, processor_time: float) -> None:
        """Note that the process can report, after so many seconds of processor time."""
        lifetime = 0.0 if self.started_at is None else now - self.started_at
        self.heartbeat.begin(now, lifetime, processor_time)

    def should_report(self, now: float) -> bool:
        """Whether a report goes out now."""
        lateness = self.heartbeat.lateness(now)
        if lateness > STALL_SECONDS and not self.heartbeat.missed:
            self.stalled(now, lateness)
        return self.heartbeat.should_send(now)

    def report_sent(self, now: float) -> float:
        """Note that a report goes out; returns when it times out."""
        self.handle(Event.REPORT_SENT)
        return self.heartbeat.sent(now)

    def report_accepted(self, now: float) -> None:
        """Note that the registry accepted a report."""
        self.heartbeat.answered(now)
        self.handle(Event.LISTED)
        if self.rate_limiter.is_healthy(now):
            self.handle(Event.DEPENDENCY_HEALTHY)

    def report_failed(self, now: float) -> None:
        """Note that a report was refused, failed or timed out."""
        self.heartbeat.failed(now)
        if not self.heartbeat.is_listed(now):
            self.handle(Event.UNLISTED)

    # Dependency calls.

    def may_call(self, now: float, id: str) -> bool:
        """Whether the retry budget lets this call go out: a first attempt always may."""
        return id not in self.failed_calls or self.budget.take(now)

    def call_ended(self, now: float, id: str, outcome: Outcome, took: float) -> None:
        """Note the outcome of a call, which took so many seconds."""
        if outcome is Outcome.OK:
            self.budget.record_success()
            self.failed_calls.remove(id)
        else:
            self.failed_calls.add(now, id)
        if self.rate_limiter.call_ended(now, outcome, took):
            self.handle(Event.RATE_CUT)

    def tick(self, now: float, oldest_wait: float) -> None:
        """Run the periodic work.

        `oldest_wait` is how long the oldest first attempt has waited for a token.
        """
        self.rate_limiter.tick(now, oldest_wait)
        self.failed_calls.expire(now)

    # Stalls.

    def stalled(self, now: float, lateness: float) -> None:
        """Note that a timer was late by so many seconds.

        Several late timers of one stall count once; a process that is always late is slow, not stalled.
        """
        min_gap = ENTRY_TTL_SECONDS if lateness < ENTRY_TTL_SECONDS else STALL_SECONDS
        if lateness <= STALL_SECONDS or now < self.stalled_at + min_gap:
            return
        self.stalled_at = now
        self.rate_limiter.stalled(now)
        if lateness > ENTRY_TTL_SECONDS:
            self.handle(Event.STALLED)
