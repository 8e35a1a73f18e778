"""Three app servers at 150% load are drained, killed and stopped in turn; a router follows BGP."""

from __future__ import annotations

import time
import unittest

import anyio

from fakes.bgp import Seen
from fakes.fleet import CORES, FOLLOW, GO_ON, KILL, PATIENCE, SPAN, STOP, TERM, Fleet, Instance, Sent
from fakes.processes import Spent
from tests.app_server import until

HOLD, GRACE, DELAY = 3.0, 2.0, 0.05
LATE = 0.5  # seconds for the event loop; time taken by other processes is added


def received_events(fleet: Fleet, one: Instance, since: float) -> list[Seen]:
    """Return what happened to a server's address at the peer."""
    mine = bytes(map(int, one.id.split(".")))
    return [seen for seen in fleet.peer.log if seen.who == mine and seen.at >= since]


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

                began = time.time()
                tasks.start_soon(ops)
                # Each is overloaded in turn and less preferred for a while, so that the others get its
                # requests; at times all are preferred again.
                for each in fleet.all:
                    await until(
                        lambda one=each: any(not seen.full for seen in received_events(fleet, one, began))
                    )
                drained, killed, hung = fleet.all
                await self.drain(fleet, drained, began)
                await self.back(fleet, drained)

                at, lost = await self.lost(fleet, killed, KILL, LATE)
                kill_at = (at, await self.left_alone(fleet, killed, lost))
                await killed.gone()
                await self.back(fleet, killed)

                at, lost = await self.lost(fleet, hung, STOP, HOLD + LATE)
                stop_at = (at, await self.left_alone(fleet, hung, lost))
                hung.signal(GO_ON)
                await until(lambda: fleet.peer.levels(hung.id))
                await anyio.sleep(1.0)

                await until(lambda: len(fleet.sent) > 800)
                load.cancel()
                # Servers that were neither killed nor stopped answered all requests; a path always existed.
                gone = {killed.number: kill_at, hung.number: stop_at}
                for one in fleet.all:
                    span = gone.get(one.number, (float("inf"), 0.0))
                    owed = [sent for sent in fleet.sent_to(one, 0.0)
                            if not span[0] - PATIENCE <= sent.at <= span[1]]  # fmt: skip
                    await self.answered(fleet, owed)
                self.assertEqual([at for at, many in fleet.paths if not many], [], "zero paths")
                # A single preferred server gets all requests and rejects most; those that ran were served.
                runs = sum(len(one.processor.begun) for one in fleet.all)
                self.assertGreater(fleet.acked(fleet.sent), runs * 2 / 3)
                self.assertGreater(runs, len(fleet.sent) / 6)
                tasks.cancel_scope.cancel()
        finally:
            fleet.down()

    async def drain(self, fleet: Fleet, one: Instance, began: float) -> None:
        """A drained server withdraws soon and before its listener closes; its requests are answered."""
        assert one.process is not None
        spent = Spent(one.process.pid)
        notice = one.signal(TERM)
        await until(lambda: not fleet.peer.levels(one.id))
        left, taken = max([notice, *(seen.at for seen in received_events(fleet, one, notice))]), spent.taken()
        self.assertLess(left - notice - taken, GRACE / 4 + LATE)
        self.assertNotIn("lost", [seen.what for seen in received_events(fleet, one, notice)])
        await until(lambda: one.said("listener_closed", notice))
        (door,) = one.said("listener_closed", notice)
        self.assertLess(max(one.said("address_level_changed", notice, as_="withdrawn"), default=notice), door)
        last = max(door, left + FOLLOW + LATE + taken)
        self.assertEqual(await one.gone(), 0)
        self.assertEqual(fleet.sent_to(one, last), [], "an op after refusal began")
        await self.answered(fleet, fleet.sent_to(one, began, door))
        self.assertNotIn("broken", one.log())

    async def lost(self, fleet: Fleet, one: Instance, number: int, within: float) -> tuple[float, float]:
        """Return when a server was killed or stopped, and when the peer had lost its path."""
        await until(lambda: fleet.peer.levels(one.id))  # it may be withdrawn for overload
        spent = Spent()
        at = one.signal(number)
        await until(lambda: not fleet.peer.levels(one.id))
        lost = max(seen.at for seen in received_events(fleet, one, 0.0))
        self.assertLess(lost - at - spent.taken(), within)
        return at, lost

    async def left_alone(self, fleet: Fleet, one: Instance, lost: float) -> float:
        """The router has noticed the lost path and sends no more requests; returns when."""
        await until(lambda: one.number not in [number for number, _ in fleet.known])
        seen = max(time.time(), lost + FOLLOW + LATE)
        await anyio.sleep(1.0)
        self.assertEqual(fleet.sent_to(one, seen), [])
        return seen

    async def answered(self, fleet: Fleet, sent: list[Sent]) -> None:
        spent = Spent()
        while fleet.unanswered(sent) and spent.seconds() < PATIENCE + LATE:
            await anyio.sleep(0.05)
        owed = [one.at for one in fleet.unanswered(sent)]
        known = [(seen.at, seen.who[-1], seen.what) for seen in fleet.peer.log]
        self.assertEqual(owed, [], f"ops without an answer; the peer heard {known}")

    async def back(self, fleet: Fleet, one: Instance) -> None:
        one.start([fleet.peer])
        await until(lambda: fleet.peer.levels(one.id))
        await anyio.sleep(0.5)
