"""Client connections that end while requests are open or data is unread or unwritten."""

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
from tests.app_server import start_file_with, until
from thymeyoke.configuration import start_file
from thymeyoke.runtime import extensions
from thymeyoke.runtime.logs import counters
from thymeyoke.server import listener, messages, routers_wire

NAMES = start_file.read_request_names(start_file_with()["settings"])
IDLE = 30.0


class ConnectionPair(NamedTuple):
    """A server-side connection and the client's socket, without a server."""

    server_listener: listener.Listener
    connection: listener.ClientConnection
    client: socket.socket
    events: anyio.streams.memory.MemoryObjectReceiveStream[messages.Event]

    def request(self, number: int, method: str = "look", **fields: str) -> bytes:
        frame = msgpack.unpackb(Router(mock.Mock()).frame(method, **fields)[1])
        return msgpack.packb([0, number, *frame[2:]])

    async def answers(self) -> list[list[object]]:
        """All messages that the client receives until end of file; raises if the connection is reset."""
        unpacker = msgpack.Unpacker()
        while True:
            await anyio.wait_readable(self.client)
            if not (data := self.client.recv(1 << 16)):
                return list(unpacker)
            unpacker.feed(data)


@asynccontextmanager
async def connection_pair(idle: float = IDLE) -> AsyncIterator[ConnectionPair]:
    server_socket = socket.create_server(("127.0.0.1", 0))
    client = socket.create_connection(server_socket.getsockname())
    ours, _ = server_socket.accept()
    server_socket.close()
    for end in (ours, client):
        end.setblocking(False)
    inbox, events = anyio.create_memory_object_stream[messages.Event](64)
    server_listener = listener.Listener(NAMES, listener.SPARE_DESCRIPTORS + 1, idle, inbox)
    connection = listener.ClientConnection(ours, NAMES, inbox)
    server_listener.connections.add(connection)
    with inbox, events, client, anyio.fail_after(5):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(connection.run)
            yield ConnectionPair(server_listener, connection, client, events)
            connection.scope.cancel()


def sweep_after(at: ConnectionPair, seconds: float) -> None:
    """Run the listener's periodic check as if this much time had passed."""
    at.server_listener._sweep(at.connection.used_at + seconds)


class ClosingConnections(unittest.IsolatedAsyncioTestCase):
    async def test_incomplete_message_does_not_abort_open_requests(self) -> None:
        """The connection ends once its requests are answered. It used to be closed with them open."""
        async with connection_pair() as at:
            half = at.request(3)[:20]
            at.client.send(at.request(1) + at.request(2) + half)
            await until(lambda: len(at.connection.open_requests) == 2)
            sweep_after(at, listener.INCOMPLETE_MESSAGE_SECONDS + 1)
            self.assertFalse(at.connection.scope.cancel_called)
            for number in (1, 2):
                at.connection.send(extensions.Answer(number, extensions.Verdict.SERVED))
                sweep_after(at, listener.INCOMPLETE_MESSAGE_SECONDS + 1)
                self.assertFalse(at.connection.scope.cancel_called)
            await until(lambda: not at.connection.unsent_count)
            sweep_after(at, listener.INCOMPLETE_MESSAGE_SECONDS + 1)
            self.assertEqual([answer[:3] for answer in await at.answers()], [[1, 1, None], [1, 2, None]])

    async def test_open_request_number_cannot_be_reused(self) -> None:
        """The connection is closed, with at most one answer.

        A health check with an open number used to be answered in place of the request's result, and a
        malformed request rejected; in both cases two answers were sent.
        """
        check = msgpack.packb([0, 1, "alive", [{}]])
        async with connection_pair() as at:
            request, malformed = at.request(1), at.request(1, "sell")
        for first, second in [(request, request), (request, check), (request, malformed), (check, check),
                              (check, request), (check, malformed)]:  # fmt: skip
            with self.subTest(first=first, second=second):
                async with connection_pair() as at:
                    at.client.send(first + second)
                    self.assertEqual(await at.answers(), [])
                    self.assertEqual(at.connection.open_requests, {})

    async def test_without_idle_timeout_no_connection_is_closed(self) -> None:
        """Without an idle timeout every connection used to get the shutdown notice at once.

        A notified connection with an unwritten answer was then closed.
        """
        async with connection_pair(idle=0.0) as at:
            at.server_listener.notify(messages.IdleTimeoutChanged(0.0))
            at.client.send(msgpack.packb([0, 1, "alive", [{}]]))
            await until(lambda: at.connection.has_sent_message)
            at.connection.send(messages.HealthAnswer(1, True, None))
            await until(lambda: not at.connection.unsent_count)
            sweep_after(at, 1e6)
            self.assertEqual(at.connection.notified_at, math.inf)
            at.connection.notified_at, at.connection.unsent_count = 0.0, 1
            sweep_after(at, 1e6)
            self.assertFalse(at.connection.scope.cancel_called)

    async def test_data_received_while_closing_is_discarded(self) -> None:
        """A full or partial request arrives right after the decision to close.

        It is not handled, the client reads end of file and no reset, and earlier answers are written.
        """
        async with connection_pair() as at:
            request = at.request(3)
        for name, late_data in [("nothing", b""), ("a request", request), ("half a line", request[:20])]:
            with self.subTest(name):
                async with connection_pair() as at:
                    at.client.send(at.request(1))
                    await until(lambda at=at: at.connection.open_requests)
                    arrived = at.events.receive_nowait()
                    at.connection.send(extensions.Answer(1, extensions.Verdict.SERVED))
                    at.connection.scope.cancel()
                    at.client.send(late_data)
                    self.assertEqual([answer[:3] for answer in await at.answers()], [[1, 1, None]])
                    self.assertIsInstance(arrived, messages.RequestReceived)
                    self.assertEqual(at.events.statistics().current_buffer_used, 0)

    async def test_data_received_after_shutdown_is_discarded(self) -> None:
        """The client sends before it has read end of file: its data is dropped without a reset.

        The server waits a moment for such data, but not if it evicts the connection to make room.
        """
        for evicted in (False, True):
            with (
                self.subTest(evicted=evicted),
                mock.patch.object(listener, "CLOSE_LINGER_SECONDS", 3.0, create=True),
            ):
                async with connection_pair() as at:
                    await anyio.wait_all_tasks_blocked()
                    if evicted:
                        self.assertTrue(at.server_listener._evict_connection())
                    else:
                        at.connection.scope.cancel()
                    self.assertEqual(await at.answers(), [])
                    if not evicted:
                        at.client.send(at.request(1))
                        at.client.shutdown(socket.SHUT_WR)
                    await until(lambda at=at: at.connection.socket.fileno() < 0, within=1.0)
                    self.assertEqual(at.client.recv(1), b"")
                    self.assertEqual(at.events.statistics().current_buffer_used, 0)

    async def test_connection_with_unread_request_is_not_closed(self) -> None:
        """A request that the event loop had read, but not the connection's task, used to be invisible.

        Eviction then closed the connection and lost it, or it was handled on a closing connection.
        """
        for turns in range(8):
            with self.subTest(turns=turns):
                async with connection_pair() as at:
                    await anyio.wait_all_tasks_blocked()
                    at.client.send(at.request(1))
                    for _ in range(turns):
                        await anyio.sleep(0)
                    self.assertFalse(at.server_listener._evict_connection())
                    at.server_listener._sweep(at.connection.used_at + listener.INCOMPLETE_MESSAGE_SECONDS + 1)
                    await until(lambda at=at: at.connection.open_requests)
                    at.connection.send(extensions.Answer(1, extensions.Verdict.SERVED))
                    at.client.shutdown(socket.SHUT_WR)
                    self.assertEqual(len(await at.answers()), 1)

    async def test_evicted_connections_free_their_descriptors(self) -> None:
        """Many silent clients connect. An evicted connection used to be replaced before its descriptor was
        free, which used up the descriptors reserved for calls and reports. Accepted clients are still read,
        whatever descriptor they got.
        """
        client_count, max_connections = 20, 4
        inbox, events = anyio.create_memory_object_stream[messages.Event](64)
        server_listener = listener.Listener(NAMES, listener.SPARE_DESCRIPTORS + max_connections, IDLE, inbox)
        counters.clear()
        server_listener.socket = socket.create_server(("127.0.0.1", 0), backlog=64)
        with inbox, events, server_listener.socket, ExitStack() as sockets:
            server_listener.socket.setblocking(False)
            async with anyio.create_task_group() as server_listener.tasks:
                known_descriptors = set(os.listdir("/proc/self/fd"))
                for _ in range(3):
                    clients = [
                        socket.create_connection(server_listener.socket.getsockname())
                        for _ in range(client_count)
                    ]
                    for client in clients:
                        sockets.enter_context(client)
                        known_descriptors.add(str(client.fileno()))
                    server_listener._accept_waiting(client_count)
                    self.assertLessEqual(
                        len(set(os.listdir("/proc/self/fd")) - known_descriptors), max_connections + 1
                    )
                    await anyio.wait_all_tasks_blocked()
                for at, client in enumerate(clients[-max_connections:]):
                    client.sendall(Router(mock.Mock()).frame("look")[1])
                    await until(lambda at=at: events.statistics().current_buffer_used > at)
                self.assertEqual(
                    (len(server_listener.connections), counters["connection_errors"]), (max_connections, 0)
                )
                server_listener.tasks.cancel_scope.cancel()


MESSAGEPACK_TYPES = {
    str: (0xA0, 0xD9, 1),
    bytes: (None, 0xC4, 1),
    list: (0x90, 0xDC, 2),
    dict: (0x80, 0xDE, 2),
}


def encode_form(form: int, value: Any) -> bytes:
    """Encode a value, using encoding number `form` for each integer, string, map and array in it."""
    if isinstance(value, int):
        wide = [bytes([first + at]) + value.to_bytes(1 << at) for first in (0xCC, 0xD0) for at in range(4)]
        return [bytes([value]), *wide][form % 9]
    fixed, first, least = MESSAGEPACK_TYPES[type(value)]
    widths = [width for width in (1, 2, 4) if width >= least]
    encodings = [bytes([first + at]) + len(value).to_bytes(width) for at, width in enumerate(widths)]
    if fixed is not None:
        encodings.append(bytes([fixed | len(value)]))
    if isinstance(value, dict):
        value = [one for connection_pair in value.items() for one in connection_pair]
    if isinstance(value, list):
        value = b"".join(encode_form(form, one) for one in value)
    return encodings[form % len(encodings)] + (value.encode() if isinstance(value, str) else value)


class MessagePackForms(unittest.TestCase):
    def test_every_messagepack_encoding_in_any_chunks(self) -> None:
        frame = msgpack.unpackb(Router(mock.Mock()).frame("look", b"body", lookup="7f3a")[1])
        frame[3][0]["unknown"] = "field"
        frames = [frame, [0, 8, "alive", [{}]], [2, "cancelRequest", [1]]]
        expected = routers_wire.RequestReader(NAMES).feed(b"".join(map(msgpack.packb, frames)))
        self.assertEqual(
            [type(one) for one in expected],
            [routers_wire.RequestMessage, routers_wire.HealthCheckMessage, routers_wire.CancelMessage],
        )
        for form in range(36):
            data = b"".join(encode_form(form, one) for one in frames)
            self.assertEqual(list(msgpack.Unpacker(BytesIO(data))), frames)
            cuts = [[data[:at], data[at:]] for at in range(1, len(data))]
            for parts in [[data], [data[at : at + 1] for at in range(len(data))], *cuts]:
                reader = routers_wire.RequestReader(NAMES)
                self.assertEqual([one for part in parts for one in reader.feed(part)], expected)
                self.assertFalse(reader.is_incomplete())

    def test_booleans_and_floats_are_not_integers(self) -> None:
        for frame in ([False, 7, "alive", [{}]], [0.0, 7, "alive", [{}]], [0, True, "alive", [{}]],
                      [2.0, "cancelRequest", [7]], [2, "cancelRequest", [True]]):  # fmt: skip
            with self.subTest(frame=frame), self.assertRaises(routers_wire.InvalidFrameError):
                routers_wire.RequestReader(NAMES).feed(msgpack.packb(frame))


if __name__ == "__main__":
    unittest.main()
