"""The rows of docs/design.md that can be seen from outside, played on a running app server with the toy's
stand-ins around it: two cores, a target of one second, a beat of 0.1 s, a grace of 0.4 s, or 0.2."""

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
from tests.app_server import Place, place, tries
from tests.conformance.tables import played
from tests.conformance.test_design import by_client, none, submitted_as, table
from thymeyoke.admission import concurrency
from thymeyoke.admission.controller import AdmissionController
from thymeyoke.admission.prediction import WaitPredictor
from thymeyoke.admission.run_times import RunTimeEstimator

SOON = {"settings__contract__drain_grace_us": 300000}  # a grace of 0.2 s
KEY = {"method": "buy", "replay": "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"}
RUN = 0.2  # of the history


def stamp(ago: float = 0.0) -> str:
    """When an op reached the machine, as routers say it."""
    return f"{(time.time() - ago) * 1000:.0f}"


def ref(name: int) -> str:
    return f"{name:016x}"


class Stage:
    """A running server and one router. Ops are named by small numbers; their runs end when told."""

    def __init__(self, here: Place, router: Router) -> None:
        self.here, self.router, self.numbers = here, router, dict[int, int]()
        self.processor, self.database = here.processor, here.database

    async def ask(self, *names: int, method: str = "look", **fields: str) -> None:
        """Ops in one write; back when they are settled."""
        data = b""
        for name in names:
            self.numbers[name], frame = self.router.frame(method, ref=ref(name), **fields)
            data += frame
        await self.router.stream.send(data)
        await self.settled()

    async def settled(self) -> None:
        """All that was sent is settled, its answers are here, and its commands at the processor."""
        for _ in range(2):
            await self.fit()
        await anyio.sleep(0.02)

    async def fit(self) -> bool:
        return (await self.router.answer(await self.router.check()))[1][0]

    async def pressure(self) -> float:
        return float((await self.router.answer(await self.router.check()))[1][1].get("pressure", 0.0))

    async def begun(self, many: int) -> list[int]:
        """What has begun once that is so many, and whatever else has by then."""
        await self.processor.until(lambda: len(self.processor.begun) >= many)
        await self.settled()
        return [int(id, 16) for id in self.processor.begun]

    async def end(self, *names: int) -> None:
        for name in names:
            self.processor.end(ref(name))
        await self.settled()

    async def verdict(self, name: int) -> str:
        error, _ = await self.router.answer(self.numbers[name])
        return error[0] if error else "ok"

    def cooldown(self, name: int) -> str:
        return self.router.answers[self.numbers[name]][0][1].get("cooldown", "0")

    def open(self) -> set[int]:
        return {name for name, number in self.numbers.items() if number not in self.router.answers}

    def stopped(self) -> list[int]:
        return [int(said["handle"], 16) for said in self.processor.heard if said["event"] == "interrupt"]

    async def history(self) -> None:
        await self.ask(900)
        await self.begun(1)
        await anyio.sleep(RUN)
        await self.end(900)
        self.processor.begun.clear()

    async def leave(self, then: float = 0.0) -> float:
        """The notice to leave, and when it came; back so long after it."""
        await self.fit()
        began = time.time()
        os.kill(os.getpid(), signal.SIGTERM)
        while await self.fit():
            await anyio.sleep(0.005)
        await anyio.sleep(max(0.0, began + then - time.time()))
        return began


@asynccontextmanager
async def stage(database: Database | None = None, **changed: Any) -> AsyncIterator[Stage]:
    processor = Processor(span=0.0, calls=int(database is not None), held=True, cores=2)
    async with place(processor, database, **changed) as here:
        yield Stage(here, await here.router())


class Cases(unittest.TestCase):
    """A case for each row: its name begins with the row's id."""

    async def D_1_share(self) -> None:
        async with stage() as at:
            await at.ask(1, 2, 3, 4)
            await at.ask(5, 6, project="south")
            for ended, then in [(1, 5), (2, 3), (5, 6), (3, 4)]:
                before = await at.begun(2)
                await at.end(ended)
                self.assertEqual(await at.begun(len(before) + 1), [*before, then])

    async def D_2_lending(self) -> None:
        async with stage() as at:
            await at.ask(1, 2, 3, 4)
            self.assertEqual(await at.begun(2), [1, 2])

    async def D_3_lent_slots_come_back(self) -> None:
        async with stage() as at:
            await at.ask(1, 2, 3, 4)
            await at.ask(5, project="south")
            self.assertEqual((await at.begun(2), at.stopped()), ([1, 2], []))
            await at.end(1)
            self.assertEqual(await at.begun(3), [1, 2, 5])

    async def D_4_key(self) -> None:
        async with stage() as at:
            for name in (1, 2, 3):
                await at.ask(name, sender=str(name))
            await at.ask(4, sender="1", project="south")
            await at.end(1)
            self.assertEqual(await at.begun(3), [1, 2, 4])

    async def D_5_oldest_first(self) -> None:
        tenants = [{"name": name, "share": 0.25, "quota_per_s": 50.0} for name in "abcd"]
        async with stage(settings__tenants=tenants) as at:
            for name, project, ago in [(1, "a", 0.0), (2, "b", 0.0), (3, "c", 0.1), (4, "d", 0.5)]:
                await at.ask(name, project=project, since=stamp(ago))
            await at.end(1)
            self.assertEqual(await at.begun(3), [1, 2, 4])

    async def D_7_all_cores(self) -> None:
        async with stage() as at:
            await at.ask(1, 2, 3, 4)
            await anyio.sleep(0.25)
            self.assertEqual(await at.begun(2), [1, 2])
            await at.end(2)
            self.assertEqual(await at.begun(3), [1, 2, 3])

    async def D_12_predicted_wait(self) -> None:
        """Five that wait and two that run: 0.6 s and a run of 0.2; the op stands 0.6."""
        async with stage() as at:
            await at.history()
            await at.ask(10, since=stamp(0.4))
            self.assertEqual(await at.begun(1), [10])
            await at.end(10)
            await at.ask(*range(1, 8))
            await at.ask(9, since=stamp(0.4))
            self.assertEqual(at.open(), set(range(1, 8)))
            self.assertEqual((await at.verdict(9), await at.begun(3)), ("Shed", [10, 1, 2]))

    async def D_13_no_history(self) -> None:
        async with stage() as at:
            await at.ask(*range(1, 31))
            self.assertEqual(at.open(), set(range(1, 31)))

    async def D_15_age_of_what_runs(self) -> None:
        """Two that run for 1.7 s: a wait of 0.85 s and a run of 0.2 are past the target."""
        async with stage() as at:
            await at.history()
            await at.ask(1, 2, allow="2900")
            await at.ask(3)
            self.assertEqual(at.open(), {1, 2, 3})
            await at.router.cancel(at.numbers[3])
            await anyio.sleep(1.7)
            await at.ask(4)
            self.assertNotIn(4, at.open())
            self.assertEqual((await at.verdict(4), await at.begun(2)), ("Shed", [1, 2]))

    async def D_19_slot_given_up(self) -> None:
        async with stage(Database(None)) as at:
            await at.ask(1, 2, 3, 4)
            self.assertEqual(await at.begun(4), [1, 2, 3, 4])
            await at.database.until(lambda: len(at.database.asked) == 4)

    async def D_21_answers(self) -> None:
        """One's call is out, two waits to call, three and four run, five is held, six waits for three."""
        async with stage(Database(None), settings__family_info__fair_calls=1.5) as at:
            await at.ask(1, 2, allow="500")
            await at.database.until(lambda: at.database.asked)
            at.processor.calls = 0
            await at.ask(3, allow="2500", **KEY)
            await at.ask(4, allow="500")
            await at.begun(4)
            await at.ask(5, allow="350")
            await at.ask(6, allow="500", **KEY)
            verdicts = [await at.verdict(name) for name in (5, 1, 2, 4, 6)]
            self.assertEqual((verdicts, at.open()), (["Shed"] + ["Fault"] * 4, {3}))
            await at.end(3)
            self.assertEqual((await at.verdict(3), 5 in await at.begun(4)), ("ok", False))

    async def D_24_gone(self) -> None:
        async with stage() as at:
            await at.ask(1, **KEY)
            await at.ask(2, 3, 4)
            for name in (1, 3):
                await at.router.cancel(at.numbers[name])
            self.assertEqual(await at.begun(2), [1, 2])
            await at.end(1)
            self.assertEqual((await at.begun(3), at.open()), ([1, 2, 4], {1, 2, 3, 4}))

    async def D_26_repeats(self) -> None:
        async with stage() as at:
            await at.ask(1, 2, **KEY)
            await at.ask(3, **KEY)
            self.assertEqual(await at.begun(1), [1])
            await at.end(1)
            await at.ask(4, **KEY)
            self.assertEqual([await at.verdict(name) for name in (1, 2, 3, 4)], ["ok"] * 4)
            bodies = {at.router.answers[at.numbers[name]][1][0] for name in (1, 2, 3, 4)}
            self.assertEqual((len(bodies), await at.begun(1)), (1, [1]))

    async def D_31_failed_calls(self) -> None:
        for word, given, again in [("FAIL", KEY, False), ("FULL", KEY, True), ("FAIL", {}, True)]:
            async with stage(Database(word)) as at:
                await at.ask(1, **given)
                if again:
                    await at.database.until(lambda at=at: len(at.database.heard) > 1)
                else:
                    self.assertEqual((await at.verdict(1), len(at.database.heard)), ("Fault", 1))

    async def D_32_tries(self) -> None:
        async with stage(Database("FULL")) as at:
            await at.ask(1, allow="2900", **KEY)
            self.assertEqual((await at.verdict(1), len(at.database.heard)), ("Fault", 4))

    async def D_34_notice(self) -> None:
        async with stage() as at:
            await at.ask(1, 2, 3)
            await at.leave()
            await at.end(1)
            self.assertEqual((await at.begun(3), await at.verdict(1), at.open()), ([1, 2, 3], "ok", {2, 3}))

    async def D_35_within_the_grace(self) -> None:
        async with stage(**SOON) as at:
            began = await at.leave(then=0.25)
            await at.ask(1, since=stamp(time.time() - began - 0.1))
            self.assertEqual(await at.begun(1), [1])

    async def D_36_behind_the_grace(self) -> None:
        async with stage(**SOON) as at:
            await at.leave(then=0.3)
            await at.ask(1)
            self.assertEqual((at.open(), await at.begun(0)), (set(), []))
            self.assertEqual(await at.verdict(1), "Shed")

    async def D_37_wait_while_leaving(self) -> None:
        async with stage(**SOON) as at:
            await at.leave(then=0.3)
            await at.ask(1)
            self.assertEqual((await at.verdict(1), at.cooldown(1)), ("Shed", "1000"))

    async def D_38_all_answered_before_the_stop(self) -> None:
        async with stage(Database(None), stop_ms=700) as at:
            await at.ask(1, allow="2900")
            await at.database.until(lambda: at.database.asked)
            at.processor.calls = 0
            await at.ask(2, allow="2900", **KEY)
            await at.ask(3, 4, 5, allow="2900")
            await at.ask(6, allow="2900", **KEY)
            await at.leave()
            verdicts = [await at.verdict(name) for name in range(1, 7)]
            self.assertEqual((verdicts.count("Shed"), verdicts.count("Fault")), (2, 4))
            self.assertFalse(at.here.ended.is_set())

    async def D_40_repeats_while_leaving(self) -> None:
        async with stage() as at:
            await at.ask(1, **KEY)
            await at.end(1)
            await at.leave()
            await at.ask(2, **KEY)
            self.assertEqual((await at.verdict(2), await at.begun(1)), ("ok", [1]))

    async def D_41_crowd(self) -> None:
        """3/4 of two cores by two."""
        async with stage(Database(None), settings__contract__fall_multiple=2.0) as at:
            await at.ask(1, 2, 3, 4, 5)
            self.assertEqual(await at.begun(3), [1, 2, 3])

    async def D_42_memory(self) -> None:
        """Three of 10 kB in 76: each run takes 30 more."""
        async with stage(settings__family_info__memory_kb=80.0) as at:
            await at.ask(1, 2, 3)
            self.assertEqual(await at.begun(1), [1])
            await at.end(1)
            self.assertEqual(await at.begun(2), [1, 2])

    async def D_43_calls_below(self) -> None:
        """85% of three; one that is answered makes room for the next."""
        async with stage(Database(None), settings__family_info__fair_calls=3.0) as at:
            await at.ask(1, 2, 3, 4)
            await at.begun(4)
            self.assertEqual(len(at.database.asked), 2)
            id, stream = at.database.asked[0]
            await stream.send(f"{id} ROWS 1\r\nx\r\n".encode())
            await at.database.until(lambda: len(at.database.asked) == 3)

    async def D_45_floor(self) -> None:
        async with stage() as at:
            await at.history()
            await at.ask(*range(1, 10))
            while not await at.pressure():
                await anyio.sleep(0.02)
            for name in at.open():
                await at.router.cancel(at.numbers[name])
            await at.end(1, 2)
            while await at.pressure():
                await anyio.sleep(0.02)

    async def D_50_wait_told(self) -> None:
        async with stage() as at:
            await at.history()
            await at.ask(20, allow="100")
            await at.ask(*range(1, 10))
            await at.ask(21, allow="100")
            self.assertEqual([await at.verdict(name) for name in (20, 21)], ["Shed"] * 2)
            self.assertEqual(at.cooldown(20), "0")
            self.assertTrue(0 < int(at.cooldown(21)) <= 1000)

    async def D_51_health(self) -> None:
        async with stage() as at:
            await at.history()
            await at.ask(*range(1, 31))
            self.assertTrue(await at.fit())

    async def X_1_patience(self) -> None:
        async with stage() as at:
            await at.history()
            await at.ask(1, allow="100")
            await at.ask(2, allow="900")
            self.assertEqual((await at.begun(1), await at.verdict(1)), ([2], "Shed"))

    async def X_7_stale(self) -> None:
        """Three is due last and answered first."""
        async with stage() as at:
            await at.ask(1, 2, allow="2000")
            await at.ask(3, allow="2900", since=stamp(0.5))
            self.assertEqual((await at.verdict(3), at.open()), ("Shed", {1, 2}))
            await at.end(1)
            self.assertEqual(await at.begun(2), [1, 2])

    async def X_8_no_longer_fits(self) -> None:
        """Three is due last and answered first."""
        async with stage() as at:
            await at.history()
            await at.ask(1, 2, allow="2000")
            await at.ask(3, allow="2900", since=stamp(0.5))
            self.assertEqual((await at.verdict(3), at.open(), await at.begun(2)), ("Shed", {1, 2}, [1, 2]))

    async def X_9_stopped(self) -> None:
        async with stage() as at:
            await at.ask(1, allow="400")
            self.assertEqual(await at.verdict(1), "Fault")
            await at.processor.until(lambda: at.stopped() == [1])

    async def X_10_stopped_for_nobody(self) -> None:
        async with stage() as at:
            await at.ask(1)
            await at.begun(1)
            await at.router.cancel(at.numbers[1])
            await at.processor.until(lambda: at.stopped() == [1])
            await at.settled()
            self.assertEqual(at.open(), {1})

    async def X_11_not_stopped(self) -> None:
        async with stage() as at:
            await at.ask(1, allow="400", **KEY)
            self.assertEqual(await at.verdict(1), "Fault")
            await at.settled()
            self.assertEqual((at.stopped(), ref(1) in at.processor.runs), ([], True))

    async def X_19_fades(self) -> None:
        """A run of 1.2 s, less a twentieth with each nack: under the target after four, or a few more."""
        async with stage() as at:
            await at.ask(900, allow="2900")
            await at.begun(1)
            await anyio.sleep(1.2)
            await at.end(900)
            at.processor.begun.clear()
            for name in range(1, 41):
                await at.ask(name)
                if name in at.open():
                    break
                self.assertEqual(await at.verdict(name), "Shed")
            self.assertTrue(4 <= name < 40, name)
            self.assertEqual(await at.begun(1), [name])

    async def X_36_shed(self) -> None:
        """57 kB: a run of 40 and a held op leave no room for one of 10 that matters more, with a key of 4."""
        async with stage(settings__family_info__memory_kb=60.0) as at:
            await at.ask(1)
            await at.ask(2)
            await at.ask(3, **KEY)
            self.assertEqual((await at.verdict(2), at.open()), ("Shed", {1, 3}))


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
    ("X-19", RunTimeEstimator, "fade", none),
]


def play(id: str) -> None:
    """One case; what it raises within its tasks comes out as it is."""
    try:
        anyio.run(CASES[id], Cases())
    except BaseException as error:
        while isinstance(error, BaseExceptionGroup):
            error = error.exceptions[0]
        raise error from None


def steadily(id: str) -> None:
    for one in tries():
        with one:
            play(id)


class Running(unittest.TestCase):
    def test_every_row(self) -> None:
        played(self, table("yes"), "id", {id: lambda _, row: steadily(row["id"]) for id in CASES})

    def test_each_can_fail(self) -> None:
        for id, where, name, mutant in MUTANTS:
            with self.subTest(row=id, out=name), mock.patch.object(where, name, mutant):
                self.assertRaises(AssertionError, play, id)


if __name__ == "__main__":
    unittest.main()
