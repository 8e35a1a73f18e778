"""Migration plans: greedy, the search, and solvers if installed; and nodes over simulated hours with and
without moves. `python -m benchmarks.migration`.

Prints a table, or JSON lines with `--json`. Fleets depend on the seed; times depend on the machine, so
compare the ratios. Solvers (`ortools`, `highspy`) are not dependencies of the program and are measured only
if they can be imported.
"""

from __future__ import annotations

import statistics
import time
from collections.abc import Callable
from importlib.util import find_spec
from random import Random
from typing import Any

import click

from benchmarks import show
from thymeyoke.membership.view import Load, Member, Snapshot, State, Trust, View
from thymeyoke.migration import load_ranges, planner, wire
from thymeyoke.migration.controller import MigrationCoordinator, Terms
from thymeyoke.migration.planner import MoveConstraints, PackingProblem, Solution

SIZES = (  # nodes, tenants, `uneven`
    (8, 100, 1.25),
    (16, 250, 1.25),
    (16, 250, 1.05),
    (32, 500, 1.25),
    (64, 1000, 1.1),
    (64, 1000, 1.25),
)
SEEDS = 10
SOLVED = 2  # of them, for solvers: each may take its time limit
LIMIT = 5.0  # seconds, of a solver
TERMS = Terms(act="move")
ROOM = 20_000
ROUND = 1000  # a solver's whole numbers for one connection


def drawn(seed: int, nodes: int, tenants: int, room: int = ROOM) -> View:
    """Tenants by Zipf's law on nodes of different sizes."""
    rng = Random(seed)
    ranks = list(range(1, tenants + 1))
    rng.shuffle(ranks)
    parts = [rng.uniform(0.5, 2.0) for _ in range(nodes)]
    held: list[list[Load]] = [[] for _ in range(nodes)]
    for at, rank in enumerate(ranks):
        many = 1 + int(2000 / (rank + 8) ** 0.8)
        (where,) = rng.choices(range(nodes), parts)
        held[where].append(Load(f"tenant-{at}", many, many / 30, rng.randrange(1 + many // 50)))
    members = {}
    for at, its in enumerate(held):
        said = snapshot(f"node-{at:02}", its, room)
        members[said.name] = Member(said, Trust.SURE, rng.uniform(0, 2), 1.0)
    return View(1, 0.0, "node-00", members)


def snapshot(name: str, its: list[Load], room: int = ROOM, **other: Any) -> Snapshot:
    whole = sum(one.connections for one in its)
    told = {"incarnation": 1, "sequence": 1, "holds": tuple(one.tenant for one in its)} | other
    told |= {"room": max(0, room - whole), "opened": sum(one.opened for one in its)}
    told |= {"node": True, "state": State.SERVING, "address": "", "loads": tuple(its), "connections": whole}
    return Snapshot(name=name, **told)


def allowed(view: View) -> MoveConstraints:
    every = frozenset(one.tenant for member in view.nodes() for one in member.snapshot.loads)
    bits = wire.TenantFilter(wire.TenantFilter.build(every).bits)
    return MoveConstraints({one.name: bits for one in view.nodes()})


def greedy(given: PackingProblem) -> Solution:
    return planner.greedy(given)


def search(given: PackingProblem) -> Solution:
    return planner.fewest_moves(given)[0]


def cp_sat(given: PackingProblem) -> Solution:
    """The same as a CP-SAT model: minimal excess, then fewest moves."""
    from ortools.sat.python import cp_model

    model = cp_model.CpModel()
    ways, whole = [], 0
    slacks = []
    for at, source in enumerate(given.sources):
        mine = [(at, tenant, target, model.new_bool_var(f"{at} {tenant.name} {target.name}"))
                for tenant, where in source.tenants for target in where]  # fmt: skip
        for tenant, _ in source.tenants:
            model.add(sum(one[3] for one in mine if one[1] is tenant) <= 1)
        need = int(source.need * ROUND) + 1
        slack = model.new_int_var(0, need, f"left {at}")
        model.add(sum(int(one[1].load.low * ROUND) * one[3] for one in mine) + slack >= need)
        slacks.append(slack)
        whole += len(mine)
        ways += mine
    for target in given.targets:
        mine = [one for one in ways if one[2] is target]
        model.add(
            sum((int(one[1].load.high * ROUND) + 1) * one[3] for one in mine) <= int(target.gap * ROUND)
        )
        model.add(sum(one[1].connections * one[3] for one in mine) <= target.room)
    model.minimize((whole + 1) * sum(slacks) + sum(one[3] for one in ways))
    solver = cp_model.CpSolver()
    solver.parameters.num_workers = 1
    solver.parameters.max_time_in_seconds = LIMIT
    solver.solve(model)
    chosen = [(at, tenant, target) for at, tenant, target, taken in ways if solver.value(taken)]
    return chosen, sum(solver.value(one) for one in slacks) / ROUND


def highs(given: PackingProblem) -> Solution:
    """The same as a mixed-integer program for HiGHS."""
    import highspy

    model = highspy.Highs()
    model.setOptionValue("output_flag", False)
    model.setOptionValue("threads", 1)
    model.setOptionValue("time_limit", LIMIT)
    ways = []
    left = []
    for at, source in enumerate(given.sources):
        mine = [
            (at, tenant, target, model.addBinary()) for tenant, where in source.tenants for target in where
        ]
        for tenant, _ in source.tenants:
            model.addConstr(sum(one[3] for one in mine if one[1] is tenant) <= 1)
        slack = model.addVariable(lb=0, ub=source.need)
        left.append(slack)
        model.addConstr(sum(one[1].load.low * one[3] for one in mine) + slack >= source.need)
        ways += mine
    for target in given.targets:
        mine = [one for one in ways if one[2] is target]
        if mine:
            model.addConstr(sum(one[1].load.high * one[3] for one in mine) <= target.gap)
            model.addConstr(sum(one[1].connections * one[3] for one in mine) <= target.room)
    model.minimize(sum(one[3] for one in ways) + sum(1000 * slack for slack in left))
    found = model.getSolution().col_value
    chosen = [(at, tenant, target) for at, tenant, target, way in ways if found[way.index] > 0.5]
    return chosen, sum(found[slack.index] for slack in left)


WAYS: dict[str, tuple[str, Callable[[PackingProblem], Solution]]] = {
    "greedy": ("", greedy),
    "search": ("", search),
    "CP-SAT": ("ortools", cp_sat),
    "HiGHS": ("highspy", highs),
}


def spent(what: Callable[[], Any], times: int = 5) -> float:
    """Milliseconds, the minimum of several runs."""
    found = []
    for _ in range(times):
        began = time.perf_counter()
        what()
        found.append(time.perf_counter() - began)
    return min(found) * 1000


def row(what: str, value: float, unit: str = "", ratio: float | None = None) -> dict[str, Any]:
    return {"what": what, "value": value, "unit": unit, "ratio": ratio}


def plans(rows: list[dict[str, Any]]) -> None:
    for nodes, tenants, uneven in SIZES:
        where = f"{nodes} nodes, {tenants} tenants, {uneven:g}"
        terms = TERMS._replace(uneven=uneven)
        problems = []
        before = []
        for seed in range(SEEDS):
            view = drawn(seed, nodes, tenants)
            read = load_ranges.estimate_loads(view, terms)
            problems.append((read, planner.build_problem(read, allowed(view), terms)))
            before.append(planner.peak_to_mean(one.load.mid for one in read.nodes))
        rows.append(row(f"{where}: most loaded, before", statistics.mean(before), "mean"))
        rows.append(
            row(
                f"{where}: moves, lower bound",
                statistics.mean(planner.lower_bound(one) for _, one in problems),
            )
        )
        base: list[tuple[int, float, float]] = []
        for name, (library, way) in WAYS.items():
            if library and not find_spec(library):
                continue
            found = []
            for read, given in problems[: SOLVED if library else SEEDS]:
                chosen, _ = way(given)
                took = spent(lambda way=way, given=given: way(given), 1 if library else 3)
                found.append((len(chosen), after(read, given, chosen), took))
            base = base or found
            moves, over, took = zip(*found, strict=True)
            its_moves, its_over, its_took = zip(*base[: len(found)], strict=True)
            middle = statistics.median(took)
            rows += [
                row(
                    f"{where}: moves, {name}", statistics.mean(moves), "", sum(moves) / max(1, sum(its_moves))
                ),
                row(
                    f"{where}: most loaded, {name}", statistics.mean(over), "mean", sum(over) / sum(its_over)
                ),
                row(f"{where}: time, {name}, median", middle, "ms", middle / statistics.median(its_took)),
                row(f"{where}: time, {name}, most", max(took), "ms", max(took) / max(its_took)),
            ]


def after(read: load_ranges.Loads, given: PackingProblem, chosen: list[planner.Choice]) -> float:
    held = {one.name: one.load.mid for one in read.nodes}
    for at, tenant, target in chosen:
        held[given.sources[at].name] -= tenant.load.mid
        held[target.name] += tenant.load.mid
    return planner.peak_to_mean(held.values())


def whole(rows: list[dict[str, Any]]) -> None:
    """From a view to a recommendation at the largest size: loads, constraints and plan."""
    nodes, tenants, _ = SIZES[-1]
    found = []
    for room in (ROOM, 300):
        took = []
        for seed in range(SEEDS):
            view = drawn(seed, nodes, tenants, room)
            took.append(
                spent(
                    lambda view=view: planner.plan(
                        load_ranges.estimate_loads(view, TERMS), allowed(view), TERMS
                    ),
                    3,
                )
            )
        found.append(took)
    usual, full = statistics.median(found[0]), statistics.median(found[1])
    rows += [
        row(f"recommend, {nodes} nodes, {tenants} tenants, median", usual, "ms", 1.0),
        row("the same, most", max(found[0]), "ms", max(found[0]) / usual),
        row("the same, hardly any room, median", full, "ms", full / usual),
        row("the same, hardly any room, most", max(found[1]), "ms", max(found[1]) / usual),
    ]


class Hours:
    """Nodes with real coordinators in simulated time. Tenants drift; connections live for 30 s and follow the
    announcements."""

    STEP, LIFE = 7.5, 30.0

    def __init__(self, seed: int, nodes: int, tenants: int, act: str) -> None:
        self.rng, self.now, self.sequence = Random(seed), 0.0, 0
        view = drawn(seed, nodes, tenants)
        self.wanted = {one.tenant: float(one.connections) for it in view.nodes() for one in it.snapshot.loads}
        files = {one.name: frozenset(one.snapshot.holds) for one in view.nodes()}
        every = frozenset(self.wanted)
        terms = Terms(act=act)
        self.coordinators = {
            name: MigrationCoordinator(0.0, name, terms, every, holds) for name, holds in files.items()
        }
        self.held = {
            one.name: {it.tenant: float(it.connections) for it in one.snapshot.loads} for one in view.nodes()
        }
        self.begun = self.most = 0
        self.uneven: list[float] = []

    def step(self) -> None:
        self.now += self.STEP
        for tenant in self.wanted:
            self.wanted[tenant] *= self.rng.lognormvariate(0, 0.01)
        holders: dict[str, list[str]] = {}
        for name, coordinator in self.coordinators.items():
            for tenant in coordinator.holds:
                holders.setdefault(tenant, []).append(name)
        part = self.STEP / self.LIFE
        for name, its in self.held.items():
            for tenant in set(its) | self.coordinators[name].holds:
                mine = self.wanted[tenant] / len(holders[tenant]) if name in holders.get(tenant, ()) else 0.0
                its[tenant] = its.get(tenant, 0.0) + (mine - its.get(tenant, 0.0)) * min(1.0, part)
                if its[tenant] < 0.5 and not mine:
                    del its[tenant]
        self.sequence += 1
        members = {}
        for name, coordinator in self.coordinators.items():
            told = [
                Load(tenant, round(many), many / self.LIFE)
                for tenant, many in sorted(self.held[name].items())
            ]
            said = snapshot(name, told, sequence=self.sequence, holds=tuple(sorted(coordinator.holds)),
                            parts={"moves": coordinator.encoded_part(self.now)})  # fmt: skip
            members[name] = Member(said, Trust.SURE, 1.0, 1.0)
        for name, coordinator in self.coordinators.items():
            coordinator.observe(self.now, View(1, self.now, name, members))
            coordinator.advance(self.now)
        self.most = max(
            self.most,
            sum(
                record.state in ("begun", "settling")
                for coordinator in self.coordinators.values()
                for record in coordinator._active_records()
            ),
        )
        self.uneven.append(planner.peak_to_mean(sum(its.values()) for its in self.held.values()))

    def counted(self, name: str) -> int:
        return sum(coordinator.counts[name] for coordinator in self.coordinators.values())


def hours(rows: list[dict[str, Any]], nodes: int = 8, tenants: int = 100, many: float = 6.0) -> None:
    base = 0.0
    for act in ("recommend", "move"):
        play = Hours(1, nodes, tenants, act)
        for _ in range(int(many * 3600 / play.STEP)):
            play.step()
        last = statistics.mean(play.uneven[len(play.uneven) // 2 :])
        base = base or last
        what = f"{nodes} nodes, {tenants} tenants, {many:g} h, {act}"
        rows += [
            row(f"{what}: most loaded at first", play.uneven[0], "mean"),
            row(f"{what}: in the second half", last, "mean", last / base),
            row(f"{what}: moves begun", play.counted("moves_begun")),
            row(f"{what}: undone", play.counted("moves_undone")),
            row(f"{what}: at once, most", play.most),
        ]


@click.command()
@click.option("--json", "as_json", is_flag=True)
@click.option("--only", type=click.Choice(("plans", "whole", "hours")), help="One part of it.")
def main(as_json: bool, only: str | None) -> None:
    """What a plan of moves takes and leaves.

    \b
    Example: python -m benchmarks.migration --json
    """
    rows: list[dict[str, Any]] = []
    for name, part in (("plans", plans), ("whole", whole), ("hours", hours)):
        if only in (None, name):
            part(rows)
    show(rows, as_json)


if __name__ == "__main__":
    main()
