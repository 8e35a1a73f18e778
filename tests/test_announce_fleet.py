"""Three instances at 150% of what they can do, drained, killed and hung in turn, with a router that follows
BGP."""

from __future__ import annotations

import time
import unittest
from collections.abc import Callable
from typing import Any

import anyio

from standins.fleet import CORES, FOLLOW, GO_ON, KILL, PATIENCE, SPAN, STOP, TERM, Fleet, Instance

HOLD, GRACE, DELAY = 3.0, 2.0, 0.05
LATE = 0.5  # for turns of the loop, on a machine that does other things as well


async def until(true: Callable[[], Any], within: float) -> float:
    with anyio.fail_after(within):
        while not true():
            await anyio.sleep(0.01)
    return time.time()


class ThreeInstances(unittest.TestCase):
    def test_drained_killed_and_hung_under_load(self) -> None:
        anyio.run(self.run_it)

    async def run_it(self) -> None:
        fleet = Fleet(3, DELAY)
        try:
            async with anyio.create_task_group() as tasks:
                await fleet.up(tasks)
                load = anyio.CancelScope()

                async def ops() -> None:
                    with load:
                        await fleet.load(1.5 * 3 * CORES / SPAN)

                tasks.start_soon(ops)
                drained, killed, hung = fleet.all
                began = time.time()
                await anyio.sleep(4.0)
                # All are crowded: each is less preferred, and none withdraws for it.
                self.assertTrue(any(fleet.peer.levels(one.id) == {False} for one in fleet.all))

                notice = drained.signal(TERM)
                left = await until(lambda: not fleet.peer.levels(drained.id), GRACE)
                self.assertLess(left - notice, GRACE / 4 + LATE)
                self.assertEqual(await drained.gone(), 0)
                late = fleet.sent_to(drained, notice + GRACE)
                self.assertEqual(late, [], "an op after refusal began")
                mine = fleet.sent_to(drained, began)
                self.assertEqual(fleet.unanswered(mine), [], "an op without its answer")
                self.assertNotIn("broken", drained.log())
                await self.back(fleet, drained)

                at = killed.signal(KILL)
                lost = await until(lambda: not fleet.peer.levels(killed.id), HOLD + LATE)
                self.assertLess(lost - at, LATE)
                await anyio.sleep(FOLLOW + LATE)
                self.assertEqual(fleet.sent_to(killed, lost + FOLLOW + LATE / 2), [])
                kill_at = (at, lost + FOLLOW + LATE)
                await killed.gone()
                await self.back(fleet, killed)

                at = hung.signal(STOP)
                lost = await until(lambda: not fleet.peer.levels(hung.id), HOLD + LATE)
                self.assertLess(lost - at, HOLD + LATE)
                await anyio.sleep(1.0)
                self.assertEqual(fleet.sent_to(hung, lost + FOLLOW + LATE / 2), [])
                stop_at = (at, lost + FOLLOW + LATE)
                hung.signal(GO_ON)
                await until(lambda: fleet.peer.levels(hung.id), 8.0)
                await anyio.sleep(1.0)

                load.cancel()
                await anyio.sleep(PATIENCE + LATE)
                # Whoever was neither killed nor hung answered all, and there was a path at every moment.
                gone = {killed.number: kill_at, hung.number: stop_at}
                for one in fleet.all:
                    span = gone.get(one.number, (float("inf"), 0.0))
                    for sent in fleet.unanswered(fleet.sent_to(one, 0.0)):
                        self.assertTrue(span[0] - PATIENCE <= sent.at <= span[1], "an op without its answer")
                self.assertGreater(len(fleet.sent), 800)
                self.assertEqual([at for at, many in fleet.paths if not many], [], "zero paths")
                self.assertGreater(fleet.acked(fleet.sent), len(fleet.sent) / 3)
                tasks.cancel_scope.cancel()
        finally:
            fleet.down()

    async def back(self, fleet: Fleet, one: Instance) -> None:
        one.start([fleet.peer])
        await until(lambda: fleet.peer.levels(one.id), 8.0)
        await anyio.sleep(0.5)
