"""The startup state of one process, and its effects on heartbeats, dependency calls and retries.

Pure: it receives events with their time and returns times and permissions. The clients of the endpoint
registry, the dependency and the processor in `thymeyoke.server` do the I/O.
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

STALL_SECONDS = INTERVAL_SECONDS / 4  # a timer later than this shows that the process was suspended
RETRIES_PER_CALL = 4  # size of the retry budget for each call that can be in flight


class State(Enum):
    """Progress of the start of a process."""

    STARTING = "starting"  # no report has been sent
    REPORTING = "reporting"  # reports are sent, but the registry has no live entry for this process
    WARMING = "warming"  # listed; the dependency is not proven healthy yet, or had faults since
    WARM = "warm"  # listed, and the dependency is healthy


class Event(Enum):
    """Events that change the state."""

    REPORT_SENT = "report_sent"
    LISTED = "listed"  # a report was accepted
    UNLISTED = "unlisted"  # no report was accepted within the TTL of an entry
    RATE_CUT = "rate_cut"  # the rate of dependency calls was cut
    DEPENDENCY_HEALTHY = "dependency_healthy"  # the rate limiter is open, without recent faults
    STALLED = "stalled"  # this process was suspended for longer than the TTL of an entry


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
}  # other events do not change the state


class StartupController:
    """The startup state of one process, and the components that control its reports, calls and retries."""

    def __init__(
        self, now: float, seed: int | str = 0, name: str = "", limits: RateLimits | None = None,
        started_at: float | None = None,
    ) -> None:  # fmt: skip
        """`seed` and `name` seed the random numbers; the name distinguishes processes with the same seed.

        `started_at` is the start time of the process, if known.
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
        """Note that the process can send reports; it has used `processor_time` seconds of processor time."""
        lifetime = 0.0 if self.started_at is None else now - self.started_at
        self.heartbeat.begin(now, lifetime, processor_time)

    def should_report(self, now: float) -> bool:
        """Whether a report should be sent now."""
        lateness = self.heartbeat.lateness(now)
        if lateness > STALL_SECONDS and not self.heartbeat.missed:
            self.stalled(now, lateness)
        return self.heartbeat.should_send(now)

    def report_sent(self, now: float) -> float:
        """Note that a report is sent; returns the time when it times out."""
        self.handle(Event.REPORT_SENT)
        return self.heartbeat.sent(now)

    def report_accepted(self, now: float) -> None:
        """Note that the registry accepted a report."""
        self.heartbeat.answered(now)
        self.handle(Event.LISTED)
        if self.rate_limiter.is_healthy(now):
            self.handle(Event.DEPENDENCY_HEALTHY)

    def report_failed(self, now: float) -> None:
        """Note that a report was rejected, failed or timed out."""
        self.heartbeat.failed(now)
        if not self.heartbeat.is_listed(now):
            self.handle(Event.UNLISTED)

    # Dependency calls.

    def may_call(self, now: float, id: str) -> bool:
        """Whether the retry budget admits this call; first attempts are always admitted."""
        return id not in self.failed_calls or self.budget.take(now)

    def call_ended(self, now: float, id: str, outcome: Outcome, took: float) -> None:
        """Note the outcome of a call that took `took` seconds."""
        if outcome is Outcome.OK:
            self.budget.record_success()
            self.failed_calls.remove(id)
        else:
            self.failed_calls.add(now, id)
        if self.rate_limiter.call_ended(now, outcome, took):
            self.handle(Event.RATE_CUT)

    def tick(self, now: float, oldest_wait: float) -> None:
        """Do the periodic work.

        `oldest_wait`: seconds for which the oldest first attempt has waited for a token.
        """
        self.rate_limiter.tick(now, oldest_wait)
        self.failed_calls.expire(now)

    # Stalls.

    def stalled(self, now: float, lateness: float) -> None:
        """Note that a timer was late by `lateness` seconds.

        Several late timers of one stall count once. A process whose timers are always late is slow, not
        stalled.
        """
        min_gap = ENTRY_TTL_SECONDS if lateness < ENTRY_TTL_SECONDS else STALL_SECONDS
        if lateness <= STALL_SECONDS or now < self.stalled_at + min_gap:
            return
        self.stalled_at = now
        self.rate_limiter.stalled(now)
        if lateness > ENTRY_TTL_SECONDS:
            self.handle(Event.STALLED)
