"""Drills: a tenant goes to another node, with the BGP stand-in; what must not move; what no move can mend."""

from __future__ import annotations

import sys
import time
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from functools import partial
from pathlib import Path
from typing import Any

import anyio
import orjson

from fakes.clients import Crowd, full_or_less
from fakes.processes import AGAIN, BUSY, GO_ON, ROOT, STOP, TERM, Drill, Node, drill
from tests.fault_injection.play import Drills
from tests.fault_injection.test_bad_input import letter, say
from thymeyoke.membership.view import Load, Snapshot, State

MOVES = {"act": "move", "uneven": 2.0, "an_hour": 3600, "rest": 1, "settle": 3}
TENANTS = ("north", "south")
CUSTOMERS = 24  # that keep their connections
# Seconds: votes of a former life (13 with these times, 17 with `settle` at 6), an ask, its time and the
# settling, and room for a try that is late on a busy machine.
MOVED = 45.0
FOUND = 15.0  # seconds until a death is found, on a busy machine
SHOWN = 10.0  # until what every node sees is shown
ON_THE_WAY = ("begun", "settling")


def files(node: Node, plain: Callable[[], list[str]]) -> list[str]:
    """Its file with so many changes a minute that none waits: moves come one after the other here."""
    arguments = plain()
    orders = Path(arguments[-1])
    text = orders.read_text()
    assert "[announce]\n" in text, text
    orders.write_text(text.replace("[announce]\n", "[announce]\nchanges = 60\n"))
    return arguments


@asynccontextmanager
async def uneven(
    seed: int, nodes: int = 3, tenants: tuple[str, ...] = TENANTS, stopped: tuple[str, ...] = (),
    full: int = 4096, **moves: Any,
) -> AsyncIterator[tuple[Drill, Crowd]]:  # fmt: skip
    """node-1 holds all tenants, with all their customers; the others could, up to `full` connections each."""
    async with drill(seed, 120.0, servers=2, nodes=nodes, tenants=tenants, moves=MOVES | moves,
                     announce=True, linked=("members", "customers")) as here:  # fmt: skip
        for node in here.nodes:
            node.files = partial(files, node, node.files)  # type: ignore[method-assign]
        for node in here.nodes[1:]:
            node.standby = set(tenants)
            node.options["connections"] = full
        await here.up()
        await here.until(lambda: all(here.routes(one) == {"node-1": True} for one in tenants), 15.0)
        await here.ripe()  # seats follow from the hash: whoever is away for long finds the same server
        for name in stopped:
            here[name].signal(STOP)
        crowd = Crowd(here)
        crowd.follows = lambda tenant: full_or_less(here.routes(tenant))
        for tenant in tenants:
            crowd.add(CUSTOMERS // len(tenants), tenant, stay=True, pause=0.4)
        await crowd.answered(1)
        yield here, crowd


async def shown(here: Drill, name: str = "node-1") -> list[dict[str, Any]]:
    return (await here[name].shown())["recommendations"]


async def seen(
    here: Drill, *states: str, within: float = MOVED, since: float = 0.0, **told: str
) -> dict[str, Any]:
    """A move of node-1 that came into one of these states, with what is `told` of it, as node-1 shows it."""
    begun = time.monotonic()
    while True:
        found = [one for one in await shown(here) if one["state"] in states and told.items() <= one.items()
                 and one["for"] <= time.time() - since]  # fmt: skip
        if found:
            here.step("{tenant} to {to}: {state}, {why}".format(**found[0]))
            return found[0]
        assert time.monotonic() < begun + BUSY * within, f"no move is {' or '.join(states)}"
        await anyio.sleep(0.03)


async def status(
    here: Drill, true: Callable[[dict[str, Any]], Any], why: str, within: float = SHOWN
) -> dict[str, Any]:
    """What node-1 shows, once that is true of it."""
    begun = time.monotonic()
    while not true(told := await here["node-1"].shown()):
        assert time.monotonic() < begun + BUSY * within, f"{why}: {told}"
        await anyio.sleep(0.05)
    return told


async def voting(here: Drill) -> None:
    """Until node-1 gives votes, and so may ask."""
    await status(here, lambda told: not told["budget"]["votes_in"], "no votes", MOVED)


class Moving(Drills):
    """What is held of moves."""

    def heard(self, here: Drill, tenant: str) -> list[tuple[float, str, str, bool]]:
        """What the peer heard of a tenant's address: moment, node, what, in full."""
        assert here.peer is not None
        wanted = bytes(map(int, here.address(tenant).split(".")))
        ids = {bytes(map(int, one.id.split("."))): one.name for one in here.nodes}
        return [(one.at, ids[one.who], one.what, one.full)
                for one in here.peer.log if one.nlri.address == wanted]  # fmt: skip

    def always_announced(self, here: Drill, since: float, tenant: str, besides: str = "") -> None:
        """By someone at each moment since, `besides` counted out."""
        held: dict[str, bool] = {}
        for at, name, what, full in self.heard(here, tenant):
            if name == besides:
                continue
            if what == "announce":
                held[name] = full
            else:
                held.pop(name, None)
            self.assertTrue(held or at < since, f"nobody announces {tenant}")

    def never_less(self, here: Drill, since: float, tenant: str) -> None:
        """node-1 was in full all the time."""
        mine = [one for one in self.heard(here, tenant) if one[0] >= since and one[1] == "node-1"]
        self.assertEqual(mine, [], f"node-1 was not always in full for {tenant}")

    def come_again(self, here: Drill, node: str, tenant: str) -> None:
        """Its customers there lose their connections, and come again where the routes lead."""
        here.links["customers", f"{node} {tenant}"].put("reset")

    @staticmethod
    def node_of(crowd: Crowd, customer: int) -> str:
        return next((one.node for one in reversed(crowd.tries) if one.customer == customer), "")


class Moves(Moving):
    async def test_in_full_at_the_target_before_the_source_is_less(self) -> None:
        async with uneven(51, act="recommend") as (here, crowd):
            here.step("recommended, and no more")
            await voting(here)
            await seen(here, "proposed", within=SHOWN)
            await anyio.sleep(1.5)
            self.assertLessEqual({one["state"] for one in await shown(here)}, {"proposed", "expired"})
            self.assertEqual(here.routes("north") | here.routes("south"), {"node-1": True})
            told = await anyio.run_process(
                [sys.executable, "-m", "thymeyoke", "moves", "show", "--json", "--control",
                 str(here["node-1"].control)], cwd=ROOT)  # fmt: skip
            self.assertEqual(orjson.loads(told.stdout)["act"], "recommend")
            here.step("the operators say move")
            here.moves = MOVES
            since = time.time()
            for node in here.nodes:
                node.files()
                node.signal(AGAIN)
            move = await seen(here, "kept")
            tenant, target = move["tenant"], move["to"]
            await here.until(lambda: here.routes(tenant) == {target: True}, SHOWN, "it is not kept")
            self.always_announced(here, since, tenant)
            self.order(here, tenant, target)
            here.step("customers come again, at the target")
            self.come_again(here, "node-1", tenant)
            await here.until(
                lambda: all(self.node_of(crowd, one.number) == target for one in crowd.all
                            if one.tenant == tenant), 10.0)  # fmt: skip
            self.assertEqual([one["state"] for one in await shown(here)
                              if one["tenant"] == tenant and one["state"] in (*ON_THE_WAY, "kept")],
                             ["kept"])  # fmt: skip
            self.keeps(crowd, 0.0)

    def order(self, here: Drill, tenant: str, target: str) -> None:
        """Of what the peer heard: the target in full, the source less, the source withdrawn."""
        heard = [(name, what, full) for _, name, what, full in self.heard(here, tenant)]
        less = max(at for at, one in enumerate(heard) if one == ("node-1", "announce", False))
        self.assertEqual([one for one in heard[:less] if one[0] == target][-1:], [(target, "announce", True)])
        self.assertIn(("node-1", "withdraw"), [one[:2] for one in heard[less:]])
        self.assertNotIn(("node-1", "withdraw"), [one[:2] for one in heard[:less]])
        self.assertNotIn(target, [one[0] for one in heard[less:]])

    async def test_half_of_the_nodes_unseen_and_nothing_begins(self) -> None:
        """Those that stand still are neither fresh nor empty: nothing rests on them."""
        three, away = (*TENANTS, "west"), ("node-3", "node-4")
        async with uneven(54, 4, three, away, uneven=1.6) as (here, crowd):
            told = await status(here, lambda told: set(away) <= set(told["unknown"]), "they are known", FOUND)
            self.assertEqual([one["node"] for one in told["nodes"]], ["node-1", "node-2"])
            await voting(here)
            move: dict[str, Any] = {}
            while "votes;" not in move.get("why", "") and move.get("state") not in ON_THE_WAY:
                move = await seen(here, *ON_THE_WAY, "expired")
            self.assertEqual((move["state"], move["why"].partition(";")[0]), ("expired", "2 of 3 votes"))
            self.assertEqual(move["to"], "node-2")
            self.assertEqual(here.routes("north") | here.routes("south"), {"node-1": True})
            here.step("they are seen again")
            for name in away:
                here[name].signal(GO_ON)
            await seen(here, *ON_THE_WAY)
            await crowd.answered(2)
            self.keeps(crowd, 0.0)

    async def test_a_node_that_leaves_withdraws_and_its_customers_keep_their_servers(self) -> None:
        """Not a move: two nodes announce one tenant in full, and one of them drains."""
        async with drill(55, 60.0, servers=2, nodes=2, announce=True) as here:
            await here.up()
            both = {"node-1": True, "node-2": True}
            await here.until(lambda: here.routes("north") == both, 15.0)
            crowd = Crowd(here)
            crowd.follows = lambda tenant: full_or_less(here.routes(tenant))
            crowd.add(24)
            await crowd.at_ease()
            since = time.time()
            here["node-1"].signal(TERM)
            self.assertEqual(await here["node-1"].gone(), 0)
            self.assertEqual(here.routes("north"), {"node-2": True})
            self.always_announced(here, since, "north")
            await crowd.answered(4)
            self.keeps(crowd, since)
            await self.ends(crowd)


LIAR = "node-9"
FEW, EACH = 4, 8  # customers: of each other node, and of each tenant of node-1
WHOLE = ("north", "south", "west", "east")


def lies() -> dict[str, dict[str, Any]]:
    """Implausible figures of a node, by the reason shown for not knowing its load.

    The reason is "" if members reject the snapshot, so that it reaches nobody.
    """
    return {
        "": {"connections": -5},
        "rate of opened connections out of range": {"connections": 2_000_000_000, "room": 1},
        "load of a tenant out of range": {
            "connections": 9, "loads": (Load("north", 2_000_000_000, 0.0, 1_999_999_999),)},
        "add up to at least 5000 connections, but it reports 9 in all": {
            "connections": 9, "loads": (Load("north", 5000),), "holds": ("north",)},
    }  # fmt: skip


class Recommended(Moving):
    """One start, nothing is moved: what `moves show` tells while figures are missing, wrong or too much."""

    async def test_what_no_move_can_mend(self) -> None:
        async with drill(57, 90.0, servers=2, nodes=3, tenants=(*WHOLE, "far"),
                         moves=MOVES | {"act": "recommend", "uneven": 1.25}) as here:  # fmt: skip
            for node in here.nodes[1:]:
                node.standby = set(WHOLE)
                node.options["connections"] = FEW + 2
            here["node-1"].standby = {"far"}
            await here.up()
            await here.ripe()
            crowd = Crowd(here)
            self.stay(crowd, "node-1", EACH, *WHOLE)
            for node in here.nodes[1:]:
                self.stay(crowd, node.name, FEW, "far")
            await crowd.answered(1)
            await self.full(here)
            await self.stopped(here)
            await self.lied_to(here)
            await self.too_heavy(here, crowd)
            self.keeps(crowd, 0.0)

    def stay(self, crowd: Crowd, node: str, many: int, *tenants: str) -> None:
        for tenant in tenants:
            for one in crowd.add(many, tenant, stay=True, pause=0.4):
                crowd.pinned[one.number] = node

    async def full(self, here: Drill) -> None:
        here.step("all nodes are full")
        whole = {"node-1": EACH * len(WHOLE), "node-2": FEW, "node-3": FEW}
        told = await status(
            here, lambda told: [one["kind"] for one in told["advice"]] == ["room"]
            and held(told) == whole, "no advice")  # fmt: skip
        (one,) = told["advice"]
        self.assertEqual((one["node"], told["recommendations"]), ("node-1", []))
        # 32 connections beside 4 and 4: a mean of 13.3, a bound of 16.7, and 2 free at each of the others.
        why = r"^1\d connections over its bound of 1\d, the others can take [0-4]: 1\d are missing$"
        self.assertRegex(one["why"], why)

    async def stopped(self, here: Drill) -> None:
        here.step("a node that stands still")
        here["node-2"].signal(STOP)
        told = await status(
            here, lambda told: "node-2" in told["unknown"] and set(held(told)) == {"node-1", "node-3"},
            "it is known", FOUND)  # fmt: skip
        self.in_the_mean(told)
        here["node-2"].signal(GO_ON)
        await status(here, lambda told: held(told).get("node-2") == FEW, "it is not known again", FOUND)

    def in_the_mean(self, told: dict[str, Any]) -> None:
        """Those that are known and nobody else, with their own customers: one may be unsure for a while."""
        whole = {"node-1": EACH * len(WHOLE), "node-2": FEW, "node-3": FEW}
        known = [whole[name] for name in held(told)]
        self.assertAlmostEqual(told["mean"], sum(known) / len(known), delta=1.0)

    async def lied_to(self, here: Drill) -> None:
        for why, fields in lies().items():
            here.step(f"a member lies: {why or 'below zero'}")
            sequence, began = 0, time.monotonic()
            while True:
                sequence += 1
                await self.lie(here, sequence, fields)
                told = await here["node-1"].shown()
                self.assertNotIn(LIAR, held(told))
                self.in_the_mean(told)
                self.assertEqual(told["recommendations"], [])
                if why and why in told["unknown"].get(LIAR, ""):
                    break
                if not why and sequence >= 20:
                    self.assertNotIn(LIAR, told["unknown"])
                    break
                self.assertLess(time.monotonic(), began + BUSY * SHOWN, f"not shown: {why}")

    async def lie(self, here: Drill, sequence: int, fields: dict[str, Any]) -> None:
        """With a life and an address of its own each time: members find it dead soon, for nobody is there."""
        usual = {"node": True, "incarnation": int(time.time() * 1000), "sequence": sequence,
                 "state": State.SERVING, "address": "127.0.0.1:9"}  # fmt: skip
        await say("127.0.0.1", here["node-1"].members, letter(Snapshot(LIAR, **(usual | fields))), 0.1)

    async def too_heavy(self, here: Drill, crowd: Crowd) -> None:
        here.step("a tenant that no node can hold")
        self.stay(crowd, "node-1", 5 * EACH, "north")
        told = await status(
            here, lambda told: ("split", "north") in {(one["kind"], one["tenant"]) for one in told["advice"]},
            "it is not said")  # fmt: skip
        self.assertEqual([one for one in told["recommendations"] if one["tenant"] == "north"], [])
        found = await anyio.run_process(
            [sys.executable, "-m", "thymeyoke", "moves", "show", "--control", str(here["node-1"].control)],
            cwd=ROOT)  # fmt: skip
        self.assertRegex(found.stdout.decode(), r"node-1 +north +split it")


def held(told: dict[str, Any]) -> dict[str, int]:
    """Loads that are known, by node, in whole connections."""
    return {one["node"]: round(one["load"]) for one in told["nodes"]}
