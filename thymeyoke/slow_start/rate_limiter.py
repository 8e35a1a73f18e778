"""How many calls and connections below go out a second. Pure: moments and outcomes in, leave out.

While all is well the pace is open: every call has leave, and nothing is booked but its number. Answers that
tell of a database in trouble close it to a rate, which bad ones cut and good ones raise, until nothing waits
for leave any more.
"""

from __future__ import annotations

from random import Random
from typing import Any, NamedTuple

from thymeyoke.admission.settings import Below, Dependency, Machine, Outcome, Survival

CATCH = 1.2  # of the usual rate: no more while it is closed, so that nothing is made up for in one go
NEWS = 8.0  # seconds without trouble: what waits then is new, and the cap grows by a usual rate in as long
LEARN = 4.0  # seconds in which the usual rate comes to be what is asked for, while the pace is closed
CUT = 0.5  # of the rate, at most once a span
RISE = 1.0  # seconds of good answers in which the rate rises by the usual one
LEAST = 1 / 8  # of the usual rate, and one a span: the floor, which always probes
SPAN = 0.9  # seconds: between two cuts; without trouble or waiting until the pace opens
SHARE = 0.25  # of the recent answers being bad, the database is in trouble:
COLD_SIGNS, SIGNS = 1.0, 4.0  # from so many on while cold, and while warm (of few calls, from half of them)
LIGHT = 0.5  # of a sign: what one lost connection or one slow run may be the cause of
SLOW = 5.0  # times the usual time of a call
NEW = 0.2  # weight of the newest call in the recent time of calls
HISTORY = 2.0  # seconds of calls that make the usual rate, and of answers that tell of trouble
LASTING = 4 * HISTORY  # seconds of calls that make it as well; a pause counts no more than a look
LOOK = 0.25  # seconds between looks
CONNECT = 2.0  # calls that one counts as, which opens a connection
LONG = 0.1  # seconds that a call may wait for leave, and the pace opens all the same
JITTER = 0.5  # of a token
WHOLE = 1 - 1e-6  # of a token: sums of fractions are short of one

BAD = {Outcome.FULL: 1.0, Outcome.UNREACHED: 1.0, Outcome.CUT: LIGHT, Outcome.TIMEOUT: LIGHT}


class Terms(NamedTuple):
    """What is told at the start, as far as it bears on calls. Seconds."""

    at_once: float = 64.0  # calls that may be out at one moment, by all that is told
    sure: float = 8.0  # of them, those that the database surely takes: the part told, or one a core
    tick: float = 0.001  # between two batches of events: calls go out in batches
    target: float = 1.0  # the shortest target latency: a call that takes longer is of no use
    timeout: float = 4.0  # the longest op timeout

    @property
    def top(self) -> float:
        """Calls a second that the decisions could ever let out: with this nothing changes."""
        return self.at_once / self.tick

    @property
    def fair(self) -> float:
        """Calls a second that keep to that though each took all of a target."""
        return self.sure / self.target


def terms(given: dict[str, Any]) -> Terms:
    """From what the decisions are handed at the start (`start.start`)."""
    machine: Machine = given["machine"]
    survival: Survival = given["survival"]
    below: Dependency = given["dependency"]
    crowd = machine.cores * max(1.0, survival.crowd)  # each op on the cores has one call out at most
    shared = below.kind is Below.SHARED and below.fair_calls > 0
    return Terms(
        at_once=max(1.0, min(crowd, below.fair_calls) if shared else crowd),
        sure=below.fair_calls if shared else float(machine.cores),
        tick=max(machine.tick, 0.001),
        target=min((kind.target for kind in given["op_types"]), default=1.0) or 1.0,
        timeout=max((kind.timeout for kind in given["op_types"]), default=4.0),
    )


class Pace:
    """Ask `open` or `has` for leave and book what goes out with `spend`; tell what comes back with `heard`;
    `look` four times a second. `cold` is the state's word that nothing below has been proven yet."""

    def __init__(self, now: float, rng: Random, terms: Terms) -> None:
        self.rng, self.terms, self.cold = rng, terms, True
        self.rate = terms.top  # calls a second
        self.tokens, self.at = 1.0, now  # booked only while it is not open
        self.asked = 0  # first tries since the last look
        self.good, self.bad = 0.0, 0.0  # recent answers; they fade
        self.looked = self.shut_at = now
        self.cut_at = self.good_at = self.bad_at = self.waited_at = float("-inf")
        self.recent = self.lasting = self.kept = 0.0  # first tries a second: of late; in LASTING; when closed
        self.asked_at = now
        self.mean = self.time = terms.target / SLOW / 2  # of a call: of late; usually, the lowest mean
        self.catch = CATCH  # of the usual rate: the cap
        self.proven = False  # whether anything came back well since it was closed

    @property
    def open(self) -> bool:
        return self.rate >= self.terms.top

    @property
    def usual(self) -> float:
        """Calls a second that are this process's own: what its ops ask for, or the part surely told."""
        return max(max(self.recent, self.lasting) if self.open else self.kept, self.terms.fair)

    @property
    def need(self) -> float:
        """Seconds in which a sound database answers: with less left a call would come back in time to nobody,
        and its end would tell nothing."""
        return SLOW * self.time

    @property
    def floor(self) -> float:
        return max(1 / SPAN, LEAST * self.usual)

    @property
    def cap(self) -> float:
        return max(self.catch * self.usual, self.floor)

    def has(self, now: float) -> bool:
        """Whether a call has leave now."""
        if self.open:
            return True
        self._fill(now)
        return self.tokens >= WHOLE

    def spend(self, connects: bool) -> None:
        """A call goes out, on a new connection or on one that is there. What it costs is drawn: many that
        were closed at one moment come apart."""
        if not self.open:
            self.tokens -= (CONNECT if connects else 1.0) * self.rng.uniform(1 - JITTER, 1 + JITTER)

    def when(self, now: float) -> float:
        """The moment at which the next call has leave, if nothing else happens."""
        if self.open:
            return now
        self._fill(now)
        return now + max(0.0, 1 - self.tokens) / self.rate

    def _fill(self, now: float) -> None:
        """Hardly more than one: what was not used is not made up for, but for what a late look costs."""
        most = max(1.0, self.rate * LONG / 2)
        self.tokens = min(most, self.tokens + max(0.0, now - self.at) * self.rate)
        self.at = max(now, self.at)

    def heard(self, now: float, outcome: Outcome, took: float) -> bool:
        """What came of a call that went out; whether the rate was cut for it."""
        sign = BAD.get(outcome, 0.0)
        if outcome is Outcome.OK:
            sign = LIGHT if self._slow(took) else 0.0
        if not sign:
            self.good, self.good_at, self.proven = self.good + 1, now, True
            return False
        self.bad += sign
        if self.bad < SHARE * (self.good + self.bad):
            return False
        self.bad_at = now
        if self.bad < self._least() or now < self.cut_at + SPAN:
            return False
        self._cut(now)
        return True

    def _slow(self, took: float) -> bool:
        """Single calls differ too much: it is slow where those before it were as well."""
        self.mean += NEW * (took - self.mean)
        self.time = min(self.mean, self.time + NEW / 100 * (self.mean - self.time))
        return min(took, self.mean) > SLOW * self.time

    def _least(self) -> float:
        """The signs that a cut takes."""
        return COLD_SIGNS if self.cold else min(SIGNS, max(COLD_SIGNS, self.recent * HISTORY / 2))

    def _cut(self, now: float) -> None:
        if self.open:
            self._shut(now)
        self.cut_at, self.proven = now, False
        self.good = self.bad = 0.0  # the next cut needs signs of its own
        self.rate = max(self.floor, CUT * min(self.rate, self.usual))

    def _shut(self, now: float) -> None:
        """From now on calls need a token. When the first one comes is drawn: many may be shut at once."""
        self.kept, self.catch = max(self.recent, self.lasting), CATCH
        self.rate = self.cap
        self.tokens, self.at, self.shut_at = -self.rng.random(), now, now

    def stalled(self, now: float) -> None:
        """This process was held, as many may have been: what gathered meanwhile goes out at the usual rate,
        from a moment of its own on. Time that it was held is none in which calls were asked for."""
        self.looked = now
        if self.open:
            self._shut(now)
            self._afresh()
        self.tokens, self.at, self.waited_at = -self.rng.random(), now, now

    def stood(self, span: float) -> None:
        """Seconds went by that the clock did not tell, as it was set back. What waits goes out at the rate of
        then, or a call would wait for hours before a sound database."""
        self.at -= span

    def moved(self, now: float) -> None:
        """The database is elsewhere: what the old one answered tells nothing of the new one."""
        if not self.open:
            self._afresh()

    def _afresh(self) -> None:
        """At the usual rate, with nothing held against what lies below."""
        self.rate, self.proven = min(self.cap, max(self.floor, self.usual)), True
        self.good = self.bad = 0.0
        self.cut_at = self.bad_at = float("-inf")

    def look(self, now: float, age: float = 0.0) -> None:
        """Raise the rate while answers are good; open once nothing is in trouble and nothing waits for long.
        `age`: seconds that the oldest first try has waited for leave."""
        if age > LONG:
            self.waited_at = now
        span = now - self.looked
        if span < LOOK:
            return
        self.recent += min(1.0, span / HISTORY) * (self.asked / span - self.recent)
        if self.asked:  # a pause tells nothing of how many are asked behind it
            gap, self.asked_at = now - self.asked_at, now
            part = gap if gap <= HISTORY else LOOK
            self.lasting += part / LASTING * (self.asked / gap - self.lasting)
        if not self.open:
            self.catch = CATCH + max(0.0, (now - max(self.bad_at, self.shut_at)) / NEWS - 1)
            # What gathered in a hold, or failed in a crowd, is asked for at once: it is not the usual rate.
            self.kept += max(0.0, self.recent - self.kept) * min(1.0, span / LEARN)
            if self.good_at >= self.looked > self.bad_at:
                self.rate += self.usual / RISE * span
            self.rate = min(self.cap, max(self.floor, self.rate))
            if self.proven and now >= max(self.bad_at, self.waited_at, self.shut_at) + SPAN:
                self.rate, self.kept = self.terms.top, 0.0
        fade = max(0.0, 1 - span / HISTORY)
        self.good, self.bad = self.good * fade, self.bad * fade
        self.asked, self.looked = 0, now

    def sound(self, now: float) -> bool:
        """Nothing waits for leave, and nothing below was in trouble for a span, also the first of a life."""
        return self.open and now >= max(self.bad_at, self.shut_at) + SPAN
