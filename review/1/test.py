"""Case 1: a booking whose run has ended must not run again because the link to the processor broke.

The processor's link breaks now and then. The rule: a keyed request that has been run is not run again.
"""

from __future__ import annotations

import asyncio
import itertools
import os
import random
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
import standins as around  # noqa: E402

SECONDS = 95.0  # of traffic
RATE = 45.0  # requests a second, of all routers
SHARE = 1 / 3  # of the site's times, as work and deadlines scale with the number of requests
SEGMENT = (0.05, 0.12)  # seconds that a run computes before, between and after its calls
PIECES = 0.03  # seconds; what the processor says comes in pieces, up to so far apart
BREAK_EVERY = (1.0, 2.0)  # seconds
ROUTERS = 3
TENANTS = ("own-retail", "coral-net", "bula-homes", "reef-isp", "taveuni-link")


async def ask(routers: list[around.Router], tries: list[around.Try], draw: random.Random) -> None:
    """Send one request and wait for its answer."""
    kind = "slot-check" if draw.random() < 0.52 else "slot-book"
    key = f"{draw.getrandbits(128):032x}" if kind == "slot-book" else None
    one = around.new_try(kind, key, None, 3267 if kind == "slot-check" else 1967)
    tries.append(one)
    draw.choice(routers).send(one, draw.choice(TENANTS))
    await one.done.wait()


async def break_links(processor: around.Processor, draw: random.Random, ends_at: float) -> None:
    """Break the link to the processor now and then."""
    while time.time() < ends_at:
        await asyncio.sleep(draw.uniform(*BREAK_EVERY))
        processor.break_link()


async def play(record: around.Record, has_trouble: bool, folder: Path) -> int:
    """Play the case; returns the exit code."""
    seed = int.from_bytes(os.urandom(4))
    record.write("case", trouble=int(has_trouble), seed=seed)
    draw = random.Random(seed)
    processor = around.Processor(
        record, {"slot-check": (1, 2), "slot-book": (0, 1)}, SEGMENT, seed, pieces=PIECES
    )
    database, names = around.Database(record, (0.004, 0.016), seed), around.NameService()
    for one in (processor, database, names):
        await one.start()
    server = around.AppServer(folder, "n1", around.suva_settings(SHARE), {})
    server.start(processor.port, database.port, names.port)
    tries: list[around.Try] = []
    waiting: set[asyncio.Task[None]] = set()
    try:
        await around.ready(server.port)
        routers = [around.Router(record, processor, server.port, number) for number in range(ROUTERS)]
        for router in routers:
            await router.connect()
        ends_at = time.time() + SECONDS
        breaking = asyncio.create_task(break_links(processor, draw, ends_at)) if has_trouble else None
        while time.time() < ends_at:
            task = asyncio.create_task(ask(routers, tries, draw))
            waiting.add(task)
            task.add_done_callback(waiting.discard)
            await asyncio.sleep(draw.expovariate(RATE))
        if waiting:
            await asyncio.wait(waiting, timeout=3.0)
        if breaking:
            breaking.cancel()
    finally:
        code = await server.end()
    record.write("server_ended", code=code, links=processor.links, breaks=processor.breaks)
    return judge(record, processor, tries, has_trouble)


def judge(
    record: around.Record, processor: around.Processor, tries: list[around.Try], has_trouble: bool
) -> int:
    """Compare what was run with the rule; returns the exit code."""
    runs: dict[str, list[around.Run]] = {}
    for run in processor.all_runs:
        runs.setdefault(run.ref, []).append(run)
    twice = 0
    for ref, all_of_it in runs.items():
        for before, after in itertools.pairwise(all_of_it):
            if before.kind == "slot-book" and before.fate == "OK":
                twice += 1
                later = f"{(after.began_at - before.ended_at) * 1000:.1f}"
                record.write("RAN_TWICE", ref=ref, kind=before.kind, ms_after_its_end=later)
    served = sum(bool(one.answers) and one.answers[0][1] == "served" for one in tries)
    bookings = sum(one.kind == "slot-book" and one.ref in runs for one in tries)
    record.write(
        "verdict",
        tries=len(tries),
        served=served,
        breaks=processor.breaks,
        bookings=bookings,
        ran_twice=twice,
    )
    print(
        f"{len(tries)} requests, {served} served, {processor.breaks} breaks: {twice} of {bookings} "
        "bookings that had run to their end ran again"
    )
    if len(tries) < 1000 or served < len(tries) / 4 or (has_trouble and processor.breaks < 20):
        return 2
    return 1 if twice else 0


def main() -> int:
    """Play the case in a temporary folder."""
    around.end_on_sigterm()
    record = around.Record(HERE / "record.txt")
    try:
        with around.temporary_folder() as folder:
            return asyncio.run(play(record, os.environ.get("TROUBLE", "1") != "0", Path(folder)))
    except Exception as error:
        record.write("could_not_run", error=repr(error))
        print(f"could not run: {error!r}")
        return 2
    finally:
        record.close()


if __name__ == "__main__":
    sys.exit(main())
