"""Processes of the program, what stands around them, the links between them, and one timeline of all.

A `Drill` starts app servers and nodes as processes of their own, with the operators' files that it writes.
Each way out of a process that has a link is led through it (`passthrough.py`); the files tell the true
addresses. Each process has its own time limit, is signalled and ended by its id, and none is left when a
drill is over.
"""

from __future__ import annotations

import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import AsyncIterator, Callable, Iterable, Sequence
from contextlib import asynccontextmanager, suppress
from functools import reduce
from operator import getitem
from pathlib import Path
from random import Random
from typing import Any, NamedTuple

import anyio
import orjson
from anyio.abc import TaskGroup

from examples.fakes import Database, Processor, Roster, StandIn
from examples.toy import START
from fakes.bgp import BgpPeer
from fakes.faulty_link import Link, held

ROOT = Path(__file__).parent.parent
THROUGH = Path(__file__).with_name("passthrough.py")
PROGRAM = Path(os.environ.get("THYMEYOKE_DRILL_ROOT", ROOT))  # another one has a defence taken out
LIMIT = 360  # seconds that a process may live
BUSY = 3  # times as long as on a machine of its own a drill, or what it waits for, may take
# What can have links: between members; from nodes to where app servers take ops; from customers to nodes; to
# list, database, processor and peer. A link to a process that is gone takes connects, and resets them.
LINKED = ("members", "ops", "customers", "around")
LOOK, STOOD = 0.1, 0.4  # seconds: between looks at limits; from which on the machine stood still
MARGIN = 1.0  # seconds: that of seats, for lingers up to eight times that
STARVED = "drill: share of its time for which a process waited for a core: "
TOLD = 120  # lines of the timeline that a failed drill prints
OURS, PEERS = 64512, 64500  # AS numbers
KILL, STOP, GO_ON, TERM, AGAIN = (
    signal.SIGKILL, signal.SIGSTOP, signal.SIGCONT, signal.SIGTERM, signal.SIGHUP)  # fmt: skip


class Timeline:
    """What the drill did, with its moment; lines of processes come from their logs, by `at` as well."""

    def __init__(self) -> None:
        self.own: list[dict[str, Any]] = []  # as long as the drill

    def say(self, what: str, **pairs: Any) -> None:
        self.own.append({"at": time.time(), "event": what, **pairs})

    def merged(self, logs: Iterable[Process]) -> list[dict[str, Any]]:
        """All of it in one order."""
        lines = [{"who": "drill"} | line for line in self.own]
        lines += [{"who": process.name} | line for process in logs for line in process.lines()]
        return sorted(lines, key=lambda line: line["at"])


def in_text(line: dict[str, Any], begun: float) -> str:
    rest = {key: value for key, value in line.items() if key not in ("at", "who", "event", "level")}
    pairs = " ".join(f"{key}={value}" for key, value in rest.items())
    return f"{line['at'] - begun:8.3f} {line['who']:>10} {line['event']} {pairs}".rstrip()


def waited(pid: int) -> float:
    """Seconds for which a process has waited for a core so far; 0 where the system does not tell."""
    with suppress(OSError, ValueError):
        return int(Path(f"/proc/{pid}/schedstat").read_text().split()[1]) / 1e9
    return 0.0


class Spent:
    """The time since it was made, less what the machine took: what this process and `pids` waited for a core,
    and what the host had of all cores. What sleeps too long, or does too much, has spent it itself."""

    def __init__(self, *pids: int) -> None:
        self.began, self.pids = time.time(), (os.getpid(), *pids)
        self.before = self._figures()

    def _figures(self) -> list[float]:
        found = [waited(pid) for pid in self.pids]
        with suppress(OSError, ValueError, IndexError):
            found.append(int(Path("/proc/stat").read_text().split()[8]) / os.sysconf("SC_CLK_TCK"))
        return found

    def taken(self) -> float:
        """Seconds that the machine took since."""
        return sum(max(0.0, now - was) for now, was in zip(self._figures(), self.before, strict=False))

    def seconds(self, at: float | None = None) -> float:
        """Seconds spent by a moment that was just now, or by now."""
        return (time.time() if at is None else at) - self.began - self.taken()


class Process:
    """One process of the program, through all its lives. `role` is `serve` or `node`."""

    def __init__(self, name: str, folder: Path, timeline: Timeline, root: Path = ROOT) -> None:
        self.name, self.folder, self.timeline, self.root = name, folder, timeline, root
        self.process: subprocess.Popen[bytes] | None = None
        self.started_at, self.ends_at = 0.0, float("inf")
        self.ahead = 0.0  # seconds that its clock is
        self.log = folder / f"{name}.log"

    def start(self, arguments: Sequence[str], table: dict[str, int], limit: float = LIMIT) -> None:
        """`table`: the ports of links, by the IP:PORT that they stand before."""
        assert self.process is None or self.process.poll() is not None, f"{self.name} runs"
        command = [sys.executable, "-O", str(THROUGH), str(self.root), orjson.dumps(table).decode()]
        self.timeline.say("started", name=self.name)
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                [*command, str(int(limit)), str(self.ahead), *arguments],
                stdin=subprocess.DEVNULL, stdout=log, stderr=log, cwd=self.root,
            )  # fmt: skip
        self.started_at, self.ends_at = time.time(), time.monotonic() + limit

    @property
    def runs(self) -> bool:
        return self.process is not None and self.process.poll() is None

    def signal(self, number: int) -> float:
        """The moment at which it was sent."""
        assert self.process is not None and self.process.poll() is None, f"{self.name} does not run"
        self.timeline.say("signal", name=self.name, number=signal.Signals(number).name)
        os.kill(self.process.pid, number)
        return time.time()

    async def gone(self, within: float = 30.0) -> int:
        assert self.process is not None
        with anyio.fail_after(within):
            while (code := self.process.poll()) is None:
                await anyio.sleep(0.01)
        self.timeline.say("ended", name=self.name, code=code)
        return code

    def end(self) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    def lines(self) -> list[dict[str, Any]]:
        """Its log lines. What is no JSON, as a traceback, has the moment of the line before."""
        at, found = 0.0, []
        with suppress(FileNotFoundError):
            for raw in self.log.read_bytes().splitlines():
                try:
                    line = orjson.loads(raw)
                    at = line["at"] = line["at"] - self.ahead
                except (orjson.JSONDecodeError, KeyError, TypeError):
                    line = {"at": at, "event": raw.decode(errors="replace")}
                found.append(line)
        return found

    def said(self, what: str, since: float = 0.0, **pairs: Any) -> list[dict[str, Any]]:
        """Its log lines with this text and these pairs, since a moment."""
        return [
            line for line in self.lines()
            if line["event"] == what and line["at"] >= since
            and all(line.get(key) == value for key, value in pairs.items())
        ]  # fmt: skip


class Run(NamedTuple):
    at: float
    server: str
    body: bytes


class Named(Processor):
    """A processor whose results tell the app server's name, and that keeps which op it ran when."""

    def __init__(self, name: str, **given: Any) -> None:
        super().__init__(**given)
        self.name = name
        self.ran: list[Run] = []  # as long as the drill

    async def _run(self, id: str, body: bytes) -> None:
        self.ran.append(Run(time.time(), self.name, body))
        await super()._run(id, self.name.encode() + b" " + body)


class Reports(Roster):
    """A list that keeps the moments of its reports."""

    def __init__(self) -> None:
        super().__init__()
        self.moments: list[float] = []  # as long as the drill
        self.counted = 0

    def _changes(self) -> None:
        self.moments += [time.time()] * (len(self.reports) - self.counted)
        self.counted = len(self.reports)
        super()._changes()

    def last(self, name: str) -> float:
        """The moment of an app server's last report; 0 before its first."""
        rows = zip(self.reports, self.moments, strict=False)
        return max((at for (path, _), at in rows if path == f"/ns/hosts/{name}"), default=0.0)


def peak(moments: Iterable[float], span: float = 0.1) -> float:
    """The most a second, over any window of `span` seconds that begins with one of the moments."""
    every = sorted(moments)
    most = last = 0
    for first, at in enumerate(every):
        while last < len(every) and every[last] < at + span:
            last += 1
        most = max(most, last - first)
    return most / span


class AppServer(Process):
    role = "serve"

    def __init__(self, number: int, drill: Drill) -> None:
        super().__init__(f"s{number}", drill.folder, drill.timeline, drill.root)
        self.drill, self.members, self.listen = drill, drill.port(), drill.port()
        self.processor = Named(self.name, span=0.005, calls=0, cores=8)
        self.contract: dict[str, Any] = {}
        self.says = self.name  # a drill may have it say another's
        self.changes: dict[str, Any] = {}  # of its start file; `a__b` is `b` in `a`

    def files(self) -> list[str]:
        """Its start file and operators' file, written; the arguments that name them."""
        drill = self.drill
        told = orjson.loads(START.read_bytes())
        told |= {
            "name": self.says, "listen": f"127.0.0.1:{self.listen}", "stop_ms": 4000,
            "seed": f"{drill.seed:016x}", "processor": f"127.0.0.1:{self.processor.port}",
            "db": f"127.0.0.1:{drill.database.port}", "naming": f"127.0.0.1:{drill.roster.port}",
        }  # fmt: skip
        told["limits"] |= {"cores": 8.0, "sockets": 1024, "memory_mb": 512}
        settings = told["settings"]
        settings["contract"] |= {"drain_grace_us": 1_000_000, "cold_us": 200_000} | self.contract
        settings["family_info"] |= {"cpus": 8, "memory_kb": 400_000.0}
        settings["tenants"] = [
            {"name": name, "share": 1 / len(drill.tenants), "quota_per_s": 1000.0} for name in drill.tenants
        ]
        for row in settings["request_classes"]:
            if "memory_span_us" in row:
                row["memory_span_us"] = int(drill.window * 1e6)
        for path, value in self.changes.items():
            *outer, last = path.split("__")
            reduce(getitem, outer, told)[last] = value
        config, orders = (self.folder / f"{self.name}.{end}" for end in ("json", "ini"))
        config.write_bytes(orjson.dumps(told))
        if not drill.operators_file:
            return ["--config", str(config)]
        orders.write_text("\n".join(drill.members_lines(self)) + "\n")
        return ["--config", str(config), "--service-config", str(orders)]


class Node(Process):
    role = "node"

    def __init__(self, number: int, drill: Drill) -> None:
        super().__init__(f"node-{number}", drill.folder, drill.timeline, drill.root)
        self.drill, self.number, self.members = drill, number, drill.port()
        self.id = f"192.0.2.{number}"
        self.services = {tenant: drill.port(drill.address(tenant)) for tenant in drill.tenants}
        self.standby: set[str] = set()  # of its tenants, those that it holds once a move brings them
        self.control = self.folder / f"{self.name}.sock"
        self.options: dict[str, Any] = {}  # of [node]
        self.says = self.name

    def files(self) -> list[str]:
        drill = self.drill
        given = {"name": self.says, "connections": 4096, "linger": drill.linger, "control": self.control}
        lines = [*drill.members_lines(self), *section("node", given | self.options)]
        for tenant, port in self.services.items():
            service: dict[str, Any] = {"address": f"{drill.address(tenant)}:{port}"}
            lines += section(f"node.service {tenant}", service | (
                {"standby": "true"} if tenant in self.standby else {}))  # fmt: skip
        if drill.moves:
            lines += section("moves", drill.moves)
        if drill.peer:
            lines += section("announce", {
                "as": OURS, "id": self.id, "next_hop": self.id, "settle": 0.5,
                "addresses": ", ".join(f"{drill.address(tenant)}/32" for tenant in drill.tenants),
                "control": self.folder / f"{self.name}-announce.sock",
            })  # fmt: skip
            lines += section("announce.peer p", {
                "address": f"127.0.0.1:{drill.peer.port}", "as": PEERS, "hold": 3})  # fmt: skip
        orders = self.folder / f"{self.name}.ini"
        orders.write_text("\n".join(lines) + "\n")
        return ["--service-config", str(orders)]

    async def shown(self) -> dict[str, Any]:
        """What its control socket tells."""
        found = b""
        with anyio.fail_after(15.0):
            async with await anyio.connect_unix(self.control) as stream:
                with suppress(anyio.EndOfStream):
                    while True:
                        found += await stream.receive()
        return orjson.loads(found)


def section(name: str, options: dict[str, Any]) -> list[str]:
    return [f"[{name}]", *(f"{option} = {value}" for option, value in options.items())]


class Drill:
    """App servers s1, s2, ... and nodes node-1, node-2, ..., those that come `later` among them: each has its
    addresses from the start. `linger` is that of the nodes' seats, `window` that of keyed ops; `ahead`:
    seconds that processes' clocks are; `linked`: kinds of ways that have links (LINKED), the others are as
    they are; `root`: where the program is; without an `operators_file` app servers have none, as the platform
    runs them."""

    def __init__(
        self, seed: int, servers: int = 3, nodes: int = 2, tenants: Sequence[str] = ("north",),
        linger: float = 1.2, window: float = 1.0, period: float = 0.3, later: Iterable[str] = (),
        moves: dict[str, Any] | None = None, announce: bool = False, ahead: dict[str, float] | None = None,
        linked: Iterable[str] = ("members",), root: Path = PROGRAM, operators_file: bool = True,
    ) -> None:  # fmt: skip
        self.seed, self.rng, self.root, self.operators_file = seed, Random(seed), root, operators_file
        self.tenants, self.linger, self.window, self.period = tuple(tenants), linger, window, period
        self.moves, self.later, self.linked = moves, frozenset(later), frozenset(linked)
        assert self.linked <= set(LINKED), linked
        self.folder = Path(tempfile.mkdtemp(prefix="thymeyoke-drill-"))
        self.timeline, self.begun = Timeline(), time.time()
        self.holders: list[socket.socket] = []
        self.stood: list[tuple[float, float]] = []  # from when until when this process did not get its turn
        self.waited: dict[int, float] = {}  # seconds for which each process waited for a core, by its id
        self.database, self.roster = Database(), Reports()
        self.peer = BgpPeer(PEERS, OURS) if announce else None
        self.servers = [AppServer(number + 1, self) for number in range(servers)]
        self.nodes = [Node(number + 1, self) for number in range(nodes)]
        self.all: dict[str, AppServer | Node] = {one.name: one for one in (*self.servers, *self.nodes)}
        for name, seconds in (ahead or {}).items():
            self.all[name].ahead = seconds
        self.links: dict[tuple[str, str], Link] = {}
        self.tasks: TaskGroup

    def __getitem__(self, name: str) -> Any:
        return self.all[name]

    # Addresses.

    def port(self, host: str = "127.0.0.1") -> int:
        """One that stays this drill's until it is over."""
        self.holders.append(held(host))
        return self.holders[-1].getsockname()[1]

    def address(self, tenant: str) -> str:
        """A tenant's service address: one at all nodes, which have ports of their own on one machine."""
        return f"127.77.0.{self.tenants.index(tenant) + 1}"

    def members_lines(self, one: AppServer | Node) -> list[str]:
        others = [f"127.0.0.1:{other.members}" for other in self.all.values() if other is not one]
        given = {"address": f"127.0.0.1:{one.members}", "period": self.period, "fleet": "drill"}
        return section("members", given | {"others": ", ".join(others)} if others else given)

    def step(self, what: str) -> None:
        """A line of the timeline: where the drill stands."""
        self.timeline.say("step", step=what)

    # Links: by who connects, and what is connected to.

    def _ways(self, who: str) -> dict[str, tuple[str, tuple[str, int]]]:
        """All ways out of a process, or of `customers`: the name of each, its kind, and where it leads."""
        here, one = "127.0.0.1", self.all.get(who)
        if one is None:
            return {f"{node.name} {tenant}": ("customers", (self.address(tenant), port))
                    for node in self.nodes for tenant, port in node.services.items()}  # fmt: skip
        ways = {other.name: ("members", (here, other.members))
                for other in self.all.values() if other is not one}  # fmt: skip
        around: dict[str, StandIn] = {"peer": self.peer} if self.peer else {}
        if isinstance(one, Node):
            ways |= {f"{server.name} ops": ("ops", (here, server.listen)) for server in self.servers}
        else:
            around = {"list": self.roster, "database": self.database, "processor": one.processor}
        return ways | {name: ("around", (here, stand_in.port)) for name, stand_in in around.items()}

    async def _lay(self) -> None:
        for who in (*self.all, "customers"):
            for to, (kind, target) in self._ways(who).items():
                if kind in self.linked:
                    link = Link(target, f"{who} > {to}", self.timeline.say, kind == "customers")
                    self.links[who, to] = link
                    await self.tasks.start(link.run)

    def between(self, some: Iterable[str], others: Iterable[str]) -> list[Link]:
        """All links from any of some to any of the others, and back."""
        here, there = set(some), {to.partition(" ")[0] for to in others}
        return [
            link for (who, to), link in self.links.items()
            if (who in here and to.partition(" ")[0] in there)
            or (who in there and to.partition(" ")[0] in here)
        ]  # fmt: skip

    def put(self, links: Iterable[Link], what: str, amount: float | None = None) -> None:
        for link in links:
            link.put(what, amount)

    def heal(self) -> None:
        for link in self.links.values():
            link.heal()

    # Processes.

    def start(self, name: str, limit: float = LIMIT) -> None:
        one = self.all[name]
        table = {
            f"{host}:{port}": self.links[name, to].port
            for to, (_, (host, port)) in self._ways(name).items() if (name, to) in self.links
        }  # fmt: skip
        one.start([one.role, *one.files(), "--log-form", "json"], table, limit)

    async def up(self) -> None:
        """What stands around, all links, and all processes but those that come later."""
        for one in (self.database, self.roster, *([self.peer] if self.peer else [])):
            await self.tasks.start(one.run)
        for server in self.servers:
            await self.tasks.start(server.processor.run)
        await self._lay()
        self.tasks.start_soon(self._limits)
        for name in self.all:
            if name not in self.later:
                self.start(name)
        await self.listening(*(name for name in self.all if name not in self.later))

    async def ripe(self, *names: str) -> None:
        """Until these app servers, or all that run, take customers at every node: it has served for a linger
        and a margin by its own word, and the nodes have had a margin to agree."""
        for one in self.servers:
            if one.name in names or (not names and one.runs):
                await self.until(lambda one=one: one.said("processor_ready", one.started_at), 20.0, "not up")
        await anyio.sleep(self.linger + 2 * MARGIN)

    async def listening(self, *names: str) -> None:
        """Until these take connections: app servers for ops, nodes at all services that they hold."""
        for name in names:
            one = self.all[name]
            ports = [one.listen] if isinstance(one, AppServer) else list(one.services.values())
            hosts = ["127.0.0.1"] if isinstance(one, AppServer) else [self.address(at) for at in one.services]
            for host, port in zip(hosts, ports, strict=True):
                await self.until(lambda one=one, at=(host, port): self._taken(one, at), 20.0)

    def _taken(self, one: Process, where: tuple[str, int]) -> bool:
        """Whether somebody listens there, without a connect: a customer would take a seat."""
        assert one.runs, f"{one.name} ended"
        host = ".".join(reversed(where[0].split(".")))
        wanted = "".join(f"{int(part):02X}" for part in host.split(".")) + f":{where[1]:04X}"
        rows = Path("/proc/net/tcp").read_text().splitlines()[1:]
        return any(row.split()[1] == wanted and row.split()[3] == "0A" for row in rows)

    async def until(self, true: Callable[[], Any], within: float = 15.0, why: str = "") -> Any:
        begun = time.monotonic()
        while not (found := true()):
            assert time.monotonic() < begun + BUSY * within, why or f"not within {within:g} s"
            await anyio.sleep(0.02)
        return found

    async def _limits(self) -> None:
        while True:
            began = time.monotonic()
            await anyio.sleep(LOOK)
            if (late := time.monotonic() - began - LOOK) > STOOD:
                self.stood.append((time.time() - late, time.time()))
                self.timeline.say("machine stood still", late=late)
            for one in self.all.values():
                if one.process is not None and one.runs:
                    self.waited[one.process.pid] = waited(one.process.pid)
                if one.runs and time.monotonic() > one.ends_at:
                    self.timeline.say("time limit", name=one.name)
                    one.end()

    def stood_still(self, since: float, until: float) -> bool:
        """Whether the machine did, in that time: what is late then is nobody's fault."""
        return any(since <= end and began <= until for began, end in self.stood)

    # Routes, as the peer has them.

    def routes(self, tenant: str) -> dict[str, bool]:
        """Nodes that announce the tenant's address, and whether in full."""
        assert self.peer is not None
        ids = {bytes(map(int, one.id.split("."))): one.name for one in self.nodes}
        wanted = bytes(map(int, self.address(tenant).split(".")))
        return {ids[who]: full for (who, nlri), full in self.peer.routes().items() if nlri.address == wanted}

    # The end.

    def tell(self) -> None:
        """For a failed drill: the seed, and the last lines of all in one order."""
        lines = self.timeline.merged(self.all.values())
        text = [in_text(line, self.begun) for line in lines[-TOLD:]]
        print(f"\ndrill: seed {self.seed}, {len(lines)} lines, the last {len(text)}:", file=sys.stderr)
        print("\n".join(text), file=sys.stderr, flush=True)

    def starved(self) -> float:
        """The share of the drill's time for which a process waited for a core, the mean of those that waited
        longest: as many as there were at once."""
        most = sorted(self.waited.values())[-len(self.all) :]
        return sum(most) / len(most) / (time.time() - self.begun) if most else 0.0

    def down(self) -> None:
        for one in self.all.values():
            one.end()
        for holder in self.holders:
            holder.close()
        shutil.rmtree(self.folder, ignore_errors=True)


@asynccontextmanager
async def drill(seed: int, limit: float = 60.0, **shape: Any) -> AsyncIterator[Drill]:
    """A drill that is over within `limit` seconds, or on a busy machine BUSY times that, whatever happens in
    it. One that fails tells its timeline."""
    made = Drill(seed, **shape)
    try:
        with anyio.fail_after(BUSY * limit):
            async with anyio.create_task_group() as made.tasks:
                yield made
                made.tasks.cancel_scope.cancel()
    except BaseException as error:
        made.tell()
        failed = first(error)
        failed.add_note(f"{STARVED}{made.starved():.2f}")
        raise failed from None
    finally:
        made.down()


def first(error: BaseException) -> BaseException:
    """What failed, out of the groups that it came in."""
    while isinstance(error, BaseExceptionGroup):
        found = [one for one in error.exceptions if isinstance(one, AssertionError)]
        error = (found or error.exceptions)[0]
    return error


class Change(NamedTuple):
    """One place in the program's text: a defence taken out. `old` stands there exactly once."""

    file: str
    old: str
    new: str


@asynccontextmanager
async def changed(*changes: Change) -> AsyncIterator[Path]:
    """A copy of the program with these changes: the root of a drill that is to fail."""
    with tempfile.TemporaryDirectory(prefix="thymeyoke-changed-") as folder:
        root = Path(folder)
        shutil.copytree(ROOT / "thymeyoke", root / "thymeyoke", ignore=shutil.ignore_patterns("__pycache__"))
        for file, old, new in changes:
            text = (root / file).read_text()
            assert text.count(old) == 1, f"{file} has {text.count(old)} times {old!r}"
            (root / file).write_text(text.replace(old, new))
        yield root
