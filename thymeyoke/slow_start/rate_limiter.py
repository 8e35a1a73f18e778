"""The rate limiter for dependency calls and for new connections to the dependency. Pure.

While the dependency is healthy the limiter is open: calls are counted, but need no token. When answers show
faults the limiter closes: calls are limited to a rate, which further faults cut and good answers raise. It
opens again once no call has to wait for a token.
"""

from __future__ import annotations

from random import Random
from typing import NamedTuple

from thymeyoke.admission.events import Outcome
from thymeyoke.admission.settings import AdmissionSettings, DependencyKind

CAP_FACTOR = 1.2  # of the usual rate: cap while closed, so that a backlog is not sent all at once
CAP_GROWTH_SECONDS = 8.0  # without faults until the cap grows, by one usual rate in each such period
USUAL_RATE_LEARNING_SECONDS = 4.0  # in which the usual rate of a closed limiter adapts to a higher demand
CUT_FACTOR = 0.5  # of the rate, at each cut
RISE_SECONDS = 1.0  # of good answers, in which the rate rises by one usual rate
FLOOR_FACTOR = 1 / 8  # of the usual rate: lowest rate, so that the dependency is always probed
QUIET_SECONDS = 0.9  # between two cuts; also without faults and long waits before the limiter opens
FAULT_SHARE = 0.25  # of the recent answers: with more faults the dependency counts as unhealthy
COLD_CUT_SCORE = 1.0  # fault score that causes a cut until the dependency is proven healthy
WARM_CUT_SCORE = 4.0  # fault score that causes a cut after that; less if there are few calls
LIGHT_FAULT_SCORE = 0.5  # for a fault that a single lost connection or slow call may explain
SLOW_FACTOR = 5.0  # calls are slow above this multiple of their usual time
NEWEST_WEIGHT = 0.2  # of the newest call in the recent call time
HISTORY_SECONDS = 2.0  # averaging time of the recent rate and of the share of faults
LONG_HISTORY_SECONDS = 4 * HISTORY_SECONDS  # averaging time of the long rate; a pause counts as one tick
MIN_BATCH_SECONDS = 0.001  # between two batches of events
TICK_SECONDS = 0.25  # least time between two calls of `tick` that have an effect
CONNECT_COST = 2.0  # tokens for a call that opens a connection
LONG_WAIT_SECONDS = 0.1  # a longer wait for a token keeps the limiter closed
JITTER = 0.5  # of the cost of a call
FULL_TOKEN = 1 - 1e-6  # tolerance for rounding errors of the refill

FAULT_SCORES = {
    Outcome.REJECTED: 1.0,
    Outcome.UNREACHABLE: 1.0,
    Outcome.CONNECTION_LOST: LIGHT_FAULT_SCORE,
    Outcome.TIMEOUT: LIGHT_FAULT_SCORE,
}


class RateLimits(NamedTuple):
    """Settings that determine the rate of calls; times in seconds."""

    max_concurrency: float = 64.0  # maximum number of calls in flight
    guaranteed_concurrency: float = 8.0  # calls in flight that the dependency can always accept
    tick: float = 0.001  # between two batches of events; calls are sent in batches
    latency_objective: float = 1.0  # shortest of all request classes
    client_timeout: float = 4.0  # longest of all request classes

    @property
    def max_rate(self) -> float:
        """Most calls a second that admission control can start; at this rate the limiter is open."""
        return self.max_concurrency / self.tick

    @property
    def fair_rate(self) -> float:
        """Calls a second that stay within `guaranteed_concurrency` if each takes one latency objective."""
        return self.guaranteed_concurrency / self.latency_objective


def rate_limits(settings: AdmissionSettings) -> RateLimits:
    """Derive the rate limits from an app server's settings."""
    machine, dependency = settings.machine, settings.dependency
    # Each running request has at most one call in flight.
    max_running = machine.cores * max(1.0, settings.overload.max_concurrency)
    is_shared = dependency.kind is DependencyKind.SHARED and dependency.fair_concurrency > 0
    concurrency = min(max_running, dependency.fair_concurrency) if is_shared else max_running
    classes = settings.request_classes
    return RateLimits(
        max_concurrency=max(1.0, concurrency),
        guaranteed_concurrency=dependency.fair_concurrency if is_shared else float(machine.cores),
        tick=max(machine.tick, MIN_BATCH_SECONDS),
        latency_objective=min(request_class.latency_objective for request_class in classes) or 1.0,
        client_timeout=settings.longest_client_timeout,
    )


class CallRateLimiter:
    """A token bucket that limits calls only while the dependency shows faults.

    Check `is_open` or `has_token` before a call, `spend` tokens when it is sent, and report its outcome to
    `call_ended`. Call `tick` four times a second. The owner sets `is_cold` while the dependency is not proven
    healthy.
    """

    def __init__(self, now: float, rng: Random, limits: RateLimits) -> None:
        self.rng, self.limits, self.is_cold = rng, limits, True
        self.rate = limits.max_rate  # calls a second
        self.tokens, self.filled_at = 1.0, now  # used only while closed
        self.first_attempts = 0  # since the last tick; incremented by the caller
        self.good_answers, self.fault_score = 0.0, 0.0  # recent sums, which decay over HISTORY_SECONDS
        self.ticked_at = self.closed_at = now
        self.cut_at = self.good_answer_at = self.fault_at = self.long_wait_at = float("-inf")
        # First attempts a second: recent mean, long-term mean, and their maximum when the limiter closed.
        self.recent_rate = self.long_rate = self.usual_rate_at_close = 0.0
        self.first_attempts_at = now
        # Seconds of a call: recent mean, and its lowest value so far, which rises slowly.
        self.recent_call_time = self.usual_call_time = limits.latency_objective / SLOW_FACTOR / 2
        self.cap_factor = CAP_FACTOR  # of the usual rate
        self.is_proven = False  # whether a good answer was received since the last cut

    @property
    def is_open(self) -> bool:
        """Whether calls need no token."""
        return self.rate >= self.limits.max_rate

    @property
    def usual_rate(self) -> float:
        """Calls a second that this process makes when it is not limited, but at least its fair rate."""
        demand = max(self.recent_rate, self.long_rate) if self.is_open else self.usual_rate_at_close
        return max(demand, self.limits.fair_rate)

    @property
    def min_time_left(self) -> float:
        """Seconds within which a healthy dependency answers; calls with less time left are not sent."""
        return SLOW_FACTOR * self.usual_call_time

    @property
    def min_rate(self) -> float:
        """The lowest rate, in calls a second."""
        return max(1 / QUIET_SECONDS, FLOOR_FACTOR * self.usual_rate)

    @property
    def rate_cap(self) -> float:
        """The highest rate of a closed limiter, in calls a second."""
        return max(self.cap_factor * self.usual_rate, self.min_rate)

    def has_token(self, now: float) -> bool:
        """Whether a call may be sent now."""
        if self.is_open:
            return True
        self._refill(now)
        return self.tokens >= FULL_TOKEN

    def spend(self, opens_connection: bool) -> None:
        """Take the tokens for a call that is sent.

        The cost is randomized, so that processes that closed at the same time do not call in lockstep.
        """
        if not self.is_open:
            cost = CONNECT_COST if opens_connection else 1.0
            self.tokens -= cost * self.rng.uniform(1 - JITTER, 1 + JITTER)

    def next_token_at(self, now: float) -> float:
        """Earliest time at which the next call may be sent."""
        if self.is_open:
            return now
        self._refill(now)
        return now + max(0.0, 1 - self.tokens) / self.rate

    def _refill(self, now: float) -> None:
        """Add tokens for the time since the last refill, up to a small maximum that prevents bursts."""
        max_tokens = max(1.0, self.rate * LONG_WAIT_SECONDS / 2)
        self.tokens = min(max_tokens, self.tokens + max(0.0, now - self.filled_at) * self.rate)
        self.filled_at = max(now, self.filled_at)

    def call_ended(self, now: float, outcome: Outcome, took: float) -> bool:
        """Note the outcome of a call that took `took` seconds; returns whether this cut the rate."""
        score = FAULT_SCORES.get(outcome, 0.0)
        if outcome is Outcome.OK:
            score = LIGHT_FAULT_SCORE if self._is_slow(took) else 0.0
        if not score:
            self.good_answers, self.good_answer_at, self.is_proven = self.good_answers + 1, now, True
            return False
        self.fault_score += score
        if self.fault_score < FAULT_SHARE * (self.good_answers + self.fault_score):
            return False
        self.fault_at = now
        if self.fault_score < self._cut_threshold() or now < self.cut_at + QUIET_SECONDS:
            return False
        self._cut(now)
        return True

    def _is_slow(self, took: float) -> bool:
        """Whether this call and the recent mean are slow, as single calls vary too much."""
        self.recent_call_time += NEWEST_WEIGHT * (took - self.recent_call_time)
        slow_rise = NEWEST_WEIGHT / 100 * (self.recent_call_time - self.usual_call_time)
        self.usual_call_time = min(self.recent_call_time, self.usual_call_time + slow_rise)
        return min(took, self.recent_call_time) > SLOW_FACTOR * self.usual_call_time

    def _cut_threshold(self) -> float:
        """The fault score that causes a cut."""
        if self.is_cold:
            return COLD_CUT_SCORE
        return min(WARM_CUT_SCORE, max(COLD_CUT_SCORE, self.recent_rate * HISTORY_SECONDS / 2))

    def _cut(self, now: float) -> None:
        if self.is_open:
            self._close(now)
        self.cut_at, self.is_proven = now, False
        self.good_answers = self.fault_score = 0.0  # the next cut needs new faults
        self.rate = max(self.min_rate, CUT_FACTOR * min(self.rate, self.usual_rate))

    def _close(self, now: float) -> None:
        """Require tokens from now on, the first at a random time, as many processes may close at once."""
        self.usual_rate_at_close, self.cap_factor = max(self.recent_rate, self.long_rate), CAP_FACTOR
        self.rate = self.rate_cap
        self.tokens, self.filled_at, self.closed_at = -self.rng.random(), now, now

    def stalled(self, now: float) -> None:
        """Note that this process was suspended, as many others may have been at the same time.

        Calls that have accumulated are sent at the usual rate, starting at a random time. The time of the
        suspension does not count for the recent rate.
        """
        self.ticked_at = now
        if self.is_open:
            self._close(now)
            self._reset()
        self.tokens, self.filled_at, self.long_wait_at = -self.rng.random(), now, now

    def clock_stalled(self, seconds: float) -> None:
        """Credit seconds that the clock did not advance because it was set back.

        Otherwise waiting calls would get no token until the clock has caught up.
        """
        self.filled_at -= seconds

    def address_changed(self, now: float) -> None:
        """Note a new address of the dependency: answers from the previous one no longer count."""
        if not self.is_open:
            self._reset()

    def _reset(self) -> None:
        """Return to the usual rate and forget all faults."""
        self.rate, self.is_proven = min(self.rate_cap, max(self.min_rate, self.usual_rate)), True
        self.good_answers = self.fault_score = 0.0
        self.cut_at = self.fault_at = float("-inf")

    def tick(self, now: float, oldest_wait: float = 0.0) -> None:
        """Raise the rate after good answers, and open the limiter if there are neither faults nor long waits.

        `oldest_wait`: seconds for which the oldest first attempt has waited for a token.
        """
        if oldest_wait > LONG_WAIT_SECONDS:
            self.long_wait_at = now
        elapsed = now - self.ticked_at
        if elapsed < TICK_SECONDS:
            return
        self._update_demand(now, elapsed)
        if not self.is_open:
            self._adjust_rate(now, elapsed)
        decay = max(0.0, 1 - elapsed / HISTORY_SECONDS)
        self.good_answers, self.fault_score = self.good_answers * decay, self.fault_score * decay
        self.first_attempts, self.ticked_at = 0, now

    def _update_demand(self, now: float, elapsed: float) -> None:
        """Update the mean rates of first attempts."""
        weight = min(1.0, elapsed / HISTORY_SECONDS)
        self.recent_rate += weight * (self.first_attempts / elapsed - self.recent_rate)
        if not self.first_attempts:
            return  # a pause says nothing about the demand after it
        gap, self.first_attempts_at = now - self.first_attempts_at, now
        counted = gap if gap <= HISTORY_SECONDS else TICK_SECONDS
        self.long_rate += counted / LONG_HISTORY_SECONDS * (self.first_attempts / gap - self.long_rate)

    def _adjust_rate(self, now: float, elapsed: float) -> None:
        """Update rate and cap of a closed limiter, and open it if the dependency is healthy."""
        without_faults = now - max(self.fault_at, self.closed_at)
        self.cap_factor = CAP_FACTOR + max(0.0, without_faults / CAP_GROWTH_SECONDS - 1)
        # Adapts slowly: calls accumulated during a stall, or many retries, are not the usual rate.
        weight = min(1.0, elapsed / USUAL_RATE_LEARNING_SECONDS)
        self.usual_rate_at_close += max(0.0, self.recent_rate - self.usual_rate_at_close) * weight
        if self.good_answer_at >= self.ticked_at > self.fault_at:
            self.rate += self.usual_rate / RISE_SECONDS * elapsed
        self.rate = min(self.rate_cap, max(self.min_rate, self.rate))
        if self.is_proven and now >= max(self.fault_at, self.long_wait_at, self.closed_at) + QUIET_SECONDS:
            self.rate, self.usual_rate_at_close = self.limits.max_rate, 0.0

    def is_healthy(self, now: float) -> bool:
        """Whether the limiter is open and the last fault, or the start, is `QUIET_SECONDS` ago."""
        return self.is_open and now >= max(self.fault_at, self.closed_at) + QUIET_SECONDS
