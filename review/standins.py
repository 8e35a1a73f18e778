"""Stand-ins of the platform for the review's tests: processor, database, name service and routers.

They follow `PROTOCOL.md` and `WIRE-thymeyoke.md` of the operators' pages, on loopback addresses and free
ports. Everything that matters for a verdict is written to a `Record`.
"""

from __future__ import annotations

import asyncio
import itertools
import json
import os
import random
import signal
import socket
import struct
import subprocess
import tempfile
import time
import tomllib
from base64 import b64decode, b64encode
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgpack

ROOT = Path(__file__).resolve().parent.parent
READY_SECONDS = 30.0  # a server has to be ready by then


class Record:
    """The lines of `record.txt`, each with the seconds since the start."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("w", encoding="utf-8")
        self.began = time.time()

    def write(self, what: str, **fields: Any) -> None:
        """Write one line."""
        pairs = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{time.time() - self.began:9.4f} {what} {pairs}\n")
        self.file.flush()

    def close(self) -> None:
        """Close the file."""
        self.file.close()


def free_port() -> int:
    """Return a port of the loopback address that nobody listens on."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


def abort(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a reset."""
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class Run:
    """One run at the processor."""

    def __init__(self, ref: str, kind: str, body: bytes) -> None:
        self.ref, self.kind, self.body = ref, kind, body
        self.call: bytes | None = None  # body of the call that it waits for
        self.reply: asyncio.Future[bytes] | None = None
        self.replies: list[tuple[bytes, bytes]] = []  # call and the reply that the run was given
        self.result: bytes | None = None
        self.task: asyncio.Task[None] | None = None
        self.is_over = False
        self.fate = ""
        self.began_at = time.time()
        self.ended_at = 0.0


class Processor:
    """Runs requests, as the page's section on the processor has it.

    `calls` and `segments` give, for each class, how many calls a run makes and how long it computes before,
    between and after them. A command for a request that never came to the app server is rejected, a `begin`
    for one that is over (answered, or given up) is answered with MOOT, one for a request that runs does
    nothing, and an answer to a run that waits for no call has no effect. No results are kept: a `begin` for a
    request that is not over runs it, though it may have run before.

    Commands are carried out in order, `reads_after` seconds after they came; a break of the link loses those
    that are left. What the processor says reaches the link in pieces, up to `pieces` seconds apart.
    """

    def __init__(
        self, record: Record, calls: dict[str, tuple[int, int]], segment: tuple[float, float], seed: int,
        reads_after: float = 0.0, pieces: float = 0.0,
    ) -> None:  # fmt: skip
        self.record, self.calls, self.segment, self.reads_after = record, calls, segment, reads_after
        self.pieces, self.piece = pieces, bytearray()
        self.random = random.Random(seed)
        self.port = 0
        self.started_at = time.time()
        self.notices: list[bytes] = []
        self.runs: dict[str, Run] = {}  # the last run of each request
        self.all_runs: list[Run] = []
        self.known: dict[str, tuple[str, bytes]] = {}  # requests that were written to the app server
        self.over: set[str] = set()  # requests that are answered or given up
        self.writer: asyncio.StreamWriter | None = None
        self.links = self.breaks = 0
        self.server: asyncio.Server | None = None

    async def start(self, port: int = 0) -> None:
        """Listen on a port."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        self.port = self.server.sockets[0].getsockname()[1]

    def break_link(self) -> None:
        """Break the link with a reset."""
        if self.writer is None:
            return
        self.breaks += 1
        self.record.write("link_broken", number=self.links)
        writer, self.writer = self.writer, None
        abort(writer)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            while line := await reader.readline():
                said = json.loads(line)
                if said["event"] == "hello":
                    if self.writer is not None:
                        self.writer.transport.abort()
                    self.writer = writer
                    self.piece.clear()
                    self.links += 1
                    self.record.write("link", number=self.links, cursor=said["cursor"])
                    lasted = int((time.time() - self.started_at) * 1000)
                    self._write({"event": "hi", "fate": "WARM", "lasted": lasted})
                    for notice in self.notices[said["cursor"] :]:
                        self._put(notice)
                elif self.writer is not writer:
                    return
                elif self.reads_after:
                    asyncio.get_running_loop().call_later(self.reads_after, self._late, writer, said)
                else:
                    self._command(said)
        except (ConnectionError, ValueError):
            pass
        finally:
            if self.writer is writer:
                self.writer = None
            writer.transport.abort()

    def _late(self, writer: asyncio.StreamWriter, said: dict[str, Any]) -> None:
        if self.writer is writer:
            self._command(said)
        else:
            self.record.write("command_lost", event=said["event"], ref=said.get("handle"))

    def _write(self, message: dict[str, Any]) -> None:
        self._put(json.dumps(message).encode() + b"\n")

    def _notice(self, **fields: Any) -> None:
        fields["cursor"] = len(self.notices) + 1
        self.notices.append(json.dumps(fields).encode() + b"\n")
        self._put(self.notices[-1])

    def _put(self, line: bytes) -> None:
        if self.writer is None:
            return
        if not self.pieces:
            self.writer.write(line)
            return
        if not self.piece:
            pause = self.random.uniform(0.0, self.pieces)
            asyncio.get_running_loop().call_later(pause, self._put_piece, self.writer, self.links)
        self.piece += line

    def _put_piece(self, writer: asyncio.StreamWriter, link: int) -> None:
        if link == self.links and writer is self.writer:
            self.record.write("piece", octets=len(self.piece))
            writer.write(bytes(self.piece))
            self.piece.clear()

    def _command(self, said: dict[str, Any]) -> None:
        match said["event"]:
            case "usage":
                running = sum(not run.is_over and run.call is None for run in self.runs.values())
                figures = [min(1.0, running / 6), running, 0.1, 8]
                self._write({"event": "used", "ticket": said["ticket"], "figures": figures})
            case "begin":
                self._begin(said["handle"], said["entry"], b64decode(said["arg"]))
            case "answer":
                self._answer(said["handle"], b64decode(said["arg"]))
            case "interrupt":
                run = self.runs.get(said["handle"])
                if run and not run.is_over and run.task and said["handle"] in self.over:
                    run.task.cancel()
            case "goon" | "without":
                pass

    def _begin(self, ref: str, kind: str, body: bytes) -> None:
        if self.known.get(ref) != (kind, body):
            self.record.write("begin_rejected", ref=ref)
            self._write({"event": "reject", "fate": "begin", "handle": ref})
            return
        run = self.runs.get(ref)
        if run and not run.is_over:
            self.record.write("begin_again", ref=ref, run="is running")
            return
        if ref in self.over:
            self.record.write("begin_moot", ref=ref)
            self._notice(event="complete", handle=ref, fate="MOOT", lasted=0, arg="")
            return
        self.record.write("run", ref=ref, kind=kind, ran_before=int(run is not None))
        self.runs[ref] = run = Run(ref, kind, body)
        self.all_runs.append(run)
        run.task = asyncio.create_task(self._run(run))

    def _answer(self, ref: str, reply: bytes) -> None:
        run = self.runs.get(ref)
        if run is None:
            self._write({"event": "reject", "fate": "answer", "handle": ref})
        elif run.call is None or run.reply is None or run.reply.done():
            self.record.write("answer_ignored", ref=ref, reply=reply.decode())
        else:
            self.record.write("answer", ref=ref, call=run.call.decode(), reply=reply.decode())
            run.replies.append((run.call, reply))
            run.call = None
            run.reply.set_result(reply)

    async def _run(self, run: Run) -> None:
        began, fate = time.time(), "OK"
        try:
            for number in range(self.random.randint(*self.calls[run.kind])):
                await asyncio.sleep(self.random.uniform(*self.segment))
                if run.ref in self.over:
                    raise asyncio.CancelledError
                run.call, run.reply = f"{run.ref}:{number}".encode(), asyncio.Future()
                self._notice(event="ask", handle=run.ref, arg=b64encode(run.call).decode())
                while not run.reply.done():
                    await asyncio.wait([run.reply], timeout=0.05)
                    if run.ref in self.over and not run.reply.done():
                        raise asyncio.CancelledError
            await asyncio.sleep(self.random.uniform(*self.segment))
            run.result = b"|".join([b"did " + run.body, *(reply for _, reply in run.replies)])
        except asyncio.CancelledError:
            fate = "STOPPED"
        run.is_over, run.call, run.fate, run.ended_at = True, None, fate, time.time()
        lasted = int((time.time() - began) * 1000)
        arg = b64encode(run.result).decode() if run.result is not None else ""
        self.record.write("run_over", ref=run.ref, fate=fate)
        self._notice(event="complete", handle=run.ref, fate=fate, lasted=lasted, arg=arg)


class Database:
    """Answers each call with rows that name the call and carry a number of their own."""

    def __init__(self, record: Record, took: tuple[float, float], seed: int) -> None:
        self.record, self.took, self.random = record, took, random.Random(seed)
        self.port = 0
        self.numbers = itertools.count(1)
        self.replies: dict[bytes, list[bytes]] = {}  # by call
        self.server: asyncio.Server | None = None
        self.tasks: set[asyncio.Task[None]] = set()

    async def start(self, port: int = 0) -> None:
        """Listen on a port."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        self.port = self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        given_up: set[str] = set()
        try:
            while head := await reader.readline():
                verb, ref, *rest = head.decode().split()
                if verb == "X":
                    given_up.add(ref)
                    continue
                body = (await reader.readexactly(int(rest[1]) + 2))[:-2]
                self.record.write("call", ref=ref, body=body.decode())
                task = asyncio.create_task(self._reply(writer, ref, body, given_up))
                self.tasks.add(task)
                task.add_done_callback(self.tasks.discard)
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.transport.abort()

    async def _reply(self, writer: asyncio.StreamWriter, ref: str, body: bytes, given_up: set[str]) -> None:
        await asyncio.sleep(self.random.uniform(*self.took))
        reply = b"rows %d for " % next(self.numbers) + body
        self.replies.setdefault(body, []).append(reply)
        if ref not in given_up and not writer.transport.is_closing():
            self.record.write("call_answered", ref=ref, reply=reply.decode())
            writer.write(f"{ref} ROWS {len(reply)}\r\n".encode() + reply + b"\r\n")


class NameService:
    """Takes reports; `reports` counts those of each app server."""

    def __init__(self) -> None:
        self.port = 0
        self.reports: dict[str, int] = {}
        self.server: asyncio.Server | None = None

    async def start(self, port: int = 0) -> None:
        """Listen on a port."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        self.port = self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while head := await reader.readuntil(b"\r\n\r\n"):
                first, *lines = head.decode().split("\r\n")
                fields = {
                    name.lower(): text.strip() for name, _, text in (one.partition(":") for one in lines)
                }
                await reader.readexactly(int(fields.get("content-length", "0")))
                name = first.split()[1].rsplit("/", 1)[-1]
                self.reports[name] = self.reports.get(name, 0) + 1
                writer.write(b"HTTP/1.1 204 No Content\r\n\r\n")
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.transport.abort()


class Try:
    """One try of a request, as its router sees it."""

    def __init__(self, ref: str, kind: str, body: bytes, key: str | None, allow: int) -> None:
        self.ref, self.kind, self.body, self.key, self.allow = ref, kind, body, key, allow
        self.written_at = 0.0
        self.answers: list[tuple[float, str, bytes]] = []  # time, kind of answer, result
        self.is_given_up = self.is_broken = False  # taken back; its connection was lost
        self.done = asyncio.Event()


class Router:
    """One connection of a router to an app server, opened when needed."""

    ids = itertools.count(int.from_bytes(os.urandom(6)) + 1)

    def __init__(self, record: Record, processor: Processor | None, port: int, number: int) -> None:
        self.record, self.processor, self.port, self.number = record, processor, port, number
        self.writer: asyncio.StreamWriter | None = None
        self.open: dict[int, Try] = {}
        self.numbers = itertools.count(1)
        self.is_leaving = False
        self.task: asyncio.Task[None] | None = None
        self.closed = asyncio.Event()

    async def connect(self) -> None:
        """Open the connection."""
        reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port)
        self.writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.task = asyncio.create_task(self._read(reader))

    def send(self, one: Try, tenant: str, room: float = 12.0) -> int:
        """Write a try; returns its number on the connection."""
        assert self.writer is not None
        number, now = next(self.numbers), time.time()
        fields = {
            "ref": one.ref, "since": f"{int(now * 1000)}", "sender": str(self.number), "project": tenant,
            "allow": str(one.allow), "room": f"{room}", "class_rank": "0.5000",
        }  # fmt: skip
        if one.key is not None:
            fields["replay"] = one.key
        one.written_at = now
        self.open[number] = one
        if self.processor is not None:
            self.processor.known[one.ref] = (one.kind, one.body)
        self.record.write(
            "sent", router=self.number, ref=one.ref, kind=one.kind, key=one.key, allow=one.allow
        )
        self.writer.write(msgpack.packb([0, number, one.kind, [fields, one.body]]))
        return number

    def give_up(self, number: int) -> None:
        """Take a request back."""
        one = self.open.get(number)
        if one is None or self.writer is None or one.answers:
            return
        one.is_given_up = True
        self._over(one)
        self.record.write("given_up", ref=one.ref)
        self.writer.write(msgpack.packb([2, "cancelRequest", [number]]))

    def _over(self, one: Try) -> None:
        if self.processor is not None:
            self.processor.over.add(one.ref)

    async def _read(self, reader: asyncio.StreamReader) -> None:
        unpacker = msgpack.Unpacker()
        try:
            while data := await reader.read(1 << 16):
                unpacker.feed(data)
                for frame in unpacker:
                    self._frame(frame)
        except ConnectionError:
            pass
        for one in self.open.values():
            if not one.answers:
                one.is_broken = True
                self.record.write("connection_lost", router=self.number, ref=one.ref)
                self._over(one)
                one.done.set()
        self.closed.set()

    def _frame(self, frame: list[Any]) -> None:
        if frame[0] == 2:
            self.is_leaving = self.is_leaving or frame[1] == "leaving"
            return
        one = self.open.get(frame[1])
        if one is None:
            self.record.write("answer_without_request", router=self.number, number=frame[1])
            return
        error, result = frame[2], frame[3]
        kind = "served" if error is None else "refused" if error[0] == "Shed" else "failed"
        body = result[0] if error is None else b""
        one.answers.append((time.time(), kind, body))
        self.record.write("answered", ref=one.ref, how=kind, result=body.decode())
        self._over(one)
        one.done.set()

    def close(self) -> None:
        """Close the connection."""
        if self.writer is not None:
            self.writer.close()

    def reset(self) -> None:
        """Reset the connection."""
        if self.writer is not None and not self.writer.transport.is_closing():
            abort(self.writer)


def new_try(kind: str, key: str | None, body: bytes | None, allow: int) -> Try:
    """Return a try with a new id."""
    ref = f"{next(Router.ids):016x}"
    return Try(ref, kind, body if body is not None else f"body of {ref}".encode(), key, allow)


class AppServer:
    """One app server, started with the deploy file's `run`."""

    def __init__(
        self, folder: Path, name: str, settings: dict[str, Any], environment: dict[str, str]
    ) -> None:
        self.name, self.folder = name, folder
        self.port = free_port()
        self.config = folder / f"{name}.json"
        self.document = {
            "name": name, "listen": f"127.0.0.1:{self.port}", "seed": os.urandom(8).hex(),
            "stop_ms": 3200, "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512}, "settings": settings,
        }  # fmt: skip
        self.environment = environment
        self.process: subprocess.Popen[bytes] | None = None
        self.starts = 0

    def start(self, processor: int, database: int, names: int) -> None:
        """Start the program; the ports are those of the stand-ins around it."""
        self.write_config(processor, database, names)
        command = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        scratch = self.folder / f"{self.name}.tmp"
        scratch.mkdir(exist_ok=True)
        self.starts += 1
        environment = {
            **os.environ, "ROUTER_NAME": self.name, "ROUTER_LISTEN": self.document["listen"],
            "ROUTER_CONFIG": str(self.config), "TMPDIR": str(scratch), **self.environment,
        }  # fmt: skip
        with (self.folder / f"{self.name}.{self.starts}.log").open("wb") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", command], cwd=ROOT, env=environment, stdout=log, stderr=log,
                stdin=subprocess.DEVNULL, start_new_session=True,
            )  # fmt: skip

    def write_config(self, processor: int, database: int, names: int) -> None:
        """Replace the start file."""
        addresses = {"processor": processor, "db": database, "naming": names}
        given = self.document | {name: f"127.0.0.1:{port}" for name, port in addresses.items()}
        new = self.config.with_suffix(".new")
        new.write_text(json.dumps(given))
        new.replace(self.config)

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def log(self) -> str:
        """The program's log, of all starts."""
        return "".join(
            (self.folder / f"{self.name}.{number}.log").read_text(errors="replace")
            for number in range(1, self.starts + 1)
        )

    async def end(self) -> int | None:
        """End the process and return its exit code."""
        if self.process is None:
            return None
        self.signal(signal.SIGTERM)
        try:
            await until(lambda: self.process is not None and self.process.poll() is not None, 6.0)
        except TimeoutError:
            self.signal(signal.SIGKILL)
        return await asyncio.to_thread(self.process.wait)


async def until(holds: Callable[[], Any], within: float, pause: float = 0.01) -> Any:
    """Wait until something holds; raises TimeoutError."""
    ends_at = time.time() + within
    while not (found := holds()):
        if time.time() > ends_at:
            raise TimeoutError("nothing came of it")
        await asyncio.sleep(pause)
    return found


async def ready(port: int, within: float = READY_SECONDS) -> None:
    """Wait until an app server answers a health check with true."""
    ends_at = time.time() + within
    while time.time() < ends_at:
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(msgpack.packb([0, 1, "alive", [{}]]))
            data = await asyncio.wait_for(reader.read(1 << 12), 1.0)
            writer.close()
            if data and msgpack.unpackb(data)[3][0] is True:
                return
        except (OSError, TimeoutError):
            pass
        await asyncio.sleep(0.05)
    raise TimeoutError("the app server is not ready")


def end_on_sigterm() -> None:
    """On SIGTERM, end the test as one that could not run, with all that it started."""

    def end(*_: object) -> None:
        raise SystemExit(2)

    signal.signal(signal.SIGTERM, end)


def temporary_folder() -> tempfile.TemporaryDirectory[str]:
    """Return a new folder for the files of a test."""
    return tempfile.TemporaryDirectory(prefix="thymeyoke-review-")


def suva_settings(share: float = 1 / 6) -> dict[str, Any]:
    """Settings like those of suva-bookings, with all times of the requests scaled by `share`."""

    def us(milliseconds: float) -> int:
        return int(milliseconds * 1000 * share)

    return {
        "request_classes": [
            {"name": "slot-check", "aim_us": us(2900), "deadline_us": us(9800), "effect": "retryable",
             "late_worth": 0.2, "memory_span_us": us(5000), "worth": 1.0},
            {"name": "slot-book", "aim_us": us(2400), "deadline_us": us(5900), "effect": "dedup",
             "late_worth": 0.0, "memory_span_us": us(17562), "worth": 1.0},
        ],
        "tenants": [
            {"name": "own-retail", "quota_per_s": 53.0, "share": 0.44},
            {"name": "coral-net", "quota_per_s": 17.0, "share": 0.14},
            {"name": "bula-homes", "quota_per_s": 17.0, "share": 0.14},
            {"name": "reef-isp", "quota_per_s": 17.0, "share": 0.14},
            {"name": "taveuni-link", "quota_per_s": 17.0, "share": 0.14},
        ],
        "family_info": {
            "below": "one_for_all", "callers": 3, "calls_over_us": 5000000, "class_calls": [True, True],
            "cold": False, "cpus": 6, "deep_checks": False, "fair_calls": 40.0, "fresh_for_us": 0,
            "gauges": ["cpu_busy", "runnable", "mem_used", "sockets"], "halt": "freeze",
            "heeded_us": 1000000, "idle_us": 30000000, "kb_per_key": 6.01, "linger_us": 200000,
            "list_follows": False, "memory_kb": 6078.0, "passes_deadline": True, "run_factor": 4.0,
            "signal": "floor", "tells_gone": True, "worth_without": [0.0, 0.0],
        },
        "contract": {"answer_slack_us": 100000, "cold_share": 0.22, "cold_us": 18000000,
                     "drain_grace_us": 2000000, "fall_multiple": 8.0, "fall_us": 1500000},
        "caps": {"max_retry_after_us": 1000000, "retry_after": True},
        "clients": {"marks_retry": False},
        "tick_us": 4000,
    }  # fmt: skip
