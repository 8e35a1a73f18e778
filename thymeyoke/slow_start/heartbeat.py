"""When reports to the list go out. Pure: moments in, moments out.

The beats of a process lie on a grid of its own: its phase is drawn once, a beat is counted from the one
before it and not from when that went out, and what was missed is left out. So the beats of many that were
held, or found the list gone, at the same moment never fall together.
"""

from __future__ import annotations

from random import Random

from thymeyoke.slow_start.retry_budget import Budget

SPAN = 0.9  # seconds between reports when all is sound
PATIENCE = 0.9  # seconds; a report that is not answered by then is given up
KEEP = 3.0  # seconds that a report keeps an entry alive
LATE = 1 / 12  # of the span: a beat that is later than this was missed
# Stretched, two beats that are not yet missed and half a patience still fit into KEEP: one may fail.
TOP = (KEEP / SPAN - PATIENCE / SPAN / 2) / 2 - LATE  # of the span: 4/3
UP, DOWN = 1.25, 0.1  # the stretch grows by this factor with trouble, and shrinks by this much with an answer
SLOW = 0.5  # of the patience: an answer that takes longer stretches the span
FIRST = 2 / 3  # of the span: between the first report and the second, at least; a span more at most
CROWDED = 4.0  # a start that took this many times its processor time, and half a span, shares it with many
HELD = 0.5  # of the span


class Beat:
    """The reports of one process. `moment` is when to look in again; `goes` then says whether one goes out,
    `sent` that it did."""

    def __init__(
        self, now: float, rng: Random, budget: Budget, span: float = SPAN, patience: float = PATIENCE
    ) -> None:
        self.rng, self.budget, self.span, self.patience = rng, budget, span, patience
        self.phase = rng.random()
        self.next, self.retry = now, float("inf")
        self.stretch = 1.0
        self.heard = self.out = float("-inf")  # when the last report went out that was answered; the last one
        self.gap = FIRST + self.phase  # spans from the first report to the second
        self.begun = False
        self.missed = False  # the last beat was left out
        self.repeated = False  # since the last beat a repeat went out, or is due

    def begin(self, now: float, lived: float, worked: float) -> None:
        """The process can report. It has lived for `lived` seconds and used `worked` seconds of a processor:
        where the first is much more, it was held, or started in a crowd, and many can report at this very
        moment. Else the first report goes out at once."""
        if self.begun:
            return
        self.next = now
        if lived - CROWDED * worked > HELD * self.span:
            self._spread(now)

    def _spread(self, now: float) -> None:
        """The first report at this process's own place in the span that begins now; the grid follows it."""
        self.next, self.gap = now + self.phase * self.span, 1.0

    def _step(self) -> float:
        """To the next beat. In trouble it is drawn: what many did at one moment is far apart soon."""
        return self.span * (self.rng.uniform(1.0, self.stretch) if self.stretch > 1 else 1.0)

    @property
    def moment(self) -> float:
        return min(self.next, self.retry)

    def listed(self, now: float) -> bool:
        """Whether the last answered report still keeps the entry alive."""
        return now < self.heard + KEEP

    def late(self, now: float) -> float:
        """Seconds by which the next beat is late."""
        return max(0.0, now - self.next)

    def at_once(self, now: float) -> None:
        """A report out of turn: there is something new to say, or somebody new to say it to."""
        self.retry = now

    def goes(self, now: float) -> bool:
        """Whether a report goes out now. A beat that comes late was held, as those of many may have been:
        it is left out, and the next one is due at its own place. Never two in a row: who is late every
        time is slow, and reports when it can. Nor behind a report that was not answered, while the entry
        lives: it would lapse."""
        if now < self.moment:
            return False
        if now > self.retry + LATE * self.span:
            self.retry = float("inf")
            return self.goes(now)
        risk = self.out > self.heard and self.listed(now)
        if now >= self.retry or risk or self.missed or self.late(now) <= LATE * self.span:
            return True
        self.missed = True
        if self.begun:
            self.next += (int(self.late(now) / self.span) + 1) * self.span
        else:
            self._spread(now)
        return False

    def sent(self, now: float) -> float:
        """A report goes out; the moment at which it is given up, so that it puts off none."""
        self.retry, self.out = float("inf"), now
        if not self.begun:
            self.begun, self.next = True, now + self.gap * self.span
        elif now >= self.next - LATE * self.span:
            self.next += self._step()
            self.missed = self.repeated = False
        while self.next < now + self.patience / 2:
            self.next += self.span
        return min(now + self.patience, self.next)

    def answered(self, now: float) -> None:
        took = now - self.out
        self.heard = self.out
        slow = took > SLOW * self.patience
        self.stretch = min(TOP, self.stretch * UP) if slow else max(1.0, self.stretch - DOWN)
        self.budget.won()

    def failed(self, now: float) -> None:
        """Not connected, not answered, or with another answer. While the entry lives the beats go on, of
        which three fit; stretched, they may not, and there is one repeat. Without an entry there is nothing
        to lose, and the list is spared."""
        if not self.listed(now):
            self.stretch = min(TOP, self.stretch * UP)
        lapse, need = self.heard + KEEP, self.patience / 4  # for an answer
        room = min(self.next - now - 2 * need, lapse - now - need)
        if self.next + need > lapse and room > need and not self.repeated and self.budget.take(now):
            self.retry, self.repeated = now + self.rng.uniform(0.0, room), True  # full jitter
