"""Cold starts: the tables of docs/slow_start.md, bounds of budget, pace and beat, hundreds in simulated time,
and what the actors make of it."""

from __future__ import annotations

import functools
import time
import unittest
from collections import deque
from collections.abc import AsyncIterator, Awaitable, Callable, Iterable
from contextlib import asynccontextmanager
from itertools import cycle, pairwise
from math import inf
from random import Random
from typing import Any
from unittest import mock

import anyio
from hypothesis import given, settings
from hypothesis import strategies as st

from examples.fakes import Database, Processor, Roster
from fakes import slow_start as sim
from tests.app_server import place, told
from tests.conformance.tables import DASH, Row, played, rows
from thymeyoke.admission.events import Outcome
from thymeyoke.configuration import start_file
from thymeyoke.runtime import logs
from thymeyoke.server import dependency, endpoint_registry, messages
from thymeyoke.slow_start import connector, heartbeat, rate_limiter, retry_budget
from thymeyoke.slow_start.backoff import CallBacklog, FailedCalls
from thymeyoke.slow_start.connector import Connector, ConnectorStatus
from thymeyoke.slow_start.controller import STALL_SECONDS, Event, StartupController, State
from thymeyoke.slow_start.heartbeat import ENTRY_TTL_SECONDS, INTERVAL_SECONDS, MAX_STRETCH
from thymeyoke.slow_start.rate_limiter import CallRateLimiter, RateLimits
from thymeyoke.slow_start.retry_budget import RetryBudget

PAGE = "docs/slow_start.md"
TERMS = RateLimits(
    max_concurrency=32.0, sure_concurrency=4.0, tick=0.004, latency_objective=1.0, client_timeout=4.0
)  # surely 4 calls a second
LONG = settings(derandomize=True, deadline=None, max_examples=150)
OK, FULL, UNREACHED = Outcome.OK, Outcome.REJECTED, Outcome.UNREACHABLE


class Life:
    """One process, driven by facts. Its clock stands still unless it is told to move."""

    def __init__(self, name: str = "n1", lived: float = 0.3, worked: float = 0.3) -> None:
        self.now = 100.0
        self.cold = StartupController(self.now, 7, name, TERMS, self.now - lived)
        self.cold.begin(self.now, worked)
        self.beat, self.pace = self.cold.heartbeat, self.cold.rate_limiter
        self.sent: list[float] = []
        self.rate, self.took, self.of_use = 40.0, 0.01, inf  # calls a second, seconds of one and of its use
        self.late = 0  # calls

    def to_beat(self, late: float = 0.0) -> bool:
        """On to the next beat; whether a report went out."""
        self.now = max(self.now, self.beat.wake_at) + late
        if goes := self.cold.should_report(self.now):
            self.sent.append(self.now)
            self.cold.report_sent(self.now)
        return goes

    def reports(self, many: int, answered: bool = True, took: float = 0.01, late: float = 0.0) -> Life:
        for _ in range(many):
            if self.to_beat(late):
                self.now += took
                (self.cold.report_accepted if answered else self.cold.report_failed)(self.now)
        return self

    def calls(self, span: float, *ends: Outcome) -> int:
        """Calls that come, go out as the pace has leave, and end so by turns, or late; how many went."""
        went, until, turns = 0, self.now + span, cycle(ends or (OK,))
        waits, out = CallBacklog[float](), deque[tuple[float, float, Outcome]]()
        while self.now < until:
            now = self.now = self.now + 1 / self.rate
            self.pace.first_attempts += 1
            waits.add(now, f"{now}", now, False, now + self.of_use)
            for id in [id for id, one in waits.first_attempts.items() if one.deadline <= now]:
                waits.drop(id)
            while out and (out[0][0] <= now or now >= until):
                _, born, end = out.popleft()
                self.late += end is Outcome.TIMEOUT
                self.cold.call_ended(now, f"{born}", end, self.took)
            while (
                waits
                and self.pace.has_token(now)
                and (born := waits.take_next(now, self.cold.budget, self.pace.min_time_left)) is not None
            ):
                self.pace.spend(False)
                back, end = min(now + self.took, born + self.of_use), next(turns)
                out.append((back, born, end if back < born + self.of_use else Outcome.TIMEOUT))
                went += 1
            self.cold.tick(now, waits.oldest_age(now))
        return went

    def state(self, state: State) -> Life:
        """On to a state, by facts alone."""
        if state is State.REPORTING:
            self.to_beat()
        self.reports({State.WARMING: 1, State.WARM: 4}.get(state, 0))
        assert self.cold.state is state, self.cold.state
        return self

    def warm(self, rate: float = 40.0) -> Life:
        """Warm, with so many calls a second."""
        self.state(State.WARM).rate = rate
        self.calls(6.0)
        return self


def on_loop(rule: Callable[[Any, Row], Awaitable[None]]) -> Callable[[Any, Row], None]:
    return lambda case, row: anyio.run(rule, case, row)


def event(case: unittest.TestCase, row: Row, state: State, what: Event) -> None:
    life = Life().state(state)
    now, cold, pace_, was = life.now, life.cold, life.pace, life.pace.usual_rate
    facts: dict[Event, Callable[[], Any]] = {Event.REPORT_SENT: lambda: cold.report_sent(now)}
    facts[Event.RATE_CUT] = lambda: [cold.call_ended(now, f"c{at}", FULL, 0.01) for at in range(4)]
    facts[Event.STALLED] = lambda: cold.stalled(now, ENTRY_TTL_SECONDS + 0.1)
    if life.beat.has_begun:
        facts[Event.LISTED] = lambda: cold.report_accepted(now)
        facts[Event.UNLISTED] = lambda: cold.report_failed(now + ENTRY_TTL_SECONDS + 0.1)
    if state is State.WARMING:
        facts[Event.DEPENDENCY_HEALTHY] = lambda: life.reports(3)
    facts.get(what, lambda: cold.handle(what))()  # or no fact leads to it in this state
    if what in facts:
        shut = what in (Event.RATE_CUT, Event.STALLED)
        case.assertEqual((pace_.is_open, pace_.next_token_at(now) > now), (not shut, shut))
        case.assertTrue(what is not Event.UNLISTED or life.beat.retry_at == inf)  # beats alone
        case.assertTrue(what is not Event.RATE_CUT or pace_.rate == max(pace_.min_rate, was / 2))
    following = row["next state"]
    case.assertEqual(cold.state.name, state.name if following in DASH else following)
    case.assertEqual(pace_.is_cold, cold.state is not State.WARM)


class Page(unittest.TestCase):
    """The tables of the page; each rule by facts."""

    def test_states(self) -> None:
        played(self, rows(PAGE, "States"), ("state", "event"), {
            (state.name, what.name): functools.partial(event, state=state, what=what)
            for state in State for what in Event})  # fmt: skip

    def test_rules(self) -> None:
        played(self, rows(PAGE, "Rules"), "id", {
            f"CO-{number}": getattr(Page, name) for name in dir(Page) if name.startswith("co_")
            for number in name.split("_") if number.isdigit()})  # fmt: skip

    def fills(self, found: Iterable[float], low: float, high: float, slack: float = 0.1) -> None:
        """All within, and so near to both ends, in parts of the room."""
        found, room = list(found), slack * (high - low)
        self.assertTrue(low <= min(found) < low + room and high - room < max(found) <= high, found)

    def co_1_2_first(self, _: Row) -> None:
        """At once, or at its own place, where a start took long for what it worked."""
        self.assertEqual(Life(lived=4 * 0.3 + 0.4).reports(1).sent, [100.0])
        many = [Life(f"n{at}", lived=4 * 0.3 + 0.5).reports(3) for at in range(100)]
        for life in many:
            self.assertEqual(life.sent[0], 100.0 + life.beat.phase * INTERVAL_SECONDS)
            self.assertAlmostEqual(life.sent[2] - life.sent[0], 2 * INTERVAL_SECONDS)
        self.fills([life.sent[0] for life in many], 100.0, 100.0 + INTERVAL_SECONDS)

    def co_3_second_by_phase(self, _: Row) -> None:
        sent = [Life(f"n{at}").reports(2, at % 2 == 0).sent for at in range(100)]
        self.fills(
            [second - first for first, second in sent],
            heartbeat.FIRST_GAP_INTERVALS * INTERVAL_SECONDS,
            (heartbeat.FIRST_GAP_INTERVALS + 1) * INTERVAL_SECONDS,
        )

    def co_4_on_the_grid(self, _: Row) -> None:
        life = Life().reports(30, late=0.05)
        self.assertAlmostEqual(life.sent[-1] - life.sent[1], 28 * INTERVAL_SECONDS, delta=0.06)

    def co_5_late_is_left_out(self, _: Row) -> None:
        life = Life().reports(3)
        place_ = life.beat.next_at
        self.assertFalse(life.to_beat(late=4.2 * INTERVAL_SECONDS))
        self.assertAlmostEqual(life.beat.next_at, place_ + 5 * INTERVAL_SECONDS)
        self.assertTrue(life.to_beat())
        for failed in range(3, 9):  # each wake late, and one report refused: the entry lives on
            life = Life(f"n{failed}")
            for at in range(20):
                heard = max(life.beat.last_answered_at, 100.0)
                self.assertLess(
                    life.reports(1, at != failed, late=0.08).now, heard + ENTRY_TTL_SECONDS, failed
                )

    def co_6_late_every_time(self, _: Row) -> None:
        life = Life().reports(2)
        self.assertEqual([len(life.reports(1, late=0.2).sent) for _at in range(6)], [2, 3, 3, 4, 4, 5])

    def co_7_8_stretches_and_shrinks(self, _: Row) -> None:
        for answered, took in ((False, 0.0), (True, 0.6 * INTERVAL_SECONDS)):
            life = Life().reports(3, answered, took)
            self.assertEqual(life.beat.stretch, MAX_STRETCH)
            sent = life.reports(40, answered, took).sent[5:]
            self.fills(
                [after - before for before, after in pairwise(sent)],
                INTERVAL_SECONDS,
                MAX_STRETCH * INTERVAL_SECONDS,
                1 / 4,
            )
            for at in range(1, 9):
                self.assertAlmostEqual(life.reports(1).beat.stretch, max(1.0, MAX_STRETCH - 0.1 * at))

    def co_9_lives_on(self, _: Row) -> None:
        life = Life().state(State.WARM)
        for _at in range(8):
            heard = life.reports(1).beat.last_answered_at
            life.reports(3, False)
            self.assertEqual((life.beat.stretch, life.beat.retry_at), (1.0, inf))
            self.assertLessEqual(life.sent[-1], heard + ENTRY_TTL_SECONDS - 0.25)
            life.reports(1).reports(2, False, took=INTERVAL_SECONDS)  # not answered until given up
            self.assertEqual((life.beat.stretch, life.cold.state), (1.0, State.WARM))
        self.assertEqual(life.cold.budget.available, life.cold.budget.size)

    def co_10_repeat_before_a_lapse(self, _: Row) -> None:
        shares = []
        for at in range(60):
            life = Life(f"n{at}")
            purse, one = life.cold.budget, life.state(State.WARM).reports(6, took=0.6 * INTERVAL_SECONDS).beat
            self.assertEqual(one.stretch, MAX_STRETCH)
            left = purse.available
            life.reports(2, False)
            if (
                one.next_at + 0.225 <= one.last_answered_at + ENTRY_TTL_SECONDS
            ):  # spans are drawn: the next beat is in time
                self.assertEqual(one.retry_at, inf)
            elif one.retry_at < inf:
                self.assertTrue(life.now <= one.retry_at <= one.last_answered_at + ENTRY_TTL_SECONDS - 0.225)
                self.assertEqual(purse.available, left - 1)
                shares.append(one.retry_at - life.now)
                self.assertEqual(life.reports(1, False).beat.retry_at, inf)  # one, and no more
        self.assertGreater(len(shares), 10)
        self.assertGreater(max(shares) - min(shares), 0.2)
        life = Life().state(State.WARM).reports(6, took=0.6 * INTERVAL_SECONDS)
        life.cold.budget.available, life.cold.budget.probe_at = 0.0, life.now + 60
        self.assertEqual(life.reports(2, False).beat.retry_at, inf)

    def co_11_no_repeat_unlisted(self, _: Row) -> None:
        life = Life()
        self.assertEqual([life.reports(1, False).beat.retry_at for _at in range(20)], [inf] * 20)
        self.assertEqual(life.cold.budget.available, life.cold.budget.size)

    def co_12_given_up(self, _: Row) -> None:
        life = Life().reports(6, False, took=0.0)
        for _at in range(5):
            now = life.now = life.beat.wake_at
            until = life.cold.report_sent(now)
            self.assertEqual(until, min(now + heartbeat.REPORT_TIMEOUT_SECONDS, life.beat.next_at))
            self.assertGreaterEqual(until, now + heartbeat.REPORT_TIMEOUT_SECONDS / 2)

    def co_13_out_of_turn(self, _: Row) -> None:
        life = Life().reports(3)
        place_ = life.beat.next_at
        for moment, following in ((life.now + 0.2, place_), (place_ - 0.1, place_ + INTERVAL_SECONDS)):
            life.beat.send_now(moment)  # the second one stands for the beat right behind it
            self.assertTrue(life.cold.should_report(moment))
            life.cold.report_sent(moment)
            self.assertEqual(life.beat.next_at, following)

    def plays(self, life: Life, *steps: Any) -> None:
        """Steps: seconds of calls, whether the pace is open behind them, how the calls end by turns."""
        for span, is_open, *ends in steps:
            life.calls(span, *ends)
            self.assertEqual(life.pace.is_open, is_open, (span, ends))

    def co_14_open(self, _: Row) -> None:
        life = Life()
        life.rate = 500.0
        self.assertAlmostEqual(life.calls(4.0), 2000, delta=1)
        self.assertTrue(life.pace.is_open)
        terms = rate_limiter.rate_limits(start_file.read_admission_settings(7, told()["settings"]))
        self.assertEqual(
            (terms.max_concurrency, terms.sure_concurrency, terms.max_rate), (8.0, 8.0, 8.0 / 0.004)
        )

    def co_15_cold(self, _: Row) -> None:
        for outcome in (FULL, UNREACHED):
            life = Life().state(State.WARMING)
            life.calls(6.0)
            usual = life.pace.usual_rate
            self.assertAlmostEqual(usual, 40.0, delta=4.0)
            life.pace.good_answers = 3.0
            life.cold.call_ended(life.now, "x", outcome, 0.0)
            self.assertAlmostEqual(life.pace.rate, usual / 2)

    def co_16_warm(self, _: Row) -> None:
        self.plays(Life().warm(), (10.0, True, *(OK,) * 14, *(Outcome.CONNECTION_LOST,) * 4, FULL))

    def co_17_refuses_all(self, _: Row) -> None:
        self.plays(life := Life().warm(), (0.8, False, UNREACHED))
        self.assertAlmostEqual(life.pace.rate, 20.0, delta=2.5)
        for one in (life, Life().warm(5.0)):
            one.calls(10.0, UNREACHED)
            self.assertAlmostEqual(one.pace.rate, one.pace.min_rate, delta=0.3)
            self.assertAlmostEqual(one.calls(20.0, UNREACHED), 20.0 * one.pace.min_rate, delta=6)

    def co_18_rises(self, _: Row) -> None:
        life = Life().warm()
        usual = life.pace.usual_rate
        life.calls(12.0, UNREACHED)
        low = life.pace.rate
        life.calls(1.0)
        self.assertAlmostEqual(life.pace.rate, low + 0.9 * usual, delta=usual / 4)
        life.rate = 90.0  # so many that some always wait
        rates = [life.pace.rate for _at in range(2) if life.calls(1.0)]
        self.assertTrue(1.1 * usual < max(rates) <= 1.2 * life.pace.usual_when_closed + 0.1, rates)
        self.plays(life, (16.0, True))  # still, and of an even kind: there are more calls now

    def co_19_opens(self, _: Row) -> None:
        self.plays(Life().warm(), (1.0, False, FULL), (8.0, True))

    def co_20_does_not_open(self, _: Row) -> None:
        self.plays(life := Life().warm(), (2.0, False, UNREACHED))
        life.now += 60.0  # nothing is asked
        life.cold.tick(life.now, 0.0)
        self.assertFalse(life.pace.is_open)

    def co_21_oldest_first(self, _: Row) -> None:
        waits, purse = CallBacklog[str](max_calls=4), RetryBudget(0.0)
        purse.available, purse.probe_at = 0.0, 5.0
        for id in ("r1", "f1", "r2", "f2"):
            self.assertTrue(waits.add(0.0, id, id, id[0] == "r"))
        self.assertFalse(waits.add(0.0, "f3", "f3", False) or waits.add(0.0, "r1", "r1", True))
        self.assertEqual(waits.oldest_age(2.0), 2.0)
        self.assertEqual([waits.take_next(0.0, purse) for _at in range(3)], ["f1", "f2", None])
        self.assertEqual((waits.next_at(0.0, purse), waits.drop("r9")), (5.0, None))
        purse.available = 1.0
        self.assertTrue(waits.add(0.05, "f4", "f4", False))
        self.assertEqual([waits.take_next(0.05, purse) for _at in range(3)], ["r1", "f4", None])
        self.assertEqual((waits.drop("r2"), len(waits), waits.next_at(1.0, purse)), ("r2", 0, inf))
        purse.available = 1.0
        for id, repeat, until in (("a", False, 1.0), ("b", True, 1.1), ("c", False, 1.2), ("d", True, 9.0)):
            self.assertTrue(waits.add(0.0, id, id, repeat, until))
        self.assertEqual(
            (waits.take_next(0.9, purse, 0.25), waits.expired, purse.available), ("c", ["a", "b"], 1.0)
        )
        self.assertEqual(
            (waits.take_next(5.0, purse, 99.0), purse.available), (None, 1.0)
        )  # past half of its own
        self.assertEqual((waits.expired, len(waits)), (["a", "b", "d"], 0))
        waits.add(5.0, "e", "e", False, 6.0)
        self.assertEqual(waits.take_next(5.4, purse, 99.0), "e")

    @on_loop
    async def co_22_back_as_never_run(self, _: Row) -> None:
        async with calling(None, shut=True) as here:
            until = here.ask("a", 0.15)
            here.ask("b")
            self.assertEqual(await here.over(1), [("a", UNREACHED)])
            self.assertGreaterEqual(time.time(), until)
            here.calls.send(messages.AbandonCall("b"))
            await here.settled(lambda: not here.calls.backlog)
            self.assertEqual(here.base.heard, [])

    def co_23_held(self, _: Row) -> None:
        moments = []
        for at in range(100):
            life = Life(f"n{at}").warm(10.0)
            life.now += 4.0
            life.cold.stalled(life.now, 4.0)
            self.assertAlmostEqual(life.pace.rate, 10.0, delta=1.5)
            moments.append(life.pace.next_token_at(life.now) - life.now)
        self.assertTrue(0.09 <= min(moments) < 0.12 and 0.17 < max(moments) <= 0.23)
        life = Life().state(State.WARM)
        life.cold.stalled(life.now, STALL_SECONDS)  # late as a busy process is
        self.assertTrue(life.pace.is_open)

    def co_24_moved(self, _: Row) -> None:
        self.plays(life := Life().warm(), (4.0, False, UNREACHED))
        life.pace.address_changed(life.now)
        self.assertAlmostEqual(life.pace.rate, 40.0, delta=4.0)
        self.plays(life, (6.0, True))

    def co_25_slow_calls(self, _: Row) -> None:
        life = Life().warm()
        for life.took, is_open in ((0.03, True), (0.3, False)):
            self.plays(life, (3.0, is_open))

    def co_26_27_budget(self, _: Row) -> None:
        """Once it is empty one each 2 s, and one for five that worked."""
        purse = RetryBudget(0.0)
        went = [at for at in (*[0] * 40, *range(160)) if purse.take(at / 8)]
        self.assertEqual((went, purse.next_retry_at(19.9)), ([*[0] * 16, *range(16, 160, 16)], 20.0))
        for _at in range(5):
            purse.record_success()
        self.assertEqual((purse.take(19.9), purse.take(19.9)), (True, False))

    def co_28_link_lost(self, _: Row) -> None:
        one = Connector(0.0, Random(1), purse := RetryBudget(0.0))
        for at in range(5):
            one.connected(at)
            one.ready(at)
            self.assertEqual(
                (one.connection_lost(at + 0.5), purse.available),
                (connector.FIRST_BACKOFF_SECONDS, purse.size),
            )

    def co_29_link_refused(self, _: Row) -> None:
        tops = [min(0.5, 0.02 * 2**tries) for tries in range(1, 9)]
        drawn = []
        for seed in range(200):
            one = Connector(0.0, Random(seed), purse := RetryBudget(0.0))
            drawn.append([one.connect_failed(1.0) for _top in tops])
            self.assertEqual(purse.available, purse.size - len(tops))
            purse.available, purse.probe_at = 0.0, 9.0
            self.assertTrue(0.25 <= one.connect_failed(1.0) <= 0.5)
        for top, pauses in zip(tops, zip(*drawn, strict=True), strict=True):
            self.assertTrue(min(pauses) >= 0.01 and 0.8 * top < max(pauses) <= top)

    def co_30_link_slow(self, _: Row) -> None:
        one = Connector(0.0, Random(1), RetryBudget(0.0))
        one.connected(0.1)
        found = [one.status(at) for at in (1.0, 11.0, 3600.0)]
        one.ready(3601.0)
        self.assertEqual(
            [*found, one.status(3700.0)],
            [ConnectorStatus.CONNECTING, *[ConnectorStatus.SLOW] * 2, ConnectorStatus.READY],
        )

    def co_31_link_failed(self, _: Row) -> None:
        for closes in (False, True):
            one, now = Connector(0.0, Random(1), purse := RetryBudget(0.0)), 0.0
            fails = one.connection_lost if closes else one.connect_failed
            while now < connector.START_TIMEOUT_SECONDS:
                self.assertEqual(one.status(now), ConnectorStatus.CONNECTING)
                one.connected(now) if closes else None
                now += fails(now)
            self.assertEqual(one.status(now), ConnectorStatus.FAILED)
            purse.available = purse.size
            pauses = [one.connect_failed(now), *(fails(now) for _at in range(5000))]  # for half an hour
            self.assertTrue(0.25 <= min(pauses) <= max(pauses) <= 0.5)
            self.assertEqual(purse.available, purse.size)

    def co_32_opens_behind_a_line(self, _: Row) -> None:
        """Each call of use for a second, before a database that answers after 30 ms, but the first one."""
        life = Life().reports(2)
        life.rate, life.took, life.of_use = 100.0, 0.03, 1.0
        self.plays(life, (20.0, True, FULL, *(OK,) * 2000))
        self.assertEqual(life.late, 0)

    def co_33_trickle(self, _: Row) -> None:
        """At 400 calls a second no span is without one; once a pace that was shut stayed so for good."""
        for good, is_open in ((19, True), (4, True), (3, False), (1, False)):
            self.plays(Life().warm(400.0), (1.0, False, UNREACHED), (8.0, is_open, FULL, *(OK,) * good))

    def co_34_after_a_pause(self, _: Row) -> None:
        """Looked at all the while, or, with no connection left, not once."""
        for looks in ([0.25] * 40, [10.0]):
            self.plays(life := Life().warm(), (24.0, True))
            for span in looks:
                life.now += span
                life.cold.tick(life.now, 0.0)
            life.cold.call_ended(life.now, "x", FULL, 0.01)
            self.assertAlmostEqual(life.pace.rate, 20.0, delta=2.0)
            self.plays(life, (6.0, True))

    @on_loop
    async def co_35_nowhere(self, _: Row) -> None:
        async with calling(None) as here:
            here.ask("a")
            await here.base.until(lambda: here.base.heard)
            here.ask("b")
            here.calls.send(messages.AddressChanged(None))  # type: ignore[arg-type]
            self.assertEqual(await here.over(1), [("b", UNREACHED)])
            here.calls.send(messages.AddressChanged(here.where))
            here.shut()
            here.calls.next_sweep_at = (
                time.time() + 60.0
            )  # it is not before this that it would look by itself
            here.calls.startup.failed_calls.add(time.time(), "e")
            here.ask("cde")
            await here.settled(lambda: len(here.calls.backlog) == 3)
            here.calls.send(messages.AddressChanged(None))  # type: ignore[arg-type]
            self.assertEqual(sorted(await here.over(3)), [(id, UNREACHED) for id in "cde"])
            self.assertFalse(here.calls.send(messages.StartCall("f", time.time() + 9, b"x")))
            self.assertTrue(here.calls.send(messages.AbandonCall("a")))  # it is still out, where it was
            await here.settled(lambda: not here.calls.in_flight)
            self.assertEqual(here.events.statistics().current_buffer_used, 0)

    @on_loop
    async def co_36_clock_stands_still(self, _: Row) -> None:
        async with calling(shut=True) as here:
            still = dependency.clock()
            with mock.patch.object(dependency, "clock", lambda: still):
                here.calls.rate_limiter.rate, here.calls.rate_limiter.tokens = 40.0, -1.0
                here.ask("abc")
                self.assertEqual(await here.over(3), [(id, OK) for id in "abc"])
            self.assertFalse(here.calls.rate_limiter.is_open)


class Bounds(unittest.TestCase):
    @LONG
    @given(st.lists(st.tuples(st.floats(0, 3), st.booleans()), max_size=120), st.floats(0, 64))
    def test_repeats(self, steps: list[tuple[float, bool]], size: float) -> None:
        """Never more than the size, a tenth of what worked, and the floor; never fewer than the floor."""
        purse, now, took, won, last = RetryBudget(0.0, size), 0.0, 0, 0, 0.0
        for span, works in steps:
            now, won = now + span, won + works
            purse.record_success() if works else None
            had, due, went = purse.can_retry(now), purse.next_retry_at(now) <= now, purse.take(now)
            self.assertEqual((had, due), (went, went))
            self.assertTrue(went or now < last + retry_budget.PROBE_SECONDS)
            took, last = took + went, now if went else last
            self.assertLessEqual(
                took,
                purse.size
                + retry_budget.REFILL_PER_SUCCESS * won
                + now / retry_budget.PROBE_SECONDS
                + 1
                + 1e-6,
            )
            self.assertTrue(0 <= purse.available <= purse.size)

    @LONG
    @given(st.integers(0, 99), st.lists(
        st.tuples(st.floats(0, 0.4), st.sampled_from([*Outcome]), st.floats(0, 2), st.booleans()),
        max_size=150))  # fmt: skip
    def test_pace(self, seed: int, steps: list[tuple[float, Outcome, float, bool]]) -> None:
        """Closed, it stays between floor and cap, lets out what the rate says at most, and never nothing."""
        one, now, booked, allowed = CallRateLimiter(0.0, Random(seed), TERMS), 0.0, 0, 1.0
        for span, outcome, took, cold in steps:
            now, one.is_cold = now + span, cold
            one.first_attempts += 1
            was_open = one.is_open
            booked, allowed = (0, 1.0) if was_open else (booked, allowed + span * one.rate)
            if was_open or one.has_token(now):
                one.spend(False)
                one.call_ended(now, outcome, took)
                booked += not was_open
            one.tick(now)
            if not one.is_open:
                self.assertTrue(one.min_rate <= one.rate <= one.rate_cap)
                self.assertLessEqual(
                    booked, allowed / (1 - rate_limiter.JITTER)
                )  # each costs half a token at least
                self.assertLessEqual(one.next_token_at(now), now + 2 / one.min_rate)

    @LONG
    @given(st.integers(0, 999), st.lists(st.tuples(
        st.sampled_from([True, True, False]), st.booleans(), st.floats(0, 0.44), st.floats(0, 0.07)),
        max_size=80))  # fmt: skip
    def test_one_failure_in_a_row(self, seed: int, steps: list[tuple[bool, bool, float, float]]) -> None:
        """It costs no entry, whatever the failure, and however late a beat is that is not yet missed."""
        life, failed = Life(f"n{seed}"), True
        for answered, silent, took, late in steps:
            answered = answered or failed  # one in a row
            if not life.to_beat(late):
                continue
            given_up = min(life.now + heartbeat.REPORT_TIMEOUT_SECONDS, life.beat.next_at)
            life.now = given_up if silent and not answered else life.now + took
            if life.beat.last_answered_at > 0:
                self.assertLess(life.now, life.beat.last_answered_at + ENTRY_TTL_SECONDS)
            (life.cold.report_accepted if answered else life.cold.report_failed)(life.now)
            failed = not answered

    def test_phases_are_even_and_their_own(self) -> None:
        """By name though all have one seed, by seed though all have one name."""
        for made in (
            lambda at: StartupController(0.0, 7, f"n{at}"),
            lambda at: StartupController(0.0, at, "n"),
        ):
            phases = sorted(made(at).heartbeat.phase for at in range(1000))
            for at, phase in enumerate(phases):
                self.assertAlmostEqual(phase, at / 1000, delta=0.06)
        self.assertEqual(
            StartupController(0.0, 7, "n").heartbeat.phase, StartupController(5.0, 7, "n").heartbeat.phase
        )

    def test_ids_that_failed(self) -> None:
        failed = FailedCalls(4.0, max_entries=3)
        for at, id in enumerate("abcad"):
            failed.add(float(at), id)
        self.assertEqual([id for id in "abcd" if id in failed], ["a", "c", "d"])
        failed.remove("c")
        failed.expire(7.0)
        self.assertEqual(list(failed.expires_at), ["d"])
        failed.expire(8.0)
        self.assertFalse(failed.expires_at)


class Simulated(unittest.TestCase):
    """300 processes that nothing spreads but their own decisions, beside the program without them."""

    def test_peaks(self) -> None:
        """At most twice the steady rate, where the program without them goes far past it."""
        calls = (sim.let_go_at_once, sim.held_for_a_moment, sim.both_back, sim.half_strength)
        reports = (sim.crowded_starts, sim.let_go_at_once, sim.both_back, sim.list_gone, sim.list_hangs,
                   sim.list_says_503, sim.third_killed_crowded, sim.second_cold_start)  # fmt: skip
        for what in dict.fromkeys((*calls, *reports)):
            with self.subTest(what.__name__):
                now, before = sim.play(what), sim.play(what, old=True)
                self.assertLessEqual(max(now.reports, now.calls), 2.0, now)
                self.assertTrue(now.fallen == 0 and now.gap < ENTRY_TTL_SECONDS and now.listed < inf, now)
                self.assertLessEqual(now.again, MAX_STRETCH * INTERVAL_SECONDS + 0.1)
                self.assertTrue(what not in reports or before.reports > 4.0, before)
                self.assertTrue(what not in calls or before.calls > 4.0, before)

    def test_reports_alone(self) -> None:
        """The first ones are not put off: those of one instant come together; nothing behind them does."""
        self.assertGreater(sim.play(sim.born_at_once, rate=0.0).reports, 8.0)
        self.assertLessEqual(sim.play(sim.behind_the_first, rate=0.0).reports, 2.0)
        self.assertLess(sim.play(sim.list_back_after_an_hour, many=60, rate=0.0).listed, inf)

    def test_without_phases_it_fails(self) -> None:
        """The proof can fail: one phase for all, no beat that is left out, no call that is cut."""
        for place_, name, value, play, loads in (
            (heartbeat.Random, "random", lambda self: 0.5, sim.let_go_at_once, "reports"),
            (heartbeat, "LATENESS_TOLERANCE", inf, sim.let_go_at_once, "reports"),
            (rate_limiter, "FAULT_SHARE", inf, sim.both_back, "calls"),
        ):
            with mock.patch.object(place_, name, value):
                self.assertGreater(getattr(sim.play(play), loads), 2.0)


class Calling:
    """The database's actor alone, and what it tells the desk."""

    def __init__(self, base: Database) -> None:
        self.base, self.where = base, start_file.Address("127.0.0.1", base.port)
        self.inbox, self.events = anyio.create_memory_object_stream[Any](64)
        self.calls = dependency.DependencyClient(
            self.where, self.inbox, StartupController(time.time(), 7, "n", TERMS)
        )

    def shut(self) -> None:
        """Nothing has leave for a while."""
        one = self.calls.rate_limiter
        one._close(time.time())
        one.usual_when_closed, one.rate, one.tokens = 0.0, one.min_rate, -60.0

    def ask(self, ids: Iterable[str], within: float = 9.0) -> float:
        until = time.time() + within
        for id in ids:
            self.calls.send(messages.StartCall(id, until, b"x"))
        return until

    async def over(self, many: int) -> list[tuple[str, Outcome]]:
        with anyio.fail_after(3):
            return [(await self.events.receive())[:2] for _at in range(many)]

    async def settled(self, true: Callable[[], Any]) -> None:
        with anyio.fail_after(3):
            while not true():
                await anyio.sleep(0.005)


@asynccontextmanager
async def calling(word: str | None = "ROWS", shut: bool = False) -> AsyncIterator[Calling]:
    async with anyio.create_task_group() as tasks:
        await tasks.start((base := Database(word)).run)
        here = Calling(base)
        here.shut() if shut else None
        tasks.start_soon(here.calls.run)
        yield here
        tasks.cancel_scope.cancel()
    for mailbox in (here.inbox, here.events, here.calls.outbox, here.calls.outbox_reader):
        mailbox.close()


class Actors(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        logs.counters.clear()

    async def test_calls_wait_for_leave_and_go_out_oldest_first(self) -> None:
        """For one more there is no room, which is told at once."""
        async with calling(shut=True) as here:
            here.calls.backlog.max_calls = 3
            here.ask("abcd")
            self.assertEqual(await here.over(1), [("d", UNREACHED)])
            counts = [logs.counters[name] for name in ("calls_delayed", "calls_over_backlog")]
            self.assertEqual((here.base.heard, counts), ([], [3, 1]))
            here.calls.rate_limiter.tokens = 3.0
            here.calls.send(messages.AbandonCall("none"))  # it looks in again
            self.assertEqual(await here.over(1), [("a", OK)])
            here.calls.rate_limiter.rate = TERMS.max_rate
            here.calls.send(messages.AbandonCall("none"))
            self.assertEqual([outcome for _, outcome in await here.over(2)], [OK] * 2)
            self.assertEqual(here.base.heard, ["Q a", "Q b", "Q c"])

    async def test_given_up_on_a_connection_that_is_just_ending(self) -> None:
        line = dependency.DependencyConnection(start_file.Address("127.0.0.1", 1), mock.AsyncMock())
        for id in "ab":
            self.assertTrue(line.start(messages.StartCall(id, time.time() + 9, b"x"), time.time()))
        line.outbox.close()
        line.outbox_reader.close()
        self.assertIsNotNone(line.abandon("a"))

    async def test_a_repeat_without_budget_waits_and_holds_up_no_first_try(self) -> None:
        async with calling("FULL") as here:
            here.ask("a")
            await here.over(1)
            here.calls.rate_limiter.rate, purse = TERMS.max_rate, here.calls.startup.budget
            purse.available, purse.probe_at = 0.0, time.time() + 60
            here.ask("ab")
            self.assertEqual(await here.over(1), [("b", FULL)])
            self.assertEqual(here.base.heard, ["Q a", "Q b"])
            self.assertIsNotNone(here.calls.backlog.get("a"))

    async def test_a_database_that_is_back_is_not_overrun(self) -> None:
        """Twenty calls wait when it comes back; once all of them went out at once."""
        async with calling() as here:
            here.calls.address = start_file.Address("127.0.0.1", 1)
            here.ask(map(str, range(20)), 30)
            await here.settled(lambda: not here.calls.rate_limiter.is_open)
            here.calls.address = here.where
            here.ask(map(str, range(20, 40)), 30)
            await here.base.until(lambda: here.base.heard)
            began = time.time()
            await anyio.sleep(0.3)
            self.assertLessEqual(
                len(here.base.heard), 2 + here.calls.rate_limiter.rate_cap * (time.time() - began)
            )
            self.assertGreater(len(here.calls.backlog), 10)

    async def test_what_is_said_already_is_not_said_again(self) -> None:
        """That the processor is up once led to a report out of turn: of all at one moment, when a zone is
        back. What is new goes out at once."""
        async with place() as here:
            began = time.time()
            await here.roster.until(lambda: here.roster.reports)
            await (router := await here.router()).answer(await router.ask("look"))
            self.assertLessEqual(
                len(here.roster.reports),
                1 + (time.time() - began) / (heartbeat.FIRST_GAP_INTERVALS * INTERVAL_SECONDS),
            )
            with mock.patch.multiple(
                endpoint_registry, REPORT_PERIOD_SECONDS=60.0, REPORT_TIMEOUT_SECONDS=60.0
            ):
                alone = endpoint_registry.EndpointRegistryClient(
                    start_file.Address("127.0.0.1", here.roster.port), "other"
                )
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(alone.run)
                await here.roster.until(lambda: ("/ns/hosts/other", "yes") in here.roster.reports)
                for fit in (True, False, False):
                    alone.send(messages.HealthChanged(fit))
                await here.roster.until(lambda: ("/ns/hosts/other", "no") in here.roster.reports)
                said = [fit for path, fit in here.roster.reports if path.endswith("other")]
                self.assertEqual(said, ["yes", "no"])
                tasks.cancel_scope.cancel()
            for mailbox in (alone.outbox, alone.outbox_reader):
                mailbox.close()

    async def test_peers_that_come_up_late(self) -> None:
        """A list that says 503 at first is found again; a processor that takes the link and is silent is not
        tried again, and up soon after it is there."""
        slow = Processor()
        slow.up = anyio.Event()
        with mock.patch.multiple(endpoint_registry, REPORT_PERIOD_SECONDS=0.05, REPORT_TIMEOUT_SECONDS=0.05):
            async with place(slow, roster=Roster(503)) as here:
                await here.roster.until(lambda: logs.counters["reports_failed"] > 5 or None)
                here.roster.status = 204
                await here.roster.until(lambda: logs.counters["reports_accepted"] > 2 or None)
                await slow.until(lambda: slow.heard)
                self.assertEqual([said["event"] for said in slow.heard], ["hello"])
                slow.up.set()
                await slow.until(lambda: any(said["event"] == "usage" for said in slow.heard))


if __name__ == "__main__":
    unittest.main()
