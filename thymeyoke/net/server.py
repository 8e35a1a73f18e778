"""One app server: its actors, put together and run until it has left."""

from __future__ import annotations

import gc
import logging
import signal
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
from anyio.abc import TaskStatus

from thymeyoke.net import log
from thymeyoke.net.database import Database
from thymeyoke.net.desk import Desk
from thymeyoke.net.front import Front
from thymeyoke.net.mail import Leave, post
from thymeyoke.net.processor import Processor
from thymeyoke.net.roster import Roster
from thymeyoke.start import Address, Names, Station

AGAIN = 0.1  # seconds until an actor that failed starts again


async def serve(
    station: Station, names: Names, given: dict[str, Any],
    *, task_status: TaskStatus[Address] = anyio.TASK_STATUS_IGNORED,
) -> None:  # fmt: skip
    desk = Desk(station.stop, given)
    front = Front(names, station.descriptors, given["callers"].idle, desk.inbox)
    processor = Processor(station.processor, names, desk.inbox)
    database = Database(station.database, desk.inbox)
    roster = Roster(station.roster, station.name)
    desk.meet(front, processor, database, roster)
    where = await front.listen(station.listen)
    log.say(logging.INFO, "listening", name=station.name, address=where)
    gc.collect()
    gc.freeze()  # what was made at the start stays, and need not be looked at again
    try:
        async with anyio.create_task_group() as tasks:
            for actor in (front, processor, database, roster):
                tasks.start_soon(_kept_up, actor.run)
            tasks.start_soon(_notice, desk)
            task_status.started(where)
            await desk.run()
            tasks.cancel_scope.cancel()
    finally:
        desk.inbox.close()
        for peer in (processor, database, roster):
            peer.outbox.close()
            peer.unsent.close()
    desk.tell_counts()
    log.say(logging.INFO, "left", name=station.name)


async def _kept_up(run: Callable[[], Awaitable[None]]) -> None:
    """An error that an actor did not foresee ends what it does, not the server."""
    while True:
        try:
            return await run()
        except Exception as error:
            log.counts["actor_error"] += 1
            log.say(logging.ERROR, "actor starts again", error)
            await anyio.sleep(AGAIN)


async def _notice(desk: Desk) -> None:
    """SIGTERM is the notice to leave; a second one changes nothing."""
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            await post(desk.inbox, Leave())
            break
        await anyio.sleep_forever()
