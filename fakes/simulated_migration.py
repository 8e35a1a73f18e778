"""Migration in simulated time: a `MigrationCoordinator` per node, delayed views, tenants as streams of
connections.

A tenant's connections are a quantity, not individual clients: they are opened at a rate and live for a while.
They go to the nodes that announce the tenant with full preference, otherwise to those with lower preference,
otherwise they are lost. `static` is the same stream with every tenant at its first node. Times are in
seconds.
"""

from __future__ import annotations

from collections import Counter
from math import exp
from typing import Any

from fakes.simulated_fleet import DelayedView, Net, Process, World
from thymeyoke.membership.view import Load, State
from thymeyoke.migration.controller import Level, MigrationCoordinator, Terms
from thymeyoke.migration.controller import State as Move

STEP = 4.0  # between two steps of every node, and two snapshots
LIFE = 120.0  # of a connection, in the mean
HOUR = 3600.0


class Carrier(Process):
    """One incarnation of a node."""

    def __init__(
        self,
        moving: Moving,
        name: str,
        incarnation: int,
        terms: Terms,
        holds: frozenset[str],
        served: float = 0.0,
    ) -> None:
        super().__init__(moving.world, name, True, incarnation, served)
        self.moving, self.room = moving, moving.table
        self.coordinator = MigrationCoordinator(self.world.now, name, terms, moving.can, holds)
        self.delayed_view = DelayedView(self.world, moving.net, self, STEP)
        self.held: dict[str, float] = dict.fromkeys(sorted(holds), 0.0)
        self.opened: dict[str, float] = {}
        self.still = False  # its snapshot is frozen
        self.begun = 0

    @property
    def load(self) -> float:
        return sum(self.held.values())

    def figures(self) -> dict[str, Any]:
        loads = tuple(
            Load(name, round(held), self.opened.get(name, 0.0))
            for name, held in self.held.items() if held >= 0.5 or name in self.opened
        )  # fmt: skip
        return {
            "connections": sum(one.connections for one in loads),
            "opened": sum(self.opened.values()),
            "room": max(0, self.room - round(self.load)),
            "loads": loads,
            "holds": tuple(sorted(self.coordinator.holds)),
            "parts": {"moves": self.coordinator.encoded_part(self.world.now)},
        }

    def publish(self) -> None:
        if not self.still:
            super().publish()

    def step(self) -> None:
        """Observe the view, advance, and publish a snapshot after changes."""
        now = self.world.now
        self.coordinator.observe(now, self.delayed_view.current_view(self.moving.carriers.values()))
        if self.coordinator.advance(now):
            self.publish()

    def under_way(self) -> list[tuple[str, str]]:
        """Own moves that have begun and are not over, as tenant and target."""
        return [
            (one.step.tenant, one.step.target) for one in self.coordinator.records.values()
            if one.request is not None and one.state in (Move.BEGUN, Move.SETTLING)
        ]  # fmt: skip


class Moving:
    """All nodes and tenants. `skew`: of the tenants' sizes; `total`: connections opened per second."""

    def __init__(
        self, seed: int, nodes: int, tenants: int, terms: Terms, skew: float = 0.4, total: float = 0.0,
        loss: float = 0.01,
    ) -> None:  # fmt: skip
        self.world, self.terms = World(seed), terms
        self.net = Net(self.world, loss)
        rng = self.world.rng
        names = [f"t{at:04}" for at in range(tenants)]
        weights = [1 / (at + 1) ** skew for at in range(tenants)]
        total = total or 12.5 * nodes
        self.rates = {name: total * one / sum(weights) for name, one in zip(names, weights, strict=True)}
        self.can = frozenset(names)
        self.table = round(4 * total * LIFE / nodes)
        homes = {name: f"n{rng.randrange(nodes):02}" for name in names}
        self.files = {
            node: frozenset(name for name, home in homes.items() if home == node)
            for node in (f"n{at:02}" for at in range(nodes))
        }
        self.homes = homes
        self.carriers: dict[str, Carrier] = {}
        self.static = dict.fromkeys(names, 0.0)
        self.begun: list[float] = []  # moments
        self.most_at_once = self.most_an_hour = self.two_targets = 0
        self.lost = self.all = 0.0  # failed connections, and all
        self.unannounced: Counter[str] = Counter()  # steps, by tenant
        self.moved: list[float] = []  # evenness by step
        self.unmoved: list[float] = []
        self.over = self.over_unmoved = 0  # nodes over the bound at the last step
        self.ends: list[Counter[str]] = []
        for name in self.files:
            self.start(name, served=1000.0)
        for name, rate in self.rates.items():  # as after a long time
            self.static[name] = self.carriers[homes[name]].held[name] = rate * LIFE
        for one in self.carriers.values():
            one.publish()

    def start(self, name: str, served: float = 0.0) -> None:
        incarnation = self.carriers[name].incarnation + 1 if name in self.carriers else 1
        self.carriers[name] = Carrier(self, name, incarnation, self.terms, self.files[name], served)
        self.carriers[name].publish()
        self.world.note(f"{name} starts, life {incarnation}")

    def kill(self, name: str) -> None:
        one = self.carriers[name]
        one.alive = False
        one.held.clear()
        self.ends.append(one.coordinator.counts)
        self.world.note(f"{name} dies")

    def run(self, until: float) -> None:
        while self.world.now + STEP <= until:
            self.world.run(self.world.now + STEP)
            self._flow()
            for one in self.carriers.values():
                if one.alive:
                    one.publish()
            for one in self.carriers.values():
                if one.alive:
                    one.step()
            self._count()

    def _flow(self) -> None:
        rng, stay = self.world.rng, exp(-STEP / LIFE)
        there = [one for one in self.carriers.values() if one.alive]
        for one in there:
            one.held = {name: held * stay for name, held in one.held.items() if held > 0.01}
            one.opened = {}
        full: dict[str, list[Carrier]] = {}
        less: dict[str, list[Carrier]] = {}
        for one in there:
            for name, level in one.coordinator.announced_levels.items():
                if level == Level.PREFERRED:
                    full.setdefault(name, []).append(one)
                elif level == Level.DEPREFERRED:
                    less.setdefault(name, []).append(one)
        for name, rate in self.rates.items():
            came = rate * STEP * max(0.0, rng.gauss(1.0, 0.1))
            self.static[name] = self.static[name] * stay + came
            self.all += came
            where = full.get(name) or less.get(name)
            if not where:
                self.lost += came
                self.unannounced[name] += 1
                continue
            for one in where:
                one.held[name] = one.held.get(name, 0.0) + came / len(where)
                one.opened[name] = came / len(where) / STEP

    def _count(self) -> None:
        now = self.world.now
        there = [one for one in self.carriers.values() if one.alive]
        for one in there:
            many = one.coordinator.counts["moves_begun"]
            self.begun += [now] * (many - one.begun)
            one.begun = many
        under_way = [move for one in there for move in one.under_way()]
        self.most_at_once = max(self.most_at_once, len(under_way))
        self.two_targets += len({tenant for tenant, _ in under_way}) < len(under_way)
        self.most_an_hour = max(self.most_an_hour, sum(at > now - HOUR for at in self.begun))
        moved = [one.load for one in there if one.state == State.SERVING]
        self.moved.append(evenness(moved))
        at_home: Counter[str] = Counter()
        for name, held in self.static.items():
            at_home[self.homes[name]] += held
        unmoved = [at_home[name] for name in self.files]
        self.unmoved.append(evenness(unmoved))
        self.over, self.over_unmoved = (above(loads, self.terms.uneven) for loads in (moved, unmoved))

    def total(self, what: str) -> int:
        there = [one.coordinator.counts for one in self.carriers.values() if one.alive]
        return sum(one[what] for one in (*self.ends, *there))

    def evenness(self, since: float, until: float) -> tuple[float, float]:
        """The highest load relative to the mean, with and without moves, averaged over a time range."""
        span = slice(int(since / STEP), max(int(since / STEP) + 1, int(until / STEP)))
        moved, unmoved = self.moved[span], self.unmoved[span]
        return sum(moved) / len(moved), sum(unmoved) / len(unmoved)


def evenness(loads: list[float]) -> float:
    whole = sum(loads)
    return max(loads) * len(loads) / whole if whole else 1.0


def above(loads: list[float], uneven: float) -> int:
    """The number of nodes that hold more than `uneven` times the mean."""
    return sum(one * len(loads) > uneven * sum(loads) for one in loads)
