"""Where an app server stands for seats, as one node sees it: a state machine as a table. docs/affinity.md has
it row by row. Pure."""

from __future__ import annotations

from enum import Enum, IntEnum
from math import inf

from thymeyoke.affinity.rendezvous import marked
from thymeyoke.membership.view import Member, State, Trust


class Stage(IntEnum):
    UNKNOWN = 0  # of this life nothing is known, or it is cold
    RIPENING = 1  # it serves; customers whose seat its taking would change are being kept where they are
    RIPE = 2  # all of them are kept here; it takes nobody until every node says so
    TAKING = 3  # customers are hashed over these
    LEAVING = 4  # its customers were handed over to the hash over the rest
    GONE = 5  # the same; it is dead, or said farewell


class Fact(Enum):
    COLD = "cold"
    SERVING = "serving"
    UNSURE = "unsure"  # it served when it was last heard, and is suspected
    LEAVING = "leaving"
    DEAD = "dead"  # or it said farewell
    NEW_LIFE = "new life"  # followed by what it says
    FORGOTTEN = "forgotten"  # it is not in the view any more
    RIPENED = "ripened"
    AGREED = "agreed"  # all nodes have it as ripe; or the margin for that is over


LIVE = (Stage.RIPENING, Stage.RIPE, Stage.TAKING)
MOVES: dict[tuple[Stage, Fact], Stage] = {
    (Stage.UNKNOWN, Fact.SERVING): Stage.RIPENING,
    (Stage.UNKNOWN, Fact.UNSURE): Stage.RIPENING,
    (Stage.UNKNOWN, Fact.LEAVING): Stage.LEAVING,
    (Stage.UNKNOWN, Fact.DEAD): Stage.GONE,
    (Stage.RIPENING, Fact.RIPENED): Stage.RIPE,
    (Stage.RIPE, Fact.AGREED): Stage.TAKING,
    **{(stage, Fact.LEAVING): Stage.LEAVING for stage in LIVE},
    **{(stage, Fact.DEAD): Stage.GONE for stage in (*LIVE, Stage.LEAVING)},
    (Stage.GONE, Fact.SERVING): Stage.RIPENING,
    (Stage.GONE, Fact.UNSURE): Stage.RIPENING,
    (Stage.GONE, Fact.LEAVING): Stage.LEAVING,
    **{(stage, Fact.NEW_LIFE): Stage.UNKNOWN for stage in Stage},
    **{(stage, Fact.FORGOTTEN): Stage.UNKNOWN for stage in Stage},
}


def step(stage: Stage, fact: Fact) -> Stage:
    return MOVES.get((stage, fact), stage)


def fact(member: Member) -> Fact:
    """What a member says and is taken for, in one word."""
    if not member.there:
        return Fact.DEAD
    match member.snapshot.state:
        case State.COLD:
            return Fact.COLD
        case State.LEAVING:
            return Fact.LEAVING
    return Fact.UNSURE if member.trust == Trust.UNSURE else Fact.SERVING


def span(seconds: float) -> float:
    """What another says of a span: noise counts as nothing."""
    return seconds if 0 <= seconds < inf else 0.0


class Server:
    """One life of an app server."""

    __slots__ = (
        "agreeing", "back", "floor", "life", "mark", "moved_at", "name", "returned", "stage", "start",
        "told_until")  # fmt: skip

    def __init__(self, name: str, life: int) -> None:
        self.name, self.life, self.mark = name, life, marked(name, life)
        self.stage = Stage.UNKNOWN
        self.start = inf  # when it began to serve: its own word, by this process's clock
        self.floor = -inf  # it ripens from here on, though it served before: this node came to know it late
        self.back = False  # GONE without a farewell: it may be heard again
        self.returned = False  # it was
        self.moved_at = -inf  # into the last stage
        self.agreeing = False  # TAKING here, and not yet known to be so at every node
        self.told_until = -inf  # others are told that it takes

    @property
    def late(self) -> bool:
        return self.floor > -inf

    @property
    def ripens_from(self) -> float:
        return max(self.start, self.floor)
