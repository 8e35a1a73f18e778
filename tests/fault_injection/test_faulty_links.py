"""The stand-in for a link does what it says, and a seed draws the same faults again."""

from __future__ import annotations

import time
import unittest
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from random import Random
from typing import Any
from unittest import mock

import anyio
from anyio.abc import SocketAttribute, SocketStream

from examples.fakes import LOST, StandIn
from fakes import faulty_link as link_module
from fakes.faulty_link import BACK, FAULTS, THERE, Fault, Link, drawn
from fakes.processes import Timeline, peak


class Echo(StandIn):
    def __init__(self) -> None:
        super().__init__()
        self.heard = b""
        self.peers: list[str] = []

    async def speak(self, stream: SocketStream) -> None:
        self.peers.append(stream.extra(SocketAttribute.remote_address)[0])
        while True:
            data = await stream.receive()
            self.heard += data
            self._changes()
            await stream.send(data)


@asynccontextmanager
async def linked(**given: Any) -> AsyncIterator[tuple[Echo, Link]]:
    async with anyio.create_task_group() as tasks:
        echo = Echo()
        await tasks.start(echo.run)
        link = Link(("127.0.0.1", echo.port), "a > b", **given)
        await tasks.start(link.run)
        with anyio.fail_after(60):
            yield echo, link
        tasks.cancel_scope.cancel()


async def back(stream: SocketStream, many: int, within: float = 20.0) -> bytes:
    """What comes back: so many octets, or fewer if no more come, or the connection ends."""
    found = b""
    with anyio.move_on_after(within):
        try:
            while len(found) < many:
                found += await stream.receive()
        except LOST:
            found += b"|"
    return found


class Links(unittest.IsolatedAsyncioTestCase):
    async def ask(self, link: Link, data: bytes, within: float = 20.0) -> bytes:
        async with await anyio.connect_tcp("127.0.0.1", link.port) as stream:
            try:
                await stream.send(data)
            except LOST:
                return b"|"
            return await back(stream, len(data), within)

    async def test_each_fault_and_its_healing(self) -> None:
        """What comes back of eight octets while it lasts ("|": the connection ended), and what arrived."""
        cases = {
            THERE: (b"", b""), BACK: (b"", b"12345678"), "hang": (b"", b""), "half": (b"123|", b"123"),
        }  # fmt: skip
        for what, (came_back, arrived) in cases.items():
            with self.subTest(what=what), mock.patch.object(link_module, "BROKEN", 1.0):
                async with linked() as (echo, link):
                    link.put(what, 3)
                    within = 20.0 if came_back else 0.3
                    self.assertEqual(await self.ask(link, b"12345678", within), came_back)
                    await echo.until(lambda echo=echo, all=arrived: len(echo.heard) >= len(all), 20.0)
                    self.assertEqual(echo.heard, arrived)
                    link.heal()
                    self.assertEqual(await self.ask(link, b"abc"), b"abc")

    async def test_cut_refuses_and_ends_what_is_established(self) -> None:
        async with linked() as (_, link):
            async with await anyio.connect_tcp("127.0.0.1", link.port) as stream:
                await stream.send(b"1")
                self.assertEqual(await back(stream, 1), b"1")
                link.put("cut")
                self.assertEqual(await back(stream, 1), b"|")
            with self.assertRaises(OSError):
                await anyio.connect_tcp("127.0.0.1", link.port)
            link.heal()
            self.assertEqual(await self.ask(link, b"2"), b"2")

    async def test_reset_is_once(self) -> None:
        async with linked() as (_, link):
            async with await anyio.connect_tcp("127.0.0.1", link.port) as stream:
                await stream.send(b"1")
                await back(stream, 1)
                link.put("reset")
                self.assertEqual(await back(stream, 1), b"|")
            self.assertEqual(await self.ask(link, b"2"), b"2")

    async def test_what_hung_comes_and_what_vanished_does_not(self) -> None:
        """A connection goes on behind a hang; one that lost octets ends with the healing."""
        for what, after in (("hang", b"12"), (THERE, b"|")):
            with self.subTest(what=what):
                async with linked() as (_, link), await anyio.connect_tcp("127.0.0.1", link.port) as stream:
                    link.put(what)
                    await stream.send(b"12")
                    self.assertEqual(await back(stream, 2, 0.3), b"")
                    link.heal()
                    self.assertEqual(await back(stream, 2), after)

    async def test_late_and_slow(self) -> None:
        for what, amount in (("late", 0.2), ("slow", 40.0)):
            with self.subTest(what=what):
                async with linked() as (_, link):
                    link.put(what, amount)
                    began = time.monotonic()
                    self.assertEqual(await self.ask(link, b"12345678", 5.0), b"12345678")
                    self.assertGreaterEqual(time.monotonic() - began, 0.39)  # both directions

    async def test_a_flood_that_is_not_read_is_held_up(self) -> None:
        async with linked() as (_, link), await anyio.connect_tcp("127.0.0.1", link.port) as stream:
            link.put("hang")
            with anyio.move_on_after(0.5) as scope:
                for _ in range(4096):
                    await stream.send(b"x" * 65536)
            self.assertTrue(scope.cancelled_caught)

    async def test_the_source_is_kept(self) -> None:
        for keeps, seen in ((True, "127.64.0.9"), (False, "127.0.0.1")):
            async with linked(keeps_source=keeps) as (echo, link):
                stream = await anyio.connect_tcp("127.0.0.1", link.port, local_host="127.64.0.9")
                await stream.send(b"1")
                await back(stream, 1)
                await stream.aclose()
                self.assertEqual(echo.peers, [seen])

    async def test_a_script_is_played_and_recorded_in_order(self) -> None:
        timeline = Timeline()
        async with linked(say=timeline.say) as (_, link):
            await link.play([Fault(0.1, "late", 0.1, 0.5), Fault(0.0, "cut", 0.15)])
            self.assertEqual(link.wrong, {})
        told = [(line["event"], line["fault"]) for line in timeline.merged([])]
        self.assertEqual(told, [("fault", "cut"), ("fault", "late"), ("healed", "cut"), ("healed", "late")])

    def test_a_seed_draws_the_same_faults(self) -> None:
        one, two = (drawn(Random(5), 10.0, 20) for _ in range(2))
        self.assertEqual(one, two)
        self.assertNotEqual(one, drawn(Random(6), 10.0, 20))
        self.assertTrue(all(fault.at + fault.lasts <= 10.0 and fault.what in FAULTS for fault in one))

    def test_the_peak_of_moments(self) -> None:
        self.assertEqual(peak([0.0, 0.01, 0.02, 0.5], 0.1), 30.0)
        self.assertEqual(peak([]), 0.0)
