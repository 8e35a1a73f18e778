"""Case 2: a reply that is sent again after a broken link must not be taken for the reply to the next call.

The processor's link breaks now and then. The rule: the reply to a call reaches the processor unchanged, and a
request is served with the result that the processor made for it.
"""

from __future__ import annotations

import asyncio
import os
import random
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
import standins as around  # noqa: E402

SECONDS = 80.0  # of traffic
RATE = 45.0  # requests a second, of all routers
SHARE = 1 / 3  # of the site's times, as work and deadlines scale with the number of requests
SEGMENT = (0.02, 0.06)  # seconds that a run computes before, between and after its calls
READS_AFTER = 0.005  # seconds after which the processor carries out a command; a break loses those before it
BREAK_EVERY = (1.0, 2.0)  # seconds
ROUTERS = 3
TENANTS = ("own-retail", "coral-net", "bula-homes", "reef-isp", "taveuni-link")
SLACK = 0.15  # seconds: the settings' slack, and 50 ms more on sockets


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
        record, {"slot-check": (1, 3), "slot-book": (1, 2)}, SEGMENT, seed, READS_AFTER
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
    return judge(record, processor, database, tries)


def judge(
    record: around.Record, processor: around.Processor, database: around.Database, tries: list[around.Try]
) -> int:
    """Compare what was sent, answered and run with the rule; returns the exit code."""
    wrong_replies = wrong_results = lost = served = 0
    for run in processor.all_runs:
        for call, reply in run.replies:
            if reply not in database.replies.get(call, []):
                wrong_replies += 1
                record.write("WRONG_REPLY", ref=run.ref, call=call.decode(), reply=reply.decode())
    for one in tries:
        if not one.answers or one.answers[0][0] > one.written_at + one.allow / 1000 + SLACK:
            lost += not one.is_given_up
            record.write("LATE_OR_NONE", ref=one.ref)
            continue
        if one.answers[0][1] != "served":
            continue
        served += 1
        run = processor.runs.get(one.ref)
        result = one.answers[0][2]
        if run is None or run.result != result or not is_right(run, result, database):
            wrong_results += 1
            record.write("WRONG_RESULT", ref=one.ref, result=one.answers[0][2].decode())
    repeated = len(processor.all_runs) - len(processor.runs)
    twice = sum(len(one.answers) > 1 for one in tries)
    record.write(
        "verdict", tries=len(tries), served=served, breaks=processor.breaks, wrong_replies=wrong_replies,
        wrong_results=wrong_results, lost=lost, runs_twice=repeated, answered_twice=twice,
    )  # fmt: skip
    print(
        f"{len(tries)} requests, {served} served, {processor.breaks} breaks of the link: {wrong_replies} "
        f"replies reached the processor changed, {wrong_results} requests were served with a wrong result, "
        f"{lost} had no answer in time"
    )
    if len(tries) < 100 or served < len(tries) / 4:
        return 2
    return 1 if wrong_replies or wrong_results else 0


def is_right(run: around.Run, result: bytes, database: around.Database) -> bool:
    """Whether a result is what the run makes with the database's replies to its own calls."""
    did, *replies = result.split(b"|")
    expected = [call for call, _ in run.replies]
    pairs = zip(expected, replies, strict=True)
    return did == b"did " + run.body and all(reply in database.replies.get(call, []) for call, reply in pairs)


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
