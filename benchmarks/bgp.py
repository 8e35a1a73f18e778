"""Benchmark of BGP: time from decision to wire, CPU per request, memory per session, received paths.

`python -m benchmarks.bgp` prints a table, or JSON lines with `--json`. Servers run as separate processes, as
in service (`-O`). Times depend on the machine; compare the ratios. Takes two minutes on an idle machine.
"""

from __future__ import annotations

import os
import signal
import statistics
import time
import tracemalloc
from pathlib import Path
from random import Random
from typing import Any

import anyio
import click
import orjson

from benchmarks import show
from examples.fakes import Router
from fakes.bgp import BgpPeer
from fakes.fleet import ADDRESS, Fleet, Instance, free_port
from thymeyoke.bgp import wire
from thymeyoke.bgp.presentation import ReceivedPaths
from thymeyoke.bgp.session import Event, LocalParameters, Session
from thymeyoke.bgp.wire import IPV4, Attribute, Nlri

SECOND = "203.0.113.7/32"
OPS, AT_ONCE = 6000, 16
PATHS = 10_000


def cpu(pid: int) -> float:
    """Return the CPU seconds that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def rss(pid: int) -> int:
    """Return the resident memory of a process in KiB."""
    text = Path(f"/proc/{pid}/status").read_text()
    return int(text.split("VmRSS:")[1].split()[0])


async def one_server(peers: int, tasks: Any, **options: Any) -> tuple[Fleet, list[BgpPeer]]:
    fleet = Fleet(1, **options)
    one = fleet.all[0]
    await one.around(tasks)
    one.processor.span = 0.0
    one.processor.cores = None
    many = [BgpPeer(reflects=False) for _ in range(peers)]
    for peer in many:
        await tasks.start(peer.run)
    one.port = free_port()
    one.start(many)
    try:
        with anyio.fail_after(20):
            while not all(peer.levels(one.id) for peer in many):
                await anyio.sleep(0.05)
    except TimeoutError:
        fleet.down()
        raise
    await anyio.sleep(1.5)
    return fleet, many


async def ops(one: Instance, tasks: Any, many: int) -> None:
    """Send requests in a closed loop, AT_ONCE in flight."""
    router = await Router.connect(tasks, "127.0.0.1", one.port)
    out: list[int] = []
    for _ in range(many):
        out.append(await router.ask("look", b"x"))
        if len(out) >= AT_ONCE:
            await router.answer(out.pop(0))
        router.answers = (
            {number: said for number, said in router.answers.items() if number >= out[0]} if out else {}
        )


async def an_op(rows: list[dict[str, Any]]) -> None:
    """Measure CPU per request and memory by the number of peers."""
    costs: dict[int, list[float]] = {0: [], 2: [], 16: []}
    many = 256  # for memory only: fewer would fit into memory freed after the start
    memory: dict[int, list[int]] = {}
    for _ in range(3):
        for peers in (*costs, many):
            async with anyio.create_task_group() as tasks:
                fleet, _ = await one_server(peers, tasks)
                one = fleet.all[0]
                assert one.process is not None
                try:
                    memory.setdefault(peers, []).append(rss(one.process.pid))
                    if peers == many:
                        continue
                    await ops(one, tasks, 500)
                    before = cpu(one.process.pid)
                    await ops(one, tasks, OPS)
                    costs[peers].append((cpu(one.process.pid) - before) / OPS)
                finally:
                    fleet.down()
                    tasks.cancel_scope.cancel()
    base = min(costs[0])
    for peers, found in costs.items():
        rows.append({"what": f"CPU an op, {peers} peers", "value": min(found) * 1e6, "unit": "us",
                     "ratio": min(found) / base})  # fmt: skip
    calm = {peers: statistics.median(found) for peers, found in memory.items()}
    for peers, found in calm.items():
        rows.append(
            {"what": f"RSS calm, {peers} peers", "value": found, "unit": "KiB", "ratio": found / calm[0]}
        )
    each = (calm[many] - calm[2]) / (many - 2)
    rows.append({"what": "RSS a session", "value": each, "unit": "KiB", "ratio": None})


async def to_the_wire(rows: list[dict[str, Any]]) -> None:
    """Measure the time from a level's change in the server's log until the peer has read the UPDATE."""
    for loaded in (False, True):
        async with anyio.create_task_group() as tasks:
            fleet, (peer,) = await one_server(1, tasks, changes=60, settle=30)
            one = fleet.all[0]
            assert one.process is not None
            try:
                if loaded:

                    async def load(one: Instance = one, tasks: Any = tasks) -> None:
                        while True:
                            await ops(one, tasks, 1000)

                    tasks.start_soon(load)
                orders = one.folder / "0.ini"
                first = orders.read_text()
                both = first.replace(ADDRESS, f"{ADDRESS}, {SECOND}")
                for at in range(60):
                    orders.write_text(both if at % 2 == 0 else first)
                    before = peer.updates
                    os.kill(one.process.pid, signal.SIGHUP)
                    with anyio.fail_after(5):
                        while peer.updates == before:
                            await anyio.sleep(0.002)
                    await anyio.sleep(0.05)
                decided = [
                    line["at"] for line in map(orjson.loads, one.log().splitlines())
                    if line["event"] == "address_level_changed" and line["address"] == SECOND
                ]  # fmt: skip
                wanted = Nlri(32, bytes((203, 0, 113, 7)))
                heard = [seen.at for seen in peer.log if seen.what == "announce" and seen.nlri == wanted]
                spans = sorted(b - a for a, b in zip(decided, heard, strict=True))
            finally:
                fleet.down()
                tasks.cancel_scope.cancel()
        how = "full load of ops" if loaded else "idle"
        for name, part in (("median", 0.5), ("99th", 0.99)):
            value = spans[min(len(spans) - 1, int(part * len(spans)))]
            what = f"decision to wire, {how}, {name} of {len(spans)}"
            ratio = value / rows_idle(rows, value, name)
            rows.append({"what": what, "value": value * 1e3, "unit": "ms", "ratio": ratio})


def rows_idle(rows: list[dict[str, Any]], value: float, name: str) -> float:
    idle = [row["value"] / 1e3 for row in rows if "idle" in row["what"] and name in row["what"]]
    return idle[0] if idle else value


def received(rows: list[dict[str, Any]]) -> None:
    """Measure adding and removing 10,000 paths of others, and as many to our own address."""
    from ipaddress import ip_network

    local = LocalParameters(64512, bytes((192, 0, 2, 1)), 64500, 3, (IPV4,))
    peer_open = LocalParameters(64500, bytes((192, 0, 2, 9)), 64512, 3, (IPV4,)).open()
    attributes = (Attribute(0x40, 1, b"\0"), Attribute(0x40, 2, b"\2\1" + (64500).to_bytes(4, "big")),
            Attribute(0x40, 3, bytes((192, 0, 2, 9))))  # fmt: skip
    foreign = [Nlri(32, at.to_bytes(4, "big")) for at in range(10 << 24, (10 << 24) + PATHS)]
    own = [Nlri(32, ip_network(ADDRESS).network_address.packed, at) for at in range(PATHS)]
    base = 0.0
    for name, many in (("others' prefixes", foreign), ("one address of ours", own)):
        paths = many is own
        negotiated = wire.NegotiatedOptions(
            True, families=frozenset((IPV4,)), add_path_families=frozenset((IPV4,)) if paths else frozenset()
        )
        data = b"".join(wire.encode(wire.Update((), attributes, tuple(many[at : at + 200])), negotiated)
                        for at in range(0, PATHS, 200))  # fmt: skip
        data += b"".join(wire.encode(wire.Update(tuple(many[at : at + 200])), negotiated)
                         for at in range(0, PATHS, 200))  # fmt: skip
        spans = []
        for measured in (False, False, False, True):
            session = Session(local, Random(1))
            received_paths = ReceivedPaths(64512, [], 1000, [ip_network(ADDRESS)])
            reader = wire.MessageReader()
            session.handle_event(0.0, Event.START)
            session.handle_event(0.0, Event.TCP_UP)
            session.receive(0.0, peer_open)
            session.receive(0.0, wire.Keepalive())
            session.negotiated = reader.negotiated = negotiated
            if measured:
                tracemalloc.start()
            began = time.perf_counter()
            for at in range(0, len(data), 1 << 14):
                for message in reader.feed(data[at : at + (1 << 14)]):
                    for action in session.receive(0.0, message):
                        received_paths.receive_update("p", action.update)  # type: ignore[union-attr]
            if measured:
                held, peak = tracemalloc.get_traced_memory()
                tracemalloc.stop()
            else:
                spans.append(time.perf_counter() - began)
        span = statistics.median(spans)
        base = base or span
        rows.append(
            {
                "what": f"{PATHS} paths to {name}, and back",
                "value": span * 1e3,
                "unit": "ms",
                "ratio": span / base,
            }
        )
        rows.append(
            {
                "what": "  memory at its peak, and after",
                "value": peak / 1024,
                "unit": "KiB",
                "ratio": held / peak,
            }
        )


@click.command()
@click.option("--json", "as_json", is_flag=True, help="JSON lines.")
@click.option("--only", type=click.Choice(["op", "wire", "paths"]), help="One part of it.")
def main(as_json: bool, only: str | None) -> None:
    """Measure what announcing costs.

    \b
    Example: python -m benchmarks.bgp --only paths
    """
    rows: list[dict[str, Any]] = []
    if only in (None, "op"):
        anyio.run(an_op, rows)
    if only in (None, "wire"):
        anyio.run(to_the_wire, rows)
    if only in (None, "paths"):
        received(rows)
    show(rows, as_json)


if __name__ == "__main__":
    main()
