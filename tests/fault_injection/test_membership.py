"""Membership while links fail and processes stop, resume, die and use the names of others."""

from __future__ import annotations

import time

import anyio

from fakes.faulty_link import BACK, THERE
from fakes.processes import GO_ON, KILL, STOP, Drill
from tests.fault_injection.play import Drills, fleet

DEAD = "member_now_dead"
FOUND = 15.0  # seconds to detect a death with ten members and a period of 0.3, on a busy machine


def found_dead(here: Drill, since: float, besides: tuple[str, ...] = ()) -> list[tuple[str, str]]:
    """Who declared whom dead, except for processes that died or were stopped, and stalls of the machine."""
    return [
        (one.name, line["name"]) for one in here.all.values() for line in one.said(DEAD, since)
        if line["name"] not in besides
        and not here.stood_still(line["at"] - 10 * here.period, line["at"])
    ]  # fmt: skip


class Members(Drills):
    async def test_a_death_is_found_by_all_and_nobody_else_is_dead(self) -> None:
        async with fleet(41) as (here, crowd):
            since = time.time()
            here["node-2"].signal(KILL)
            crowd.nodes.remove("node-2")
            rest = [one for name, one in here.all.items() if name != "node-2"]
            await here.until(
                lambda: all(one.said(DEAD, since, name="node-2") for one in rest), FOUND, "a death not found"
            )
            here.step("it comes back in a new incarnation")
            here.start("node-2")
            await here.listening("node-2")
            crowd.nodes.append("node-2")
            await crowd.answered(4)
            self.assertEqual(found_dead(here, since, ("node-2",)), [])
            self.keeps(crowd, since)

    async def test_a_link_that_is_open_one_way_kills_nobody(self) -> None:
        """Each direction in turn, between a node and an app server with clients, and between two nodes."""
        async with fleet(42) as (here, crowd):
            for who, to, way in (
                ("node-1", "s1", THERE), ("s1", "node-1", THERE), ("node-1", "node-2", THERE),
                ("node-2", "node-1", BACK),
            ):  # fmt: skip
                here.step(f"{who} > {to}, {way}")
                since = time.time()
                here.links[who, to].put(way)
                await anyio.sleep(12 * here.period)
                here.heal()
                self.assertEqual(found_dead(here, since), [])
                self.keeps(crowd, since)
            await crowd.stop()
            self.answers(crowd)

    async def test_a_node_that_is_stopped_and_woken_does_no_harm(self) -> None:
        """For less than a suspicion, and for longer: it is declared dead, resumes and refutes that."""
        async with fleet(43) as (here, crowd):
            for long in (False, True):
                here.step("for long" if long else "for short")
                since = time.time()
                crowd.nodes.remove("node-2")
                here["node-2"].signal(STOP)
                await anyio.sleep(1.5 * here.period)
                if long:
                    await here.until(
                        lambda: here["node-1"].said(DEAD, name="node-2"), FOUND, "it was never found dead"
                    )
                here["node-2"].signal(GO_ON)
                woken = time.time()
                await anyio.sleep(2.0)
                crowd.nodes.append("node-2")
                await crowd.answered(4)
                self.assertEqual(found_dead(here, since, ("node-2",)), [])
                self.assertEqual(found_dead(here, woken + 2.0), [])
                self.keeps(crowd, since)
                self.answers(crowd, since, besides={"node-2"})
            await crowd.stop()
            self.once(crowd)

    async def test_an_app_server_that_is_stopped_and_woken_does_no_harm(self) -> None:
        """Its clients move once; after it resumes, none returns to it and no other client is affected."""
        async with fleet(44) as (here, crowd):
            since = time.time()
            theirs = {who for who, server in crowd.last.items() if server == "s2"}
            here["s2"].signal(STOP)
            await here.until(lambda: "s2" not in crowd.seats(), 12.0, "customers stay at one that is stopped")
            here["s2"].signal(GO_ON)
            woken = time.time()
            await anyio.sleep(2 * here.linger)
            await crowd.answered(4)
            self.keeps(crowd, since, besides={"s2"})
            self.keeps(crowd, woken + 1.0)
            self.assertEqual({one.customer for one in crowd.changed(since)}, theirs)
            self.assertEqual(found_dead(here, since, ("s2",)), [])
            await crowd.stop()
            self.answers(crowd, woken + 1.0)
            self.once(crowd, besides={"s2"})

    async def test_a_process_under_anothers_name_takes_nobody(self) -> None:
        async with fleet(45, servers=3, later={"s3"}) as (here, crowd):
            since = time.time()
            here["s3"].says = "s1"
            here.start("s3")
            await here.listening("s3")
            await here.until(lambda: here["s3"].said("member_conflict"), FOUND, "it goes on under that name")
            await anyio.sleep(2 * here.linger)
            crowd.add(12)
            await crowd.answered(4)
            self.keeps(crowd, since)
            self.assertEqual(here["s3"].processor.ran, [])
            self.assertEqual(found_dead(here, since), [])
            here.step("and a second node-1")
            here["node-2"].signal(KILL)
            await here["node-2"].gone()
            crowd.nodes.remove("node-2")
            here["node-2"].says = "node-1"
            here.start("node-2")
            self.assertEqual(await here["node-2"].gone(), 1)
            told = here["node-2"].lines()[-1]["event"]
            self.assertIn("node-1", told)
            await crowd.answered(4)
            self.keeps(crowd, since)
            await crowd.stop()
            self.answers(crowd, besides={"node-2"})

    async def test_clocks_that_are_off_by_three_seconds(self) -> None:
        async with fleet(46, ahead={"node-1": 3.0, "node-2": -3.0}) as (here, crowd):
            since = time.time()
            here.step("one comes back with a clock that is behind")
            here["node-1"].signal(KILL)
            await here["node-1"].gone()
            crowd.nodes.remove("node-1")
            here["node-1"].ahead = -3.0
            here.start("node-1")
            await here.listening("node-1")
            crowd.nodes.append("node-1")
            await crowd.answered(6)
            self.assertTrue([one for one in crowd.tries if one.node == "node-1" and one.at > since + 1])
            self.keeps(crowd, since)
            self.assertEqual(found_dead(here, since, ("node-1",)), [])
            await crowd.stop()
            self.answers(crowd, besides={"node-1"})
            self.once(crowd)
