"""Tests of the level controller: each rule, the budget, and that a path always exists under overload."""

from __future__ import annotations

import unittest
from ipaddress import ip_address, ip_network
from random import Random
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from thymeyoke.bgp import routes
from thymeyoke.bgp.attributes import GRACEFUL_SHUTDOWN, INSTANCE_COMMUNITY, Path, ReceivedUpdate
from thymeyoke.bgp.configuration import Announce, Peer
from thymeyoke.bgp.controller import Level, LevelController, LevelSettings, ServerObservation, TokenBucket
from thymeyoke.bgp.presentation import MAX_PATHS, ReceivedPaths, prefix_key, to_nlri
from thymeyoke.bgp.wire import IPV4, IPV6, NegotiatedOptions, RouteRefresh
from thymeyoke.configuration.service_config import HostPort

ONE = ip_network("198.51.100.7/32")
SIX = ip_network("2001:db8::7/128")
SETTINGS = LevelSettings(least_others=1, crowded_share=0.2, crowded_after=2.0, settle=1.0, changes=6)
CALM = ServerObservation(
    up=True, linked=True, warm_at=0.0, busy=0.5, ops=0, nacked=0, connections=3, most=100
)
STEP = 0.25
W, L, F = Level.WITHDRAWN, Level.LESS, Level.FULL


class SimulatedServer:
    """A level controller that is advanced four times a second."""

    def __init__(self, **settings: Any) -> None:
        self.now, self.ops, self.nacked = 1000.0, 0, 0
        self.controller = LevelController(self.now, SETTINGS._replace(**settings), [ONE])
        self.trail: list[tuple[float, Level, str]] = []

    def look(self, crowded: bool = False, others: int = 1, **changed: Any) -> Level:
        self.now += STEP
        self.ops, self.nacked = self.ops + 20, self.nacked + 10 * crowded
        look = CALM._replace(ops=self.ops, nacked=self.nacked, busy=1.0 if crowded else 0.5)
        self.controller.set_others(ONE, others)
        self.controller.observe(self.now, look._replace(**changed))
        return self.settle()

    def settle(self) -> Level:
        one = self.controller.addresses[ONE]
        if self.controller.advance(self.now):
            self.trail.append((self.now, one.level, one.reason))
        return one.level

    def run(self, seconds: float, **said: Any) -> Level:
        for _ in range(int(seconds / STEP)):
            self.look(**said)
        return self.level

    @property
    def level(self) -> Level:
        return self.controller.addresses[ONE].level

    @property
    def why(self) -> str:
        return self.controller.addresses[ONE].reason


def up() -> SimulatedServer:
    here = SimulatedServer()
    here.run(2.0)
    assert here.level == F
    return here


class Rules(unittest.TestCase):
    def test_levels_rise_one_step_at_a_time(self) -> None:
        here = SimulatedServer()
        self.assertEqual(here.settle(), W)
        self.assertEqual((here.look(up=False), here.why), (W, "the processor is not up yet"))
        self.assertEqual((here.look(), here.why), (L, "coming up"))
        self.assertEqual(here.run(0.75), L)
        self.assertEqual((here.look(), here.why), (F, "can serve"))

    def test_cold_is_less_preferred_until_warm(self) -> None:
        here = SimulatedServer()
        self.assertEqual(here.run(5.0, warm_at=1010.0), L)
        self.assertEqual((here.why, here.controller.next_advance_at(here.now)), ("cold", 1010.0))
        self.assertEqual(here.run(5.25, warm_at=1010.0), F)

    def test_lasting_overload(self) -> None:
        here = up()
        self.assertEqual(here.run(1.75, crowded=True), F)
        self.assertEqual((here.look(crowded=True), here.why), (L, "crowded"))
        self.assertEqual(here.run(1.75, crowded=True), L)
        self.assertEqual((here.look(crowded=True), here.why), (W, "crowded, 1 others in full"))
        # Withdrawn, it gets no requests and so is not overloaded; it stays withdrawn for a while.
        self.assertEqual(here.run(3.75), W)
        self.assertEqual(here.run(0.5), L)
        self.assertEqual(here.run(1.0), F)

    def test_withdrawals_get_longer_and_decay(self) -> None:
        here = SimulatedServer(changes=60)
        here.run(2.0)
        spans = []
        for _ in range(4):
            here.run(4.5, crowded=True)
            self.assertEqual(here.level, W)
            began = here.now
            while here.level == W:
                here.look()
            spans.append(here.now - began)
            here.run(3.0)
        self.assertEqual(sorted(spans), spans)
        self.assertGreater(spans[-1], 3 * spans[0])
        here.run(600.0)
        here.run(4.5, crowded=True)
        began = here.now
        while here.level == W:
            here.look()
        self.assertLess(here.now - began, 1.2 * spans[0])

    def test_the_last_path_is_not_withdrawn(self) -> None:
        for least, others, level in ((1, 0, L), (1, 1, W), (2, 1, L), (2, 2, W), (0, 5, L)):
            with self.subTest(least=least, others=others):
                here = SimulatedServer(least_others=least)
                here.run(2.0)
                self.assertEqual(here.run(4.5, crowded=True, others=others), level)

    def test_it_returns_if_no_other_path_is_left(self) -> None:
        here = up()
        here.run(4.0, crowded=True)
        self.assertEqual(here.level, W)
        self.assertEqual((here.look(crowded=True, others=0), here.why), (L, "crowded, 0 others in full"))

    def test_alternating_overload(self) -> None:
        here = up()
        for _ in range(120):
            here.run(1.0, crowded=True)
            here.run(1.0)
        self.assertEqual(len(here.trail), 2)  # only the start

    def test_rejections_without_overload(self) -> None:
        """Rejections with idle cores are caused by a dependency, which other servers share."""
        for changed in ({"busy": 0.5}, {"busy": None}):
            here = up()
            self.assertEqual(here.run(10.0, crowded=True, **changed), F)
        for changed in ({"late": True}, {"connections": 95}):
            here = up()
            self.assertEqual(here.run(2.0, others=0, **changed), L)

    def test_the_budget(self) -> None:
        here = SimulatedServer(changes=4)
        here.run(2.0)
        self.assertEqual(len(here.trail), 2)
        for _ in range(10):  # three seconds of overload in each ten
            here.run(3.0, crowded=True, others=0)
            here.run(7.0, others=0)
        in_any_minute = max(
            sum(at <= other < at + 60 for other, _, _ in here.trail) for at, _, _ in here.trail
        )  # fmt: skip
        self.assertLessEqual(in_any_minute, 8)
        here.run(3.0, crowded=True, others=0)
        here.run(3.0, crowded=True, others=0)
        self.assertTrue(here.trail[-1][0] < here.now)

    def test_a_withdrawal_needs_budget_for_the_return(self) -> None:
        here = SimulatedServer(changes=2)
        here.run(2.0)
        here.controller.budget.tokens = 1.5
        here.run(4.5, crowded=True)
        self.assertEqual(here.level, L)
        self.assertIn("budget of changes spent; wanted: crowded, 1 others in full", here.why)
        self.assertLess(here.controller.budget_available_at, here.now + 60)

    def test_a_drain(self) -> None:
        here = up()
        here.controller.budget.tokens = 0.0  # not needed for a drain
        here.controller.start_drain(here.now, here.now + 2.0)
        self.assertEqual((here.settle(), here.why), (L, "drain"))
        self.assertEqual(here.controller.next_advance_at(here.now), here.now + 0.5)
        here.now += 0.5
        self.assertEqual(here.settle(), W)
        here.controller.start_drain(here.now, here.now + 60.0)  # a second notice has no effect
        self.assertEqual(here.run(5.0, others=0), W)
        away = up()
        away.run(4.0, crowded=True)
        away.controller.start_drain(away.now, away.now + 2.0)
        self.assertEqual(away.settle(), W)  # addresses do not return in a drain
        self.assertEqual(away.run(1.0, others=0), W)

    def test_the_processor_disconnects(self) -> None:
        here = up()
        self.assertEqual((here.look(linked=False), here.why), (L, "the processor is away"))
        self.assertEqual(here.run(0.75, linked=False), L)
        self.assertEqual(here.look(linked=False), W)
        self.assertEqual(here.look(), L)
        self.assertEqual(here.run(1.0), F)

    def test_new_settings_keep_the_state(self) -> None:
        here = up()
        since = here.controller.addresses[ONE].since
        here.controller.reconfigure(here.now, SETTINGS._replace(changes=60), [ONE, SIX])
        self.assertEqual(
            (here.controller.addresses[ONE].since, here.controller.addresses[SIX].level), (since, W)
        )
        here.controller.reconfigure(here.now, SETTINGS, [SIX])
        self.assertEqual(list(here.controller.addresses), [SIX])

    def test_bucket(self) -> None:
        bucket = TokenBucket(6, 60.0)
        self.assertTrue(bucket.has_tokens(100.0, 6))
        for _ in range(9):
            bucket.take(100.0)
        self.assertEqual((bucket.tokens, bucket.available_at(100.0, 2)), (0.0, 120.0))
        self.assertTrue(bucket.has_tokens(120.0, 2))
        self.assertFalse(bucket.has_tokens(110.0, 3))  # a clock set back does not refill


class Fleet:
    """Servers and a router that passes on changes with a delay of up to `late` seconds."""

    def __init__(self, many: int, late: float, rng: Random, least: int) -> None:
        self.late, self.rng = late, rng
        self.all = [SimulatedServer(least_others=least, changes=60) for _ in range(many)]
        self.mail: list[tuple[float, int, Level]] = []  # on the way to the router
        self.table = [W] * many  # of the router
        self.back: list[tuple[float, int, int, Level]] = []  # on the way from the router to the servers
        self.views = [[W] * many for _ in range(many)]

    def step(self, crowds: list[bool]) -> None:
        for at, one in enumerate(self.all):
            others = sum(level == F for other, level in enumerate(self.views[at]) if other != at)
            before = one.level
            level = one.look(crowded=crowds[at], others=others)
            if level != before:
                self.mail.append((one.now + self.rng.uniform(0, self.late / 2), at, level))
        now = self.all[0].now
        due, self.mail = [m for m in self.mail if m[0] <= now], [m for m in self.mail if m[0] > now]
        for _, at, level in sorted(due):
            self.table[at] = level
            for other in range(len(self.all)):
                self.back.append((now + self.rng.uniform(0, self.late / 2), other, at, level))
        arrived = [b for b in self.back if b[0] <= now]
        self.back = [b for b in self.back if b[0] > now]
        for _, to, at, level in sorted(arrived):
            self.views[to][at] = level


CROWDS = st.lists(st.tuples(st.integers(0, 15), st.integers(1, 40)), min_size=1, max_size=8)


class NeverNone(unittest.TestCase):
    """While no server dies, no overload leaves an address without a path; docs/bgp.md has the argument."""

    @settings(max_examples=150, derandomize=True, deadline=None, database=None)
    @given(crowds=CROWDS, many=st.integers(2, 4), least=st.integers(1, 2), seed=st.integers(0, 99))
    def test_crowds(self, crowds: list[tuple[int, int]], many: int, least: int, seed: int) -> None:
        fleet = Fleet(many, late=0.75, rng=Random(seed), least=least)
        while not all(one.level == F for one in fleet.all):
            fleet.step([False] * many)
        for _ in range(8):
            fleet.step([False] * many)
        for pattern, steps in [*crowds, (15, 40)]:
            for _ in range(steps):
                fleet.step([bool(pattern >> at & 1) for at in range(many)])
                self.assertTrue(any(one.level != W for one in fleet.all), "no instance announces")
                self.assertTrue(any(level != W for level in fleet.table), "the router has no path")

    @settings(max_examples=60, derandomize=True, deadline=None, database=None)
    @given(crowds=CROWDS, seed=st.integers(0, 99), first=st.integers(0, 2))
    def test_crowds_and_a_drain(self, crowds: list[tuple[int, int]], seed: int, first: int) -> None:
        """Two servers may be withdrawn for overload when the third drains: they return before it withdraws.

        The grace period is 4 s, of which a quarter is longer than two delays.
        """
        fleet = Fleet(3, late=0.5, rng=Random(seed), least=1)
        for _ in range(40):
            fleet.step([False] * 3)
        for at, (pattern, steps) in enumerate(crowds):
            if at == len(crowds) // 2:
                one = fleet.all[first]
                one.controller.start_drain(one.now, one.now + 4.0)
            for _ in range(steps):
                fleet.step([bool(pattern >> who & 1) for who in range(3)])
                self.assertTrue(any(level != W for level in fleet.table), "the router has no path")

    def test_two_are_away_when_the_third_drains(self) -> None:
        for seed in range(20):
            fleet = Fleet(3, late=0.5, rng=Random(seed), least=1)
            for crowds, steps in (([False] * 3, 40), ([True, True, False], 16)):
                for _ in range(steps):
                    fleet.step(crowds)
            self.assertEqual([one.level for one in fleet.all], [W, W, F])
            fleet.all[2].controller.start_drain(fleet.all[2].now, fleet.all[2].now + 4.0)
            for _ in range(16):
                fleet.step([True, True, False])
                self.assertTrue(any(level != W for level in fleet.table), "the router has no path")


def announce(**changed: Any) -> Announce:
    peer = Peer("tor-1", HostPort.parse("127.0.0.1:1790"), 64500)
    return Announce(**({
        "as_": 64512, "id": ip_address("192.0.2.1"), "addresses": (ONE, SIX), "peers": (peer,),
        "next_hop": (ip_address("192.0.2.1"), ip_address("2001:db8::1")),
    } | changed))  # fmt: skip


class Routes(unittest.TestCase):
    negotiated = NegotiatedOptions(four_byte_as=True, families=frozenset((IPV4, IPV6)))

    def test_the_difference(self) -> None:
        here = announce()
        steps = [  # wanted, withdrawn, announced
            ({ONE: F, SIX: F}, 0, 2), ({ONE: F, SIX: F}, 0, 0), ({ONE: L, SIX: F}, 0, 1),
            ({ONE: L, SIX: W}, 1, 0),
            ({ONE: W}, 1, 0), ({}, 0, 0), ({ONE: L}, 0, 1), ({SIX: F}, 1, 1),
        ]  # fmt: skip
        sent: dict[Any, Any] = {}
        for wanted, gone, new in steps:
            with self.subTest(wanted=wanted):
                updates, sent = routes.route_changes(here, here.peers[0], wanted, sent, self.negotiated)
                self.assertEqual(len(updates), gone + new)
                self.assertEqual(set(sent), {prefix for prefix, level in wanted.items() if level != W})
                if gone and new:  # withdrawals first
                    self.assertEqual(updates[0].withdrawn, (to_nlri(ONE),))
        updates, sent = routes.route_changes(
            here, here.peers[0], {ONE: F, SIX: F}, {}, NegotiatedOptions(four_byte_as=True)
        )
        self.assertEqual((len(updates), set(sent)), (1, {ONE}))

    def test_addresses_of_one_route_go_together(self) -> None:
        many = tuple(ip_network(f"198.51.100.{at}/32") for at in range(64))
        here = announce(addresses=many)
        updates, _ = routes.route_changes(here, here.peers[0], dict.fromkeys(many, F), {}, self.negotiated)
        self.assertEqual([len(update.nlri) for update in updates], [64])


class Others(unittest.TestCase):
    def received_update(
        self, who: int, path: int | None = None, gone: bool = False, **more: Any
    ) -> ReceivedUpdate:
        rows = ((IPV4, to_nlri(ONE)._replace(path_id=path)),)
        mark = ((64512, INSTANCE_COMMUNITY, who),)
        if gone:
            return ReceivedUpdate((), rows, None, ())
        return ReceivedUpdate(rows, (), Path(next_hop=b"\1\1\1\1", large_communities=mark, **more), ())

    def test_who_else_announces(self) -> None:
        me = int(ip_address("192.0.2.1"))
        received_paths = ReceivedPaths(64512, [bytes((192, 0, 2, 1))], 1000, [ONE])
        steps: list[tuple[str, ReceivedUpdate, int]] = [
            ("a", self.received_update(2), 1),
            ("b", self.received_update(2), 1),
            ("a", self.received_update(3, path=5), 2),
            ("a", self.received_update(me, path=6), 2),
            ("b", self.received_update(3, path=7, communities=(GRACEFUL_SHUTDOWN,)), 1),
            ("b", self.received_update(3, path=7), 2),
            ("b", self.received_update(4, path=9, med=1000), 2),
            ("b", self.received_update(4, path=9, med=999), 3),
            ("b", self.received_update(4, path=9, local_pref=0), 2),
            ("b", self.received_update(0, path=9, gone=True), 2),
            ("a", self.received_update(0, path=5, gone=True), 2),
            ("a", self.received_update(0, gone=True), 2),
            ("b", self.received_update(me), 1),
        ]
        for at, (peer, received_update, others) in enumerate(steps):
            received_paths.receive_update(peer, received_update)
            self.assertEqual(received_paths.count_others(ONE), others, at)
        received_paths.remove_peer("b")
        self.assertEqual((received_paths.count_others(ONE), received_paths.paths), (0, {"a": {}}))

    def test_unmarked_paths_are_told_apart_by_next_hop(self) -> None:
        received_paths = ReceivedPaths(64512, [], 1000, [ONE])
        for path, hop in ((1, b"\1\1\1\1"), (2, b"\1\1\1\1"), (3, b"\1\1\1\2")):
            received_paths.receive_update(
                "a",
                ReceivedUpdate(((IPV4, to_nlri(ONE)._replace(path_id=path)),), (), Path(next_hop=hop), ()),
            )
        self.assertEqual((received_paths.count_others(ONE), len(received_paths.describe(ONE))), (2, 3))

    def test_bounds(self) -> None:
        received_paths = ReceivedPaths(64512, [], 1000, [ONE])
        for path in range(MAX_PATHS + 9):
            received_paths.receive_update("a", self.received_update(path + 2, path=path))
            received_paths.receive_update(
                "a", ReceivedUpdate(((IPV4, to_nlri(ip_network("10.0.0.0/8"))),), (), Path(), ())
            )
        self.assertEqual(
            (received_paths.count_others(ONE), received_paths.counters["paths_left_out"]), (MAX_PATHS, 9)
        )
        self.assertEqual(set(received_paths.paths["a"]), {prefix_key(ONE)})

    def test_a_refresh_removes_paths_not_sent_again(self) -> None:
        received_paths = ReceivedPaths(64512, [], 1000, [ONE])
        for path in (1, 2):
            received_paths.receive_update("a", self.received_update(path + 2, path=path))
        received_paths.receive_refresh("a", RouteRefresh(IPV4, 1))
        received_paths.receive_update("a", self.received_update(4, path=2))
        self.assertEqual(received_paths.count_others(ONE), 2)
        received_paths.receive_refresh("a", RouteRefresh(IPV6, 2))
        self.assertEqual(received_paths.count_others(ONE), 2)
        received_paths.receive_refresh("a", RouteRefresh(IPV4, 2))
        self.assertEqual([row["who"] for row in received_paths.describe(ONE)], ["0.0.0.4"])


del CROWDS
