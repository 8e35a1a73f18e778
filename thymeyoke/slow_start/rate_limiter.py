"""The rate limiter for calls to the dependency and for new connections to it. Pure.

While the dependency is healthy the limiter is open: calls need no token and are only counted. Answers that
show faults close it to a rate, which further faults cut and good answers raise, until no call waits for a
token.
"""

from __future__ import annotations

from random import Random
from typing import NamedTuple

from thymeyoke.admission.events import Outcome
from thymeyoke.admission.settings import AdmissionSettings, DependencyKind

CAP_FACTOR = 1.2  # of the usual rate: the cap while closed, so that a backlog is not worked off at once
CAP_GROWTH_SECONDS = 8.0  # without faults, until the cap grows; then by one usual rate in this time
USUAL_RATE_LEARNING_SECONDS = 4.0  # in which a closed limiter's usual rate follows the demand
CUT_FACTOR = 0.5  # of the rate, at each cut
RISE_SECONDS = 1.0  # of good answers, in which the rate rises by the usual rate
FLOOR_FACTOR = 1 / 8  # of the usual rate: the least rate, which always probes
QUIET_SECONDS = 0.9  # between two cuts, and without faults or long waits until the limiter opens
FAULT_SHARE = 0.25  # of the recent answers being faults, the dependency is unhealthy
COLD_CUT_SIGNS = 1.0  # signs of faults for a cut, until the dependency is proven healthy
WARM_CUT_SIGNS = 4.0  # and from then on; with few calls, half of them
LIGHT_SIGN = 0.5  # of a sign: for an answer that a single lost connection or slow run explains
SLOW_FACTOR = 5.0  # times the usual time of a call
NEWEST_WEIGHT = 0.2  # of the newest call in the recent time of calls
HISTORY_SECONDS = 2.0  # of calls for the recent rate, and of answers for the share of faults
LONG_HISTORY_SECONDS = 4 * HISTORY_SECONDS  # of calls for the long rate, where a pause counts as one tick
MIN_BATCH_SECONDS = 0.001  # between two batches of events
TICK_SECONDS = 0.25  # between two calls of `tick` that count
CONNECT_COST = 2.0  # tokens for a call that opens a connection
LONG_WAIT_SECONDS = 0.1  # that a call may wait for a token when the limiter opens
JITTER = 0.5  # of a token
WHOLE_TOKEN = 1 - 1e-6  # sums of fractions are a little short of one

SIGNS_BY_OUTCOME = {
    Outcome.REJECTED: 1.0,
    Outcome.UNREACHABLE: 1.0,
    Outcome.CONNECTION_LOST: LIGHT_SIGN,
    Outcome.TIMEOUT: LIGHT_SIGN,
}


class RateLimits(NamedTuple):
    """The settings that bear on the rate of calls; times in seconds."""

    max_concurrency: float = 64.0  # calls in flight at one moment, at most
    sure_concurrency: float = 8.0  # of them, those that the dependency takes for certain
    tick: float = 0.001  # between two batches of events: calls go out in batches
    latency_objective: float = 1.0  # the shortest of all request classes
    client_timeout: float = 4.0  # the longest of all request classes

    @property
    def max_rate(self) -> float:
        """Calls a second that admission control can start at most: this rate is no limit."""
        return self.max_concurrency / self.tick

    @property
    def fair_rate(self) -> float:
        """Calls a second that keep to `sure_concurrency` though each takes a whole latency objective."""
        return self.sure_concurrency / self.latency_objective


def rate_limits(settings: AdmissionSettings) -> RateLimits:
    """The limits that follow from an app server's settings."""
    machine, dependency = settings.machine, settings.dependency
    # Each request on the cores has one call in flight at most.
    max_running = machine.cores * max(1.0, settings.overload.max_concurrency)
    is_shared = dependency.kind is DependencyKind.SHARED and dependency.fair_concurrency > 0
    concurrency = min(max_running, dependency.fair_concurrency) if is_shared else max_running
    classes = settings.request_classes
    return RateLimits(
        max_concurrency=max(1.0, concurrency),
        sure_concurrency=dependency.fair_concurrency if is_shared else float(machine.cores),
        tick=max(machine.tick, MIN_BATCH_SECONDS),
        latency_objective=min(request_class.latency_objective for request_class in classes) or 1.0,
        client_timeout=settings.longest_client_timeout,
    )


class CallRateLimiter:
    """A token bucket that is closed only while the dependency shows faults.

    Ask `is_open` or `has_token` before a call, `spend` a token as it goes out, and pass its outcome to
    `call_ended`. Call `tick` four times a second. `is_cold` is set from outside while the dependency is not
    proven healthy.
    """

    def __init__(self, now: float, rng: Random, limits: RateLimits) -> None:
        self.rng, self.limits, self.is_cold = rng, limits, True
        self.rate = limits.max_rate  # calls a second
        self.tokens, self.filled_at = 1.0, now  # counted only while closed
        self.first_attempts = 0  # since the last tick; the caller counts them
        self.good_answers, self.fault_signs = 0.0, 0.0  # recent, and decaying
        self.ticked_at = self.closed_at = now
        self.cut_at = self.good_answer_at = self.fault_at = self.waited_at = float("-inf")
        # First attempts a second: recently, over a longer time, and when the limiter closed.
        self.recent_rate = self.long_rate = self.usual_when_closed = 0.0
        self.first_attempts_at = now
        # Seconds of a call: the recent mean, and the lowest mean so far, which rises slowly.
        self.recent_call_time = self.usual_call_time = limits.latency_objective / SLOW_FACTOR / 2
        self.cap_factor = CAP_FACTOR  # of the usual rate
        self.is_proven = False  # whether a good answer came since it was closed

    @property
    def is_open(self) -> bool:
        """Whether calls need no token."""
        return self.rate >= self.limits.max_rate

    @property
    def usual_rate(self) -> float:
        """Calls a second that this process makes by itself, or its fair rate if that is more."""
        demand = max(self.recent_rate, self.long_rate) if self.is_open else self.usual_when_closed
        return max(demand, self.limits.fair_rate)

    @property
    def min_time_left(self) -> float:
        """Seconds in which a healthy dependency answers: a call with less time left is of no use."""
        return SLOW_FACTOR * self.usual_call_time

    @property
    def min_rate(self) -> float:
        """The least rate in calls a second."""
        return max(1 / QUIET_SECONDS, FLOOR_FACTOR * self.usual_rate)

    @property
    def rate_cap(self) -> float:
        """The highest rate of a closed limiter, in calls a second."""
        return max(self.cap_factor * self.usual_rate, self.min_rate)

    def has_token(self, now: float) -> bool:
        """Whether a call may go out now."""
        if self.is_open:
            return True
        self._refill(now)
        return self.tokens >= WHOLE_TOKEN

    def spend(self, opens_connection: bool) -> None:
        """Take the tokens of a call that goes out.

        The cost is drawn, so that processes that closed at the same moment do not stay in step.
        """
        if not self.is_open:
            cost = CONNECT_COST if opens_connection else 1.0
            self.tokens -= cost * self.rng.uniform(1 - JITTER, 1 + JITTER)

    def next_token_at(self, now: float) -> float:
        """When the next call may go out, if nothing else happens."""
        if self.is_open:
            return now
        self._refill(now)
        return now + max(0.0, 1 - self.tokens) / self.rate

    def _refill(self, now: float) -> None:
        """Add the tokens of the time since the last refill; unused ones do not add up to a burst."""
        max_tokens = max(1.0, self.rate * LONG_WAIT_SECONDS / 2)
        self.tokens = min(max_tokens, self.tokens + max(0.0, now - self.filled_at) * self.rate)
        self.filled_at = max(now, self.filled_at)

    def call_ended(self, now: float, outcome: Outcome, took: float) -> bool:
        """Note the outcome of a call, which took so many seconds; returns whether the rate was cut for it."""
        sign = SIGNS_BY_OUTCOME.get(outcome, 0.0)
        if outcome is Outcome.OK:
            sign = LIGHT_SIGN if self._is_slow(took) else 0.0
        if not sign:
            self.good_answers, self.good_answer_at, self.is_proven = self.good_answers + 1, now, True
            return False
        self.fault_signs += sign
        if self.fault_signs < FAULT_SHARE * (self.good_answers + self.fault_signs):
            return False
        self.fault_at = now
        if self.fault_signs < self._signs_for_cut() or now < self.cut_at + QUIET_SECONDS:
            return False
        self._cut(now)
        return True

    def _is_slow(self, took: float) -> bool:
        """Whether this call and the recent ones are slow: single calls differ too much."""
        self.recent_call_time += NEWEST_WEIGHT * (took - self.recent_call_time)
        slow_rise = NEWEST_WEIGHT / 100 * (self.recent_call_time - self.usual_call_time)
        self.usual_call_time = min(self.recent_call_time, self.usual_call_time + slow_rise)
        return min(took, self.recent_call_time) > SLOW_FACTOR * self.usual_call_time

    def _signs_for_cut(self) -> float:
        """How many signs of faults a cut takes."""
        if self.is_cold:
            return COLD_CUT_SIGNS
        return min(WARM_CUT_SIGNS, max(COLD_CUT_SIGNS, self.recent_rate * HISTORY_SECONDS / 2))

    def _cut(self, now: float) -> None:
        if self.is_open:
            self._close(now)
        self.cut_at, self.is_proven = now, False
        self.good_answers = self.fault_signs = 0.0  # the next cut needs new signs
        self.rate = max(self.min_rate, CUT_FACTOR * min(self.rate, self.usual_rate))

    def _close(self, now: float) -> None:
        """Require tokens from now on; the time of the first is drawn, as many processes may close at once."""
        self.usual_when_closed, self.cap_factor = max(self.recent_rate, self.long_rate), CAP_FACTOR
        self.rate = self.rate_cap
        self.tokens, self.filled_at, self.closed_at = -self.rng.random(), now, now

    def stalled(self, now: float) -> None:
        """Note that this process was stopped, as many others may have been.

        The calls that gathered go out at the usual rate, from a drawn time on. The time of the stop does not
        count for the recent rate.
        """
        self.ticked_at = now
        if self.is_open:
            self._close(now)
            self._reset()
        self.tokens, self.filled_at, self.waited_at = -self.rng.random(), now, now

    def clock_stalled(self, seconds: float) -> None:
        """Count seconds that the clock did not show because it was set back.

        Waiting calls would otherwise get no token until the clock has caught up.
        """
        self.filled_at -= seconds

    def address_changed(self, now: float) -> None:
        """Note a new address of the dependency: answers from the old one no longer count."""
        if not self.is_open:
            self._reset()

    def _reset(self) -> None:
        """Return to the usual rate, without any faults."""
        self.rate, self.is_proven = min(self.rate_cap, max(self.min_rate, self.usual_rate)), True
        self.good_answers = self.fault_signs = 0.0
        self.cut_at = self.fault_at = float("-inf")

    def tick(self, now: float, oldest_wait: float = 0.0) -> None:
        """Raise the rate after good answers, and open where there are neither faults nor long waits.

        `oldest_wait` is how long the oldest first attempt has waited for a token, in seconds.
        """
        if oldest_wait > LONG_WAIT_SECONDS:
            self.waited_at = now
        elapsed = now - self.ticked_at
        if elapsed < TICK_SECONDS:
            return
        self._update_demand(now, elapsed)
        if not self.is_open:
            self._adjust_rate(now, elapsed)
        decay = max(0.0, 1 - elapsed / HISTORY_SECONDS)
        self.good_answers, self.fault_signs = self.good_answers * decay, self.fault_signs * decay
        self.first_attempts, self.ticked_at = 0, now

    def _update_demand(self, now: float, elapsed: float) -> None:
        """Update the rates of first attempts."""
        weight = min(1.0, elapsed / HISTORY_SECONDS)
        self.recent_rate += weight * (self.first_attempts / elapsed - self.recent_rate)
        if not self.first_attempts:
            return  # a pause shows nothing of the demand after it
        gap, self.first_attempts_at = now - self.first_attempts_at, now
        counted = gap if gap <= HISTORY_SECONDS else TICK_SECONDS
        self.long_rate += counted / LONG_HISTORY_SECONDS * (self.first_attempts / gap - self.long_rate)

    def _adjust_rate(self, now: float, elapsed: float) -> None:
        """Update the rate and the cap of a closed limiter, and open it where the dependency is healthy."""
        without_faults = now - max(self.fault_at, self.closed_at)
        self.cap_factor = CAP_FACTOR + max(0.0, without_faults / CAP_GROWTH_SECONDS - 1)
        # Slowly: calls that gathered in a stall, or are retried by many, are not the usual rate.
        weight = min(1.0, elapsed / USUAL_RATE_LEARNING_SECONDS)
        self.usual_when_closed += max(0.0, self.recent_rate - self.usual_when_closed) * weight
        if self.good_answer_at >= self.ticked_at > self.fault_at:
            self.rate += self.usual_rate / RISE_SECONDS * elapsed
        self.rate = min(self.rate_cap, max(self.min_rate, self.rate))
        if self.is_proven and now >= max(self.fault_at, self.waited_at, self.closed_at) + QUIET_SECONDS:
            self.rate, self.usual_when_closed = self.limits.max_rate, 0.0

    def is_healthy(self, now: float) -> bool:
        """Whether the limiter is open and there were no faults for a while, counted from the start."""
        return self.is_open and now >= max(self.fault_at, self.closed_at) + QUIET_SECONDS
