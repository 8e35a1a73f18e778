"""App servers that restart, reload or leave while something is still owed: several processes, as the platform
runs them (no operators' file), between routers, processors, one database and one list."""

from __future__ import annotations

import resource
import time
import unittest
from collections import Counter
from collections.abc import AsyncIterator, Collection
from contextlib import asynccontextmanager, suppress
from pathlib import Path
from typing import Any

import anyio

from examples.fakes import Router
from fakes.faulty_link import Link
from fakes.processes import AGAIN, KILL, TERM, AppServer, Drill, Named, Spent, drill
from fakes.routers import PATIENCE, Routers
from tests.fault_injection.play import Drills

EFFECTS = {"look": "retryable", "buy": "dedup", "send": "fragile"}  # by class
KEYED = "buy"
CORES = 2  # of each processor, by the settings: what comes beyond is held
# Seconds, within PATIENCE: with targets of a second a server on a crowded machine rightly rejects what it
# can't run by then, and whether one request is served told of the machine, not of the restart.
TARGET, DEADLINE = 20.0, 25.0
SOCKETS = 128
IDLE = 200  # silent connections to each app server, and as many that rest after a health check
READY, BACK = 10.0, 3.0  # seconds: of a restarted process, nine in ten; until a report once the list is back
SILENT = 8.0  # seconds that the list hangs
TAKEN, UNANSWERED = 204, 0  # what the list says to reports
VANISHED = 2000  # octets: some forty commands and asks for gauges, over more than a second
RESETS, STORM = 20, 2.0  # of every connection; within so many seconds


def changes() -> dict[str, Any]:
    """Of the toy's settings: a class of each effect, and a small processor."""
    target, deadline = (int(span * 1e6) for span in (TARGET, DEADLINE))
    row = {"aim_us": target, "deadline_us": deadline, "memory_span_us": deadline, "worth": 1.0}
    return {
        "settings__request_classes": [row | {"name": name, "effect": EFFECTS[name]} for name in EFFECTS],
        "settings__family_info__cpus": CORES,
        "settings__family_info__class_calls": [True] * len(EFFECTS),
        "settings__family_info__worth_without": [0.0] * len(EFFECTS),
    }


@asynccontextmanager
async def servers(many: int, later: Collection[str] = (), linked: Collection[str] = (), **more: Any) -> \
        AsyncIterator[tuple[Drill, Routers]]:  # fmt: skip
    """So many app servers, up and listed but for those that come later."""
    async with drill(31, servers=many, nodes=0, operators_file=False, later=later, linked=linked) as here:
        for one in here.servers:
            one.changes = changes() | more
        await here.up()
        for one in here.servers:
            if one.name not in later:
                await here.until(
                    lambda one=one: one.said("processor_ready") and here.roster.last(one.name), 20.0
                )
        yield here, Routers(here, list(EFFECTS), {KEYED}, DEADLINE)


async def again(here: Drill, one: AppServer) -> Spent:
    """Killed with its processor, it starts from nothing, under its own name and address."""
    one.processor = Named(one.name, span=0.005, calls=0, cores=8)
    await here.tasks.start(one.processor.run)
    here.start(one.name)
    return Spent(one.process.pid)


async def ready(here: Drill, one: AppServer, spent: Spent) -> float:
    """Seconds until a health check is answered `true`, the processor is up for it, and the list has heard of
    this life. What is asked before the processor is up is turned away."""
    healthy = False
    while not healthy:
        with suppress(OSError, KeyError):
            router = await Router.connect(here.tasks, "127.0.0.1", one.listen)
            healthy = (await router.answer(await router.check(), PATIENCE))[1][0]
        await anyio.sleep(0.01)
    at = time.time()
    await here.roster.until(lambda: here.roster.last(one.says) > spent.began, PATIENCE)
    [up] = await here.until(lambda: one.said("processor_ready", one.started_at))
    return spent.seconds(max(at, up["at"], here.roster.last(one.says)))


def let_go(one: AppServer) -> None:
    one.processor.held = False
    one.processor._changes()


class Restarts(Drills):
    def sound(self, here: Drill, *left: str) -> None:
        """Nobody ended or went wrong but who was told to; no body ran twice on one life of a processor."""
        for one in here.servers:
            self.assertEqual([line for line in one.lines() if line.get("level") in (None, "error")], [])
            self.assertEqual(one.runs, one.name not in left, one.name)
            bodies = Counter(run.body for run in one.processor.ran)
            self.assertEqual([body for body, many in bodies.items() if many > 1], [])

    async def answered(self, routers: Routers, besides: Collection[Router] = ()) -> None:
        """Each has its one answer, most are served; but for those on connections to one that was killed."""
        routers.over, fates = True, Counter[str | None]()
        for router, number, body in list(routers.asked):
            if router not in besides:
                await router.until(lambda: number in router.answers or router.closed, PATIENCE)  # noqa: B023
                self.assertIn(number, router.answers, body)
                error = router.answers[number][0]
                fates[error and error[0]] += 1
        self.assertLessEqual(set(fates), {None, "Shed", "Fault"})
        self.assertGreater(fates[None], sum(fates.values()) / 2, fates)

    async def back(self, here: Drill) -> None:
        """The list is; each app server reports to it soon. What it left unanswered stays so."""
        spents = {one.name: Spent(one.process.pid) for one in here.servers}
        here.roster.status = TAKEN
        here.heal()
        for name, spent in spents.items():
            await here.roster.until(lambda: here.roster.last(name) > spent.began, PATIENCE)  # noqa: B023
            self.assertLess(spent.seconds(here.roster.last(name)), BACK)

    async def test_with_requests_in_flight(self) -> None:
        """Three leave with requests held, running and half written; one is killed and comes back."""
        async with servers(6) as (here, routers):
            leaving, killed = here.servers[:3], here.servers[3]
            for one in here.servers:
                here.tasks.start_soon(routers.trickle, one.name)
            for one in leaving:
                one.processor.held = True
                await one.processor.until(lambda one=one: len(one.processor.runs) >= CORES, PATIENCE)
                await routers.each(one.name, 3)
            halves = {one.name: [await routers.half(one.name) for _ in range(2)] for one in leaving}
            for one in leaving:
                one.signal(TERM)
            killed.signal(KILL)
            await killed.gone()
            lost = {router for router, _, body in routers.asked if body.startswith(killed.name.encode())}
            spent = await again(here, killed)
            for one in leaving:
                [told] = await here.until(lambda one=one: one.said("graceful_shutdown_started"))
                self.assertGreater(told["requests_in_flight"], len(one.processor.runs))
                router, rest = halves[one.name][0]
                await router.stream.send(rest)
                let_go(one)
            for one in leaving:
                router, rest = halves[one.name][1]
                await router.until(lambda router=router: router.notices, PATIENCE)
                await router.stream.send(rest)
            await ready(here, killed, spent)
            self.assertTrue(await routers.served(killed.name))
            for one in leaving:
                self.assertEqual(await one.gone(), 0)
            await self.answered(routers, lost)
            self.sound(here, *(one.name for one in leaving))

    async def test_nine_in_ten_are_ready_soon(self) -> None:
        async with servers(10) as (here, _):
            for one in here.servers:
                one.signal(KILL)
            for one in here.servers:
                await one.gone()
            spents = [await again(here, one) for one in here.servers]
            took: list[float] = []

            async def measured(one: AppServer, spent: Spent) -> None:
                took.append(await ready(here, one, spent))

            async with anyio.create_task_group() as tasks:
                for one, spent in zip(here.servers, spents, strict=True):
                    tasks.start_soon(measured, one, spent)
            self.assertLess(sorted(took)[8], READY, took)
            self.sound(here)

    async def test_idle_clients_while_the_list_is_away(self) -> None:
        async with servers(4, linked=["around"], limits__sockets=SOCKETS) as (here, routers):
            lists = [here.links[one.name, "list"] for one in here.servers]
            most: Counter[str] = Counter()

            async def watch(one: AppServer) -> None:
                resource.prlimit(one.process.pid, resource.RLIMIT_NOFILE, (SOCKETS, SOCKETS))
                while one.runs:
                    with suppress(FileNotFoundError):
                        many = len(list(Path(f"/proc/{one.process.pid}/fd").iterdir()))
                        most[one.name] = max(most[one.name], many)
                    await anyio.sleep(0.02)

            async def idle(one: AppServer) -> None:
                for _ in range(IDLE):
                    await Router.connect(here.tasks, "127.0.0.1", one.listen)
                for _ in range(IDLE):
                    router = await Router.connect(here.tasks, "127.0.0.1", one.listen)
                    self.assertTrue((await router.answer(await router.check(), PATIENCE))[1][0])

            for one in here.servers:
                one.processor.calls = 1
                here.tasks.start_soon(watch, one)
                here.tasks.start_soon(routers.trickle, one.name)
            for refuses in (True, False):
                if refuses:
                    here.put(lists, "cut")
                else:
                    here.roster.status = UNANSWERED
                async with anyio.create_task_group() as tasks:
                    for one in here.servers:
                        tasks.start_soon(idle, one)
                for one in here.servers:
                    processor, calls = here.links[one.name, "processor"], len(here.database.asked)
                    processor.put("cut")
                    asked = await routers.ask(one.name)
                    processor.heal()
                    self.assertIsNone((await asked.router.answer(asked.number, PATIENCE))[0])
                    self.assertTrue(await routers.served(one.name))
                    self.assertGreater(len(here.database.asked), calls)
                await self.back(here)
            await self.answered(routers)
            for one in here.servers:
                one.signal(TERM)
                self.assertEqual(await one.gone(), 0)
                self.assertLess(most[one.name], SOCKETS)
                counted = one.said("counters")[-1].get("accepts_failed", 0)
                self.assertEqual(counted, len(one.said("accept_failed")))
            self.sound(here, *most)

    async def test_a_link_to_the_processor_that_was_dead_before_it_broke(self) -> None:
        """Nothing that goes out on it arrives, for as long as it takes. Once, what was sent more than 0.3 s
        before a loss counted as arrived: such requests failed, and each kept its core for good."""
        async with servers(1, linked=["around"]) as (here, routers):
            [one], link = here.servers, here.links["s1", "processor"]
            self.assertTrue(await routers.served(one.name))
            link.put("there")
            asked = [await routers.ask(one.name) for _ in range(CORES)]
            await here.until(lambda: link.vanished > VANISHED)
            link.heal()
            for each in asked:
                self.assertIsNone((await each.router.answer(each.number, PATIENCE))[0])
            for _ in range(2 * CORES):  # no core is taken for good
                self.assertTrue(await routers.served(one.name))
            await self.answered(routers)
            self.sound(here)

    async def test_a_successor_on_the_address_of_one_that_still_drains(self) -> None:
        async with servers(5, later=["s5"]) as (here, routers):
            old, new = here["s1"], here["s5"]
            old.processor.held = True
            await routers.ask(old.name)
            await old.processor.until(lambda: old.processor.runs)
            old.signal(TERM)
            await here.until(lambda: old.said("graceful_shutdown_started"))
            new.listen, new.says = old.listen, old.says
            here.start(new.name)
            let_go(old)
            await here.until(lambda: new.said("processor_ready") or not new.runs)
            self.sound(here, *([] if old.runs else [old.name]))
            self.assertTrue(await routers.served(new.name))
            self.assertEqual(await old.gone(), 0)
            await self.answered(routers)

    async def test_a_silent_list_and_a_storm_of_resets(self) -> None:
        """Nobody is up and serves nobody: each is listed again, and answers."""
        async with servers(6) as (here, routers):
            here.roster.status = UNANSWERED
            heals_at = time.monotonic() + SILENT
            ports = [one.listen for one in here.servers for _ in range(5)]
            for turn in range(RESETS):
                storm = [await Router.connect(here.tasks, "127.0.0.1", port) for port in ports]
                for at, router in enumerate(storm):
                    await router.ask("look", b"storm %d %d" % (turn, at))
                    await router.stream.send(router.frame("look", b"never whole")[1][:40])
                await anyio.sleep(STORM / RESETS)
                for router in storm:
                    await router.reset()
            for one in here.servers:
                self.assertTrue(await routers.served(one.name))
            await anyio.sleep(max(0.0, heals_at - time.monotonic()))
            await self.back(here)
            for one in here.servers:
                self.assertTrue(await routers.served(one.name))
            self.sound(here)

    async def test_a_reload_and_a_drain_at_once(self) -> None:
        """Processor, database and list are elsewhere, with requests in flight at servers that leave. None:
        until the notice was heard."""
        signals = {"s1": (TERM, None, AGAIN), "s2": (TERM, AGAIN), "s3": (AGAIN, TERM),
                   "s4": (AGAIN, AGAIN, TERM, TERM)}  # fmt: skip
        told = {"processor": "processor", "database": "db", "list": "naming"}
        new: dict[tuple[str, str], Link] = {}
        async with servers(4, linked=["around"]) as (here, routers):
            for one in here.servers:
                one.processor.held, one.processor.calls = True, 1
                await routers.each(one.name, 3)
                await one.processor.until(lambda one=one: len(one.processor.runs) >= CORES, PATIENCE)
                for to, key in told.items():
                    old = here.links[one.name, to]
                    link = new[one.name, to] = Link(old.target, f"{old.name} anew", here.timeline.say)
                    one.changes[key] = f"127.0.0.1:{await here.tasks.start(link.run)}"
                one.files()
            for name, numbers in signals.items():
                for number in numbers:
                    if number is None:
                        await here.until(lambda name=name: here[name].said("graceful_shutdown_started"))
                    else:
                        here[name].signal(number)
            for one in here.servers:
                await here.until(lambda one=one: new[one.name, "processor"].connections)
                here.put((here.links[one.name, to] for to in told), "cut")
                await routers.each(one.name)
                let_go(one)
            for one in here.servers:
                self.assertEqual(await one.gone(), 0)
            await self.answered(routers)
            self.assertEqual([way for way, link in new.items() if not link.connections], [])
            self.sound(here, *signals)


if __name__ == "__main__":
    unittest.main()
