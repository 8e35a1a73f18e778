"""Slow start: the tables of docs/slow_start.md, bounds as properties, simulated fleets, I/O actors."""

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
from tests.app_server import running_server, start_file_with
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
# A fair rate of 4 calls a second.
LIMITS = RateLimits(
    max_concurrency=32.0, guaranteed_concurrency=4.0, tick=0.004, latency_objective=1.0, client_timeout=4.0
)
HYPOTHESIS_SETTINGS = settings(derandomize=True, deadline=None, max_examples=150)
OK, REJECTED, UNREACHABLE = Outcome.OK, Outcome.REJECTED, Outcome.UNREACHABLE


class ProcessDriver:
    """Drives the startup controller of one process with a simulated clock."""

    def __init__(self, name: str = "n1", lived: float = 0.3, worked: float = 0.3) -> None:
        self.now = 100.0
        self.startup = StartupController(self.now, 7, name, LIMITS, self.now - lived)
        self.startup.begin(self.now, worked)
        self.heartbeat, self.rate_limiter = self.startup.heartbeat, self.startup.rate_limiter
        self.sent: list[float] = []
        self.rate, self.took, self.call_timeout = 40.0, 0.01, inf  # calls a second, then seconds of a call
        self.timed_out_calls = 0

    def advance_to_heartbeat(self, lateness: float = 0.0) -> bool:
        """Advance the clock to the next heartbeat; returns whether a report was sent."""
        self.now = max(self.now, self.heartbeat.next_check_at) + lateness
        if is_sent := self.startup.should_report(self.now):
            self.sent.append(self.now)
            self.startup.report_sent(self.now)
        return is_sent

    def send_reports(
        self, count: int, answered: bool = True, took: float = 0.01, lateness: float = 0.0
    ) -> ProcessDriver:
        for _ in range(count):
            if self.advance_to_heartbeat(lateness):
                self.now += took
                (self.startup.report_accepted if answered else self.startup.report_failed)(self.now)
        return self

    def make_calls(self, span: float, *ends: Outcome) -> int:
        """Make calls for `span` seconds, with these outcomes by turns; returns how many were sent.

        Calls wait for the rate limiter; one that takes longer than `call_timeout` ends as TIMEOUT.
        """
        sent_count, until, turns = 0, self.now + span, cycle(ends or (OK,))
        backlog, out = CallBacklog[float](), deque[tuple[float, float, Outcome]]()
        while self.now < until:
            now = self.now = self.now + 1 / self.rate
            self.rate_limiter.first_attempts += 1
            backlog.add(now, f"{now}", now, False, now + self.call_timeout)
            for id in [id for id, one in backlog.first_attempts.items() if one.deadline <= now]:
                backlog.drop(id)
            while out and (out[0][0] <= now or now >= until):
                _, born, end = out.popleft()
                self.timed_out_calls += end is Outcome.TIMEOUT
                self.startup.call_ended(now, f"{born}", end, self.took)
            while (
                backlog
                and self.rate_limiter.has_token(now)
                and (born := backlog.take_next(now, self.startup.budget, self.rate_limiter.min_time_left))
                is not None
            ):
                self.rate_limiter.spend(False)
                back, end = min(now + self.took, born + self.call_timeout), next(turns)
                out.append((back, born, end if back < born + self.call_timeout else Outcome.TIMEOUT))
                sent_count += 1
            self.startup.tick(now, backlog.oldest_age(now))
        return sent_count

    def reach_state(self, state: State) -> ProcessDriver:
        """Bring the controller into a state by events."""
        if state is State.REPORTING:
            self.advance_to_heartbeat()
        self.send_reports({State.WARMING: 1, State.WARM: 4}.get(state, 0))
        assert self.startup.state is state, self.startup.state
        return self

    def warm_up(self, rate: float = 40.0) -> ProcessDriver:
        """Reach the state WARM and make `rate` calls a second."""
        self.reach_state(State.WARM).rate = rate
        self.make_calls(6.0)
        return self


def on_loop(rule: Callable[[Any, Row], Awaitable[None]]) -> Callable[[Any, Row], None]:
    return lambda case, row: anyio.run(rule, case, row)


def check_transition(case: unittest.TestCase, row: Row, state: State, event: Event) -> None:
    process = ProcessDriver().reach_state(state)
    now = process.now
    startup = process.startup
    limiter = process.rate_limiter
    was = process.rate_limiter.usual_rate
    triggers: dict[Event, Callable[[], Any]] = {Event.REPORT_SENT: lambda: startup.report_sent(now)}
    triggers[Event.RATE_CUT] = lambda: [startup.call_ended(now, f"c{at}", REJECTED, 0.01) for at in range(4)]
    triggers[Event.STALLED] = lambda: startup.stalled(now, ENTRY_TTL_SECONDS + 0.1)
    if process.heartbeat.has_begun:
        triggers[Event.LISTED] = lambda: startup.report_accepted(now)
        triggers[Event.UNLISTED] = lambda: startup.report_failed(now + ENTRY_TTL_SECONDS + 0.1)
    if state is State.WARMING:
        triggers[Event.DEPENDENCY_HEALTHY] = lambda: process.send_reports(3)
    triggers.get(event, lambda: startup.handle(event))()  # some events have no trigger in this state
    if event in triggers:
        is_closed = event in (Event.RATE_CUT, Event.STALLED)
        case.assertEqual((limiter.is_open, limiter.next_token_at(now) > now), (not is_closed, is_closed))
        case.assertTrue(event is not Event.UNLISTED or process.heartbeat.retry_at == inf)  # no retry
        case.assertTrue(event is not Event.RATE_CUT or limiter.rate == max(limiter.min_rate, was / 2))
    following = row["next state"]
    case.assertEqual(startup.state.name, state.name if following in DASH else following)
    case.assertEqual(limiter.is_cold, startup.state is not State.WARM)


class Page(unittest.TestCase):
    """Each row of the tables in docs/slow_start.md; `co_5_...` tests the rule CO-5."""

    def test_states(self) -> None:
        played(self, rows(PAGE, "States"), ("state", "event"), {
            (state.name, event.name): functools.partial(check_transition, state=state, event=event)
            for state in State for event in Event})  # fmt: skip

    def test_rules(self) -> None:
        played(self, rows(PAGE, "Rules"), "id", {
            f"CO-{number}": getattr(Page, name) for name in dir(Page) if name.startswith("co_")
            for number in name.split("_") if number.isdigit()})  # fmt: skip

    def assert_spread(self, found: Iterable[float], low: float, high: float, slack: float = 0.1) -> None:
        """All values are within the range, and some within `slack` of its width from either end."""
        found, margin = list(found), slack * (high - low)
        self.assertTrue(low <= min(found) < low + margin and high - margin < max(found) <= high, found)

    def co_1_2_first(self, _: Row) -> None:
        """At once or, if the start took long compared with its processor time, at the process's phase."""
        self.assertEqual(ProcessDriver(lived=4 * 0.3 + 0.4).send_reports(1).sent, [100.0])
        processes = [ProcessDriver(f"n{at}", lived=4 * 0.3 + 0.5).send_reports(3) for at in range(100)]
        for process in processes:
            self.assertEqual(process.sent[0], 100.0 + process.heartbeat.phase * INTERVAL_SECONDS)
            self.assertAlmostEqual(process.sent[2] - process.sent[0], 2 * INTERVAL_SECONDS)
        self.assert_spread([process.sent[0] for process in processes], 100.0, 100.0 + INTERVAL_SECONDS)

    def co_3_second_by_phase(self, _: Row) -> None:
        sent = [ProcessDriver(f"n{at}").send_reports(2, at % 2 == 0).sent for at in range(100)]
        self.assert_spread(
            [second - first for first, second in sent],
            heartbeat.FIRST_GAP_INTERVALS * INTERVAL_SECONDS,
            (heartbeat.FIRST_GAP_INTERVALS + 1) * INTERVAL_SECONDS,
        )

    def co_4_on_the_grid(self, _: Row) -> None:
        process = ProcessDriver().send_reports(30, lateness=0.05)
        self.assertAlmostEqual(process.sent[-1] - process.sent[1], 28 * INTERVAL_SECONDS, delta=0.06)

    def co_5_late_is_skipped(self, _: Row) -> None:
        process = ProcessDriver().send_reports(3)
        scheduled_at = process.heartbeat.next_at
        self.assertFalse(process.advance_to_heartbeat(lateness=4.2 * INTERVAL_SECONDS))
        self.assertAlmostEqual(process.heartbeat.next_at, scheduled_at + 5 * INTERVAL_SECONDS)
        self.assertTrue(process.advance_to_heartbeat())
        for failed in range(3, 9):  # every timer is late and one report is rejected: the entry stays alive
            process = ProcessDriver(f"n{failed}")
            for at in range(20):
                heard = max(process.heartbeat.last_answered_at, 100.0)
                self.assertLess(
                    process.send_reports(1, at != failed, lateness=0.08).now,
                    heard + ENTRY_TTL_SECONDS,
                    failed,
                )

    def co_6_late_every_time(self, _: Row) -> None:
        process = ProcessDriver().send_reports(2)
        self.assertEqual(
            [len(process.send_reports(1, lateness=0.2).sent) for _at in range(6)], [2, 3, 3, 4, 4, 5]
        )

    def co_7_8_stretches_and_shrinks(self, _: Row) -> None:
        for answered, took in ((False, 0.0), (True, 0.6 * INTERVAL_SECONDS)):
            process = ProcessDriver().send_reports(3, answered, took)
            self.assertEqual(process.heartbeat.stretch, MAX_STRETCH)
            sent = process.send_reports(40, answered, took).sent[5:]
            self.assert_spread(
                [after - before for before, after in pairwise(sent)],
                INTERVAL_SECONDS,
                MAX_STRETCH * INTERVAL_SECONDS,
                1 / 4,
            )
            for at in range(1, 9):
                self.assertAlmostEqual(
                    process.send_reports(1).heartbeat.stretch, max(1.0, MAX_STRETCH - 0.1 * at)
                )

    def co_9_entry_stays_alive(self, _: Row) -> None:
        process = ProcessDriver().reach_state(State.WARM)
        for _at in range(8):
            heard = process.send_reports(1).heartbeat.last_answered_at
            process.send_reports(3, False)
            self.assertEqual((process.heartbeat.stretch, process.heartbeat.retry_at), (1.0, inf))
            self.assertLessEqual(process.sent[-1], heard + ENTRY_TTL_SECONDS - 0.25)
            process.send_reports(1).send_reports(2, False, took=INTERVAL_SECONDS)  # timed out
            self.assertEqual((process.heartbeat.stretch, process.startup.state), (1.0, State.WARM))
        self.assertEqual(process.startup.budget.available, process.startup.budget.size)

    def co_10_retry_before_expiry(self, _: Row) -> None:
        shares = []
        for at in range(60):
            process = ProcessDriver(f"n{at}")
            budget = process.startup.budget
            one = process.reach_state(State.WARM).send_reports(6, took=0.6 * INTERVAL_SECONDS).heartbeat
            self.assertEqual(one.stretch, MAX_STRETCH)
            left = budget.available
            process.send_reports(2, False)
            if (
                one.next_at + 0.225 <= one.last_answered_at + ENTRY_TTL_SECONDS
            ):  # intervals are random: the next heartbeat is in time
                self.assertEqual(one.retry_at, inf)
            elif one.retry_at < inf:
                self.assertTrue(
                    process.now <= one.retry_at <= one.last_answered_at + ENTRY_TTL_SECONDS - 0.225
                )
                self.assertEqual(budget.available, left - 1)
                shares.append(one.retry_at - process.now)
                self.assertEqual(process.send_reports(1, False).heartbeat.retry_at, inf)  # one, and no more
        self.assertGreater(len(shares), 10)
        self.assertGreater(max(shares) - min(shares), 0.2)
        process = ProcessDriver().reach_state(State.WARM).send_reports(6, took=0.6 * INTERVAL_SECONDS)
        process.startup.budget.available, process.startup.budget.probe_at = 0.0, process.now + 60
        self.assertEqual(process.send_reports(2, False).heartbeat.retry_at, inf)

    def co_11_no_retry_while_unlisted(self, _: Row) -> None:
        process = ProcessDriver()
        self.assertEqual([process.send_reports(1, False).heartbeat.retry_at for _at in range(20)], [inf] * 20)
        self.assertEqual(process.startup.budget.available, process.startup.budget.size)

    def co_12_given_up(self, _: Row) -> None:
        process = ProcessDriver().send_reports(6, False, took=0.0)
        for _at in range(5):
            now = process.now = process.heartbeat.next_check_at
            until = process.startup.report_sent(now)
            self.assertEqual(until, min(now + heartbeat.REPORT_TIMEOUT_SECONDS, process.heartbeat.next_at))
            self.assertGreaterEqual(until, now + heartbeat.REPORT_TIMEOUT_SECONDS / 2)

    def co_13_extra_report(self, _: Row) -> None:
        process = ProcessDriver().send_reports(3)
        scheduled_at = process.heartbeat.next_at
        for moment, following in (
            (process.now + 0.2, scheduled_at),
            (scheduled_at - 0.1, scheduled_at + INTERVAL_SECONDS),
        ):
            process.heartbeat.send_now(moment)  # the second one replaces the heartbeat right after it
            self.assertTrue(process.startup.should_report(moment))
            process.startup.report_sent(moment)
            self.assertEqual(process.heartbeat.next_at, following)

    def check_steps(self, process: ProcessDriver, *steps: Any) -> None:
        """Make calls in steps: seconds, whether the rate limiter is open after them, outcomes by turns."""
        for span, is_open, *ends in steps:
            process.make_calls(span, *ends)
            self.assertEqual(process.rate_limiter.is_open, is_open, (span, ends))

    def co_14_open(self, _: Row) -> None:
        process = ProcessDriver()
        process.rate = 500.0
        self.assertAlmostEqual(process.make_calls(4.0), 2000, delta=1)
        self.assertTrue(process.rate_limiter.is_open)
        limits = rate_limiter.rate_limits(
            start_file.read_admission_settings(7, start_file_with()["settings"])
        )
        self.assertEqual(
            (limits.max_concurrency, limits.guaranteed_concurrency, limits.max_rate), (8.0, 8.0, 8.0 / 0.004)
        )

    def co_15_cut_while_cold(self, _: Row) -> None:
        for outcome in (REJECTED, UNREACHABLE):
            process = ProcessDriver().reach_state(State.WARMING)
            process.make_calls(6.0)
            usual = process.rate_limiter.usual_rate
            self.assertAlmostEqual(usual, 40.0, delta=4.0)
            process.rate_limiter.good_answers = 3.0
            process.startup.call_ended(process.now, "x", outcome, 0.0)
            self.assertAlmostEqual(process.rate_limiter.rate, usual / 2)

    def co_16_tolerant_while_warm(self, _: Row) -> None:
        self.check_steps(
            ProcessDriver().warm_up(), (10.0, True, *(OK,) * 14, *(Outcome.CONNECTION_LOST,) * 4, REJECTED)
        )

    def co_17_all_calls_rejected(self, _: Row) -> None:
        self.check_steps(process := ProcessDriver().warm_up(), (0.8, False, UNREACHABLE))
        self.assertAlmostEqual(process.rate_limiter.rate, 20.0, delta=2.5)
        for one in (process, ProcessDriver().warm_up(5.0)):
            one.make_calls(10.0, UNREACHABLE)
            self.assertAlmostEqual(one.rate_limiter.rate, one.rate_limiter.min_rate, delta=0.3)
            self.assertAlmostEqual(
                one.make_calls(20.0, UNREACHABLE), 20.0 * one.rate_limiter.min_rate, delta=6
            )

    def co_18_rises(self, _: Row) -> None:
        process = ProcessDriver().warm_up()
        usual = process.rate_limiter.usual_rate
        process.make_calls(12.0, UNREACHABLE)
        low = process.rate_limiter.rate
        process.make_calls(1.0)
        self.assertAlmostEqual(process.rate_limiter.rate, low + 0.9 * usual, delta=usual / 4)
        process.rate = 90.0  # more than the limit, so that some calls always wait
        rates = [process.rate_limiter.rate for _at in range(2) if process.make_calls(1.0)]
        self.assertTrue(
            1.1 * usual < max(rates) <= 1.2 * process.rate_limiter.usual_rate_at_close + 0.1, rates
        )
        self.check_steps(process, (16.0, True))  # opens, as the higher rate becomes the usual one

    def co_19_opens(self, _: Row) -> None:
        self.check_steps(ProcessDriver().warm_up(), (1.0, False, REJECTED), (8.0, True))

    def co_20_does_not_open(self, _: Row) -> None:
        self.check_steps(process := ProcessDriver().warm_up(), (2.0, False, UNREACHABLE))
        process.now += 60.0  # without any call
        process.startup.tick(process.now, 0.0)
        self.assertFalse(process.rate_limiter.is_open)

    def co_21_oldest_first(self, _: Row) -> None:
        backlog, budget = CallBacklog[str](max_calls=4), RetryBudget(0.0)
        budget.available, budget.probe_at = 0.0, 5.0
        for id in ("r1", "f1", "r2", "f2"):
            self.assertTrue(backlog.add(0.0, id, id, id[0] == "r"))
        self.assertFalse(backlog.add(0.0, "f3", "f3", False) or backlog.add(0.0, "r1", "r1", True))
        self.assertEqual(backlog.oldest_age(2.0), 2.0)
        self.assertEqual([backlog.take_next(0.0, budget) for _at in range(3)], ["f1", "f2", None])
        self.assertEqual((backlog.next_at(0.0, budget), backlog.drop("r9")), (5.0, None))
        budget.available = 1.0
        self.assertTrue(backlog.add(0.05, "f4", "f4", False))
        self.assertEqual([backlog.take_next(0.05, budget) for _at in range(3)], ["r1", "f4", None])
        self.assertEqual((backlog.drop("r2"), len(backlog), backlog.next_at(1.0, budget)), ("r2", 0, inf))
        budget.available = 1.0
        for id, repeat, until in (("a", False, 1.0), ("b", True, 1.1), ("c", False, 1.2), ("d", True, 9.0)):
            self.assertTrue(backlog.add(0.0, id, id, repeat, until))
        self.assertEqual(
            (backlog.take_next(0.9, budget, 0.25), backlog.expired, budget.available), ("c", ["a", "b"], 1.0)
        )
        self.assertEqual(
            (backlog.take_next(5.0, budget, 99.0), budget.available), (None, 1.0)
        )  # less than half of the initial time is left
        self.assertEqual((backlog.expired, len(backlog)), (["a", "b", "d"], 0))
        backlog.add(5.0, "e", "e", False, 6.0)
        self.assertEqual(backlog.take_next(5.4, budget, 99.0), "e")

    @on_loop
    async def co_22_expired_calls_never_ran(self, _: Row) -> None:
        async with dependency_client(None, is_closed=True) as harness:
            until = harness.start_calls("a", 0.15)
            harness.start_calls("b")
            self.assertEqual(await harness.outcomes(1), [("a", UNREACHABLE)])
            self.assertGreaterEqual(time.time(), until)
            harness.client.send(messages.AbandonCall("b"))
            await harness.wait_until(lambda: not harness.client.backlog)
            self.assertEqual(harness.database.heard, [])

    def co_23_suspended(self, _: Row) -> None:
        moments = []
        for at in range(100):
            process = ProcessDriver(f"n{at}").warm_up(10.0)
            process.now += 4.0
            process.startup.stalled(process.now, 4.0)
            self.assertAlmostEqual(process.rate_limiter.rate, 10.0, delta=1.5)
            moments.append(process.rate_limiter.next_token_at(process.now) - process.now)
        self.assertTrue(0.09 <= min(moments) < 0.12 and 0.17 < max(moments) <= 0.23)
        process = ProcessDriver().reach_state(State.WARM)
        process.startup.stalled(process.now, STALL_SECONDS)  # no later than in a busy process
        self.assertTrue(process.rate_limiter.is_open)

    def co_24_address_changed(self, _: Row) -> None:
        self.check_steps(process := ProcessDriver().warm_up(), (4.0, False, UNREACHABLE))
        process.rate_limiter.address_changed(process.now)
        self.assertAlmostEqual(process.rate_limiter.rate, 40.0, delta=4.0)
        self.check_steps(process, (6.0, True))

    def co_25_slow_calls(self, _: Row) -> None:
        process = ProcessDriver().warm_up()
        for process.took, is_open in ((0.03, True), (0.3, False)):
            self.check_steps(process, (3.0, is_open))

    def co_26_27_budget(self, _: Row) -> None:
        """An empty budget admits one retry every 2 s, and one for five successes."""
        budget = RetryBudget(0.0)
        sent_count = [at for at in (*[0] * 40, *range(160)) if budget.take(at / 8)]
        self.assertEqual((sent_count, budget.next_retry_at(19.9)), ([*[0] * 16, *range(16, 160, 16)], 20.0))
        for _at in range(5):
            budget.record_success()
        self.assertEqual((budget.take(19.9), budget.take(19.9)), (True, False))

    def co_28_connection_lost(self, _: Row) -> None:
        one = Connector(0.0, Random(1), budget := RetryBudget(0.0))
        for at in range(5):
            one.connected(at)
            one.ready(at)
            self.assertEqual(
                (one.connection_lost(at + 0.5), budget.available),
                (connector.FIRST_BACKOFF_SECONDS, budget.size),
            )

    def co_29_connection_refused(self, _: Row) -> None:
        tops = [min(0.5, 0.02 * 2**tries) for tries in range(1, 9)]
        drawn = []
        for seed in range(200):
            one = Connector(0.0, Random(seed), budget := RetryBudget(0.0))
            drawn.append([one.connect_failed(1.0) for _top in tops])
            self.assertEqual(budget.available, budget.size - len(tops))
            budget.available, budget.probe_at = 0.0, 9.0
            self.assertTrue(0.25 <= one.connect_failed(1.0) <= 0.5)
        for top, pauses in zip(tops, zip(*drawn, strict=True), strict=True):
            self.assertTrue(min(pauses) >= 0.01 and 0.8 * top < max(pauses) <= top)

    def co_30_slow_processor(self, _: Row) -> None:
        one = Connector(0.0, Random(1), RetryBudget(0.0))
        one.connected(0.1)
        found = [one.status(at) for at in (1.0, 11.0, 3600.0)]
        one.ready(3601.0)
        self.assertEqual(
            [*found, one.status(3700.0)],
            [ConnectorStatus.CONNECTING, *[ConnectorStatus.SLOW] * 2, ConnectorStatus.READY],
        )

    def co_31_failed_processor(self, _: Row) -> None:
        for closes in (False, True):
            one, now = Connector(0.0, Random(1), budget := RetryBudget(0.0)), 0.0
            fails = one.connection_lost if closes else one.connect_failed
            while now < connector.START_TIMEOUT_SECONDS:
                self.assertEqual(one.status(now), ConnectorStatus.CONNECTING)
                one.connected(now) if closes else None
                now += fails(now)
            self.assertEqual(one.status(now), ConnectorStatus.FAILED)
            budget.available = budget.size
            pauses = [one.connect_failed(now), *(fails(now) for _at in range(5000))]  # half an hour
            self.assertTrue(0.25 <= min(pauses) <= max(pauses) <= 0.5)
            self.assertEqual(budget.available, budget.size)

    def co_32_opens_with_a_backlog(self, _: Row) -> None:
        """Calls time out after a second; the dependency rejects the first and answers the others in 30 ms."""
        process = ProcessDriver().send_reports(2)
        process.rate, process.took, process.call_timeout = 100.0, 0.03, 1.0
        self.check_steps(process, (20.0, True, REJECTED, *(OK,) * 2000))
        self.assertEqual(process.timed_out_calls, 0)

    def co_33_single_faults(self, _: Row) -> None:
        """At 400 calls a second some fault is always recent, which must not keep the limiter closed."""
        for good, is_open in ((19, True), (4, True), (3, False), (1, False)):
            self.check_steps(
                ProcessDriver().warm_up(400.0),
                (1.0, False, UNREACHABLE),
                (8.0, is_open, REJECTED, *(OK,) * good),
            )

    def co_34_after_a_pause(self, _: Row) -> None:
        """With `tick` called during the pause or, as without any connection, not called."""
        for looks in ([0.25] * 40, [10.0]):
            self.check_steps(process := ProcessDriver().warm_up(), (24.0, True))
            for span in looks:
                process.now += span
                process.startup.tick(process.now, 0.0)
            process.startup.call_ended(process.now, "x", REJECTED, 0.01)
            self.assertAlmostEqual(process.rate_limiter.rate, 20.0, delta=2.0)
            self.check_steps(process, (6.0, True))

    @on_loop
    async def co_35_no_address(self, _: Row) -> None:
        async with dependency_client(None) as harness:
            harness.start_calls("a")
            await harness.database.until(lambda: harness.database.heard)
            harness.start_calls("b")
            harness.client.send(messages.AddressChanged(None))  # type: ignore[arg-type]
            self.assertEqual(await harness.outcomes(1), [("b", UNREACHABLE)])
            harness.client.send(messages.AddressChanged(harness.address))
            harness.close_limiter()
            # The client does not sweep by itself before this.
            harness.client.next_sweep_at = time.time() + 60.0
            harness.client.startup.failed_calls.add(time.time(), "e")
            harness.start_calls("cde")
            await harness.wait_until(lambda: len(harness.client.backlog) == 3)
            harness.client.send(messages.AddressChanged(None))  # type: ignore[arg-type]
            self.assertEqual(sorted(await harness.outcomes(3)), [(id, UNREACHABLE) for id in "cde"])
            self.assertFalse(harness.client.send(messages.StartCall("f", time.time() + 9, b"x")))
            self.assertTrue(harness.client.send(messages.AbandonCall("a")))  # in flight to the old address
            await harness.wait_until(lambda: not harness.client.in_flight)
            self.assertEqual(harness.events.statistics().current_buffer_used, 0)

    @on_loop
    async def co_36_clock_stops(self, _: Row) -> None:
        async with dependency_client(is_closed=True) as harness:
            still = dependency.clock()
            with mock.patch.object(dependency, "clock", lambda: still):
                harness.client.rate_limiter.rate, harness.client.rate_limiter.tokens = 40.0, -1.0
                harness.start_calls("abc")
                self.assertEqual(await harness.outcomes(3), [(id, OK) for id in "abc"])
            self.assertFalse(harness.client.rate_limiter.is_open)


class Bounds(unittest.TestCase):
    @HYPOTHESIS_SETTINGS
    @given(st.lists(st.tuples(st.floats(0, 3), st.booleans()), max_size=120), st.floats(0, 64))
    def test_retry_budget(self, steps: list[tuple[float, bool]], size: float) -> None:
        """Retries never exceed size, refill and probes together, and are never fewer than the probes."""
        budget, now, took, won, last = RetryBudget(0.0, size), 0.0, 0, 0, 0.0
        for span, works in steps:
            now, won = now + span, won + works
            budget.record_success() if works else None
            had, due, sent_count = budget.can_retry(now), budget.next_retry_at(now) <= now, budget.take(now)
            self.assertEqual((had, due), (sent_count, sent_count))
            self.assertTrue(sent_count or now < last + retry_budget.PROBE_SECONDS)
            took, last = took + sent_count, now if sent_count else last
            self.assertLessEqual(
                took,
                budget.size
                + retry_budget.REFILL_PER_SUCCESS * won
                + now / retry_budget.PROBE_SECONDS
                + 1
                + 1e-6,
            )
            self.assertTrue(0 <= budget.available <= budget.size)

    @HYPOTHESIS_SETTINGS
    @given(st.integers(0, 99), st.lists(
        st.tuples(st.floats(0, 0.4), st.sampled_from([*Outcome]), st.floats(0, 2), st.booleans()),
        max_size=150))  # fmt: skip
    def test_rate_limiter(self, seed: int, steps: list[tuple[float, Outcome, float, bool]]) -> None:
        """A closed limiter keeps its rate between floor and cap, never exceeds it and never stops calls."""
        one, now, booked, allowed = CallRateLimiter(0.0, Random(seed), LIMITS), 0.0, 0, 1.0
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
                )  # each call costs at least half a token
                self.assertLessEqual(one.next_token_at(now), now + 2 / one.min_rate)

    @HYPOTHESIS_SETTINGS
    @given(st.integers(0, 999), st.lists(st.tuples(
        st.sampled_from([True, True, False]), st.booleans(), st.floats(0, 0.44), st.floats(0, 0.07)),
        max_size=80))  # fmt: skip
    def test_single_failures_keep_the_entry(
        self, seed: int, steps: list[tuple[bool, bool, float, float]]
    ) -> None:
        """One failed report never expires the entry, even if heartbeats are as late as tolerated."""
        process, failed = ProcessDriver(f"n{seed}"), True
        for answered, silent, took, lateness in steps:
            answered = answered or failed  # no two failures in a row
            if not process.advance_to_heartbeat(lateness):
                continue
            given_up = min(process.now + heartbeat.REPORT_TIMEOUT_SECONDS, process.heartbeat.next_at)
            process.now = given_up if silent and not answered else process.now + took
            if process.heartbeat.last_answered_at > 0:
                self.assertLess(process.now, process.heartbeat.last_answered_at + ENTRY_TTL_SECONDS)
            (process.startup.report_accepted if answered else process.startup.report_failed)(process.now)
            failed = not answered

    def test_phases_are_uniform_and_distinct(self) -> None:
        """For different names with the same seed, and for different seeds with the same name."""
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

    def test_failed_calls(self) -> None:
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
    """300 simulated processes with slow start, compared with processes without it (`old`)."""

    def test_peaks(self) -> None:
        """Load stays below twice the steady rate, and far exceeds it without slow start."""
        calls = (sim.let_go_at_once, sim.held_for_a_moment, sim.both_back, sim.half_strength)
        reports = (sim.crowded_starts, sim.let_go_at_once, sim.both_back, sim.list_gone, sim.list_hangs,
                   sim.list_says_503, sim.third_killed_crowded, sim.second_cold_start)  # fmt: skip
        for what in dict.fromkeys((*calls, *reports)):
            with self.subTest(what.__name__):
                now, before = sim.play(what), sim.play(what, is_baseline=True)
                self.assertLessEqual(max(now.reports, now.calls), 2.0, now)
                self.assertTrue(now.fallen == 0 and now.gap < ENTRY_TTL_SECONDS and now.listed < inf, now)
                self.assertLessEqual(now.again, MAX_STRETCH * INTERVAL_SECONDS + 0.1)
                self.assertTrue(what not in reports or before.reports > 4.0, before)
                self.assertTrue(what not in calls or before.calls > 4.0, before)

    def test_reports_without_calls(self) -> None:
        """First reports are not delayed and come together after a common start; later ones are spread."""
        self.assertGreater(sim.play(sim.born_at_once, rate=0.0).reports, 8.0)
        self.assertLessEqual(sim.play(sim.behind_the_first, rate=0.0).reports, 2.0)
        self.assertLess(sim.play(sim.list_back_after_an_hour, process_count=60, rate=0.0).listed, inf)

    def test_detects_missing_defences(self) -> None:
        """Mutation test: one phase for all, no skipped heartbeat, no cut of the rate."""
        for target, name, value, play, loads in (
            (heartbeat.Random, "random", lambda self: 0.5, sim.let_go_at_once, "reports"),
            (heartbeat, "LATENESS_TOLERANCE", inf, sim.let_go_at_once, "reports"),
            (rate_limiter, "FAULT_SHARE", inf, sim.both_back, "calls"),
        ):
            with mock.patch.object(target, name, value):
                self.assertGreater(getattr(sim.play(play), loads), 2.0)


class DependencyClientHarness:
    """A dependency client alone, with the events that it sends to the dispatcher."""

    def __init__(self, database: Database) -> None:
        self.database, self.address = database, start_file.Address("127.0.0.1", database.port)
        self.inbox, self.events = anyio.create_memory_object_stream[Any](64)
        self.client = dependency.DependencyClient(
            self.address, self.inbox, StartupController(time.time(), 7, "n", LIMITS)
        )

    def close_limiter(self) -> None:
        """Close the rate limiter, so that no call gets a token for a while."""
        one = self.client.rate_limiter
        one._close(time.time())
        one.usual_rate_at_close, one.rate, one.tokens = 0.0, one.min_rate, -60.0

    def start_calls(self, ids: Iterable[str], within: float = 9.0) -> float:
        until = time.time() + within
        for id in ids:
            self.client.send(messages.StartCall(id, until, b"x"))
        return until

    async def outcomes(self, count: int) -> list[tuple[str, Outcome]]:
        with anyio.fail_after(3):
            return [(await self.events.receive())[:2] for _at in range(count)]

    async def wait_until(self, true: Callable[[], Any]) -> None:
        with anyio.fail_after(3):
            while not true():
                await anyio.sleep(0.005)


@asynccontextmanager
async def dependency_client(
    word: str | None = "ROWS", is_closed: bool = False
) -> AsyncIterator[DependencyClientHarness]:
    async with anyio.create_task_group() as tasks:
        await tasks.start((database := Database(word)).run)
        harness = DependencyClientHarness(database)
        harness.close_limiter() if is_closed else None
        tasks.start_soon(harness.client.run)
        yield harness
        tasks.cancel_scope.cancel()
    for mailbox in (harness.inbox, harness.events, harness.client.outbox, harness.client.outbox_reader):
        mailbox.close()


class Actors(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        logs.counters.clear()

    async def test_calls_wait_for_tokens_oldest_first(self) -> None:
        """A call beyond the backlog's capacity fails at once."""
        async with dependency_client(is_closed=True) as harness:
            harness.client.backlog.max_calls = 3
            harness.start_calls("abcd")
            self.assertEqual(await harness.outcomes(1), [("d", UNREACHABLE)])
            counts = [logs.counters[name] for name in ("calls_delayed", "calls_over_backlog")]
            self.assertEqual((harness.database.heard, counts), ([], [3, 1]))
            harness.client.rate_limiter.tokens = 3.0
            harness.client.send(messages.AbandonCall("none"))  # makes the client check its backlog
            self.assertEqual(await harness.outcomes(1), [("a", OK)])
            harness.client.rate_limiter.rate = LIMITS.max_rate
            harness.client.send(messages.AbandonCall("none"))
            self.assertEqual([outcome for _, outcome in await harness.outcomes(2)], [OK] * 2)
            self.assertEqual(harness.database.heard, ["Q a", "Q b", "Q c"])

    async def test_abandon_on_a_closing_connection(self) -> None:
        line = dependency.DependencyConnection(start_file.Address("127.0.0.1", 1), mock.AsyncMock())
        for id in "ab":
            self.assertTrue(line.start(messages.StartCall(id, time.time() + 9, b"x"), time.time()))
        line.outbox.close()
        line.outbox_reader.close()
        self.assertIsNotNone(line.abandon("a"))

    async def test_a_retry_without_budget_does_not_block_first_attempts(self) -> None:
        async with dependency_client("FULL") as harness:
            harness.start_calls("a")
            await harness.outcomes(1)
            harness.client.rate_limiter.rate, budget = LIMITS.max_rate, harness.client.startup.budget
            budget.available, budget.probe_at = 0.0, time.time() + 60
            harness.start_calls("ab")
            self.assertEqual(await harness.outcomes(1), [("b", REJECTED)])
            self.assertEqual(harness.database.heard, ["Q a", "Q b"])
            self.assertIsNotNone(harness.client.backlog.get("a"))

    async def test_a_returning_database_is_not_overloaded(self) -> None:
        """Twenty calls wait when the database returns; they must not be sent all at once."""
        async with dependency_client() as harness:
            harness.client.address = start_file.Address("127.0.0.1", 1)
            harness.start_calls(map(str, range(20)), 30)
            await harness.wait_until(lambda: not harness.client.rate_limiter.is_open)
            harness.client.address = harness.address
            harness.start_calls(map(str, range(20, 40)), 30)
            await harness.database.until(lambda: harness.database.heard)
            began = time.time()
            await anyio.sleep(0.3)
            self.assertLessEqual(
                len(harness.database.heard), 2 + harness.client.rate_limiter.rate_cap * (time.time() - began)
            )
            self.assertGreater(len(harness.client.backlog), 10)

    async def test_unchanged_health_is_not_reported_again(self) -> None:
        """A ready processor alone must not cause an extra report.

        When a zone returns, the processors of all its servers become ready at the same time. A change of
        health is reported at once.
        """
        async with running_server() as harness:
            began = time.time()
            await harness.roster.until(lambda: harness.roster.reports)
            await (router := await harness.router()).answer(await router.ask("look"))
            self.assertLessEqual(
                len(harness.roster.reports),
                1 + (time.time() - began) / (heartbeat.FIRST_GAP_INTERVALS * INTERVAL_SECONDS),
            )
            with mock.patch.multiple(
                endpoint_registry, REPORT_PERIOD_SECONDS=60.0, REPORT_TIMEOUT_SECONDS=60.0
            ):
                alone = endpoint_registry.EndpointRegistryClient(
                    start_file.Address("127.0.0.1", harness.roster.port), "other"
                )
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(alone.run)
                await harness.roster.until(lambda: ("/ns/hosts/other", "yes") in harness.roster.reports)
                for fit in (True, False, False):
                    alone.send(messages.HealthChanged(fit))
                await harness.roster.until(lambda: ("/ns/hosts/other", "no") in harness.roster.reports)
                said = [fit for path, fit in harness.roster.reports if path.endswith("other")]
                self.assertEqual(said, ["yes", "no"])
                tasks.cancel_scope.cancel()
            for mailbox in (alone.outbox, alone.outbox_reader):
                mailbox.close()

    async def test_peers_that_start_late(self) -> None:
        """Late peers are found.

        A registry that first answers 503 is retried. A processor that accepts the connection, but is silent,
        is not reconnected to, and used soon after its ready message.
        """
        slow = Processor()
        slow.up = anyio.Event()
        with mock.patch.multiple(endpoint_registry, REPORT_PERIOD_SECONDS=0.05, REPORT_TIMEOUT_SECONDS=0.05):
            async with running_server(slow, roster=Roster(503)) as harness:
                await harness.roster.until(lambda: logs.counters["reports_failed"] > 5 or None)
                harness.roster.status = 204
                await harness.roster.until(lambda: logs.counters["reports_accepted"] > 2 or None)
                await slow.until(lambda: slow.heard)
                self.assertEqual([said["event"] for said in slow.heard], ["hello"])
                slow.up.set()
                await slow.until(lambda: any(said["event"] == "usage" for said in slow.heard))


if __name__ == "__main__":
    unittest.main()
