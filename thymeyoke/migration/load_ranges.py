"""How much each node holds, as far as it can be known: a view in, ranges in connections out.

Pure. A load is told in connections: half by what is held and half by what is opened a second, times the span
that a connection lives (Little's law: so many come to be held). Where connections live for longer than a move
settles, what is held counts for more. Every figure is a range; what is not known is left out and named, never
taken for zero. docs/migration.md has the rules.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from math import ceil, isfinite
from typing import NamedTuple

from thymeyoke.membership.view import Load, Member, Snapshot, State, Trust, View

LEAST_WEIGHT = 1 / 2  # of a snapshot: below, its figures are not known any more
HUGE = 1e9  # connections, or opened a second: no process has that; such figures are not believed
SLACK = 1 / 100  # by which the tenants' least figures may be over their sum: they are counted at two moments


class Terms(NamedTuple):
    """What the operators say; docs/migration.md. Times in seconds."""

    act: str = "recommend"  # or "move"
    uneven: float = 1.25  # of the fleet's mean
    at_once: int = 1
    an_hour: int = 12
    rest: float = 300.0
    settle: float = 60.0
    period: float = 1.0  # of [members]: how soon what a node says is heard hangs on it
    rise: float = 0.0  # until an address that was withdrawn is announced in full

    @property
    def moves(self) -> bool:
        return self.act == "move"


class Range(NamedTuple):
    """What a figure is at least, most likely, at most."""

    low: float
    mid: float
    high: float

    def apart(self, other: Range, by: float = 0.0) -> bool:
        """Whether the two figures surely differ by more."""
        return self.low > other.high + by or other.low > self.high + by

    def plus(self, other: Range) -> Range:
        return Range(self.low + other.low, self.mid + other.mid, self.high + other.high)

    def less(self, other: Range) -> Range:
        """What is left without a part of it, for all that each of the two may be; never below zero."""
        low, mid = max(0.0, self.low - other.high), max(0.0, self.mid - other.mid)
        return Range(min(low, mid), mid, max(mid, self.high - other.low))


NOTHING = Range(0.0, 0.0, 0.0)


class Tenant(NamedTuple):
    """One tenant at the node that holds it."""

    name: str
    load: Range
    connections: int  # at most
    opened: float


class Node(NamedTuple):
    """A node whose load is known."""

    name: str
    load: Range
    room: int  # connections that it could surely still hold
    tenants: tuple[Tenant, ...]  # that it holds and tells one by one: the largest first, then by name
    holds: frozenset[str]


class Loads(NamedTuple):
    """The fleet's nodes, sorted by name; those whose load is not known, and why."""

    nodes: tuple[Node, ...]
    unknown: dict[str, str]
    mean: Range
    life: float  # seconds that a connection lives, in the mean; 0 where nothing is opened

    def node(self, name: str) -> Node | None:
        return next((one for one in self.nodes if one.name == name), None)


def unbelievable(snapshot: Snapshot) -> str:
    """Why the figures can't be true, or "". Whoever tells such figures is not reckoned with at all."""
    figures = [snapshot.rest, *snapshot.loads]
    names = {one.tenant for one in snapshot.loads}
    held = snapshot.connections
    if len(names) < len(snapshot.loads):
        return "tells a tenant twice"
    if not (_within(held) and _within(snapshot.room) and _within(snapshot.opened)):
        return "tells a figure out of bounds"
    if not all(_within(one.connections) and _within(one.opened) and 0 <= one.over <= one.connections
               for one in figures):  # fmt: skip
        return "tells a tenant's figure out of bounds"
    least = sum(one.connections - one.over for one in figures)
    if least > held * (1 + SLACK) + 1:
        return f"tells tenants of at least {least} connections and {held} in all"
    return ""


def _within(figure: float) -> bool:
    return isfinite(figure) and 0 <= figure < HUGE


def why_unknown(member: Member) -> str:
    """Why nothing may rest on what this node tells of itself, or ""."""
    if member.trust != Trust.SURE:
        return "dead" if member.trust == Trust.DEAD else "not surely there"
    if member.snapshot.state != State.SERVING:
        return member.snapshot.state.name.lower()
    if not member.weight >= LEAST_WEIGHT:  # also what is no number
        return f"last heard of {member.age:.0f} s ago"
    return unbelievable(member.snapshot)


def read(view: View, terms: Terms) -> Loads:
    """All nodes of a view, by what each tells of itself."""
    known: list[Member] = []
    unknown: dict[str, str] = {}
    for member in view.nodes():
        if member.snapshot.state == State.GONE:
            continue
        if why := why_unknown(member):
            unknown[member.name] = why
        else:
            known.append(member)
    held = sum(member.snapshot.connections for member in known)
    opened = sum(member.snapshot.opened for member in known)
    life = held / opened if opened > 0 else 0.0
    nodes = tuple(_node(member, life, terms.settle) for member in known)
    nodes = _settled(nodes, known, life, terms.settle)
    return Loads(nodes, unknown, mean(one.load for one in nodes), life)


def _settled(
    nodes: tuple[Node, ...], members: Iterable[Member], life: float, settle: float
) -> tuple[Node, ...]:
    """As if connections that stay behind where their tenant was had closed, and come again where it is held
    now: a node that gives a tenant away is not over its bound for what no move takes from it, and whoever
    took it is not empty. Where nobody known holds a tenant, its connections count where they are."""
    holders: dict[str, list[str]] = {}
    for node in nodes:
        for tenant in node.holds:
            holders.setdefault(tenant, []).append(node.name)
    off: dict[str, list[Range]] = {}
    on: dict[str, dict[str, tuple[Range, int]]] = {}  # by node, by tenant: what is to come
    for node, member in zip(nodes, members, strict=True):
        for one in member.snapshot.loads:
            there = () if one.tenant in node.holds else holders.get(one.tenant, ())
            if not there:
                continue
            behind = spread(one, member, life, settle)
            off.setdefault(node.name, []).append(behind)
            for name in there:
                part = Range(*(figure / len(there) for figure in behind))
                mine = on.setdefault(name, {})
                before, many = mine.get(one.tenant, (NOTHING, 0))
                mine[one.tenant] = before.plus(part), many + ceil(one.connections / len(there))
    if not off:
        return nodes
    return tuple(_with(node, off.get(node.name, ()), on.get(node.name, {})) for node in nodes)


def _with(node: Node, off: Iterable[Range], on: Mapping[str, tuple[Range, int]]) -> Node:
    """Its `room` stays what it is now."""
    load = node.load
    for one in off:
        load = load.less(one)
    tenants = {one.name: one for one in node.tenants}
    for name, (part, many) in on.items():
        load = load.plus(part)
        had = tenants.get(name, Tenant(name, NOTHING, 0, 0.0))
        tenants[name] = had._replace(load=had.load.plus(part), connections=had.connections + many)
    return node._replace(load=load, tenants=tuple(sorted(tenants.values(), key=_largest)))


def _largest(one: Tenant) -> tuple[float, str]:
    return -one.load.mid, one.name


def mean(loads: Iterable[Range]) -> Range:
    every = list(loads)
    if not every:
        return NOTHING
    low, mid, high = (sum(part) / len(every) for part in zip(*every, strict=True))
    return Range(low, mid, high)


def _node(member: Member, life: float, settle: float) -> Node:
    said = member.snapshot
    holds = frozenset(said.holds)
    tenants = sorted(
        (
            Tenant(one.tenant, spread(one, member, life, settle), one.connections, one.opened)
            for one in said.loads
            if one.tenant in holds
        ),
        key=_largest,
    )
    whole = Load("", said.connections, said.opened)
    room = said.room * member.weight - said.opened * member.age
    load = spread(whole, member, life, settle)
    return Node(said.name, load, max(0, int(room)), tuple(tenants), holds)


def spread(one: Load, member: Member, life: float, settle: float) -> Range:
    """A load with its error bar: the sketch's `over`, what may have come and gone since it was told, and
    the weight that it has lost."""
    weight = min(1.0, member.weight)
    since = one.opened * max(0.0, member.age)
    low = max(0.0, (one.connections - one.over) * weight - since)
    mid = one.connections - one.over / 2
    high = one.connections / weight + since
    if life <= 0:
        return Range(low, mid, high)
    part = settle / (settle + life) / 2  # of what is opened
    to_come = one.opened * life
    return Range(
        low * (1 - part) + to_come * weight * part,
        mid * (1 - part) + to_come * part,
        high * (1 - part) + to_come / weight * part,
    )
