"""Members: the page's tables row by row, laws, small models explored whole, bad input, and real sockets."""

from __future__ import annotations

import asyncio
import errno
import pickle
import signal
import socket
import unittest
from collections.abc import AsyncIterator, Callable, Iterator
from contextlib import asynccontextmanager, nullcontext, suppress
from functools import partial
from io import BytesIO
from math import inf, nan
from pathlib import Path
from random import Random
from tempfile import NamedTemporaryFile
from typing import Any

import anyio
import msgpack
import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from benchmarks.membership import Simulated
from tests.app_server import place
from tests.conformance.tables import DASH, Row, played, rows
from thymeyoke.configuration import service_config
from thymeyoke.membership import controller, extension, limits, load_sketch, transport, wire
from thymeyoke.membership.configuration import Members
from thymeyoke.membership.failure_detector import (
    EPOCH,
    MOVES,
    Event,
    Layer,
    Said,
    Stand,
    Suspicion,
    classify,
    epoch,
    step,
)
from thymeyoke.membership.gossip import (
    MESH_NEWS,
    NEWS,
    Fresh,
    Item,
    Kind,
    Message,
    Noted,
    Rumour,
    Send,
    Verdict,
)
from thymeyoke.membership.load import Figures, serves
from thymeyoke.membership.service import MembershipService, incarnation
from thymeyoke.membership.view import LOADS_MOST, Load, Snapshot, State, Trust, View
from thymeyoke.runtime import logs
from thymeyoke.runtime.clock import clock
from thymeyoke.runtime.extensions import ServerStatus
from thymeyoke.server import routers_wire

PAGE = "docs/membership.md"
QUIET = settings(derandomize=True, deadline=None)
LIFE = 1_000_000
X = Snapshot("x", False, LIFE, 100, State.SERVING, "10.0.0.1:1", connections=7, opened=2.0, room=3)
WHERE = {name: f"10.0.0.{at}:1" for at, name in enumerate(("me", "x", "y", "z"))}
ELSEWHERE = "10.0.9.9:1"
BADGE = wire.Badge("f", b"", "x", WHERE["x"])


def of(called: str, **more: Any) -> Snapshot:
    return X._replace(**{"name": called, "address": WHERE.get(called, X.address)} | more)


Y, N = of("y"), of("n", node=True, address=ELSEWHERE)


class One:
    """A membership that is fed by hand. With `still` it says nothing of itself."""

    def __init__(self, *known: str, still: bool = True, node: bool = False, at: tuple[str, ...] = ()) -> None:
        self.now = 1000.0
        own = Snapshot("me", node, LIFE, 0, State.SERVING, WHERE["me"])
        self.it = controller.Membership(self.now, own, at, Random(1), 1.0)
        if still:
            self.it.beat_at = self.it.probe_at = self.it.pull_at = inf
        for name in known:
            self.hear(of(name))
        self.it.fresh.told.clear()

    def hear(self, me: Snapshot, kind: Kind = Kind.PUSH, *rumours: Rumour, **more: Any) -> list[Any]:
        """`more`: `age` and `layers` of what it says, and fields of the message."""
        said = Said(me, more.pop("age", 0.0), more.pop("layers", Layer.FIGURES))
        message = Message(kind, said, more.pop("lived", 5.0), rumours=rumours, **more)
        self.it.heard(self.now, me.address, message)
        return self.settle()

    def knows(self, *said: Said) -> One:
        for each in said:
            self.it._said(self.now, each, set())
        return self

    def settle(self, later: float = 0.0) -> list[Any]:
        self.now += later
        self.it.planned = max(self.it.planned if self.it.planned < inf else 0.0, self.now)
        return self.it.settle(self.now)

    def rumour(self, verdict: Verdict, by: str, name: str = "x") -> list[Any]:
        known = self.it.known.get(name)
        life = (known.figures.incarnation, known.epoch) if known else (LIFE, 0)
        return self.hear(Y, Kind.PUSH, Rumour(name, *life, verdict, by))

    def stand(self, name: str = "x") -> Stand:
        known = self.it.known.get(name)
        return Stand.UNKNOWN if known is None else known.stand

    def brought(self, stand: Stand) -> One:
        gone = of("x", sequence=101, state=State.GONE)
        for said in {Stand.UNKNOWN: (), Stand.GONE: (X, gone)}.get(stand, (X,)):
            self.hear(said)
        for verdict, by in ((0, "y"), (1, "w"))[: {Stand.UNSURE: 1, Stand.DEAD: 2}.get(stand, 0)]:
            self.rumour(Verdict(verdict), by)
        self.it.fresh.told.clear()
        self.it.told.clear()
        return self


def sends(actions: list[Any]) -> list[Send]:
    return [one for one in actions if isinstance(one, Send)]


def to(actions: list[Any], address: str) -> list[Message]:
    return [one.message for one in sends(actions) if one.to == address]


def noted(actions: list[Any], what: str) -> int:
    return sum(isinstance(one, Noted) and one.what == what for one in actions)


def met(seed: int, names: str, node: str = "") -> Simulated:
    """In simulated time: processes that found each other through the first one."""
    world = Simulated(seed)
    for name in names:
        world.start(name, name == node, others=names[0] if name != names[0] else ())
    agreed(world, names, 10.0)
    return world


def agreed(world: Simulated, names: str | list[str], within: float) -> None:
    assert world.until(lambda: world.agree(names, names), within) < within, names


def passed(one: One, known: Any, span: float = 0.0, doubted: float = 0.0) -> None:
    if known:
        known.since -= span
    if known and known.suspicion:
        known.suspicion.since -= doubted
    if span:
        one.it.beat_at = one.now


EVENTS: dict[Event, Callable[[One, Any], list[Any] | None]] = {
    Event.NEWER: lambda one, _: one.hear(of("x", sequence=102)),
    Event.OLDER: lambda one, _: one.hear(of("x", sequence=99), age=101.0),
    Event.REFUTATION: lambda one, _: one.hear(of("x", sequence=EPOCH + 1)),
    Event.NEW_LIFE: lambda one, _: one.hear(of("x", incarnation=LIFE + 1, sequence=1)),
    Event.FAREWELL: lambda one, _: one.hear(of("x", sequence=103, state=State.GONE)),
    Event.SUSPECTED: lambda one, _: one.rumour(Verdict.SUSPECTED, "z"),
    Event.FOUND_DEAD: lambda one, _: one.rumour(Verdict.DEAD, "z"),
    Event.ANOTHER_ADDRESS: lambda one, _: one.hear(of("x", address=ELSEWHERE)),
    Event.UNANSWERED: lambda one, _: setattr(one.it, "probe", controller.Probe("x", 7, *[one.now] * 3)),
    Event.SUSPICION_OVER: lambda one, known: passed(one, known, doubted=100.0),
    Event.STAY_OVER: lambda one, known: passed(one, known, 601.0),
}  # fmt: skip


class Page(unittest.TestCase):
    """The page's tables: `me_1` plays ME-1."""

    def test_states(self) -> None:
        cases = {(stand.value, event.value): lambda _, row, of=stand, event=event: self.plays(of, event, row)
                 for stand in Stand for event in Event}  # fmt: skip
        played(self, rows(PAGE, "States"), ("state", "event"), cases)
        told = {(Stand(row["state"]), Event(row["event"])): Stand(row["next state"])
                for row in rows(PAGE, "States") if row["next state"] not in DASH}  # fmt: skip
        self.assertEqual(told, MOVES)

    def plays(self, stand: Stand, event: Event, row: Row) -> None:
        wanted = stand if row["next state"] in DASH else Stand(row["next state"])
        self.assertEqual(step(stand, event), wanted)
        if stand == Stand.UNKNOWN and event in (Event.NEWER, Event.REFUTATION, Event.ANOTHER_ADDRESS):
            said = (X, of("x", sequence=EPOCH), of("x", address=ELSEWHERE))  # new, whatever its numbers
            self.assertEqual({classify(None, Said(each), 1.0) for each in said}, {Event.NEW_LIFE})
            return self.assertEqual(wanted, stand)
        one = One("y", "z").brought(stand)
        self.assertEqual(one.stand(), stand)
        version = one.it.version
        actions = EVENTS[event](one, one.it.known.get("x")) or one.settle()
        self.assertEqual(one.stand(), wanted)
        self.assertEqual(one.it.version > version, wanted != stand or event == Event.NEW_LIFE)
        out, fresh = row["what goes out"], one.it.fresh.told.get("x")
        waits = True if "told on as figures" in out else False if "told on" in out else None
        self.assertEqual(fresh and fresh[0], waits)
        if out.startswith(("whoever says", "it is told", "the other", "told of the life")):
            (message,) = to(actions, ELSEWHERE if event == Event.ANOTHER_ADDRESS else WHERE["x"])
            about = [said.snapshot.name for said in message.said] + [one.name for one in message.rumours]
            self.assertIn("x", about)
        elif out.startswith("nothing"):
            self.assertEqual(sends(actions), [])

    def test_rules(self) -> None:
        cases = {name.upper().replace("_", "-"): lambda case, row, name=name: getattr(self, name)()
                 for name in dir(self) if name.startswith("me_")}  # fmt: skip
        played(self, rows(PAGE, "Rules"), "id", cases)

    def me_1(self) -> None:
        one, asked = One("x", "y", "z"), []
        one.it.probe_at = one.now
        for at in range(9):
            one.settle()
            asked.append(name := one.it.probe.name)
            one.hear(of(name, sequence=101 + at), Kind.ACK, number=one.it.probe.number, about=name)
            one.now += 1.0
        self.assertEqual([set(asked[at : at + 3]) for at in (0, 3, 6)], [{"x", "y", "z"}] * 3)

    def me_2(self) -> One:
        """Asks x, who does not answer within its quarter."""
        one = One("x", "y", "z")
        one.it.round, one.it.probe_at = ["x"], one.now
        self.assertEqual([one.kind for one in to(one.settle(), WHERE["x"])], [Kind.PING])
        asked = {send.to: send.message for send in sends(one.settle(0.25))}
        self.assertEqual((set(one.it.probe.helpers), asked.keys()), ({"y", "z"}, {WHERE["y"], WHERE["z"]}))
        said = {(message.kind, message.number, message.about, message.me.age) for message in asked.values()}
        self.assertEqual(said, {(Kind.ASK, one.it.probe.number, "x", 0.25)})
        return one

    def me_3(self, *cases: tuple[str, Kind, int, str, bool, Stand, int]) -> None:
        """Who says what (of which number, of whom); whether x is still asked, how it stands in the end, and
        the health, which was 2."""
        for by, kind, number, about, asked, stand, health in cases or (
            ("x", Kind.ACK, 0, "x", False, Stand.SURE, 1), ("y", Kind.ACK, 0, "x", False, Stand.SURE, 1),
            # Of another number, or about another one, it is no answer.
            ("x", Kind.ACK, 9, "x", True, Stand.SURE, 1), ("y", Kind.ACK, 9, "x", True, Stand.UNSURE, 5),
            ("y", Kind.ACK, 0, "z", True, Stand.UNSURE, 5),
        ):  # fmt: skip
            one = self.me_2()
            one.it.health = 2
            for name in by:
                one.hear(of(name, sequence=101), kind, number=one.it.probe.number + number, about=about)
            self.assertEqual(one.it.probe is not None, asked)
            one.settle(0.75)
            self.assertEqual((one.stand(), one.it.health), (stand, health))

    def me_4(self) -> None:
        push = Kind.PUSH
        self.me_3(("x", push, 0, "", True, Stand.SURE, 1), ("", push, 0, "", True, Stand.UNSURE, 5))

    def me_5(self) -> None:
        self.me_6((3, "aa", 9.0), (10, "a", 9.0), (100, "a", 18.0), (1000, "a", 27.0))

    def me_6(self, *alone: tuple[int, str, float]) -> None:
        for many, by, lasts in alone or (
            (2, "a", 3.0), (3, "ab", 3.0), (100, "abbccdd", 6.0), (100, "abcdefg", 6.0), (100, "abb", 12.0),
        ):  # fmt: skip
            one = Suspicion(0.0, by[0], many, 1.0)
            over = [one.over_at]
            for name in by[1:]:  # twice by one is once
                one.confirm(name)
                over.append(one.over_at)
            self.assertEqual(sorted(over, reverse=True), over)
            self.assertAlmostEqual(over[-1], lasts)

    def spread(self, actions: list[Any]) -> None:
        """It is told to all at once, nodes first."""
        told = [send.to for send in sends(actions)]
        self.assertEqual((told[0], sorted(told[1:])), (ELSEWHERE, [WHERE[name] for name in "xyz"]))

    def me_7(self) -> None:
        one = One("x", "y", "z")
        one.hear(N)
        for verdict in Verdict:
            at = epoch(one.it.own)
            said = Rumour("me", LIFE, at, verdict, "y")
            self.spread(one.hear(X, Kind.PUSH, said))
            self.assertEqual((epoch(one.it.own), one.it.own.incarnation), (at + 1, LIFE))
            self.assertEqual((one.hear(X, Kind.PUSH, said), epoch(one.it.own)), ([], at + 1))

    def me_8(self) -> None:
        for life in ((LIFE - 1, 0), (LIFE + 1, 0), (LIFE, 1), (LIFE, -1)):
            one = One("x", "y", "z")
            one.hear(Y, Kind.PUSH, *(Rumour("x", *life, verdict, "y") for verdict in Verdict))
            self.assertEqual(one.stand(), Stand.SURE)

    def me_9(self) -> None:
        for seed, there, within in ((3, True, 10.0), (15, False, 40.0)):  # at its address, and at another one
            world = met(seed, "abc")
            old = world.processes["b"]
            world.kill("b")
            life = old.membership.own.incarnation
            new = world.start("b", others="ac", address=old.address if there else "",
                              incarnation=life - 3000 if there else 10)  # fmt: skip

            def taken(world: Simulated = world, life: int = life, new: Any = new) -> bool:
                held = [world.view(name).members["b"].snapshot for name in "ac"]
                return all(one.address == new.address and one.incarnation > life for one in held)

            self.assertLess(world.until(taken, 60.0), within)
            agreed(world, "abc", 10.0)
            self.assertEqual((new.notes["incarnation_raised"], new.membership.conflict), (1, ""))

    def me_10(self) -> None:
        one = One("x", "y")
        for life in (LIFE - 1, LIFE, LIFE + 1):
            one.it.told.clear()
            actions = one.hear(of("x", address=ELSEWHERE, incarnation=life, sequence=900))
            said = [message.said[0].snapshot.address for message in to(actions, ELSEWHERE)]
            self.assertEqual((said, noted(actions, "another_address")), ([WHERE["x"]], 1))
            self.assertEqual(one.it.known["x"].figures.order, X.order)

    def me_11(self) -> None:
        self.me_12(0.0)
        world = Simulated(5)  # both at once: one of them, and only one
        one = world.start("b", address="10.9.0.2:1")
        other = world.start("b", others=["10.9.0.2:1"], address="10.9.0.1:1")
        world.run(20.0)
        self.assertEqual([bool(each.membership.conflict) for each in (one, other)], [True, False])

    def me_12(self, *skews: float) -> None:
        for skew in skews or (-3.0, 3.0):
            world = met(4, "abc")
            world.run(5.0)
            first, second = world.processes["b"], world.start("b", others="ac", skew=skew)
            world.processes["b"] = first
            world.until(lambda second=second: second.membership.conflict, 20.0)
            self.assertIn(first.address, second.membership.conflict)
            self.assertEqual(second.membership.settle(world.now + skew), [])
            world.run(60.0)
            self.assertEqual((first.membership.conflict, world.deaths), ("", []))
            self.assertTrue(world.agree("abc", "abc"))
            seen = {world.view(name).members["b"].snapshot.address for name in "ac"}
            self.assertEqual(seen, {first.address})

    def me_13(self) -> None:
        one = self.me_2()
        one.rumour(Verdict.SUSPECTED, "y", "z")
        before: Any = one.it.known["z"].suspicion
        over = before.over_at
        one.now += 30.0
        late = one.now - one.it.planned
        self.assertEqual(one.it.stood(one.now), (one.now, late + 1.0))  # asked before anything else is done
        self.assertTrue(noted(one.it.settle(one.now), "stood_still"))
        self.assertEqual(one.it.stood(one.now + 0.5)[0], one.now)
        self.assertEqual((one.it.health, one.it.probe), (controller.SHAKEN, None))
        self.assertEqual([one.stand(name) for name in "xz"], [Stand.SURE, Stand.UNSURE])
        self.assertAlmostEqual(before.over_at, over + late + 1.0)
        one.hear(of("x", sequence=105))  # read just now, said at any time since
        self.assertAlmostEqual(one.it.view(one.now).members["x"].age, late)
        self.assertLess(one.it.known["x"].heard_at, one.now)  # nor is it an answer to anything asked now
        for span, seen in ((1.9, 0), (2.1, 1)):  # just after a settle, with nothing to do for a period
            one = One("x")
            one.it.beat_at = one.now + 1.0
            one.settle()
            self.assertEqual(noted(one.it.settle(one.now + span), "stood_still"), seen)

    def me_14(self) -> None:
        world = met(6, "abcde")
        world.stop("b")
        agreed(world, "acde", 30.0)
        old = world.processes["c"]
        world.kill("c")
        world.start("c", others="ad", address=old.address)
        world.run(20.0)
        world.deaths.clear()
        world.go_on("b")
        agreed(world, "abcde", 20.0)
        self.assertEqual(world.deaths, [])
        self.assertGreater(world.view("b").members["c"].snapshot.incarnation, old.membership.own.incarnation)

    def dropped(self, **changed: Any) -> One:
        one = One("x")
        self.assertTrue(noted(one.hear(of("x", sequence=101, **changed)), "snapshots_dropped"))
        self.assertEqual(one.it.known["x"].figures, X)
        return one

    def me_15(self) -> None:
        one = self.dropped(connections=-1)
        actions = one.hear(of("x", sequence=102), said=(Said(of("y", connections=-1)), Said(of("z"))))
        stands = [one.stand("y"), one.stand("z")]
        self.assertEqual((stands, noted(actions, "snapshots_dropped")), ([Stand.UNKNOWN, Stand.SURE], 1))

    def me_16(self) -> None:
        one = One("x", "y", "z")
        one.knows(*(Said(of(f"m{at}")) for at in range(controller.MOST - 3)))
        self.assertEqual((len(one.it.known), noted(one.hear(of("late")), "full")), (controller.MOST, 1))
        self.assertEqual(one.stand("late"), Stand.UNKNOWN)
        one.hear(of("x", sequence=200, state=State.GONE))
        one.hear(of("late"))
        self.assertEqual((one.stand("late"), one.stand("x")), (Stand.SURE, Stand.UNKNOWN))

    def me_17(self) -> None:
        one = One("x", node=True)
        for at in range(8):
            one.hear(of(f"n{at}", node=True, address=f"10.0.1.{at + 1}:1"))
        loads = tuple(Load(f"tenant-{at:050}", at) for at in range(1000))
        one.it.say(one.now, one.it.wanted._replace(loads=loads, parts={"moves": b"vote"}))
        full: list[str] = []
        for _ in range(3):
            one.it.beat_at = one.now + 1.0
            pushes = [send for send in sends(one.settle(1.0)) if send.message.kind == Kind.PUSH]
            self.assertEqual([push.message.me.snapshot.parts["moves"] for push in pushes], [b"vote"] * 8)
            in_full = [push for push in pushes if push.message.me.layers & Layer.DETAIL]
            self.assertLessEqual(
                sum(len(wire.encode(push.message)) for push in in_full), 1.2 * controller.DETAIL
            )
            full += [push.to for push in in_full]
        self.assertEqual(len(set(full)), 8)

    def me_18(self) -> None:
        one = One("x", "y", "z")
        one.hear(N)
        one.it.leave(one.now)
        told = one.settle()
        self.spread(told)
        self.assertEqual({send.message.me.snapshot.state for send in sends(told)}, {State.GONE})
        self.assertEqual((one.hear(X, Kind.PING, number=1, about="me"), one.it.next(one.now)), ([], inf))

    def me_19(self) -> None:
        one = One("x")
        weights = [one.it.view(one.now + age).members["x"].weight for age in (0.0, 2.0, 13.5, 33.5, 5000.0)]
        self.assertEqual((weights[:2], sorted(weights, reverse=True)), ([1.0, 1.0], weights))
        self.assertAlmostEqual(weights[3], weights[2] / 4)
        self.assertGreater(weights[4], 0.0)
        self.assertEqual(one.it.view(one.now + 5000.0).members["x"].snapshot.connections, 7)
        for stand, weight in ((Stand.UNSURE, 0.5), (Stand.DEAD, 0.0)):
            self.assertEqual(One("y", "z").brought(stand).it.view(1000.0).members["x"].weight, weight)

    def me_20(self) -> None:
        one, loads = One("x"), (Load("t", 5),)
        shown = one.it.known["x"].shown
        self.assertEqual((shown.loads, shown.rest), ((), Load("", 7, 2.0)))
        one.hear(of("x", sequence=101, loads=loads, rest=Load("", 2)), layers=Layer.DETAIL)
        one.hear(of("x", sequence=102, connections=8))
        shown = one.it.known["x"].shown
        self.assertEqual((shown.connections, shown.loads, shown.rest), (8, loads, Load("", 2)))

    def me_21(self) -> None:
        fresh, names = Fresh(), [f"m{at:03}" for at in range(100)]
        for name in names:
            fresh.put(name, waits=name != "m077")
        fresh.put("m077", waits=True)  # its change is still on its way
        large = {"x" * 43 + str(at) for at in range(7)}  # too much for a mesh message, by its rumours

        def item(name: str) -> Item:
            by = ("y" * 43 + str(at) for at in range(4)) if name in large else ()
            return Item(Said(of(name)), tuple(Rumour(name, LIFE, 0, Verdict.SUSPECTED, one) for one in by))

        def told(room: int) -> list[str]:
            return [one.said.snapshot.name for one in fresh.pick(100, room, item)]

        all_ = told(NEWS)
        self.assertLessEqual(sum(item(name).cost for name in all_), NEWS)
        self.assertEqual(all_[0], "m077")
        while fresh.told:
            all_ += told(NEWS)
        self.assertEqual({all_.count(name) for name in names}, {21})  # 3 log2(102), up
        for name in (*large, *names[:20]):
            fresh.put(name, waits=False)
        self.assertEqual({name for _ in range(20) for name in told(MESH_NEWS)}, set(names[:20]))
        self.assertLessEqual(large, {name for _ in range(2) for name in told(NEWS)})

    def me_22(self) -> None:
        seeds = tuple(f"10.1.0.{at}:1" for at in range(1, 7))
        one = One(still=False, at=(*seeds, WHERE["me"]))

        def beat() -> list[Send]:
            one.it.beat_at = one.now
            return sends(one.settle())

        asked = {send.to for send in beat()}
        self.assertEqual((len(asked), asked <= set(seeds)), (3, True))
        one.it.probe_at = inf
        one.hear(of("x", address=seeds[0]))
        for _ in range(6):
            (asked,) = (send.to for send in beat() if send.message.kind == Kind.PULL)
            self.assertNotEqual(asked, seeds[0])
        one.it.pull_at = inf
        (table,) = to(one.hear(Y, Kind.PULL), WHERE["y"])
        self.assertEqual(sorted(said.snapshot.name for said in table.said), ["x", "y"])

    def me_23(self) -> None:
        for one, other, passes in (("abc", "def", lambda one, other: (one in "abc") == (other in "abc")),
                                   ("a", "b", lambda one, other: one == "a")):  # fmt: skip
            world = met(8, one + other, node="a")
            for each in world.processes.values():
                each.membership.seeds = ()
            world.passes, began = passes, world.now
            for half in (one, other):
                agreed(world, half, 60.0 - world.now + began)
            world.run(140.0)  # each finds the others dead, once: nobody flaps
            self.assertTrue(world.agree(one, one) and world.agree(other, other))
            self.assertEqual(len(world.deaths), 2 * len(one) * len(other))
            world.passes = lambda one, other: True
            agreed(world, one + other, 20.0)

    def me_24(self) -> None:
        me = {"n": "x", "i": LIFE, "s": 100, "t": 1, "a": WHERE["x"], "c": 9, "r": 2}
        old = {"k": 0, "m": me | {"l": [["t", 4], ["u", 3]]}}
        later = old | {"v": 2, "zz": [1, {"a": 2}], "m": me | {"new": [1], "l": [["t", 4, 0.5, 1, "more"]]}}

        def read(made: dict[str, Any]) -> Any:
            return wire.decode(msgpack.packb(made))

        for made, loads, rest in ((old, (Load("t", 4), Load("u", 3)), Load("", 2)),
                                  (later, (Load("t", 4, 0.5, 1),), Load("", 0))):  # fmt: skip
            one, said = One(), read(made).me
            self.assertEqual((said.snapshot.loads, said.snapshot.rest), (loads, rest))
            one.hear(said.snapshot, layers=said.layers)
            self.assertEqual(one.it.known["x"].shown, said.snapshot)
        self.assertIsNone(read(old | {"k": 99}))
        self.assertEqual(limits.fault(read(old | {"m": me | {"t": 17}}).me.snapshot, LIFE), "no such state")

    def reads(
        self, data: bytes, why: str = "", badge: wire.Badge = BADGE, left: int = wire.POOL, each: int = 4096
    ) -> list[wire.Whole]:
        """What a link says, so many octets each time; `why` it is closed."""
        reader, got = wire.Reader(badge, wire.Pool(left)), []
        with self.assertRaisesRegex(routers_wire.InvalidFrameError, why) if why else nullcontext():
            for at in range(0, len(data), each):
                got += reader.feed(data[at : at + each])
        reader.close()
        self.assertEqual(reader.pool.left, left)
        return got

    def me_25(self) -> None:
        badge = BADGE._replace(key=wire.key("secret"))
        keyless, body = badge._replace(key=b""), bytes(range(256)) * 40
        sent, plain = (wire.notifications("members", body, each) for each in (badge, keyless))
        self.reads(sent, "of the fleet", badge._replace(fleet="other"))
        self.reads(sent, "MAC", badge._replace(key=wire.key("wrong")))
        for spoiled in (sent.replace(b"\x07\x08\x09", b"\x07\x09\x09", 1), plain):
            self.reads(spoiled, "MAC", badge)
        for reads in (badge, keyless):
            (whole,) = self.reads(sent, "", reads, each=100)
            self.assertEqual(whole, wire.Whole("members", "x", WHERE["x"], body))

    def me_26(self) -> None:
        one = One("x", "y")
        for hears, changed, more in (
            (True, {"sequence": 101, "connections": 99}, 0), (True, {"sequence": 102, "since": 5.0}, 0),
            (True, {"sequence": 103, "state": State.LEAVING}, 1), (True, {"incarnation": LIFE + 1}, 1),
            (False, {"connections": 4, "room": 9}, 0), (False, {"state": State.LEAVING}, 1),
            (False, {"state": State.COLD}, 0),
        ):  # fmt: skip
            before = one.it.version
            if hears:
                one.hear(of("x", **changed))
            else:
                one.it.say(one.now, one.it.wanted._replace(**changed))
            self.assertEqual(one.it.version - before, more)
        self.assertEqual(one.it.view(one.now).members["me"].snapshot.state, State.LEAVING)

    def me_27(self) -> None:
        one = One("x", "y")

        def told(actions: list[Any]) -> Any:
            return [(message.kind, message.number, message.about) for message in to(actions, WHERE["y"])]

        self.assertEqual(told(one.hear(Y, Kind.ASK, number=5, about="nobody")), [(Kind.NACK, 5, "nobody")])
        (ping,) = to(one.hear(Y, Kind.ASK, number=6, about="x"), WHERE["x"])
        self.assertEqual(one.it.next(one.now), one.now + 0.25)
        self.assertEqual((told(one.settle(0.25)), one.it.relays), ([(Kind.NACK, 6, "x")], {}))
        (ping,) = to(one.hear(Y, Kind.ASK, number=8, about="x"), WHERE["x"])
        self.assertEqual(told(one.hear(X, Kind.ACK, number=ping.number, about="x")), [(Kind.ACK, 8, "x")])
        one.it.relays = {at: controller.Relay(ELSEWHERE, at, "x", inf) for at in range(controller.RELAYS)}
        self.assertEqual(told(one.hear(Y, Kind.ASK, number=9, about="x")), [(Kind.NACK, 9, "x")])
        self.me_3(*((by, Kind.NACK, 0, "x", True, Stand.UNSURE, 5 - len(by)) for by in ("", "y", "yz")))

    def me_28(self) -> None:
        one, new = self.dropped(state=State.COLD), of("x", incarnation=LIFE + 1, sequence=1, state=State.COLD)
        one.hear(new)
        self.assertEqual(one.it.known["x"].figures, new)

    def me_29(self) -> None:
        sent = (BytesIO(wire.notifications(word, bytes(20000), BADGE)) for word in "wv")
        w, v = ([msgpack.packb(part) for part in msgpack.Unpacker(each)] for each in sent)
        self.assertEqual(len(w), 4)
        self.reads(w[1], "without its beginning")
        for second in (w[2], w[0], v[1]):
            self.reads(w[0] + second, "does not follow")
        for left, many in ((10_000, 20_000), (wire.POOL, wire.MESSAGE_MOST + 1)):
            self.reads(wire.notifications("w", bytes(many), BADGE), "too long", left=left)
        (whole,) = self.reads(wire.notifications("w", bytes(wire.MESSAGE_MOST), BADGE))
        self.assertEqual(len(whole.body), wire.MESSAGE_MOST)
        reader = wire.Reader(BADGE, wire.Pool())
        self.assertEqual((reader.feed(w[0]), reader.is_incomplete()), ([], True))
        (whole,) = reader.feed(b"".join(w[1:]))
        self.assertEqual(
            (len(whole.body), reader.is_incomplete(), reader.pool.left), (20000, False, wire.POOL)
        )

    def me_30(self) -> None:
        one, next_ = One("x", "y", "z"), 0
        one.it.round = ["y", "x", "z"]
        one.rumour(Verdict.SUSPECTED, "y")
        one.it.probe_at = one.now
        self.assertEqual([message.kind for message in to(one.settle(), WHERE["x"])], [Kind.PING])
        for seed in range(100):  # of many members few do
            one = One("x", "y").knows(*(Said(of(f"m{at}")) for at in range(97)))
            one.it.rng, one.it.round = Random(seed), ["y"]
            one.rumour(Verdict.SUSPECTED, "y")
            next_ += one.it.round[-1] == "x"
        self.assertTrue(0 < next_ < 10, next_)

    def me_31(self) -> None:
        one = One("x", "y", "z")
        for by, stand in (("y", Stand.UNSURE),) * 3 + (("z", Stand.DEAD),):
            one.rumour(Verdict.DEAD, by)
            self.assertEqual((one.stand(), one.it.next(one.now) < inf), (stand, stand == Stand.UNSURE))

    def me_32(self) -> None:
        one = One("x", "y")

        def tables(asker: Snapshot) -> tuple[int, int]:
            """Of a hundred that one asks for: those that it is told, and those that are turned away."""
            actions = [action for _ in range(100) for action in one.hear(asker, Kind.PULL)]
            whole = [message for message in to(actions, asker.address) if len(message.said) == 2]
            return len(whole), noted(actions, "pulls_turned_away")

        self.assertEqual((tables(Y), tables(X)), ((1, 99), (1, 99)))
        one.it.beat_at = one.now
        one.settle()
        self.assertEqual(tables(Y), (1, 99))
        one.it.pulled = {str(at) for at in range(controller.TABLES // 2)}  # of two members each
        self.assertEqual(tables(X), (0, 100))
        one.it.pulled.remove("0")
        self.assertEqual(tables(X), (1, 99))

    def me_33(self) -> None:
        seeds = tuple(f"10.1.0.{at}:1" for at in range(1, 6))
        one = One(at=(*seeds, WHERE["me"]), node=True)
        x, y = (of(name, address=address) for name, address in zip("xy", seeds[:2], strict=True))
        table, noise = (Said(y),), (Said(of("", address=seeds[4])),)

        def asked() -> set[str]:
            one.it.beat_at = one.now
            return {send.to for send in sends(one.settle()) if send.message.kind == Kind.PULL}

        def left() -> int:
            return one.it.view(one.now).unanswered_seeds

        self.assertEqual(left(), 5)
        one.hear(x, Kind.PULL)  # it asks, and has not answered
        self.assertEqual((left(), one.stand()), (5, Stand.SURE))
        self.assertIn(seeds[0], {seed for _ in range(60) for seed in asked()})
        for hears, many in (
            (lambda: one.hear(x), 4), (lambda: one.hear(x, Kind.ACK), 4),
            (lambda: one.hear(of("z"), said=table), 3), (lambda: one.hear(of("z"), said=noise), 3),
            (lambda: one.it.refused(one.now, seeds[2]), 2), (lambda: one.it.refused(one.now, ELSEWHERE), 2),
        ):  # fmt: skip
            hears()
            self.assertEqual(left(), many)
        self.assertNotIn(seeds[0], {seed for _ in range(60) for seed in asked()})
        before = one.it.version
        one.it.refused(one.now, seeds[3])
        self.assertEqual((left(), one.it.version), (1, before))
        one.it.change(one.now, (*seeds[:4], "10.1.0.9:1"), 1.0)  # the last one is named no more
        self.assertEqual(left(), 0)
        last = One(at=seeds[:1], node=True)
        before = last.it.version
        last.it.refused(last.now, seeds[0])
        self.assertEqual((last.it.version, last.it.view(last.now).unanswered_seeds), (before + 1, 0))


def layered(sequence: int, layers: int) -> Said:
    parts = {"moves": b"%d" % sequence} if layers & Layer.PARTS else {}
    loads = (Load(f"t{sequence}", sequence),) if layers & Layer.DETAIL else ()
    return Said(of("x", sequence=sequence, connections=sequence, parts=parts, loads=loads), 0.0, layers)


class Laws(unittest.TestCase):
    @QUIET
    @given(st.lists(st.builds(layered, st.integers(1, 6), st.integers(0, 3)), min_size=1, max_size=6),
           st.randoms(use_true_random=False))  # fmt: skip
    def test_order_and_repetition_do_not_matter(self, said: list[Said], rng: Random) -> None:
        again = [*said, *rng.choices(said, k=3)]
        rng.shuffle(again)
        shown, wanted = (One("y").knows(*heard).it.known["x"].shown for heard in (again, said))
        self.assertEqual(shown, wanted)

    @QUIET
    @given(st.lists(st.tuples(st.sampled_from("abcdefgh"), st.integers(1, 9)), max_size=40),
           st.integers(0, 40))  # fmt: skip
    def test_sketch(self, stream: list[tuple[str, int]], cut: int) -> None:
        true = dict.fromkeys("abcdefgh", 0)
        one, other, whole = (load_sketch.Sketch(4) for _ in range(3))
        for at, (name, many) in enumerate(stream):
            true[name] += many
            for each in (whole, other if at >= cut else one):
                each.add(name, many)
        merged, back = one.merge(other), other.merge(one)
        for each in (whole, merged, back):
            loads, rest = each.loads()
            others = each.total - sum(true[load.tenant] for load in loads)
            self.assertEqual((len(each.counts) <= 4, each.total), (True, sum(true.values())))
            self.assertTrue(rest.connections - rest.over <= others <= rest.connections)
            for name, count in true.items():
                low, high = each.bounds(name)
                self.assertTrue(low <= count <= high)
                self.assertTrue(count <= each.total / 4 or name in each.counts)
        self.assertLessEqual(max(whole.over.values(), default=0), whole.total / 4)
        self.assertEqual(merged.counts, back.counts)

    def test_largest(self) -> None:
        held = [(f"t{at}", at, at / 10) for at in range(10)]
        loads, rest = load_sketch.largest(held, 3)
        self.assertEqual([load.tenant for load in loads], ["t9", "t8", "t7"])
        self.assertEqual((rest.connections, round(rest.opened, 6), rest.over), (21, 2.1, 0))
        self.assertEqual(load_sketch.largest(held)[1], Load("", 0, 0))


ANYONE, LIVES = st.sampled_from(["me", "x", "y", "z", "w"]), st.integers(LIFE - 1, LIFE + 2)
TALE = st.builds(
    lambda name, *more: Snapshot(name, name in "yw", *more), ANYONE, LIVES,
    st.sampled_from([0, 1, 99, 101, 150, EPOCH, EPOCH + 5, 3 * EPOCH]), st.sampled_from(State),
    st.sampled_from([*WHERE.values(), ELSEWHERE]))  # fmt: skip
HOW = st.fixed_dictionaries({
    "kind": st.sampled_from(Kind), "lived": st.floats(0, 100), "number": st.integers(0, 5),
    "about": st.sampled_from(["", "me", "x", "w"]), "age": st.floats(0, 200), "layers": st.integers(0, 3),
})  # fmt: skip


class Play(RuleBasedStateMachine):
    """Anything that members may say, true or not, in any order: nothing goes back, nothing grows."""

    def __init__(self) -> None:
        super().__init__()
        self.one = One("x", "y", "z", still=False, node=True)
        self.orders: dict[str, tuple[int, int]] = {}
        self.version, self.own = 0, self.one.it.own.order

    @rule(tale=TALE, how=HOW)
    def hears(self, tale: Snapshot, how: dict[str, Any]) -> None:
        self.one.hear(tale, **how)

    @rule(
        rumour=st.builds(
            Rumour, ANYONE, LIVES, st.integers(0, 2), st.sampled_from(Verdict), st.sampled_from("xyzw")
        )
    )
    def rumour(self, rumour: Rumour) -> None:
        self.one.hear(Y, Kind.PUSH, rumour)

    @rule(span=st.sampled_from([0.1, 0.3, 1.0, 5.0, 50.0]))
    def time_passes(self, span: float) -> None:
        until = self.one.now + span
        while (at := self.one.it.next(self.one.now)) <= until:
            self.one.now = max(self.one.now, at)
            self.one.it.settle(self.one.now)
        self.one.settle(until - self.one.now)

    @rule(span=st.sampled_from([2.5, 40.0]))
    def stands_still(self, span: float) -> None:
        self.one.now += span
        before = [name for name, known in self.one.it.known.items() if known.stand == Stand.SURE]
        assert not noted(self.one.it.settle(self.one.now), "now_dead")
        assert all(self.one.stand(name) == Stand.SURE for name in before)

    @rule(connections=st.integers(0, 9), state=st.sampled_from([State.COLD, State.SERVING, State.LEAVING]))
    def says(self, **figures: Any) -> None:
        self.one.it.say(self.one.now, self.one.it.wanted._replace(**figures))

    @invariant()
    def holds(self) -> None:
        it, now = self.one.it, self.one.now
        view = it.view(now)
        assert view.version >= self.version and view.members["me"].trust == Trust.SURE
        assert it.own.order >= self.own and it.own.address == WHERE["me"]
        self.version, self.own = view.version, it.own.order
        orders = {name: known.figures.order for name, known in it.known.items()}
        assert all(orders[name] >= self.orders[name] for name in orders.keys() & self.orders.keys())
        self.orders = orders
        for name, known in it.known.items():
            assert (known.suspicion is not None) == (known.stand == Stand.UNSURE) == (name in it.doubted)
            assert (known.figures.state == State.GONE) == (known.stand == Stand.GONE)
            assert 0.0 <= view.members[name].weight <= 1.0 and view.members[name].age >= 0.0
        assert it.doubted <= it.known.keys() and it.fresh.told.keys() <= it.known.keys()
        assert len(it.relays) <= controller.RELAYS and len(it.told) <= controller.TELLINGS
        assert 0 <= it.health <= controller.HEALTH_TOP and "me" not in it.known


PlayTest = Play.TestCase
PlayTest.settings = settings(QUIET, max_examples=60, stateful_step_count=40, database=None)


# A small model, whole: three processes, losses, two restarts.

NAMES = "xyz"
WAYS = ("none", *(f"{what} {name}" for what in ("cut", "mute", "deaf", "restart") for name in NAMES))


def passes(way: str, one: str, other: str) -> bool:
    return way[-1] not in {"cut": one + other, "mute": one, "deaf": other}.get(way[:-2], "")


class World(Simulated):
    """One state of the model, and restarts left."""

    restarts = 2

    def goes(self, way: str) -> None:
        self.passes = partial(passes, way)
        if not way.startswith("restart"):
            return self.run(6.0)
        name = way[-1]  # once with a clock that is behind, once with one that is not
        old = self.processes[name]
        old.alive = False
        self.restarts -= 1
        self.begin(name, old.membership.own.incarnation + (-5 if self.restarts else 5))
        self.run(1.0)

    def begin(self, name: str, life: int) -> None:
        others = [WHERE[other] for other in NAMES if other != name]
        self.start(name, name == "x", others, WHERE[name], incarnation=life)

    def _hear(self, one: Any, message: Message) -> None:
        it = one.membership
        before = it.own.order, {name: known.figures.order for name, known in it.known.items()}
        super()._hear(one, message)
        kept = all(known.figures.order >= before[1].get(name, (0, 0)) for name, known in it.known.items())
        assert kept and it.own.order >= before[0], f"{one.name} went back"

    def agreed(self, alive: str) -> None:
        """Once losses stop, all that live agree, and on the newest life."""
        self.passes = partial(passes, "none")

        def lives(name: str) -> set[tuple[str, int]]:
            members = self.view(name).members.values()
            return {(one.name, one.snapshot.incarnation) for one in members if one.there}

        def right() -> bool:
            own = {(name, self.processes[name].membership.own.incarnation) for name in alive}
            return self.agree(alive, alive) and all(lives(name) == own for name in alive)

        assert self.until(right, 72.0, 1.0) < 72.0


class Model(unittest.TestCase):
    def explored(self, frozen: bytes, depth: int) -> Iterator[bytes]:
        for way in WAYS if depth else ():
            world = pickle.loads(frozen)
            if world.restarts or not way.startswith("restart"):
                world.goes(way)
                yield (after := pickle.dumps(world, -1))
                yield from self.explored(after, depth - 1)

    def test_whole(self) -> None:
        world, leaves = World(), []
        for name in NAMES:
            world.begin(name, LIFE)
        world.goes("none")
        for frozen in self.explored(pickle.dumps(world, -1), 3):
            world = pickle.loads(frozen)
            world.agreed(NAMES)
            world.kill("z")  # a dead one is found
            world.agreed("xy")
            leaves.append(frozen)
        self.assertGreater(len(leaves), 2000)


class Faults(unittest.TestCase):
    """In simulated time: losses, one way cut, many starts at once."""

    def test_losses_and_one_way_cuts_kill_nobody(self) -> None:
        for seed, many, nodes, loss, cut in (
            (11, 16, 2, 0.1, ()), (12, 3, 1, 0.0, ("m0", "m1")), (12, 3, 1, 0.0, ("m1", "m0")),
            (12, 12, 1, 0.0, ("m3", "m4")),
        ):  # fmt: skip
            world = Simulated(seed, loss=loss)
            *others, last = (one.name for one in world.fleet(many, nodes))
            world.passes = lambda one, other, cut=cut: (one, other) != cut
            world.run(120.0)
            self.assertEqual(world.deaths, [])
            self.assertTrue(loss or not any(one.notes["now_unsure"] for one in world.processes.values()))
            world.kill(last)
            world.run(70.0)
            self.assertEqual([world.trust(name, last) for name in others], [Trust.DEAD] * (many - 1))

    def test_many_start_at_once(self) -> None:
        world, names = Simulated(14), [f"s{at}" for at in range(60)]
        for at, name in enumerate(names):
            world.start(name, others=names[:3] if at > 2 else names[: min(at, 1)])
        agreed(world, names, 25.0)
        self.assertEqual(world.deaths, [])


# Bad input.

FAULTS: dict[str, tuple[Any, ...]] = {
    "name": ("", "x" * 65, "a\nb", "\x00"), "incarnation": (-1, LIFE + 86_400_001), "sequence": (-1, 1 << 52),
    "state": (9,), "serves": ("elsewhere",),
    "address": ("", "host:1", "10.0.0.1", "10.0.0.1:0", "10.0.0.1:070", "::1:7", "[10.0.0.1]:7", "[::01]:7",
                "10.0.0.1:" + "9" * 500, "10.0.0.1%eth0:80",
                *(f"[fe80::1%{scope}]:80" for scope in ("", "a\0b", "[", "]", "[]", "a b", " ", "a\n", "a/b",
                                                        "a:b", "\u0131", "%", "e" * 16))),
    "since": (-1.0, nan, inf, 1e10), "connections": (-1, 1 << 32), "room": (-5,), "opened": (-0.1, nan, 1e12),
    "loads": ((Load("", 1),), (Load("t", -1),), (Load("t", 1, 0.0, 2),), (Load("t", 1, nan),),
              (Load("t", 1), Load("t", 2)), (Load("t" * 65, 1),),
              tuple(Load(str(at), 1) for at in range(LOADS_MOST + 1))),
    "rest": (Load("t", 1), Load("", 1, -1.0)), "holds": (("",), ("a", "a"), tuple(map(str, range(1025)))),
    "parts": ({"": b""}, {"a": bytes(8193)}, {str(at): b"" for at in range(9)}),
}  # fmt: skip


def head(name: str = "x", part: int = 0, parts: int = 1) -> bytes:
    return msgspec.msgpack.encode(wire.Head("f", name, WHERE["x"], part, parts))


NOISE: tuple[bytes, ...] = (
    b"\xc1", b"GET / HTTP/1.1\r\n\r\n", bytes(100), b"\xdf\xff\xff\xff\xff", b"\x93" * 3000,
    *map(msgpack.packb, (
        {"a": 1}, [0, 1, "alive", [{}]], [1, 1, None, []], [2, 5, [head()]], [2, "w" * 33, [head()]],
        [2, "cancelRequest", [1]], *([2, "members", said] for said in (
            [], ["text"], [b"\xc1"], [head(), "text"], [head()] * 5, [head(), bytes(2049)], [head("x" * 65)],
            [head(parts=0)], [head(parts=1 << 40)], [head(part=-1, parts=3)])))),
)  # fmt: skip
TOLD = {"n": "x", "i": 1, "s": 1, "t": 1, "a": "b"}
BODIES: tuple[bytes, ...] = (
    b"", b"\xc1", b"\x82\xa1k\x00\xa1m\x81\xa1n\xa2\xff\xfe",
    *map(msgpack.packb, (
        [], {}, {"k": 0}, {"k": "0", "m": 1}, {"k": 0, "m": {"n": 5}},
        *({"k": 0, "m": TOLD} | more for more in ({"u": nan}, {"u": -1.0}, {"b": "x" * 65}, {"r": [["x"]]})),
        *({"k": 0, "m": TOLD | more} for more in (
            {"i": "1"}, {"c": 0.5}, {"l": [[1, 2]]}, {"p": {"a": "text"}}, {"s": None})))),
)  # fmt: skip


class BadInput(unittest.TestCase):
    def test_snapshots(self) -> None:
        self.assertEqual(limits.fault(X, LIFE), "")
        for name, values in FAULTS.items():
            for value in values:
                with self.subTest(name, value=str(value)[:60]):
                    self.assertNotEqual(limits.fault(of("x", **{name: value}), LIFE), "")
        for age in (-1.0, nan, inf):
            one = One("y")
            one.hear(X, age=age)
            self.assertEqual(one.stand(), Stand.UNKNOWN)

    def test_places(self) -> None:
        for text in ("10.0.0.1:80", "[::1]:7", "[fe80::1]:80", "[fe80::1%eth0]:80", "[fe80::1%br-0.7_a]:80",
                     "[fe80::1%" + "e" * 15 + "]:80"):  # fmt: skip
            with self.subTest(text):
                self.assertTrue(limits.place(text))
                self.assertEqual(
                    str(service_config.HostPort.parse(text)), text
                )  # as those read it who connect to it

    def test_noise(self) -> None:
        for noise in NOISE:
            with self.subTest(noise[:40]), self.assertRaises(routers_wire.InvalidFrameError):
                wire.Reader(BADGE, wire.Pool()).feed(noise)
        for body in BODIES:
            with self.subTest(body[:40]), self.assertRaises(routers_wire.InvalidFrameError):
                wire.decode(body)

    @QUIET
    @given(st.binary(max_size=200))
    def test_any_octets(self, data: bytes) -> None:
        reader = wire.Reader(BADGE, wire.Pool())
        with suppress(routers_wire.InvalidFrameError):
            reader.feed(data)
            self.assertTrue(reader.is_incomplete() or not data)

    def test_there_and_back(self) -> None:
        full = of("x", serves="10.0.0.9:2", since=2.5, loads=(Load("t", 4, 0.5, 1), Load("u", 2)),
                  rest=Load("", 1, 0.25), holds=("t", "u"), parts={"moves": b"\x00\x01"})  # fmt: skip
        rumours = (Rumour("x", LIFE, 2, Verdict.DEAD, "y"), Rumour("y", 1, 0, Verdict.SUSPECTED, "z"))
        for layers in (Layer.FIGURES, Layer.PARTS, Layer.PARTS | Layer.DETAIL):
            one = Message(Kind.ASK, Said(full, 1.5, layers), 7.25, 9, "z", (Said(X, 0.5),), rumours)
            wanted = full if layers & Layer.DETAIL else full._replace(loads=(), rest=Load("", 0), holds=())
            wanted = wanted if layers & Layer.PARTS else wanted._replace(parts={})
            self.assertEqual(wire.decode(wire.encode(one)), one._replace(me=Said(wanted, 1.5, layers)))


class AppServer(unittest.TestCase):
    def test_where_it_serves(self) -> None:
        for host, port, wanted in (("127.0.0.1", 7, "127.0.0.1:7"), ("::1", 7, "[::1]:7"),
                                   ("[::1]", 7, "[::1]:7"), ("there", 7, ""), ("::1", 0, "")):  # fmt: skip
            self.assertEqual(serves(host, port), wanted)

    def test_section(self) -> None:
        def read(*lines: str) -> Members:
            with NamedTemporaryFile("w", suffix=".ini") as file:
                file.write("\n".join(("[members]", *lines)))
                file.flush()
                return service_config.read_service_config(Path(file.name))["members"]

        one = read("address = 127.0.0.1:6001", "others = 127.0.0.1:6002, [::1]:6003", "key = secret")
        self.assertEqual((list(map(str, one.others)), one.period), (["127.0.0.1:6002", "[::1]:6003"], 1.0))
        self.assertNotIn("secret", " ".join(one.lines()))
        here = "address = 127.0.0.1:1"
        for lines, why in (
            ((), "address: is missing"), (("address = x",), "'x' can't be used"),
            ((here, "beat = 2"), "beat: no such option"), ((here, "others = 127.0.0.1:1"), "own address"),
            ((here, "advertise = 127.0.0.2:1", "others = 127.0.0.2:1"), "own addr"),
            ((here, "others = 127.0.0.1:2, 127.0.0.1:2"), "one address twice"),
            ((here, "key = " + "k" * 65), "what is given can't be used"),
            ((here, "[members.more]"), "no such section"),
        ):  # fmt: skip
            with self.subTest(why), self.assertRaisesRegex(service_config.ServiceConfigError, why):
                read(*lines)

    def test_figures(self) -> None:
        one, up = Figures(1000.0), ServerStatus(True, True, 1010.0, None, 0, 0, 40, 100)
        self.assertEqual(one.fields(1000.0), {"state": State.COLD, "room": 0})

        def looks(at: float, accepted: int = 120, **changed: Any) -> tuple[State, int]:
            one.look(at, up._replace(**changed), accepted)
            return one.fields(at)["state"], one.fields(at)["room"]

        self.assertEqual(looks(1000.25, 10), (State.COLD, 0))
        seen = {looks(1010.0 + at / 4, 20 + at) for at in range(100)}
        self.assertEqual((seen, one.fields(1035.0)["connections"]), ({(State.SERVING, 60)}, 40))
        self.assertAlmostEqual(one.fields(1035.0)["opened"], 4.0, delta=0.1)
        self.assertFalse(one.asked(1035.0))
        self.assertEqual([one.fields(at)["room"] for at in (1035.1, 1040.0)], [60, 0])  # no answer
        self.assertTrue(one.asked(1040.0))
        self.assertEqual(looks(1041.0, is_processor_connected=False), (State.SERVING, 0))
        self.assertEqual(looks(1042.0), (State.SERVING, 60))
        one.leaves()
        self.assertEqual(looks(1043.0), (State.LEAVING, 0))


# Real sockets.

PERIOD = 0.2


def free() -> service_config.HostPort:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return service_config.HostPort.parse(f"127.0.0.1:{sock.getsockname()[1]}")


def told(*others: service_config.HostPort, **more: Any) -> Members:
    return Members(address=free(), others=others, period=PERIOD, **more)


def fleet(name: str, *others: MembershipService, **more: Any) -> MembershipService:
    section = told(*(other.told.address for other in others), **more)
    return MembershipService(section, Snapshot(name, True, incarnation(), 0, State.SERVING, ""), 5)


async def until(true: Callable[[], Any], within: float = 10.0) -> Any:
    with anyio.fail_after(within):
        while not (found := true()):
            await anyio.sleep(0.01)
    return found


@asynccontextmanager
async def running(*ones: MembershipService, meet: bool = True) -> AsyncIterator[anyio.abc.TaskGroup]:
    """Until the end of the block, which begins once all see all."""
    async with anyio.create_task_group() as tasks:
        for one in ones:
            tasks.start_soon(one.run)
        if meet:
            await until(lambda: all_see(*ones))
        yield tasks
        tasks.cancel_scope.cancel()


@asynccontextmanager
async def linked(
    most: transport.Bounds, refused: Callable[[str], None] = lambda _: None
) -> AsyncIterator[tuple[transport.Links, service_config.HostPort, list[Any]]]:
    where, heard = free(), list[Any]()
    one = transport.Links(most, PERIOD, BADGE, heard.append, refused)
    assert not one.tell(str(where), b"")
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(one.run, str(where.ip), where.port)
        await until(lambda: one.tasks)
        yield one, where, heard
        tasks.cancel_scope.cancel()


async def dialled(where: service_config.HostPort, data: bytes = b"") -> anyio.abc.SocketStream:
    stream = await anyio.connect_tcp(str(where.ip), where.port)
    with suppress(anyio.BrokenResourceError):
        await stream.send(data)
    return stream


def sees(one: MembershipService, name: str) -> bool:
    member = one.view().members.get(name)
    return bool(member and member.trust == Trust.SURE and member.snapshot.state == State.SERVING)


def all_see(*ones: MembershipService) -> bool:
    return all(sees(one, other.membership.own.name) for one in ones for other in ones)


def shown(one: MembershipService, name: str) -> Snapshot:
    return one.view().members[name].snapshot


def counted(what: str) -> int:
    return logs.counters["members_" + what]


class Sockets(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        logs.counters.clear()

    async def test_three(self) -> None:
        a = fleet("a", key="secret")
        b, c = (fleet(name, a, key="secret") for name in "bc")
        heard: list[tuple[str, bytes]] = []
        views: list[View] = []
        a.hear("seats", lambda name, body: heard.append((name, body)))
        a.changed = lambda: views.append(a.view())
        self.assertFalse(b.send("a", "seats", b"early"))
        async with running(a, b, c) as tasks:
            bodies = [b"hello", bytes(wire.BODY_MOST)]
            self.assertEqual([b.send("a", "seats", body) for body in bodies], [True, True])
            await until(lambda: heard == [("b", body) for body in bodies])
            self.assertFalse(b.send("a", "seats", bytes(wire.BODY_MOST + 1)))
            self.assertFalse(b.send("nobody", "seats", b""))
            b.say(connections=5, loads=(Load("t", 5),), holds=("t",), parts={"moves": b"v"})
            said = await until(lambda: shown(a, "b").holds and shown(a, "b"))
            self.assertEqual((said.loads, said.connections), ((Load("t", 5),), 5))
            self.assertEqual(said.parts, {"moves": b"v"})
            await anyio.sleep(4 * PERIOD)
            second = fleet("b", a, b, key="secret")
            tasks.start_soon(second.run)
            await until(lambda: second.conflict)
            self.assertIn(str(b.told.address), second.conflict)
            self.assertEqual(shown(a, "b").address, str(b.told.address))
            self.assertEqual((b.conflict, second.send("a", "seats", b"")), ("", False))
            b.leave()
            await until(lambda: shown(a, "b").state == State.GONE)
            self.assertEqual(a.view().members["b"].trust, Trust.DEAD)
            self.assertEqual([view.version for view in views], sorted({view.version for view in views}))

    async def test_trouble_on_the_listener(self) -> None:
        a = fleet("a")
        b, where = fleet("b", a), a.told.address
        badge = BADGE._replace(fleet="thymeyoke")
        async with running(a, b):
            for data, what in (
                (NOISE[0], "bad_frame"), (b"\x93\x02\xa7mem", "half_said"), (b"", "half_said"),
                (wire.notifications("seats", b"", badge), "from_nobody"),
                (wire.notifications("members", b"", badge._replace(fleet="o")), "other_fleet"),
                (wire.notifications("members", bytes(500_000), badge) * 5, "bad_frame"),
            ):  # fmt: skip
                before = counted(what)
                stream = await dialled(where, data)
                await until(lambda what=what, before=before: counted(what) > before)
                await stream.aclose()
            for stream in [await dialled(where) for _ in range(40)]:
                await stream.aclose()
            self.assertTrue(all_see(a, b))
            self.assertEqual(counted("now_dead"), 0)
        self.assertEqual((a.links.out, a.links.into, a.links.pool.left), ({}, set(), wire.POOL))

    async def test_file_read_anew(self) -> None:
        a, b = fleet("a"), fleet("b")
        async with running(a, b, meet=False):
            await anyio.sleep(2 * PERIOD)
            b.reform(msgspec.structs.replace(b.told, others=(a.told.address,), period=PERIOD / 2))
            await until(lambda: all_see(a, b))
            life = shown(a, "b").incarnation
            a.reform(msgspec.structs.replace(a.told, key="secret"))
            await until(lambda: counted("bad_key"))
            b.reform(msgspec.structs.replace(b.told, key="secret", period=PERIOD))
            await until(lambda: all_see(a, b))
            self.assertEqual(shown(a, "b").incarnation, life)

    async def test_app_server(self) -> None:
        watch, name = fleet("watch"), "toy-1"
        section = told(watch.told.address)
        given_ = {"settings__contract__drain_grace_us": 2_000_000, "stop_ms": 5000, "listen": str(free())}
        async with running(watch):
            with anyio.fail_after(15):
                async with place(orders=lambda: {"members": section}, **given_) as here:
                    await until(lambda: sees(watch, name))
                    await until(lambda: shown(watch, name).room > 0)
                    said = shown(watch, name)
                    self.assertEqual((said.serves, said.node), (str(here.where), False))
                    router = await here.router()
                    await until(lambda: shown(watch, name).connections == 1)
                    signal.raise_signal(signal.SIGTERM)
                    await until(lambda: shown(watch, name).state == State.LEAVING)
                    self.assertEqual(shown(watch, name).room, 0)
                    await router.reset()
                    await here.ended.wait()
            await until(lambda: shown(watch, name).state == State.GONE)

    async def test_probe(self) -> None:
        extension.check_host(told())
        with self.assertRaises(extension.HostConfigurationError):
            extension.check_host(Members(address=service_config.HostPort.parse("192.0.2.77:6001")))

    async def test_bounds_of_links(self) -> None:
        self.assertEqual(
            (transport.SERVER.out + transport.SERVER.into, transport.NODE.into >= 1024), (48, True)
        )
        flood = transport.Flood(100.0, 8.0)
        for now, many, taken in (
            (0.0, transport.FLOOD, True),
            (0.0, 1, False),
            (4.0, transport.FLOOD // 4, True),
        ):
            self.assertEqual(flood.take(100.0 + now, many), taken)
        link = transport.Link("127.0.0.1:1", 1.0)  # nobody writes its letters
        took = [link.tell(b"letter") for _ in range(transport.MAILBOX + 1)]
        self.assertEqual((took, link.scope.cancel_called), ([True] * transport.MAILBOX + [False], True))
        self.assertEqual(counted("outbox_full"), 1)
        link.outbox.close()
        link.unsent.close()
        hello, news = (wire.notifications("w", body, BADGE) for body in (b"hello", b"news"))
        async with linked(transport.Bounds(1, 2)) as (one, where, heard):
            other = str(free())
            self.assertTrue(one.tell(other, b"lost"))  # nobody is there
            await until(lambda: not one.out)
            self.assertFalse(one.tell(other, b"too soon"))
            await anyio.sleep(transport.AGAIN * PERIOD)
            self.assertTrue(one.tell(other, b"lost"))
            self.assertTrue(one.tell(str(where), hello))  # takes its place
            self.assertEqual(list(one.out), [str(where)])
            await until(lambda: [whole.body for whole in heard] == [b"hello"])
            link = one.out[str(where)]
            link.outbox.send_nowait((clock() - 4 * PERIOD, hello))  # since before a standstill
            link.owed += 1
            await until(lambda: one.tell(str(where), news) and heard[-1].body == b"news")
            self.assertEqual([whole.body for whole in heard].count(b"hello"), 1)
            streams = [await dialled(where) for _ in range(3)]
            await until(lambda: counted("links_full") >= 3 or counted("too_many"))
            self.assertLessEqual(len(one.into), 2)
            for stream in streams:
                await stream.aclose()

    async def test_only_a_refused_connect_says_that_nobody_listens(self) -> None:
        refused = list[str]()
        silent = socket.create_server(("127.0.0.1", 0), backlog=1)  # takes nobody: connects time out
        crowd = [socket.socket() for _ in range(4)]
        with silent:
            for one in crowd:
                one.setblocking(False)
                one.connect_ex(silent.getsockname())
            late, gone = "{}:{}".format(*silent.getsockname()), str(free())
            async with linked(transport.Bounds(4, 4), refused.append) as (one, _, _):
                for address in (late, gone):
                    self.assertTrue(one.tell(address, b"lost"))
                await until(lambda: not one.out)
        for each in crowd:
            each.close()
        self.assertEqual(refused, [gone])

    async def test_accept_that_fails(self) -> None:
        loop = asyncio.get_running_loop()
        accept, fails, hello = loop.sock_accept, 0, wire.notifications("w", b"hello", BADGE)

        async def sock_accept(sock: socket.socket) -> Any:
            await anyio.wait_readable(sock)
            if fails:
                raise OSError(fails, "no")
            return await accept(sock)

        async def refused() -> None:
            before = counted("accept_failed")
            await until(lambda: counted("accept_failed") > before)

        loop.sock_accept = sock_accept  # type: ignore[method-assign]
        async with linked(transport.Bounds(1, 4)) as (one, where, heard):
            streams = [await dialled(where, hello)]
            await until(lambda: len(heard) == 1)
            for out_of in (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM):
                fails = out_of
                if len(streams) == 1:
                    streams.append(await dialled(where, hello))
                await refused()
                self.assertEqual((len(one.into), len(heard)), (1, 1))
            fails = 0
            await until(lambda: len(heard) == 2)
            self.assertEqual(len(one.into), 2)
            fails = errno.EMFILE
            streams.append(await dialled(where, hello))
            await refused()  # it ends, though it fails all the time
        self.assertEqual((one.tasks, one.into), (None, set()))
        for stream in streams:
            await stream.aclose()

        async def gone() -> None:  # a listener that is no more: whoever runs it begins anew
            with self.assertRaises(ExceptionGroup):
                await one.run(str(where.ip), where.port)
            tasks.cancel_scope.cancel()

        fails = errno.EBADF
        with anyio.fail_after(10):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(gone)
                await until(lambda: one.tasks)
                await (await dialled(where, hello)).aclose()
                await anyio.sleep_forever()


if __name__ == "__main__":
    unittest.main()
