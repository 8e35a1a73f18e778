"""Tests the rows of docs/design.md that are visible from outside, on a running app server among fakes.

The server has two cores, a latency objective of one second, a timer interval of 0.1 s and a drain grace of
0.4 s, or of 0.2 s with `SHORT_GRACE`.
"""

from __future__ import annotations

import os
import signal
import time
import unittest
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from typing import Any
from unittest import mock

import anyio

from examples.fakes import Database, Processor, Router
from tests.app_server import RunningServer, attempts, running_server
from tests.conformance.tables import played
from tests.conformance.test_design import by_client, do_nothing, submitted_as, table
from thymeyoke.admission import concurrency
from thymeyoke.admission.controller import AdmissionController
from thymeyoke.admission.prediction import WaitPredictor
from thymeyoke.admission.run_times import RunTimeEstimator

SHORT_GRACE = {"settings__contract__drain_grace_us": 300000}  # a grace of 0.2 s
BUY_WITH_KEY = {"method": "buy", "replay": "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"}
HISTORY_RUN_SECONDS = 0.2  # run time that `make_history` teaches the server


def arrival_time(ago: float = 0.0) -> str:
    """The arrival time field of a request that reached the machine `ago` seconds before now."""
    return f"{(time.time() - ago) * 1000:.0f}"


def request_ref(name: int) -> str:
    return f"{name:016x}"


class ServerDriver:
    """A running server and one router. Requests have small numbers as names; the test ends their runs."""

    def __init__(self, here: RunningServer, router: Router) -> None:
        self.here, self.router, self.numbers = here, router, dict[int, int]()
        self.processor, self.database = here.processor, here.database

    async def submit(self, *names: int, method: str = "look", **fields: str) -> None:
        """Send requests in one write; returns when the server has processed them."""
        data = b""
        for name in names:
            self.numbers[name], frame = self.router.frame(method, ref=request_ref(name), **fields)
            data += frame
        await self.router.stream.send(data)
        await self.wait_until_processed()

    async def wait_until_processed(self) -> None:
        """Wait until all requests are processed, answers received and commands at the processor."""
        for _ in range(2):
            await self.is_healthy()
        await anyio.sleep(0.02)

    async def is_healthy(self) -> bool:
        return (await self.router.answer(await self.router.check()))[1][0]

    async def pressure(self) -> float:
        return float((await self.router.answer(await self.router.check()))[1][1].get("pressure", 0.0))

    async def started_runs(self, count: int) -> list[int]:
        """Wait until `count` runs have started; returns all that have started by then."""
        await self.processor.until(lambda: len(self.processor.begun) >= count)
        await self.wait_until_processed()
        return [int(id, 16) for id in self.processor.begun]

    async def end_runs(self, *names: int) -> None:
        for name in names:
            self.processor.end(request_ref(name))
        await self.wait_until_processed()

    async def verdict(self, name: int) -> str:
        error, _ = await self.router.answer(self.numbers[name])
        return error[0] if error else "ok"

    def retry_after(self, name: int) -> str:
        return self.router.answers[self.numbers[name]][0][1].get("cooldown", "0")

    def unanswered(self) -> set[int]:
        return {name for name, number in self.numbers.items() if number not in self.router.answers}

    def stopped_runs(self) -> list[int]:
        return [int(said["handle"], 16) for said in self.processor.heard if said["event"] == "interrupt"]

    async def make_history(self) -> None:
        await self.submit(900)
        await self.started_runs(1)
        await anyio.sleep(HISTORY_RUN_SECONDS)
        await self.end_runs(900)
        self.processor.begun.clear()

    async def shut_down(self, wait: float = 0.0) -> float:
        """Send the shutdown notice and wait until `wait` seconds after it; returns the time of the notice."""
        await self.is_healthy()
        began = time.time()
        os.kill(os.getpid(), signal.SIGTERM)
        while await self.is_healthy():
            await anyio.sleep(0.005)
        await anyio.sleep(max(0.0, began + wait - time.time()))
        return began


@asynccontextmanager
async def driven_server(database: Database | None = None, **changed: Any) -> AsyncIterator[ServerDriver]:
    processor = Processor(span=0.0, calls=int(database is not None), held=True, cores=2)
    async with running_server(processor, database, **changed) as here:
        yield ServerDriver(here, await here.router())


class Cases(unittest.TestCase):
    """One case for each row; its name starts with the row's id."""

    async def D_1_share(self) -> None:
        async with driven_server() as server:
            await server.submit(1, 2, 3, 4)
            await server.submit(5, 6, project="south")
            for ended, then in [(1, 5), (2, 3), (5, 6), (3, 4)]:
                before = await server.started_runs(2)
                await server.end_runs(ended)
                self.assertEqual(await server.started_runs(len(before) + 1), [*before, then])

    async def D_2_lending(self) -> None:
        async with driven_server() as server:
            await server.submit(1, 2, 3, 4)
            self.assertEqual(await server.started_runs(2), [1, 2])

    async def D_3_lent_slots_return(self) -> None:
        async with driven_server() as server:
            await server.submit(1, 2, 3, 4)
            await server.submit(5, project="south")
            self.assertEqual((await server.started_runs(2), server.stopped_runs()), ([1, 2], []))
            await server.end_runs(1)
            self.assertEqual(await server.started_runs(3), [1, 2, 5])

    async def D_4_fairness_key(self) -> None:
        async with driven_server() as server:
            for name in (1, 2, 3):
                await server.submit(name, sender=str(name))
            await server.submit(4, sender="1", project="south")
            await server.end_runs(1)
            self.assertEqual(await server.started_runs(3), [1, 2, 4])

    async def D_5_oldest_first(self) -> None:
        tenants = [{"name": name, "share": 0.25, "quota_per_s": 50.0} for name in "abcd"]
        async with driven_server(settings__tenants=tenants) as server:
            for name, project, ago in [(1, "a", 0.0), (2, "b", 0.0), (3, "c", 0.1), (4, "d", 0.5)]:
                await server.submit(name, project=project, since=arrival_time(ago))
            await server.end_runs(1)
            self.assertEqual(await server.started_runs(3), [1, 2, 4])

    async def D_7_all_cores(self) -> None:
        async with driven_server() as server:
            await server.submit(1, 2, 3, 4)
            await anyio.sleep(0.25)
            self.assertEqual(await server.started_runs(2), [1, 2])
            await server.end_runs(2)
            self.assertEqual(await server.started_runs(3), [1, 2, 3])

    async def D_12_predicted_wait(self) -> None:
        """Five waiting and two running requests: a wait of 0.6 s and a run of 0.2 s, with 0.6 s left."""
        async with driven_server() as server:
            await server.make_history()
            await server.submit(10, since=arrival_time(0.4))
            self.assertEqual(await server.started_runs(1), [10])
            await server.end_runs(10)
            await server.submit(*range(1, 8))
            await server.submit(9, since=arrival_time(0.4))
            self.assertEqual(server.unanswered(), set(range(1, 8)))
            self.assertEqual((await server.verdict(9), await server.started_runs(3)), ("Shed", [10, 1, 2]))

    async def D_13_no_history(self) -> None:
        async with driven_server() as server:
            await server.submit(*range(1, 31))
            self.assertEqual(server.unanswered(), set(range(1, 31)))

    async def D_15_age_of_runs(self) -> None:
        """Two runs that have taken 1.7 s: a wait of 0.85 s and a run of 0.2 s miss the objective."""
        async with driven_server() as server:
            await server.make_history()
            await server.submit(1, 2, allow="2900")
            await server.submit(3)
            self.assertEqual(server.unanswered(), {1, 2, 3})
            await server.router.cancel(server.numbers[3])
            await anyio.sleep(1.7)
            await server.submit(4)
            self.assertNotIn(4, server.unanswered())
            self.assertEqual((await server.verdict(4), await server.started_runs(2)), ("Shed", [1, 2]))

    async def D_19_slot_freed_by_calls(self) -> None:
        async with driven_server(Database(None)) as server:
            await server.submit(1, 2, 3, 4)
            self.assertEqual(await server.started_runs(4), [1, 2, 3, 4])
            await server.database.until(lambda: len(server.database.asked) == 4)

    async def D_21_answers(self) -> None:
        """1 has a call in flight, 2 waits for one, 3 and 4 run, 5 is queued, 6 waits for the result of 3."""
        async with driven_server(Database(None), settings__family_info__fair_calls=1.5) as server:
            await server.submit(1, 2, allow="500")
            await server.database.until(lambda: server.database.asked)
            server.processor.calls = 0
            await server.submit(3, allow="2500", **BUY_WITH_KEY)
            await server.submit(4, allow="500")
            await server.started_runs(4)
            await server.submit(5, allow="350")
            await server.submit(6, allow="500", **BUY_WITH_KEY)
            verdicts = [await server.verdict(name) for name in (5, 1, 2, 4, 6)]
            self.assertEqual((verdicts, server.unanswered()), (["Shed"] + ["Fault"] * 4, {3}))
            await server.end_runs(3)
            self.assertEqual((await server.verdict(3), 5 in await server.started_runs(4)), ("ok", False))

    async def D_24_abandoned(self) -> None:
        async with driven_server() as server:
            await server.submit(1, **BUY_WITH_KEY)
            await server.submit(2, 3, 4)
            for name in (1, 3):
                await server.router.cancel(server.numbers[name])
            self.assertEqual(await server.started_runs(2), [1, 2])
            await server.end_runs(1)
            self.assertEqual((await server.started_runs(3), server.unanswered()), ([1, 2, 4], {1, 2, 3, 4}))

    async def D_26_repeats(self) -> None:
        async with driven_server() as server:
            await server.submit(1, 2, **BUY_WITH_KEY)
            await server.submit(3, **BUY_WITH_KEY)
            self.assertEqual(await server.started_runs(1), [1])
            await server.end_runs(1)
            await server.submit(4, **BUY_WITH_KEY)
            self.assertEqual([await server.verdict(name) for name in (1, 2, 3, 4)], ["ok"] * 4)
            bodies = {server.router.answers[server.numbers[name]][1][0] for name in (1, 2, 3, 4)}
            self.assertEqual((len(bodies), await server.started_runs(1)), (1, [1]))

    async def D_31_failed_calls(self) -> None:
        for word, given, again in [
            ("FAIL", BUY_WITH_KEY, False),
            ("FULL", BUY_WITH_KEY, True),
            ("FAIL", {}, True),
        ]:
            async with driven_server(Database(word)) as server:
                await server.submit(1, **given)
                if again:
                    await server.database.until(lambda server=server: len(server.database.heard) > 1)
                else:
                    self.assertEqual((await server.verdict(1), len(server.database.heard)), ("Fault", 1))

    async def D_32_attempts(self) -> None:
        async with driven_server(Database("FULL")) as server:
            await server.submit(1, allow="2900", **BUY_WITH_KEY)
            self.assertEqual((await server.verdict(1), len(server.database.heard)), ("Fault", 4))

    async def D_34_shutdown_notice(self) -> None:
        async with driven_server() as server:
            await server.submit(1, 2, 3)
            await server.shut_down()
            await server.end_runs(1)
            self.assertEqual(
                (await server.started_runs(3), await server.verdict(1), server.unanswered()),
                ([1, 2, 3], "ok", {2, 3}),
            )

    async def D_35_within_the_grace(self) -> None:
        async with driven_server(**SHORT_GRACE) as server:
            began = await server.shut_down(wait=0.25)
            await server.submit(1, since=arrival_time(time.time() - began - 0.1))
            self.assertEqual(await server.started_runs(1), [1])

    async def D_36_after_the_grace(self) -> None:
        async with driven_server(**SHORT_GRACE) as server:
            await server.shut_down(wait=0.3)
            await server.submit(1)
            self.assertEqual((server.unanswered(), await server.started_runs(0)), (set(), []))
            self.assertEqual(await server.verdict(1), "Shed")

    async def D_37_retry_after_while_draining(self) -> None:
        async with driven_server(**SHORT_GRACE) as server:
            await server.shut_down(wait=0.3)
            await server.submit(1)
            self.assertEqual((await server.verdict(1), server.retry_after(1)), ("Shed", "1000"))

    async def D_38_all_answered_before_the_stop(self) -> None:
        async with driven_server(Database(None), stop_ms=700) as server:
            await server.submit(1, allow="2900")
            await server.database.until(lambda: server.database.asked)
            server.processor.calls = 0
            await server.submit(2, allow="2900", **BUY_WITH_KEY)
            await server.submit(3, 4, 5, allow="2900")
            await server.submit(6, allow="2900", **BUY_WITH_KEY)
            await server.shut_down()
            verdicts = [await server.verdict(name) for name in range(1, 7)]
            self.assertEqual((verdicts.count("Shed"), verdicts.count("Fault")), (2, 4))
            self.assertFalse(server.here.ended.is_set())

    async def D_40_repeats_while_draining(self) -> None:
        async with driven_server() as server:
            await server.submit(1, **BUY_WITH_KEY)
            await server.end_runs(1)
            await server.shut_down()
            await server.submit(2, **BUY_WITH_KEY)
            self.assertEqual((await server.verdict(2), await server.started_runs(1)), ("ok", [1]))

    async def D_41_overload(self) -> None:
        """The ceiling is 3/4 of two requests for each of two cores."""
        async with driven_server(Database(None), settings__contract__fall_multiple=2.0) as server:
            await server.submit(1, 2, 3, 4, 5)
            self.assertEqual(await server.started_runs(3), [1, 2, 3])

    async def D_42_memory(self) -> None:
        """Three requests of 10 kB in 76 kB: each run needs 30 kB more."""
        async with driven_server(settings__family_info__memory_kb=80.0) as server:
            await server.submit(1, 2, 3)
            self.assertEqual(await server.started_runs(1), [1])
            await server.end_runs(1)
            self.assertEqual(await server.started_runs(2), [1, 2])

    async def D_43_dependency_calls(self) -> None:
        """85% of three calls are in flight at once; the next is sent when one returns."""
        async with driven_server(Database(None), settings__family_info__fair_calls=3.0) as server:
            await server.submit(1, 2, 3, 4)
            await server.started_runs(4)
            self.assertEqual(len(server.database.asked), 2)
            id, stream = server.database.asked[0]
            await stream.send(f"{id} ROWS 1\r\nx\r\n".encode())
            await server.database.until(lambda: len(server.database.asked) == 3)

    async def D_45_floor(self) -> None:
        async with driven_server() as server:
            await server.make_history()
            await server.submit(*range(1, 10))
            while not await server.pressure():
                await anyio.sleep(0.02)
            for name in server.unanswered():
                await server.router.cancel(server.numbers[name])
            await server.end_runs(1, 2)
            while await server.pressure():
                await anyio.sleep(0.02)

    async def D_50_retry_after(self) -> None:
        async with driven_server() as server:
            await server.make_history()
            await server.submit(20, allow="100")
            await server.submit(*range(1, 10))
            await server.submit(21, allow="100")
            self.assertEqual([await server.verdict(name) for name in (20, 21)], ["Shed"] * 2)
            self.assertEqual(server.retry_after(20), "0")
            self.assertTrue(0 < int(server.retry_after(21)) <= 1000)

    async def D_51_health(self) -> None:
        async with driven_server() as server:
            await server.make_history()
            await server.submit(*range(1, 31))
            self.assertTrue(await server.is_healthy())

    async def X_1_client_timeout(self) -> None:
        async with driven_server() as server:
            await server.make_history()
            await server.submit(1, allow="100")
            await server.submit(2, allow="900")
            self.assertEqual((await server.started_runs(1), await server.verdict(1)), ([2], "Shed"))

    async def X_7_stale(self) -> None:
        """Request 3 has the latest deadline, but is answered first."""
        async with driven_server() as server:
            await server.submit(1, 2, allow="2000")
            await server.submit(3, allow="2900", since=arrival_time(0.5))
            self.assertEqual((await server.verdict(3), server.unanswered()), ("Shed", {1, 2}))
            await server.end_runs(1)
            self.assertEqual(await server.started_runs(2), [1, 2])

    async def X_8_no_longer_fits(self) -> None:
        """Request 3 has the latest deadline, but is answered first."""
        async with driven_server() as server:
            await server.make_history()
            await server.submit(1, 2, allow="2000")
            await server.submit(3, allow="2900", since=arrival_time(0.5))
            self.assertEqual(
                (await server.verdict(3), server.unanswered(), await server.started_runs(2)),
                ("Shed", {1, 2}, [1, 2]),
            )

    async def X_9_stopped(self) -> None:
        async with driven_server() as server:
            await server.submit(1, allow="400")
            self.assertEqual(await server.verdict(1), "Fault")
            await server.processor.until(lambda: server.stopped_runs() == [1])

    async def X_10_stopped_when_abandoned(self) -> None:
        async with driven_server() as server:
            await server.submit(1)
            await server.started_runs(1)
            await server.router.cancel(server.numbers[1])
            await server.processor.until(lambda: server.stopped_runs() == [1])
            await server.wait_until_processed()
            self.assertEqual(server.unanswered(), {1})

    async def X_11_not_stopped(self) -> None:
        async with driven_server() as server:
            await server.submit(1, allow="400", **BUY_WITH_KEY)
            self.assertEqual(await server.verdict(1), "Fault")
            await server.wait_until_processed()
            self.assertEqual((server.stopped_runs(), request_ref(1) in server.processor.runs), ([], True))

    async def X_19_estimate_decays(self) -> None:
        """A run time of 1.2 s shrinks by a twentieth per rejection, to the objective after four or more."""
        async with driven_server() as server:
            await server.submit(900, allow="2900")
            await server.started_runs(1)
            await anyio.sleep(1.2)
            await server.end_runs(900)
            server.processor.begun.clear()
            for name in range(1, 41):
                await server.submit(name)
                if name in server.unanswered():
                    break
                self.assertEqual(await server.verdict(name), "Shed")
            self.assertTrue(4 <= name < 40, name)
            self.assertEqual(await server.started_runs(1), [name])

    async def X_36_shed(self) -> None:
        """A run takes 40 of 57 kB and a queued request 10: too little for a third of 10 and a key of 4.

        The third has a higher weight, so the queued one is rejected.
        """
        async with driven_server(settings__family_info__memory_kb=60.0) as server:
            await server.submit(1)
            await server.submit(2)
            await server.submit(3, **BUY_WITH_KEY)
            self.assertEqual((await server.verdict(2), server.unanswered()), ("Shed", {1, 3}))


CASES: dict[str, Callable[[Cases], Awaitable[None]]] = {
    "-".join(name.split("_")[:2]): case for name, case in vars(Cases).items() if name[0] in "DX"
}
MUTANTS: list[tuple[str, object, str, Any]] = [
    ("D-1", concurrency, "QUOTA_SHARE", 1.0),
    ("D-4", AdmissionController, "submit", by_client),
    ("D-12", WaitPredictor, "misses_objective", lambda *_: False),
    ("D-26", AdmissionController, "submit", submitted_as(original_id=None)),
    ("D-41", concurrency, "SAFE_OVERLOAD_SHARE", 9.0),
    ("X-7", WaitPredictor, "is_stale", lambda *_: False),
    ("X-19", RunTimeEstimator, "decay", do_nothing),
]


def play(id: str) -> None:
    """Run one case; raises the first error from within its task groups."""
    try:
        anyio.run(CASES[id], Cases())
    except BaseException as error:
        while isinstance(error, BaseExceptionGroup):
            error = error.exceptions[0]
        raise error from None


def play_with_retries(id: str) -> None:
    for one in attempts():
        with one:
            play(id)


class Running(unittest.TestCase):
    def test_every_row(self) -> None:
        played(self, table("yes"), "id", {id: lambda _, row: play_with_retries(row["id"]) for id in CASES})

    def test_each_can_fail(self) -> None:
        for id, where, name, mutant in MUTANTS:
            with self.subTest(row=id, out=name), mock.patch.object(where, name, mutant):
                self.assertRaises(AssertionError, play, id)


if __name__ == "__main__":
    unittest.main()
