"""What a node costs beside a direct connection. `python -m benchmarks.proxy`: one table, or JSON lines with
`--json`.

A stand-in for an app server takes what it is sent and says it back; customers reach it directly and through a
node, a process as in service (`-O`), by turns in one run. Times are this machine's, so quote the ratios.
"""

from __future__ import annotations

import asyncio
import logging
import multiprocessing
import os
import resource
import signal
import socket
import statistics
import subprocess
import sys
import tempfile
import time
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from typing import Any

import anyio
import click

from benchmarks import show
from benchmarks.bgp import cpu, rss
from fakes.fleet import free_port
from thymeyoke.configuration.service_config import HostPort
from thymeyoke.membership.configuration import Members
from thymeyoke.membership.service import MembershipService, incarnation
from thymeyoke.membership.view import Snapshot, State
from thymeyoke.runtime import logs

TURNS = 5
BULK = 1 << 27  # octets of one transfer
PIECE = 1 << 16
CONNECTS, AT_ONCE = 1984, 64  # of one turn; and how many of them at a time
WORDS = 2000  # of one connection, one after the other
HELD = 1000
FLOOD = 6.0  # seconds
CONNECTIONS = 4096


def echo(port: int, far: int) -> None:
    """A process: says back what it hears on `port`; takes without a word on the next one; is a member."""
    resource.setrlimit(resource.RLIMIT_NOFILE, (20000, resource.getrlimit(resource.RLIMIT_NOFILE)[1]))
    logs.logger.addHandler(logging.NullHandler())
    told = Members(HostPort.parse(f"127.0.0.1:{far}"), period=0.2)

    class Echo(asyncio.Protocol):
        def connection_made(self, transport: Any) -> None:
            self.transport, self.bulk = transport, b""

        def data_received(self, data: bytes) -> None:
            if not self.bulk:
                self.bulk = data[:1]
            if self.bulk == b"b":  # a bulk: its end is answered
                if data.endswith(b"e"):
                    self.transport.write(b"!")
            else:
                self.transport.write(data)

    async def run() -> None:
        loop = asyncio.get_running_loop()
        await loop.create_server(Echo, "127.0.0.1", port, backlog=4096)
        own = Snapshot("echo", False, incarnation(), 0, State.SERVING, str(told.address), f"127.0.0.1:{port}")
        await MembershipService(told, own, 7).run()

    anyio.run(run)


class Through:
    """A node in front of it."""

    def __init__(self, folder: Path, far: int, name: str = "node") -> None:
        self.port, members = free_port(), free_port()
        orders = folder / f"{name}.ini"
        orders.write_text(
            f"[members]\naddress = 127.0.0.1:{members}\nothers = 127.0.0.1:{far}\nperiod = 0.2\n"
            f"[node]\nname = {name}\nconnections = {CONNECTIONS}\ncontrol = {folder / name}.sock\n"
            f"[node.service all]\naddress = 127.0.0.1:{self.port}\n")  # fmt: skip
        command = [
            sys.executable,
            "-O",
            "-m",
            "thymeyoke",
            "node",
            "--service-config",
            str(orders),
            "--log-level",
            "error",
        ]
        self.process = subprocess.Popen(command)

    def end(self) -> None:
        self.process.kill()
        self.process.wait()


def answered(port: int, within: float = 20.0) -> bool:
    ends = time.monotonic() + within
    while time.monotonic() < ends:
        try:
            with socket.create_connection(("127.0.0.1", port), 1.0) as sock:
                sock.sendall(b"x")  # where nobody listens yet, a connect can meet itself
                if sock.recv(1) == b"x" and sock.getsockname() != sock.getpeername():
                    return True
                time.sleep(0.1)
        except OSError:
            time.sleep(0.1)
    return False


def bulk(port: int) -> float:
    """Octets a second of one transfer."""
    piece = b"b" * PIECE
    with socket.create_connection(("127.0.0.1", port)) as sock:
        began = time.perf_counter()
        for _ in range(BULK // PIECE):
            sock.sendall(piece)
        sock.sendall(b"e")
        sock.recv(1)
        return BULK / (time.perf_counter() - began)


def words(port: int) -> float:
    """Words and answers a second on one connection, one after the other."""
    with socket.create_connection(("127.0.0.1", port)) as sock:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        began = time.perf_counter()
        for _ in range(WORDS):
            sock.sendall(b"x" * 200)
            left = 200
            while left:
                left -= len(sock.recv(left))
        return WORDS / (time.perf_counter() - began)


def connections(port: int) -> float:
    """Connections a second: each says a word, hears it and closes."""

    async def one(turns: int) -> None:
        loop = asyncio.get_running_loop()
        for _ in range(turns):
            with socket.socket() as sock:
                sock.setblocking(False)
                await loop.sock_connect(sock, ("127.0.0.1", port))
                await loop.sock_sendall(sock, b"x")
                await loop.sock_recv(sock, 1)

    async def run() -> float:
        began = time.perf_counter()
        await asyncio.gather(*(one(CONNECTS // AT_ONCE) for _ in range(AT_ONCE)))
        return CONNECTS / (time.perf_counter() - began)

    return asyncio.run(run())


def held(node: Through) -> list[dict[str, Any]]:
    """Memory of connections that have spoken once and are open, and processor time while they are silent. The
    first thousand use what the start left free."""
    pid, socks, sizes = node.process.pid, [], [rss(node.process.pid)]
    for _ in range(2):
        for _ in range(HELD):
            sock = socket.create_connection(("127.0.0.1", node.port))
            sock.sendall(b"x")
            socks.append(sock)
        for sock in socks[-HELD:]:
            sock.recv(1)
        sizes.append(rss(pid))
    before, first, after = sizes
    spent, began = cpu(pid), time.monotonic()
    time.sleep(2.0)
    idle = (cpu(pid) - spent) / (time.monotonic() - began)
    for sock in socks:
        sock.close()
    return [
        {"what": "RSS of a node", "value": before / 1024, "unit": "MiB", "ratio": None},
        {
            "what": f"with {2 * HELD} connections",
            "value": after / 1024,
            "unit": "MiB",
            "ratio": after / before,
        },
        {
            "what": f"of them, the second {HELD}",
            "value": (after - first) / 1024,
            "unit": "MiB",
            "ratio": None,
        },
        {"what": "a core, while they are silent", "value": 100 * idle, "unit": "%", "ratio": None},
    ]


def silent(port: int, span: float) -> None:
    """A process: connects as fast as a core can, says nothing, and keeps the last thousands open."""
    resource.setrlimit(resource.RLIMIT_NOFILE, (20000, resource.getrlimit(resource.RLIMIT_NOFILE)[1]))
    socks: deque[socket.socket] = deque()
    ends = time.monotonic() + span
    while time.monotonic() < ends:
        for _ in range(50):
            socks.append(sock := socket.socket())
            sock.setblocking(False)
            sock.connect_ex(("127.0.0.1", port))
            if len(socks) > 2 * CONNECTIONS:
                socks.popleft().close()
        time.sleep(0.005)


def flooded(node: Through) -> list[dict[str, Any]]:
    """Customers of the same tenant beside a flood of connections that say nothing."""
    pid, before, took = node.process.pid, rss(node.process.pid), []
    flood = multiprocessing.get_context("spawn").Process(target=silent, args=(node.port, FLOOD), daemon=True)
    flood.start()
    while flood.is_alive():
        began = time.monotonic()
        took.append(float("inf"))
        with suppress(OSError), socket.create_connection(("127.0.0.1", node.port), 3.0) as sock:
            sock.sendall(b"x")
            if sock.recv(1):
                took[-1] = time.monotonic() - began
        time.sleep(0.02)
    answers = [one for one in took if one < float("inf")]
    return [
        {
            "what": "answered beside a flood",
            "value": len(answers),
            "unit": "",
            "ratio": len(answers) / len(took),
        },
        {"what": "the slowest of them", "value": max(answers) * 1e3, "unit": "ms", "ratio": None},
        {
            "what": "RSS that the flood took",
            "value": (rss(pid) - before) / 1024,
            "unit": "MiB",
            "ratio": None,
        },
    ]


def beside(
    what: str, unit: str, size: float, measure: Callable[[int], float], ports: tuple[int, int]
) -> list[Any]:
    """Both by turns; medians, and the node's as a ratio of the direct one."""
    found: tuple[list[float], list[float]] = ([], [])
    for _ in range(TURNS):
        for values, port in zip(found, ports, strict=True):
            values.append(measure(port))
    direct, through = map(statistics.median, found)
    return [
        {"what": f"{what}, direct", "value": direct / size, "unit": unit, "ratio": None},
        {"what": f"{what}, through a node", "value": through / size, "unit": unit, "ratio": through / direct},
    ]


@click.command()
@click.option("--json", "as_json", is_flag=True, help="JSON lines.")
def main(as_json: bool) -> None:
    """Octets, words and connections a second through a node beside a direct connection; RSS."""
    port, far = free_port(), free_port()
    child = multiprocessing.get_context("spawn").Process(target=echo, args=(port, far), daemon=True)
    child.start()
    with tempfile.TemporaryDirectory() as folder:
        node = Through(Path(folder), far)
        signal.alarm(300)
        try:
            if not (answered(port) and answered(node.port)):
                raise click.ClickException("the node did not come up")
            ports, pid = (port, node.port), node.process.pid
            rows = beside("one transfer", "MB/s", 1e6, bulk, ports)
            for what, measure, many in (
                ("a word and its answer", words, WORDS),
                (f"connections, {AT_ONCE} at once", connections, CONNECTS),
            ):
                before = cpu(pid)
                rows += beside(what, "1/s", 1, measure, ports)
                each = (cpu(pid) - before) / (TURNS * many) * 1e6
                rows.append(
                    {"what": "of the node's processor time, each", "value": each, "unit": "us", "ratio": None}
                )
            node.end()
            node = Through(Path(folder), far, "fresh")  # with no memory that others left behind
            if not answered(node.port):
                raise click.ClickException("the second node did not come up")
            rows += held(node)
            rows += flooded(node)
        finally:
            node.end()
            child.kill()
            child.join()
    show(rows, as_json)


if __name__ == "__main__":
    assert os.name == "posix"
    main(prog_name="benchmarks.proxy")
