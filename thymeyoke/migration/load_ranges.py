"""The load of each node, as far as it can be known: a view in, ranges of connections out.

No I/O. A load is measured in connections: half of it is the connections held, the other half the connections
opened per second times their lifetime (Little's law). If connections live longer than the settling timeout,
the held ones count for more. Every figure is a range; a node whose load is unknown is left out and listed,
never counted as empty. docs/migration.md has the rules.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from math import ceil, isfinite
from typing import NamedTuple

from thymeyoke.membership.view import Load, Member, Snapshot, State, Trust, View

MIN_WEIGHT = 1 / 2  # of a snapshot; below it, its figures count as unknown
MAX_FIGURE = 1e9  # connections, or connections per second; higher figures are not plausible
SUM_TOLERANCE = 1 / 100  # tenants and their total are counted at different times


class Terms(NamedTuple):
    """The operators' settings for migrations, see docs/migration.md. Times are in seconds."""

    act: str = "recommend"  # or "move"
    uneven: float = 1.25  # highest load relative to the mean of the fleet
    at_once: int = 1
    an_hour: int = 12
    rest: float = 300.0
    settle: float = 60.0
    period: float = 1.0  # of [members], which determines how fast announcements spread
    rise: float = 0.0  # until a withdrawn address is announced with full preference again

    @property
    def moves(self) -> bool:
        """Whether tenants may be migrated, not just recommended."""
        return self.act == "move"


class Range(NamedTuple):
    """The lower bound, most likely value and upper bound of a figure."""

    low: float
    mid: float
    high: float

    def differs(self, other: Range, by: float = 0.0) -> bool:
        """Whether the two figures certainly differ by more than `by`."""
        return self.low > other.high + by or other.low > self.high + by

    def plus(self, other: Range) -> Range:
        """The sum of two ranges."""
        return Range(self.low + other.low, self.mid + other.mid, self.high + other.high)

    def minus(self, other: Range) -> Range:
        """The range without a part of it, for all values that either may have; never below zero."""
        low, mid = max(0.0, self.low - other.high), max(0.0, self.mid - other.mid)
        return Range(min(low, mid), mid, max(mid, self.high - other.low))


NOTHING = Range(0.0, 0.0, 0.0)


class Tenant(NamedTuple):
    """One tenant at the node that holds it."""

    name: str
    load: Range
    connections: int  # upper bound
    opened: float


class Node(NamedTuple):
    """A node whose load is known."""

    name: str
    load: Range
    room: int  # connections that it can certainly still accept
    tenants: tuple[Tenant, ...]  # those it holds and lists individually, largest first, then by name
    holds: frozenset[str]


class Loads(NamedTuple):
    """The nodes with known loads, sorted by name, and the reasons why other loads are unknown."""

    nodes: tuple[Node, ...]
    unknown: dict[str, str]
    mean: Range
    connection_lifetime: float  # mean seconds; 0 if none are opened

    def node(self, name: str) -> Node | None:
        """The node of this name, if its load is known."""
        return next((one for one in self.nodes if one.name == name), None)


def find_implausible_figure(snapshot: Snapshot) -> str:
    """Why the figures of a snapshot cannot be true, or ""; a node with such figures is left out entirely."""
    figures = [snapshot.rest, *snapshot.loads]
    names = {one.tenant for one in snapshot.loads}
    held = snapshot.connections
    if len(names) < len(snapshot.loads):
        return "lists a tenant twice"
    if not (_within(held) and _within(snapshot.room) and _within(snapshot.opened)):
        return "connections, capacity or rate of opened connections out of range"
    if not all(_within(one.connections) and _within(one.opened) and 0 <= one.over <= one.connections
               for one in figures):  # fmt: skip
        return "load of a tenant out of range"
    least = sum(one.connections - one.over for one in figures)
    if least > held * (1 + SUM_TOLERANCE) + 1:
        return f"loads of its tenants add up to at least {least} connections, but it reports {held} in all"
    return ""


def _within(figure: float) -> bool:
    return isfinite(figure) and 0 <= figure < MAX_FIGURE


def reason_unknown(member: Member) -> str:
    """Why nothing may be based on this node's figures, or ""."""
    if member.trust != Trust.SURE:
        return "dead" if member.trust == Trust.DEAD else "not surely there"
    if member.snapshot.state != State.SERVING:
        return member.snapshot.state.name.lower()
    if not member.weight >= MIN_WEIGHT:  # also true for NaN
        return f"last heard of {member.age:.0f} s ago"
    return find_implausible_figure(member.snapshot)


def estimate_loads(view: View, terms: Terms) -> Loads:
    """Estimate the loads of all nodes of a view from their own snapshots."""
    known: list[Member] = []
    unknown: dict[str, str] = {}
    for member in view.nodes():
        if member.snapshot.state == State.GONE:
            continue
        if why := reason_unknown(member):
            unknown[member.name] = why
        else:
            known.append(member)
    held = sum(member.snapshot.connections for member in known)
    opened = sum(member.snapshot.opened for member in known)
    connection_lifetime = held / opened if opened > 0 else 0.0
    nodes = tuple(_node(member, connection_lifetime, terms.settle) for member in known)
    nodes = _after_settling(nodes, known, connection_lifetime, terms.settle)
    return Loads(nodes, unknown, mean(one.load for one in nodes), connection_lifetime)


def _after_settling(
    nodes: tuple[Node, ...], members: Iterable[Member], connection_lifetime: float, settle: float
) -> tuple[Node, ...]:
    """Predict the loads once recent migrations have settled.

    Connections left behind at a tenant's former node count as closed there and as reopened at its present
    node. A node that gives a tenant away is then not over its bound because of connections that no migration
    removes, and its new holder does not appear empty. If no known node holds a tenant, its connections count
    where they are.
    """
    holders: dict[str, list[str]] = {}
    for node in nodes:
        for tenant in node.holds:
            holders.setdefault(tenant, []).append(node.name)
    off: dict[str, list[Range]] = {}
    on: dict[str, dict[str, tuple[Range, int]]] = {}  # by node and tenant: the load that will arrive
    for node, member in zip(nodes, members, strict=True):
        for one in member.snapshot.loads:
            there = () if one.tenant in node.holds else holders.get(one.tenant, ())
            if not there:
                continue
            behind = load_range(one, member, connection_lifetime, settle)
            off.setdefault(node.name, []).append(behind)
            for name in there:
                part = Range(*(figure / len(there) for figure in behind))
                mine = on.setdefault(name, {})
                before, many = mine.get(one.tenant, (NOTHING, 0))
                mine[one.tenant] = before.plus(part), many + ceil(one.connections / len(there))
    if not off:
        return nodes
    return tuple(_with_changes(node, off.get(node.name, ()), on.get(node.name, {})) for node in nodes)


def _with_changes(node: Node, off: Iterable[Range], on: Mapping[str, tuple[Range, int]]) -> Node:
    """A node with connections that will leave (`off`) and arrive (`on`); its `room` stays unchanged."""
    load = node.load
    for one in off:
        load = load.minus(one)
    tenants = {one.name: one for one in node.tenants}
    for name, (part, many) in on.items():
        load = load.plus(part)
        had = tenants.get(name, Tenant(name, NOTHING, 0, 0.0))
        tenants[name] = had._replace(load=had.load.plus(part), connections=had.connections + many)
    return node._replace(load=load, tenants=tuple(sorted(tenants.values(), key=_largest)))


def _largest(one: Tenant) -> tuple[float, str]:
    return -one.load.mid, one.name


def mean(loads: Iterable[Range]) -> Range:
    """The mean of several ranges."""
    every = list(loads)
    if not every:
        return NOTHING
    low, mid, high = (sum(part) / len(every) for part in zip(*every, strict=True))
    return Range(low, mid, high)


def _node(member: Member, connection_lifetime: float, settle: float) -> Node:
    snapshot = member.snapshot
    holds = frozenset(snapshot.holds)
    tenants = sorted(
        (
            Tenant(
                one.tenant, load_range(one, member, connection_lifetime, settle), one.connections, one.opened
            )
            for one in snapshot.loads
            if one.tenant in holds
        ),
        key=_largest,
    )
    whole = Load("", snapshot.connections, snapshot.opened)
    room = snapshot.room * member.weight - snapshot.opened * member.age
    load = load_range(whole, member, connection_lifetime, settle)
    return Node(snapshot.name, load, max(0, int(room)), tuple(tenants), holds)


def load_range(one: Load, member: Member, connection_lifetime: float, settle: float) -> Range:
    """The load of one figure with its uncertainty.

    The uncertainty consists of the sketch's error, of connections that may have been opened or closed since
    the snapshot, and of the weight that the snapshot has lost.
    """
    weight = min(1.0, member.weight)
    since = one.opened * max(0.0, member.age)
    low = max(0.0, (one.connections - one.over) * weight - since)
    mid = one.connections - one.over / 2
    high = one.connections / weight + since
    if connection_lifetime <= 0:
        return Range(low, mid, high)
    part = settle / (settle + connection_lifetime) / 2  # weight of the connections opened
    to_come = one.opened * connection_lifetime
    return Range(
        low * (1 - part) + to_come * weight * part,
        mid * (1 - part) + to_come * part,
        high * (1 - part) + to_come / weight * part,
    )
