"""Actor that writes the usage of requests to the journal, in groups and off the event loop.

With `answers = after`, served answers wait until their usage is committed, but never past the deadline that
the dispatcher has set.

At most `MAX_PENDING_USAGES` are waiting to be written. At half of that, requests are rejected if `full =
refuse`; at the limit, usage is dropped and counted.
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
from thymeyoke.ledger.usage_entries import Kind, RecentRunTimes, RequestUsage
from thymeyoke.ledger.usage_journal import BatchReference, StoreError, UsageJournal
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

MAX_PENDING_USAGES = 20_000
MAX_GROUP_SIZE = 1000
CLOSE_INTERVAL = 1.0  # seconds
RETRY_DELAY, MAX_RETRY_DELAY = 0.1, 5.0  # seconds; doubled with each failed commit
KIND_BY_VERDICT = {
    Verdict.SERVED: Kind.ACKED,
    Verdict.REJECTED: Kind.NACKED,
    Verdict.FAILED: Kind.FAILED,
    None: Kind.GONE,
}

Result = TypeVar("Result")


class DelayedAnswer(NamedTuple):
    """An answer that waits for the commit of its request's usage, and the latest time to send it."""

    client: AnswerReceiver
    answer: Answer
    deadline: float


class PendingUsage:
    """Usage to be written, with the answer that waits for it, if any."""

    def __init__(self, usage: RequestUsage, delayed_answer: DelayedAnswer | None) -> None:
        self.usage, self.delayed_answer = usage, delayed_answer

    def send_answer(self) -> None:
        """Send the answer, unless it was already sent."""
        if self.delayed_answer is not None:
            delayed_answer, self.delayed_answer = self.delayed_answer, None
            delayed_answer.client.send(delayed_answer.answer)


class UsageRecorder:
    """Extension for the section `[ledger]`."""

    name = "ledger"
    observes_requests, extends_drain = True, False

    def __init__(self, settings: Ledger, context: ExtensionContext) -> None:
        self.settings, self.rng = settings, Random(context.seed)
        self.server_name = context.name
        self.tenants = list(context.request_names.tenants) or [""]
        self.request_classes = list(context.request_names.request_classes)
        self.dispatcher: MemoryObjectSendStream[StatusQuery] = context.dispatcher
        self.recent_run_times = RecentRunTimes()
        self.queue: deque[PendingUsage] = deque()
        self.group: list[PendingUsage] = []  # being committed
        self.delayed_answers: list[tuple[float, int, PendingUsage]] = []  # heap by deadline
        self.next_order = 0
        self.wakeup = anyio.Event()
        self.deadline_added = anyio.Event()
        self.too_large = self.stopping = self.running = False
        self.journal: UsageJournal | None = None
        self.limiter = anyio.CapacityLimiter(1)
        self.journal_lock = Lock()  # held while the database is in use
        self.journal_to_close: UsageJournal | None = None  # closed by the thread that still uses it
        self.exporter: exporter.Exporter | None = None

    # Interface of extensions.

    def notify(self, event: ServerStatus | DrainStarted | ConfigurationChanged) -> None:
        """Receive a notification; a changed section takes effect at the next start."""
        if isinstance(event, ConfigurationChanged):
            if event.section is None:
                self.stopping = True
                self.wakeup.set()
            elif event.section != self.settings:
                logs.log_event(logging.WARNING, "ledger_change_deferred")

    def accepts_requests(self) -> bool:
        """Return whether requests may be admitted: with `full = refuse` only while usage can be stored."""
        return self.settings.full != "refuse" or not (
            self.too_large or len(self.queue) >= MAX_PENDING_USAGES // 2
        )

    def has_pending_answers(self) -> bool:
        """Return whether usage or answers are still pending; a drain waits for them."""
        return bool(self.delayed_answers or self.queue or self.group)

    def request_completed(self, completion: RequestCompletion) -> None:
        """Record the end of a request, and send its answer if it has one."""
        kind = (
            Kind.REPEAT
            if completion.is_repeat and completion.verdict is Verdict.SERVED
            else KIND_BY_VERDICT[completion.verdict]
        )
        tenant = self.tenants[completion.tenant] if completion.tenant < len(self.tenants) else ""
        usage = RequestUsage(
            completion.at,
            tenant,
            self.request_classes[completion.class_index],
            kind,
            completion.run_time,
            completion.calls,
            completion.priority_weight,
            completion.size_bytes,
            completion.id,
        )
        self.recent_run_times.add(completion.at, tenant, completion.run_time)
        delayed_answer = (
            DelayedAnswer(completion.client, completion.answer, completion.answer_by)
            if completion.client and completion.answer
            else None
        )
        pending = PendingUsage(usage, delayed_answer)
        if len(self.queue) >= MAX_PENDING_USAGES or (self.too_large and self.settings.full == "lose"):
            logs.counters["ledger_lost"] += 1
            return pending.send_answer()
        if delayed_answer is not None:
            if kind not in (Kind.ACKED, Kind.REPEAT) or self.settings.answers == "before":
                pending.send_answer()  # only served requests wait for the commit
            elif not self.running:
                logs.counters["ledger_told_unbacked"] += 1
                pending.send_answer()
            else:
                self.next_order += 1
                heappush(self.delayed_answers, (delayed_answer.deadline, self.next_order, pending))
                self.deadline_added.set()
        self.queue.append(pending)
        self.wakeup.set()

    def close(self) -> None:
        """Close the journal, or leave that to an abandoned thread that still uses it.

        Closing the database during a statement would crash the process.
        """
        if self.journal is not None:
            journal, self.journal = self.journal, None
            if self.journal_lock.acquire(blocking=False):
                with suppress(Exception):
                    journal.close_database()
                self.journal_lock.release()
            else:
                self.journal_to_close = journal

    # Writing the journal.

    async def run(self) -> None:
        """Write usage and export it until the section is removed or the task is cancelled."""
        self.running = True  # otherwise nothing sends delayed answers
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._send_overdue_answers)
                self.journal = await self._open_journal()
                if self.settings.receiver is not None:
                    self.exporter = exporter.Exporter(
                        self.settings.receiver, self.server_name, self.rng, self.journal, self._run_in_thread
                    )
                    tasks.start_soon(self.exporter.run)
                await self._write_usages()
                tasks.cancel_scope.cancel()
        finally:
            self.running, self.exporter = False, None
            self.queue.extendleft(reversed(self.group))
            self.group = []
            for _, _, pending in self.delayed_answers:
                pending.send_answer()
            self.delayed_answers.clear()
            self.close()

    async def _open_journal(self) -> UsageJournal:
        """Open the journal in a thread."""
        path, durable = Path(self.settings.path), self.settings.answers == "after"
        try:
            return await self._run_in_thread(lambda: UsageJournal(path, self.settings.period, durable))
        except StoreError as error:
            logs.counters["ledger_bad_book"] += 1
            raise RuntimeError(f"usage journal can't be opened: {error}") from None

    async def _run_in_thread(self, call: Callable[[], Result]) -> Result:
        """Run a blocking call in a thread, one at a time, so that a slow disk can't block the event loop."""

        def work() -> Result:
            with self.journal_lock:
                try:
                    return call()
                finally:
                    if self.journal_to_close is not None:
                        self.journal_to_close.close_database()
                        self.journal_to_close = None

        return await to_thread.run_sync(work, abandon_on_cancel=True, limiter=self.limiter)

    async def _write_usages(self) -> None:
        """Commit pending usage and close periods; failed commits are retried with a growing delay."""
        pause, close_at = RETRY_DELAY, clock()
        while not (self.stopping and not self.queue):
            if self.queue and not self.group:
                self.group = [self.queue.popleft() for _ in range(min(MAX_GROUP_SIZE, len(self.queue)))]
            try:
                if self.group:
                    await self._commit_group()
                if clock() >= close_at:
                    close_at = clock() + CLOSE_INTERVAL
                    await self._close_periods()
                pause = RETRY_DELAY
            except sqlite3.Error as error:  # disk full or failed; the group is kept and retried
                logs.counters["ledger_commit_failed"] += 1
                if pause == RETRY_DELAY:
                    logs.log_event(logging.ERROR, "ledger_commit_failed", error)
                await anyio.sleep(pause)
                pause = min(MAX_RETRY_DELAY, 2 * pause)
                continue
            if not self.queue:
                self.wakeup = anyio.Event()
                with anyio.move_on_after(max(0.0, close_at - clock())):
                    await self.wakeup.wait()

    async def _commit_group(self) -> None:
        """Commit the current group and send the answers that wait for it."""
        journal, group = self.journal, self.group
        assert journal is not None
        entry_count = await self._run_in_thread(lambda: journal.append([pending.usage for pending in group]))
        self.group = []
        logs.counters["ledger_entries"] += entry_count
        logs.counters["ledger_groups"] += 1
        for pending in group:
            pending.send_answer()
        while self.delayed_answers and self.delayed_answers[0][2].delayed_answer is None:
            heappop(self.delayed_answers)

    async def _close_periods(self) -> None:
        """Close periods, compact the journal and update the metrics."""
        journal = self.journal
        assert journal is not None

        def work() -> tuple[list[BatchReference], int, int, int]:
            batches = journal.close_periods(clock())
            compacted = journal.compact(self.settings.keep) if batches or self.too_large else 0
            return batches, compacted, journal.size_bytes(), journal.read_meta("kept")

        batches, compacted, size, first_kept = await self._run_in_thread(work)
        logs.counters["ledger_batches"] += len(batches)
        logs.counters["ledger_folded"] += compacted
        was_too_large, self.too_large = self.too_large, size > self.settings.limit_mb << 20
        if self.too_large and not was_too_large:
            logs.log_event(logging.ERROR, "ledger_full", size=size, full=self.settings.full)
        shares = self.recent_run_times.shares(clock())
        for outdated in [name for name in logs.gauges if name.startswith("ledger_share_")]:
            del logs.gauges[outdated]
        for tenant, share in list(shares.items())[:8]:
            logs.gauges[f"ledger_share_{tenant or 'none'}"] = round(share, 3)
        if self.exporter is not None:
            self.exporter.batches_created(batches, first_kept)

    async def _send_overdue_answers(self) -> None:
        """Send answers whose deadline has come before their usage was committed, and count them."""
        while True:
            now = clock()
            while self.delayed_answers and (
                self.delayed_answers[0][0] <= now or self.delayed_answers[0][2].delayed_answer is None
            ):
                pending = heappop(self.delayed_answers)[2]
                if pending.delayed_answer is not None:
                    logs.counters["ledger_told_unbacked"] += 1
                    pending.send_answer()
            self.deadline_added = anyio.Event()
            span = self.delayed_answers[0][0] - clock() if self.delayed_answers else float("inf")
            with anyio.move_on_after(max(0.0, span)):
                await self.deadline_added.wait()


def check_host(settings: Ledger) -> None:
    """Check that the journal can be opened on this machine; raises `HostConfigurationError` otherwise."""
    try:
        UsageJournal(Path(settings.path), settings.period, is_start=False).close_database()
    except StoreError as error:
        raise HostConfigurationError(f"[ledger] path: {error}") from None
    except (OSError, sqlite3.Error) as error:
        raise HostConfigurationError(
            f"[ledger] path: {settings.path} is not writable ({error}); give a writable folder"
        ) from None


def create_extension(settings: Ledger, context: ExtensionContext) -> UsageRecorder:
    """Create the extension for the section `[ledger]`."""
    return UsageRecorder(settings, context)
