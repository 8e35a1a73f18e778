"""Migration: the tables of docs/migration.md, properties of plans, a small model explored exhaustively."""

from __future__ import annotations

import os
import pickle
import re
import unittest
from collections.abc import Callable, Iterable
from itertools import combinations, pairwise, product
from pathlib import Path
from random import Random
from tempfile import NamedTemporaryFile
from typing import Any
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec import structs

from tests.conformance.tables import DASH, Row, played, rows
from thymeyoke.configuration import service_config
from thymeyoke.membership.view import Load, Member, Snapshot, State, Trust, View
from thymeyoke.migration import controller, load_ranges, planner, presentation, quorum, wire
from thymeyoke.migration.controller import (
    Depreferred,
    Event,
    Level,
    MigrationCoordinator,
    Preferred,
    Withdrawn,
)
from thymeyoke.migration.load_ranges import Terms
from thymeyoke.migration.planner import MoveConstraints

PAGE = "docs/migration.md"
TERMS = Terms(act="move", uneven=1.25, at_once=1, an_hour=12, rest=300.0, settle=60.0)
START = 10_000.0  # long after all were born: everyone votes
FLEET = {"a": {"t1": 300, "t2": 400, "t3": 500}, "b": {"u1": 300, "u2": 300}, "c": {"v1": 300}}
# The mean is 700, the bound 875: a is over by 325, t2 is the smallest tenant that suffices, c can take it.
MOVE = ("t2", "a", "c")
S, U, D = Trust.SURE, Trust.UNSURE, Trust.DEAD
LEVELS = "-LF"  # withdrawn, less, full
Tenants = dict[str, dict[str, int]]


def snapshot(name: str, tenants: dict[str, int], **other: Any) -> Snapshot:
    told = tuple(Load(tenant, many) for tenant, many in tenants.items())
    given = {"node": True, "incarnation": 1, "sequence": 1, "state": State.SERVING, "address": "",
             "room": 5000, "holds": tuple(tenants), "loads": told,
             "connections": sum(tenants.values())}  # fmt: skip
    return Snapshot(name=name, **(given | other))


def view(*snapshots: Snapshot, me: str = "a", **member: Any) -> View:
    given = {"trust": S, "age": 0.0, "weight": 1.0} | member
    return View(1, START, me, {one.name: Member(one, **given) for one in snapshots})


def fleet(tenants: Tenants = FLEET, own: dict[str, Any] = {}, **other: Any) -> View:  # noqa: B006
    """A view of a fleet; `own`: other snapshot fields, by node."""
    return view(*(snapshot(name, its, **(other | own.get(name, {}))) for name, its in tenants.items()))


def allowed(seen: View) -> MoveConstraints:
    every = frozenset(load.tenant for one in seen.nodes() for load in one.snapshot.loads)
    return MoveConstraints({one.name: every for one in seen.nodes()})


def planned(seen: View, terms: Terms = TERMS) -> planner.Plan:
    return planner.plan(load_ranges.estimate_loads(seen, terms), allowed(seen), terms)


def names(made: planner.Plan) -> list[tuple[str, str, str]]:
    return [(step.tenant, step.source, step.target) for step in made.steps]


class Sim:
    """Nodes with real coordinators, and the snapshots that each has received. Clients follow the
    announcements within `flow` seconds."""

    def __init__(self, tenants: Tenants = FLEET, terms: Terms = TERMS, flow: float = 0.0) -> None:
        self.now, self.flow, self.terms = START, flow, terms
        self.files = {name: frozenset(its) for name, its in tenants.items()}
        self.every = frozenset().union(*tenants.values())
        self.connections = {name: dict(its) for name, its in tenants.items()}
        self.movers = {name: self.made(name, 0.0) for name in tenants}
        self.lives, self.sequence = dict.fromkeys(tenants, 1), 0
        self.seen: dict[str, dict[str, tuple[Snapshot, float]]] = {name: {} for name in tenants}
        self.trust: dict[str, dict[str, Trust]] = {name: {} for name in tenants}
        self.versions: dict[str, tuple[int, Any]] = dict.fromkeys(tenants, (0, None))
        self.dead: set[str] = set()
        self.cut: set[tuple[str, str]] = set()  # pairs of receiver and sender
        self.other: dict[str, dict[str, Any]] = {name: {} for name in tenants}
        self.out: list[tuple[str, controller.Action]] = []
        self.begun: list[tuple[Any, ...]] = []  # when, tenant, source, target

    def made(self, name: str, now: float) -> MigrationCoordinator:
        return MigrationCoordinator(now, name, self.terms, self.every, self.files[name])

    def say(self, name: str) -> Snapshot:
        mover = self.movers[name]
        self.sequence += 1
        given = {
            "incarnation": self.lives[name],
            "sequence": self.sequence,
            "holds": tuple(sorted(mover.holds)),
            "parts": {"moves": mover.encoded_part(self.now)},
        }
        tenants = {one: many for one, many in self.connections[name].items() if many}
        return snapshot(name, tenants, **(given | self.other[name]))

    def hear(self, who: str, of: str, said: Snapshot | None = None) -> None:
        if of not in self.dead and (who, of) not in self.cut:
            self.seen[who][of] = said or self.say(of), self.now
            self.trust[who][of] = S

    def view(self, name: str) -> View:
        self.hear(name, name)
        found = {}
        for other, (said, at) in self.seen[name].items():
            age = self.now - at
            weight = 1.0 if age <= 5 else max(0.0, 1 - (age - 5) / 30)
            found[other] = Member(said, self.trust[name][other], age, weight)
        said_of = [(one.name, one.trust, one.snapshot) for one in found.values()]
        facts = sorted((its, trust, one.incarnation, one.state) for its, trust, one in said_of)
        version, before = self.versions[name]
        self.versions[name] = (version + (facts != before), facts)
        return View(self.versions[name][0], self.now, name, found)

    def settle(self, name: str) -> list[controller.Action]:
        mover = self.movers[name]
        mover.observe(self.now, self.view(name))
        before = {id(one) for one in self.live(name)}
        done = mover.advance(self.now)
        self.begun += [(self.now, *one.key) for one in self.live(name) if id(one) not in before]
        self.out += [(name, one) for one in done]
        return done

    def round(self, step: float = 1.0, drops: Callable[[], bool] = lambda: False) -> None:
        self.now += step
        alive = [name for name in self.movers if name not in self.dead]
        said = {name: self.say(name) for name in alive}
        for who, of in product(alive, repeat=2):
            if not drops():
                self.hear(who, of, said[of])
        for name in alive:
            self.settle(name)
        for name in alive if self.flow else ():
            self.shift(name, min(1.0, step / self.flow))

    def shift(self, name: str, part: float) -> None:
        for tenant, many in self.connections[name].items():
            full = [one for one in self.movers if one not in self.dead and tenant in self.movers[one].holds]
            if full and name not in full and many:
                gone = max(1, int(many * part))
                self.connections[name][tenant] -= gone
                self.connections[full[0]][tenant] = self.connections[full[0]].get(tenant, 0) + gone

    def run(self, seconds: float, step: float = 1.0) -> None:
        for _ in range(int(seconds / step)):
            self.round(step)

    def until(self, what: Callable[[], Any], step: float = 1.0) -> None:
        for _ in range(int(600 / step)):
            if what():
                return
            self.round(step)
        raise AssertionError(
            f"not within 600 s: {[one.recommendations(self.now) for one in self.movers.values()]}"
        )

    def live(self, name: str) -> list[controller.MigrationRecord]:
        under_way = (controller.State.BEGUN, controller.State.SETTLING)
        return [one for one in self.movers[name]._active_records() if one.state in under_way]

    def find(self, who: str, of: str, trust: Trust = D) -> None:
        self.trust[who][of] = trust
        self.settle(who)

    def restart(self, name: str) -> None:
        self.dead.discard(name)
        self.lives[name] += 1
        self.movers[name] = self.made(name, self.now)
        self.seen[name], self.trust[name], self.other[name] = {}, {}, {}

    def wait(self, seconds: str) -> None:
        self.now += float(seconds)
        self.settle("a")

    def late(self, seconds: float, state: str = "") -> None:
        self.now += seconds
        if state == "settling":  # it would be kept
            self.trust["a"]["c"] = U

    def off(self) -> None:
        self.movers["a"].reconfigure(self.now, TERMS._replace(act="recommend"), self.every, self.files["a"])

    def do(self, step: str) -> None:
        """Run one step of a scenario, such as `a hears b` or `kill a`."""
        words = step.split()
        verb = next((word for word in words if word in STEPS), step)
        words.remove(verb)
        STEPS[verb](self, *words)

    def play(self, steps: str) -> None:
        for step in filter(None, steps.split(", ")):
            self.do(step)

    def level(self, name: str, tenant: str = "t2") -> Level:
        return self.movers[name].tenant_states[tenant].level

    def state(self, key: tuple[str, str, str] = MOVE) -> str:
        found = [one.state for one in self.movers[key[1]].recommendations(self.now)
                 if (one.tenant, one.source, one.target) == key]  # fmt: skip
        return str(found[0]) if found else ""


# Steps of a scenario. A node that receives or detects something acts on it at once.
STEPS: dict[str, Callable[..., Any]] = {
    "hears": lambda sim, who, of: (sim.hear(who, of), sim.settle(who)),
    "finds": Sim.find,  # it dead
    "doubts": Sim.find,  # the same of a live one
    "unsure": lambda sim, who, of: sim.find(who, of, U),
    "kill": lambda sim, name: sim.dead.add(name),
    "restart": Sim.restart,
    "leave": lambda sim, name: sim.other[name].update(
        state=State.LEAVING
    ),  # it still announces what it holds
    "run": lambda sim, seconds: sim.run(float(seconds)),
    "wait": Sim.wait,  # a receives nothing
    "cut": lambda sim, who, of: sim.cut.add((who, of)),
    "heal": lambda sim: sim.cut.clear(),
    "empty": lambda sim: sim.connections["a"].update(t2=0),
    "off": Sim.off,
    "unfile": lambda sim: sim.files.update(a=sim.files["a"] - {"t2"}),
    "take": lambda sim, name: setattr(sim.movers[name].tenant_states["t2"], "level", Level.PREFERRED),
    "drop": lambda sim, name: setattr(sim.movers[name].tenant_states["t2"], "level", Level.WITHDRAWN),
}


def asked(sim: Sim, step: float = 1.0) -> tuple[Sim, controller.MigrationRecord]:
    """A fleet in which node a has just made a request that no other node has received."""
    sim.until(lambda: sim.movers["a"]._active_records(), step)
    (record,) = sim.movers["a"]._active_records()
    return sim, record


VOTED = "b hears a, c hears a, a hears b, a hears c"
WAYS = {"proposed": "", "expired": "a finds c", "begun": VOTED, "undone": f"{VOTED}, wait 31",
        "settling": f"{VOTED}, c hears a, a hears c, wait 6"}  # fmt: skip
WAYS["kept"] = f"{WAYS['settling']}, empty, wait 0"


def at(state: str) -> tuple[Sim, controller.MigrationRecord]:
    """A fleet in which a's move of t2 to c is in the given state, with the minimum of messages exchanged."""
    sim, record = asked(Sim())
    sim.play(WAYS[state])
    assert record.state == state, (record.state, state, record.why)
    return sim, record


def scene(case: unittest.TestCase, text: str, sim: Sim | None = None, record: Any = None,
          tenant: str = "t2") -> Sim:  # fmt: skip
    """Run a scenario: `state: step, step, ...`, or with a given fleet its steps alone.

    Steps may also be checks: levels of the tenant at a, b and c (`F-?`: full, withdrawn, any), the state of
    a's move, `a full 9` (in each of the next 9 seconds), `c says` (it announces that it holds the tenant).
    """
    if sim is None:
        state, text = text.split(": ")
        sim, record = at(state)
    for step in text.split(", "):
        match step.split():
            case [levels] if not set(levels) - set(LEVELS + "?"):
                now = [LEVELS[sim.level(name, tenant)] for name in sim.movers]
                now = [one if want != "?" else "?" for one, want in zip(now, levels, strict=True)]
                case.assertEqual("".join(now), levels, (text, step))
            case [word] if word in list(controller.State):
                case.assertEqual(record.state, word, (text, record.why))
            case [name, "full", seconds]:
                for _ in range(int(seconds)):
                    sim.round()
                    case.assertEqual(sim.level(name, tenant), Level.PREFERRED, text)
            case [name, "says"]:
                case.assertIn(tenant, sim.seen["a"][name][0].holds)
            case _:
                sim.do(step)
    return sim


def scenes(*texts: str) -> Callable[[unittest.TestCase], Any]:
    return lambda case: [scene(case, text) for text in texts]


def of_c(sim: Sim, **changed: Any) -> None:
    said, when = sim.seen["a"]["c"]
    sim.seen["a"]["c"] = said._replace(sequence=said.sequence + 1, **changed), when


def asked_of(sim: Sim, voters: str) -> None:
    for who in voters:
        sim.do(f"{who} hears a")
        sim.hear("a", who)


HELD = wire.encode(wire.MigrationPart(moves=True, held_tenants=(wire.HeldTenant("t2", "a", 1),)))
CAUSES: dict[Event, Callable[[Sim, str], Any]] = {  # from outside; by the state that the move is in
    Event.QUORUM: lambda sim, state: asked_of(sim, "bc" if state == "proposed" else ""),
    Event.TARGET_HOLDS: lambda sim, _: of_c(sim, holds=("v1", "t2"), parts={"moves": HELD}),
    Event.SETTLED: lambda sim, _: sim.do("empty"),
    Event.TARGET_LOST: lambda sim, _: sim.trust["a"].update(c=D),
    Event.TARGET_FULL: lambda sim, _: of_c(sim, room=0),
    Event.TIMEOUT: lambda sim, state: sim.late(
        120.0 if state in ("settling", *controller.FINAL_STATES) else 31.0, state
    ),
    Event.NOT_NEEDED: lambda sim, _: (sim.connections["a"].update(t1=0, t3=0), sim.late(5.0)),
    Event.DISABLED: lambda sim, _: sim.off(),
    Event.NEW_INCARNATION: lambda sim, _: sim.lives.update(a=2),
}


def play_state(case: unittest.TestCase, row: Row) -> None:
    """Cause an event in a state; check the next state and the actions of the row."""
    sim, record = at(row["state"])
    CAUSES[Event(row["event"])](sim, row["state"])
    done = sim.settle("a")
    expected = row["state"] if row["next state"] in DASH else row["next state"]
    case.assertEqual(record.state, expected, record.why)
    out = re.findall(r"`(Preferred|Depreferred|Withdrawn)`", row["what goes out"])
    case.assertEqual([(type(one).__name__, one.tenant) for one in done], [(name, "t2") for name in out])
    case.assertEqual(bool(sim.movers["a"]._active_records()), expected not in controller.FINAL_STATES)


class States(unittest.TestCase):
    def test_the_page(self) -> None:
        cases = {(str(state), str(event)): play_state for state in controller.State for event in Event}
        played(self, rows(PAGE, "States"), ("state", "event"), cases)


def ask(
    slot: int = 0, number: int = 1, tenant: str = "t2", target: str = "c", **other: Any
) -> wire.MoveRequest:
    return wire.MoveRequest(slot, number, tenant, target, "a", 1, **other)


Saying = dict[str, quorum.NodeAnnouncement]


def give(made: quorum.Voter, said: Saying, at_once: int = 2) -> dict[tuple[str, int], str]:
    return made.grant(START, TERMS._replace(at_once=at_once), said, lambda *_: None, lambda _: True)


def voter(*asks: tuple[str, wire.MoveRequest]) -> tuple[quorum.Voter, Saying]:
    """The votes of b after the given requests."""
    made = quorum.Voter(0.0)
    said = {
        name: quorum.NodeAnnouncement(fleet().members[name], wire.MigrationPart(at_once=2)) for name in FLEET
    }
    for name, one in asks:
        says(said, name, at_once=2, requests=(*said[name].part.requests, one))
        give(made, said)
    return made, said


def says(said: Saying, name: str, **part: Any) -> None:
    said[name] = said[name]._replace(part=wire.MigrationPart(**part))


EVEN = {"a": {"t1": 10, "t2": 10, "t3": 10}, "b": {"u": 30}, "c": {"v": 30}}


def claims(sim: Sim, stamp: int, *tenants: str, home: str = "a") -> None:
    """From now on c announces that it holds these tenants."""
    part = {"b": [[tenant, home, stamp] for tenant in tenants], "l": 3e5}  # and that moves take for days
    sim.other["c"] = {"holds": ("v", *tenants), "parts": {"moves": wire._encoder.encode(part)}}


def given_up(sim: Sim) -> list[str]:
    return sorted(sim.files["a"] - sim.movers["a"].holds)


class Rules(unittest.TestCase):
    def test_the_page(self) -> None:
        cases = {f"MO-{at}": lambda case, _, at=at: getattr(case, f"mo_{at}")() for at in range(1, 33)}
        played(self, rows(PAGE, "Rules"), "id", cases)

    def mo_1(self) -> None:
        plain = fleet()
        for name in "ac":
            member = plain.members[name]
            for changed, why in (
                ({"trust": D}, "dead"), ({"trust": U}, "sure"), ({"weight": 0.4, "age": 90.0}, "90 s"),
                ({"snapshot": member.snapshot._replace(state=State.COLD)}, "cold"),
                ({"snapshot": member.snapshot._replace(state=State.LEAVING)}, "leaving"),
            ):  # fmt: skip
                seen = plain._replace(members=plain.members | {name: member._replace(**changed)})
                read = load_ranges.estimate_loads(seen, TERMS)
                self.assertIn(why, read.unknown[name])
                self.assertNotIn(name, [one.name for one in read.nodes])
                self.assertEqual(read.mean.mid, (2100 - sum(FLEET[name].values())) / 2)
                self.assertFalse([step for step in planned(seen).steps if name in (step.source, step.target)])

    def mo_2(self) -> None:
        one = snapshot("a", {"t1": 100}, opened=2.0, loads=(Load("t1", 100, 2.0, 10),))
        found = []
        for age, weight in ((0.0, 1.0), (2.0, 1.0), (4.0, 0.8), (20.0, 0.5)):
            (node,) = load_ranges.estimate_loads(view(one, age=age, weight=weight), TERMS).nodes
            for load in (node.load, node.tenants[0].load):
                self.assertTrue(load.low <= load.mid <= load.high and load.mid > 0)
            found.append(node.load)
        for new, old in pairwise(found):
            self.assertTrue(old.low < new.low and old.high > new.high and old.mid == new.mid)

    def mo_3(self) -> None:
        figures = "rate of opened connections out of range"
        load = "load of a tenant out of range"
        total = "add up"
        cases: tuple[tuple[str, dict[str, Any]], ...] = (
            (figures, {"connections": -1}), (figures, {"connections": 1 << 40}), (figures, {"room": -5}),
            (figures, {"opened": float("nan")}), (figures, {"opened": float("inf")}),
            ("lists a tenant twice", {"loads": (Load("t1", 5), Load("t1", 5))}),
            (load, {"loads": (Load("t1", -5),)}), (load, {"loads": (Load("t1", 5, 0.0, 6),)}),
            (load, {"loads": (Load("t1", 5, float("-inf")),)}),
            (total, {"connections": 10}), (total, {"rest": Load("", 900)}),
        )  # fmt: skip
        for why, bad in cases:
            seen = fleet(own={"a": bad})
            self.assertIn(why, load_ranges.estimate_loads(seen, TERMS).unknown.get("a", ""), bad)
            self.assertEqual(planned(seen).steps, ())

    def mo_4(self) -> None:
        for over, steps in ((0, 1), (400, 1), (500, 0)):
            told = (Load("t1", 300), Load("t2", 400), Load("t3", 500, 0.0, over))
            seen = fleet(own={"a": {"loads": told}})
            self.assertEqual(len(planned(seen).steps), 1, over)  # the sketch's `over` is of the tenant alone
            aged = seen.members["a"]._replace(age=6.0, weight=1.0 if steps else 0.6)
            old = seen._replace(members=seen.members | {"a": aged})
            self.assertEqual(len(planned(old).steps), steps)
        near = {"a": {"t1": 450, "t2": 424}, "b": {"u1": 600}, "c": {"v1": 626}}
        self.assertEqual(planned(fleet(near)).steps, ())

    def mo_5(self) -> None:
        made = planned(fleet())
        self.assertEqual(names(made), [MOVE])
        self.assertTrue(made.proved and made.before > 1.7 and made.after <= 1.25)
        # The largest first takes three; two of middle size suffice, and the search finds them.
        target = planner.TargetNode(load_ranges.Node("b", load_ranges.NOTHING, 999, (), frozenset()), 100.0)
        every = [load_ranges.Tenant(f"t{at}", load_ranges.Range(many, many, many), many, 0.0)
                 for at, many in enumerate((60, 50, 50, 30, 10))]  # fmt: skip
        sources = (planner.OverloadedNode("a", 100.0, tuple((one, (target,)) for one in every)),)
        given = planner.PackingProblem(sources, (target,), 100.0)
        self.assertEqual([one[1].connections for one in planner.greedy(given)[0]], [60, 30, 10])
        (chosen, left), proved = planner.fewest_moves(given)
        self.assertEqual(([one[1].connections for one in chosen], left, proved), ([50, 50], 0, True))
        like = planner.OverloadedNode("a", 1.0, ((every[1], (target,)),) * 3)
        for large, kept in (True, [2, 1]), (False, [1, 2]):  # no tenant twice; one given up may come again
            self.assertEqual(planner._smallest_sufficient_set(like, 2, large), kept)
        self.assertNotIn(MOVE, names(planned(fleet(room=399))))

    def mo_6(self) -> None:
        small = {f"t{at}": 200 for at in range(4)}  # may still go
        for beside, moves in ({}, False), (small, True):
            made = planned(fleet({"a": {"big": 1800} | beside, "b": {"u1": 100}, "c": {"v1": 100}}))
            self.assertEqual(bool(made.steps), moves)
            self.assertNotIn("big", [step.tenant for step in made.steps])
            if not moves:
                (advice,) = made.advice
                self.assertEqual(advice[:4], ("split", "a", "big", 3))

    def mo_7(self) -> None:
        made = planned(fleet(room=10))
        self.assertEqual(made.steps, ())
        (advice,) = made.advice
        self.assertEqual((advice.kind, advice.node, advice.figure), ("room", "a", 325 - 20))
        self.assertIn("305 are missing", advice.why)

    def mo_8(self) -> None:
        for excess, moves in ((10, 0), (300, 1)):  # a move of the 600 costs 75
            others = {"b": {"u": 900}, "c": {"v": 300}, "d": {"w": 1200}}
            seen = fleet({"a": {"t1": 600, "t2": 600 + excess}} | others)
            made = planned(seen, TERMS._replace(uneven=1.3334))
            self.assertEqual(len([one for one in made.steps if one.source == "a"]), moves, made)
            self.assertTrue(all(step.gain > step.cost for step in made.steps))

    def mo_9(self) -> None:
        plain = fleet({name: {f"{name}{at}": 90 + 37 * at % 50 for at in range(many)}
                       for name, many in (("a", 12), ("b", 3), ("c", 3), ("d", 9), ("e", 1))})  # fmt: skip
        first = planned(plain)
        self.assertTrue(first.steps)
        for seed in range(10):
            rng = Random(seed)
            mixed = {}
            for name in rng.sample(sorted(plain.members), len(plain.members)):
                said = plain.members[name].snapshot
                said = said._replace(loads=tuple(rng.sample(said.loads, len(said.loads))),
                                     holds=tuple(rng.sample(said.holds, len(said.holds))))  # fmt: skip
                mixed[name] = plain.members[name]._replace(snapshot=said)
            self.assertEqual(planned(plain._replace(members=mixed)), first)

    def mo_10(self) -> None:
        sim = Sim(terms=TERMS._replace(act="recommend"))
        sim.run(900.0, 5.0)
        self.assertEqual((sim.out, sim.begun, sim.state()), ([], [], "proposed"))
        for mover in sim.movers.values():
            (one,) = mover.recommendations(sim.now)
            self.assertEqual((one.tenant, one.source, one.target), MOVE)
            self.assertIn("1.71 of the mean 700, bound 875", one.why)

    def mo_11(self) -> None:
        for heard in "wait 0, proposed", "b hears a, a hears b, proposed", "wait 0":
            scene(self, f"proposed: {heard}, c hears a, a hears c, begun")
        sim = Sim(flow=20.0)
        sim.until(lambda: sim.state() == "kept")
        self.assertEqual(sim.out, [("c", Preferred("t2")), ("a", Depreferred("t2")), ("a", Withdrawn("t2"))])
        sim.run(1200.0, 5.0)
        self.assertEqual(len(sim.begun), 1)  # it is even now
        self.assertLess(max(sum(its.values()) for its in sim.connections.values()), 876)

    def mo_12(self) -> None:
        tenants = FLEET | {"d": {"w1": 600}}
        for unseen, begins in (("d", True), ("bd", False)):
            sim = Sim(tenants)
            sim.round()
            sim.cut = {(who, of) for who in tenants for of in tenants if (who in unseen) != (of in unseen)}
            for who, of in sim.cut:
                sim.trust[who][of] = D
            sim.run(200.0)
            self.assertEqual(bool(sim.begun), begins, unseen)
        why = next(one.why for one in sim.movers["a"].recommendations(sim.now) if one.state == "expired")
        self.assertIn("2 of 3 votes", why)

    def mo_13(self) -> None:
        for second, many in (
            (("c", ask(tenant="v1", target="a")), 1), (("c", ask(1, tenant="v1", target="a")), 2),
            (("a", ask(1, 2, target="b")), 1), (("a", ask(1, 2, tenant="t1")), 2),
            (("c", ask(2, tenant="v1")), 1), (("c", ask(1, tenant="t1")), 1),  # which it does not hold
        ):  # fmt: skip
            made, _ = voter(("a", ask()), second)
            self.assertEqual(len(made.granted), many, second)
            self.assertEqual(made.granted[0].request, ask())

    def mo_14(self) -> None:
        for after, given_ in ((449.0, 0), (451.0, 1)):
            made = quorum.Voter(START - after)
            give(made, voter(("a", ask()))[1], 1)
            self.assertEqual(len(made.granted), given_)
        sim = Sim()
        sim.play("run 1, restart b, restart c")
        for seconds, many in ((440.0, 0), (200.0, 1)):
            sim.run(seconds)
            self.assertEqual(len(sim.begun), many)
        sim = Sim(FLEET | {"d": {"w1": 310}})  # c alone has just started: d takes it, nothing is asked of c
        sim.play("run 1, restart c")
        sim.until(lambda: sim.begun)
        self.assertEqual((sim.begun[0][1:], sim.movers["a"].last_number), (("t2", "a", "d"), 1))

    def mo_15(self) -> None:
        for part, later, held, rests in (
            ({"requests": (ask(begun=True),)}, 60.0, True, False), ({}, 60.0, False, True),
            ({"dropped": (1,)}, 60.0, False, False), ({"requests": (ask(),)}, 151.0, False, True),
        ):  # fmt: skip
            made, said = voter(("a", ask()))
            says(said, "a", **part)
            made.release(START + later, said, {name: one.member for name, one in said.items()}, TERMS)
            self.assertEqual((0 in made.granted, 0 in made.cooling_down), (held, rests), part)
        for at_once, an_hour, rest, span in ((1, 12, 300, 300), (1, 12, 600, 600), (4, 12, 300, 1200),
                                             (5, 12, 1, 1800), (8, 2, 1, 3600)):  # fmt: skip
            terms = TERMS._replace(at_once=at_once, an_hour=an_hour, rest=rest)
            self.assertEqual(quorum.slot_cool_down(terms), span)
            self.assertLessEqual(min(at_once, an_hour) * (quorum.SECONDS_PER_HOUR // span), an_hour)

    def mo_16(self) -> None:
        said = voter()[1]
        for told, many in ((3, 3), (2, 2), (1, 1), (9, 4)):
            for name, at_once in (("a", 9), ("b", 9), ("c", told)):
                says(said, name, at_once=at_once)
            self.assertEqual(quorum.slot_count(TERMS._replace(at_once=4), said), many)
        made, said = voter(("a", ask(1)))
        self.assertIn(1, made.granted)
        says(said, "c", at_once=1)
        self.assertIn("1 at once", give(quorum.Voter(0.0), said, 4)["a", 1])

    def mo_17(self) -> None:
        vote, own = wire.Vote(0, "a", 1, 1), [quorum.GrantedVote(ask(), "a", 1, START + 9)]
        none = ", none of the target's"
        for known, target, text, is_given in (
            (3, "c", "2 of 2 votes", True), (5, "c", "2 of 3 votes", False),
            (5, "b", f"2 of 3 votes{none}", False), (3, "b", f"2 of 2 votes{none}", False),
        ):  # fmt: skip
            said = voter()[1]
            says(said, "c", votes=(vote,), known_node_count=known)
            found = quorum.count_votes(vote, target, "a", own, 3, said)
            self.assertEqual((found.text, found.is_majority), (text, is_given))

    def mo_18(self) -> None:
        seen, known = fleet(), quorum.KnownNodes()
        b = seen.members["b"]
        farewell = b._replace(snapshot=b.snapshot._replace(state=State.GONE))
        gone = seen._replace(members=seen.members | {"b": farewell})
        lost = seen._replace(members={"a": seen.members["a"]})
        for after, what, many in ((0, seen, 3), (1, gone, 3), (150, gone, 3), (151, gone, 2), (1000, lost, 2),
                                  (86_400, lost, 2), (86_700, lost, 1)):  # fmt: skip
            known.observe(START + after, what, 150.0)
            self.assertEqual(known.count, many)

    mo_19 = scenes(
        "proposed: c hears a, kill a, c unsure a, F--, c finds a, F-F",
        "proposed: kill a, c unsure a, F--, c finds a, F--",  # it gave no vote
        "proposed: c hears a, leave a, c hears a, F-F",
        "proposed: c hears a, off, wait 0, leave a, c hears a, F--",  # a gave it up
        "proposed: c hears a, leave a, leave c, c hears a, F--",
        "begun: unfile, restart a, c hears a, --F",  # or it is back at once, in a life that does not hold it
    )

    def mo_20(self) -> None:
        for of_b, of_c in ((1, 2), (1, 1)):  # of two that are alike the last by name
            sim = Sim({"a": {"t": 10}, "b": {"x": 10}, "c": {"y": 10}})
            sim.connections["b"]["t"] = 10
            for name, stamp in (("b", of_b), ("c", of_c)):
                place = sim.movers[name].tenant_states["t"]
                place.home, place.stamp, place.level = "a", stamp, Level.PREFERRED
            steps = "run 10, LLF, cut a c, a unsure c, run 120, L-F, heal, run 5, --F"
            scene(self, steps, sim, tenant="t")

    def mo_21(self) -> None:
        sim = Sim({"a": {"t": 10}, "b": {"t": 10}, "c": {"y": 10}})
        scene(self, "run 300, FF-", sim, tenant="t")
        self.assertEqual(sim.out, [])

    mo_22 = scenes(
        "kept: run 1, kill c, a finds c, F-F, undone",
        "kept: run 1, leave c, run 1, F-F, undone, c says",  # until its farewell
        "kept: run 1, restart c, run 1, F--, undone",
        "kept: run 1, drop c, run 29, ---, run 5, F--, undone",
        "kept: take b, a hears b, a finds c, -FF",  # b holds it
        "kept: run 1, restart a, leave c, a full 120, c says",  # a is back with its file, and c leaves
        "kept: run 1, restart a, run 3, L-F, leave c, a full 120, c says",
        "kept: run 1, leave a, kill c, a finds c, --F",  # a leaving node takes nothing back
    )

    def mo_23(self) -> None:
        sim = Sim(flow=20.0)
        sim.until(lambda: sim.state() == "kept")
        sim.run(10.0)
        self.assertEqual(sim.movers["b"]._constraints().busy, {"a", "c"})
        self.assertIn("t2", sim.movers["c"].hold_downs)
        sim.run(310.0, 2.0)
        # c fills with a tenant that none can take: t2 would go back to a, the only one with room for it.
        mine = sim.movers["b"]._constraints()
        self.assertEqual((mine.busy, mine.barred_pairs), (frozenset(), {wire.pair_hash("t2", "a")}))
        self.assertIsNotNone(sim.movers["c"].hold_downs["t2"].mine)
        sim.connections["c"]["v1"] += 700
        sim.run(12.0, 2.0)
        self.assertNotIn("t2", sim.movers["c"].hold_downs)  # that is a new cause
        sim, _ = at("undone")
        self.assertEqual(sim.movers["a"].hold_downs["t2"].other, "c")

    def mo_24(self) -> None:
        rng, encode = Random(7), wire._encoder.encode
        part = wire.MigrationPart(
            moves=True,
            requests=(ask(begun=True, gain=7.5),),
            votes=(wire.Vote(0, "a", 1, 1),),
            held_tenants=(wire.HeldTenant("t", "a", 3),),
            barred_pairs=b"abcd",
            eligible=b"\x01\x80",
        )
        data = wire.encode(part)
        for whole in (part, wire.MigrationPart()):
            self.assertEqual(wire.decode(wire.encode(whole)), whole)
        longer = [0, 1, "t", "c", "a", 1, False, 0.0, False, "more"]
        read = wire.decode(encode({"v": 9, "a": 3, "zz": [1, 2], "s": [longer]}))
        assert isinstance(read, wire.MigrationPart), read
        self.assertEqual((read.version, read.at_once, len(read.requests)), (9, 3, 1))
        for bad in (
            b"",
            b"\xc1",
            data[:-1],
            data + data,
            b"\x00" * 3000,
            encode({"a": 0}),
            encode({"k": -1}),
            encode({"s": [[99, 1, "t", "c", "a", 1]]}),
            encode({"n": b"xyz"}),
            encode({"r": float("nan")}),
        ):
            self.assertIsInstance(wire.decode(bad), wire.InvalidPart, bad)
        for _ in range(2000):
            noise = bytearray(data)
            noise[rng.randrange(len(noise))] = rng.randrange(256)
            self.assertIsInstance(wire.decode(bytes(noise)), wire.MigrationPart | wire.InvalidPart)
        many = tuple(wire.HeldTenant(f"tenant-{at}", "node-1", at) for at in range(500))
        packed = wire.encode(
            wire.MigrationPart(
                held_tenants=many, barred_pairs=bytes(256), requests=part.requests, votes=part.votes
            )
        )
        read = wire.decode(packed)
        self.assertLessEqual(len(packed), wire.MAX_PART_BYTES)
        self.assertTrue(
            isinstance(read, wire.MigrationPart)
            and read.requests == part.requests
            and read.held_tenants
            and read.votes
        )
        sim = Sim()
        sim.round()
        of_c(sim, parts={"moves": b"\xc1"})
        sim.play("wait 0, wait 0")
        self.assertEqual(sim.movers["a"].counts["moves_bad_part"], 1)
        tenants = frozenset(f"tenant-{at}" for at in range(1000))
        can = wire.TenantFilter(wire.TenantFilter.build(tenants).bits)
        self.assertTrue(all(one in can for one in tenants) and len(can.bits) <= wire.MAX_FILTER_BYTES)
        self.assertLess(sum(f"other-{at}" in can for at in range(1000)), 60)
        self.assertNotIn("any", wire.TenantFilter.build(frozenset()))

    def mo_25(self) -> None:
        for state in ("begun", "settling"):  # and it is in full by its file at first
            found = f"{state}: kill a, run 5, b finds a, c finds a, run 5, ??F"
            sim = scene(self, f"{found}, restart a, F?F, run 5, L??, run 70, -?F")
            self.assertEqual(sim.level("a", "t1"), Level.PREFERRED)

    def mo_26(self) -> None:
        changes: tuple[tuple[Callable[[Sim, MigrationCoordinator], Any], str], ...] = (
            (lambda sim, c: setattr(c, "cool_down_until", sim.now + 100), "rests"),
            (lambda sim, c: setattr(c.tenant_states["u1"], "is_arriving", True), "in another move"),
            (lambda sim, c: setattr(c, "terms", TERMS._replace(act="recommend")), "may not"),
            (lambda sim, c: sim.connections["c"].update(v1=700), "over its bound"),
            (lambda sim, c: sim.other["c"].update(room=399), "room for 399"),
        )
        for change, why in changes:
            sim, _ = asked(Sim())
            sim.now += 6.0
            change(sim, sim.movers["c"])
            sim.do("c hears a")
            self.assertIn(why, next(iter(sim.movers["c"].refusals.values()), ""))
            self.assertEqual(sim.movers["c"].voter.granted, {})

    def mo_27(self) -> None:
        """2.2 s until votes arrive, and 2.6 s from `begun` until the source sees that the target holds the
        tenant, with `settle` at 3 s."""
        short = TERMS._replace(settle=3.0, period=0.3, rise=1.5)
        begun = "b hears a, c hears a, wait 2.2, proposed, a hears b, a hears c, begun"
        for then in "c hears a, wait 2.6, begun, a hears c, settling", "cut a c, wait 4, undone":
            scene(self, f"{begun}, {then}", *asked(Sim(terms=short), 0.3))

    def mo_28(self) -> None:
        """Connections that never close: loads are predicted for the time after settling."""
        a, b, c = ({"holds": holds} for holds in (("t1", "t3"), ("u1", "u2", "t2"), ("v1", "t2")))
        moved = fleet(own={"a": a, "c": c})
        for seen, expected in (
            (fleet(), (1200, 600, 300)), (moved, (800, 600, 700)),
            (fleet(FLEET | {"c": {"v1": 300, "t2": 50}}, {"a": a, "c": c}), (800, 600, 750)),
            (fleet(own={"a": a}), (1200, 600, 300)),  # nobody holds t2
            (fleet(own={"a": a, "b": b, "c": c}), (800, 800, 500)),  # both
        ):  # fmt: skip
            read = load_ranges.estimate_loads(seen, TERMS)
            self.assertEqual(tuple(one.load.mid for one in read.nodes), expected)
            self.assertEqual([one.room for one in read.nodes], [5000] * 3)  # of what is there now
            self.assertEqual(read.mean.mid, sum(expected) / 3)
            for node in read.nodes:
                self.assertLessEqual(sum(one.load.mid for one in node.tenants), node.load.mid)
                self.assertTrue(0 <= node.load.low <= node.load.mid <= node.load.high)
        self.assertEqual(names(planned(moved)), [])  # once is enough
        (tenant,) = [
            one for one in load_ranges.estimate_loads(moved, TERMS).nodes[2].tenants if one.name == "t2"
        ]
        self.assertEqual((tenant.load.mid, tenant.connections), (400, 400))
        twelve = {f"t{at_}": 100 for at_ in range(12)}
        sim = Sim({"a": twelve, "b": {"u": 100}, "c": {"v": 100}, "d": {"w": 100}})
        sim.run(80 * 60.0, 2.0)
        self.assertEqual(len(sim.begun), 8)  # 1,200 come down to 400, with a bound of 469
        self.assertLessEqual(max(len(mover.holds) for mover in sim.movers.values()), 4)

    def mo_29(self) -> None:
        # a and b ask for c at once; c gives b its vote, and is in that move when a's ask is late.
        tenants = {
            "a": {"t1": 300, "t2": 350, "t3": 350}, "b": {f"u{at_}": 300 + 10 * at_ for at_ in range(5)},
            "c": {"v": 100}, "d": {"w": 390}, "e": {"x": 650}, "f": {"y": 650},
        }  # fmt: skip
        sim = Sim(tenants, TERMS._replace(at_once=2, an_hour=3600, settle=24.0, rest=20.0), flow=3.0)
        sim.until(lambda: sim.movers["c"].refusals)
        self.assertEqual(sim.movers["c"].refusals, {("a", 1): "is in another move, or rests"})
        (record,) = sim.movers["a"]._active_records()
        sim.until(lambda: record.state != "proposed")
        self.assertEqual((record.key, str(record.state)), (("t1", "a", "c"), "expired"))
        self.assertIn("none of the target's", record.why)
        self.assertEqual((sim.movers["a"].hold_downs, sim.begun[0][2:]), ({}, ("b", "c")))
        # The same where c was promised to another, or rested, for a part of the time only; and for its load.
        promise = {"votes": (wire.Vote(1, "b", 1, 9),)}
        for first, other, barred in (
            ({"resting": 9.0}, (), False), ({"requests": (ask(1, 9, "v1", "b"),)}, (), False),
            (promise, (ask(1, 9, "u1"),), False), ({}, (ask(1, 9, "u1"),), True), ({}, (), True),
        ):  # fmt: skip
            sim, record = asked(Sim())
            sim.do("b hears a")
            sim.hear("a", "b")
            plain = {name: wire.decode(sim.seen["a"][name][0].parts["moves"]) for name in "bc"}
            asks = {"parts": {"moves": wire.encode(structs.replace(plain["b"], requests=other))}}
            sim.hear("a", "b", sim.seen["a"]["b"][0]._replace(**asks))
            for changed in (first, {}):
                of_c(sim, parts={"moves": wire.encode(structs.replace(plain["c"], **changed))})
                sim.settle("a")
                sim.now += 15.5
                sim.seen["a"] = {of: (said, sim.now) for of, (said, _) in sim.seen["a"].items()}
            sim.settle("a")
            self.assertEqual((record.state, record.why.split(";")[0]),
                             ("expired", "2 of 2 votes, none of the target's"))  # fmt: skip
            self.assertEqual("t2" in sim.movers["a"].hold_downs, barred, (first, other))

    def mo_30(self) -> None:
        near = 1 << 32
        for stamp, believed, not_believed, bad in (
            (1, 1, 0, 0), (near, 1, 0, 0), (near + 1, 0, 1, 0), ((1 << 53) - 1, 0, 1, 0), (1 << 53, 0, 0, 1),
            (-1, 0, 0, 1), (0, 0, 0, 0),
        ):  # fmt: skip
            sim = Sim(EVEN)
            claims(sim, stamp, "t1")  # when c is first seen: it may be right
            sim.run(10.0)
            a = sim.movers["a"]
            self.assertEqual((given_up(sim), a.counts["moves_not_believed"], a.counts["moves_bad_part"]),
                             (["t1"] * believed, not_believed, bad))  # fmt: skip
            sim.run(100.0)
            self.assertEqual(sim.level("a", "t1"), Level.WITHDRAWN if believed else Level.PREFERRED)
            sim.other["c"] = {}  # it stops
            sim.run(40.0)
            self.assertEqual((given_up(sim), a.tenant_states["t1"].stamp), ([], stamp + 1 if believed else 0))
            self.assertIsInstance(wire.decode(a.encoded_part(sim.now)), wire.MigrationPart)
        for stamp, votes in ((near, 1), (near + 1, 0)):
            sim, record = asked(Sim())
            record.request = structs.replace(record.request, stamp=stamp)
            sim.do("c hears a")
            self.assertEqual(len(sim.movers["c"].voter.granted), votes)
            self.assertEqual("stamp" in "".join(sim.movers["c"].refusals.values()), not votes)

    def mo_31(self) -> None:
        every = tuple(EVEN["a"])
        for tenants, stamp in (("t1",), 1), (every, 1), (every, 1 << 20), (every, 1 << 32):
            sim = Sim(EVEN)
            sim.run(40.0)
            claims(sim, stamp, *tenants)
            sim.run(400.0, 5.0)
            counts = sim.movers["a"].counts
            self.assertEqual((given_up(sim), counts["moves_not_believed"]), ([], len(tenants)))
            sim.play("kill c, a finds c, run 20, restart c")  # a life that can have nothing of its former one
            claims(sim, stamp, *tenants)
            sim.run(100.0, 5.0)
            self.assertEqual(given_up(sim), [])
            sim.play("restart a, run 5")  # which has forgotten what it gave away
            self.assertEqual(given_up(sim), list(tenants))
        # c holds t1 by a move of a former life of a: it was away, or a sees it at once.
        for start, gives in (("cut a c, run 40, heal, run 1", ["t1"]), ("restart a, run 40", ["t1"]),
                             ("run 40", [])):  # fmt: skip
            sim = Sim(EVEN)
            sim.play(start)  # its figures come first
            if "restart" in start:
                claims(sim, 0, "t1")
                sim.run(500.0, 5.0)
            claims(sim, 3, "t1")
            sim.run(10.0)
            self.assertEqual(given_up(sim), gives)
        sim = Sim()  # c was asked, and took a for dead
        sim.movers["a"].next_request_at = START + 40.0
        scene(self, "c hears a, c doubts a, F-F, c hears a, a hears c, L-F", *asked(sim))

    def mo_32(self) -> None:
        every = tuple(EVEN["a"])
        for kin, before, after, many in (
            ({}, 0, 290, 1),
            ({}, 0, 310, 2),
            ({}, 0, 610, 3),
            (None, 0, 3, 3),
            ({"offered_to": "c"}, 40, 3, 3),
            ({"arrived_by": ("b", 1, 1), "stamp": 4}, 40, 3, 1),
            ({"arrived_by": ("c", 1, 1), "stamp": 4}, 40, 3, 3),
            ({"home": "c", "stamp": 4}, 40, 3, 3),
        ):
            sim = Sim(EVEN)
            for tenant in every:
                vars(sim.movers["a"].tenant_states[tenant]).update(kin or {})
            sim.run(before)
            if kin is None:
                sim.do("restart a")
            claims(sim, 5, *every, home=(kin or {}).get("home", "a"))
            sim.run(after)
            self.assertEqual(len(given_up(sim)), many, (kin, after))
        every = tuple(f"t{at_:04}" for at_ in range(1024))
        for seen, gives in ((0.0, [every[0]]), (40.0, [])):
            sim = Sim({"a": dict.fromkeys(every, 1), "b": {"u": 1000}, "c": {"v": 1000}})
            sim.run(seen, 5.0)
            for at_ in range(0, 1024, 64):
                claims(sim, 1 << 20, *every[at_ : at_ + 64])
                sim.other["c"]["holds"] = ("v", *every)
                sim.round()
            self.assertEqual(given_up(sim), gives)
            self.assertEqual(sim.movers["a"].counts["moves_not_believed"], 0 if gives else 1024)


class Trouble(unittest.TestCase):
    def test_scenes(self) -> None:
        scenes("proposed: wait 3600, expired", "begun: wait 3600, undone", "settling: wait 3600, kept")(self)
        for state in ("begun", "settling"):
            # c restarts without its state, and does not hold the tenant by configuration.
            scene(self, f"{state}: kill a, kill c, run 5, restart c, run 5, ??-, restart a, run 5, F??")
            # The migration of a leaving source continues.
            sim = scene(self, f"{state}: leave a, run 5, settling, ??F, empty, run 5, kept, -?F")
            counts = sim.movers["c"].counts
            self.assertEqual((counts["moves_arrived"], counts["moves_taken_over"]), (1, 0))

    def test_an_absurd_number_of_nodes_blocks_and_no_more(self) -> None:
        sim = Sim()
        for mover in sim.movers.values():
            mover.known_nodes.last_present_at |= {f"ghost-{index}": 1e9 for index in range(9)}
        sim.run(120.0)
        self.assertEqual(sim.begun, [])
        self.assertIn("of 7 votes", sim.movers["a"].recommendations(sim.now)[-1].why)

    def test_a_tenant_that_leaves_the_file(self) -> None:
        for state, over, back in (("proposed", "expired", Preferred), ("begun", "undone", Preferred),
                                  ("settling", "undone", Depreferred)):  # fmt: skip
            sim, record = at(state)
            mover = sim.movers["a"]
            mover.reconfigure(sim.now, TERMS, sim.every - {"t2"}, sim.files["a"] - {"t2"})
            sim.settle("a")
            self.assertEqual((record.state, "t2" in mover.holds), (over, False))
            mover.reconfigure(sim.now, TERMS, sim.every, sim.files["a"])
            self.assertEqual([type(one) for one in sim.settle("a")], [back])  # c is the newer holder


@st.composite
def fleets(draw: st.DrawFn) -> View:
    counts = st.lists(st.integers(1, 400), min_size=0, max_size=8)
    made = []
    for at_ in range(draw(st.integers(2, 8))):
        tenants = {f"t{at_}-{index}": count for index, count in enumerate(draw(counts))}
        its = tenants.items()
        told = tuple(Load(one, many, many / 50, draw(st.integers(0, many // 4))) for one, many in its)
        made.append(snapshot(f"n{at_}", tenants, loads=told, opened=sum(tenants.values()) / 50,
                             room=draw(st.sampled_from((0, 50, 200, 5000)))))  # fmt: skip
    return view(*made, me="n0", age=draw(st.sampled_from((0.0, 1.0, 3.0))),
                weight=draw(st.sampled_from((1.0, 0.9))))  # fmt: skip


def suffices(given: planner.PackingProblem, chosen: Iterable[planner.Choice]) -> bool:
    needs = [one.need for one in given.sources]
    gaps, room = {one.name: one.gap for one in given.targets}, {one.name: one.room for one in given.targets}
    gone = [tenant.name for _, tenant, _ in chosen]
    for at_, tenant, target in chosen:
        needs[at_] -= tenant.load.low
        gaps[target.name] -= tenant.load.high
        room[target.name] -= tenant.connections
    least = min([0, *gaps.values(), *room.values()])
    return len(set(gone)) == len(gone) and max(needs, default=0.0) <= 0 <= least


class Laws(unittest.TestCase):
    @settings(derandomize=True, deadline=None, max_examples=200)
    @given(fleets(), st.sampled_from((0, 500)), st.sampled_from((1.1, 1.25, 2.0)))
    def test_plans(self, seen: View, steps: int, uneven: float) -> None:
        terms = TERMS._replace(uneven=uneven)
        read = load_ranges.estimate_loads(seen, terms)
        made = planner.plan(read, allowed(seen), terms, steps)
        after = {one.name: one.load.high for one in read.nodes}
        room = {one.name: one.room for one in read.nodes}
        sources, targets = {one.source for one in made.steps}, {one.target for one in made.steps}
        for step in made.steps:
            after[step.target] += step.load.high
            room[step.target] -= step.connections
            self.assertGreater(step.gain, step.cost)
        for name in targets:
            self.assertLessEqual(after[name], made.bound + 1e-6)
            self.assertGreaterEqual(room[name], 0)
        self.assertFalse(sources & targets)
        self.assertEqual(len({step.tenant for step in made.steps}), len(made.steps))
        self.assertLessEqual(made.after, made.before + 1e-9)
        mixed = seen._replace(members=dict(reversed(seen.members.items())))
        self.assertEqual(
            planner.plan(load_ranges.estimate_loads(mixed, terms), allowed(mixed), terms, steps), made
        )

    @settings(derandomize=True, deadline=None, max_examples=100)
    @given(fleets())
    def test_the_search_is_never_worse(self, seen: View) -> None:
        given = planner.build_problem(load_ranges.estimate_loads(seen, TERMS), allowed(seen), TERMS)
        before = [(one.name, one.gap, one.room) for one in given.targets]
        chosen, left = planner.greedy(given)
        (found, over), proved = planner.fewest_moves(given, 2000)
        self.assertTrue(over < left or (over == left and len(found) <= len(chosen)))
        ways = [(at_, tenant, target) for at_, source in enumerate(given.sources)
                for tenant, where in source.tenants for target in where]  # fmt: skip
        if proved and len(ways) <= 12:
            fewer = [few for many in range(len(found)) for few in combinations(ways, many)]
            self.assertFalse([few for few in fewer if suffices(given, few)])
        for one, (_, gap, room) in zip(given.targets, before, strict=True):
            self.assertTrue(abs(one.gap - gap) < 1e-6 and one.room == room)

    def test_the_budget_over_hours_with_losses(self) -> None:
        """Several sources and slots with half of all snapshots lost: the limits of concurrent and hourly
        moves hold."""
        for seed, at_once in ((1, 1), (2, 3)):
            rng = Random(seed)
            tenants = {f"n{at_}": {f"t{at_}-{index}": rng.randrange(20, 120) for index in range(many)}
                       for at_, many in enumerate((14, 12, 10, 3, 2, 2, 1))}  # fmt: skip
            sim = Sim(tenants, TERMS._replace(at_once=at_once, an_hour=6, rest=60.0, settle=100.0), flow=10.0)
            for _ in range(900):
                sim.round(5.0, lambda rng=rng: rng.random() < 0.5)
                under_way = [one for name in tenants for one in sim.live(name)]
                self.assertLessEqual(len(under_way), at_once)
                self.assertEqual(len({one.step.tenant for one in under_way}), len(under_way))
            times = [when for when, *_ in sim.begun]
            self.assertGreaterEqual(len(times), 2, "nothing was moved")
            for when in times:
                self.assertLessEqual(len([one for one in times if when <= one < when + 3600]), 6)


A_FILE = ("[members]\naddress = 127.0.0.1:6101\nperiod = {}\n[moves]\nsettle = {}\n"
          "[node]\nname = node-1\n[node.service shop]\naddress = 198.51.100.7:443\n")  # fmt: skip
ANNOUNCES = ("[announce]\nas = 64512\nid = 192.0.2.1\nnext_hop = 192.0.2.1\naddresses = 198.51.100.7/32\n"
             "settle = {}\nchanges = {}\n"
             "[announce.peer p]\naddress = 192.0.2.254:179\nas = 64500\n")  # fmt: skip


class Times(unittest.TestCase):
    """No step of a move has less time than it needs, whatever the settings."""

    def test_of_a_file(self) -> None:
        for moves, period, announce, asking, beginning in (
            (60, 1, None, 30.0, 30.0),  # defaults
            (60, 1, (1, 6), 30.0, 30.0),
            (3, 0.3, None, 2.4, 2.4),  # there and back
            (3, 0.3, (0.5, 60), 2.4, 2.4 + 0.5 + 1.0),
            (3, 0.3, (0.5, 6), 2.4, 2.4 + 0.5 + 10.0),  # its budget is spent
            (20, 1, (30, 6), 10.0, 8.0 + 30.0 + 10.0),
        ):
            text = A_FILE.format(period, moves) + (ANNOUNCES.format(*announce) if announce else "")
            with self.subTest(moves=moves, period=period), NamedTemporaryFile("w", suffix=".ini") as file:
                file.write(text)
                file.flush()
                terms = service_config.read_service_config(Path(file.name))["moves"].terms
                self.assertEqual(terms.settle, moves)
                self.assertAlmostEqual(quorum.request_timeout(terms), asking)
                self.assertAlmostEqual(quorum.begin_timeout(terms), beginning)
                self.assertAlmostEqual(quorum.max_duration(terms), asking + beginning + moves)


class Bars(unittest.TestCase):
    def test_more_than_a_thousand(self) -> None:
        """This node keeps all hold-downs for itself and announces the newest."""
        every = [f"t{at}" for at in range(1500)]
        sim = Sim({"a": dict.fromkeys(every, 1), "b": {"u": 300}, "c": {"v": 300}})
        sim.round()
        mover = sim.movers["a"]
        for tenant in (*every, "none of its own"):
            mover._hold_down(sim.now, tenant, "c")
        self.assertEqual(len(mover.hold_downs), len(every))
        sim.play("wait 0, b hears a")
        mine, told = mover._constraints(), sim.movers["b"]._constraints().barred_pairs
        self.assertFalse([tenant for tenant in every if mine.allows(tenant, "c")])
        self.assertIn(wire.pair_hash(every[-1], "c"), told)
        self.assertNotIn(wire.pair_hash(every[0], "c"), told)
        room = wire.MAX_PART_BYTES - wire.encoded_size(
            structs.replace(mover._own_part(sim.now), barred_pairs=b"")
        )
        self.assertGreaterEqual(len(told), room // wire.PAIR_BYTES - 2)
        mover.reconfigure(sim.now, TERMS, frozenset(every[:10]), frozenset(every[:10]))
        self.assertEqual(set(mover.hold_downs), set(every[:10]))


class Shown(unittest.TestCase):
    def test_status_and_tables(self) -> None:
        for state in ("proposed", "begun", "kept", "settling"):
            sim, _ = at(state)
            told = presentation.status(sim.movers["a"], sim.now)
            one = next(one for one in told["recommendations"] if one["tenant"] == "t2")
            self.assertEqual((one["from"], one["to"], one["state"]), ("a", "c", state))
            tables = presentation.tables(told)
            self.assertTrue(all(len(line) == len(table[0]) for table in tables for line in table))
            self.assertIn("2 of 3 nodes must agree", " ".join(presentation.lines(told)))
        sim.do("b hears a")
        told = presentation.status(sim.movers["b"], sim.now)
        self.assertIn("settling", [one["state"] for one in told["recommendations"]])
        sim = Sim({"a": {"big": 1800}, "b": {"u1": 100}, "c": {"v1": 100}})
        sim.round()
        tables = presentation.tables(presentation.status(sim.movers["a"], sim.now))
        self.assertEqual(tables[-1][1][:3], ["a", "big", "split it"])

    def test_next_is_when_something_happens(self) -> None:
        sim, _ = asked(Sim())
        self.assertTrue(sim.now < sim.movers["a"].next_advance_at(sim.now) <= sim.now + 30.0)


class World(Sim):
    """Two tenants, t of a and u of b, that should both move to c; a and b don't know yet that the other one
    is overloaded."""

    def __init__(self, **left: int) -> None:
        super().__init__({"a": {"t": 350, "x": 650}, "b": {"u": 350, "z": 650}, "c": {"y": 10}})
        self.every = frozenset("tu")  # the others can't move
        for name in self.movers:
            self.files[name] &= self.every
            self.movers[name] = self.made(name, 0.0)
        self.ever: dict[str, tuple[str, str]] = {}
        self.left = left or {"kill": 1, "restart": 1, "doubts": 1}
        self.leaving: set[str] = set()
        self.anew: set[str] = set()  # has forgotten all but its file
        self.connections["a"]["x"] = self.connections["b"]["z"] = 250
        for who, of in product("abc", repeat=2):
            self.hear(who, of)
        self.connections["a"]["x"] = self.connections["b"]["z"] = 650
        self.do("tick")
        self.do("tick")

    def settle(self, name: str) -> list[controller.Action]:
        done = super().settle(name)
        for one in self.movers[name].history:  # given up: the source alone has it again
            if one.state == controller.State.UNDONE and self.ever.get(one.step.tenant) == one.key[1:]:
                del self.ever[one.step.tenant]
        for one in self.live(name):
            self.ever[one.step.tenant] = one.key[1:]
        return done

    def steps(self) -> Iterable[str]:
        alive = [name for name in self.movers if name not in self.dead]
        yield "tick"
        for who in alive:
            for of in self.movers:
                if of in self.dead and self.trust[who].get(of, D) != D:
                    yield f"{who} finds {of}"
                elif of != who and of not in self.dead:
                    yield f"{who} hears {of}"
                    if self.left.get("doubts") and self.trust[who].get(of) == S:
                        yield f"{who} doubts {of}"
        for verb, whom in ("kill", alive), ("restart", self.dead), ("leave", set(alive) - self.leaving):
            yield from (f"{verb} {name}" for name in whom if self.left.get(verb))

    def do(self, step: str) -> None:
        if step == "tick":  # 15 s without messages; ages are reset, as they would hide other differences
            self.now += 15.0
            for name in self.movers:
                self.seen[name] = {of: (said, self.now) for of, (said, _) in self.seen[name].items()}
                if name not in self.dead:
                    self.settle(name)
            return
        first, second, *_ = step.split()
        for verb in {first, second} & set(self.left):
            self.left[verb] -= 1
        super().do(step)
        if first == "restart":
            self.anew.add(second)
            self.leaving.discard(second)
            self.settle(second)
        elif first == "leave":
            self.leaving.add(second)
            self.settle(second)

    def wrong(self) -> str:
        """A violated guarantee, or ""."""
        alive = [name for name in self.movers if name not in self.dead]
        under_way = [one for name in alive for one in self.live(name)]
        if len(under_way) > TERMS.at_once:
            return f"{len(under_way)} at once"
        stay = [name for name in alive if name not in self.leaving]  # the others announce nothing any more
        for tenant in "tu":
            if len({one.step.target for one in under_way if one.step.tenant == tenant}) > 1:
                return f"{tenant} to two nodes"
            if any(self.level(name, tenant) > Level.WITHDRAWN for name in stay):
                continue
            home = "a" if tenant == "t" else "b"
            parties = [name for name in self.ever.get(tenant, (home,))
                       if name in stay and (name == home or name not in self.anew)]  # fmt: skip
            if parties and all(self.found(name) for name in parties):
                return f"nobody announces {tenant}, {parties} live"
        return ""

    def found(self, who: str) -> bool:
        """Whether a node knows of all deaths, restarts and leaving nodes."""
        for of, (said, _) in self.seen[who].items():
            if of == who:
                continue
            if self.trust[who][of] != D if of in self.dead else said.incarnation != self.lives[of]:
                return False
            if of in self.leaving - self.dead and said.state != State.LEAVING:
                return False
        return True

    def key(self) -> bytes:
        movers = [
            (
                [vars(place) for place in mover.tenant_states.values()],
                [
                    (one.state, one.request, one.expires_at, one.deadline, one.was_target_busy)
                    for one in mover._active_records()
                ],
                sorted(mover.voter.granted.items()),
                sorted(mover.voter.cooling_down.items()),
                mover.last_number,
                list(mover.dropped_numbers),
                mover.cool_down_until,
                mover.next_request_at,
                mover.overloaded_since,
                sorted(mover.hold_downs.items()),
                sorted(
                    (of, said.incarnation, said.state, said.holds, said.parts["moves"], self.trust[name][of])
                    for of, (said, _) in self.seen[name].items()
                ),
            )
            for name, mover in self.movers.items()
        ]
        return repr((self.now, sorted(self.dead), sorted(self.leaving), self.left, movers)).encode()


BEGUN = ["c hears a", "a hears c"]
PATHS = {"asked": [], "begun": BEGUN, "settling": BEGUN * 2, "kept": [*BEGUN, *BEGUN, *["tick"] * 4]}
LEAVE = {"kill": 1, "restart": 1, "leave": 2}


def explore(first: list[str], most: int, **left: int) -> tuple[str, list[str], int]:
    """Breadth-first search through all steps from all states, until a guarantee is violated or `most` states
    are known."""
    world = World(**left)
    for step in first:
        world.do(step)
    wave, known = [(pickle.dumps(world), list(first))], {world.key()}
    if why := world.wrong():
        return why, list(first), 1
    while wave and len(known) < most:
        coming = []
        for packed, path in wave:
            for step in sorted(pickle.loads(packed).steps()):
                world = pickle.loads(packed)
                world.do(step)
                if why := world.wrong():
                    return why, [*path, step], len(known)
                key = world.key()
                if key not in known:
                    known.add(key)
                    coming.append((pickle.dumps(world), [*path, step]))
                if len(known) >= most:
                    return "", [], len(known)
        wave = coming
    return "", [], len(known)


class Model(unittest.TestCase):
    MOST = int(os.environ.get("THYMEYOKE_EXPLORE", "1200"))

    def test_the_start_is_two_asks(self) -> None:
        world = World()
        self.assertEqual([len(world.movers[name]._active_records()) for name in "abc"], [1, 1, 0])
        for name, first in PATHS.items():
            world = World()
            for step in first:
                world.do(step)
            self.assertEqual(world.state(("t", "a", "c")), "proposed" if name == "asked" else name)

    def test_every_order(self) -> None:
        """All orders of steps, and all orders in which nodes leave."""
        for left, most in ({}, self.MOST), (LEAVE, self.MOST // 2):
            for name, first in PATHS.items():
                with self.subTest(name, left=left):
                    why, path, known = explore(first, most, **left)
                    self.assertEqual((why, path), ("", []))
                    self.assertGreaterEqual(known, most)

    def test_what_is_taken_out_is_found(self) -> None:
        event = MigrationCoordinator._event

        def rash(
            mover: MigrationCoordinator, now: float, record: controller.MigrationRecord
        ) -> tuple[Event, str] | None:
            """The source withdraws without asking whether the target holds it."""
            if record.state in (controller.State.BEGUN, controller.State.SETTLING):
                return (
                    Event.TARGET_HOLDS if record.state == controller.State.BEGUN else Event.SETTLED
                ), "rash"
            return event(mover, now, record)

        for owner, name, instead, first, left, said in (
            (
                controller,
                "_is_staying",
                lambda member: member.is_present,
                "kept",
                LEAVE,
                r"nobody announces t, \['a'\]",
            ),
            (quorum.VoteCount, "is_majority", True, "asked", {}, "2 at once$"),
            (MigrationCoordinator, "_event", rash, "begun", {}, "nobody announces t"),
        ):
            with self.subTest(name), mock.patch.object(owner, name, instead):
                why, path, _ = explore(PATHS[first], self.MOST, **left)
                self.assertRegex(why, f"^{said}", path)


if __name__ == "__main__":
    unittest.main()
