"""Finds the fewest moves that bring every node under its bound: loads in, moves and advice out.

No I/O, and deterministic: ties are broken by name, and searches are limited by steps, never by time. Loads
are in connections (`load_ranges.py`). A move takes its tenant's lower bound off the source and adds its upper
bound to the target, so that uncertainty never brings a target over its bound.

`greedy` is the baseline: it starts with the node furthest above its bound, and moves the smallest tenant that
suffices alone, or else the largest that fits. `pack_tightly` first chooses the smallest sufficient set of
tenants for each node and then packs all of them as tightly as possible. `fewest_moves` takes the better of
both, proves it minimal by a lower bound, or searches for fewer moves.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from math import ceil
from typing import NamedTuple, Protocol

from thymeyoke.migration.load_ranges import NOTHING, Loads, Node, Range, Tenant, Terms, mean
from thymeyoke.migration.wire import pair_hash

MOVE_COST_SHARE = 1 / 8  # of a tenant's load; cost of a move in reassigned clients and cold caches
MAX_SEARCH_STEPS = 2_000  # about 10 ms
EXTRA_PACKING_ATTEMPTS = 8  # plus one for every two sources


class Move(NamedTuple):
    """One move and its effect; loads are in connections."""

    tenant: str
    source: str
    target: str
    load: Range
    connections: int  # that remain at the source until they close
    opened: float  # connections per second that go to the target
    gain: float  # load above the bound that it removes
    cost: float


class CapacityAdvice(NamedTuple):
    """An imbalance that no move can remove."""

    kind: str  # "split" or "room"
    node: str
    tenant: str
    figure: float  # split: number of nodes; room: missing connections
    why: str


class Plan(NamedTuple):
    """The recommended moves, advice, and the imbalance before and after."""

    steps: tuple[Move, ...] = ()
    advice: tuple[CapacityAdvice, ...] = ()
    mean: Range = NOTHING
    bound: float = 0.0
    before: float = 0.0  # load of the most loaded node relative to the mean
    after: float = 0.0
    proved: bool = True  # whether no plan with fewer moves exists


class TenantSet(Protocol):
    """A set of tenants that only supports membership tests."""

    def __contains__(self, tenant: str, /) -> bool:
        """Whether a tenant is in the set."""


class MoveConstraints(NamedTuple):
    """Which moves are permitted.

    `takes`: the tenants that each node can hold. `busy`: nodes that take part in a move or cool down.
    `moving_tenants`: tenants under way. `barred_pairs`: hashes of tenants and nodes, see `wire.pair_hash`.
    """

    takes: Mapping[str, TenantSet]
    busy: frozenset[str] = frozenset()
    moving_tenants: frozenset[str] = frozenset()
    barred_pairs: frozenset[bytes] = frozenset()

    def allows(self, tenant: str, target: str) -> bool:
        """Whether a tenant may be moved to a node."""
        return tenant in self.takes.get(target, ()) and not (
            self.barred_pairs and pair_hash(tenant, target) in self.barred_pairs
        )


class TargetNode:
    """A node that can take tenants, and its remaining capacity."""

    __slots__ = ("gap", "holds", "name", "room")

    def __init__(self, node: Node, bound: float) -> None:
        self.name, self.holds = node.name, node.holds
        self.gap, self.room = bound - node.load.high, node.room

    def takes(self, tenant: Tenant) -> bool:
        """Whether a tenant fits."""
        return tenant.load.high <= self.gap and tenant.connections <= self.room

    def put(self, tenant: Tenant, back: int = 1) -> None:
        """Add a tenant, or remove it with `back=-1`."""
        self.gap -= back * tenant.load.high
        self.room -= back * tenant.connections


class OverloadedNode(NamedTuple):
    """A node above its bound and the load to remove.

    It has the movable tenants, largest first, with their possible targets.
    """

    name: str
    need: float
    tenants: tuple[tuple[Tenant, tuple[TargetNode, ...]], ...]


class PackingProblem(NamedTuple):
    """Overloaded nodes, possible targets, and the bound."""

    sources: tuple[OverloadedNode, ...]  # largest excess first
    targets: tuple[TargetNode, ...]
    bound: float


Choice = tuple[int, Tenant, TargetNode]  # index of the source, tenant, target
Solution = tuple[list[Choice], float]  # moves, and the load that remains above the bounds


def target_load(node: Node, bound: float, terms: Terms, movable: Iterable[Tenant]) -> float:
    """The load to which a node should be reduced.

    If a single tenant is above the bound and cannot be moved, that tenant is the measure: the node's other
    tenants may exceed it in the same proportion as the mean.
    """
    stuck = [one.load.mid for one in node.tenants if one.load.mid > bound and one not in movable]
    return max(bound, terms.uneven * max(stuck, default=0.0))


def build_problem(loads: Loads, allowed: MoveConstraints, terms: Terms) -> PackingProblem:
    """Build the packing problem of the fleet."""
    bound = terms.uneven * loads.mean.mid
    over = [one for one in loads.nodes if one.load.low > terms.uneven * loads.mean.high]
    names = {one.name for one in over}
    targets = tuple(
        TargetNode(one, bound)
        for one in loads.nodes
        if one.name not in names and one.name not in allowed.busy and one.name in allowed.takes
    )
    sources = []
    for node in over:
        if node.name in allowed.busy:
            continue
        could = []
        for tenant in node.tenants:
            if tenant.name in allowed.moving_tenants:
                continue
            name, high, connections = tenant.name, tenant.load.high, tenant.connections
            where = tuple(
                target for target in targets
                if high <= target.gap and connections <= target.room and name not in target.holds
                and allowed.allows(name, target.name)
            )  # fmt: skip
            if where and tenant.load.low > 0:
                could.append((tenant, where))
        need = node.load.mid - target_load(node, bound, terms, [tenant for tenant, _ in could])
        could = [(tenant, where) for tenant, where in could if _pays(tenant, need)]
        could.sort(key=lambda one: (-one[0].load.low, one[0].name))
        if need > 0:
            sources.append(OverloadedNode(node.name, need, tuple(could)))
    sources.sort(key=lambda one: (-one.need, one.name))
    return PackingProblem(tuple(sources), targets, bound)


def _pays(tenant: Tenant, need: float) -> bool:
    """Whether a move removes more load than it costs."""
    return min(tenant.load.low, need) > MOVE_COST_SHARE * tenant.load.mid


def greedy(problem: PackingProblem) -> Solution:
    """Choose moves greedily; a small excess stays if moving it would cost more than it gains."""
    chosen: list[Choice] = []
    left = 0.0
    for at, source in enumerate(problem.sources):
        need, gone = source.need, set[str]()
        while need > 0:
            there = [one for one in source.tenants if one[0].name not in gone]
            pays = [one for one in there if _pays(one[0], need)]
            enough = [one for one in reversed(pays) if one[0].load.low >= need]
            found = _first_fit(enough) or _first_fit(pays)
            if found is None:
                left += need if _first_fit(there) is None else 0.0
                break
            tenant, target = found
            target.put(tenant)
            gone.add(tenant.name)
            need -= tenant.load.low
            chosen.append((at, tenant, target))
    _undo(chosen)
    return chosen, left


def _first_fit(tenants: Iterable[tuple[Tenant, tuple[TargetNode, ...]]]) -> tuple[Tenant, TargetNode] | None:
    """The first tenant that fits anywhere, with the target that has the largest gap.

    Among equal gaps the first by name is taken.
    """
    for tenant, where in tenants:
        best = None
        high, connections = tenant.load.high, tenant.connections
        for target in where:  # sorted by name
            if high <= target.gap and connections <= target.room and (best is None or target.gap > best.gap):
                best = target
        if best is not None:
            return tenant, best
    return None


def _undo(chosen: list[Choice]) -> None:
    for _, tenant, target in chosen:
        target.put(tenant, -1)


def lower_bound(problem: PackingProblem) -> int:
    """A lower bound of the number of moves: the largest tenants of each source until they suffice."""
    return sum(
        _min_moves(source.need, [one.load.low for one, _ in source.tenants]) for source in problem.sources
    )


def _min_moves(need: float, lows: list[float]) -> int:
    lows = sorted(lows, reverse=True)
    many = 0
    while need > 0 and many < len(lows):
        need -= lows[many]
        many += 1
    return many


def pack_tightly(problem: PackingProblem, large: bool) -> Solution | None:
    """Choose sets of tenants first, then pack them: the largest first, into the smallest gap that fits.

    If a tenant of a source does not fit, the source gets a set with one more tenant. Sources that cannot be
    reduced far enough are left to `greedy`. `large` selects which tenants of a set are replaced by smaller
    ones first. Returns None if nothing is found.
    """
    many = [_min_moves(one.need, [tenant.load.low for tenant, _ in one.tenants]) for one in problem.sources]
    can = [_suffices(source, its) for source, its in zip(problem.sources, many, strict=True)]
    for _ in range(len(many) // 2 + EXTRA_PACKING_ATTEMPTS):
        if any(at > len(one.tenants) for at, one in zip(many, problem.sources, strict=True)):
            return None
        every = [
            (tenant, where, at)
            for at, source in enumerate(problem.sources)
            if can[at]
            for tenant, where in (
                source.tenants[index] for index in _smallest_sufficient_set(source, many[at], large)
            )
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
            more, left = greedy(problem._replace(sources=tuple(problem.sources[at] for at in rest)))
            _undo(chosen)
            return [*chosen, *((rest[at], tenant, target) for at, tenant, target in more)], left
        _undo(chosen)
        many[over] += 1
    return None


def _gap(target: TargetNode) -> tuple[float, str]:
    return target.gap, target.name


def _suffices(source: OverloadedNode, many: int) -> bool:
    return sum(tenant.load.low for tenant, _ in source.tenants[:many]) >= source.need


def _smallest_sufficient_set(source: OverloadedNode, many: int, large: bool) -> list[int]:
    """Choose `many` tenants that suffice with little excess.

    These are the largest, each then replaced by the smallest one that still suffices.
    """
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


def fewest_moves(problem: PackingProblem, steps: int = MAX_SEARCH_STEPS) -> tuple[Solution, bool]:
    """The greedy moves or fewer, and whether fewer are proved to be impossible.

    If the greedy moves leave an excess, also more moves that leave none.
    """
    bottom = lower_bound(problem)
    chosen, left = greedy(problem)
    for large in (True, False):
        if left <= 0 and len(chosen) <= bottom:
            break
        found = pack_tightly(problem, large)
        if found is None:
            break
        chosen, left = min((chosen, left), found, key=lambda one: (one[1], len(one[0])))
    if left > 0:
        most = len(chosen) + 2
    elif len(chosen) <= bottom:
        return (chosen, left), True
    else:
        most = len(chosen) - 1
    search = MoveSearch(problem, steps)
    for many in range(bottom, most + 1):
        proven = search.within(many)
        if proven is not None:
            return (proven, 0.0), search.left > 0
        if search.left <= 0:
            break
    return (chosen, left), left <= 0 and search.left > 0


class MoveSearch:
    """Depth-first search with a given number of moves; gives up when its `left` steps are used up."""

    def __init__(self, problem: PackingProblem, steps: int) -> None:
        self.problem, self.left = problem, steps
        lows = [[tenant.load.low for tenant, _ in one.tenants] for one in problem.sources]
        self.least = [_min_moves(one.need, its) for one, its in zip(problem.sources, lows, strict=True)]
        # Minimum moves of the later sources.
        self.after = [sum(self.least[at + 1 :]) for at in range(len(lows))]
        self.sums = [_prefix_sums(its) for its in lows]
        self.chosen: list[Choice] = []

    def within(self, many: int) -> list[Choice] | None:
        """Find at most `many` moves that leave no excess."""
        self.chosen = []
        found = list(self.chosen) if self._go(0, self._need(0), 0, many) else None
        _undo(self.chosen)
        return found

    def _need(self, at: int) -> float:
        return self.problem.sources[at].need if at < len(self.problem.sources) else 0.0

    def _go(self, at: int, need: float, first: int, many: int) -> bool:
        """Whether sources from `at` on can remove their excess in `many` moves.

        Source `at` still has to remove `need`, with tenants from index `first` on. The moves chosen are in
        `chosen` and applied to the targets.
        """
        if at == len(self.problem.sources):
            return True
        if need <= 0:
            return self._go(at + 1, self._need(at + 1), 0, many)
        mine = many - self.after[at]
        tenants, sums = self.problem.sources[at].tenants, self.sums[at]
        for index in range(first, len(tenants)):
            # If the largest remaining ones do not suffice, no others do.
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


def _prefix_sums(lows: list[float]) -> list[float]:
    """Sums of the first n loads."""
    made = [0.0]
    for low in lows:
        made.append(made[-1] + low)
    return made


def plan(loads: Loads, allowed: MoveConstraints, terms: Terms, steps: int = MAX_SEARCH_STEPS) -> Plan:
    """The recommended moves, in the order in which to make them; `steps=0` returns the greedy moves."""
    if len(loads.nodes) < 2:
        return Plan(mean=loads.mean)
    problem = build_problem(loads, allowed, terms)
    (chosen, left), proved = fewest_moves(problem, steps) if steps else (greedy(problem), False)
    made = _ordered_moves(problem, chosen)
    after = {one.name: one.load.mid for one in loads.nodes}
    for step in made:
        after[step.source] -= step.load.mid
        after[step.target] += step.load.mid
    advice = _split_advice(loads, terms, problem.bound)
    if left > 0:
        advice += _room_advice(problem, made, advice)
    whole = loads.mean.mid or 1.0
    return Plan(
        made, tuple(advice), loads.mean, problem.bound,
        max(one.load.mid for one in loads.nodes) / whole, max(after.values()) / whole, proved,
    )  # fmt: skip


def _ordered_moves(problem: PackingProblem, chosen: list[Choice]) -> tuple[Move, ...]:
    """Order moves by gain minus cost, and drop those that cost more than they gain."""
    needs = [source.need for source in problem.sources]
    made = []
    for at, tenant, target in sorted(chosen, key=lambda one: (one[0], -one[1].load.low, one[1].name)):
        if not _pays(tenant, needs[at]):
            continue
        gain = min(tenant.load.low, needs[at])
        needs[at] -= tenant.load.low
        made.append(Move(tenant.name, problem.sources[at].name, target.name, tenant.load, tenant.connections,
                         tenant.opened, gain, MOVE_COST_SHARE * tenant.load.mid))  # fmt: skip
    return tuple(sorted(made, key=lambda one: (one.cost - one.gain, one.source, one.tenant)))


def _split_advice(loads: Loads, terms: Terms, bound: float) -> list[CapacityAdvice]:
    """Advice for tenants that exceed the bound on their own, on whatever node."""
    found = []
    for node in loads.nodes:
        for tenant in node.tenants:
            if tenant.load.low <= terms.uneven * loads.mean.high:
                continue
            many = max(2, ceil(tenant.load.mid / bound))
            found.append(CapacityAdvice(
                "split", node.name, tenant.name, many,
                f"{tenant.load.mid:.0f} connections alone, a node's bound is {bound:.0f}: split it by "
                f"customer over {many} nodes",
            ))  # fmt: skip
    return found


def _room_advice(
    problem: PackingProblem, made: tuple[Move, ...], splits: list[CapacityAdvice]
) -> list[CapacityAdvice]:
    """Advice for sources that stay above their bound, and what the other nodes lack to take the excess."""
    off: dict[str, float] = {}
    for step in made:
        off[step.source] = off.get(step.source, 0.0) + step.load.low
    gap = {one.name: one.gap for one in problem.targets}
    room = {one.name: float(one.room) for one in problem.targets}
    for step in made:
        gap[step.target] -= step.load.high
        room[step.target] -= step.connections
    free = sum(max(0.0, min(gap[name], room[name])) for name in gap)
    split_sources = {one.node for one in splits}
    found = []
    for source in problem.sources:
        over = source.need - off.get(source.name, 0.0)
        if over <= 0 or (source.name in split_sources and not source.tenants):
            continue
        lacks = max(0.0, over - free)
        why = (
            f"{over:.0f} connections over its bound of {problem.bound:.0f}, the others can take {free:.0f}: "
            f"{lacks:.0f} are missing"
            if lacks
            else f"{over:.0f} connections over its bound of {problem.bound:.0f}, and no tenant of it fits "
            f"into what one of the others can take"
        )
        found.append(CapacityAdvice("room", source.name, "", lacks or over, why))
    return found


def peak_to_mean(loads: Iterable[float]) -> float:
    """The highest load relative to the mean; 1 is perfectly balanced."""
    every = [Range(one, one, one) for one in loads]
    middle = mean(every).mid
    return max(one.mid for one in every) / middle if middle else 1.0
