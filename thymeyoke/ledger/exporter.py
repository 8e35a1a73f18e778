"""Actor that carries out the export; the decisions are in `export.ExportSender`."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable
from functools import partial
from random import Random
from typing import Any

import anyio
from anyio.abc import SocketStream

from thymeyoke.configuration.service_config import HostPort
from thymeyoke.ledger import wire
from thymeyoke.ledger.export import (
    CloseConnection,
    Connect,
    ExportSender,
    ExportState,
    RecordAcknowledged,
    RecordReceiver,
    SendBatch,
    SendHello,
)
from thymeyoke.ledger.usage_journal import BatchReference, UsageJournal
from thymeyoke.runtime import logs
from thymeyoke.runtime.clock import clock
from thymeyoke.runtime.streams import CONNECTION_LOST_ERRORS

READ_BYTES = 1 << 14

RunInThread = Callable[[Callable[[], Any]], Awaitable[Any]]


class Exporter:
    """Sends the batches of a journal to its receiver, one connection at a time."""

    def __init__(
        self, address: HostPort, name: str, rng: Random, journal: UsageJournal, run_in_thread: RunInThread
    ) -> None:
        self.address, self.name, self.journal, self.run_in_thread = address, name, journal, run_in_thread
        last = journal.last_batch()[0]
        first_kept = journal.read_meta("kept")
        self.sender = ExportSender(
            rng, journal.read_meta("acked"), last, first_kept, bytes(journal.read_meta("receiver"))
        )
        self.sender.hashes = journal.batch_hashes()
        self.wakeup = anyio.Event()
        self.send_lock = anyio.Lock()  # both tasks of a connection send
        self.last_reason = ""

    def batches_created(self, batches: list[BatchReference], first_kept: int) -> None:
        """Add new batches; `first_kept` is the oldest one whose body is still in the journal."""
        self.sender.first_kept = first_kept
        for number, hash_ in batches:
            self.sender.add_batch(number, hash_)
        # The receiver may report any batch from here on.
        oldest_needed = min(first_kept, self.sender.acknowledged) - 1
        self.sender.hashes = {
            batch_number: hash_
            for batch_number, hash_ in self.sender.hashes.items()
            if batch_number >= oldest_needed
        }
        if batches:
            self.wakeup.set()

    async def run(self) -> None:
        """Connect whenever the state machine asks for it, until cancelled."""
        while True:
            self.wakeup = anyio.Event()
            actions = self.sender.advance(clock())
            if Connect() in actions:
                await self._run_connection()
                self._report_state()
                continue
            with anyio.move_on_after(max(0.0, self.sender.next_advance_at() - clock())):
                await self.wakeup.wait()

    def _report_state(self) -> None:
        """Log a changed reason, and count lost connections."""
        if self.sender.reason != self.last_reason:
            self.last_reason = self.sender.reason
            level = logging.ERROR if self.sender.state == ExportState.HALTED else logging.WARNING
            logs.log_event(
                level, "ledger_export_state_changed", state=self.sender.state.value, reason=self.last_reason
            )
        if self.sender.state == ExportState.HALTED:
            logs.counters["ledger_export_halted"] = 1
        else:
            logs.counters["ledger_export_lost"] += 1

    async def _run_connection(self) -> None:
        """Exchange messages over one connection until it is closed."""
        try:
            with anyio.fail_after(max(0.01, self.sender.next_advance_at() - clock())):
                stream = await anyio.connect_tcp(self.address.ip, self.address.port)
        except (OSError, TimeoutError) as error:
            self.sender.connection_lost(clock(), f"connect: {type(error).__name__}")
            return
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._receive_messages, stream, tasks)
                await self._perform(stream, self.sender.connection_opened(clock()))
                while self.sender.state in (ExportState.AWAITING_WELCOME, ExportState.SENDING):
                    self.wakeup = anyio.Event()
                    await self._perform(stream, self.sender.advance(clock()))
                    with anyio.move_on_after(max(0.0, self.sender.next_advance_at() - clock())):
                        await self.wakeup.wait()
                tasks.cancel_scope.cancel()
        finally:
            await anyio.aclose_forcefully(stream)

    async def _receive_messages(self, stream: SocketStream, tasks: Any) -> None:
        """Pass messages from the receiver to the state machine."""
        reader = wire.FrameReader()
        try:
            while True:
                for message in reader.feed(await stream.receive(READ_BYTES)):
                    match message:
                        case wire.Welcome():
                            actions = self.sender.receive_welcome(clock(), message)
                        case wire.Acknowledgement():
                            actions = self.sender.receive_acknowledgement(clock(), message)
                        case wire.Rejection():
                            actions = self.sender.receive_rejection(message)
                        case _:
                            raise wire.ProtocolError("receiver sent a message that only a sender sends")
                    await self._perform(stream, actions)
                    self.wakeup.set()
        except CONNECTION_LOST_ERRORS:
            self.sender.connection_lost(clock(), "connection lost")
        except wire.ProtocolError as error:
            logs.counters["ledger_export_garbled"] += 1
            self.sender.connection_lost(clock(), str(error))
        tasks.cancel_scope.cancel()

    async def _perform(self, stream: SocketStream, actions: list[Any]) -> None:
        """Carry out the actions of the state machine."""
        for action in actions:
            match action:
                case SendHello():
                    await self._send(
                        stream, wire.Hello(self.name, self.journal.journal_id, self.sender.last_batch)
                    )
                case SendBatch(number):
                    batch = await self.run_in_thread(partial(self.journal.batch, number))
                    if batch is not None:
                        self.journal.failpoint("send")
                        await self._send(stream, batch)
                        logs.counters["ledger_batches_out"] += 1
                case RecordAcknowledged(number):
                    await self.run_in_thread(partial(self.journal.record_acknowledged, number))
                    logs.counters["ledger_acknowledged"] = number
                case RecordReceiver(receiver):
                    await self.run_in_thread(partial(self.journal.record_receiver, receiver))
                case CloseConnection():
                    return

    async def _send(self, stream: SocketStream, outgoing: wire.Message) -> None:
        """Send one message; a failure ends the connection."""
        try:
            with anyio.fail_after(5.0):
                async with self.send_lock:
                    await stream.send(wire.encode(outgoing))
        except (*CONNECTION_LOST_ERRORS, TimeoutError):
            self.sender.connection_lost(clock(), "connection lost")
