"""Processes that resume at the same time, or see registry and dependency fail and recover together.

The measure is the fullest 0.1 s at the registry and at the dependency. Each process reports on a time grid of
its own, so that after a stop the registry's fullest window is as full as before, whatever the phases are. The
dependency accepts all calls here, and whether it would have failed is computed from its load; a real failure
would cut off the load. A window is extended by the time for which the fakes' own process stalled, as arrivals
during a stall are stamped at its end.
"""

from __future__ import annotations

import time
import unittest
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager, suppress
from functools import partial
from pathlib import Path
from typing import NamedTuple, Protocol, TypeVar

import anyio

from benchmarks.slow_start import SLACK, Hundreds
from fakes.dependency import WINDOW, Strength
from fakes.processes import PROGRAM, Change, changed
from fakes.slow_start import Fault
from thymeyoke.slow_start.heartbeat import ENTRY_TTL_SECONDS, INTERVAL_SECONDS, LATENESS_TOLERANCE

MANY, RATE = 16, 3.0
MORE = 8.0  # requests per second to each process, so that each window has some calls even at half the rate
CALM, HOLD, AWAY, AFTER = 4.0, 3.0, 3.0, 3.0  # seconds
# Requests that wait during a stop are run afterwards if their objective allows: here all of them.
HELD = (HOLD, 2 * HOLD, 2 * HOLD)  # seconds: latency objective, client timeout, and the routers' patience
ILL = ENTRY_TTL_SECONDS + 1.5  # seconds of a registry fault, after which entries have expired
GONE, WEAK = 2.0, 6.0  # seconds that the dependency is down, and that it is at half its capacity
WITHIN = 20.0  # seconds to wait for any condition, even on a busy machine
OVER = 2.0  # guaranteed maximum relative to the steady load, plus three standard deviations of a window
MOST = MANY * 2 / 3  # reports in one window; far more than with random phases, and fewer than without
SPARE = 2  # further reports in one window, at its edges
HALF = 0.5  # seconds of a longer window with less random variation
STOOD = WINDOW  # seconds that the fakes may have stalled in a run that measures windows
TRIES = 3
LIMIT = 110.0  # seconds of one run


class Stood(Protocol):
    @property
    def stood(self) -> float: ...


Told = TypeVar("Told", bound=Stood)


class Peaks(NamedTuple):
    """The fullest windows, and the bounds for windows of their length."""

    usual: float  # calls per second
    reports: float
    calls: float
    half: float  # calls in the fullest half second
    borne: float  # calls and connections
    stood: float  # seconds by which a window was longer because the fakes stalled

    def most_calls(self, window: float = WINDOW) -> float:
        usual = OVER * self.usual * (window + self.stood)
        return usual + 3 * usual**0.5

    @property
    def falls(self) -> float:
        """Calls and connections at which the dependency would have failed: four times the usual number."""
        usual = self.usual * (WINDOW + self.stood)
        return 4 * usual + 3 * usual**0.5

    @property
    def most_reports(self) -> float:
        return MOST + MANY / INTERVAL_SECONDS * self.stood


def peaks(here: Hundreds, since: float, until: float = float("inf")) -> Peaks:
    reports, calls, borne = here.list.load, here.base.load, here.base.borne
    return Peaks(
        MANY * here.all[0].rate, reports.peak(since, until) * WINDOW, calls.peak(since, until) * WINDOW,
        calls.peak(since, until, HALF) * HALF, borne.peak(since, until) * WINDOW,
        here.turns.longest(since, until),
    )  # fmt: skip


def ops(here: Hundreds) -> tuple[int, int]:
    """Requests sent, and requests served."""
    return sum(one.asked for one in here.all), sum(one.acked for one in here.all)


async def until(true: Callable[[], bool], within: float = WITHIN) -> None:
    with anyio.fail_after(within):
        while not true():
            await anyio.sleep(0.02)


@asynccontextmanager
async def hundreds(root: Path, rate: float = RATE, *terms: float) -> AsyncIterator[Hundreds]:
    """Run many processes, and wait until they have been running steadily for a moment."""
    here = Hundreds(MANY, root, rate, *terms)
    here.base.strength = Strength(float("inf"), float("inf"), 0.0)
    try:
        with anyio.fail_after(LIMIT):
            async with anyio.create_task_group() as tasks:
                await here.around(tasks)
                await here.start()
                await anyio.sleep(2.0)
                yield here
                tasks.cancel_scope.cancel()
    finally:
        here.end()


def played(play: Callable[[Path], Awaitable[Told]], *changes: Change) -> Told:
    """Run a scenario; repeat it a few times if the machine stalled the fakes that measure load."""

    async def once() -> Told:
        if not changes:
            return await play(PROGRAM)
        async with changed(*changes) as root:
            return await play(root)

    for _ in range(TRIES):
        found = anyio.run(once)
        if found.stood <= STOOD:
            break
    return found


class LetGo(NamedTuple):
    before: float  # reports in the fullest window, extended by the lateness with which reports are still sent
    after: Peaks
    stood: float


async def let_go(root: Path) -> LetGo:
    async with hundreds(root, RATE, *HELD) as here:
        began = time.time()
        await anyio.sleep(CALM)
        ended = time.time()
        back = await here.hold(HOLD, AFTER)
        after = peaks(here, back)
        window = WINDOW + LATENESS_TOLERANCE * INTERVAL_SECONDS + after.stood
        before = here.list.load.peak(began, ended, window) * window
        return LetGo(before, after, here.turns.longest(began))


class Ill(NamedTuple):
    """The result of one fault."""

    during: Peaks
    back: Peaks  # after the fault
    rate: float  # reports per second during the fault
    firsts: int  # processes started during it; their first reports are not delayed and may coincide
    asked: int  # requests during the fault
    acked: int


class Ills(NamedTuple):
    faults: dict[str, Ill]
    unanswered: int  # requests, except for those whose connection ended
    fallen: int  # processes that ended unexpectedly
    stood: float


async def listed(here: Hundreds, since: float) -> None:
    await until(lambda: all(here.list.names.get(one.name, 0.0) > since for one in here.all))


async def fault(here: Hundreds, begin: Callable[[], Awaitable[object]], end: Callable[[], Awaitable[object]],
                span: float = ILL) -> Ill:  # fmt: skip
    """Begin and end a fault; wait until all are listed again and most requests are served."""
    asked, acked = ops(here)
    began = time.time()
    await begin()
    await anyio.sleep(span)
    now, back = ops(here), time.time()
    await end()
    await listed(here, back)
    await anyio.sleep(max(0.0, back + AFTER - time.time()))
    await acking(here)
    return Ill(peaks(here, began, back), peaks(here, back, back + AFTER),
               here.list.load.steady(began, back), sum(one.started >= began for one in here.all),
               now[0] - asked, now[1] - acked)  # fmt: skip


async def acking(here: Hundreds) -> None:
    """Wait until most requests are served again."""
    with anyio.fail_after(WITHIN):
        while True:
            before = ops(here)
            await anyio.sleep(1.0)
            now = ops(here)
            if now[1] - before[1] > 0.8 * (now[0] - before[0]) > 0:
                return


async def over(here: Hundreds, faults: dict[str, Ill], began: float) -> Ills:
    """Stop sending requests, and give those in flight the time that they may take."""
    here.asking = False

    def missing() -> int:
        return sum(one.asked - one.answers - one.lost for one in here.all)

    await anyio.sleep(1.0)  # until the last requests are sent
    with suppress(TimeoutError):
        await until(lambda: not missing(), here.patience + SLACK)
    fallen = sum(one.process is None or one.process.poll() is not None for one in here.all)
    return Ills(faults, missing(), fallen, here.turns.longest(began))


async def ill_list(root: Path) -> Ills:
    """All faults of a registry in sequence; a third of the processes is restarted during the first."""
    async with hundreds(root) as here:
        began, found = time.time(), {}

        async def hangs() -> None:
            await here.list_falls(Fault.SILENT)
            await here.again()
            await until(lambda: all(one.answered for one in here.all))

        found["hangs"] = await fault(here, hangs, here.list_rises)
        found["503"] = await fault(here, partial(here.list_falls, Fault.ERROR_STATUS), here.list_rises)
        found["refuses"] = await fault(here, partial(here.list_falls, Fault.REFUSED), here.list_rises)
        return await over(here, found, began)


async def ill_base(root: Path) -> Ills:
    """Registry and dependency go down and recover at the same time. Then the dependency goes down, recovers
    to half of the load, and later fully; in between a third of the processes is restarted."""
    async with hundreds(root, MORE) as here:
        began, found = time.time(), {}

        async def gone() -> None:
            await here.list.shut()
            await here.base.shut()

        async def both_back() -> None:
            await here.list.open(here.tasks)
            await here.base.open(here.tasks)

        found["back"] = await fault(here, gone, both_back, AWAY)
        whole = here.base.strength.full

        async def weak() -> None:
            await here.base.shut()
            await anyio.sleep(GONE)
            here.base.strength.full = here.half
            await here.base.open(here.tasks)
            await anyio.sleep(WEAK / 2)
            await here.again()

        async def strong() -> None:
            here.base.strength.full = whole

        found["half"] = await fault(here, weak, strong, WEAK / 2)
        return await over(here, found, began)


class ColdStart(unittest.TestCase):
    """The fakes run in this process, so the event loop must not run in debug mode as unittest's does."""

    def spared(self, now: Peaks) -> None:
        self.assertLessEqual(now.calls, now.most_calls(), now)
        self.assertLessEqual(now.half, now.most_calls(HALF), now)
        self.assertLessEqual(now.borne, now.falls, now)

    def test_let_go_at_one_moment(self) -> None:
        found = played(let_go)
        self.assertLessEqual(found.after.reports, found.before + SPARE, found)
        self.assertLess(found.after.reports, found.after.most_reports, found)
        self.spared(found.after)

    def test_without_the_defence_all_come_at_once(self) -> None:
        """The same scenario, with late reports sent at once and calls that ignore the stall."""
        changes = (
            Change("thymeyoke/slow_start/heartbeat.py", "self.missed or is_on_time", "True or is_on_time"),
            Change("thymeyoke/slow_start/controller.py", "        self.rate_limiter.stalled(now)\n", ""),
        )
        found = played(let_go, *changes)
        after = found.after
        self.assertGreater(after.reports, after.most_reports, found)
        self.assertGreater(after.calls, after.most_calls(), found)
        self.assertGreater(after.half, after.most_calls(HALF), found)
        self.assertGreater(after.borne, after.falls, found)

    def whole(self, found: Ills) -> None:
        """Checks common to all faults."""
        self.assertEqual((found.unanswered, found.fallen), (0, 0), found)
        for what, ill in found.faults.items():
            with self.subTest(fault=what):
                for now in (ill.during, ill.back):
                    self.spared(now)
                    self.assertLess(now.reports, now.most_reports + ill.firsts, ill)
                self.assertLess(ill.rate, OVER * MANY / INTERVAL_SECONDS, ill)

    def test_list_that_hangs_says_503_and_refuses(self) -> None:
        """For longer than an entry's lifetime; requests are still served."""
        found = played(ill_list)
        self.whole(found)
        for ill in found.faults.values():
            self.assertGreater(ill.acked, ill.asked / 2, ill)

    def test_list_and_database_back_and_half_a_database(self) -> None:
        found = played(ill_base)
        self.whole(found)
        # Killed processes send nothing for a while, and calls beyond half the capacity are rejected.
        self.assertGreater(found.faults["half"].acked, MANY, found)


if __name__ == "__main__":
    unittest.main()
