"""What full size costs one server. `python -m benchmarks.fleet`: one table, or JSON lines with `--json`.

A start with and without byte code laid ready (as on a file system that is read-only), connections by the
hundred, and a drain while the list is gone. Servers are processes as in service (`-O`); times are
this machine's, so quote the ratios.
"""

from __future__ import annotations

import os
import resource
import shutil
import signal
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import anyio
import click
import orjson

from benchmarks import show
from benchmarks.bgp import cpu, rss
from examples.fakes import LOST, Router
from fakes.fleet import Instance, free_port

STARTS = 5
CONNECTIONS = 1024
IDLE_SPAN = 2.0
LOAD, PAUSE = 32, 0.02  # routers that ask while the server drains, and how often each

ROOT = Path(__file__).parent.parent


async def ready(one: Instance) -> None:
    with anyio.fail_after(20):
        while "processor_ready" not in [orjson.loads(line)["event"] for line in one.log().splitlines()]:
            await anyio.sleep(0.01)


def start_cost(folder: Path, laid: bool) -> float:
    """Processor seconds of the imports of a start, on a copy whose byte code can't be written."""
    tree = folder / ("laid" if laid else "bare")
    packages = Path(next(path for path in sys.path if path.endswith("site-packages")))
    if not tree.exists():
        shutil.copytree(ROOT / "thymeyoke", tree / "thymeyoke", ignore=shutil.ignore_patterns("__pycache__"))
        for name in ("anyio", "click", "h11", "msgpack", "orjson", "idna"):
            if (packages / name).exists():
                ignore = shutil.ignore_patterns("*.opt-1.pyc")
                shutil.copytree(packages / name, tree / name, ignore=ignore)
        if laid:
            subprocess.run([sys.executable, "-O", "-m", "compileall", "-q", "--invalidation-mode",
                            "checked-hash", str(tree)], check=True)  # fmt: skip
    before = resource.getrusage(resource.RUSAGE_CHILDREN)
    subprocess.run(
        [sys.executable, "-O", "-c",
         "import thymeyoke.__main__, thymeyoke.server.lifecycle, anyio._backends._asyncio"],
        cwd=tree, check=True, env=os.environ | {"PYTHONDONTWRITEBYTECODE": "1"})  # fmt: skip
    after = resource.getrusage(resource.RUSAGE_CHILDREN)
    return after.ru_utime + after.ru_stime - before.ru_utime - before.ru_stime


def starts() -> list[dict[str, Any]]:
    with tempfile.TemporaryDirectory() as folder:
        found: dict[bool, list[float]] = {False: [], True: []}
        for _ in range(STARTS):
            for laid, spans in found.items():
                spans.append(start_cost(Path(folder), laid))
    bare, laid = (statistics.median(found[key]) for key in (False, True))
    return [
        {"what": "start, byte code compiled each time", "value": bare * 1e3, "unit": "ms", "ratio": None},
        {"what": "start, byte code laid ready", "value": laid * 1e3, "unit": "ms", "ratio": laid / bare},
    ]


async def connections() -> list[dict[str, Any]]:
    rows = []
    with tempfile.TemporaryDirectory() as folder:
        one = Instance(0, Path(folder))
        one.limits = {"sockets": 2 * CONNECTIONS}
        async with anyio.create_task_group() as tasks:
            await one.around(tasks)
            one.processor.span, one.processor.cores, one.port = 0.0, None, free_port()
            one.start([])
            assert one.process is not None
            pid = one.process.pid
            try:
                await ready(one)
                up = cpu(pid)
                first = await Router.connect(tasks, "127.0.0.1", one.port)
                await first.answer(await first.ask("look"))
                calm, used, began = rss(pid), cpu(pid), time.time()
                rows += [
                    {"what": "processor time until up", "value": up * 1e3, "unit": "ms", "ratio": None},
                    {"what": "until the first answer", "value": used * 1e3, "unit": "ms", "ratio": used / up},
                ]

                async def come() -> None:
                    router = await Router.connect(tasks, "127.0.0.1", one.port)
                    await router.answer(await router.check(), 20)

                async with anyio.create_task_group() as comers:
                    for _ in range(CONNECTIONS):
                        comers.start_soon(come)
                took, spent = time.time() - began, cpu(pid) - used
                rows += [
                    {"what": f"{CONNECTIONS} connections at once, each answered", "value": took * 1e3,
                     "unit": "ms", "ratio": None},
                    {"what": "processor time of each", "value": spent / CONNECTIONS * 1e6, "unit": "us",
                     "ratio": None},
                    {"what": "memory of each", "value": (rss(pid) - calm) / CONNECTIONS, "unit": "KiB",
                     "ratio": rss(pid) / calm},
                ]  # fmt: skip
                used = cpu(pid)
                await anyio.sleep(IDLE_SPAN)
                share = (cpu(pid) - used) / IDLE_SPAN
                rows.append({"what": "of a core, with all of them idle", "value": share, "unit": "",
                             "ratio": None})  # fmt: skip
            finally:
                one.end()
                tasks.cancel_scope.cancel()
    return rows


async def drain(listed: bool) -> dict[str, float]:
    """Ops asked on kept connections from the notice on, until the end."""
    told = {"answered": 0.0, "unanswered": 0.0, "span": 0.0}
    with tempfile.TemporaryDirectory() as folder:
        one = Instance(0, Path(folder))
        async with anyio.create_task_group() as tasks:
            await one.around(tasks)
            one.port = free_port()
            if not listed:
                await one.roster.cut()
                one.roster.port = free_port()  # nobody is there
            one.start([])
            try:
                await ready(one)

                async def load() -> None:
                    router = await Router.connect(tasks, "127.0.0.1", one.port)
                    while not router.closed and not router.notices:
                        try:
                            number = await router.ask("look")
                        except LOST:
                            break
                        with anyio.move_on_after(4):
                            await router.until(lambda n=number: n in router.answers or router.closed)
                        told["answered" if number in router.answers else "unanswered"] += 1
                        await anyio.sleep(PAUSE)
                    await router.stream.aclose()

                async with anyio.create_task_group() as callers:
                    for _ in range(LOAD):
                        callers.start_soon(load)
                    await anyio.sleep(0.5)
                    began = one.signal(signal.SIGTERM)
                    told["code"] = float(await one.gone())
                    told["span"] = time.time() - began
            finally:
                one.end()
                tasks.cancel_scope.cancel()
    return told


async def all_of_it() -> list[dict[str, Any]]:
    rows = starts() + await connections()
    up, gone = await drain(True), await drain(False)
    for name, told, ratio in (("up", up, None), ("gone", gone, gone["span"] / up["span"])):
        rows += [
            {"what": f"drain, list {name}: span", "value": told["span"], "unit": "s", "ratio": ratio},
            {"what": f"drain, list {name}: ops with no answer", "value": told["unanswered"], "unit": "",
             "ratio": None},
            {"what": f"drain, list {name}: ops answered", "value": told["answered"], "unit": "",
             "ratio": told["answered"] / up["answered"]},
        ]  # fmt: skip
    return rows


@click.command()
@click.option("--json", "as_json", is_flag=True, help="JSON lines instead of a table.")
def main(as_json: bool) -> None:
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(hard, max(soft, 4 * CONNECTIONS)), hard))
    show(anyio.run(all_of_it), as_json)


if __name__ == "__main__":
    main()
