"""One app server: its actors, put together and run until it has left."""

from __future__ import annotations

import errno
import gc
import logging
import signal
from asyncio import selector_events
from collections.abc import Awaitable, Callable
from time import time
from typing import Any

import anyio
from anyio.abc import TaskStatus

from thymeyoke.configuration.start_file import Address, BadStart, Names, Station
from thymeyoke.runtime import early_signals, extensions, logs
from thymeyoke.runtime.clock import clock
from thymeyoke.runtime.mailbox import post
from thymeyoke.server.dependency import Database
from thymeyoke.server.dispatcher import Desk
from thymeyoke.server.endpoint_registry import Roster
from thymeyoke.server.listener import Front
from thymeyoke.server.messages import Leave, Move
from thymeyoke.server.processor import Processor
from thymeyoke.slow_start.controller import ColdStart
from thymeyoke.slow_start.rate_limiter import terms

GARBAGE = (10000, 10, 10)  # ops leave next to no cycles behind: looking for them cost more than it freed
RESULTS_SHARE = 1 / 4  # of the process's memory: what retained results may take, beside all else in it
FLUSH = 0.05  # seconds that last answers may take to be written, at the end
AGAIN = 0.1  # seconds until an actor that failed starts again
LISTEN_RETRY = 0.05  # seconds between tries to bind an address that is in use
KILLED_WITHIN = 1.0  # seconds past its stop until a killed predecessor is gone, with its listener
# What asyncio sets aside for a read, 256 KiB by itself. What stays alive behind such a piece leaves gaps that
# the next one does not fit in, and the heap grows for as long as the server runs.
selector_events._SelectorTransport.max_size = 1 << 14  # type: ignore[attr-defined]


async def serve(
    station: Station, names: Names, given: dict[str, Any], again: Callable[[], Station],
    orders: Callable[[], extensions.Orders] = dict,
    *, task_status: TaskStatus[Address] = anyio.TASK_STATUS_IGNORED,
) -> None:  # fmt: skip
    """`again` and `orders` read the start file and the operators' file, at the start and on SIGHUP."""
    desk = Desk(station.stop, given, RESULTS_SHARE * station.memory)
    front = Front(names, station.descriptors, given["callers"].idle, desk.inbox)
    cold = ColdStart(clock(), given["seed"], station.name, terms(given), early_signals.since())
    processor = Processor(station.processor, names, desk.inbox, cold)
    database = Database(station.database, desk.inbox, cold)
    roster = Roster(station.roster, station.name, cold)
    desk.meet(front, processor, database, roster)

    around = extensions.Around(given["seed"], desk.inbox, station.name, names, station.listen)
    desk.stands(extensions.build(orders(), around))

    latest = station  # the last one that was taken

    def moves() -> None:
        """The start file again: peers may be elsewhere. What it says besides waits for the next start."""
        nonlocal latest
        try:
            new = again()
        except Exception as error:  # whatever is wrong with it, what was read before still holds, whole
            logs.counts["start_file_bad"] += 1
            return logs.say(logging.ERROR, "start file not taken", error)
        peers = (
            (processor, latest.processor, new.processor),
            (database, latest.database, new.database),
            (roster, latest.roster, new.roster),
        )
        latest = new
        for peer, last_told, where in peers:
            # The list's client takes an address up only when its report is over: by `peer.where` alone one
            # that is back before that would change nothing, and the address between the two would stay.
            if last_told != where or peer.where != where:
                peer.tell(Move(where))
        logs.say(logging.INFO, "start file read again", processor=new.processor, database=new.database)

    def reforms() -> None:
        """The operators' file again. Whatever is wrong with it, the old one stays in force, whole."""
        try:
            sides, new = extensions.reform(desk.behind, orders(), around)
        except Exception as error:
            logs.counts["orders_bad"] += 1
            return logs.say(logging.ERROR, "operators' file not taken", error)
        desk.stands(sides)
        extensions.run(tasks, new)

    try:
        where = await _listen(front, station)
        if where is None:
            return logs.say(logging.INFO, "left", name=station.name, why="told so before it could listen")
        logs.say(logging.INFO, "listening", name=station.name, address=where)
        gc.set_threshold(*GARBAGE)
        gc.collect()
        gc.freeze()  # what was made at the start stays, and need not be looked at again
        async with anyio.create_task_group() as tasks:
            for actor in (front, processor, database, roster):
                tasks.start_soon(_kept_up, actor.run)
            extensions.run(tasks, desk.behind)
            await tasks.start(_signals, desk, (moves, reforms))
            task_status.started(where)
            await desk.run()
            with anyio.move_on_after(FLUSH):
                await front.flush()
            tasks.cancel_scope.cancel()
    finally:
        desk.inbox.close()
        desk.events.close()
        front.close()
        for side in desk.behind:
            side.close()
        for peer in (processor, database, roster):
            peer.outbox.close()
            peer.unsent.close()
    desk.tell_counts()
    logs.say(logging.INFO, "left", name=station.name)


async def _listen(front: Front, station: Station) -> Address | None:
    """The address once it is bound; None where a notice to leave came first.

    A restarted server can find its address in use by the one before it, which drains until it is killed: the
    stop's span past its notice at the latest. Nobody can reach the new one before, so nothing is owed.
    """
    give_up_at = clock() + station.stop + KILLED_WITHIN
    waits = False
    while True:
        try:
            return await front.listen(station.listen)
        except (OSError, ValueError) as error:
            in_use = isinstance(error, OSError) and error.errno == errno.EADDRINUSE
            if not in_use or clock() >= give_up_at:
                raise BadStart(f"cannot listen on {station.listen}: {error}") from None
        if early_signals.noticed():
            return None
        if not waits:
            waits = True
            span = station.stop + KILLED_WITHIN
            logs.say(logging.WARNING, "address in use, tried again", address=station.listen, within=span)
        await anyio.sleep(LISTEN_RETRY)


async def _kept_up(run: Callable[[], Awaitable[None]]) -> None:
    """An error that an actor did not foresee ends what it does, not the server."""
    while True:
        try:
            return await run()
        except Exception as error:
            logs.counts["actor_error"] += 1
            logs.say(logging.ERROR, "actor starts again", error)
            await anyio.sleep(AGAIN)


async def _signals(
    desk: Desk, again: tuple[Callable[[], None], ...],
    *, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
) -> None:  # fmt: skip
    """SIGTERM is the notice to leave; a second one changes nothing. SIGHUP asks to read the files again,
    during a drain as well."""
    notice: list[float] = []  # when it came: the event loop hears of it only when it is through with its turn

    def stamp(*_: Any) -> None:  # not by `clock`: it may stand in the middle of one
        notice.append(time())

    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
        for (
            number
        ) in early_signals.NOTICES:  # in place of a handler that does nothing; what wakes the loop stays
            signal.signal(number, stamp)
            signal.siginterrupt(number, False)
        if (waited := early_signals.let_go()) is not None:
            notice.insert(0, waited)
        task_status.started()
        try:
            async for number in signals:
                if number == signal.SIGHUP:
                    for read in again:
                        read()
                else:
                    await post(desk.inbox, Leave(notice[0]))
        finally:
            early_signals.hold_again()
