"""The proxy node: the rules of docs/proxy.md, relays on real sockets, and processes with app servers."""

from __future__ import annotations

import asyncio
import errno
import inspect
import itertools
import select
import socket
import subprocess
import sys
import unittest
from collections import Counter
from collections.abc import Awaitable, Callable
from contextlib import suppress
from functools import partial
from ipaddress import ip_network
from random import Random
from types import SimpleNamespace
from typing import Any, cast
from unittest import mock

import anyio
import orjson

from examples.fakes import LOST
from fakes.clients import Line
from fakes.processes import AGAIN, KILL, TERM, Drill, drill
from tests import app_server as quiet  # no log lines
from tests.conformance.tables import Case, Row, played, rows
from thymeyoke.affinity.controller import Assignment, AssignmentReason
from thymeyoke.bgp.controller import Level, LevelController, LevelSettings, ServerObservation
from thymeyoke.configuration.service_config import HostPort
from thymeyoke.membership.configuration import Members
from thymeyoke.membership.view import Member, Snapshot, State, Trust, View
from thymeyoke.migration.configuration import Moves
from thymeyoke.migration.controller import Level as Announced
from thymeyoke.proxy import advertisement_levels, listener, process, relay, session_state, upstream_connector
from thymeyoke.proxy.client_session import ClientSessions, UpstreamAddress
from thymeyoke.proxy.configuration import Node as NodeSettings
from thymeyoke.proxy.configuration import Service
from thymeyoke.proxy.connection_admission import ConnectionTable, WaitingConnection
from thymeyoke.proxy.load import Rates
from thymeyoke.proxy.process import ProxyNode
from thymeyoke.proxy.relay import KERNEL_BUFFER_BYTES, WINDOW_BYTES, Relays
from thymeyoke.proxy.upstream_connector import Open, ReassignSession, UpstreamConnector
from thymeyoke.runtime import logs
from thymeyoke.runtime.clock import clock
from thymeyoke.runtime.extensions import HostConfigurationError

PAGE = "docs/proxy.md"
MOST = 8  # of the tables here: a tenant's share is 2
HERE = "127.0.0.1"
RULES: dict[Any, Case] = {}
assert quiet


def rule(number: int) -> Callable[[Case], Case]:
    return lambda case: RULES.setdefault(f"NO-{number}", case)


async def follow(t: unittest.TestCase, plays: Any, text: str) -> None:
    """Run a script of words `verb:argument@time=result` with the verbs of a player; results are checked if
    given."""
    for word in text.split():
        call, asks, wanted = word.partition("=")
        call, _, at = call.partition("@")
        verb, _, what = call.partition(":")
        found = getattr(plays, verb)(what, float(at or 0))
        found = await found if inspect.isawaitable(found) else found
        if asks:
            t.assertEqual(str(found), wanted, f"{word} of {text}")


def script(player: Callable[[], Any], *texts: str) -> Case:
    """A test case that runs each script with a new player."""

    async def run(t: unittest.TestCase) -> None:
        for text in texts:
            plays = player()
            try:
                with anyio.fail_after(20):
                    await follow(t, plays, text)
            finally:
                plays.close("", 0)

    return lambda t, row: anyio.run(run, t)


def listed(found: Any) -> str:
    return ",".join(f"{one}:{found[one]}" if isinstance(found, dict) else str(one) for one in found)


# The table, its capacity, and connects.


def room() -> Any:
    """A connection table. Connections are named by their tenant's digit and numbered in order of arrival."""
    table, who = ConnectionTable(MOST), list[Any]()

    def come(tenants: str, at: float, spoke: bool = True) -> str:
        """For each `+`, `-` where it is closed at once, or who is pushed out for it."""
        found = ""
        for tenant in tenants:
            waiter, pushed = table.add(at, int(tenant), None)
            if waiter is not None and spoke:
                table.first_bytes_received(at, waiter)
            found += "-" if waiter is None else "+" if pushed is None else str(who.index(pushed))
            who.append(waiter)
        return found

    def let(what: str = "", at: float = 0.0) -> str:
        """Return the tenants of the admitted clients, in order."""
        return "".join(str(one.tenant) for _ in range(100) if (one := table.admit_next()) is not None)

    return SimpleNamespace(
        come=come, let=let, mute=lambda what, at: come(what, at, False),
        full=lambda what, at: come("1" * MOST, at) + let(),
        back=lambda what, at: [table.release(1) for _ in range(int(what or 1))],
        size=lambda what, at: setattr(table, "max_connections", int(what)),
        spoke=lambda what, at: table.first_bytes_received(at, who[int(what)]),
        drop=lambda what, at: table.remove(who[int(what)]),
        held=lambda what, at: listed(table.held_by_tenant),
        room=lambda what, at: listed({tenant: len(them) for tenant, them in table.waiting_by_tenant.items()}),
        counts=lambda what, at: "/".join(map(str, (  # held, waiting, silent and speaking clients
            table.held, table.waiting, len(table.silent), sum(map(len, table.queue.lines.values()))))),
        late=lambda what, at: listed(map(who.index, table.expired(at))),
        next=lambda what, at: f"{table.next_expiry():g}", close=lambda what, at: None,
    )  # fmt: skip


def out(most: int = 512) -> Any:
    """An upstream connector with a window of 8. Keys are numbers or ranges, app servers are letters."""
    made = UpstreamConnector(most, Random(7))

    def each(what: str) -> range:
        first, _, last = what.partition("-")
        return range(int(first), int(last or first) + 1)

    def go(what: str = "", at: float = 0.0) -> str:
        """Connects that go out, and with a `!` those that move on."""
        done = made.advance(at)
        return listed(one.key if isinstance(one, Open) else f"{one.key}{one.server}!" for one in done)

    def failed(what: str, at: float) -> int:
        """How many pauses follow from them, of those that are as long as they may be."""
        pauses = set()
        for key in each(what):
            made.failed(at, key)
            pauses.add(made.breakers["a"].retry_at)
        return sum(at < until <= at + (0.1 if len(pauses) < 2 else 1.0) for until in pauses)

    return SimpleNamespace(
        go=go, failed=failed, then=lambda what, at: go(at=made.breakers["a"].retry_at),
        due=lambda what, at: made.next_advance_at(at) == made.breakers["a"].retry_at,
        ask=lambda what, at: "".join("-+"[made.request(at, key, what[-1])] for key in each(what[:-1])),
        came=lambda what, at: [made.connected(at, key) for key in each(what)],
        gone=lambda what, at: [made.forget(key) for key in each(what)],
        saw=lambda what, at: made.observe(what), doors=lambda what, at: listed(list(made.breakers)),
        narrow=lambda what, at: setattr(made.breakers["a"], "window", 1.0),
        window=lambda what, at: f"{made.breakers['a'].window:g}",
        late=lambda what, at: listed(made.timed_out(at)), tries=lambda what, at: made.attempts[int(what)],
        sizes=lambda what, at: f"{len(made.attempts)}/{len(made.server_by_key)}/{len(made.in_progress)}",
        next=lambda what, at: f"{made.next_advance_at(at):g}", close=lambda what, at: None,
    )  # fmt: skip


ALL_8 = "0,1,2,3,4,5,6,7"
RULES |= {
    "NO-1": script(room, "come:11111111 let=11111111 held=1:8 room= counts=8/0/0/0"),
    "NO-2": script(room, "full come:11@1 come:222@2 back:3 let=221"),  # 2 then has its share
    "NO-3": script(room, "full come:1@1 back let=1 held=1:8"),
    "NO-4": script(room, "full come:222 let= held=1:8 counts=8/3/0/3"),
    "NO-5": script(room, "full size:4 come:2 let= back let= back let= back let= back let= let= back let=2"),
    "NO-6": script(room, "full come:11111111 come:1=- room=1:8 counts=8/8/0/8",
                   "full come:11111223 come:2=- room=1:5,2:2,3:1 counts=8/8/0/8",
                   "full come:12345678 come:1=- room=1:1,2:1,3:1,4:1,5:1,6:1,7:1,8:1 counts=8/8/0/8"),
    "NO-7": script(room, "full come:11111113 come:2=14 room=1:6,3:1,2:1 counts=8/8/0/8"),
    "NO-8": script(room, "full mute:1@1 come:1@1 next=4 late@3.99= late@4=8"),
    "NO-9": script(room, "full come:1@1 come:2@1.5 late@5.99= late@6=8 drop:8 counts=8/1/0/1 next=6.5",
                   "full mute:1@1 spoke:8@2 next=7 late@6.9= late@7=8"),
    "NO-28": script(room, "full come:1111@1 mute:111@2 mute:2@2.1 mute:1@2.4=- "  # its route may be long
                    "come:1@2.5=12 come:1@2.6=13 come:1@2.7=14 counts=8/8/1/7"),
    "NO-10": script(out, f"ask:0-9a go={ALL_8} go= came:3 ask:50b go=8,50 gone:0 go=9 sizes=9/9/9"),
    "NO-11": script(partial(out, 64), "ask:0-99a go=0,1,2,3 narrow came:0 window=2 came:1 window=2.5 go= "
                    "came:2 window=2.9 go=4 came:3-4 go=5,6,7 came:5-7 window=4"),
    "NO-12": script(out, "ask:0-7a go came:0@0.3125 window=8 came:1-7@0.32 window=4"),
    "NO-13": script(out, f"ask:0-7a go late@1.2= late@1.25={ALL_8} failed:0@2=1 window=4 gone:1-7 "
                    "ask:20-21a@2 go@2= due@2=True then=20 "  # alone, although the window allows more
                    "came:20@2.2 go@2.2=21"),
    "NO-14": script(out, "ask:0-11a go failed:0@0.1 go@0.1= failed:1@0.1 go@0.1=8a!,9a!,10a!,11a! "
                    "failed:2-7@0.2=6"),
    "NO-15": script(out, "ask:1a=+ go=1 failed:1 ask:1b=+ go@1=1 failed:1@1 ask:1c=+ go@2=1 failed:1@2 "
                    "ask:1d=- gone:1 sizes=0/0/0"),
    "NO-16": script(out, f"ask:0-8a go={ALL_8} go@2.4= go@2.5=8a! ask:8b@2.5=+ tries:8=2"),
    "NO-17": script(out, "ask:0a go=0 came:0 sizes=0/0/0 next=inf"),
    "NO-18": script(out, "ask:0-8a go narrow saw:b doors=a gone:8 saw:b doors=a gone:0-7 "
                    "saw:b doors= ask:20a window=8"),
}  # fmt: skip


# Relays, on sockets.


class Ends:
    """A relay and the remote ends of its two connections, `customer` and `server` in the scripts."""

    def __init__(self, relays: Relays | None = None) -> None:
        self.loop, self.relays = asyncio.get_running_loop(), relays or Relays(asyncio.get_running_loop())
        (self.customer, self.near), (self.server, near) = self.tcp(), self.tcp()
        self.relay = self.relays.start(self.near, near, self.ended)
        self.said = self.sent = self.overs = 0  # bytes of `answer` and `fill`; calls of `ended`
        logs.counters.clear()
        self.end = lambda what, at: getattr(self, what).shutdown(socket.SHUT_WR)
        self.quit = lambda what, at: getattr(self, what).close()
        self.counted = lambda what, at: logs.counters[what]
        # This process was stalled.
        self.stand = lambda what, at: self.relays.sweep(self.relays.last_sweep_at + at)
        self.dropped = lambda what, at: (
            1 << 20 <= self.relay.directions[0].discarded < (1 << 20) + WINDOW_BYTES
        )
        self.writing = lambda what, at: self.all(what, at, 512)

    def tcp(self) -> tuple[socket.socket, socket.socket]:
        with socket.socket() as door:
            door.bind((HERE, 0))
            relay.configure_socket(door)
            door.listen()
            far = socket.create_connection(door.getsockname())
            near, _ = door.accept()
        relay.configure_socket(far)
        far.setblocking(False)
        near.setblocking(False)
        return far, near

    def ended(self) -> None:
        self.overs += 1

    async def until(self, true: Callable[[], Any]) -> None:
        while not true():
            await anyio.sleep(0.001)

    async def say(self, what: str, at: float = 0.0) -> None:
        name = what.rstrip("0123456789")
        await self.loop.sock_sendall(getattr(self, name), bytes(int(what[len(name) :] or 1)))

    async def hear(self, what: str, at: float = 0.0) -> int:
        return len(await self.loop.sock_recv(getattr(self, what), WINDOW_BYTES))

    async def all(self, what: str, at: float = 0.0, writes: int = 0) -> str:
        """Bytes until the end: `answer` if the whole answer arrived, `sent` for all of `fill`, or `reset`."""
        far, found = getattr(self, what), 0
        try:
            while data := await self.loop.sock_recv(far, 4096):
                found += len(data)
                if writes:
                    await self.loop.sock_sendall(far, bytes(writes))
                await anyio.sleep(0)
        except ConnectionResetError:
            return "reset"
        return {self.said: "answer", self.sent: "sent"}.get(found or -1, str(found))

    async def had(self, what: str, at: float) -> None:
        """Wait until the client has the whole answer and has acknowledged it."""
        while self.said > 0:
            self.said -= await self.hear("customer")
        await self.until(lambda: not relay.unacknowledged_bytes(self.near))

    def reset(self, what: str, at: float) -> None:
        getattr(self, what).setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, relay.RESET)
        self.quit(what, at)

    async def fill(self, what: str = "", at: float = 0.0) -> None:
        """Send as much as possible while the peer does not read."""
        still = 0
        while still < 50 or not (self.relays.blocked or self.relays.lingering):
            try:
                self.sent += self.customer.send(bytes(WINDOW_BYTES))
                still = 0
            except BlockingIOError:
                still += 1
            await anyio.sleep(0.001 if still else 0)

    def bounded(self, what: str, at: float) -> bool:
        """Whether buffered data is bounded by the relay's buffer and twice the kernel buffers of four
        sockets."""
        (way,) = self.relays.blocked
        return (
            0 < len(way.buffered) <= WINDOW_BYTES and self.sent <= WINDOW_BYTES + 4 * 3 * KERNEL_BUFFER_BYTES
        )

    async def answer(self, what: str, at: float = 0.0) -> None:
        """An app server that closes with a byte of the client unread, or `clean`. The whole answer has
        arrived here, not all of it at the client, which does not read. `whole`: the relay has ended; `held`:
        some data is still buffered."""
        if what != "clean":
            await self.say("customer")
            await self.until(lambda: self.relays.octets)

        def full() -> bool:
            return (
                bool(self.relays.blocked)
                if what == "held"
                else relay.unacknowledged_bytes(self.near) > 2 * WINDOW_BYTES
            )

        while not full():
            self.said += self.server.send(bytes(WINDOW_BYTES // 2))
            await self.until(lambda: not relay.unacknowledged_bytes(self.server))
            await anyio.sleep(0.2 if full() else 0.005)  # an acknowledgement may be late
        self.server.close()
        await self.until(lambda: self.overs or what != "whole")

    async def unread(self, what: str, at: float) -> None:
        """Another connection, closed here while data is being sent and data is unread."""
        far, near = self.tcp()
        with suppress(BlockingIOError):
            while True:
                self.said += near.send(bytes(WINDOW_BYTES))
        far.send(b"written meanwhile")
        await self.until(lambda: select.select([near], [], [], 0)[0])
        relay.reset(near)
        self.customer.close()
        self.customer = far

    async def over(self, what: str = "", at: float = 0.0) -> str:
        """How often the end was reported, and the number of lingering connections."""
        await anyio.sleep(0.01)
        return f"{self.overs}/{len(self.relays.lingering)}"

    async def gone(self, what: str, at: float) -> None:
        await self.until(lambda: self.overs and not self.relays.lingering)

    def late(self, counter: str, at: float) -> bool:
        """Whether, with frequent sweeps, it ends exactly when its time is over."""
        relays, found = self.relays, []
        (since,) = (relays.blocked or relays.half_closed_since or relays.lingering).values()
        relays.last_sweep_at = since
        for span in (*range(1, int(at), 4), at - 0.01, at):
            relays.sweep(since + span)
            found.append((not (relays.open_relays or relays.lingering), logs.counters[counter]))
        return self.overs == 1 and found == [*[(False, 0)] * (len(found) - 1), (True, 1)]

    def close(self, what: str = "", at: float = 0.0) -> None:
        self.relays.close()
        self.customer.close()
        self.server.close()
        left = [
            self.relays.open_relays,
            self.relays.blocked,
            self.relays.half_closed_since,
            self.relays.lingering,
        ]
        assert not any(left) and self.overs <= 1, (left, self.overs)


def on_sockets(play: Callable[[unittest.TestCase, Ends], Awaitable[None]]) -> Case:
    class Plays(Ends):
        def play(self, what: str, at: float) -> Awaitable[None]:
            return play(unittest.TestCase(), self)

    return script(Plays, "play")


PASSES = "say:customer hear:server=1 say:server hear:customer=1"  # and back, so that nothing is in flight
RULES |= {
    "NO-20": script(Ends, f"{PASSES} reset:customer all:server=reset over=1/0",
                    f"{PASSES} reset:server all:customer=reset over=1/0"),
    "NO-21": script(Ends, "fill bounded=True say:server11 hear:customer=11 end:customer all:server=sent"),
    "NO-22": script(Ends, "fill late:node_stalled@30=True"),
    "NO-23": script(Ends, "end:customer all:server=0 late:node_half_open@60=True all:customer=0"),
    "NO-24": script(Ends, "unread all:customer=answer", "say:customer9 over=0/0 say:server5 quit:server "
                    "say:customer hear:customer=5 quit:customer gone",
                    "answer:whole over=1/1 writing:customer=answer over=1/1 counted:node_rest_late=0",
                    "answer:clean writing:customer=answer",
                    "answer:held say:customer524288 writing:customer=answer over=1/1"),
    "NO-27": script(Ends, "fill stand@300 over=0/0 late:node_stalled@30=True"),
    "NO-29": script(Ends, "answer:whole late:node_rest_late@5=True",
                    # All data may have arrived but not been read yet.
                    "answer:whole all:customer=answer over=1/1 quit:customer gone counted:node_rest_late=0",
                    "answer:whole stand@9 over=1/1 late:node_rest_late@5=True",
                    "answer:whole end:customer gone all:customer=answer"),
    "NO-30": script(Ends, "answer:whole fill dropped=True stand@0.1 over=1/1 had stand@0.1 over=1/0 "
                    "counted:node_rest_late=0"),
}  # fmt: skip


@rule(19)
@on_sockets
async def passes(t: unittest.TestCase, ends: Ends) -> None:
    body = Random(1).randbytes(40 * WINDOW_BYTES)
    for way in ends.relay.directions:  # accepted sockets inherit the listener's options
        tcp = [way.source.getsockopt(socket.IPPROTO_TCP, option)
               for option in (socket.TCP_NODELAY, socket.TCP_USER_TIMEOUT)]  # fmt: skip
        # With unacknowledged bytes no keepalive probes are sent; TCP_USER_TIMEOUT then ends it after 90 s.
        t.assertEqual(tcp, [1, 90_000])
        t.assertEqual(way.source.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE), 1)
        t.assertEqual(way.source.getsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF), 2 * KERNEL_BUFFER_BYTES)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(ends.loop.sock_sendall, ends.customer, body)
        t.assertEqual(await ends.loop.sock_recv(ends.server, 1), body[:1])
        await ends.loop.sock_sendall(ends.server, b"first")
        t.assertEqual(await ends.loop.sock_recv(ends.customer, 99), b"first")
        tasks.start_soon(ends.all, "customer")
        rest = b""
        while len(rest) < len(body) - 1:
            rest += await ends.loop.sock_recv(ends.server, 1 << 16)
        t.assertEqual(rest, body[1:])
        ends.customer.shutdown(socket.SHUT_WR)
        t.assertEqual(await ends.all("server"), "0")
        t.assertEqual(ends.overs, 0)
        await ends.loop.sock_sendall(ends.server, body)
        ends.server.shutdown(socket.SHUT_WR)
    await ends.until(lambda: ends.overs)
    t.assertEqual(ends.relays.octets, 2 * len(body) + 5)


@rule(31)
@on_sockets
async def rests_many(t: unittest.TestCase, ends: Ends) -> None:
    sessions, _, _ = customers(t, 0, {})
    t.assertEqual(sessions.relays.max_lingering_directions, 18)
    sessions.resize(400)
    t.assertEqual(sessions.relays.max_lingering_directions, 116)
    ends.relays.max_lingering_directions = 1
    await ends.answer("whole")
    other = Ends(ends.relays)
    await other.answer("whole")
    t.assertEqual(
        (list(ends.relays.lingering), logs.counters["node_rest_late"]), ([other.relay.directions[0]], 1)
    )
    t.assertEqual((ends.near.fileno(), ends.overs, other.overs), (-1, 1, 1))
    other.close()


# Client sessions, with assignments given by the test.


def customers(
    t: unittest.TestCase, many: int, places: dict[str, UpstreamAddress]
) -> tuple[ClientSessions, list[str], list[socket.socket]]:
    """Clients that have sent data, at a node whose app server "a" is at `places`; and the calls of the
    affinity table."""
    said, all_far = list[str](), list[socket.socket]()

    def says(what: str, seat: Assignment | None = None) -> Callable[..., Any]:
        return lambda *_: said.append(what) or seat

    seats = SimpleNamespace(
        margin=1.0,
        assign=says("seat", Assignment("a", AssignmentReason.HASH)),
        connect_failed=says("failed", Assignment("", AssignmentReason.ALL_FAILED)),
        connection_opened=says("opened"),
        connection_closed=says("closed"),
    )
    loop = asyncio.get_running_loop()
    sessions = ClientSessions(MOST, cast(Any, seats), Random(7), loop, lambda: None, says("awake"))
    sessions.observe(places)
    t.addCleanup(sessions.close)
    for _ in range(many):
        far, near = socket.socketpair()
        t.addCleanup(far.close)
        near.setblocking(False)
        far.send(b"op")
        all_far.append(far)
        sessions.accept(cast(Any, SERVICE_NORTH), near, HERE)
    return sessions, said, all_far


def service_at(tenant: str, where: str = "127.0.0.1:5001", **more: Any) -> Service:
    return Service(tenant, HostPort.parse(where), **more)


SERVICE_NORTH = SimpleNamespace(number=0, settings=service_at("north"))


def node(t: unittest.TestCase) -> ProxyNode:
    made = ProxyNode(orders(), 7)
    t.addCleanup(made.close)
    return made


def orders(connections: int = MOST, services: int = 1) -> dict[str, Any]:
    node = NodeSettings("node-1", (SERVICE_NORTH.settings,) * services, connections)
    return {"node": node, "members": Members(HostPort.parse("127.0.0.1:6001"))}


class Connections(unittest.IsolatedAsyncioTestCase):
    async def test_an_error_with_one_ends_no_turn(self) -> None:
        sessions, said, all_far = customers(
            self, 2, {"a": UpstreamAddress(socket.AF_INET, ("127.0.0.1\0", 1))}
        )
        now, connects = clock(), sessions.connector
        for at in (0.0, 1.3, 50.0):
            sessions.advance(now + at)
        self.assertEqual(
            (sessions.table.held, connects.in_progress, connects.attempts, sessions.open_sessions),
            (0, {}, {}, {}),
        )
        self.assertEqual(said, ["seat", "seat"])
        for far in all_far:
            with suppress(ConnectionResetError):  # its data was not read
                self.assertEqual(far.recv(9), b"")

    async def test_one_that_is_late_and_broken_ends_no_turn(self) -> None:
        sessions, now = customers(self, 2, {})[0], clock()
        sessions._connect = lambda now, guest: None  # type: ignore[method-assign]
        sessions.advance(now)
        self.assertEqual(len(sessions.connector.in_progress), 2)  # not reachable
        sessions.advance(now + upstream_connector.CONNECT_TIMEOUT_SECONDS)
        self.assertEqual((sessions.connector.in_progress, sessions.open_sessions), ({}, {}))

    async def test_seats_hear_of_a_standstill_before_a_connect_s_outcome(self) -> None:
        with socket.create_server((HERE, 0)) as door:
            here = {"a": UpstreamAddress(socket.AF_INET, door.getsockname())}
            for places, last in (({}, "failed"), (here, "opened")):
                sessions, said, _ = customers(self, 1, places)
                sessions.advance(clock())
                with self.subTest(last=last), anyio.fail_after(10):
                    while last not in said:
                        await anyio.sleep(0.001)
                    self.assertEqual(said, ["seat", "awake", last])

    async def test_an_address_that_cannot_be_read_hides_no_other(self) -> None:
        here, servers = node(self), {}
        at = dict.fromkeys("abcd", "127.0.0.1:4100") | {"b": "nowhere", "c": "", "e": "0.0.0.0:4100"}
        for name, serves in at.items():
            said = Snapshot(name, False, 1, 1, State.SERVING, "127.0.0.9:6001", serves)
            servers[name] = Member(said, Trust.SURE, 0.0, 1.0)
        here.membership.view = lambda: View(1, clock(), "node-1", servers)  # type: ignore[method-assign]
        here._observe_view(clock())
        one, other = (UpstreamAddress(socket.AF_INET, (host, 4100)) for host in (HERE, "127.0.0.9"))
        self.assertEqual(here.sessions.addresses, {"a": one, "d": one, "e": other})
        self.assertEqual(set(here.affinity.servers), {"a", "d", "e"})
        self.assertEqual(logs.gauges["node_servers_nowhere"], 2)

    async def test_a_node_that_leaves_waits_for_rests(self) -> None:
        here = node(self)
        here.has_handed_over, here.listener_closes_at, here.end_at = True, clock() - 1.0, clock() + 60.0
        self.assertTrue(here.is_over)
        with mock.patch.dict(here.sessions.relays.lingering, {cast(Any, "way"): 0.0}):
            self.assertFalse(here.is_over)

    async def test_no_descriptor_for_a_listener(self) -> None:
        none = OSError(errno.EMFILE, "Too many open files")
        with mock.patch.object(listener.socket, "socket", side_effect=none), self.assertRaisesRegex(
                HostConfigurationError, r"north\] address: .* \(Too many open files\); give"):  # fmt: skip
            listener.Service(SERVICE_NORTH.settings, 0, lambda *_: None).open(1)


NEEDS = 2304 + 64 + 16  # descriptors of a node in addition to its connections and services


@rule(34)
def descriptors(t: unittest.TestCase, row: Row) -> None:
    for connections, services, hard, why in (
        (8, 2, NEEDS + 28, ""), (8, 2, NEEDS + 27, "8 need 2412 .* may have 2411; give at most 7$"),
        (8, 1024, NEEDS + 1050, ""), (4096, 1, NEEDS + 13312, "4096 need 15697 .* give at most 4095$"),
        (9, 3, NEEDS + 3, "let it have more$"), (4095, 1, NEEDS + 13310, ""), (1, 1, -1, ""),
    ):  # fmt: skip
        limits = mock.patch.object(process.resource, "getrlimit", lambda what, hard=hard: (64, hard))
        with limits, mock.patch.object(process.resource, "setrlimit") as sets:
            try:
                process.check_config(orders(connections, services))
            except HostConfigurationError as error:
                t.assertTrue(why)
                t.assertRegex(str(error), rf"^\[node\] connections: .*{why}")
                continue
            t.assertEqual(why, "")
            here = SimpleNamespace(services=dict.fromkeys(range(5)))  # removed once the new ones are open
            ProxyNode._raise_descriptor_limit(cast(Any, here), orders(connections, services)["node"])
            need = NEEDS + 3 * connections + connections // 4 + services + 5
            soft = need if hard < 0 else min(need, hard)
            sets.assert_called_once_with(process.resource.RLIMIT_NOFILE, (soft, hard))


def tells() -> Any:
    """A node that holds 1,023 tenants by configuration, t0000 to t1022, and may hold seven more."""
    node, said, lines = ProxyNode(orders(), 7), dict[str, Any](), list[str]()
    node.membership.announce = said.update  # type: ignore[method-assign]
    logs.gauges.clear()
    services = [service_at(f"t{at:04}", standby=at >= 1023) for at in range(1030)]
    node.migration.reconfigure(0.0, Moves(act="move"), services)
    places = cast(Any, node.migration.coordinator).tenant_states

    def told(what: str, at: float) -> str:
        """Return capacity, announced ones of the seven, number of unannounced tenants, and log lines."""
        lines.clear()
        with mock.patch.object(logs, "log_event", lambda level, what, *_, **__: lines.append(what)):
            node._publish(clock())
        assert len(said["holds"]) <= 1024
        seven = listed(one for one in said["holds"] if one > "t1022")
        return f"{said['room']}/{seven}/{logs.gauges['node_tenants_untold']}/{len(lines)}"

    return SimpleNamespace(
        told=told, full=lambda what, at: setattr(places[what], "level", Announced.PREFERRED),
        less=lambda what, at: setattr(places[what], "level", Announced.DEPREFERRED),
        on_way=lambda what, at: setattr(places[what], "is_arriving", bool(at)),
        file=lambda what, at: setattr(node.migration, "configured", (*node.migration.configured, what)),
        shown=lambda what, at: len(node.migration.status(1.0)["holds"]), close=lambda what, at: node.close(),
    )  # fmt: skip


RULES |= {
    "NO-32": script(tells, "told=8//0/0 full:t1023 on_way:t1023@1 told=8/t1023/0/0 "
                    "on_way:t1023@0 told=0/t1023/0/0 less:t0000 told=8/t1023/0/0"),  # needs capacity
    "NO-33": script(tells, "full:t1025 told full:t1029 told=0/t1025/1/1 full:t1024 told=0/t1025/2/0 "
                    "shown=1026 file:t1029 less:t0000 told=0/t1025,t1029/1/0 less:t0001 "
                    "told=0/t1024,t1025,t1029/0/0 less:t0002 told=8/t1024,t1025,t1029/0/0"),
}  # fmt: skip


# Announcement levels.

ADDRESSES = tuple(map(ip_network, ("198.51.100.7/32", "198.51.100.8/32", "198.51.100.9/32")))
SERVICES = [service_at("a", "198.51.100.7:507"), service_at("b", "198.51.100.8:508")]


@rule(25)
def lowered(t: unittest.TestCase, row: Row) -> None:
    controller = LevelController(0.0, LevelSettings(1, 0.2, 2.0, 1.0, 60), ADDRESSES)
    look = ServerObservation(True, True, 0.0, None, 0, 0, 0, 100)

    def settled(now: float) -> list[Level]:
        for at in (now, now + 2.0):
            controller.observe(at, look)
            controller.advance(at)
        return [one.level for one in controller.addresses.values()]

    t.assertEqual(settled(0.0), [Level.FULL] * 3)
    for low, wanted in (({"a": "less"}, Level.LESS), ({"a": "withdrawn"}, Level.WITHDRAWN), ({}, Level.FULL)):
        controller.caps = advertisement_levels.caps(ADDRESSES, SERVICES, low)
        t.assertEqual(settled(10.0 * len(controller.caps) + 10.0 * wanted), [wanted, Level.FULL, Level.FULL])
    controller.caps = advertisement_levels.caps(ADDRESSES, SERVICES, {"a": "less"})
    controller.start_drain(100.0, 104.0)
    t.assertEqual(settled(101.0), [Level.WITHDRAWN] * 3)  # a cap does not raise a level


@rule(26)
def as_the_highest(t: unittest.TestCase, row: Row) -> None:
    both = [*SERVICES, service_at("c", "198.51.100.7:5100")]
    for low, wanted in (
        ({"a": "withdrawn"}, []), ({"a": "withdrawn", "c": "less"}, [Level.LESS]),
        ({"a": "withdrawn", "c": "withdrawn"}, [Level.WITHDRAWN]),
    ):  # fmt: skip
        t.assertEqual([why.level for why in advertisement_levels.caps(ADDRESSES, both, low).values()], wanted)


class Page(unittest.TestCase):
    def test_states(self) -> None:
        def case(t: unittest.TestCase, row: Row) -> None:
            step = session_state.step(session_state.At[row["state"]], session_state.Event[row["event"]])
            after = row["state"] if row["next state"] == "-" else row["next state"]
            out = [] if row["what goes out"] == "-" else row["what goes out"].replace("`", "").split(", ")
            t.assertEqual((step.at.name, [do.name for do in step.out]), (after, out))

        names = itertools.product(session_state.At.__members__, session_state.Event.__members__)
        played(self, rows(PAGE, "States"), ("state", "event"), dict.fromkeys(names, case))

    def test_rules(self) -> None:
        played(self, rows(PAGE, "Rules"), "id", RULES)

    def test_every_place_is_given_back_once(self) -> None:
        """For all sequences of up to eight events."""
        seen = {(session_state.At.SILENT, 0, 0)}
        for _ in range(8):
            for (at, places, closed), event in itertools.product(list(seen), session_state.Event):
                step = session_state.step(at, event)
                took = (at, event) == (session_state.At.WAITING, session_state.Event.LET_IN)
                places_now = places + took - (session_state.Do.GIVE_BACK in step.out)
                seen.add((step.at, places_now, closed + (session_state.Do.CLOSE in step.out)))
        inside = (session_state.At.SEATING, session_state.At.CONNECTING, session_state.At.PASSING)
        self.assertEqual({(at in inside, places) for at, places, _ in seen}, {(True, 1), (False, 0)})
        gone = {(at is session_state.At.GONE, closed) for at, _, closed in seen}
        self.assertEqual(gone, {(False, 0), (True, 0), (True, 1)})


class Drawn(unittest.TestCase):
    """Random operations in any order: nothing is lost or counted twice, and no bound is exceeded."""

    def test_table(self) -> None:
        for seed in range(30):
            rng, table, silent = Random(seed), ConnectionTable(MOST), list[WaitingConnection]()
            for step in range(400):
                match rng.randrange(5):
                    case 0 | 1:
                        waiter, pushed = table.add(step, rng.choice((1, 1, 1, 2, 3, 4, 5)), None)
                        silent = [one for one in (*silent, waiter) if one is not None and one is not pushed]
                    case 2 if silent:
                        table.first_bytes_received(step, silent.pop(rng.randrange(len(silent))))
                    case 3:
                        for _ in range(rng.randrange(3)):
                            table.admit_next()
                    case 4 if table.held_by_tenant:
                        table.release(rng.choice(list(table.held_by_tenant)))
                waits = [one for them in table.waiting_by_tenant.values() for one in them]
                spoken = [one for line in table.queue.lines.values() for one in line]
                self.assertEqual(sorted(map(id, waits)), sorted(map(id, [*silent, *spoken])))
                self.assertEqual((table.waiting, set(table.silent)), (len(waits), set(silent)))
                self.assertEqual(table.held, sum(table.held_by_tenant.values()))
                self.assertTrue(
                    table.held <= MOST and table.waiting <= MOST and 0 not in table.held_by_tenant.values()
                )

    def test_connects(self) -> None:
        for seed in range(30):
            rng, made, now = Random(seed), UpstreamConnector(512, Random(seed)), 0.0
            idle, tries = set(range(30)), Counter[int]()

            for _ in range(400):
                now += rng.choice((0.0, 0.01, 0.3))
                over: list[int] = []
                match rng.randrange(5):
                    case 0 | 1 if idle:
                        key = idle.pop()
                        tries[key] += 1
                        over = [] if made.request(now, key, rng.choice("abc")) else [key]
                    case 2 if made.in_progress:
                        made.connected(now, key := rng.choice(list(made.in_progress)))
                        over = [key]
                    case 3 if made.in_progress:
                        idle.add(key := rng.choice(list(made.in_progress)))
                        made.failed(now, key)
                    case 4 if made.server_by_key:
                        over = [rng.choice(list(made.server_by_key))]
                for key in over:
                    made.forget(key)
                    idle.add(key)
                    del tries[key]
                for key in made.timed_out(now):
                    idle.add(key)
                    made.failed(now, key)
                idle |= {action.key for action in made.advance(now) if isinstance(action, ReassignSession)}
                for name, door in made.breakers.items():
                    there = {one for one, at in made.server_by_key.items() if at == name}
                    self.assertEqual((door.in_progress, set(door.waiting)), (
                        len(there & made.in_progress.keys()), there - made.in_progress.keys()))  # fmt: skip
                    self.assertTrue(0 <= door.in_progress <= 8 and 1 <= door.window <= 8)
                self.assertLessEqual(max(tries.values(), default=0), upstream_connector.MAX_ATTEMPTS)
                self.assertEqual({key: many for key, many in tries.items() if many}, made.attempts)
                self.assertGreaterEqual(made.next_advance_at(now), now)


class Loads(unittest.TestCase):
    def test_what_is_held_and_opened_is_told(self) -> None:
        rates = Rates(0.0)
        for at in range(60):
            for _ in range(20):
                rates.opened("a")
            figures = rates.update(at + 1.0, {"a": 5, "b": 1})
        self.assertEqual([load.tenant for load in figures.loads], ["a", "b"])
        self.assertEqual((figures.connections, figures.rest.connections), (6, 0))
        self.assertAlmostEqual(figures.opened, 20.0, delta=0.5)
        self.assertEqual((rates.update(300.0, {}).loads, rates.rates), ((), {}))


# Processes.


class Meets:
    """Which app server answered which client, on one connection at a time."""

    def __init__(self, here: Drill) -> None:
        self.here, self.met = here, Counter[tuple[int, str]]()

    async def line(self, number: int, node: str = "node-1", tenant: str = "north") -> Line:
        host, port = self.here.address(tenant), self.here[node].services[tenant]
        return await Line.come(self.here.tasks, f"127.0.0.{number}", host, port)

    async def op(self, line: Line, tenant: str = "north") -> str:
        error, result = await line.answer(await line.ask("look", b"op", project=tenant), 8.0)
        assert error is None, error
        return result[0].split(b" ", 2)[1].decode()

    async def visit(self, number: int, node: str = "node-1", ops: int = 1) -> None:
        line = await self.line(number, node)
        for _ in range(ops):
            self.met[number, await self.op(line)] += 1
        await line.stream.aclose()

    @property
    def servers(self) -> set[str]:
        return {server for _, server in self.met}


class Processes(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        asyncio.get_running_loop().set_debug(False)  # otherwise logs every slow turn

    async def said(self, *command: object) -> tuple[int, str, str]:
        whole = [sys.executable, "-m", "thymeyoke", *map(str, command)]
        done = await anyio.to_thread.run_sync(
            lambda: subprocess.run(whole, capture_output=True, text=True, timeout=20))  # fmt: skip
        return done.returncode, done.stdout, done.stderr

    async def test_customers_keep_their_app_server_through_two_nodes(self) -> None:
        async with drill(41, servers=2, moves={"act": "recommend"}) as here:
            await here.up()
            await here.ripe()
            meets, first, orders = Meets(here), here["node-1"], here.folder / "node-1.ini"
            for _, number, node in itertools.product(range(2), range(11, 23), ("node-1", "node-2")):
                await meets.visit(number, node, 3)
            found = (len(meets.met), set(meets.met.values()), len(meets.servers))
            self.assertEqual(found, (12, {12}, 2), meets.met)
            silent = [await meets.line(30) for _ in range(20)]
            await meets.visit(31)
            for line in silent:  # closed in time, without a message to any app server
                await line.until(lambda line=line: line.closed, 8.0)
            for command, code, out, error in (
                # With the name of another live node.
                (
                    ("node", "--service-config", orders),
                    1,
                    "^$",
                    r"^Error: .* name: another node answers at .*\n$",
                ),
                (
                    ("moves", "show", "--control", here.folder / "none.sock"),
                    1,
                    "^$",
                    r"^Error: no node answers at .*none.sock .*\n$",
                ),
                (
                    ("moves", "show", "--service-config", orders),
                    0,
                    "^node-1 holds north\nnode-1 recommends, and moves nothing",
                    "^$",
                ),
            ):
                with self.subTest(command=command):
                    found = await self.said(*command)
                    self.assertEqual(found[0], code)
                    self.assertRegex(found[1], out)
                    self.assertRegex(found[2], error)
            found = await self.said("moves", "show", "--control", here["node-2"].control, "--json")
            told = orjson.loads(found[1])
            self.assertEqual((told["name"], told["holds"], told["act"]), ("node-2", ["north"], "recommend"))
            with self.subTest("it leaves, and what is open goes on"):
                line = await meets.line(40)
                await meets.op(line)
                first.signal(TERM)
                await here.until(lambda: first.said("graceful_shutdown_started"))
                await meets.op(line)
                await line.stream.aclose()
                self.assertEqual(await first.gone(), 0)
                await meets.visit(40, "node-2")

    async def test_the_file_read_again(self) -> None:
        async with drill(42, servers=1, nodes=1, tenants=("north", "south")) as here:
            await here.up()
            meets, node, orders = Meets(here), here["node-1"], here.folder / "node-1.ini"
            good, east, other = orders.read_text(), "[node.service east]\n", here.port()
            south = await meets.line(11, tenant="south")
            await meets.op(south, "south")
            taken = socket.create_server((HERE, 0))
            self.addCleanup(taken.close)
            bad = (
                good.replace("connections", "conections"), good + "[node]\nname = other\n", good + east,
                good + f"{east}address = 127.0.0.1:{taken.getsockname()[1]}\n",
                good.replace("name = node-1", "name = node-7"), "",
                f"{good}[node.service]\naddress = 127.0.0.1:{other}\n",
            )  # fmt: skip
            for many, text in enumerate(bad, 1):
                with self.subTest(text=text[-60:]):
                    orders.write_text(text)
                    node.signal(AGAIN)
                    await here.until(lambda many=many: len(node.said("service_config_rejected")) == many, 8.0)
                    await meets.op(south, "south")
                    await meets.visit(12)
            self.assertEqual(len(node.said("service_config_reloaded")), 0)
            kept = good[: good.index("[node.service south]")]
            orders.write_text(f"{kept}{east}address = 127.0.0.1:{other}\n")
            node.signal(AGAIN)
            await here.until(lambda: node.said("service_config_reloaded"), 8.0)
            await meets.op(south, "south")  # its connection is kept
            with self.assertRaises(OSError):
                await meets.line(11, tenant="south")
            async with await anyio.connect_tcp(HERE, other):
                pass
            node.signal(TERM)
            await south.stream.aclose()
            self.assertEqual(await node.gone(), 0)

    async def test_a_full_table(self) -> None:
        """A tenant floods the table; another tenant gets the next free slot although it came last."""
        async with drill(44, servers=1, nodes=1, tenants=("north", "south")) as here:
            here["node-1"].options = {"connections": MOST}
            await here.up()
            meets, crowd = Meets(here), list[Line]()
            held = [await meets.line(11 + at) for at in range(MOST)]
            for line in held:
                await meets.op(line)
            for at in range(4 * MOST):
                with suppress(OSError, *LOST):  # connections over the limit are reset at once
                    crowd.append(await meets.line(31 + at))
                    await crowd[-1].ask("look", b"op", project="north")
            await here.until(lambda: sum(not line.closed for line in crowd) == MOST, 4.0)
            south = await meets.line(90, tenant="south")
            number = await south.ask("look", b"op", project="south")
            await here.until(lambda: sum(not line.closed for line in crowd) == MOST - 1, 4.0)
            await held[0].stream.aclose()
            self.assertIsNone((await south.answer(number, 4.0))[0])
            self.assertEqual([line.answers for line in crowd], [{}] * len(crowd))
            for line in held[1:]:
                await meets.op(line)  # none of them was closed

    async def test_app_servers_that_are_not_there(self) -> None:
        """If one dies, its clients move to the other; if both die, connections are closed and nothing ran."""
        async with drill(43, servers=2, nodes=1) as here:
            await here.up()
            await here.ripe()  # otherwise all may be assigned to the server that is known first
            meets = Meets(here)
            for dies, left in (("s1", {"s1", "s2"}), ("s2", {"s2"})):
                meets.met.clear()
                for number in range(11, 23):
                    await meets.visit(number)
                self.assertEqual(meets.servers, left)
                here[dies].signal(KILL)
                await here[dies].gone()
            line = await meets.line(11)
            await line.ask("look", b"op")
            await line.until(lambda: line.closed, 10.0)
            self.assertEqual(line.answers, {})
            here["node-1"].signal(TERM)
            self.assertEqual(await here["node-1"].gone(), 0)


if __name__ == "__main__":
    unittest.main()
