"""The fewest moves that bring every node under its bound: loads in, moves and advice out.

Pure, and the same for the same loads: ties go by name, searches are bounded by steps, never by time. Loads
are in connections (`loads.py`). A move takes its tenant's least load off the source and puts its most onto
the target, so that error bars never bring a target over its bound.

`greedy` is the baseline: the node furthest over first; the smallest tenant that suffices alone, else the
largest that fits somewhere. `packed` first chooses, for each node, as few tenants as can suffice, and then
packs all of them as tightly as it can. `fewest` takes the better, proves it the fewest by a lower bound, or
searches for less.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from math import ceil
from typing import NamedTuple, Protocol

from thymeyoke.migration.load_ranges import NOTHING, Loads, Node, Range, Tenant, Terms, mean
from thymeyoke.migration.wire import pair

COLD = 1 / 8  # of a tenant's load: what a move costs, in seats looked up anew and caches that are cold
STEPS = 2_000  # of the search: some 10 ms
TRIES = 8  # of packing, and one for each two sources


class Step(NamedTuple):
    """One move, and why. Loads in connections."""

    tenant: str
    source: str
    target: str
    load: Range
    connections: int  # that stay behind until they close
    opened: float  # a second: so fast come the others to the target, each with its seat kept
    gain: float  # load over the bound that it takes off
    cost: float


class Advice(NamedTuple):
    """What no move can mend."""

    kind: str  # "split" or "room"
    node: str
    tenant: str
    figure: float  # split: over so many nodes; room: connections that are missing
    why: str


class Plan(NamedTuple):
    steps: tuple[Step, ...] = ()
    advice: tuple[Advice, ...] = ()
    mean: Range = NOTHING
    bound: float = 0.0
    before: float = 0.0  # the most loaded node, of the mean
    after: float = 0.0
    proved: bool = True  # that fewer can't do


class TenantSet(Protocol):
    """Tenants, of which only membership can be asked."""

    def __contains__(self, tenant: str, /) -> bool:
        """Whether a tenant is in the set."""


class Allowed(NamedTuple):
    """Which moves may be thought of. `takes`: by node, the tenants that it can hold. `busy`: nodes in a move
    or resting. `still`: tenants on the way. `barred`: pairs of tenant and node, as `wire.pair` has them."""

    takes: Mapping[str, TenantSet]
    busy: frozenset[str] = frozenset()
    still: frozenset[str] = frozenset()
    barred: frozenset[bytes] = frozenset()

    def may(self, tenant: str, target: str) -> bool:
        return tenant in self.takes.get(target, ()) and not (
            self.barred and pair(tenant, target) in self.barred
        )


class Target:
    """A node that takes, and what it still may."""

    __slots__ = ("gap", "holds", "name", "room")

    def __init__(self, node: Node, bound: float) -> None:
        self.name, self.holds = node.name, node.holds
        self.gap, self.room = bound - node.load.high, node.room

    def takes(self, tenant: Tenant) -> bool:
        return tenant.load.high <= self.gap and tenant.connections <= self.room

    def put(self, tenant: Tenant, back: int = 1) -> None:
        self.gap -= back * tenant.load.high
        self.room -= back * tenant.connections


class Source(NamedTuple):
    """A node over its bound: what must go, and what could, the largest first, each with the targets that it
    may go to."""

    name: str
    need: float
    tenants: tuple[tuple[Tenant, tuple[Target, ...]], ...]


class Problem(NamedTuple):
    sources: tuple[Source, ...]  # furthest over first
    targets: tuple[Target, ...]
    bound: float


Choice = tuple[int, Tenant, Target]  # of which source, what, where to
Found = tuple[list[Choice], float]  # and what remains over the bounds


def goal(node: Node, bound: float, terms: Terms, movable: Iterable[Tenant]) -> float:
    """What a node should come down to. Where one tenant alone is over the bound and can go nowhere, it is
    measured by that one: the others may be a like part of it as of the mean."""
    stuck = [one.load.mid for one in node.tenants if one.load.mid > bound and one not in movable]
    return max(bound, terms.uneven * max(stuck, default=0.0))


def problem(loads: Loads, allowed: Allowed, terms: Terms) -> Problem:
    bound = terms.uneven * loads.mean.mid
    over = [one for one in loads.nodes if one.load.low > terms.uneven * loads.mean.high]
    names = {one.name for one in over}
    targets = tuple(
        Target(one, bound)
        for one in loads.nodes
        if one.name not in names and one.name not in allowed.busy and one.name in allowed.takes
    )
    sources = []
    for node in over:
        if node.name in allowed.busy:
            continue
        could = []
        for tenant in node.tenants:
            if tenant.name in allowed.still:
                continue
            name, high, connections = tenant.name, tenant.load.high, tenant.connections
            where = tuple(
                target for target in targets
                if high <= target.gap and connections <= target.room and name not in target.holds
                and allowed.may(name, target.name)
            )  # fmt: skip
            if where and tenant.load.low > 0:
                could.append((tenant, where))
        need = node.load.mid - goal(node, bound, terms, [tenant for tenant, _ in could])
        could = [(tenant, where) for tenant, where in could if _pays(tenant, need)]
        could.sort(key=lambda one: (-one[0].load.low, one[0].name))
        if need > 0:
            sources.append(Source(node.name, need, tuple(could)))
    sources.sort(key=lambda one: (-one.need, one.name))
    return Problem(tuple(sources), targets, bound)


def _pays(tenant: Tenant, need: float) -> bool:
    """Whether a move takes more off than it costs."""
    return min(tenant.load.low, need) > COLD * tenant.load.mid


def greedy(given: Problem) -> Found:
    """Where the little that a node is still over would cost more than it gains, it may stay."""
    chosen: list[Choice] = []
    left = 0.0
    for at, source in enumerate(given.sources):
        need, gone = source.need, set[str]()
        while need > 0:
            there = [one for one in source.tenants if one[0].name not in gone]
            pays = [one for one in there if _pays(one[0], need)]
            enough = [one for one in reversed(pays) if one[0].load.low >= need]
            found = _first(enough) or _first(pays)
            if found is None:
                left += need if _first(there) is None else 0.0
                break
            tenant, target = found
            target.put(tenant)
            gone.add(tenant.name)
            need -= tenant.load.low
            chosen.append((at, tenant, target))
    _back(chosen)
    return chosen, left


def _first(tenants: Iterable[tuple[Tenant, tuple[Target, ...]]]) -> tuple[Tenant, Target] | None:
    """The first that fits somewhere, and the target that has the most left, the first by name among those."""
    for tenant, where in tenants:
        best = None
        high, connections = tenant.load.high, tenant.connections
        for target in where:  # by name
            if high <= target.gap and connections <= target.room and (best is None or target.gap > best.gap):
                best = target
        if best is not None:
            return tenant, best
    return None


def _back(chosen: list[Choice]) -> None:
    for _, tenant, target in chosen:
        target.put(tenant, -1)


def least(given: Problem) -> int:
    """No fewer moves can do: for each source, its largest tenants until they suffice."""
    return sum(_least(source.need, [one.load.low for one, _ in source.tenants]) for source in given.sources)


def _least(need: float, lows: list[float]) -> int:
    lows = sorted(lows, reverse=True)
    many = 0
    while need > 0 and many < len(lows):
        need -= lows[many]
        many += 1
    return many


def packed(given: Problem, large: bool) -> Found | None:
    """Sets first, then where they go: the largest tenant first, into the least gap that takes it. A source
    of which one finds no place gets a set of one more. Sources that can't come down far enough are left to
    `greedy`. `large`: which tenants a set gives up for smaller ones first. None where that finds nothing."""
    many = [_least(one.need, [tenant.load.low for tenant, _ in one.tenants]) for one in given.sources]
    can = [_suffices(source, its) for source, its in zip(given.sources, many, strict=True)]
    for _ in range(len(many) // 2 + TRIES):
        if any(at > len(one.tenants) for at, one in zip(many, given.sources, strict=True)):
            return None
        every = [
            (tenant, where, at)
            for at, source in enumerate(given.sources)
            if can[at]
            for tenant, where in (source.tenants[index] for index in _chosen(source, many[at], large))
        ]
        every.sort(key=lambda one: (-one[0].load.high, one[0].name))
        chosen: list[Choice] = []
        over = -1
        for tenant, where, at in every:
            target = min((one for one in where if one.takes(tenant)), key=_gap, default=None)
            if target is None:
                over = at
                break
            target.put(tenant)
            chosen.append((at, tenant, target))
        if over < 0:
            rest = [at for at, its in enumerate(can) if not its]
            more, left = greedy(given._replace(sources=tuple(given.sources[at] for at in rest)))
            _back(chosen)
            return [*chosen, *((rest[at], tenant, target) for at, tenant, target in more)], left
        _back(chosen)
        many[over] += 1
    return None


def _gap(target: Target) -> tuple[float, str]:
    return target.gap, target.name


def _suffices(source: Source, many: int) -> bool:
    return sum(tenant.load.low for tenant, _ in source.tenants[:many]) >= source.need


def _chosen(source: Source, many: int, large: bool) -> list[int]:
    """So many tenants that suffice, and hardly more: the largest, each then given up for the smallest that
    still does."""
    lows = [tenant.load.low for tenant, _ in source.tenants]
    made = list(range(many))
    taken = set(made)
    spare = sum(lows[:many]) - source.need
    for at in range(many) if large else reversed(range(many)):
        if spare <= 0:
            break
        smaller = next(
            (other for other in range(len(lows) - 1, made[at], -1)
             if other not in taken and lows[made[at]] - lows[other] <= spare), None)  # fmt: skip
        if smaller is not None:
            spare -= lows[made[at]] - lows[smaller]
            taken.remove(made[at])
            taken.add(smaller)
            made[at] = smaller
    return made


def fewest(given: Problem, steps: int = STEPS) -> tuple[Found, bool]:
    """The greedy moves, or fewer; and whether it is proved that fewer can't do. Where the greedy ones leave
    something over a bound, also more of them that do."""
    bottom = least(given)
    chosen, left = greedy(given)
    for large in (True, False):
        if left <= 0 and len(chosen) <= bottom:
            break
        found = packed(given, large)
        if found is None:
            break
        chosen, left = min((chosen, left), found, key=lambda one: (one[1], len(one[0])))
    if left > 0:
        most = len(chosen) + 2
    elif len(chosen) <= bottom:
        return (chosen, left), True
    else:
        most = len(chosen) - 1
    search = Search(given, steps)
    for many in range(bottom, most + 1):
        proven = search.within(many)
        if proven is not None:
            return (proven, 0.0), search.left > 0
        if search.left <= 0:
            break
    return (chosen, left), left <= 0 and search.left > 0


class Search:
    """Depth first, a number of moves at a time. `left` steps are to go; at none it gives up."""

    def __init__(self, given: Problem, steps: int) -> None:
        self.given, self.left = given, steps
        lows = [[tenant.load.low for tenant, _ in one.tenants] for one in given.sources]
        self.least = [_least(one.need, its) for one, its in zip(given.sources, lows, strict=True)]
        self.after = [sum(self.least[at + 1 :]) for at in range(len(lows))]  # moves that later sources need
        self.sums = [_sums(its) for its in lows]
        self.chosen: list[Choice] = []

    def within(self, many: int) -> list[Choice] | None:
        self.chosen = []
        found = list(self.chosen) if self._go(0, self._need(0), 0, many) else None
        _back(self.chosen)
        return found

    def _need(self, at: int) -> float:
        return self.given.sources[at].need if at < len(self.given.sources) else 0.0

    def _go(self, at: int, need: float, first: int, many: int) -> bool:
        """Whether source `at` gets rid of `need` with tenants from `first` on, and all later ones of theirs,
        in `many` moves. What it chose stands in `chosen`, and is put on the targets."""
        if at == len(self.given.sources):
            return True
        if need <= 0:
            return self._go(at + 1, self._need(at + 1), 0, many)
        mine = many - self.after[at]
        tenants, sums = self.given.sources[at].tenants, self.sums[at]
        for index in range(first, len(tenants)):
            # The largest that are left can't do it: nor can any others.
            if mine <= 0 or sums[min(len(tenants), index + mine)] - sums[index] < need:
                return False
            self.left -= 1
            tenant, where = tenants[index]
            for target in sorted(where, key=lambda one: (-one.gap, one.name)):
                if not target.takes(tenant):
                    continue
                self.left -= 1
                if self.left <= 0:
                    return False
                target.put(tenant)
                self.chosen.append((at, tenant, target))
                if self._go(at, need - tenant.load.low, index + 1, many - 1):
                    return True
                self.chosen.pop()
                target.put(tenant, -1)
        return False


def _sums(lows: list[float]) -> list[float]:
    """Of the first so many, the largest."""
    made = [0.0]
    for low in lows:
        made.append(made[-1] + low)
    return made


def plan(loads: Loads, allowed: Allowed, terms: Terms, steps: int = STEPS) -> Plan:
    """What should move, in the order in which it should. `steps=0`: the greedy moves."""
    if len(loads.nodes) < 2:
        return Plan(mean=loads.mean)
    given = problem(loads, allowed, terms)
    (chosen, left), proved = fewest(given, steps) if steps else (greedy(given), False)
    made = _steps(given, chosen)
    after = {one.name: one.load.mid for one in loads.nodes}
    for step in made:
        after[step.source] -= step.load.mid
        after[step.target] += step.load.mid
    advice = _splits(loads, terms, given.bound)
    if left > 0:
        advice += _missing(given, made, advice)
    whole = loads.mean.mid or 1.0
    return Plan(
        made, tuple(advice), loads.mean, given.bound,
        max(one.load.mid for one in loads.nodes) / whole, max(after.values()) / whole, proved,
    )  # fmt: skip


def _steps(given: Problem, chosen: list[Choice]) -> tuple[Step, ...]:
    """In the order of what each gains over what it costs; those that gain less stay."""
    needs = [source.need for source in given.sources]
    made = []
    for at, tenant, target in sorted(chosen, key=lambda one: (one[0], -one[1].load.low, one[1].name)):
        if not _pays(tenant, needs[at]):
            continue
        gain = min(tenant.load.low, needs[at])
        needs[at] -= tenant.load.low
        made.append(Step(tenant.name, given.sources[at].name, target.name, tenant.load, tenant.connections,
                         tenant.opened, gain, COLD * tenant.load.mid))  # fmt: skip
    return tuple(sorted(made, key=lambda one: (one.cost - one.gain, one.source, one.tenant)))


def _splits(loads: Loads, terms: Terms, bound: float) -> list[Advice]:
    """Tenants so heavy that they alone are over the bound, whatever node holds them."""
    found = []
    for node in loads.nodes:
        for tenant in node.tenants:
            if tenant.load.low <= terms.uneven * loads.mean.high:
                continue
            many = max(2, ceil(tenant.load.mid / bound))
            found.append(Advice(
                "split", node.name, tenant.name, many,
                f"{tenant.load.mid:.0f} connections alone, a node's bound is {bound:.0f}: split it by "
                f"customer over {many} nodes",
            ))  # fmt: skip
    return found


def _missing(given: Problem, made: tuple[Step, ...], splits: list[Advice]) -> list[Advice]:
    """Sources that stay over their bound, and what the others lack to take it."""
    off: dict[str, float] = {}
    for step in made:
        off[step.source] = off.get(step.source, 0.0) + step.load.low
    gap = {one.name: one.gap for one in given.targets}
    room = {one.name: float(one.room) for one in given.targets}
    for step in made:
        gap[step.target] -= step.load.high
        room[step.target] -= step.connections
    free = sum(max(0.0, min(gap[name], room[name])) for name in gap)
    told = {one.node for one in splits}
    found = []
    for source in given.sources:
        over = source.need - off.get(source.name, 0.0)
        if over <= 0 or (source.name in told and not source.tenants):
            continue
        lacks = max(0.0, over - free)
        why = (
            f"{over:.0f} connections over its bound of {given.bound:.0f}, the others can take {free:.0f}: "
            f"{lacks:.0f} are missing"
            if lacks
            else f"{over:.0f} connections over its bound of {given.bound:.0f}, and no tenant of it fits into "
            f"what one of the others can take"
        )
        found.append(Advice("room", source.name, "", lacks or over, why))
    return found


def evenness(loads: Iterable[float]) -> float:
    """The most loaded of the mean: 1 is even."""
    every = [Range(one, one, one) for one in loads]
    middle = mean(every).mid
    return max(one.mid for one in every) / middle if middle else 1.0
