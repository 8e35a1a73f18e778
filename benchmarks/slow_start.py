"""Simultaneous starts and recoveries, as the fullest 0.1 s relative to the steady rate.
`python -m benchmarks.slow_start`.

`--simulated` runs the decisions in simulated time: 300 processes without random variation, compared with a
baseline without slow start. Otherwise real processes run against one registry and one dependency: started
together, stopped and resumed together, registry and dependency recovering together, a registry that hangs,
answers 503 or refuses connections, a dependency that recovers to half of the load and later fully, and a
third of the processes killed and restarted. `--baseline DIR` compares with another checkout. Compare the
ratios: times depend on the machine. Load is measured in a separate process. If the routers' process stalls,
replies and requests are late, and the dependency's fullest window then includes them.
"""

from __future__ import annotations

import gc
import os
import re
import resource
import secrets
import signal
import statistics
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from contextlib import suppress
from functools import partial
from pathlib import Path
from typing import Any

import anyio
import click
import orjson
from anyio.abc import TaskGroup

from benchmarks import show
from benchmarks.bgp import cpu
from examples.fakes import LOST, Processor, Router
from examples.toy import START
from fakes.dependency import WINDOW, Base, Door, List, Strength, Turns
from fakes.faulty_link import held
from fakes.namespaces import Apart, Far
from fakes.slow_start import (
    CALL_SECONDS,
    CLIENT_TIMEOUT,
    LATENCY_OBJECTIVE,
    PLAYS,
    REGISTRY_HEADROOM,
    Fault,
    play,
)
from thymeyoke.slow_start.heartbeat import INTERVAL_SECONDS

ROOT = Path(__file__).parent.parent
LIMIT = 900  # maximum lifetime of a process in seconds
READY = 300.0  # maximum seconds until all are listed and answer
RATE = 2.0  # requests per second to each process, with one call each
FALLS = 4.0  # load at which the dependency fails, relative to the usual calls
DOWN = 1.0  # seconds that it is down after a failure
PATIENCE = 2.0  # seconds that routers wait for an answer
SLACK = 3.0  # further seconds after which no answer arrives, even on a busy machine
CALM, HOLD, AWAY, AFTER = 8.0, 4.0, 6.0, 6.0  # seconds
FIRST = -10  # nice value of the fakes relative to the processes
GONE, WEAK = 2.0, 6.0  # seconds that the dependency is down, and then at half its capacity
UP = re.compile(r"^at=([0-9.]+) .*what=up ", re.MULTILINE)


class One:
    """One process of the program, its processor, and a router that sends requests at a steady rate."""

    def __init__(self, number: int, crowd: Hundreds, rate: float) -> None:
        self.name, self.crowd, self.rate = f"n{number}", crowd, rate
        self.processor, self.holder = Processor(span=0.0, calls=1), held()
        self.port: int = self.holder.getsockname()[1]
        self.process: subprocess.Popen[bytes] | None = None
        self.started = self.answered = 0.0
        self.up_cpu = 0.0  # CPU seconds until its first answer
        self.asked = self.acked = 0
        self.answers = 0  # served, rejected or failed
        self.lost = 0  # requests whose connection ended first

    def start(self) -> None:
        crowd = self.crowd
        told = orjson.loads(START.read_bytes())
        told |= {
            "name": self.name, "listen": f"127.0.0.1:{self.port}", "seed": secrets.token_hex(8),
            "stop_ms": 5000, "processor": f"127.0.0.1:{self.processor.port}",
            "db": f"127.0.0.1:{crowd.base.port}", "naming": f"127.0.0.1:{crowd.list.port}",
        }  # fmt: skip
        told["settings"]["family_info"] |= {"below": "tier", "memory_kb": 400_000.0}
        for kind in told["settings"]["request_classes"]:
            kind |= {"aim_us": int(crowd.target * 1e6), "deadline_us": int(crowd.timeout * 1e6)}
        config = crowd.folder / f"{self.name}.json"
        config.write_bytes(orjson.dumps(told))
        self.answered = 0.0
        self.started = time.time()
        with (crowd.folder / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-O", "-m", "thymeyoke", "serve", "--config", str(config)],
                cwd=crowd.root, env=os.environ | {"PYTHONPATH": str(crowd.root)}, stderr=log, stdout=log,
                stdin=subprocess.DEVNULL, preexec_fn=lambda: signal.alarm(LIMIT),  # survives the exec
            )  # fmt: skip
        with suppress(OSError):
            os.setpriority(os.PRIO_PROCESS, self.process.pid, crowd.nice)

    def signal(self, number: int) -> None:
        if self.process is not None and self.process.poll() is None:
            os.kill(self.process.pid, number)

    def end(self) -> None:
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    async def ask(self, tasks: TaskGroup, phase: float) -> None:
        """Send requests at a steady rate from when the process listens, whatever the earlier ones do.

        Requests missed while this benchmark's own process was stalled are left out, as independent clients
        would not stall together.
        """
        router, next_at = None, time.time() + phase / self.rate
        while self.crowd.asking:
            await anyio.sleep(max(0.0, next_at - time.time()))
            late = time.time() - next_at
            next_at += (1 + int(late * self.rate)) / self.rate
            if late > WINDOW / 2:
                continue
            try:
                if router is None or router.closed:
                    with anyio.fail_after(1.0):
                        router = await Router.connect(tasks, "127.0.0.1", self.port)
                number = await router.ask("look", b"x", allow=f"{self.crowd.patience * 1000:.0f}")
            except (OSError, TimeoutError, *LOST):
                router = None
                continue
            tasks.start_soon(self._answer, router, number)

    async def _answer(self, router: Router, number: int) -> None:
        self.asked += 1
        with suppress(TimeoutError):
            try:
                error, _ = await router.answer(number, self.crowd.patience + SLACK)
            except KeyError:
                self.lost += 1
                return
            self.answers += 1
            self.acked += error is None
            if not self.answered and error is None and self.process is not None:
                self.answered = time.time()
                self.up_cpu = cpu(self.process.pid)

    @property
    def ready(self) -> bool:
        return bool(self.answered) and self.crowd.list.names.get(self.name, 0.0) > self.started

    def up(self) -> float:
        """When this incarnation was first ready to report, from its log; 0 before that."""
        found = UP.findall((self.crowd.folder / f"{self.name}.log").read_text())
        return max([0.0, *(at for at in map(float, found) if at >= self.started)])


class Hundreds:
    """`many` processes, a registry with REGISTRY_HEADROOM times their steady rate of reports, a dependency.

    `target` and `timeout` are the latency objective and client timeout of all request classes, `patience` is
    the time that routers wait, all in seconds.
    """

    def __init__(
        self, many: int, root: Path = ROOT, rate: float = RATE, target: float = LATENCY_OBJECTIVE,
        timeout: float = CLIENT_TIMEOUT, patience: float = PATIENCE,
    ) -> None:  # fmt: skip
        self.root, self.many = root, many
        self.target, self.timeout, self.patience = target, timeout, patience
        self.made = tempfile.TemporaryDirectory(prefix="thymeyoke-coldstart-")
        self.folder = Path(self.made.name)
        usual = many * rate * WINDOW
        # Allows for random variation of the calls in one window.
        falls = FALLS * usual + 3 * usual**0.5
        self.falls, self.half = falls, usual / 2
        self.nice = os.getpriority(os.PRIO_PROCESS, 0)
        self.asking = True  # whether the routers send requests
        self.turns = self.own = Turns()  # stalls of the process that measures load, and of this one
        self.list: List | Far = List(REGISTRY_HEADROOM * many / INTERVAL_SECONDS)
        self.base: Base | Far = Base(CALL_SECONDS, Strength(falls, falls, DOWN))
        self.all = [One(number, self, rate) for number in range(many)]

    def apart(self) -> Apart:
        """Run registry and dependency in a process of their own, as this one is busy with the routers."""
        self._close()
        there = Apart(
            REGISTRY_HEADROOM * self.many / INTERVAL_SECONDS, CALL_SECONDS, self.falls, self.falls, DOWN
        )
        self.list, self.base, self.turns = there.list, there.base, there.turns
        return there

    async def around(self, tasks: TaskGroup) -> None:
        """Start the fakes; raise their priority over the processes if the system permits it."""
        self.tasks = tasks
        with suppress(OSError):
            os.setpriority(os.PRIO_PROCESS, 0, self.nice + FIRST)
        for door in (self.list, self.base):
            await door.open(tasks)
        tasks.start_soon(self.own.run)
        for one in self.all:
            await tasks.start(one.processor.run)

    async def start(self) -> float:
        """Start all at once; return the seconds until the last is listed and has answered a request."""
        began = time.time()
        for at, one in enumerate(self.all):
            one.start()
            self.tasks.start_soon(one.ask, self.tasks, at / self.many)
        await self.ready()
        return time.time() - began

    async def ready(self, within: float = READY) -> None:
        with anyio.fail_after(within):
            while not all(one.ready for one in self.all):
                await anyio.sleep(0.02)

    def signal(self, number: int) -> None:
        for one in self.all:
            one.signal(number)

    async def calm(self, span: float = CALM) -> tuple[float, float]:
        """Measure the steady rates of reports and calls."""
        await anyio.sleep(2.0)
        began = time.time()
        await anyio.sleep(span)
        return self.list.load.steady(began, time.time()), self.base.load.steady(began, time.time())

    async def hold(self, span: float = HOLD, after: float = AFTER) -> float:
        """Stop all processes, resume them at the same time, and return that time."""
        self.signal(signal.SIGSTOP)
        await anyio.sleep(span)
        self.signal(signal.SIGCONT)
        return await self._after(after)

    async def away(self, span: float = AWAY, after: float = AFTER) -> float:
        """Take registry and dependency down, bring them back at the same time, and return that time."""
        await self.list.shut()
        await self.base.shut()
        await anyio.sleep(span)
        await self.list.open(self.tasks)
        await self.base.open(self.tasks)
        return await self._after(after)

    async def list_is(self, fault: Fault, span: float = AWAY, after: float = AFTER) -> float:
        """Give the registry a fault for longer than an entry's lifetime; return the time it began."""
        began = time.time()
        await self.list_falls(fault)
        await anyio.sleep(span)
        await self.list_rises()
        await anyio.sleep(after)
        return began

    async def list_falls(self, fault: Fault) -> None:
        if fault is Fault.REFUSED:
            await self.list.shut()
        else:
            await self.list.says(0 if fault is Fault.SILENT else 503)

    async def list_rises(self) -> None:
        await self.list.says(204)
        if self.list.shuts:
            await self.list.open(self.tasks)

    async def weak(self, gone: float = GONE, span: float = WEAK, after: float = AFTER) -> float:
        """Take the dependency down, then back at half capacity, later fully; return when it was back."""
        await self.base.shut()
        await anyio.sleep(gone)
        await self.base.bears(self.half)
        back = time.time()
        await self.base.open(self.tasks)
        await anyio.sleep(span)
        await self.base.bears(self.falls)
        await anyio.sleep(after)
        return back

    async def again(self) -> float:
        """Kill a third of the processes and restart them at the same time; return that time."""
        some = self.all[::3]
        for one in some:
            one.signal(signal.SIGKILL)
        for one in some:
            await anyio.to_thread.run_sync(one.end)
        began = time.time()
        for one in some:
            one.start()
            await anyio.sleep(0)
        return began

    async def third(self, after: float = AFTER) -> float:
        began = await self.again()
        await self.ready()
        await anyio.sleep(after)
        return began

    async def _after(self, span: float) -> float:
        moment = time.time()
        await anyio.sleep(span)
        return moment

    def end(self) -> None:
        for one in self.all:
            one.end()
        with suppress(OSError):
            os.setpriority(os.PRIO_PROCESS, 0, self.nice)
        for one in self.all:
            one.holder.close()
        self._close()
        self.made.cleanup()

    def _close(self) -> None:
        for door in (self.list, self.base):
            if isinstance(door, Door):
                door.holder.close()


async def real(many: int, root: Path, alone: float, rate: float = RATE) -> dict[str, float]:
    """Run all scenarios one after the other; `alone`: seconds that a single process needs, 0 if unknown.

    The time allowed is 1.5 times `alone` plus the CPU time of all starts: divided by the number of cores, or
    as measured until the last process was up.
    """
    crowd, found = Hundreds(many, root, rate), {}
    try:
        async with crowd.apart() as there, anyio.create_task_group() as tasks:
            tasks.start_soon(there.hear)
            await there.up.wait()
            await crowd.around(tasks)
            began = time.time()
            found["until listed and answering, s"] = took = await crowd.start()
            starts = sum(one.up_cpu for one in crowd.all)
            found["processor time of a start, s"] = starts / many
            if alone:
                last = max(one.up() for one in crowd.all) - began
                found["until the last was up, s"] = last
                found["of what is allowed, by cores"] = took / (1.5 * alone + starts / (os.cpu_count() or 1))
                found["of what is allowed, by the last start"] = took / (1.5 * alone + last)
            reports, calls = await crowd.calm()
            ended = time.time()
            found["steady reports a second"], found["steady calls a second"] = reports, calls

            def peaks(what: str, since: float, until: float) -> None:
                found[f"{what}: list"] = crowd.list.load.peak(since, until) / reports
                found[f"{what}: database"] = crowd.base.load.peak(since, until) / calls
                found[f"{what}: who counts stood still, s"] = crowd.turns.longest(since, until)
                found[f"{what}: who asks stood still, s"] = crowd.own.longest(since, until)

            peaks("started at once", began, began + took + 2.0)
            peaks("steady", ended - CALM, ended)
            if many > 1:
                plays: dict[str, Callable[[], Any]] = {
                    "let go at once": crowd.hold, "list and database back": crowd.away,
                    "list hangs": partial(crowd.list_is, Fault.SILENT),
                    "list says 503": partial(crowd.list_is, Fault.ERROR_STATUS),
                    "list refuses": partial(crowd.list_is, Fault.REFUSED),
                    "database back at half its strength": crowd.weak,
                    "a third started again": crowd.third}  # fmt: skip
                for what, begin in plays.items():
                    moment = await begin()
                    peaks(what, moment, time.time())
            found["database fell"] = there.base.fallen
            found["ops acked, of those asked"] = sum(one.acked for one in crowd.all) / max(
                1, sum(one.asked for one in crowd.all))  # fmt: skip
            found["ended by themselves"] = sum(
                one.process is not None and one.process.poll() is not None for one in crowd.all)  # fmt: skip
            tasks.cancel_scope.cancel()
    finally:
        crowd.end()
    return found


async def beside(many: int, baseline: Path | None, rate: float) -> list[dict[str, Any]]:
    rows: list[dict[str, Any]] = []
    alone = (await real(1, ROOT, 0.0))["until listed and answering, s"]
    now = await real(many, ROOT, alone, rate)
    before = await real(many, baseline, alone, rate) if baseline else {}
    for what, value in now.items():
        rows.append({"what": what, "value": value, "unit": "", "ratio": before.get(what)})
    return rows


def simulated(many: int, seeds: int) -> list[dict[str, Any]]:
    """Ratios with slow start; the last column has those of the baseline."""
    rows: list[dict[str, Any]] = []
    for name, what in PLAYS.items():
        found = {
            old: [play(what, many, seed=seed, is_baseline=old) for seed in range(seeds)]
            for old in (False, True)
        }
        for field, how in (("reports", max), ("calls", max), ("listed", max), ("again", max),
                           ("fallen", max), ("acked", statistics.mean)):  # fmt: skip
            now, before = (how(getattr(one, field) for one in found[old]) for old in (False, True))
            rows.append({"what": f"{name}: {field}", "value": now, "unit": "", "ratio": before})
    return rows


@click.command()
@click.option("--many", default=40, type=click.IntRange(2, 1024), help="Processes.")
@click.option("--simulated", "in_time", is_flag=True, help="In simulated time, without processes.")
@click.option("--seeds", default=3, type=click.IntRange(1, 100), help="Of simulated plays: the worst.")
@click.option("--baseline", type=click.Path(path_type=Path, exists=True), help="Another checkout's root.")
@click.option("--rate", default=RATE, type=click.FloatRange(0.01, 100), help="Ops a second to each process.")
@click.option("--json", "as_json", is_flag=True, help="JSON lines instead of a table.")
def main(many: int, in_time: bool, seeds: int, baseline: Path | None, rate: float, as_json: bool) -> None:
    """What is measured, now, and before as the last column."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(hard, max(soft, 64 + 16 * many)), hard))
    if in_time:
        return show(simulated(many, seeds), as_json)
    gc.disable()  # a collection would stall the routers for tenths of a second
    return show(anyio.run(beside, many, baseline and baseline.resolve(), rate), as_json)


if __name__ == "__main__":
    main()
