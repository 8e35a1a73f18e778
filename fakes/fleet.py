"""App servers as processes of their own, each with its stand-in processor, and a router that follows
announcements.

For the tests and the benchmark of `announce`: all instances announce one address to one `BgpPeer`; the
router sends each op to one of those that are announced in full, else to one that is less preferred, as of
some time ago.
"""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import tempfile
import time
from collections import deque
from itertools import count
from pathlib import Path
from typing import Any, NamedTuple

import anyio
import orjson
from anyio.abc import TaskGroup

from examples.fakes import Database, Processor, Roster, Router
from examples.toy import START
from fakes.bgp import BgpPeer
from fakes.faulty_link import held

ADDRESS = "198.51.100.7/32"
CORES, SPAN = 2, 0.1
FOLLOW = 0.1  # seconds by which the router is behind the peer's table
PATIENCE = 2.0
OPEN = 30  # ops on one connection at most: with more than 32 the server closes it, as it does to a router
CONNECT = 5.0  # seconds: one that is gone refuses at once
HOLDERS: list[Any] = []  # of ports


class Sent(NamedTuple):
    at: float
    instance: int
    router: Router | None  # None: no connection came about
    number: int


class Instance:
    """One server and its surroundings. `id` is its BGP identifier and next hop."""

    def __init__(self, number: int, folder: Path) -> None:
        self.number, self.folder, self.id = number, folder, f"192.0.2.{number + 1}"
        self.processor = Processor(SPAN, calls=0, cores=CORES)
        self.database = Database()
        self.roster = Roster()
        self.port = 0
        self.process: subprocess.Popen[bytes] | None = None
        self.router: Router | None = None
        self.asked = 0  # on that connection
        self.options: dict[str, Any] = {}
        self.contract: dict[str, Any] = {}  # of the start file, where a test needs another
        self.limits: dict[str, Any] = {}  # likewise
        self.extra = ""  # further sections of the operators' file

    async def around(self, tasks: TaskGroup) -> None:
        for one in (self.processor, self.database, self.roster):
            await tasks.start(one.run)

    def start(self, peers: list[BgpPeer]) -> None:
        told = orjson.loads(START.read_bytes())
        told |= {
            "name": f"n{self.number}", "listen": f"127.0.0.1:{self.port}", "stop_ms": 5000,
            "processor": f"127.0.0.1:{self.processor.port}", "db": f"127.0.0.1:{self.database.port}",
            "naming": f"127.0.0.1:{self.roster.port}",
        }  # fmt: skip
        told["settings"]["contract"] |= {"drain_grace_us": 2_000_000, "cold_us": 500_000} | self.contract
        told["settings"]["family_info"]["cpus"] = CORES
        told["limits"] |= self.limits
        options = {
            "as": 64512, "id": self.id, "addresses": ADDRESS, "next_hop": self.id, "settle": 0.3,
            "crowded_after": 1, "control": self.folder / f"{self.number}.sock",
        } | self.options  # fmt: skip
        lines = ["[announce]", *(f"{name} = {value}" for name, value in options.items())] if peers else []
        for at, peer in enumerate(peers):
            lines += [
                f"[announce.peer p{at}]",
                f"address = 127.0.0.1:{peer.port}",
                f"as = {peer.as_}",
                "hold = 3",
            ]
        config, orders = (self.folder / f"{self.number}.{end}" for end in ("json", "ini"))
        config.write_bytes(orjson.dumps(told))
        orders.write_text("\n".join([*lines, self.extra]) + "\n")
        command = [sys.executable, "-O", "-m", "thymeyoke", "serve", "--log-form", "json"]
        command += ["--config", str(config)]
        with open(self.folder / f"{self.number}.log", "ab") as log:
            self.process = subprocess.Popen(
                [*command, *(("--service-config", str(orders)) if peers or self.extra else ())], stderr=log
            )

    def signal(self, number: int) -> float:
        assert self.process is not None
        os.kill(self.process.pid, number)
        return time.time()

    async def gone(self, within: float = 30.0) -> int:
        assert self.process is not None
        with anyio.fail_after(within):
            while self.process.poll() is None:
                await anyio.sleep(0.01)
        return self.process.returncode

    def end(self) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    def log(self) -> str:
        return (self.folder / f"{self.number}.log").read_text()

    def said(self, what: str, since: float, **pairs: Any) -> list[float]:
        """The moments of its log lines with this text and these pairs, since one."""
        lines = [orjson.loads(line) for line in self.log().splitlines() if line.startswith("{")]
        told = {"event": what, **pairs}
        return [line["at"] for line in lines if line["at"] >= since and told.items() <= line.items()]


class Fleet:
    """`many` instances, their peer, and the router. `sent` and `paths` are what came of it."""

    def __init__(self, many: int, delay: float = 0.05, **options: Any) -> None:
        self.folder = tempfile.TemporaryDirectory()
        self.peer = BgpPeer(delay=delay)
        self.all = [Instance(number, Path(self.folder.name)) for number in range(many)]
        for one in self.all:
            one.options = options
        self.sent: list[Sent] = []
        self.paths: list[tuple[float, int]] = []  # how many the router knew, at each look
        self.known: list[tuple[int, bool]] = []
        self.turn = count()

    async def up(self, tasks: TaskGroup) -> None:
        self.tasks = tasks
        await tasks.start(self.peer.run)
        for one in self.all:
            await one.around(tasks)
            one.port = free_port()
            one.start([self.peer])
        with anyio.fail_after(60):
            while not all(self.peer.levels(one.id) == {True} for one in self.all):
                await anyio.sleep(0.05)
        tasks.start_soon(self._follow)

    def down(self) -> None:
        for one in self.all:
            one.end()
        self.folder.cleanup()

    async def _follow(self) -> None:
        """The router's table is the peer's of `FOLLOW` seconds ago."""
        seen: deque[tuple[float, list[tuple[int, bool]]]] = deque()
        while True:
            now = time.time()
            ids = {bytes(map(int, one.id.split("."))): one.number for one in self.all}
            seen.append((now, [(ids[who], full) for (who, _), full in self.peer.routes().items()]))
            while seen and seen[0][0] <= now - FOLLOW:
                self.known = seen.popleft()[1]
            if self.known or self.paths:
                self.paths.append((now, len(self.known)))
            await anyio.sleep(0.02)

    async def load(self, rate: float) -> None:
        """Ops at a steady rate, as far as each instance's connection takes them, until cancelled."""
        next_at = time.time()
        while True:
            next_at += 1 / rate
            await anyio.sleep(max(0.0, next_at - time.time()))
            best = [number for number, full in self.known if full] or [number for number, _ in self.known]
            if best:
                await self._send(self.all[best[next(self.turn) % len(best)]])

    async def _send(self, one: Instance) -> None:
        now = time.time()
        try:
            if one.router is None or one.router.closed or "leaving" in str(one.router.notices):
                with anyio.fail_after(CONNECT):
                    one.router, one.asked = await Router.connect(self.tasks, "127.0.0.1", one.port), 0
            if one.asked - len(one.router.answers) >= OPEN:
                return
            one.asked += 1
            with anyio.fail_after(CONNECT):
                number = await one.router.ask("look", b"x", allow=f"{PATIENCE * 1000:.0f}")
            self.sent.append(Sent(now, one.number, one.router, number))
        except (OSError, TimeoutError, anyio.BrokenResourceError, anyio.ClosedResourceError):
            self.sent.append(Sent(now, one.number, None, 0))

    def sent_to(self, one: Instance, after: float, before: float = float("inf")) -> list[Sent]:
        return [sent for sent in self.sent if sent.instance == one.number and after <= sent.at < before]

    def unanswered(self, sent: list[Sent]) -> list[Sent]:
        return [one for one in sent if one.router is None or one.number not in one.router.answers]

    def acked(self, sent: list[Sent]) -> int:
        return sum(
            one.router is not None and one.router.answers.get(one.number, (1,))[0] is None for one in sent
        )


def free_port() -> int:
    """One that nobody else is given while this process lives; who reuses addresses may listen there."""
    HOLDERS.append(held())
    return HOLDERS[-1].getsockname()[1]


KILL, STOP, GO_ON, TERM = signal.SIGKILL, signal.SIGSTOP, signal.SIGCONT, signal.SIGTERM
