"""One process's start: how far it has come, and what follows for reports, calls below and repeats.

Pure: facts in, moments and leave out. docs/slow_start.md has the states as a table, the rules, and the ways
weighed. `Roster`, `Database` and `Processor` carry out what is said here.
"""

from __future__ import annotations

from enum import Enum
from random import Random

from thymeyoke.admission.settings import Outcome
from thymeyoke.slow_start.backoff import Failed
from thymeyoke.slow_start.connector import Link
from thymeyoke.slow_start.heartbeat import KEEP, PATIENCE, SPAN, Beat
from thymeyoke.slow_start.rate_limiter import Pace, Terms
from thymeyoke.slow_start.retry_budget import Budget

HELD = SPAN / 4  # seconds by which a timer is late: this process was held, by more than its own work
REPEATS = 4  # of each call that can be out at once: the size of the budget


class State(Enum):
    BORN = "born"  # nothing has been said to anybody
    REPORTING = "reporting"  # it reports, and no answer keeps its entry alive
    WARMING = "warming"  # it is listed; what lies below is not proven, or was in trouble
    WARM = "warm"


class Event(Enum):
    SENT = "sent"  # a report went out
    LISTED = "listed"  # a report was answered
    UNLISTED = "unlisted"  # no report was answered for as long as one keeps an entry alive
    FELL = "fell"  # the pace below was cut
    SOUND = "sound"  # the pace is open, and nothing below was in trouble for a span
    HELD = "held"  # this process stood still for longer than a report keeps an entry alive


NEXT = {
    (State.BORN, Event.SENT): State.REPORTING,
    (State.REPORTING, Event.LISTED): State.WARMING,
    (State.REPORTING, Event.HELD): State.BORN,
    (State.WARMING, Event.UNLISTED): State.REPORTING,
    (State.WARMING, Event.SOUND): State.WARM,
    (State.WARMING, Event.HELD): State.BORN,
    (State.WARM, Event.UNLISTED): State.REPORTING,
    (State.WARM, Event.FELL): State.WARMING,
    (State.WARM, Event.HELD): State.BORN,
}  # every other event leaves a state as it is


class ColdStart:
    """`seed` and `name` give the process its phase: where many are handed one seed, the name tells them
    apart. `began`: the moment of its first line, or None where it is not known."""

    def __init__(
        self, now: float, seed: int | str = 0, name: str = "", terms: Terms = Terms(),  # noqa: B008
        began: float | None = None,
    ) -> None:  # fmt: skip
        self.state, self.began = State.BORN, began
        self.rng = Random(f"cold start of {name} {seed}")
        self.budget = Budget(now, REPEATS * terms.at_once)
        self.beat = Beat(now, self.rng, self.budget)
        self.pace = Pace(now, self.rng, terms)
        self.link = Link(now, self.rng, self.budget)
        self.failed = Failed(terms.timeout)
        self.stalled_at = float("-inf")

    def beats(self, now: float, span: float = SPAN, patience: float = PATIENCE) -> Beat:
        """The beat of an actor that reports each `span` seconds."""
        self.beat = Beat(now, self.rng, self.budget, span, patience)
        return self.beat

    def on(self, event: Event) -> State:
        self.state = NEXT.get((self.state, event), self.state)
        self.pace.cold = self.state is not State.WARM
        return self.state

    # Reports.

    def begin(self, now: float, worked: float) -> None:
        """The process can report; it has used `worked` seconds of a processor."""
        self.beat.begin(now, 0.0 if self.began is None else now - self.began, worked)

    def goes(self, now: float) -> bool:
        """Whether a report goes out now."""
        late = self.beat.late(now)
        if late > HELD and not self.beat.missed:
            self.stalled(now, late)
        return self.beat.goes(now)

    def sent(self, now: float) -> float:
        """A report goes out; the moment at which it is given up."""
        self.on(Event.SENT)
        return self.beat.sent(now)

    def listed(self, now: float) -> None:
        self.beat.answered(now)
        self.on(Event.LISTED)
        if self.pace.sound(now):
            self.on(Event.SOUND)

    def unheard(self, now: float) -> None:
        self.beat.failed(now)
        if not self.beat.listed(now):
            self.on(Event.UNLISTED)

    # Calls below.

    def may_repeat(self, now: float, id: str) -> bool:
        """Whether a call may go out as far as the budget is concerned: a first try always."""
        return id not in self.failed or self.budget.take(now)

    def called(self, now: float, id: str, outcome: Outcome, took: float) -> None:
        """What came of a call that went out."""
        if outcome is Outcome.OK:
            self.budget.won()
            self.failed.worked(id)
        else:
            self.failed.note(now, id)
        if self.pace.heard(now, outcome, took):
            self.on(Event.FELL)

    def look(self, now: float, age: float) -> None:
        """`age`: seconds that the oldest first try has waited for leave."""
        self.pace.look(now, age)
        self.failed.forget(now)

    # Holds.

    def stalled(self, now: float, late: float) -> None:
        """A timer came `late` seconds after its moment. Several of one hold count once, and who is late all
        the time is slow, not held."""
        if late <= HELD or now < self.stalled_at + (KEEP if late < KEEP else HELD):
            return
        self.stalled_at = now
        self.pace.stalled(now)
        if late > KEEP:
            self.on(Event.HELD)
