"""Exceptions as a join semilattice: by customer, the larger of (born, server, life, until).

Pure. The order is total, so the join is a maximum: associative, commutative, idempotent, and it never goes
down; a table of exceptions is the product of them. Whatever order, and however often, words come in, nodes
that heard the same hold the same.

`born` orders exceptions. It is a logical stamp (Lamport, 1978), one more than all that its maker had heard
of: clocks may be off by seconds, and an age would be another number at each node. `until` is a moment of the
own clock, and travels as the span that is left.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from thymeyoke.membership.view import NAME_MOST

CUSTOMER_TOP = (1 << 64) - 1
STAMP_TOP = 1 << 62
AHEAD = 1 << 40  # stamps that another may be ahead: no fleet makes as many exceptions between two words
LIFE_TOP = (1 << 63) - 1
LONGEST = 8.0  # times the span that is told here: another node may have a longer linger


class Entry(NamedTuple):
    """An exception as a node holds it. Compares in the order of the semilattice."""

    born: int
    server: str
    life: int  # the server's incarnation: another life of it knows nothing of the customer
    until: float  # by the own clock


class Told(NamedTuple):
    """An exception on its way."""

    customer: int
    born: int
    server: str
    life: int
    left: float  # seconds


Table = Mapping[int, Entry]


def join(one: Entry, other: Entry) -> Entry:
    return max(one, other)


def joined(one: Table, other: Table) -> dict[int, Entry]:
    """The join of two tables: what either knows."""
    made = dict(one)
    for customer, entry in other.items():
        mine = made.get(customer)
        made[customer] = entry if mine is None else join(mine, entry)
    return made


def below(one: Table, other: Table) -> bool:
    """Whether `other` knows all that `one` does."""
    return all(customer in other and entry <= other[customer] for customer, entry in one.items())


def table(entries: Iterable[tuple[int, Entry]]) -> dict[int, Entry]:
    made: dict[int, Entry] = {}
    for customer, entry in entries:
        made = joined(made, {customer: entry})
    return made


def fault(told: Told, newest: int, span: float) -> str:
    """Why an exception cannot be, or nothing. `newest`: the latest stamp that is believed; `span`: the
    longest that this node itself tells."""
    if not 0 <= told.customer <= CUSTOMER_TOP:
        return "customer"
    if not 0 < told.born < STAMP_TOP:
        return "stamp"
    if told.born > newest:
        return "tomorrow"
    if not 0 < len(told.server) <= NAME_MOST:
        return "server"
    if not 0 <= told.life <= LIFE_TOP:
        return "life"
    if not 0 < told.left <= LONGEST * span:  # no number is never so
        return "span"
    return ""
