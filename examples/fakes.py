"""Small stand-ins of what a server speaks with: a router, the processor, the database and the list.

They follow the operators' pages as far as the toy and the tests need it, on loopback only, and can be told to
misbehave. They are no load rig: they measure nothing.
"""

from __future__ import annotations

import itertools
import struct
import time
from base64 import b64decode, b64encode
from collections.abc import Callable
from contextlib import nullcontext, suppress
from os import urandom
from socket import SO_LINGER, SOL_SOCKET
from typing import Any

import anyio
import h11
import msgpack
import orjson
from anyio.abc import SocketAttribute, SocketStream, TaskGroup, TaskStatus
from anyio.streams.buffered import BufferedByteReceiveStream

LOST = (anyio.EndOfStream, anyio.IncompleteRead, anyio.BrokenResourceError, anyio.ClosedResourceError)


class Watched:
    """Something whose changes can be awaited."""

    def __init__(self) -> None:
        self.changed = anyio.Event()

    def _changes(self) -> None:
        self.changed.set()
        self.changed = anyio.Event()

    async def until(self, true: Callable[[], Any], within: float = 5.0) -> Any:
        """Wait until something holds of what was heard."""
        with anyio.fail_after(within):
            while not (found := true()):
                await self.changed.wait()
        return found


class StandIn(Watched):
    """A listener on loopback whose connections can be cut."""

    def __init__(self) -> None:
        super().__init__()
        self.port = 0
        self.streams: list[SocketStream] = []

    async def run(self, port: int = 0, *, task_status: TaskStatus[int] = anyio.TASK_STATUS_IGNORED) -> None:
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1", local_port=port)
        self.port = listener.listeners[0].extra(SocketAttribute.local_port)
        async with listener, anyio.create_task_group() as self.tasks:
            task_status.started(self.port)
            await listener.serve(self._serve, self.tasks)

    async def _serve(self, stream: SocketStream) -> None:
        self.streams.append(stream)
        try:
            with suppress(*LOST):
                await self.speak(stream)
        finally:
            if stream in self.streams:
                self.streams.remove(stream)
            self._changes()
            await anyio.aclose_forcefully(stream)

    async def speak(self, stream: SocketStream) -> None:
        raise NotImplementedError

    async def cut(self) -> None:
        for stream in self.streams:
            await anyio.aclose_forcefully(stream)


class Processor(StandIn):
    """Runs ops: for `span` seconds, or until `let` where `held`, with `calls` calls each; where `cores` are
    told, so many at once, and busy by what runs."""

    def __init__(
        self, span: float = 0.05, calls: int = 1, held: bool = False, cores: int = 0, cold: bool = False
    ) -> None:
        super().__init__()
        self.span, self.calls, self.held, self.cold = span, calls, held, cold
        self.cores = anyio.CapacityLimiter(cores) if cores else None
        self.heard: list[dict[str, Any]] = []
        self.notices: list[bytes] = []
        self.runs: dict[str, anyio.CancelScope] = {}
        self.begun: list[str] = []  # runs, in the order of their starts
        self.replies: dict[str, bytes] = {}
        self.let: set[str] = set()
        self.refused: set[bytes] = set()  # bodies that it begins no run with
        self.up = anyio.Event()
        self.up.set()
        self.sending = anyio.Lock()

    async def speak(self, stream: SocketStream) -> None:
        lines = BufferedByteReceiveStream(stream)
        while True:
            said = orjson.loads(await lines.receive_until(b"\n", 1 << 16))
            self.heard.append(said)
            match said["event"]:
                case "hello":
                    self.tasks.start_soon(self._greet, stream, said["cursor"])
                case "usage" if not self.up.is_set():
                    no = {"event": "reject", "fate": "usage", "handle": said["ticket"]}
                    await self._send(stream, orjson.dumps(no) + b"\n")
                case "usage":
                    used = {"event": "used", "ticket": said["ticket"], "figures": self._figures()}
                    await self._send(stream, orjson.dumps(used) + b"\n")
                case "begin" if b64decode(said["arg"]) in self.refused:
                    no = {"event": "reject", "fate": "begin", "handle": said["handle"]}
                    await self._send(stream, orjson.dumps(no) + b"\n")
                case "begin" if said["handle"] not in self.runs:
                    self.begun.append(said["handle"])
                    self.tasks.start_soon(self._run, said["handle"], b64decode(said["arg"]))
                case "answer":
                    self.replies[said["handle"]] = b64decode(said["arg"])
                case "interrupt":
                    if scope := self.runs.get(said["handle"]):
                        scope.cancel()
            self._changes()

    def _figures(self) -> list[float]:
        cores = self.cores
        return [min(1.0, len(self.runs) / cores.total_tokens) if cores else 0, len(self.runs), 0, 1]

    async def _greet(self, stream: SocketStream, cursor: int) -> None:
        await self.up.wait()
        hi = orjson.dumps({"event": "hi", "fate": "COLD" if self.cold else "WARM", "lasted": 0}) + b"\n"
        with suppress(*LOST):
            await self._send(stream, b"".join([hi, *self.notices[cursor:]]))

    async def _send(self, stream: SocketStream, data: bytes) -> None:
        async with self.sending:
            await stream.send(data)

    async def notice(self, **said: Any) -> None:
        said["cursor"] = len(self.notices) + 1
        self.notices.append(orjson.dumps(said) + b"\n")
        with suppress(*LOST):
            for stream in self.streams[-1:]:
                await self._send(stream, self.notices[-1])

    async def _run(self, id: str, body: bytes) -> None:
        began, result = time.time(), b"did " + body
        with anyio.CancelScope() as self.runs[id]:
            for call in range(self.calls):
                await self.notice(event="ask", handle=id, arg=b64encode(b"for %d " % call + body).decode())
                while id not in self.replies:
                    await self.changed.wait()
                result += b" with " + self.replies.pop(id)
            async with self.cores or nullcontext():
                await anyio.sleep(self.span)
            while self.held and id not in self.let:
                await self.changed.wait()
        stopped = self.runs.pop(id).cancelled_caught
        fate, lasted = "STOPPED" if stopped else "OK", int((time.time() - began) * 1000)
        arg = "" if stopped else b64encode(result).decode()
        await self.notice(event="complete", handle=id, fate=fate, lasted=lasted, arg=arg)

    def end(self, id: str) -> None:
        self.let.add(id)
        self._changes()


class Database(StandIn):
    """Answers calls with `word`; with none it stays silent."""

    def __init__(self, word: str | None = "ROWS") -> None:
        super().__init__()
        self.word = word
        self.heard: list[str] = []
        self.asked: list[tuple[str, SocketStream]] = []  # calls, and where each came in

    async def speak(self, stream: SocketStream) -> None:
        lines = BufferedByteReceiveStream(stream)
        while True:
            verb, id, *rest = (await lines.receive_until(b"\r\n", 1 << 10)).decode().split(" ")
            self.heard.append(f"{verb} {id}")
            self._changes()
            if verb == "Q":
                body = (await lines.receive_exactly(int(rest[1]) + 2))[:-2]
                self.asked.append((id, stream))
                self._changes()
                if self.word == "ROWS":
                    await stream.send(f"{id} ROWS {len(body) + 5}\r\n".encode() + b"rows " + body + b"\r\n")
                elif self.word:
                    await stream.send(f"{id} {self.word}\r\n".encode())


class Roster(StandIn):
    """Takes reports, or answers them with another `status`; with 0 not at all."""

    def __init__(self, status: int = 204) -> None:
        super().__init__()
        self.status = status
        self.reports: list[tuple[str, str]] = []

    async def speak(self, stream: SocketStream) -> None:
        http, target, body = h11.Connection(h11.SERVER), b"", b""
        while True:
            event = http.next_event()
            if event is h11.NEED_DATA:
                http.receive_data(await stream.receive())
            elif isinstance(event, h11.Request):
                target, body = event.target, b""
            elif isinstance(event, h11.Data):
                body += event.data
            elif isinstance(event, h11.EndOfMessage):
                self.reports.append((target.decode(), orjson.loads(body)["serving"]))
                self._changes()
                if not self.status:
                    await anyio.sleep_forever()
                head = h11.Response(status_code=self.status, headers=[])
                await stream.send((http.send(head) or b"") + (http.send(h11.EndOfMessage()) or b""))
                self._changes()
                http.start_next_cycle()
            elif isinstance(event, h11.ConnectionClosed):
                return


class Router(Watched):
    """One router connection to an app server."""

    ids = itertools.count(int.from_bytes(urandom(6)) + 1)  # new with every try, of whatever process

    def __init__(self, stream: SocketStream) -> None:
        super().__init__()
        self.stream, self.numbers = stream, itertools.count(1)
        self.unpacker = msgpack.Unpacker()
        self.answers: dict[int, Any] = {}  # by number: the error and the result
        self.notices: list[str] = []
        self.closed = False

    @classmethod
    async def connect(cls, tasks: TaskGroup, host: str, port: int) -> Router:
        router = cls(await anyio.connect_tcp(host, port))
        tasks.start_soon(router._read)
        return router

    async def _read(self) -> None:
        try:
            with suppress(*LOST):
                while True:
                    self.unpacker.feed(await self.stream.receive())
                    for frame in self.unpacker:
                        if frame[0] == 1:
                            assert frame[1] not in self.answers, "answered twice"
                            self.answers[frame[1]] = (frame[2], frame[3])
                        else:
                            self.notices.append(frame[1])
                    self._changes()
        finally:
            self.closed = True
            self._changes()
            await anyio.aclose_forcefully(self.stream)

    def frame(self, method: str, body: bytes = b"", **fields: str) -> tuple[int, bytes]:
        """A call's number and its bytes; fields replace the usual ones."""
        number = next(self.numbers)
        usual = {"ref": f"{next(self.ids):016x}", "since": f"{time.time() * 1000:.0f}", "sender": "1",
                 "project": "north", "allow": "2000", "room": "10", "class_rank": "0.5"}  # fmt: skip
        return number, msgpack.packb([0, number, method, [usual | fields, body]])

    async def ask(self, method: str, body: bytes = b"", **fields: str) -> int:
        number, data = self.frame(method, body, **fields)
        await self.stream.send(data)
        return number

    async def check(self) -> int:
        number = next(self.numbers)
        await self.stream.send(msgpack.packb([0, number, "alive", [{}]]))
        return number

    async def reset(self) -> None:
        socket = self.stream.extra(SocketAttribute.raw_socket)
        socket.setsockopt(SOL_SOCKET, SO_LINGER, struct.pack("ii", 1, 0))
        await anyio.aclose_forcefully(self.stream)

    async def cancel(self, number: int) -> None:
        await self.stream.send(msgpack.packb([2, "cancelRequest", [number]]))

    async def answer(self, number: int, within: float = 5.0) -> tuple[Any, Any]:
        await self.until(lambda: number in self.answers or self.closed, within)
        return self.answers[number]
