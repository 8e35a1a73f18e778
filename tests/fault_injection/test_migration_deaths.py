"""Drills: nodes die in each state of a move, and fill from elsewhere while it is on its way."""

from __future__ import annotations

import time

import anyio

from fakes.clients import Line, source
from fakes.processes import KILL, Drill
from tests.fault_injection.test_migration import FOUND, ON_THE_WAY, SHOWN, Moving, seen, uneven

FOUR = ("north", "south", "west", "east")
ROOM = 12  # connections of the others, where one is to fill: twice those of a tenant


class Deaths(Moving):
    async def test_the_source_dies_in_each_state_and_comes_back(self) -> None:
        async with uneven(52, 4, FOUR, uneven=1.5) as (here, crowd):
            since = time.time()
            kept = await seen(here, "kept")
            await here.until(lambda: here.routes(kept["tenant"]) == {kept["to"]: True}, SHOWN, "not kept")
            self.come_again(here, "node-1", kept["tenant"])
            move = await seen(here, "settling")
            await self.source_dies(here)
            # The target held it, and what was kept is where it was.
            tenants = [kept["tenant"], move["tenant"]]
            for one in (kept, move):
                self.assertTrue(here.routes(one["tenant"]).get(one["to"]), "the target does not hold it")
                self.always_announced(here, since, one["tenant"])
            await self.source_comes_back(here, kept, move)
            here.step("again, with another tenant, before the target says that it holds it")
            move = await seen(here, *ON_THE_WAY)
            self.assertNotIn(move["tenant"], tenants)
            await self.source_dies(here)
            await here.until(
                lambda: here.routes(move["tenant"]).get(move["to"]), FOUND, "the target does not hold it"
            )
            await self.source_comes_back(here, move)
            await crowd.answered(2)
            self.keeps(crowd, since)

    async def source_dies(self, here: Drill) -> None:
        here["node-1"].signal(KILL)
        await here["node-1"].gone()

    async def source_comes_back(self, here: Drill, *moves: dict[str, str]) -> None:
        here.step("the source comes back, with a file that says it holds all")
        here.start("node-1")
        await here.until(
            lambda: all(here.routes(one["tenant"]) == {one["to"]: True} for one in moves)
            and all(map(here.routes, FOUR)), 20.0, "it does not make way")  # fmt: skip

    async def test_the_target_fills_or_dies_in_each_state(self) -> None:
        async with uneven(53, 5, FOUR, settle=6, full=ROOM) as (here, crowd):
            since = time.time()
            here.step("a target that fills from elsewhere")
            move = await seen(here, *ON_THE_WAY)
            tenant, target = move["tenant"], move["to"]
            lines = await self.fill(here, target)
            why = (await seen(here, "undone", to=target, within=SHOWN))["why"]
            self.assertRegex(why, f"^{target} has room for [0-5], 6 are still to come")
            await here.until(lambda: here.routes(tenant) == {"node-1": True}, SHOWN, "not taken back")
            self.always_announced(here, since, tenant)
            for line in lines:
                await anyio.aclose_forcefully(line.stream)
            here.step("a target that dies before it holds the tenant")
            since = time.time()
            move = await seen(here, *ON_THE_WAY)
            await self.target_dies(here, move, since)
            if move["state"] == "begun":
                self.never_less(here, since, move["tenant"])
            here.step("a target that dies while it settles")
            since = time.time()
            await self.target_dies(here, await seen(here, "settling"), since)
            here.step("a target that dies once it is kept")
            kept = await seen(here, "kept")
            await here.until(lambda: here.routes(kept["tenant"]) == {kept["to"]: True}, SHOWN, "not kept")
            since = time.time()
            here[kept["to"]].signal(KILL)
            await here.until(lambda: here.routes(kept["tenant"]) == {"node-1": True}, FOUND, "not taken back")
            await seen(here, "undone", to=kept["to"], tenant=kept["tenant"], since=since, within=SHOWN)
            await crowd.answered(2)
            self.keeps(crowd, 0.0)

    async def target_dies(self, here: Drill, move: dict[str, str], since: float) -> None:
        tenant, target = move["tenant"], move["to"]
        here[target].signal(KILL)
        await here[target].gone()
        await seen(here, "undone", to=target, tenant=tenant, since=since, within=FOUND)
        await here.until(lambda: here.routes(tenant) == {"node-1": True}, SHOWN, "not taken back")
        self.always_announced(here, since, tenant)

    async def fill(self, here: Drill, target: str) -> list[Line]:
        """Customers that come there whatever is announced, nearly as many as it takes; they ask once, and
        stay. All at once: it is to be full before the move is over."""
        lines: list[Line] = []

        async def come(number: int) -> None:
            line = await Line.come(
                here.tasks, source(1000 + number), here.address(FOUR[0]), here[target].services[FOUR[0]]
            )
            lines.append(line)
            await line.ask("look", b"fill", project=FOUR[0], allow="5000")

        async with anyio.create_task_group() as tasks:
            for number in range(ROOM - 3):
                tasks.start_soon(come, number)
        return lines
