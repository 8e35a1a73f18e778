"""What this process makes of one other: its trust as a state machine, and what is known of it, newest first.

Pure. docs/membership.md has the table, row by row; `MOVES` is the same, with the rows that change nothing
left out. Orders decide, never clocks: (incarnation, sequence) of a snapshot, and the upper part of the
sequence, the *epoch*, which a process raises to refute what is said of it.
"""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum
from math import log
from typing import NamedTuple

from thymeyoke.membership.view import Load, Snapshot, State, Trust

EPOCH = 1 << 20  # snapshots of one epoch: a beat a second fills one in 12 days, which refutes for nothing
CONFIRMS = 3  # others who suspect too, from which on a suspicion lasts no longer than its least
LEAST, TOP = 3.0, 9.0  # periods that a suspicion lasts, confirmed and alone, times log10 of the members
STRANGER = 100.0  # periods: an unknown name comes in by a snapshot that is younger
GONE_STAYS, DEAD_STAYS = 120.0, 600.0  # periods that they stay known: longer than old news of them is taken


class Stand(Enum):
    UNKNOWN = "unknown"
    SURE = "sure"
    UNSURE = "unsure"
    DEAD = "dead"
    GONE = "gone"


class Event(Enum):
    NEWER = "newer"  # a later snapshot of the same life and epoch
    OLDER = "older"  # one that is not later, or a stranger's that is too old to be believed
    REFUTATION = "refutation"  # the same life, a higher epoch
    NEW_LIFE = "new life"  # a higher incarnation, or the first that is heard of the name
    FAREWELL = "farewell"  # a later snapshot that says GONE
    UNANSWERED = "unanswered"  # our probe, straight and through others
    SUSPECTED = "suspected"  # another member suspects it
    FOUND_DEAD = "found dead"  # another member found it dead
    SUSPICION_OVER = "suspicion over"
    STAY_OVER = "stay over"  # it was known as dead or gone for long enough
    ANOTHER_ADDRESS = "another address"  # the name, from elsewhere, while it is there


MOVES: dict[tuple[Stand, Event], Stand] = {
    (Stand.UNKNOWN, Event.NEW_LIFE): Stand.SURE,
    (Stand.SURE, Event.FAREWELL): Stand.GONE,
    (Stand.SURE, Event.UNANSWERED): Stand.UNSURE,
    (Stand.SURE, Event.SUSPECTED): Stand.UNSURE,
    (Stand.SURE, Event.FOUND_DEAD): Stand.UNSURE,  # it gets its chance to refute: no single member kills
    (Stand.UNSURE, Event.REFUTATION): Stand.SURE,
    (Stand.UNSURE, Event.NEW_LIFE): Stand.SURE,
    (Stand.UNSURE, Event.FAREWELL): Stand.GONE,
    (Stand.UNSURE, Event.FOUND_DEAD): Stand.DEAD,
    (Stand.UNSURE, Event.SUSPICION_OVER): Stand.DEAD,
    (Stand.DEAD, Event.REFUTATION): Stand.SURE,
    (Stand.DEAD, Event.NEW_LIFE): Stand.SURE,
    (Stand.DEAD, Event.FAREWELL): Stand.GONE,
    (Stand.DEAD, Event.STAY_OVER): Stand.UNKNOWN,
    (Stand.GONE, Event.NEW_LIFE): Stand.SURE,
    (Stand.GONE, Event.STAY_OVER): Stand.UNKNOWN,
}
TRUST = {Stand.SURE: Trust.SURE, Stand.UNSURE: Trust.UNSURE, Stand.DEAD: Trust.DEAD, Stand.GONE: Trust.DEAD}
HERE = (Stand.SURE, Stand.UNSURE)

# Whose snapshot is taken, by event; all else leaves what is known as it is.
TAKEN: dict[Event, tuple[Stand, ...]] = {
    Event.NEWER: HERE,
    Event.REFUTATION: (*HERE, Stand.DEAD),
    Event.NEW_LIFE: tuple(Stand),
    Event.FAREWELL: (*HERE, Stand.DEAD),
}


def step(stand: Stand, event: Event) -> Stand:
    return MOVES.get((stand, event), stand)


def epoch(snapshot: Snapshot) -> int:
    return snapshot.sequence // EPOCH


class Layer:
    """What a telling has besides the figures, as bits: plain numbers, since they are looked at for each
    snapshot that is heard. Gossip has none; nodes tell each other the rest."""

    FIGURES = 0
    PARTS = 1
    DETAIL = 2  # loads, rest, holds


class Said(NamedTuple):
    """A snapshot on its way: how old it was when it was passed on, and what of it was told."""

    snapshot: Snapshot
    age: float = 0.0
    layers: int = Layer.FIGURES


class Suspicion:
    """How long a member may take to refute. It starts long and shrinks with each other member that suspects
    it as well (Lifeguard's: by the logarithm), down to its least."""

    def __init__(self, now: float, by: str, many: int, unit: float) -> None:
        """`unit`: seconds of a period; `many`: members that are there."""
        self.since, self.by = now, {by}  # at most CONFIRMS + 1
        scale = unit * max(1.0, log(max(1, many), 10))
        self.least, self.top = LEAST * scale, TOP * scale
        self.wanted = min(CONFIRMS, max(0, many - 2))  # others than the suspect and the first to say so

    def confirm(self, by: str) -> bool:
        """Whether this is another one than those before."""
        if by in self.by or len(self.by) > self.wanted:
            return False
        self.by.add(by)
        return True

    def sure(self) -> None:
        """Somebody found it dead: no longer than the least."""
        self.top = self.least

    @property
    def over_at(self) -> float:
        if not self.wanted:
            return self.since + self.least
        part = log(len(self.by)) / log(self.wanted + 1)
        return self.since + max(self.least, self.top - (self.top - self.least) * part)


Detail = tuple[tuple[Load, ...], Load, tuple[str, ...]]
NO_DETAIL: Detail = ((), Load("", 0), ())
NO_ORDER = (-1, -1)


def brief(snapshot: Snapshot) -> Snapshot:
    """Its figures alone."""
    if (snapshot.loads, snapshot.rest, snapshot.holds) == NO_DETAIL and not snapshot.parts:
        return snapshot
    return snapshot._replace(loads=(), rest=NO_DETAIL[1], holds=(), parts={})


class Known:
    """All that is known of one member. Each layer is the newest by order of those that came: a join, so that
    neither the way nor the number of times that something comes matters."""

    __slots__ = ("at", "detail", "detail_at", "detail_order", "figures", "heard_at", "parts", "parts_order",
                 "shown", "since", "stand", "suspicion")  # fmt: skip

    def __init__(self, now: float, said: Said) -> None:
        self.stand, self.since = Stand.UNKNOWN, now  # since when it stands so
        self.suspicion: Suspicion | None = None
        self.heard_at = float("-inf")  # straight from itself, in this life
        self._fresh(now, said)

    def _fresh(self, now: float, said: Said) -> None:
        self.figures, self.at = brief(said.snapshot), now - said.age
        self.parts: Mapping[str, bytes] = {}
        self.detail = NO_DETAIL
        self.parts_order = self.detail_order = NO_ORDER
        self.detail_at = self.at
        self._layers(now, said)

    def take(self, now: float, said: Said) -> None:
        """Of a snapshot that is newer (`TAKEN`)."""
        if said.snapshot.incarnation != self.figures.incarnation:
            self.heard_at = float("-inf")
            return self._fresh(now, said)
        self.figures, self.at = brief(said.snapshot), now - said.age
        self._layers(now, said)

    def also(self, now: float, said: Said) -> None:
        """The layers of a snapshot whose figures came before, by gossip."""
        if said.snapshot.incarnation == self.figures.incarnation and self.stand in HERE:
            self._layers(now, said)

    def _layers(self, now: float, said: Said) -> None:
        snapshot = said.snapshot
        if said.layers & Layer.PARTS and snapshot.order > self.parts_order:
            self.parts, self.parts_order = snapshot.parts, snapshot.order
        if said.layers & Layer.DETAIL and snapshot.order > self.detail_order:
            self.detail = snapshot.loads, snapshot.rest, snapshot.holds
            self.detail_order, self.detail_at = snapshot.order, now - said.age
        loads, rest, holds = self.detail
        if self.detail_order == NO_ORDER:  # whose they are is not told, which is not "nobody's"
            rest = Load("", self.figures.connections, self.figures.opened)
        if (loads, rest, holds) == NO_DETAIL and not self.parts:
            self.shown = self.figures
        else:
            self.shown = self.figures._replace(loads=loads, rest=rest, holds=holds, parts=self.parts)

    def confirmed_at(self) -> float:
        """When the oldest of its figures was said."""
        return self.at if self.detail_order == NO_ORDER else min(self.at, self.detail_at)

    @property
    def epoch(self) -> int:
        return epoch(self.figures)


def classify(known: Known | None, said: Said, period: float) -> Event:
    """What a snapshot is, beside what is known."""
    new = said.snapshot
    if known is None:
        if new.state == State.GONE:
            return Event.FAREWELL
        return Event.OLDER if said.age > STRANGER * period else Event.NEW_LIFE
    old = known.figures
    elsewhere = new.address != old.address
    if elsewhere and known.stand in HERE:
        return Event.ANOTHER_ADDRESS
    if new.incarnation > old.incarnation:
        return Event.FAREWELL if new.state == State.GONE else Event.NEW_LIFE
    if elsewhere or new.order <= old.order:
        return Event.OLDER
    if new.state == State.GONE:
        return Event.FAREWELL
    return Event.REFUTATION if epoch(new) > known.epoch else Event.NEWER
