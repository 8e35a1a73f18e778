"""For the drills: a fleet with its customers at ease, and what must hold of them."""

from __future__ import annotations

import asyncio
import functools
import sys
import unittest
from collections import Counter
from collections.abc import AsyncIterator, Collection
from contextlib import asynccontextmanager
from typing import Any

from fakes.clients import Crowd, described
from fakes.processes import STARVED, Drill, drill

MOST_STARVED = 0.2  # share of a drill's time: one that failed is played again from it on
PLAYS = 3


@asynccontextmanager
async def fleet(
    seed: int, customers: int = 24, limit: float = 60.0, **shape: Any
) -> AsyncIterator[tuple[Drill, Crowd]]:
    """Up, with all its app servers ripe, and with customers that have all been answered."""
    async with drill(seed, limit, **shape) as here:
        await here.up()
        await here.ripe()
        crowd = Crowd(here)
        crowd.add(customers)
        await crowd.answered(2)
        yield here, crowd


def starved(error: BaseException) -> float:
    """For a drill that failed: the share of its time for which its processes waited for a core."""
    notes = [note for note in getattr(error, "__notes__", ()) if note.startswith(STARVED)]
    return float(notes[0].removeprefix(STARVED)) if notes else 0.0


def played(test: Any) -> Any:
    """Again, where the machine had so little for its processes that they take each other for dead."""

    @functools.wraps(test)
    async def plays(self: Drills) -> None:
        for left in reversed(range(PLAYS)):
            try:
                return await test(self)
            except Exception as error:
                if not left or starved(error) < MOST_STARVED:
                    raise
                print(f"drill: played again, {error}", file=sys.stderr, flush=True)

    return plays


class Drills(unittest.IsolatedAsyncioTestCase):
    """Cases that start processes. `keeps`, `answers` and `once` are what most of them hold at the end."""

    def __init_subclass__(cls) -> None:
        for name, test in list(vars(cls).items()):
            if name.startswith("test_"):
                setattr(cls, name, played(test))

    async def asyncSetUp(self) -> None:
        asyncio.get_running_loop().set_debug(False)  # it stands in for many, and must not be the slow one

    def keeps(self, crowd: Crowd, since: float, besides: Collection[str] = ()) -> None:
        """No customer changed its server, but for those whose server was one of `besides`, and those once."""
        changed = crowd.changed(since, besides)
        self.assertEqual(len(changed), 0, f"customers that changed their server, {described(changed)}")
        often = {who: n for who, n in Counter(one.customer for one in crowd.changed(since)).items() if n > 1}
        self.assertEqual(often, {}, "customers that changed their server more than once")

    def answers(self, crowd: Crowd, since: float = 0.0, besides: Collection[str] = ()) -> None:
        """Each op had its one answer in time. To be nacked is one, on a busy machine; most are acked."""
        ill = crowd.ill(since, besides)
        self.assertEqual(len(ill), 0, f"ops without an answer, {described(ill)}")
        most = max(0.0, 0.5 - crowd.drill.starved())
        self.assertGreater(crowd.fates["acked"], most * sum(crowd.fates.values()), crowd.fates)

    async def ends(self, crowd: Crowd, since: float = 0.0) -> None:
        """The customers come to an end: each op was answered, and no keyed one ran twice."""
        await crowd.stop()
        self.answers(crowd, since)
        self.once(crowd)

    def once(self, crowd: Crowd, besides: Collection[str] = ()) -> None:
        """No keyed op ran twice, and many were repeated."""
        self.assertEqual(crowd.twice(besides), [], "keyed ops that ran twice")
        asked = Counter(one.body for one in crowd.tries if crowd.bodies[one.body])
        self.assertGreater(sum(many > 1 for many in asked.values()), 5, "few keyed ops were repeated")
