"""The actor behind the desk: what ops used goes to the book in groups, off the event loop; answers wait for
it where the operators say so, and never past a stated moment.

Bounds: `MOST` uses that are not in the book yet. Past half of them ops are refused where `full = refuse`;
past all of them uses are lost, and counted. An answer that waits is told when its use is in the book, or at
its moment.
"""

from __future__ import annotations

import logging
import sqlite3
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from heapq import heappop, heappush
from pathlib import Path
from random import Random
from threading import Lock
from typing import NamedTuple, TypeVar

import anyio
from anyio import to_thread
from anyio.streams.memory import MemoryObjectSendStream

from thymeyoke.ledger import exporter
from thymeyoke.ledger.configuration import Ledger
from thymeyoke.ledger.usage_entries import Kind, Recent, Use
from thymeyoke.ledger.usage_journal import BadBook, Book, Made
from thymeyoke.runtime import logs
from thymeyoke.runtime.clock import clock
from thymeyoke.runtime.extensions import (
    Answer,
    AnswerReceiver,
    ConfigurationChanged,
    DrainStarted,
    ExtensionContext,
    HostConfigurationError,
    RequestCompletion,
    ServerStatus,
    StatusQuery,
    Verdict,
)

MOST = 20_000
GROUP = 1000
CLOSE_EVERY = 1.0  # seconds between looks for what may close
RETRY, RETRY_TOP = 0.1, 5.0  # seconds after a commit that failed, doubling
KINDS = {
    Verdict.SERVED: Kind.ACKED,
    Verdict.REJECTED: Kind.NACKED,
    Verdict.FAILED: Kind.FAILED,
    None: Kind.GONE,
}

Found = TypeVar("Found")


class Waiting(NamedTuple):
    asker: AnswerReceiver
    answer: Answer
    until: float


class Pending:
    """A use on its way to the book, and the answer that waits for it, until it is told."""

    def __init__(self, use: Use, waiting: Waiting | None) -> None:
        self.use, self.waiting = use, waiting

    def tell(self) -> None:
        if self.waiting is not None:
            waiting, self.waiting = self.waiting, None
            waiting.asker.send(waiting.answer)


class UsageRecorder:
    """Stands behind the desk while the operators' file has `[ledger]`."""

    name = "ledger"
    observes_requests, extends_drain = True, False

    def __init__(self, told: Ledger, around: ExtensionContext) -> None:
        self.told, self.rng = told, Random(around.seed)
        self.who = around.name
        self.tenants, self.types = (
            list(around.request_names.tenants) or [""],
            list(around.request_names.request_classes),
        )
        self.desk: MemoryObjectSendStream[StatusQuery] = around.dispatcher
        self.recent = Recent()
        self.queue: deque[Pending] = deque()
        self.group: list[Pending] = []  # being committed
        self.late: list[
            tuple[float, int, Pending]
        ] = []  # answers by the moment that they are told at the latest
        self.order = 0
        self.stirred = anyio.Event()
        self.timed = anyio.Event()
        self.too_large = self.over = self.running = False
        self.book: Book | None = None
        self.limiter = anyio.CapacityLimiter(1)
        self.using = Lock()  # the book's file
        self.left_over: Book | None = None  # to be closed by the thread that is at it
        self.sender: exporter.Exporter | None = None

    # The seam.

    def notify(self, what: ServerStatus | DrainStarted | ConfigurationChanged) -> None:
        if isinstance(what, ConfigurationChanged):
            if what.section is None:
                self.over = True
                self.stirred.set()
            elif what.section != self.told:
                logs.log_event(logging.WARNING, "ledger_change_deferred")

    def accepts_requests(self) -> bool:
        """Whether an op may come in: with `refuse`, only while its use can be kept."""
        return self.told.full != "refuse" or not (self.too_large or len(self.queue) >= MOST // 2)

    def has_pending_answers(self) -> bool:
        """Whether something is still on its way to the book: a drain waits for it, as long as it may."""
        return bool(self.late or self.queue or self.group)

    def request_completed(self, op: RequestCompletion) -> None:
        """An op's end, told with its answer where it gets one. The answer is this actor's to tell."""
        kind = Kind.REPEAT if op.is_repeat and op.verdict is Verdict.SERVED else KINDS[op.verdict]
        tenant = self.tenants[op.tenant] if op.tenant < len(self.tenants) else ""
        use = Use(
            op.at,
            tenant,
            self.types[op.class_index],
            kind,
            op.run_time,
            op.calls,
            op.priority_weight,
            op.size_bytes,
            op.id,
        )
        self.recent.add(op.at, tenant, op.run_time)
        waiting = Waiting(op.client, op.answer, op.answer_by) if op.client and op.answer else None
        pending = Pending(use, waiting)
        if len(self.queue) >= MOST or (self.too_large and self.told.full == "lose"):
            logs.counters["ledger_lost"] += 1
            return pending.tell()
        if waiting is not None:
            if kind not in (Kind.ACKED, Kind.REPEAT) or self.told.answers == "before":
                pending.tell()  # what is given up is told at once, whatever the book does
            elif not self.running:
                logs.counters["ledger_told_unbacked"] += 1
                pending.tell()
            else:
                self.order += 1
                heappush(self.late, (waiting.until, self.order, pending))
                self.timed.set()
        self.queue.append(pending)
        self.stirred.set()

    def close(self) -> None:
        """A thread that was abandoned may still be at the book: then it closes it. A file closed under
        a statement ends the process."""
        if self.book is not None:
            book, self.book = self.book, None
            if self.using.acquire(blocking=False):
                with suppress(Exception):
                    book.close_file()
                self.using.release()
            else:
                self.left_over = book

    # The book.

    async def run(self) -> None:
        self.running = True  # without it nobody would tell an answer that waits
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._tell_late)
                self.book = await self._opened()
                if self.told.receiver is not None:
                    self.sender = exporter.Exporter(
                        self.told.receiver, self.who, self.rng, self.book, self._off
                    )
                    tasks.start_soon(self.sender.run)
                await self._keep()
                tasks.cancel_scope.cancel()
        finally:
            self.running, self.sender = False, None
            self.queue.extendleft(reversed(self.group))
            self.group = []
            for _, _, pending in self.late:
                pending.tell()
            self.late.clear()
            self.close()

    async def _opened(self) -> Book:
        path, durable = Path(self.told.path), self.told.answers == "after"
        try:
            return await self._off(lambda: Book(path, self.told.period, durable))
        except BadBook as error:
            logs.counters["ledger_bad_book"] += 1
            raise RuntimeError(f"no ledger: {error}") from None

    async def _off(self, what: Callable[[], Found]) -> Found:
        """In a thread; one at a time. A disk that hangs holds up the thread, not the server."""

        def work() -> Found:
            with self.using:
                try:
                    return what()
                finally:
                    if self.left_over is not None:
                        self.left_over.close_file()
                        self.left_over = None

        return await to_thread.run_sync(work, abandon_on_cancel=True, limiter=self.limiter)

    async def _keep(self) -> None:
        pause, close_at = RETRY, clock()
        while not (self.over and not self.queue):
            if self.queue and not self.group:
                self.group = [self.queue.popleft() for _ in range(min(GROUP, len(self.queue)))]
            try:
                if self.group:
                    await self._commit()
                if clock() >= close_at:
                    close_at = clock() + CLOSE_EVERY
                    await self._close()
                pause = RETRY
            except sqlite3.Error as error:  # full, or broken: the group stays and is tried again
                logs.counters["ledger_commit_failed"] += 1
                if pause == RETRY:
                    logs.log_event(logging.ERROR, "ledger_commit_failed", error)
                await anyio.sleep(pause)
                pause = min(RETRY_TOP, 2 * pause)
                continue
            if not self.queue:
                self.stirred = anyio.Event()
                with anyio.move_on_after(max(0.0, close_at - clock())):
                    await self.stirred.wait()

    async def _commit(self) -> None:
        book, group = self.book, self.group
        assert book is not None
        made = await self._off(lambda: book.append([pending.use for pending in group]))
        self.group = []
        logs.counters["ledger_entries"] += made
        logs.counters["ledger_groups"] += 1
        for pending in group:
            pending.tell()
        while self.late and self.late[0][2].waiting is None:
            heappop(self.late)

    async def _close(self) -> None:
        book = self.book
        assert book is not None

        def work() -> tuple[list[Made], int, int, int]:
            made = book.close(clock())
            folded = book.fold(self.told.keep) if made or self.too_large else 0
            return made, folded, book.size(), book.meta("kept")

        made, folded, size, kept = await self._off(work)
        logs.counters["ledger_batches"] += len(made)
        logs.counters["ledger_folded"] += folded
        was, self.too_large = self.too_large, size > self.told.limit_mb << 20
        if self.too_large and not was:
            logs.log_event(logging.ERROR, "ledger_full", size=size, full=self.told.full)
        shares = self.recent.shares(clock())
        for old in [name for name in logs.gauges if name.startswith("ledger_share_")]:
            del logs.gauges[old]
        for tenant, share in list(shares.items())[:8]:
            logs.gauges[f"ledger_share_{tenant or 'none'}"] = round(share, 3)
        if self.sender is not None:
            self.sender.made(made, kept)

    async def _tell_late(self) -> None:
        """No answer waits on the disk past its moment: then it goes without, and that is counted."""
        while True:
            now = clock()
            while self.late and (self.late[0][0] <= now or self.late[0][2].waiting is None):
                pending = heappop(self.late)[2]
                if pending.waiting is not None:
                    logs.counters["ledger_told_unbacked"] += 1
                    pending.tell()
            self.timed = anyio.Event()
            span = self.late[0][0] - clock() if self.late else float("inf")
            with anyio.move_on_after(max(0.0, span)):
                await self.timed.wait()


def check_host(told: Ledger) -> None:
    """Whether this machine can carry the section out; `behind.Refused` else."""
    try:
        Book(Path(told.path), told.period, begin=False).close_file()
    except BadBook as error:
        raise HostConfigurationError(f"[ledger] path: {error}") from None
    except (OSError, sqlite3.Error) as error:
        raise HostConfigurationError(
            f"[ledger] path: {told.path} can't be written ({error}); give a folder that can"
        ) from None


def create_extension(told: Ledger, around: ExtensionContext) -> UsageRecorder:
    return UsageRecorder(told, around)
