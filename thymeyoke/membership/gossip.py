"""What members tell each other, as values, and which news goes next.

Pure. News is told a bounded number of times, by the logarithm of the members, those told least first: what
changes a view (a life, a state, a trust) before figures. `Fresh` is emptied as news has been told often
enough, and as members are forgotten.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from enum import IntEnum
from heapq import nsmallest
from math import ceil, log2
from typing import NamedTuple

from thymeyoke.membership.failure_detector import Said
from thymeyoke.membership.view import Snapshot

NEWS = 4000  # octets of others' news that ride on one message, about
MESH_NEWS = 500  # at least so many on what a node tells each other one; together about as many as on one
SAID_COST, RUMOUR_COST = 72, 28  # octets of a snapshot without its texts, and of a rumour without its names
LOAD_COST = 24
ROUNDS = 3  # times log2 of the members that a piece of news is told


class Verdict(IntEnum):
    SUSPECTED = 0
    DEAD = 1


class Rumour(NamedTuple):
    """What a member makes of another one's life, at one epoch of it: a higher one refutes it."""

    name: str
    incarnation: int
    epoch: int
    verdict: Verdict
    by: str  # who says so first


class Kind(IntEnum):
    PUSH = 0  # news alone
    PING = 1
    ACK = 2
    ASK = 3  # ping that one for me
    NACK = 4  # it did not answer me either
    PULL = 5  # all that I know; tell me all that you know
    CONFLICT = 6  # your name is mine


class Message(NamedTuple):
    kind: Kind
    me: Said  # who speaks, as it says
    lived: float  # seconds that it has lived
    number: int = 0  # of a ping, and of what answers it
    about: str = ""  # whom a ping, an ack, an ask or a nack is about
    said: tuple[Said, ...] = ()
    rumours: tuple[Rumour, ...] = ()


class Send(NamedTuple):
    """To one address, at once; it may be lost."""

    to: str
    message: Message


class Noted(NamedTuple):
    """Something to count, and to log where it names somebody. `what` is a word of the code."""

    what: str
    name: str = ""
    why: str = ""


Action = Send | Noted


def cost(snapshot: Snapshot) -> int:
    """Octets that its figures take on the way, about."""
    return SAID_COST + len(snapshot.name) + len(snapshot.address) + len(snapshot.serves)


def detail_cost(snapshot: Snapshot) -> int:
    """Octets that its loads and what it holds take besides, about."""
    loads = sum(LOAD_COST + len(load.tenant) for load in snapshot.loads)
    return LOAD_COST + loads + sum(2 + len(tenant) for tenant in snapshot.holds)


class Item(NamedTuple):
    said: Said
    rumours: tuple[Rumour, ...]

    @property
    def cost(self) -> int:
        said = cost(self.said.snapshot)
        if not self.rumours:
            return said
        return said + sum(RUMOUR_COST + len(one.name) + len(one.by) for one in self.rumours)


class Fresh:
    """News that is still to be told: by member, how often it was and whether it can wait."""

    def __init__(self) -> None:
        self.told: dict[str, tuple[bool, int]] = {}  # (can wait, times told)

    def put(self, name: str, waits: bool) -> None:
        """News of this member, from now on. Figures do not make a change wait that is still on its way."""
        before = self.told.get(name)
        if waits and before and not before[0]:
            return
        self.told[name] = (waits, 0)

    def drop(self, name: str) -> None:
        self.told.pop(name, None)

    def pick(
        self, many: int, room: int, item: Callable[[str], Item | None], times: int = 1,
        without: Iterable[str] = (),
    ) -> list[Item]:  # fmt: skip
        """What goes on a message that is told `times` times, in `room` octets; `many`: members there."""
        limit, left_out = ceil(ROUNDS * log2(many + 2)), set(without)
        most = NEWS // SAID_COST  # looked at, also for less room: some may be too large for it
        picked: list[Item] = []
        for name, (waits, told) in nsmallest(most, self.told.items(), key=lambda pair: pair[1]):
            one = item(name)
            if one is None:
                self.drop(name)
                continue
            if name in left_out:
                continue
            if (octets := one.cost) > room:
                continue  # it holds up no other: a suspicion by several can be over MESH_NEWS
            room -= octets
            picked.append(one)
            if told + times >= limit:
                self.drop(name)
            else:
                self.told[name] = (waits, told + times)
        return picked
