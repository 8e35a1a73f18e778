"""When reports to the endpoint registry go out. Pure: moments in, moments out.

The heartbeats of a process lie on a grid of its own: its phase is drawn once, a heartbeat is counted from the
one before it and not from when that went out, and what was missed is left out. So the heartbeats of many
processes that were stopped, or found the registry gone, at the same moment never fall together.
"""

from __future__ import annotations

from random import Random

from thymeyoke.slow_start.retry_budget import RetryBudget

INTERVAL_SECONDS = 0.9  # between reports when all is healthy
REPORT_TIMEOUT_SECONDS = 0.9  # a report that is not answered by then is given up
ENTRY_TTL_SECONDS = 3.0  # that a report keeps an entry alive
LATENESS_TOLERANCE = 1 / 12  # of the interval: a heartbeat that is later than this was missed
# Of the interval. Stretched, two heartbeats that are not yet missed and half a timeout still fit into the
# TTL: one may fail.
MAX_STRETCH = (
    ENTRY_TTL_SECONDS / INTERVAL_SECONDS - REPORT_TIMEOUT_SECONDS / INTERVAL_SECONDS / 2
) / 2 - LATENESS_TOLERANCE
STRETCH_FACTOR = 1.25  # by which the stretch grows with a fault
STRETCH_DECREASE = 0.1  # by which it shrinks with an answer
SLOW_ANSWER_SHARE = 0.5  # of the timeout: an answer that takes longer stretches the interval
FIRST_GAP_INTERVALS = 2 / 3  # between the first report and the second, at least; an interval more at most
CROWDED_START_FACTOR = 4.0  # a start that took this many times its processor time shares it with many others
STALLED_START_INTERVALS = 0.5  # in addition


class Heartbeat:
    """The reports of one process.

    `wake_at` is when to look again; `should_send` then says whether a report goes out, `sent` that it did.
    """

    def __init__(
        self, now: float, rng: Random, budget: RetryBudget, interval: float = INTERVAL_SECONDS,
        timeout: float = REPORT_TIMEOUT_SECONDS,
    ) -> None:  # fmt: skip
        """`interval` and `timeout` in seconds."""
        self.rng, self.budget, self.interval, self.timeout = rng, budget, interval, timeout
        self.phase = rng.random()
        self.next_at, self.retry_at = now, float("inf")
        self.stretch = 1.0
        self.last_sent_at = self.last_answered_at = float("-inf")  # the second: of a report that was answered
        self.first_gap = FIRST_GAP_INTERVALS + self.phase  # intervals from the first report to the second
        self.has_begun = False
        self.missed = False  # the last heartbeat was left out
        self.has_retried = False  # since the last heartbeat a retry went out, or is due

    def begin(self, now: float, lifetime: float, processor_time: float) -> None:
        """Note that the process can report, after so many seconds of its life and of processor time.

        Where the first is much more, it was stopped or started among many others, which may report at this
        moment too: the first report is spread. Else it goes out at once.
        """
        if self.has_begun:
            return
        self.next_at = now
        waited = lifetime - CROWDED_START_FACTOR * processor_time
        if waited > STALLED_START_INTERVALS * self.interval:
            self._spread_first(now)

    def _spread_first(self, now: float) -> None:
        """The first report at this process's own place in the interval that begins now.

        The grid follows it.
        """
        self.next_at, self.first_gap = now + self.phase * self.interval, 1.0

    def _next_gap(self) -> float:
        """Seconds to the next heartbeat; drawn while stretched, so that processes in step come apart."""
        return self.interval * (self.rng.uniform(1.0, self.stretch) if self.stretch > 1 else 1.0)

    @property
    def wake_at(self) -> float:
        """When to look again."""
        return min(self.next_at, self.retry_at)

    def is_listed(self, now: float) -> bool:
        """Whether the last answered report still keeps the entry alive."""
        return now < self.last_answered_at + ENTRY_TTL_SECONDS

    def lateness(self, now: float) -> float:
        """Seconds by which the next heartbeat is late."""
        return max(0.0, now - self.next_at)

    def send_now(self, now: float) -> None:
        """A report out of turn: there is something new to report, or a new registry."""
        self.retry_at = now

    def should_send(self, now: float) -> bool:
        """Whether a report goes out now.

        A heartbeat that is late was delayed, as those of many may have been: it is skipped, and the next
        one is due at its own place. Never two in a row: who is late every time is slow, and reports when it
        can. Nor after a report that was not answered, while the entry lives: it would lapse.
        """
        if now < self.wake_at:
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
        """A report goes out; the moment at which it is given up, so that it delays none."""
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
        """The registry accepted the report."""
        took = now - self.last_sent_at
        self.last_answered_at = self.last_sent_at
        if took > SLOW_ANSWER_SHARE * self.timeout:
            self.stretch = min(MAX_STRETCH, self.stretch * STRETCH_FACTOR)
        else:
            self.stretch = max(1.0, self.stretch - STRETCH_DECREASE)
        self.budget.record_success()

    def failed(self, now: float) -> None:
        """The report was not sent, not answered, or not accepted.

        While the entry lives the heartbeats go on, of which three fit; stretched, they may not, and there is
        one retry. Without an entry there is nothing to lose, and the registry is spared.
        """
        if not self.is_listed(now):
            self.stretch = min(MAX_STRETCH, self.stretch * STRETCH_FACTOR)
        lapse, need = self.last_answered_at + ENTRY_TTL_SECONDS, self.timeout / 4  # the second: for an answer
        longest = min(self.next_at - now - 2 * need, lapse - now - need)
        may_retry = self.next_at + need > lapse and longest > need and not self.has_retried
        if may_retry and self.budget.take(now):
            self.retry_at, self.has_retried = now + self.rng.uniform(0.0, longest), True  # full jitter
