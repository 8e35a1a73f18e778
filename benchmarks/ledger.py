"""Benchmark of the ledger's cost. `python -m benchmarks.ledger` prints a table, or JSON lines with `--json`.

Servers run as separate processes, as in service (`-O`). Times depend on the machine and its disk; compare the
ratios.
"""

from __future__ import annotations

import os
import shutil
import statistics
import struct
import tempfile
import time
import zlib
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import anyio
import click
import orjson

from benchmarks import show
from benchmarks.bgp import cpu, rss
from examples.fakes import Router
from fakes.fleet import Instance, free_port
from thymeyoke.ledger import wire
from thymeyoke.ledger.export_store import ExportStore
from thymeyoke.ledger.receiver import Receiver
from thymeyoke.ledger.usage_entries import Amounts, Kind, RequestUsage, UsageKey
from thymeyoke.ledger.usage_journal import UsageJournal

REQUESTS, CONCURRENT_REQUESTS, ROUNDS = 6000, 16, 3
MILLION = 1_000_000
JOURNALS, BATCHES = 100, 20
WAYS = ("off", "before", "after")


def file_calls(pid: int) -> int:
    """Count a process's read and write calls on files; those on sockets are not included."""
    told = dict(line.split(": ") for line in Path(f"/proc/{pid}/io").read_text().splitlines())
    return int(told["syscr"]) + int(told["syscw"])


async def measure_way(way: str, found: dict[str, dict[str, list[float]]]) -> None:
    with tempfile.TemporaryDirectory(dir=os.environ.get("THYMEYOKE_DISK")) as folder:
        one = Instance(0, Path(folder))
        async with anyio.create_task_group() as tasks:
            await one.around(tasks)
            one.processor.span, one.processor.cores, one.port = 0.0, None, free_port()
            if way != "off":
                one.extra = f"[ledger]\npath = {folder}/book\nanswers = {way}\nperiod = 3600"
            one.start([])
            assert one.process is not None
            pid, row = one.process.pid, found.setdefault(way, {})
            try:
                with anyio.fail_after(10):
                    while "processor_ready" not in [
                        orjson.loads(line)["event"] for line in one.log().splitlines()
                    ]:
                        await anyio.sleep(0.05)
                router = await Router.connect(tasks, "127.0.0.1", one.port)
                await closed_loop(router, 500)
                row.setdefault("RSS", []).append(rss(pid))
                before = time.time(), cpu(pid), file_calls(pid)
                spans = sorted(await closed_loop(router, REQUESTS))
                took, used, asked = time.time() - before[0], cpu(pid) - before[1], file_calls(pid) - before[2]
                row.setdefault("ops a second", []).append(REQUESTS / took)
                row.setdefault("answer, median ms", []).append(spans[len(spans) // 2] * 1e3)
                row.setdefault("answer, 99th ms", []).append(spans[int(0.99 * len(spans))] * 1e3)
                row.setdefault("CPU an op, us", []).append(used / REQUESTS * 1e6)
                row.setdefault("reads and writes of files an op", []).append(asked / REQUESTS)
            finally:
                one.end()
                tasks.cancel_scope.cancel()


async def closed_loop(router: Router, count: int) -> list[float]:
    """Keep CONCURRENT_REQUESTS requests in flight, and return how long each answer took."""
    spans: list[float] = []
    talking = anyio.Lock()

    async def caller() -> None:
        while len(spans) < count:
            began = time.time()
            async with talking:
                number = await router.ask("look", b"x")
            await router.answer(number)
            del router.answers[number]
            spans.append(time.time() - began)

    async with anyio.create_task_group() as tasks:
        for _ in range(CONCURRENT_REQUESTS):
            tasks.start_soon(caller)
    return spans


async def measure_servers(rows: list[dict[str, Any]]) -> None:
    found: dict[str, dict[str, list[float]]] = {}
    for _ in range(ROUNDS):
        for way in WAYS:
            await measure_way(way, found)
    for name in found["off"]:
        base = statistics.median(found["off"][name])
        for way in WAYS:
            value = statistics.median(found[way][name])
            rows.append(
                {
                    "what": f"{name}, ledger {way}",
                    "value": value,
                    "unit": "",
                    "ratio": value / base if base else None,
                }
            )


def usage_groups(count: int, at: float) -> Iterator[list[RequestUsage]]:
    """Yield groups of 1000 usages, of 50 tenants, over an hour."""
    for first in range(0, count, 1000):
        yield [
            RequestUsage(
                at + 3600 * (first + n) / count,
                f"tenant {n % 50}",
                ("look", "buy")[n % 2],
                Kind.ACKED,
                0.1,
                1,
                1.0,
                300,
            )
            for n in range(1000)
        ]


def seconds_taken(what: Callable[[], Any]) -> float:
    began = time.perf_counter()
    what()
    return time.perf_counter() - began


def compare_stores(rows: list[dict[str, Any]]) -> None:
    """Compare SQLite with an append-only file with checksums: groups per second with an fsync each, bytes per
    request."""
    with tempfile.TemporaryDirectory(dir=os.environ.get("THYMEYOKE_DISK")) as folder:
        for size in (1, 16, 1000):
            group = next(usage_groups(1000, 1000.0))[:size]
            count = 300 if size < 1000 else 60
            journal = UsageJournal(Path(folder) / f"b{size}", 60)
            sqlite = seconds_taken(
                lambda journal=journal, group=group, count=count: [
                    journal.append(group) for _ in range(count)
                ]
            )
            journal.close_database()
            segment = open(Path(folder) / f"s{size}", "ab", buffering=0)  # noqa: SIM115
            own = seconds_taken(
                lambda s=segment, group=group, count=count: [_segment(s, group) for _ in range(count)]
            )
            segment.close()
            rows.append(
                {
                    "what": f"SQLite, groups of {size} a second",
                    "value": count / sqlite,
                    "unit": "",
                    "ratio": own / sqlite,
                }
            )
        octets = os.path.getsize(Path(folder) / "b1000" / "ledger.db") / 60_000
        own_octets = os.path.getsize(Path(folder) / "s1000") / 60_000
        rows.append(
            {"what": "SQLite, octets an op", "value": octets, "unit": "", "ratio": octets / own_octets}
        )


def _segment(file: Any, group: list[RequestUsage]) -> None:
    body = b"".join(struct.pack("<QHHB5q", 1, 1, 1, one.kind, *one.amounts()) for one in group)
    file.write(struct.pack("<II", len(body), zlib.crc32(body)) + body)
    os.fsync(file.fileno())


def measure_a_million(rows: list[dict[str, Any]]) -> None:
    with tempfile.TemporaryDirectory(dir=os.environ.get("THYMEYOKE_DISK")) as folder:
        journal = UsageJournal(Path(folder) / "book", 60, durable=False)
        filled = seconds_taken(
            lambda: [journal.append(group) for group in usage_groups(MILLION, 1_000_000.0)]
        )
        rows.append(
            {
                "what": "a million ops entered, ops a second",
                "value": MILLION / filled,
                "unit": "",
                "ratio": None,
            }
        )
        shutil.copytree(Path(folder) / "book", Path(folder) / "killed")  # with its log, as a kill leaves it
        size = sum(path.stat().st_size for path in (Path(folder) / "killed").iterdir())
        rows.append({"what": "octets an op", "value": size / MILLION, "unit": "", "ratio": None})
        began = time.perf_counter()
        again = UsageJournal(Path(folder) / "killed", 60)
        opened = time.perf_counter() - began
        rows.append({"what": "to open it after a kill", "value": opened * 1e3, "unit": "ms", "ratio": 1.0})
        closed = seconds_taken(lambda: again.close_periods(2_000_000.0))
        rows.append(
            {"what": "to close its 60 periods", "value": closed * 1e3, "unit": "ms", "ratio": closed / opened}
        )
        verified = seconds_taken(
            lambda: rows.append({"what": "wrong", "value": len(again.verify()), "unit": "", "ratio": None})
        )
        rows.append(
            {"what": "to verify it", "value": verified * 1e3, "unit": "ms", "ratio": verified / opened}
        )
        again.close_database()
        journal.close_database()


async def measure_receiver(rows: list[dict[str, Any]]) -> None:
    """Measure a receiver with batches of 50 rows from 100 app servers at once."""
    with tempfile.TemporaryDirectory(dir=os.environ.get("THYMEYOKE_DISK")) as folder:
        store = ExportStore(Path(folder))
        async with anyio.create_task_group() as tasks:
            port = await tasks.start(Receiver(store).run, "127.0.0.1", 0)
            began = time.time()
            async with anyio.create_task_group() as senders:
                for at in range(JOURNALS):
                    senders.start_soon(_export, port, at)
            took = time.time() - began
            tasks.cancel_scope.cancel()
        store.close_database()
    count = JOURNALS * BATCHES
    rows.append(
        {
            "what": f"batches a second from {JOURNALS} instances",
            "value": count / took,
            "unit": "",
            "ratio": None,
        }
    )


async def _export(port: int, at: int) -> None:
    stream = await anyio.connect_tcp("127.0.0.1", port)
    before = b""
    await stream.send(wire.encode(wire.Hello(f"n{at}", at.to_bytes(16, "big"), BATCHES)))
    await stream.receive()
    for number in range(1, BATCHES + 1):
        lines = tuple(
            (UsageKey(f"tenant {n}", "look", Kind.ACKED), Amounts(n, n, n, n, n)) for n in range(50)
        )
        batch = wire.Batch(
            number, before, wire.encode_body(wire.BatchBody(number, number, 1, 1, 1, 60, lines))
        )
        before = batch.hash
        await stream.send(wire.encode(batch))
        await stream.receive()
    await stream.aclose()


@click.command()
@click.option("--json", "as_json", is_flag=True, help="JSON lines.")
@click.option(
    "--only", type=click.Choice(["served", "stores", "million", "received"]), help="One part of it."
)
def main(as_json: bool, only: str | None) -> None:
    """Measure what the ledger costs. THYMEYOKE_DISK names a folder on the disk to measure.

    \b
    Example: python -m benchmarks.ledger --only stores
    """
    rows: list[dict[str, Any]] = []
    if only in (None, "served"):
        anyio.run(measure_servers, rows)
    if only in (None, "stores"):
        compare_stores(rows)
    if only in (None, "million"):
        measure_a_million(rows)
    if only in (None, "received"):
        anyio.run(measure_receiver, rows)
    show(rows, as_json)


if __name__ == "__main__":
    main()
