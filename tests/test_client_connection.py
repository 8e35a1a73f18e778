"""Cases for the moment in which a client's connection ends while something is still owed on it."""

from __future__ import annotations

import math
import os
import socket
import unittest
from collections.abc import AsyncIterator
from contextlib import ExitStack, asynccontextmanager
from io import BytesIO
from typing import Any, NamedTuple
from unittest import mock

import anyio
import msgpack

from examples.fakes import Router
from tests.app_server import told, until
from thymeyoke.configuration import start_file
from thymeyoke.runtime import extensions
from thymeyoke.runtime.logs import counters
from thymeyoke.server import listener, messages, routers_wire

NAMES = start_file.read_request_names(told()["settings"])
IDLE = 30.0


class Pair(NamedTuple):
    """A server's connection and its client's end, with nothing else around them."""

    hall: listener.Listener
    connection: listener.ClientConnection
    client: socket.socket
    events: anyio.streams.memory.MemoryObjectReceiveStream[messages.Event]

    def request(self, number: int, method: str = "look", **fields: str) -> bytes:
        frame = msgpack.unpackb(Router(mock.Mock()).frame(method, **fields)[1])
        return msgpack.packb([0, number, *frame[2:]])

    async def answers(self) -> list[list[object]]:
        """All that the client reads until the end; a reset would raise."""
        unpacker = msgpack.Unpacker()
        while True:
            await anyio.wait_readable(self.client)
            if not (data := self.client.recv(1 << 16)):
                return list(unpacker)
            unpacker.feed(data)


@asynccontextmanager
async def pair(idle: float = IDLE) -> AsyncIterator[Pair]:
    server_socket = socket.create_server(("127.0.0.1", 0))
    client = socket.create_connection(server_socket.getsockname())
    ours, _ = server_socket.accept()
    server_socket.close()
    for end in (ours, client):
        end.setblocking(False)
    inbox, events = anyio.create_memory_object_stream[messages.Event](64)
    hall = listener.Listener(NAMES, listener.SPARE_DESCRIPTORS + 1, idle, inbox)
    connection = listener.ClientConnection(ours, NAMES, inbox)
    hall.connections.add(connection)
    with inbox, events, client, anyio.fail_after(5):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(connection.run)
            yield Pair(hall, connection, client, events)
            connection.scope.cancel()


def later(at: Pair, seconds: float) -> None:
    """The look at what is unused or unfinished, as if so much time had passed."""
    at.hall._sweep(at.connection.used_at + seconds)


class Closing(unittest.IsolatedAsyncioTestCase):
    async def test_a_message_that_stands_half_said_costs_no_open_request(self) -> None:
        """The connection was closed with the requests on it. Now it ends as soon as they are answered."""
        async with pair() as at:
            half = at.request(3)[:20]
            at.client.send(at.request(1) + at.request(2) + half)
            await until(lambda: len(at.connection.open_requests) == 2)
            later(at, listener.INCOMPLETE_MESSAGE_SECONDS + 1)
            self.assertFalse(at.connection.scope.cancel_called)
            for number in (1, 2):
                at.connection.send(extensions.Answer(number, extensions.Verdict.SERVED))
                later(at, listener.INCOMPLETE_MESSAGE_SECONDS + 1)
                self.assertFalse(at.connection.scope.cancel_called)
            await until(lambda: not at.connection.unsent_count)
            later(at, listener.INCOMPLETE_MESSAGE_SECONDS + 1)
            self.assertEqual([answer[:3] for answer in await at.answers()], [[1, 1, None], [1, 2, None]])

    async def test_a_number_that_is_open_is_used_for_nothing_else(self) -> None:
        """A health check under it was answered `true` in place of its result, what is not understood was
        refused under it, and both left two answers: now one clear close, and one answer at most."""
        check = msgpack.packb([0, 1, "alive", [{}]])
        async with pair() as at:
            request, unclear = at.request(1), at.request(1, "sell")
        for first, second in [(request, request), (request, check), (request, unclear), (check, check),
                              (check, request), (check, unclear)]:  # fmt: skip
            with self.subTest(first=first, second=second):
                async with pair() as at:
                    at.client.send(first + second)
                    self.assertEqual(await at.answers(), [])
                    self.assertEqual(at.connection.open_requests, {})

    async def test_with_no_idle_span_no_connection_is_ended(self) -> None:
        """Every connection was told `leaving` at once where the settings name none; one that had been told
        and had an answer to be written was closed over it."""
        async with pair(idle=0.0) as at:
            at.hall.notify(messages.IdleTimeoutChanged(0.0))
            at.client.send(msgpack.packb([0, 1, "alive", [{}]]))
            await until(lambda: at.connection.has_sent_message)
            at.connection.send(messages.HealthAnswer(1, True, None))
            await until(lambda: not at.connection.unsent_count)
            later(at, 1e6)
            self.assertEqual(at.connection.notified_at, math.inf)
            at.connection.notified_at, at.connection.unsent_count = 0.0, 1
            later(at, 1e6)
            self.assertFalse(at.connection.scope.cancel_called)

    async def test_what_comes_in_the_moment_of_the_close(self) -> None:
        """A request or a piece of one, right behind the decision to close: it is not handed on, the client
        reads an end and no reset, and what was told before is written."""
        async with pair() as at:
            request = at.request(3)
        for name, late in [("nothing", b""), ("a request", request), ("half a line", request[:20])]:
            with self.subTest(name):
                async with pair() as at:
                    at.client.send(at.request(1))
                    await until(lambda at=at: at.connection.open_requests)
                    arrived = at.events.receive_nowait()
                    at.connection.send(extensions.Answer(1, extensions.Verdict.SERVED))
                    at.connection.scope.cancel()
                    at.client.send(late)
                    self.assertEqual([answer[:3] for answer in await at.answers()], [[1, 1, None]])
                    self.assertIsInstance(arrived, messages.RequestReceived)
                    self.assertEqual(at.events.statistics().current_buffer_used, 0)

    async def test_what_comes_behind_the_end_of_the_sending_half(self) -> None:
        """The client had not read the end yet. What it wrote is dropped, and it is not reset for it, as long
        as something may cross the close; a full table does not wait for that."""
        for evicted in (False, True):
            with (
                self.subTest(evicted=evicted),
                mock.patch.object(listener, "CLOSE_LINGER_SECONDS", 3.0, create=True),
            ):
                async with pair() as at:
                    await anyio.wait_all_tasks_blocked()
                    if evicted:
                        self.assertTrue(at.hall._evict_connection())
                    else:
                        at.connection.scope.cancel()
                    self.assertEqual(await at.answers(), [])
                    if not evicted:
                        at.client.send(at.request(1))
                        at.client.shutdown(socket.SHUT_WR)
                    await until(lambda at=at: at.connection.socket.fileno() < 0, within=1.0)
                    self.assertEqual(at.client.recv(1), b"")
                    self.assertEqual(at.events.statistics().current_buffer_used, 0)

    async def test_a_request_that_was_written_before_is_never_closed_over(self) -> None:
        """Read by the event loop and not by the connection's task, it stood where no look saw it: a full
        table closed the connection over it, or handed it on from a connection that was being closed."""
        for turns in range(8):
            with self.subTest(turns=turns):
                async with pair() as at:
                    await anyio.wait_all_tasks_blocked()
                    at.client.send(at.request(1))
                    for _ in range(turns):
                        await anyio.sleep(0)
                    self.assertFalse(at.hall._evict_connection())
                    at.hall._sweep(at.connection.used_at + listener.INCOMPLETE_MESSAGE_SECONDS + 1)
                    await until(lambda at=at: at.connection.open_requests)
                    at.connection.send(extensions.Answer(1, extensions.Verdict.SERVED))
                    at.client.shutdown(socket.SHUT_WR)
                    self.assertEqual(len(await at.answers()), 1)

    async def test_a_full_table_holds_no_more_descriptors_than_it_has_places(self) -> None:
        """By hundreds of clients that say nothing: a place was given away before its descriptor was free, and
        the reserve for calls and reports went with it. Who is let in is heard, whatever descriptor it got."""
        many, places = 20, 4
        inbox, events = anyio.create_memory_object_stream[messages.Event](64)
        hall = listener.Listener(NAMES, listener.SPARE_DESCRIPTORS + places, IDLE, inbox)
        counters.clear()
        hall.socket = socket.create_server(("127.0.0.1", 0), backlog=64)
        with inbox, events, hall.socket, ExitStack() as ends:
            hall.socket.setblocking(False)
            async with anyio.create_task_group() as hall.tasks:
                held = set(os.listdir("/proc/self/fd"))
                for _ in range(3):
                    clients = [socket.create_connection(hall.socket.getsockname()) for _ in range(many)]
                    for client in clients:
                        ends.enter_context(client)
                        held.add(str(client.fileno()))
                    hall._accept_waiting(many)
                    self.assertLessEqual(len(set(os.listdir("/proc/self/fd")) - held), places + 1)
                    await anyio.wait_all_tasks_blocked()
                for at, client in enumerate(clients[-places:]):
                    client.sendall(Router(mock.Mock()).frame("look")[1])
                    await until(lambda at=at: events.statistics().current_buffer_used > at)
                self.assertEqual((len(hall.connections), counters["connection_errors"]), (places, 0))
                hall.tasks.cancel_scope.cancel()


HEADS = {str: (0xA0, 0xD9, 1), bytes: (None, 0xC4, 1), list: (0x90, 0xDC, 2), dict: (0x80, 0xDE, 2)}


def packed(form: int, value: Any) -> bytes:
    """MessagePack of a value, with every integer, string, map and array in it in one form of its kind."""
    if isinstance(value, int):
        wide = [bytes([first + at]) + value.to_bytes(1 << at) for first in (0xCC, 0xD0) for at in range(4)]
        return [bytes([value]), *wide][form % 9]
    fixed, first, least = HEADS[type(value)]
    widths = [width for width in (1, 2, 4) if width >= least]
    heads = [bytes([first + at]) + len(value).to_bytes(width) for at, width in enumerate(widths)]
    if fixed is not None:
        heads.append(bytes([fixed | len(value)]))
    if isinstance(value, dict):
        value = [one for pair in value.items() for one in pair]
    if isinstance(value, list):
        value = b"".join(packed(form, one) for one in value)
    return heads[form % len(heads)] + (value.encode() if isinstance(value, str) else value)


class Forms(unittest.TestCase):
    def test_every_form_of_messagepack_however_it_is_cut(self) -> None:
        frame = msgpack.unpackb(Router(mock.Mock()).frame("look", b"body", lookup="7f3a")[1])
        frame[3][0]["unknown"] = "field"
        frames = [frame, [0, 8, "alive", [{}]], [2, "cancelRequest", [1]]]
        expected = routers_wire.RequestReader(NAMES).feed(b"".join(map(msgpack.packb, frames)))
        self.assertEqual(
            [type(one) for one in expected],
            [routers_wire.RequestMessage, routers_wire.HealthCheckMessage, routers_wire.CancelMessage],
        )
        for form in range(36):
            data = b"".join(packed(form, one) for one in frames)
            self.assertEqual(list(msgpack.Unpacker(BytesIO(data))), frames)
            cuts = [[data[:at], data[at:]] for at in range(1, len(data))]
            for parts in [[data], [data[at : at + 1] for at in range(len(data))], *cuts]:
                reader = routers_wire.RequestReader(NAMES)
                self.assertEqual([one for part in parts for one in reader.feed(part)], expected)
                self.assertFalse(reader.is_incomplete())

    def test_what_only_equals_an_integer_is_none(self) -> None:
        for frame in ([False, 7, "alive", [{}]], [0.0, 7, "alive", [{}]], [0, True, "alive", [{}]],
                      [2.0, "cancelRequest", [7]], [2, "cancelRequest", [True]]):  # fmt: skip
            with self.subTest(frame=frame), self.assertRaises(routers_wire.InvalidFrameError):
                routers_wire.RequestReader(NAMES).feed(msgpack.packb(frame))


if __name__ == "__main__":
    unittest.main()
