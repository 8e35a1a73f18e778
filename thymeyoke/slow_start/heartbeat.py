"""The schedule of reports (heartbeats) to the endpoint registry. Pure: times in, times out.

Each process sends its heartbeats on its own time grid: its phase is random, each heartbeat is scheduled from
the scheduled time of the previous one, and missed heartbeats are skipped. This keeps the heartbeats of many
processes apart even if all were suspended, or lost the registry, at the same time.
"""

from __future__ import annotations

from random import Random

from thymeyoke.slow_start.retry_budget import RetryBudget

INTERVAL_SECONDS = 0.9  # between reports while all is healthy
REPORT_TIMEOUT_SECONDS = 0.9  # for the registry's answer to a report
ENTRY_TTL_SECONDS = 3.0  # for which an accepted report keeps the entry in the registry
LATENESS_TOLERANCE = 1 / 12  # of the interval: a later heartbeat counts as missed
# Multiple of the interval. Two heartbeats at this stretch, each within the tolerance, and half a timeout
# still fit into the TTL, so that one report may fail.
MAX_STRETCH = (
    ENTRY_TTL_SECONDS / INTERVAL_SECONDS - REPORT_TIMEOUT_SECONDS / INTERVAL_SECONDS / 2
) / 2 - LATENESS_TOLERANCE
STRETCH_FACTOR = 1.25  # growth of the stretch with each fault
STRETCH_DECREASE = 0.1  # decrease of the stretch with each answer in time
SLOW_ANSWER_SHARE = 0.5  # of the timeout: a slower answer stretches the interval
FIRST_GAP_INTERVALS = 2 / 3  # least gap between the first and the second report; the phase is added
# The first report is spread if the start took longer than this multiple of its processor time, plus some
# intervals: many processes then presumably started, or were suspended, together.
CONTENDED_START_FACTOR = 4.0
STALLED_START_INTERVALS = 0.5


class Heartbeat:
    """Schedules the reports of one process.

    At `next_check_at` the owner asks `should_send` whether to send a report, and calls `sent` when it does.
    """

    def __init__(
        self, now: float, rng: Random, budget: RetryBudget, interval: float = INTERVAL_SECONDS,
        timeout: float = REPORT_TIMEOUT_SECONDS,
    ) -> None:  # fmt: skip
        """`interval` between reports and `timeout` of a report, in seconds."""
        self.rng, self.budget, self.interval, self.timeout = rng, budget, interval, timeout
        self.phase = rng.random()
        self.next_at, self.retry_at = now, float("inf")
        self.stretch = 1.0
        # When the last report was sent, and when the last accepted report was sent.
        self.last_sent_at = self.last_answered_at = float("-inf")
        self.first_gap = FIRST_GAP_INTERVALS + self.phase  # intervals between first and second report
        self.has_begun = False
        self.missed = False  # the last heartbeat was skipped
        self.has_retried = False  # a retry was sent, or is scheduled, since the last heartbeat

    def begin(self, now: float, lifetime: float, processor_time: float) -> None:
        """Note that the process can send reports.

        If its `lifetime` is much longer than its `processor_time` (both in seconds), it was suspended or
        started together with many others, which may report at the same time: then the first report is
        delayed by a random time. Otherwise it is due at once.
        """
        if self.has_begun:
            return
        self.next_at = now
        waited = lifetime - CONTENDED_START_FACTOR * processor_time
        if waited > STALLED_START_INTERVALS * self.interval:
            self._spread_first(now)

    def _spread_first(self, now: float) -> None:
        """Schedule the first report at this process's phase within the next interval."""
        self.next_at, self.first_gap = now + self.phase * self.interval, 1.0

    def _next_gap(self) -> float:
        """Seconds to the next heartbeat; random while stretched, so that processes in lockstep separate."""
        return self.interval * (self.rng.uniform(1.0, self.stretch) if self.stretch > 1 else 1.0)

    @property
    def next_check_at(self) -> float:
        """When to call `should_send` next."""
        return min(self.next_at, self.retry_at)

    def is_listed(self, now: float) -> bool:
        """Whether the last accepted report still keeps this process's entry in the registry."""
        return now < self.last_answered_at + ENTRY_TTL_SECONDS

    def lateness(self, now: float) -> float:
        """Seconds by which the next heartbeat is late."""
        return max(0.0, now - self.next_at)

    def send_now(self, now: float) -> None:
        """Schedule an extra report now, as the report's content or the registry has changed."""
        self.retry_at = now

    def should_send(self, now: float) -> bool:
        """Whether a report should be sent now.

        A late heartbeat is skipped, as those of many processes may have been delayed together, and the next
        one follows on the time grid. Two in a row are not skipped: a process that is always late is slow, and
        reports when it can. After a report without an answer, none is skipped while the entry is alive, as
        the entry would expire.
        """
        if now < self.next_check_at:
            return False
        if now > self.retry_at + LATENESS_TOLERANCE * self.interval:
            self.retry_at = float("inf")
            return self.should_send(now)
        is_at_risk = self.last_sent_at > self.last_answered_at and self.is_listed(now)
        is_on_time = self.lateness(now) <= LATENESS_TOLERANCE * self.interval
        if now >= self.retry_at or is_at_risk or self.missed or is_on_time:
            return True
        self.missed = True
        if self.has_begun:
            self.next_at += (int(self.lateness(now) / self.interval) + 1) * self.interval
        else:
            self._spread_first(now)
        return False

    def sent(self, now: float) -> float:
        """Note that a report is sent; returns when to give it up, so that it does not delay the next one."""
        self.retry_at, self.last_sent_at = float("inf"), now
        if not self.has_begun:
            self.has_begun, self.next_at = True, now + self.first_gap * self.interval
        elif now >= self.next_at - LATENESS_TOLERANCE * self.interval:
            self.next_at += self._next_gap()
            self.missed = self.has_retried = False
        while self.next_at < now + self.timeout / 2:
            self.next_at += self.interval
        return min(now + self.timeout, self.next_at)

    def answered(self, now: float) -> None:
        """Note that the registry accepted the report."""
        took = now - self.last_sent_at
        self.last_answered_at = self.last_sent_at
        if took > SLOW_ANSWER_SHARE * self.timeout:
            self.stretch = min(MAX_STRETCH, self.stretch * STRETCH_FACTOR)
        else:
            self.stretch = max(1.0, self.stretch - STRETCH_DECREASE)
        self.budget.record_success()

    def failed(self, now: float) -> None:
        """Note that the report was not sent, not answered or not accepted.

        While the entry is alive the next heartbeat usually renews it, as three intervals fit into the TTL. If
        the stretched interval is too long for that, one retry is scheduled. Without a live entry there is no
        retry, which spares the registry.
        """
        if not self.is_listed(now):
            self.stretch = min(MAX_STRETCH, self.stretch * STRETCH_FACTOR)
        expires_at, answer_time = self.last_answered_at + ENTRY_TTL_SECONDS, self.timeout / 4
        max_delay = min(self.next_at - now - 2 * answer_time, expires_at - now - answer_time)
        may_retry = (
            self.next_at + answer_time > expires_at and max_delay > answer_time and not self.has_retried
        )
        if may_retry and self.budget.take(now):
            self.retry_at, self.has_retried = now + self.rng.uniform(0.0, max_delay), True  # full jitter
