"""Drills: customers keep their app server while links between nodes, halves and app servers go wrong."""

from __future__ import annotations

import time
from collections import Counter

import anyio

from fakes.clients import Crowd
from tests.app_server import note_on_error
from tests.fault_injection.play import Drills, fleet


class Cuts(Drills):
    async def test_nodes_that_do_not_hear_each_other(self) -> None:
        """The app servers hear both: nobody is lost to anybody."""
        for what in ("hang", "cut"):
            with note_on_error(what=what):
                async with fleet(21) as (here, crowd):
                    since = time.time()
                    here.put(here.between(["node-1"], ["node-2"]), what)
                    await anyio.sleep(2 * here.linger)
                    await crowd.answered(4)
                    here.heal()
                    await crowd.answered(4)
                    self.keeps(crowd, since)
                    await self.ends(crowd)

    async def test_two_halves_that_meet_again(self) -> None:
        """Each half takes the other for dead and seats all who come to it. Once the cut has healed each
        customer has one app server again, through either node; it changed at most once with the cut and once
        after."""
        async with fleet(22, servers=4, linked=("members", "ops")) as (here, crowd):
            since = time.time()
            halves = (["node-1", "s1", "s2"], ["node-2", "s3", "s4"])
            for customer in crowd.all:
                crowd.pinned[customer.number] = halves[customer.number % 2][0]
            await anyio.sleep(0.5 * here.linger)
            here.put(here.between(*halves), "hang")
            await here.until(lambda: self.apart(crowd, halves), 30.0, "a half does not seat its customers")
            healed = time.time()
            here.heal()
            await crowd.at_ease(20.0)
            crowd.pinned.clear()  # until here each came by one node: both would seat it, each its own way
            agreed = time.time()
            here.timeline.say("agreement", after=max([healed, *(one.at for one in crowd.moved)]) - healed)
            await crowd.answered(4)
            self.keeps(crowd, agreed)
            often = Counter(one.customer for one in crowd.changed(since))
            self.assertLessEqual(max(often.values(), default=0), 2)
            await crowd.stop()
            self.answers(crowd, agreed)

    @staticmethod
    def apart(crowd: Crowd, halves: tuple[list[str], list[str]]) -> bool:
        return all(crowd.last[one.number] in halves[one.number % 2] for one in crowd.all)


class Connections(Drills):
    async def test_links_that_are_late_slow_reset_and_break_in_half(self) -> None:
        """Between customers and nodes, and nodes and app servers: ops on what broke are lost with it; no
        customer changes its server, and no keyed op runs twice."""
        async with fleet(31, linked=("members", "ops", "customers")) as (here, crowd):
            since = time.time()
            names = [(who, to) for who, to in here.links if who == "customers" or to.endswith(" ops")]
            links = [here.links[name] for name in names]
            for what, amount in (("late", 0.1), ("slow", 4000.0), ("reset", None), ("half", 300.0)):
                here.put(links, what, amount)
                await anyio.sleep(1.0)
                here.heal()
            healed = time.time()
            await crowd.answered(4)
            self.keeps(crowd, since)
            await self.ends(crowd, healed + 0.5)
