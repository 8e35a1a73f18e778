"""Membership: documented rules, properties, an exhaustive small model, invalid input and real sockets."""

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
from tests.app_server import running_server
from tests.conformance.tables import DASH, Row, played, rows
from thymeyoke.configuration import service_config
from thymeyoke.membership import controller, extension, limits, load_sketch, transport, wire
from thymeyoke.membership.configuration import Members
from thymeyoke.membership.failure_detector import (
    EPOCH_SEQUENCES,
    TRANSITIONS,
    Announcement,
    Event,
    MemberStatus,
    SnapshotLayer,
    Suspicion,
    classify,
    epoch,
    next_status,
)
from thymeyoke.membership.gossip import (
    GOSSIP_BYTES,
    MIN_MESH_GOSSIP_BYTES,
    Accusation,
    GossipItem,
    GossipQueue,
    LogEvent,
    Message,
    MessageKind,
    Send,
    Verdict,
)
from thymeyoke.membership.load import ServerLoad, service_address
from thymeyoke.membership.service import MembershipService, incarnation
from thymeyoke.membership.view import MAX_LOADS, Load, Snapshot, State, Trust, View
from thymeyoke.runtime import logs
from thymeyoke.runtime.clock import clock
from thymeyoke.runtime.extensions import ServerStatus
from thymeyoke.server import routers_wire

PAGE = "docs/membership.md"
DETERMINISTIC = settings(derandomize=True, deadline=None)
INCARNATION = 1_000_000
SNAPSHOT_X = Snapshot(
    "x", False, INCARNATION, 100, State.SERVING, "10.0.0.1:1", connections=7, opened=2.0, room=3
)
ADDRESSES = {name: f"10.0.0.{at}:1" for at, name in enumerate(("me", "x", "y", "z"))}
OTHER_ADDRESS = "10.0.9.9:1"
CREDENTIALS = wire.Credentials("f", b"", "x", ADDRESSES["x"])


def snapshot_of(called: str, **more: Any) -> Snapshot:
    return SNAPSHOT_X._replace(
        **{"name": called, "address": ADDRESSES.get(called, SNAPSHOT_X.address)} | more
    )


SNAPSHOT_Y, NODE_SNAPSHOT = snapshot_of("y"), snapshot_of("n", node=True, address=OTHER_ADDRESS)


class DrivenMembership:
    """A `Membership` driven by direct calls; with `is_silent` it sends nothing periodically."""

    def __init__(
        self, *known: str, is_silent: bool = True, node: bool = False, seeds: tuple[str, ...] = ()
    ) -> None:
        self.now = 1000.0
        own = Snapshot("me", node, INCARNATION, 0, State.SERVING, ADDRESSES["me"])
        self.membership = controller.Membership(self.now, own, seeds, Random(1), 1.0)
        if is_silent:
            self.membership.next_period_at = self.membership.next_probe_at = self.membership.next_sync_at = (
                inf
            )
        for name in known:
            self.deliver(snapshot_of(name))
        self.membership.gossip.transmissions.clear()

    def deliver(
        self, me: Snapshot, kind: MessageKind = MessageKind.PUSH, *accusations: Accusation, **more: Any
    ) -> list[Any]:
        """Deliver a message from a member; `more`: `age` and `layers` of its snapshot, message fields."""
        announced = Announcement(me, more.pop("age", 0.0), more.pop("layers", SnapshotLayer.FIGURES))
        message = Message(kind, announced, more.pop("uptime", 5.0), accusations=accusations, **more)
        self.membership.receive(self.now, me.address, message)
        return self.advance()

    def learn(self, *announced: Announcement) -> DrivenMembership:
        for each in announced:
            self.membership._apply_announcement(self.now, each, set())
        return self

    def advance(self, later: float = 0.0) -> list[Any]:
        self.now += later
        self.membership.expected_at = max(
            self.membership.expected_at if self.membership.expected_at < inf else 0.0, self.now
        )
        return self.membership.advance(self.now)

    def accuse(self, verdict: Verdict, by: str, name: str = "x") -> list[Any]:
        known = self.membership.known.get(name)
        incarnation = (known.figures.incarnation, known.epoch) if known else (INCARNATION, 0)
        return self.deliver(SNAPSHOT_Y, MessageKind.PUSH, Accusation(name, *incarnation, verdict, by))

    def status(self, name: str = "x") -> MemberStatus:
        known = self.membership.known.get(name)
        return MemberStatus.UNKNOWN if known is None else known.status

    def bring_to(self, status: MemberStatus) -> DrivenMembership:
        gone = snapshot_of("x", sequence=101, state=State.GONE)
        for announced in {MemberStatus.UNKNOWN: (), MemberStatus.GONE: (SNAPSHOT_X, gone)}.get(
            status, (SNAPSHOT_X,)
        ):
            self.deliver(announced)
        for verdict, by in ((0, "y"), (1, "w"))[
            : {MemberStatus.UNSURE: 1, MemberStatus.DEAD: 2}.get(status, 0)
        ]:
            self.accuse(Verdict(verdict), by)
        self.membership.gossip.transmissions.clear()
        self.membership.corrected.clear()
        return self


def sent_messages(actions: list[Any]) -> list[Send]:
    return [one for one in actions if isinstance(one, Send)]


def messages_to(actions: list[Any], address: str) -> list[Message]:
    return [one.message for one in sent_messages(actions) if one.address == address]


def logged_count(actions: list[Any], what: str) -> int:
    return sum(isinstance(one, LogEvent) and one.event == what for one in actions)


def start_fleet(seed: int, names: str, node: str = "") -> Simulated:
    """Start processes in simulated time; all know the first one as their seed and have joined."""
    world = Simulated(seed)
    for name in names:
        world.start(name, name == node, others=names[0] if name != names[0] else ())
    wait_for_agreement(world, names, 10.0)
    return world


def wait_for_agreement(world: Simulated, names: str | list[str], within: float) -> None:
    assert world.until(lambda: world.agree(names, names), within) < within, names


def let_pass(one: DrivenMembership, known: Any, span: float = 0.0, doubted: float = 0.0) -> None:
    if known:
        known.status_since -= span
    if known and known.suspicion:
        known.suspicion.since -= doubted
    if span:
        one.membership.next_period_at = one.now


EVENTS: dict[Event, Callable[[DrivenMembership, Any], list[Any] | None]] = {
    Event.NEWER: lambda one, _: one.deliver(snapshot_of("x", sequence=102)),
    Event.OLDER: lambda one, _: one.deliver(snapshot_of("x", sequence=99), age=101.0),
    Event.REFUTATION: lambda one, _: one.deliver(snapshot_of("x", sequence=EPOCH_SEQUENCES + 1)),
    Event.NEW_LIFE: lambda one, _: one.deliver(snapshot_of("x", incarnation=INCARNATION + 1, sequence=1)),
    Event.FAREWELL: lambda one, _: one.deliver(snapshot_of("x", sequence=103, state=State.GONE)),
    Event.SUSPECTED: lambda one, _: one.accuse(Verdict.SUSPECTED, "z"),
    Event.FOUND_DEAD: lambda one, _: one.accuse(Verdict.DEAD, "z"),
    Event.ANOTHER_ADDRESS: lambda one, _: one.deliver(snapshot_of("x", address=OTHER_ADDRESS)),
    Event.UNANSWERED: lambda one, _: setattr(
        one.membership, "probe", controller.Probe("x", 7, *[one.now] * 3)
    ),
    Event.SUSPICION_OVER: lambda one, known: let_pass(one, known, doubted=100.0),
    Event.STAY_OVER: lambda one, known: let_pass(one, known, 601.0),
}


class DocumentedTables(unittest.TestCase):
    """The tables of docs/membership.md; `me_1` is the test of rule ME-1."""

    def test_states(self) -> None:
        cases = {
            (status.value, event.value): lambda _, row, snapshot_of=status, event=event: (
                self.check_transition(snapshot_of, event, row)
            )
            for status in MemberStatus
            for event in Event
        }
        played(self, rows(PAGE, "States"), ("state", "event"), cases)
        documented = {(MemberStatus(row["state"]), Event(row["event"])): MemberStatus(row["next state"])
                for row in rows(PAGE, "States") if row["next state"] not in DASH}  # fmt: skip
        self.assertEqual(documented, TRANSITIONS)

    def check_transition(self, status: MemberStatus, event: Event, row: Row) -> None:
        wanted = status if row["next state"] in DASH else MemberStatus(row["next state"])
        self.assertEqual(next_status(status, event), wanted)
        if status == MemberStatus.UNKNOWN and event in (Event.NEWER, Event.REFUTATION, Event.ANOTHER_ADDRESS):
            # A first snapshot is always a new life, whatever its sequence number.
            announced = (
                SNAPSHOT_X,
                snapshot_of("x", sequence=EPOCH_SEQUENCES),
                snapshot_of("x", address=OTHER_ADDRESS),
            )
            self.assertEqual(
                {classify(None, Announcement(each), 1.0) for each in announced}, {Event.NEW_LIFE}
            )
            return self.assertEqual(wanted, status)
        one = DrivenMembership("y", "z").bring_to(status)
        self.assertEqual(one.status(), status)
        version = one.membership.version
        actions = EVENTS[event](one, one.membership.known.get("x")) or one.advance()
        self.assertEqual(one.status(), wanted)
        self.assertEqual(one.membership.version > version, wanted != status or event == Event.NEW_LIFE)
        out, fresh = row["what goes out"], one.membership.gossip.transmissions.get("x")
        waits = True if "told on as figures" in out else False if "told on" in out else None
        self.assertEqual(fresh and fresh[0], waits)
        if out.startswith(("whoever says", "it is told", "the other", "told of the life")):
            (message,) = messages_to(
                actions, OTHER_ADDRESS if event == Event.ANOTHER_ADDRESS else ADDRESSES["x"]
            )
            about = [announced.snapshot.name for announced in message.announcements] + [
                one.name for one in message.accusations
            ]
            self.assertIn("x", about)
        elif out.startswith("nothing"):
            self.assertEqual(sent_messages(actions), [])

    def test_rules(self) -> None:
        cases = {name.upper().replace("_", "-"): lambda case, row, name=name: getattr(self, name)()
                 for name in dir(self) if name.startswith("me_")}  # fmt: skip
        played(self, rows(PAGE, "Rules"), "id", cases)

    def me_1(self) -> None:
        one, queried = DrivenMembership("x", "y", "z"), []
        one.membership.next_probe_at = one.now
        for at in range(9):
            one.advance()
            queried.append(name := one.membership.probe.name)
            one.deliver(
                snapshot_of(name, sequence=101 + at),
                MessageKind.ACK,
                number=one.membership.probe.number,
                subject=name,
            )
            one.now += 1.0
        self.assertEqual([set(queried[at : at + 3]) for at in (0, 3, 6)], [{"x", "y", "z"}] * 3)

    def me_2(self) -> DrivenMembership:
        """Probe x, which does not answer within a quarter of a period."""
        one = DrivenMembership("x", "y", "z")
        one.membership.probe_round, one.membership.next_probe_at = ["x"], one.now
        self.assertEqual([one.kind for one in messages_to(one.advance(), ADDRESSES["x"])], [MessageKind.PING])
        queried = {send.address: send.message for send in sent_messages(one.advance(0.25))}
        self.assertEqual(
            (set(one.membership.probe.helpers), queried.keys()),
            ({"y", "z"}, {ADDRESSES["y"], ADDRESSES["z"]}),
        )
        announced = {
            (message.kind, message.number, message.subject, message.sender.age)
            for message in queried.values()
        }
        self.assertEqual(announced, {(MessageKind.PING_REQUEST, one.membership.probe.number, "x", 0.25)})
        return one

    def me_3(self, *cases: tuple[str, MessageKind, int, str, bool, MemberStatus, int]) -> None:
        """Cases: senders, message kind, offset of the number, subject; then whether the probe of x goes on,
        the final status of x, and the local health score, which was 2."""
        for by, kind, number, about, queried, status, health in cases or (
            ("x", MessageKind.ACK, 0, "x", False, MemberStatus.SURE, 1),
            ("y", MessageKind.ACK, 0, "x", False, MemberStatus.SURE, 1),
            # A message with another number or another subject is not an answer.
            ("x", MessageKind.ACK, 9, "x", True, MemberStatus.SURE, 1),
            ("y", MessageKind.ACK, 9, "x", True, MemberStatus.UNSURE, 5),
            ("y", MessageKind.ACK, 0, "z", True, MemberStatus.UNSURE, 5),
        ):
            one = self.me_2()
            one.membership.health = 2
            for name in by:
                one.deliver(
                    snapshot_of(name, sequence=101),
                    kind,
                    number=one.membership.probe.number + number,
                    subject=about,
                )
            self.assertEqual(one.membership.probe is not None, queried)
            one.advance(0.75)
            self.assertEqual((one.status(), one.membership.health), (status, health))

    def me_4(self) -> None:
        push = MessageKind.PUSH
        self.me_3(
            ("x", push, 0, "", True, MemberStatus.SURE, 1), ("", push, 0, "", True, MemberStatus.UNSURE, 5)
        )

    def me_5(self) -> None:
        self.me_6((3, "aa", 9.0), (10, "a", 9.0), (100, "a", 18.0), (1000, "a", 27.0))

    def me_6(self, *alone: tuple[int, str, float]) -> None:
        for count, by, lasts in alone or (
            (2, "a", 3.0), (3, "ab", 3.0), (100, "abbccdd", 6.0), (100, "abcdefg", 6.0), (100, "abb", 12.0),
        ):  # fmt: skip
            one = Suspicion(0.0, by[0], count, 1.0)
            over = [one.expires_at]
            for name in by[1:]:  # repeated accusations of one member count once
                one.confirm(name)
                over.append(one.expires_at)
            self.assertEqual(sorted(over, reverse=True), over)
            self.assertAlmostEqual(over[-1], lasts)

    def spread(self, actions: list[Any]) -> None:
        """Check that the messages go to all members, nodes first."""
        addresses = [send.address for send in sent_messages(actions)]
        self.assertEqual(
            (addresses[0], sorted(addresses[1:])), (OTHER_ADDRESS, [ADDRESSES[name] for name in "xyz"])
        )

    def me_7(self) -> None:
        one = DrivenMembership("x", "y", "z")
        one.deliver(NODE_SNAPSHOT)
        for verdict in Verdict:
            at = epoch(one.membership.own)
            announced = Accusation("me", INCARNATION, at, verdict, "y")
            self.spread(one.deliver(SNAPSHOT_X, MessageKind.PUSH, announced))
            self.assertEqual(
                (epoch(one.membership.own), one.membership.own.incarnation), (at + 1, INCARNATION)
            )
            self.assertEqual(
                (one.deliver(SNAPSHOT_X, MessageKind.PUSH, announced), epoch(one.membership.own)),
                ([], at + 1),
            )

    def me_8(self) -> None:
        for claimed in ((INCARNATION - 1, 0), (INCARNATION + 1, 0), (INCARNATION, 1), (INCARNATION, -1)):
            one = DrivenMembership("x", "y", "z")
            one.deliver(
                SNAPSHOT_Y,
                MessageKind.PUSH,
                *(Accusation("x", *claimed, verdict, "y") for verdict in Verdict),
            )
            self.assertEqual(one.status(), MemberStatus.SURE)

    def me_9(self) -> None:
        for seed, there, within in (
            (3, True, 10.0),
            (15, False, 40.0),
        ):  # at the same address, at another one
            world = start_fleet(seed, "abc")
            old = world.processes["b"]
            world.kill("b")
            incarnation = old.membership.own.incarnation
            new = world.start("b", others="ac", address=old.address if there else "",
                              incarnation=incarnation - 3000 if there else 10)  # fmt: skip

            def taken(world: Simulated = world, incarnation: int = incarnation, new: Any = new) -> bool:
                held = [world.view(name).members["b"].snapshot for name in "ac"]
                return all(one.address == new.address and one.incarnation > incarnation for one in held)

            self.assertLess(world.until(taken, 60.0), within)
            wait_for_agreement(world, "abc", 10.0)
            self.assertEqual((new.notes["incarnation_raised"], new.membership.conflict), (1, ""))

    def me_10(self) -> None:
        one = DrivenMembership("x", "y")
        for claimed in (INCARNATION - 1, INCARNATION, INCARNATION + 1):
            one.membership.corrected.clear()
            actions = one.deliver(snapshot_of("x", address=OTHER_ADDRESS, incarnation=claimed, sequence=900))
            announced = [
                message.announcements[0].snapshot.address for message in messages_to(actions, OTHER_ADDRESS)
            ]
            self.assertEqual((announced, logged_count(actions, "another_address")), ([ADDRESSES["x"]], 1))
            self.assertEqual(one.membership.known["x"].figures.order, SNAPSHOT_X.order)

    def me_11(self) -> None:
        self.me_12(0.0)
        world = Simulated(5)  # started at the same time: exactly one of them reports a conflict
        one = world.start("b", address="10.9.0.2:1")
        other = world.start("b", others=["10.9.0.2:1"], address="10.9.0.1:1")
        world.run(20.0)
        self.assertEqual([bool(each.membership.conflict) for each in (one, other)], [True, False])

    def me_12(self, *skews: float) -> None:
        for skew in skews or (-3.0, 3.0):
            world = start_fleet(4, "abc")
            world.run(5.0)
            first, second = world.processes["b"], world.start("b", others="ac", skew=skew)
            world.processes["b"] = first
            world.until(lambda second=second: second.membership.conflict, 20.0)
            self.assertIn(first.address, second.membership.conflict)
            self.assertEqual(second.membership.advance(world.now + skew), [])
            world.run(60.0)
            self.assertEqual((first.membership.conflict, world.deaths), ("", []))
            self.assertTrue(world.agree("abc", "abc"))
            seen = {world.view(name).members["b"].snapshot.address for name in "ac"}
            self.assertEqual(seen, {first.address})

    def me_13(self) -> None:
        one = self.me_2()
        one.accuse(Verdict.SUSPECTED, "y", "z")
        before: Any = one.membership.known["z"].suspicion
        over = before.expires_at
        one.now += 30.0
        late = one.now - one.membership.expected_at
        # `last_stall` already reports the stall before `advance` has run.
        self.assertEqual(one.membership.last_stall(one.now), (one.now, late + 1.0))
        self.assertTrue(logged_count(one.membership.advance(one.now), "stood_still"))
        self.assertEqual(one.membership.last_stall(one.now + 0.5)[0], one.now)
        self.assertEqual((one.membership.health, one.membership.probe), (controller.STALL_HEALTH_SCORE, None))
        self.assertEqual([one.status(name) for name in "xz"], [MemberStatus.SURE, MemberStatus.UNSURE])
        self.assertAlmostEqual(before.expires_at, over + late + 1.0)
        one.deliver(snapshot_of("x", sequence=105))  # may have been sent at any time during the stall
        self.assertAlmostEqual(one.membership.view(one.now).members["x"].age, late)
        self.assertLess(one.membership.known["x"].received_at, one.now)  # so it does not answer later probes
        for span, seen in ((1.9, 0), (2.1, 1)):  # just after `advance`, with the next action one period later
            one = DrivenMembership("x")
            one.membership.next_period_at = one.now + 1.0
            one.advance()
            self.assertEqual(logged_count(one.membership.advance(one.now + span), "stood_still"), seen)

    def me_14(self) -> None:
        world = start_fleet(6, "abcde")
        world.stop("b")
        wait_for_agreement(world, "acde", 30.0)
        old = world.processes["c"]
        world.kill("c")
        world.start("c", others="ad", address=old.address)
        world.run(20.0)
        world.deaths.clear()
        world.go_on("b")
        wait_for_agreement(world, "abcde", 20.0)
        self.assertEqual(world.deaths, [])
        self.assertGreater(world.view("b").members["c"].snapshot.incarnation, old.membership.own.incarnation)

    def dropped(self, **changed: Any) -> DrivenMembership:
        one = DrivenMembership("x")
        self.assertTrue(
            logged_count(one.deliver(snapshot_of("x", sequence=101, **changed)), "snapshots_dropped")
        )
        self.assertEqual(one.membership.known["x"].figures, SNAPSHOT_X)
        return one

    def me_15(self) -> None:
        one = self.dropped(connections=-1)
        actions = one.deliver(
            snapshot_of("x", sequence=102),
            announcements=(Announcement(snapshot_of("y", connections=-1)), Announcement(snapshot_of("z"))),
        )
        statuses = [one.status("y"), one.status("z")]
        self.assertEqual(
            (statuses, logged_count(actions, "snapshots_dropped")),
            ([MemberStatus.UNKNOWN, MemberStatus.SURE], 1),
        )

    def me_16(self) -> None:
        one = DrivenMembership("x", "y", "z")
        one.learn(*(Announcement(snapshot_of(f"m{at}")) for at in range(controller.MAX_MEMBERS - 3)))
        self.assertEqual(
            (len(one.membership.known), logged_count(one.deliver(snapshot_of("late")), "full")),
            (controller.MAX_MEMBERS, 1),
        )
        self.assertEqual(one.status("late"), MemberStatus.UNKNOWN)
        one.deliver(snapshot_of("x", sequence=200, state=State.GONE))
        one.deliver(snapshot_of("late"))
        self.assertEqual((one.status("late"), one.status("x")), (MemberStatus.SURE, MemberStatus.UNKNOWN))

    def me_17(self) -> None:
        one = DrivenMembership("x", node=True)
        for at in range(8):
            one.deliver(snapshot_of(f"n{at}", node=True, address=f"10.0.1.{at + 1}:1"))
        loads = tuple(Load(f"tenant-{at:050}", at) for at in range(1000))
        one.membership.announce(
            one.now, one.membership.pending_own._replace(loads=loads, parts={"moves": b"vote"})
        )
        full: list[str] = []
        for _ in range(3):
            one.membership.next_period_at = one.now + 1.0
            pushes = [
                send for send in sent_messages(one.advance(1.0)) if send.message.kind == MessageKind.PUSH
            ]
            self.assertEqual([push.message.sender.snapshot.parts["moves"] for push in pushes], [b"vote"] * 8)
            in_full = [push for push in pushes if push.message.sender.layers & SnapshotLayer.DETAIL]
            self.assertLessEqual(
                sum(len(wire.encode(push.message)) for push in in_full),
                1.2 * controller.DETAIL_BYTES_PER_PERIOD,
            )
            full += [push.address for push in in_full]
        self.assertEqual(len(set(full)), 8)

    def me_18(self) -> None:
        one = DrivenMembership("x", "y", "z")
        one.deliver(NODE_SNAPSHOT)
        one.membership.leave(one.now)
        actions = one.advance()
        self.spread(actions)
        self.assertEqual(
            {send.message.sender.snapshot.state for send in sent_messages(actions)}, {State.GONE}
        )
        self.assertEqual(
            (
                one.deliver(SNAPSHOT_X, MessageKind.PING, number=1, subject="me"),
                one.membership.next_advance_at(one.now),
            ),
            ([], inf),
        )

    def me_19(self) -> None:
        one = DrivenMembership("x")
        weights = [
            one.membership.view(one.now + age).members["x"].weight for age in (0.0, 2.0, 13.5, 33.5, 5000.0)
        ]
        self.assertEqual((weights[:2], sorted(weights, reverse=True)), ([1.0, 1.0], weights))
        self.assertAlmostEqual(weights[3], weights[2] / 4)
        self.assertGreater(weights[4], 0.0)
        self.assertEqual(one.membership.view(one.now + 5000.0).members["x"].snapshot.connections, 7)
        for status, weight in ((MemberStatus.UNSURE, 0.5), (MemberStatus.DEAD, 0.0)):
            self.assertEqual(
                DrivenMembership("y", "z").bring_to(status).membership.view(1000.0).members["x"].weight,
                weight,
            )

    def me_20(self) -> None:
        one, loads = DrivenMembership("x"), (Load("t", 5),)
        snapshot_seen = one.membership.known["x"].merged
        self.assertEqual((snapshot_seen.loads, snapshot_seen.rest), ((), Load("", 7, 2.0)))
        one.deliver(
            snapshot_of("x", sequence=101, loads=loads, rest=Load("", 2)), layers=SnapshotLayer.DETAIL
        )
        one.deliver(snapshot_of("x", sequence=102, connections=8))
        snapshot_seen = one.membership.known["x"].merged
        self.assertEqual(
            (snapshot_seen.connections, snapshot_seen.loads, snapshot_seen.rest), (8, loads, Load("", 2))
        )

    def me_21(self) -> None:
        queue, names = GossipQueue(), [f"m{at:03}" for at in range(100)]
        for name in names:
            queue.put(name, can_wait=name != "m077")
        queue.put("m077", can_wait=True)  # its earlier change has not been sent yet
        large = {"x" * 43 + str(at) for at in range(7)}  # their accusations don't fit into a mesh message

        def item(name: str) -> GossipItem:
            by = ("y" * 43 + str(at) for at in range(4)) if name in large else ()
            return GossipItem(
                Announcement(snapshot_of(name)),
                tuple(Accusation(name, INCARNATION, 0, Verdict.SUSPECTED, one) for one in by),
            )

        def pick_names(room: int) -> list[str]:
            return [one.announcement.snapshot.name for one in queue.pick(100, room, item)]

        all_ = pick_names(GOSSIP_BYTES)
        self.assertLessEqual(sum(item(name).size for name in all_), GOSSIP_BYTES)
        self.assertEqual(all_[0], "m077")
        while queue.transmissions:
            all_ += pick_names(GOSSIP_BYTES)
        self.assertEqual({all_.count(name) for name in names}, {21})  # 3 log2(102), rounded up
        for name in (*large, *names[:20]):
            queue.put(name, can_wait=False)
        self.assertEqual(
            {name for _ in range(20) for name in pick_names(MIN_MESH_GOSSIP_BYTES)}, set(names[:20])
        )
        self.assertLessEqual(large, {name for _ in range(2) for name in pick_names(GOSSIP_BYTES)})

    def me_22(self) -> None:
        seeds = tuple(f"10.1.0.{at}:1" for at in range(1, 7))
        one = DrivenMembership(is_silent=False, seeds=(*seeds, ADDRESSES["me"]))

        def beat() -> list[Send]:
            one.membership.next_period_at = one.now
            return sent_messages(one.advance())

        queried = {send.address for send in beat()}
        self.assertEqual((len(queried), queried <= set(seeds)), (3, True))
        one.membership.next_probe_at = inf
        one.deliver(snapshot_of("x", address=seeds[0]))
        for _ in range(6):
            (queried,) = (send.address for send in beat() if send.message.kind == MessageKind.PULL)
            self.assertNotEqual(queried, seeds[0])
        one.membership.next_sync_at = inf
        (table,) = messages_to(one.deliver(SNAPSHOT_Y, MessageKind.PULL), ADDRESSES["y"])
        self.assertEqual(sorted(announced.snapshot.name for announced in table.announcements), ["x", "y"])

    def me_23(self) -> None:
        for one, other, passes in (("abc", "def", lambda one, other: (one in "abc") == (other in "abc")),
                                   ("a", "b", lambda one, other: one == "a")):  # fmt: skip
            world = start_fleet(8, one + other, node="a")
            for each in world.processes.values():
                each.membership.seeds = ()
            world.passes, began = passes, world.now
            for half in (one, other):
                wait_for_agreement(world, half, 60.0 - world.now + began)
            world.run(140.0)  # each half declares the other one dead once, without flapping
            self.assertTrue(world.agree(one, one) and world.agree(other, other))
            self.assertEqual(len(world.deaths), 2 * len(one) * len(other))
            world.passes = lambda one, other: True
            wait_for_agreement(world, one + other, 20.0)

    def me_24(self) -> None:
        me = {"n": "x", "i": INCARNATION, "s": 100, "t": 1, "a": ADDRESSES["x"], "c": 9, "r": 2}
        old = {"k": 0, "m": me | {"l": [["t", 4], ["u", 3]]}}
        later = old | {"v": 2, "zz": [1, {"a": 2}], "m": me | {"new": [1], "l": [["t", 4, 0.5, 1, "more"]]}}

        def read(made: dict[str, Any]) -> Any:
            return wire.decode(msgpack.packb(made))

        for made, loads, rest in ((old, (Load("t", 4), Load("u", 3)), Load("", 2)),
                                  (later, (Load("t", 4, 0.5, 1),), Load("", 0))):  # fmt: skip
            one, announced = DrivenMembership(), read(made).sender
            self.assertEqual((announced.snapshot.loads, announced.snapshot.rest), (loads, rest))
            one.deliver(announced.snapshot, layers=announced.layers)
            self.assertEqual(one.membership.known["x"].merged, announced.snapshot)
        self.assertIsNone(read(old | {"k": 99}))
        self.assertEqual(
            limits.find_fault(read(old | {"m": me | {"t": 17}}).sender.snapshot, INCARNATION),
            "state is unknown",
        )

    def reads(
        self,
        data: bytes,
        why: str = "",
        credentials: wire.Credentials = CREDENTIALS,
        left: int = wire.POOL_BYTES,
        each: int = 4096,
    ) -> list[wire.CompleteMessage]:
        """Feed data in pieces of `each` bytes; `why`: the error that closes the link, if any."""
        reader, got = wire.MessageReader(credentials, wire.BufferPool(left)), []
        with self.assertRaisesRegex(routers_wire.InvalidFrameError, why) if why else nullcontext():
            for at in range(0, len(data), each):
                got += reader.feed(data[at : at + each])
        reader.close()
        self.assertEqual(reader.buffer_pool.available, left)
        return got

    def me_25(self) -> None:
        credentials = CREDENTIALS._replace(key=wire.derive_key("secret"))
        keyless, body = credentials._replace(key=b""), bytes(range(256)) * 40
        sent, plain = (wire.encode_notifications("members", body, each) for each in (credentials, keyless))
        self.reads(sent, "message of another fleet", credentials._replace(fleet="other"))
        self.reads(sent, "MAC", credentials._replace(key=wire.derive_key("wrong")))
        for spoiled in (sent.replace(b"\x07\x08\x09", b"\x07\x09\x09", 1), plain):
            self.reads(spoiled, "MAC", credentials)
        for reads in (credentials, keyless):
            (whole,) = self.reads(sent, "", reads, each=100)
            self.assertEqual(whole, wire.CompleteMessage("members", "x", ADDRESSES["x"], body))

    def me_26(self) -> None:
        one = DrivenMembership("x", "y")
        for hears, changed, more in (
            (True, {"sequence": 101, "connections": 99}, 0), (True, {"sequence": 102, "since": 5.0}, 0),
            (True, {"sequence": 103, "state": State.LEAVING}, 1), (True, {"incarnation": INCARNATION + 1}, 1),
            (False, {"connections": 4, "room": 9}, 0), (False, {"state": State.LEAVING}, 1),
            (False, {"state": State.COLD}, 0),
        ):  # fmt: skip
            before = one.membership.version
            if hears:
                one.deliver(snapshot_of("x", **changed))
            else:
                one.membership.announce(one.now, one.membership.pending_own._replace(**changed))
            self.assertEqual(one.membership.version - before, more)
        self.assertEqual(one.membership.view(one.now).members["me"].snapshot.state, State.LEAVING)

    def me_27(self) -> None:
        one = DrivenMembership("x", "y")

        def summaries(actions: list[Any]) -> Any:
            return [
                (message.kind, message.number, message.subject)
                for message in messages_to(actions, ADDRESSES["y"])
            ]

        self.assertEqual(
            summaries(one.deliver(SNAPSHOT_Y, MessageKind.PING_REQUEST, number=5, subject="nobody")),
            [(MessageKind.NACK, 5, "nobody")],
        )
        (ping,) = messages_to(
            one.deliver(SNAPSHOT_Y, MessageKind.PING_REQUEST, number=6, subject="x"), ADDRESSES["x"]
        )
        self.assertEqual(one.membership.next_advance_at(one.now), one.now + 0.25)
        self.assertEqual(
            (summaries(one.advance(0.25)), one.membership.relays), ([(MessageKind.NACK, 6, "x")], {})
        )
        (ping,) = messages_to(
            one.deliver(SNAPSHOT_Y, MessageKind.PING_REQUEST, number=8, subject="x"), ADDRESSES["x"]
        )
        self.assertEqual(
            summaries(one.deliver(SNAPSHOT_X, MessageKind.ACK, number=ping.number, subject="x")),
            [(MessageKind.ACK, 8, "x")],
        )
        one.membership.relays = {
            at: controller.Relay(OTHER_ADDRESS, at, "x", inf) for at in range(controller.MAX_RELAYS)
        }
        self.assertEqual(
            summaries(one.deliver(SNAPSHOT_Y, MessageKind.PING_REQUEST, number=9, subject="x")),
            [(MessageKind.NACK, 9, "x")],
        )
        self.me_3(
            *(
                (by, MessageKind.NACK, 0, "x", True, MemberStatus.UNSURE, 5 - len(by))
                for by in ("", "y", "yz")
            )
        )

    def me_28(self) -> None:
        one = self.dropped(state=State.COLD)
        new = snapshot_of("x", incarnation=INCARNATION + 1, sequence=1, state=State.COLD)
        one.deliver(new)
        self.assertEqual(one.membership.known["x"].figures, new)

    def me_29(self) -> None:
        sent = (BytesIO(wire.encode_notifications(word, bytes(20000), CREDENTIALS)) for word in "wv")
        w, v = ([msgpack.packb(part) for part in msgpack.Unpacker(each)] for each in sent)
        self.assertEqual(len(w), 4)
        self.reads(w[1], "starts with a later part")
        for second in (w[2], w[0], v[1]):
            self.reads(w[0] + second, "does not follow")
        for left, count in ((10_000, 20_000), (wire.POOL_BYTES, wire.MAX_MESSAGE_BYTES + 1)):
            self.reads(wire.encode_notifications("w", bytes(count), CREDENTIALS), "too long", left=left)
        (whole,) = self.reads(wire.encode_notifications("w", bytes(wire.MAX_MESSAGE_BYTES), CREDENTIALS))
        self.assertEqual(len(whole.body), wire.MAX_MESSAGE_BYTES)
        reader = wire.MessageReader(CREDENTIALS, wire.BufferPool())
        self.assertEqual((reader.feed(w[0]), reader.is_incomplete()), ([], True))
        (whole,) = reader.feed(b"".join(w[1:]))
        self.assertEqual(
            (len(whole.body), reader.is_incomplete(), reader.buffer_pool.available),
            (20000, False, wire.POOL_BYTES),
        )

    def me_30(self) -> None:
        one, next_ = DrivenMembership("x", "y", "z"), 0
        one.membership.probe_round = ["y", "x", "z"]
        one.accuse(Verdict.SUSPECTED, "y")
        one.membership.next_probe_at = one.now
        self.assertEqual(
            [message.kind for message in messages_to(one.advance(), ADDRESSES["x"])], [MessageKind.PING]
        )
        for seed in range(100):  # with many members only a few probe it next
            one = DrivenMembership("x", "y").learn(*(Announcement(snapshot_of(f"m{at}")) for at in range(97)))
            one.membership.rng, one.membership.probe_round = Random(seed), ["y"]
            one.accuse(Verdict.SUSPECTED, "y")
            next_ += one.membership.probe_round[-1] == "x"
        self.assertTrue(0 < next_ < 10, next_)

    def me_31(self) -> None:
        one = DrivenMembership("x", "y", "z")
        for by, status in (("y", MemberStatus.UNSURE),) * 3 + (("z", MemberStatus.DEAD),):
            one.accuse(Verdict.DEAD, by)
            self.assertEqual(
                (one.status(), one.membership.next_advance_at(one.now) < inf),
                (status, status == MemberStatus.UNSURE),
            )

    def me_32(self) -> None:
        one = DrivenMembership("x", "y")

        def count_answers(asker: Snapshot) -> tuple[int, int]:
            """Send 100 pulls; return the number of full tables sent and of pulls rejected."""
            actions = [action for _ in range(100) for action in one.deliver(asker, MessageKind.PULL)]
            whole = [
                message for message in messages_to(actions, asker.address) if len(message.announcements) == 2
            ]
            return len(whole), logged_count(actions, "pulls_turned_away")

        self.assertEqual((count_answers(SNAPSHOT_Y), count_answers(SNAPSHOT_X)), ((1, 99), (1, 99)))
        one.membership.next_period_at = one.now
        one.advance()
        self.assertEqual(count_answers(SNAPSHOT_Y), (1, 99))
        # Two entries each.
        one.membership.synced = {str(at) for at in range(controller.MAX_SYNC_ENTRIES // 2)}
        self.assertEqual(count_answers(SNAPSHOT_X), (0, 100))
        one.membership.synced.remove("0")
        self.assertEqual(count_answers(SNAPSHOT_X), (1, 99))

    def me_33(self) -> None:
        seeds = tuple(f"10.1.0.{at}:1" for at in range(1, 6))
        one = DrivenMembership(seeds=(*seeds, ADDRESSES["me"]), node=True)
        x, y = (snapshot_of(name, address=address) for name, address in zip("xy", seeds[:2], strict=True))
        table, invalid = (Announcement(y),), (Announcement(snapshot_of("", address=seeds[4])),)

        def queried() -> set[str]:
            one.membership.next_period_at = one.now
            return {
                send.address for send in sent_messages(one.advance()) if send.message.kind == MessageKind.PULL
            }

        def left() -> int:
            return one.membership.view(one.now).unanswered_seeds

        self.assertEqual(left(), 5)
        one.deliver(x, MessageKind.PULL)  # a request does not count as an answer
        self.assertEqual((left(), one.status()), (5, MemberStatus.SURE))
        self.assertIn(seeds[0], {seed for _ in range(60) for seed in queried()})
        for hears, count in (
            (lambda: one.deliver(x), 4),
            (lambda: one.deliver(x, MessageKind.ACK), 4),
            (lambda: one.deliver(snapshot_of("z"), announcements=table), 3),
            (lambda: one.deliver(snapshot_of("z"), announcements=invalid), 3),
            (lambda: one.membership.connect_refused(one.now, seeds[2]), 2),
            (lambda: one.membership.connect_refused(one.now, OTHER_ADDRESS), 2),
        ):
            hears()
            self.assertEqual(left(), count)
        self.assertNotIn(seeds[0], {seed for _ in range(60) for seed in queried()})
        before = one.membership.version
        one.membership.connect_refused(one.now, seeds[3])
        self.assertEqual((left(), one.membership.version), (1, before))
        one.membership.reconfigure(
            one.now, (*seeds[:4], "10.1.0.9:1"), 1.0
        )  # the last seed is no longer configured
        self.assertEqual(left(), 0)
        last = DrivenMembership(seeds=seeds[:1], node=True)
        before = last.membership.version
        last.membership.connect_refused(last.now, seeds[0])
        self.assertEqual(
            (last.membership.version, last.membership.view(last.now).unanswered_seeds), (before + 1, 0)
        )


def layered(sequence: int, layers: int) -> Announcement:
    parts = {"moves": b"%d" % sequence} if layers & SnapshotLayer.PARTS else {}
    loads = (Load(f"t{sequence}", sequence),) if layers & SnapshotLayer.DETAIL else ()
    return Announcement(
        snapshot_of("x", sequence=sequence, connections=sequence, parts=parts, loads=loads), 0.0, layers
    )


class Properties(unittest.TestCase):
    @DETERMINISTIC
    @given(st.lists(st.builds(layered, st.integers(1, 6), st.integers(0, 3)), min_size=1, max_size=6),
           st.randoms(use_true_random=False))  # fmt: skip
    def test_order_and_repetition_do_not_matter(self, announced: list[Announcement], rng: Random) -> None:
        again = [*announced, *rng.choices(announced, k=3)]
        rng.shuffle(again)
        snapshot_seen, wanted = (
            DrivenMembership("y").learn(*received).membership.known["x"].merged
            for received in (again, announced)
        )
        self.assertEqual(snapshot_seen, wanted)

    @DETERMINISTIC
    @given(st.lists(st.tuples(st.sampled_from("abcdefgh"), st.integers(1, 9)), max_size=40),
           st.integers(0, 40))  # fmt: skip
    def test_sketch(self, stream: list[tuple[str, int]], cut: int) -> None:
        true = dict.fromkeys("abcdefgh", 0)
        one, other, whole = (load_sketch.LoadSketch(4) for _ in range(3))
        for at, (name, amount) in enumerate(stream):
            true[name] += amount
            for each in (whole, other if at >= cut else one):
                each.add(name, amount)
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
        self.assertLessEqual(max(whole.errors.values(), default=0), whole.total / 4)
        self.assertEqual(merged.counts, back.counts)

    def test_largest(self) -> None:
        held = [(f"t{at}", at, at / 10) for at in range(10)]
        loads, rest = load_sketch.largest_loads(held, 3)
        self.assertEqual([load.tenant for load in loads], ["t9", "t8", "t7"])
        self.assertEqual((rest.connections, round(rest.opened, 6), rest.over), (21, 2.1, 0))
        self.assertEqual(load_sketch.largest_loads(held)[1], Load("", 0, 0))


KNOWN_NAMES = st.sampled_from(["me", "x", "y", "z", "w"])
INCARNATIONS = st.integers(INCARNATION - 1, INCARNATION + 2)
SNAPSHOTS = st.builds(
    lambda name, *more: Snapshot(name, name in "yw", *more),
    KNOWN_NAMES,
    INCARNATIONS,
    st.sampled_from([0, 1, 99, 101, 150, EPOCH_SEQUENCES, EPOCH_SEQUENCES + 5, 3 * EPOCH_SEQUENCES]),
    st.sampled_from(State),
    st.sampled_from([*ADDRESSES.values(), OTHER_ADDRESS]),
)
MESSAGE_FIELDS = st.fixed_dictionaries({
    "kind": st.sampled_from(MessageKind), "uptime": st.floats(0, 100), "number": st.integers(0, 5),
    "subject": st.sampled_from(["", "me", "x", "w"]), "age": st.floats(0, 200), "layers": st.integers(0, 3),
})  # fmt: skip


class RandomMessages(RuleBasedStateMachine):
    """Arbitrary messages in any order: snapshots never become older, and no table grows without bound."""

    def __init__(self) -> None:
        super().__init__()
        self.one = DrivenMembership("x", "y", "z", is_silent=False, node=True)
        self.orders: dict[str, tuple[int, int]] = {}
        self.version, self.own = 0, self.one.membership.own.order

    @rule(snapshot=SNAPSHOTS, fields=MESSAGE_FIELDS)
    def hears(self, snapshot: Snapshot, fields: dict[str, Any]) -> None:
        self.one.deliver(snapshot, **fields)

    @rule(
        accuse=st.builds(
            Accusation,
            KNOWN_NAMES,
            INCARNATIONS,
            st.integers(0, 2),
            st.sampled_from(Verdict),
            st.sampled_from("xyzw"),
        )
    )
    def accuse(self, accuse: Accusation) -> None:
        self.one.deliver(SNAPSHOT_Y, MessageKind.PUSH, accuse)

    @rule(span=st.sampled_from([0.1, 0.3, 1.0, 5.0, 50.0]))
    def time_passes(self, span: float) -> None:
        wait_until = self.one.now + span
        while (at := self.one.membership.next_advance_at(self.one.now)) <= wait_until:
            self.one.now = max(self.one.now, at)
            self.one.membership.advance(self.one.now)
        self.one.advance(wait_until - self.one.now)

    @rule(span=st.sampled_from([2.5, 40.0]))
    def stands_still(self, span: float) -> None:
        self.one.now += span
        before = [
            name for name, known in self.one.membership.known.items() if known.status == MemberStatus.SURE
        ]
        assert not logged_count(self.one.membership.advance(self.one.now), "now_dead")
        assert all(self.one.status(name) == MemberStatus.SURE for name in before)

    @rule(connections=st.integers(0, 9), state=st.sampled_from([State.COLD, State.SERVING, State.LEAVING]))
    def says(self, **figures: Any) -> None:
        self.one.membership.announce(self.one.now, self.one.membership.pending_own._replace(**figures))

    @invariant()
    def holds(self) -> None:
        membership, now = self.one.membership, self.one.now
        view = membership.view(now)
        assert view.version >= self.version and view.members["me"].trust == Trust.SURE
        assert membership.own.order >= self.own and membership.own.address == ADDRESSES["me"]
        self.version, self.own = view.version, membership.own.order
        orders = {name: known.figures.order for name, known in membership.known.items()}
        assert all(orders[name] >= self.orders[name] for name in orders.keys() & self.orders.keys())
        self.orders = orders
        for name, known in membership.known.items():
            assert (
                (known.suspicion is not None)
                == (known.status == MemberStatus.UNSURE)
                == (name in membership.suspected)
            )
            assert (known.figures.state == State.GONE) == (known.status == MemberStatus.GONE)
            assert 0.0 <= view.members[name].weight <= 1.0 and view.members[name].age >= 0.0
        assert (
            membership.suspected <= membership.known.keys()
            and membership.gossip.transmissions.keys() <= membership.known.keys()
        )
        assert (
            len(membership.relays) <= controller.MAX_RELAYS
            and len(membership.corrected) <= controller.MAX_CORRECTIONS
        )
        assert 0 <= membership.health <= controller.MAX_HEALTH_SCORE and "me" not in membership.known


RandomMessagesTest = RandomMessages.TestCase
RandomMessagesTest.settings = settings(DETERMINISTIC, max_examples=60, stateful_step_count=40, database=None)


# A small model, explored exhaustively: three processes, message losses, two restarts.

NAMES = "xyz"
DISTURBANCES = ("none", *(f"{what} {name}" for what in ("cut", "mute", "deaf", "restart") for name in NAMES))


def passes(disturbance: str, one: str, other: str) -> bool:
    return disturbance[-1] not in {"cut": one + other, "mute": one, "deaf": other}.get(disturbance[:-2], "")


class ModelState(Simulated):
    """One state of the model, with the number of restarts left."""

    restarts = 2

    def disturb(self, disturbance: str) -> None:
        self.passes = partial(passes, disturbance)
        if not disturbance.startswith("restart"):
            return self.run(6.0)
        name = disturbance[-1]  # one restart with a clock that is behind, one without
        old = self.processes[name]
        old.alive = False
        self.restarts -= 1
        self.begin(name, old.membership.own.incarnation + (-5 if self.restarts else 5))
        self.run(1.0)

    def begin(self, name: str, incarnation: int) -> None:
        others = [ADDRESSES[other] for other in NAMES if other != name]
        self.start(name, name == "x", others, ADDRESSES[name], incarnation=incarnation)

    def _hear(self, one: Any, message: Message) -> None:
        membership = one.membership
        before = membership.own.order, {name: known.figures.order for name, known in membership.known.items()}
        super()._hear(one, message)
        kept = all(
            known.figures.order >= before[1].get(name, (0, 0)) for name, known in membership.known.items()
        )
        assert kept and membership.own.order >= before[0], f"{one.name} went back"

    def wait_for_agreement(self, alive: str) -> None:
        """Check that without losses all live processes agree on the newest incarnations."""
        self.passes = partial(passes, "none")

        def incarnations(name: str) -> set[tuple[str, int]]:
            members = self.view(name).members.values()
            return {(one.name, one.snapshot.incarnation) for one in members if one.is_present}

        def right() -> bool:
            own = {(name, self.processes[name].membership.own.incarnation) for name in alive}
            return self.agree(alive, alive) and all(incarnations(name) == own for name in alive)

        assert self.until(right, 72.0, 1.0) < 72.0


class SmallModel(unittest.TestCase):
    def explored(self, frozen: bytes, depth: int) -> Iterator[bytes]:
        for disturbance in DISTURBANCES if depth else ():
            world = pickle.loads(frozen)
            if world.restarts or not disturbance.startswith("restart"):
                world.disturb(disturbance)
                yield (after := pickle.dumps(world, -1))
                yield from self.explored(after, depth - 1)

    def test_whole(self) -> None:
        world, leaves = ModelState(), []
        for name in NAMES:
            world.begin(name, INCARNATION)
        world.disturb("none")
        for frozen in self.explored(pickle.dumps(world, -1), 3):
            world = pickle.loads(frozen)
            world.wait_for_agreement(NAMES)
            world.kill("z")  # its death must be detected
            world.wait_for_agreement("xy")
            leaves.append(frozen)
        self.assertGreater(len(leaves), 2000)


class NetworkFaults(unittest.TestCase):
    """Simulated time: message losses, links cut in one direction, many simultaneous starts."""

    def test_losses_and_one_way_cuts_kill_nobody(self) -> None:
        for seed, count, nodes, loss, cut in (
            (11, 16, 2, 0.1, ()), (12, 3, 1, 0.0, ("m0", "m1")), (12, 3, 1, 0.0, ("m1", "m0")),
            (12, 12, 1, 0.0, ("m3", "m4")),
        ):  # fmt: skip
            world = Simulated(seed, loss=loss)
            *others, last = (one.name for one in world.fleet(count, nodes))
            world.passes = lambda one, other, cut=cut: (one, other) != cut
            world.run(120.0)
            self.assertEqual(world.deaths, [])
            self.assertTrue(loss or not any(one.notes["now_unsure"] for one in world.processes.values()))
            world.kill(last)
            world.run(70.0)
            self.assertEqual([world.trust(name, last) for name in others], [Trust.DEAD] * (count - 1))

    def test_many_start_at_once(self) -> None:
        world, names = Simulated(14), [f"s{at}" for at in range(60)]
        for at, name in enumerate(names):
            world.start(name, others=names[:3] if at > 2 else names[: min(at, 1)])
        wait_for_agreement(world, names, 25.0)
        self.assertEqual(world.deaths, [])


# Invalid input.

INVALID_VALUES: dict[str, tuple[Any, ...]] = {
    "name": ("", "x" * 65, "a\nb", "\x00"),
    "incarnation": (-1, INCARNATION + 86_400_001),
    "sequence": (-1, 1 << 52),
    "state": (9,),
    "serves": ("elsewhere",),
    "address": (
        "",
        "host:1",
        "10.0.0.1",
        "10.0.0.1:0",
        "10.0.0.1:070",
        "::1:7",
        "[10.0.0.1]:7",
        "[::01]:7",
        "10.0.0.1:" + "9" * 500,
        "10.0.0.1%eth0:80",
        *(
            f"[fe80::1%{scope}]:80"
            for scope in (
                "",
                "a\0b",
                "[",
                "]",
                "[]",
                "a b",
                " ",
                "a\n",
                "a/b",
                "a:b",
                "\u0131",
                "%",
                "e" * 16,
            )
        ),
    ),
    "since": (-1.0, nan, inf, 1e10),
    "connections": (-1, 1 << 32),
    "room": (-5,),
    "opened": (-0.1, nan, 1e12),
    "loads": (
        (Load("", 1),),
        (Load("t", -1),),
        (Load("t", 1, 0.0, 2),),
        (Load("t", 1, nan),),
        (Load("t", 1), Load("t", 2)),
        (Load("t" * 65, 1),),
        tuple(Load(str(at), 1) for at in range(MAX_LOADS + 1)),
    ),
    "rest": (Load("t", 1), Load("", 1, -1.0)),
    "holds": (("",), ("a", "a"), tuple(map(str, range(1025)))),
    "parts": ({"": b""}, {"a": bytes(8193)}, {str(at): b"" for at in range(9)}),
}


def head(name: str = "x", part: int = 0, parts: int = 1) -> bytes:
    return msgspec.msgpack.encode(wire.Head("f", name, ADDRESSES["x"], part, parts))


INVALID_FRAMES: tuple[bytes, ...] = (
    b"\xc1", b"GET / HTTP/1.1\r\n\r\n", bytes(100), b"\xdf\xff\xff\xff\xff", b"\x93" * 3000,
    *map(msgpack.packb, (
        {"a": 1}, [0, 1, "alive", [{}]], [1, 1, None, []], [2, 5, [head()]], [2, "w" * 33, [head()]],
        [2, "cancelRequest", [1]], *([2, "members", announced] for announced in (
            [], ["text"], [b"\xc1"], [head(), "text"], [head()] * 5, [head(), bytes(2049)], [head("x" * 65)],
            [head(parts=0)], [head(parts=1 << 40)], [head(part=-1, parts=3)])))),
)  # fmt: skip
MEMBER_FIELDS = {"n": "x", "i": 1, "s": 1, "t": 1, "a": "b"}
INVALID_BODIES: tuple[bytes, ...] = (
    b"",
    b"\xc1",
    b"\x82\xa1k\x00\xa1m\x81\xa1n\xa2\xff\xfe",
    *map(
        msgpack.packb,
        (
            [],
            {},
            {"k": 0},
            {"k": "0", "m": 1},
            {"k": 0, "m": {"n": 5}},
            *(
                {"k": 0, "m": MEMBER_FIELDS} | more
                for more in ({"u": nan}, {"u": -1.0}, {"b": "x" * 65}, {"r": [["x"]]})
            ),
            *(
                {"k": 0, "m": MEMBER_FIELDS | more}
                for more in ({"i": "1"}, {"c": 0.5}, {"l": [[1, 2]]}, {"p": {"a": "text"}}, {"s": None})
            ),
        ),
    ),
)


class BadInput(unittest.TestCase):
    def test_snapshots(self) -> None:
        self.assertEqual(limits.find_fault(SNAPSHOT_X, INCARNATION), "")
        for name, values in INVALID_VALUES.items():
            for value in values:
                with self.subTest(name, value=str(value)[:60]):
                    self.assertNotEqual(limits.find_fault(snapshot_of("x", **{name: value}), INCARNATION), "")
        for age in (-1.0, nan, inf):
            one = DrivenMembership("y")
            one.deliver(SNAPSHOT_X, age=age)
            self.assertEqual(one.status(), MemberStatus.UNKNOWN)

    def test_places(self) -> None:
        for text in ("10.0.0.1:80", "[::1]:7", "[fe80::1]:80", "[fe80::1%eth0]:80", "[fe80::1%br-0.7_a]:80",
                     "[fe80::1%" + "e" * 15 + "]:80"):  # fmt: skip
            with self.subTest(text):
                self.assertTrue(limits.is_canonical_address(text))
                self.assertEqual(
                    str(service_config.HostPort.parse(text)), text
                )  # must read the same as in the configuration

    def test_noise(self) -> None:
        for invalid in INVALID_FRAMES:
            with self.subTest(invalid[:40]), self.assertRaises(routers_wire.InvalidFrameError):
                wire.MessageReader(CREDENTIALS, wire.BufferPool()).feed(invalid)
        for body in INVALID_BODIES:
            with self.subTest(body[:40]), self.assertRaises(routers_wire.InvalidFrameError):
                wire.decode(body)

    @DETERMINISTIC
    @given(st.binary(max_size=200))
    def test_any_octets(self, data: bytes) -> None:
        reader = wire.MessageReader(CREDENTIALS, wire.BufferPool())
        with suppress(routers_wire.InvalidFrameError):
            reader.feed(data)
            self.assertTrue(reader.is_incomplete() or not data)

    def test_there_and_back(self) -> None:
        full = snapshot_of("x", serves="10.0.0.9:2", since=2.5, loads=(Load("t", 4, 0.5, 1), Load("u", 2)),
                  rest=Load("", 1, 0.25), holds=("t", "u"), parts={"moves": b"\x00\x01"})  # fmt: skip
        accusations = (
            Accusation("x", INCARNATION, 2, Verdict.DEAD, "y"),
            Accusation("y", 1, 0, Verdict.SUSPECTED, "z"),
        )
        for layers in (
            SnapshotLayer.FIGURES,
            SnapshotLayer.PARTS,
            SnapshotLayer.PARTS | SnapshotLayer.DETAIL,
        ):
            one = Message(
                MessageKind.PING_REQUEST,
                Announcement(full, 1.5, layers),
                7.25,
                9,
                "z",
                (Announcement(SNAPSHOT_X, 0.5),),
                accusations,
            )
            wanted = (
                full if layers & SnapshotLayer.DETAIL else full._replace(loads=(), rest=Load("", 0), holds=())
            )
            wanted = wanted if layers & SnapshotLayer.PARTS else wanted._replace(parts={})
            self.assertEqual(
                wire.decode(wire.encode(one)), one._replace(sender=Announcement(wanted, 1.5, layers))
            )


class AppServer(unittest.TestCase):
    def test_where_it_serves(self) -> None:
        for host, port, wanted in (("127.0.0.1", 7, "127.0.0.1:7"), ("::1", 7, "[::1]:7"),
                                   ("[::1]", 7, "[::1]:7"), ("there", 7, ""), ("::1", 0, "")):  # fmt: skip
            self.assertEqual(service_address(host, port), wanted)

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
        one, up = ServerLoad(1000.0), ServerStatus(True, True, 1010.0, None, 0, 0, 40, 100)
        self.assertEqual(one.fields(1000.0), {"state": State.COLD, "room": 0})

        def looks(at: float, accepted: int = 120, **changed: Any) -> tuple[State, int]:
            one.update(at, up._replace(**changed), accepted)
            return one.fields(at)["state"], one.fields(at)["room"]

        self.assertEqual(looks(1000.25, 10), (State.COLD, 0))
        seen = {looks(1010.0 + at / 4, 20 + at) for at in range(100)}
        self.assertEqual((seen, one.fields(1035.0)["connections"]), ({(State.SERVING, 60)}, 40))
        self.assertAlmostEqual(one.fields(1035.0)["opened"], 4.0, delta=0.1)
        self.assertFalse(one.query_sent(1035.0))
        self.assertEqual(
            [one.fields(at)["room"] for at in (1035.1, 1040.0)], [60, 0]
        )  # no answer within the timeout
        self.assertTrue(one.query_sent(1040.0))
        self.assertEqual(looks(1041.0, is_processor_connected=False), (State.SERVING, 0))
        self.assertEqual(looks(1042.0), (State.SERVING, 60))
        one.start_draining()
        self.assertEqual(looks(1043.0), (State.LEAVING, 0))


# Real sockets.

PERIOD = 0.2


def unused_address() -> service_config.HostPort:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return service_config.HostPort.parse(f"127.0.0.1:{sock.getsockname()[1]}")


def configured(*others: service_config.HostPort, **more: Any) -> Members:
    return Members(address=unused_address(), others=others, period=PERIOD, **more)


def fleet(name: str, *others: MembershipService, **more: Any) -> MembershipService:
    section = configured(*(other.config.address for other in others), **more)
    return MembershipService(section, Snapshot(name, True, incarnation(), 0, State.SERVING, ""), 5)


async def wait_until(true: Callable[[], Any], within: float = 10.0) -> Any:
    with anyio.fail_after(within):
        while not (found := true()):
            await anyio.sleep(0.01)
    return found


@asynccontextmanager
async def running_services(*ones: MembershipService, meet: bool = True) -> AsyncIterator[anyio.abc.TaskGroup]:
    """Run the services during the block, which begins once all of them have seen each other."""
    async with anyio.create_task_group() as tasks:
        for one in ones:
            tasks.start_soon(one.run)
        if meet:
            await wait_until(lambda: all_have_seen(*ones))
        yield tasks
        tasks.cancel_scope.cancel()


@asynccontextmanager
async def running_links(
    link_limits: transport.LinkLimits, refused: Callable[[str], None] = lambda _: None
) -> AsyncIterator[tuple[transport.Links, service_config.HostPort, list[Any]]]:
    address, received = unused_address(), list[Any]()
    one = transport.Links(link_limits, PERIOD, CREDENTIALS, received.append, refused)
    assert not one.send(str(address), b"")
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(one.run, str(address.ip), address.port)
        await wait_until(lambda: one.tasks)
        yield one, address, received
        tasks.cancel_scope.cancel()


async def connect_to(address: service_config.HostPort, data: bytes = b"") -> anyio.abc.SocketStream:
    stream = await anyio.connect_tcp(str(address.ip), address.port)
    with suppress(anyio.BrokenResourceError):
        await stream.send(data)
    return stream


def has_seen(one: MembershipService, name: str) -> bool:
    member = one.view().members.get(name)
    return bool(member and member.trust == Trust.SURE and member.snapshot.state == State.SERVING)


def all_have_seen(*ones: MembershipService) -> bool:
    return all(has_seen(one, other.membership.own.name) for one in ones for other in ones)


def snapshot_seen(one: MembershipService, name: str) -> Snapshot:
    return one.view().members[name].snapshot


def counter(what: str) -> int:
    return logs.counters["members_" + what]


class Sockets(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        logs.counters.clear()

    async def test_three(self) -> None:
        a = fleet("a", key="secret")
        b, c = (fleet(name, a, key="secret") for name in "bc")
        received: list[tuple[str, bytes]] = []
        views: list[View] = []
        a.add_receiver("seats", lambda name, body: received.append((name, body)))
        a.changed = lambda: views.append(a.view())
        self.assertFalse(b.send("a", "seats", b"early"))
        async with running_services(a, b, c) as tasks:
            bodies = [b"hello", bytes(wire.MAX_BODY_BYTES)]
            self.assertEqual([b.send("a", "seats", body) for body in bodies], [True, True])
            await wait_until(lambda: received == [("b", body) for body in bodies])
            self.assertFalse(b.send("a", "seats", bytes(wire.MAX_BODY_BYTES + 1)))
            self.assertFalse(b.send("nobody", "seats", b""))
            b.announce(connections=5, loads=(Load("t", 5),), holds=("t",), parts={"moves": b"v"})
            announced = await wait_until(lambda: snapshot_seen(a, "b").holds and snapshot_seen(a, "b"))
            self.assertEqual((announced.loads, announced.connections), ((Load("t", 5),), 5))
            self.assertEqual(announced.parts, {"moves": b"v"})
            await anyio.sleep(4 * PERIOD)
            second = fleet("b", a, b, key="secret")
            tasks.start_soon(second.run)
            await wait_until(lambda: second.conflict)
            self.assertIn(str(b.config.address), second.conflict)
            self.assertEqual(snapshot_seen(a, "b").address, str(b.config.address))
            self.assertEqual((b.conflict, second.send("a", "seats", b"")), ("", False))
            b.leave()
            await wait_until(lambda: snapshot_seen(a, "b").state == State.GONE)
            self.assertEqual(a.view().members["b"].trust, Trust.DEAD)
            self.assertEqual([view.version for view in views], sorted({view.version for view in views}))

    async def test_trouble_on_the_listener(self) -> None:
        a = fleet("a")
        b, address = fleet("b", a), a.config.address
        credentials = CREDENTIALS._replace(fleet="thymeyoke")
        async with running_services(a, b):
            for data, what in (
                (INVALID_FRAMES[0], "bad_frame"), (b"\x93\x02\xa7mem", "half_said"), (b"", "half_said"),
                (wire.encode_notifications("seats", b"", credentials), "from_nobody"),
                (wire.encode_notifications("members", b"", credentials._replace(fleet="o")), "other_fleet"),
                (wire.encode_notifications("members", bytes(500_000), credentials) * 5, "bad_frame"),
            ):  # fmt: skip
                before = counter(what)
                stream = await connect_to(address, data)
                await wait_until(lambda what=what, before=before: counter(what) > before)
                await stream.aclose()
            for stream in [await connect_to(address) for _ in range(40)]:
                await stream.aclose()
            self.assertTrue(all_have_seen(a, b))
            self.assertEqual(counter("now_dead"), 0)
        self.assertEqual(
            (a.links.outbound, a.links.inbound, a.links.buffer_pool.available), ({}, set(), wire.POOL_BYTES)
        )

    async def test_file_read_anew(self) -> None:
        a, b = fleet("a"), fleet("b")
        async with running_services(a, b, meet=False):
            await anyio.sleep(2 * PERIOD)
            b.reconfigure(msgspec.structs.replace(b.config, others=(a.config.address,), period=PERIOD / 2))
            await wait_until(lambda: all_have_seen(a, b))
            incarnation = snapshot_seen(a, "b").incarnation
            a.reconfigure(msgspec.structs.replace(a.config, key="secret"))
            await wait_until(lambda: counter("bad_key"))
            b.reconfigure(msgspec.structs.replace(b.config, key="secret", period=PERIOD))
            await wait_until(lambda: all_have_seen(a, b))
            self.assertEqual(snapshot_seen(a, "b").incarnation, incarnation)

    async def test_app_server(self) -> None:
        watch, name = fleet("watch"), "toy-1"
        section = configured(watch.config.address)
        given_ = {
            "settings__contract__drain_grace_us": 2_000_000,
            "stop_ms": 5000,
            "listen": str(unused_address()),
        }
        async with running_services(watch):
            with anyio.fail_after(15):
                async with running_server(orders=lambda: {"members": section}, **given_) as here:
                    await wait_until(lambda: has_seen(watch, name))
                    await wait_until(lambda: snapshot_seen(watch, name).room > 0)
                    announced = snapshot_seen(watch, name)
                    self.assertEqual((announced.serves, announced.node), (str(here.where), False))
                    router = await here.router()
                    await wait_until(lambda: snapshot_seen(watch, name).connections == 1)
                    signal.raise_signal(signal.SIGTERM)
                    await wait_until(lambda: snapshot_seen(watch, name).state == State.LEAVING)
                    self.assertEqual(snapshot_seen(watch, name).room, 0)
                    await router.reset()
                    await here.ended.wait()
            await wait_until(lambda: snapshot_seen(watch, name).state == State.GONE)

    async def test_probe(self) -> None:
        extension.check_host(configured())
        with self.assertRaises(extension.HostConfigurationError):
            extension.check_host(Members(address=service_config.HostPort.parse("192.0.2.77:6001")))

    async def test_bounds_of_links(self) -> None:
        self.assertEqual(
            (
                transport.SERVER_LINKS.outbound + transport.SERVER_LINKS.inbound,
                transport.NODE_LINKS.inbound >= 1024,
            ),
            (48, True),
        )
        flood = transport.ByteRateLimiter(100.0, 8.0)
        for now, count, taken in (
            (0.0, transport.MAX_BURST_BYTES, True),
            (0.0, 1, False),
            (4.0, transport.MAX_BURST_BYTES // 4, True),
        ):
            self.assertEqual(flood.consume(100.0 + now, count), taken)
        link = transport.OutboundLink("127.0.0.1:1", 1.0)  # `run` is not called, so nothing is written
        took = [link.send(b"letter") for _ in range(transport.MAX_UNSENT_MESSAGES + 1)]
        self.assertEqual(
            (took, link.scope.cancel_called), ([True] * transport.MAX_UNSENT_MESSAGES + [False], True)
        )
        self.assertEqual(counter("outbox_full"), 1)
        link.outbox.close()
        link.outbox_reader.close()
        hello, news = (wire.encode_notifications("w", body, CREDENTIALS) for body in (b"hello", b"news"))
        async with running_links(transport.LinkLimits(1, 2)) as (one, address, received):
            other = str(unused_address())
            self.assertTrue(one.send(other, b"lost"))  # nothing listens there
            await wait_until(lambda: not one.outbound)
            self.assertFalse(one.send(other, b"too soon"))
            await anyio.sleep(transport.RECONNECT_BACKOFF_PERIODS * PERIOD)
            self.assertTrue(one.send(other, b"lost"))
            self.assertTrue(one.send(str(address), hello))  # replaces the other link
            self.assertEqual(list(one.outbound), [str(address)])
            await wait_until(lambda: [whole.body for whole in received] == [b"hello"])
            link = one.outbound[str(address)]
            link.outbox.send_nowait((clock() - 4 * PERIOD, hello))  # queued before a stall
            link.unsent_count += 1
            await wait_until(lambda: one.send(str(address), news) and received[-1].body == b"news")
            self.assertEqual([whole.body for whole in received].count(b"hello"), 1)
            streams = [await connect_to(address) for _ in range(3)]
            await wait_until(lambda: counter("links_full") >= 3 or counter("too_many"))
            self.assertLessEqual(len(one.inbound), 2)
            for stream in streams:
                await stream.aclose()

    async def test_only_a_refused_connect_says_that_nobody_listens(self) -> None:
        refused = list[str]()
        silent = socket.create_server(("127.0.0.1", 0), backlog=1)  # never accepts, so connects time out
        crowd = [socket.socket() for _ in range(4)]
        with silent:
            for one in crowd:
                one.setblocking(False)
                one.connect_ex(silent.getsockname())
            late, gone = "{}:{}".format(*silent.getsockname()), str(unused_address())
            async with running_links(transport.LinkLimits(4, 4), refused.append) as (one, _, _):
                for address in (late, gone):
                    self.assertTrue(one.send(address, b"lost"))
                await wait_until(lambda: not one.outbound)
        for each in crowd:
            each.close()
        self.assertEqual(refused, [gone])

    async def test_accept_that_fails(self) -> None:
        loop = asyncio.get_running_loop()
        accept, fails, hello = loop.sock_accept, 0, wire.encode_notifications("w", b"hello", CREDENTIALS)

        async def sock_accept(sock: socket.socket) -> Any:
            await anyio.wait_readable(sock)
            if fails:
                raise OSError(fails, "no")
            return await accept(sock)

        async def refused() -> None:
            before = counter("accept_failed")
            await wait_until(lambda: counter("accept_failed") > before)

        loop.sock_accept = sock_accept  # type: ignore[method-assign]
        async with running_links(transport.LinkLimits(1, 4)) as (one, address, received):
            streams = [await connect_to(address, hello)]
            await wait_until(lambda: len(received) == 1)
            for out_of in (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM):
                fails = out_of
                if len(streams) == 1:
                    streams.append(await connect_to(address, hello))
                await refused()
                self.assertEqual((len(one.inbound), len(received)), (1, 1))
            fails = 0
            await wait_until(lambda: len(received) == 2)
            self.assertEqual(len(one.inbound), 2)
            fails = errno.EMFILE
            streams.append(await connect_to(address, hello))
            await refused()  # stopping works while accepting fails
        self.assertEqual((one.tasks, one.inbound), (None, set()))
        for stream in streams:
            await stream.aclose()

        async def gone() -> None:  # a closed listener ends `run`, and the caller restarts it
            with self.assertRaises(ExceptionGroup):
                await one.run(str(address.ip), address.port)
            tasks.cancel_scope.cancel()

        fails = errno.EBADF
        with anyio.fail_after(10):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(gone)
                await wait_until(lambda: one.tasks)
                await (await connect_to(address, hello)).aclose()
                await anyio.sleep_forever()


if __name__ == "__main__":
    unittest.main()
