"""Clients keep their app server while nodes and app servers join, leave and die."""

from __future__ import annotations

import time

import anyio

from fakes.clients import Crowd, Line, source
from fakes.processes import GO_ON, KILL, MARGIN, STOP, TERM, Drill, drill
from tests.fault_injection.play import Drills, fleet
from tests.fault_injection.test_membership import DEAD

LATE = 2.0  # seconds for the fleet to detect a change on a busy machine
SOME = range(1, 25)


async def meet(here: Drill, node: str, number: int) -> str:
    """The app server that a client reaches through a node; "" if it is rejected or gets no answer."""
    port = here[node].services["north"]
    line = await Line.come(here.tasks, source(number), here.address("north"), port)
    asked = await line.ask("look", b"op", project="north")
    await line.until(lambda: asked in line.answers or line.closed, 10.0)
    await line.stream.aclose()
    error, result = line.answers.get(asked, ("closed", None))
    return "" if error is not None else result[0].split(b" ", 2)[1].decode()


async def meets(here: Drill, node: str) -> dict[int, str]:
    """The same for several clients at once, with retries."""
    met: dict[int, str] = {}

    async def one(number: int) -> None:
        while not (server := await meet(here, node, number)):
            await anyio.sleep(0.1)
        met[number] = server

    async with anyio.create_task_group() as tasks:
        for number in SOME:
            tasks.start_soon(one, number)
    return met


async def visits(here: Drill, span: float) -> dict[int, str]:
    """Let clients reconnect for `span` seconds, each within the idle timeout; return the last servers."""
    begun, met = time.monotonic(), await meets(here, "node-1")
    while time.monotonic() < begun + span:
        await anyio.sleep(0.1)
        met = await meets(here, "node-1")
    return met


class Seats(Drills):
    async def test_one_server_through_either_node(self) -> None:
        async with fleet(11) as (_, crowd):
            since = time.time()
            await crowd.answered(8)
            self.keeps(crowd, since)
            self.assertEqual(len(crowd.seats()), 3, "an app server without a customer")
            for customer in crowd.all:
                through = {one.node for one in crowd.tries if one.customer == customer.number}
                self.assertEqual(through, {"node-1", "node-2"})
            await self.ends(crowd)

    async def node_joins(self, here: Drill, crowd: Crowd, since: float) -> None:
        """Start a node; no client may change its server."""
        here.start("node-3")
        await here.listening("node-3")
        crowd.nodes.append("node-3")
        await crowd.answered(4)
        self.keeps(crowd, since)

    async def test_nodes_join_leave_die_and_come_back(self) -> None:
        async with fleet(12, later={"node-3"}, nodes=3) as (here, crowd):
            since = time.time()
            here.step("a third joins")
            await self.node_joins(here, crowd, since)
            self.assertTrue([one for one in crowd.tries if one.node == "node-3" and one.server])
            here.step("one leaves")
            crowd.nodes.remove("node-1")  # its routes are withdrawn
            here["node-1"].signal(TERM)
            self.assertEqual(await here["node-1"].gone(), 0)
            await crowd.answered(4)
            self.keeps(crowd, since)
            self.answers(crowd)
            here.step("one dies")
            died = here["node-2"].signal(KILL)
            await here["node-2"].gone()
            crowd.nodes.remove("node-2")
            await crowd.answered(4)
            self.keeps(crowd, since)
            self.answers(crowd, besides={"node-2"})
            here.step("both come back")
            for name in ("node-1", "node-2"):
                here.start(name)
                await here.listening(name)
                crowd.nodes.append(name)
            await crowd.answered(4)
            self.keeps(crowd, since)
            self.answers(crowd, died + LATE)
            await crowd.stop()
            self.once(crowd)

    async def test_a_node_that_hears_of_one_app_server_first_seats_nobody_by_it_alone(self) -> None:
        """Messages of all others are delayed for longer than a joining node waits; those of s1 arrive."""
        async with fleet(18) as (here, crowd):
            since = time.time()
            crowd.nodes.remove("node-1")
            here["node-1"].signal(TERM)
            await here["node-1"].gone()
            others = [name for name in here.all if name != "node-1"]
            heard = here.links["s1", "node-1"]
            slow = [link for link in here.between({"node-1"}, others) if link is not heard]
            here.put(slow, "hang")
            here.start("node-1")
            await here.listening("node-1")
            crowd.nodes.append("node-1")
            await anyio.sleep(
                1.2 * MARGIN
            )  # half a margin after s1's message is over, the two margins of a join are not
            here.heal()
            await crowd.answered(4)
            self.keeps(crowd, since)
            await self.ends(crowd)

    async def test_an_app_server_joins_and_takes_new_customers_alone(self) -> None:
        async with fleet(13, servers=4, nodes=3, later={"s4", "node-3"}) as (here, crowd):
            since = time.time()
            here.start("s4")
            await here.ripe("s4")
            old = len(crowd.all)
            crowd.add(16)
            await here.until(lambda: "s4" in crowd.seats(), 15.0, "the new app server takes nobody")
            await crowd.answered(8)
            self.keeps(crowd, since)
            self.assertFalse([one for one in range(1, old + 1) if crowd.last[one] == "s4"])
            here.step("and a node joins: it learns who keeps another server than the hash says")
            await self.node_joins(here, crowd, since)
            here.step("and a node dies: what the other one was told of outlives it")
            here["node-1"].signal(KILL)
            await here["node-1"].gone()
            crowd.nodes.remove("node-1")
            await crowd.answered(8)
            self.keeps(crowd, since)
            await crowd.stop()
            self.answers(crowd, besides={"node-1"})
            self.once(crowd)

    async def test_an_app_server_dies_and_comes_back(self) -> None:
        async with fleet(14) as (here, crowd):
            since = time.time()
            theirs = {who for who, server in crowd.last.items() if server == "s2"}
            died = here["s2"].signal(KILL)
            await here["s2"].gone()
            await here.until(lambda: "s2" not in crowd.seats(), 10.0, "customers stay at a dead app server")
            await here.until(lambda: all(node.said(DEAD, died, name="s2") for node in here.nodes))
            known = max(node.said(DEAD, died, name="s2")[0]["at"] for node in here.nodes)
            await crowd.answered(4)
            self.keeps(crowd, since, besides={"s2"})
            self.assertEqual({one.customer for one in crowd.changed(since)}, theirs)
            ill = crowd.ill(max(known, died + LATE))
            self.assertFalse(ill, "ops without a good answer after the death was known")
            self.assertFalse([one for one in crowd.ill() if one.customer not in theirs])
            here.step("it comes back, and takes none of them")
            again = time.time()
            here.start("s2")
            await here.ripe("s2")
            await crowd.answered(4)
            self.keeps(crowd, again)
            await crowd.stop()
            self.once(crowd, besides={"s2"})  # its retained results died with it

    async def test_an_app_server_leaves(self) -> None:
        async with fleet(15) as (here, crowd):
            since = time.time()
            theirs = {who for who, server in crowd.last.items() if server == "s2"}
            here["s2"].signal(TERM)
            self.assertEqual(await here["s2"].gone(), 0)
            await crowd.answered(4)
            self.keeps(crowd, since, besides={"s2"})
            self.assertEqual({one.customer for one in crowd.changed(since)}, theirs)
            await crowd.stop()
            self.answers(crowd)
            self.once(crowd, besides={"s2"})  # its retained results ended with it

    async def test_a_node_that_wakes_takes_no_old_word_for_a_new_one(self) -> None:
        """Bindings were created while an app server ripened and sent to a node that was stopped. By the time
        the node resumes and reads them they have expired, and it must use none of them."""
        async with drill(17, servers=3, nodes=2, later={"s3"}, linger=3.0) as here:
            await here.up()
            await here.ripe()
            here.start("s3")
            begun = here["s3"].started_at
            while not here["s3"].said("processor_ready", begun):
                await meets(here, "node-1")
            await visits(here, LATE)  # both nodes know the server by now
            here["node-2"].signal(STOP)
            # Bindings with less than 1.5 timeouts left are sent again.
            before = await visits(here, 0.6 * here.linger)
            await anyio.sleep(
                2.2 * here.linger
            )  # bindings last for two timeouts; s3 ripens after one and a margin
            after = await meets(here, "node-1")
            self.assertEqual({after[one] for one in SOME if after[one] != before[one]}, {"s3"})
            here["node-2"].signal(GO_ON)
            self.assertEqual(await meets(here, "node-2"), after)
            self.assertEqual(await meets(here, "node-1"), after)
