"""The client of the processor: keeps a link open, sends commands and reports notices."""

from __future__ import annotations

import logging

import anyio
from anyio.abc import ByteStream
from anyio.streams.memory import MemoryObjectSendStream

from thymeyoke.configuration.start_file import Address, RequestNames
from thymeyoke.runtime import logs
from thymeyoke.runtime.clock import clock
from thymeyoke.runtime.mailbox import post, take_all
from thymeyoke.server.messages import (
    AddressChanged,
    Command,
    CommandsDiscarded,
    Event,
    ProcessorDisconnected,
    ProcessorReady,
    ProcessorSynced,
)
from thymeyoke.server.processor_wire import (
    CommandsConfirmed,
    InvalidLineError,
    RequestSync,
    decode,
    encode,
    encode_hello,
)
from thymeyoke.server.unacknowledged import RUN_COMMANDS, UnacknowledgedCommands
from thymeyoke.slow_start.connector import ConnectorStatus
from thymeyoke.slow_start.controller import StartupController

OUTBOX_SIZE = 1024
READ_BYTES = 1 << 16
MAX_LINE_BYTES = 1 << 16
CONNECT_TIMEOUT_SECONDS = 1.0
CONFIRMATION_TIMEOUT_SECONDS = 0.25


class ProcessorClient:
    """Keeps the link open; a link takes commands once it is synced.

    With each synced link the dispatcher is told which commands of the links before are lost.
    """

    def __init__(
        self, address: Address, names: RequestNames, dispatcher: MemoryObjectSendStream[Event],
        startup: StartupController | None = None,
    ) -> None:  # fmt: skip
        """Create a client; `names` gives the request classes in order."""
        self.address, self.dispatcher = address, dispatcher
        self.class_names = list(names.request_classes)
        self.connector = (startup or StartupController(clock())).connector
        self.logged_status = ConnectorStatus.CONNECTING
        self.outbox, self.outbox_reader = anyio.create_memory_object_stream[Command](OUTBOX_SIZE)
        self.scope = anyio.CancelScope()  # of the current link
        self.ready, self.synced = anyio.Event(), anyio.Event()  # of the current link
        self.confirmed = anyio.Event()  # set once all commands that were written are acknowledged
        self.link = self.cursor = 0  # numbers of the current link and of the last notice that was read
        self.is_moving = False  # the current link closes, as its address has changed
        self.is_writing = False  # commands are written or wait for their confirmation
        self.unacknowledged = UnacknowledgedCommands()
        self.discarded: set[str] = set()  # requests whose commands were queued for a link and never written

    def send(self, command: Command | AddressChanged) -> None:
        """Queue a command; if the outbox is full, close the link and open a new one."""
        if isinstance(command, AddressChanged):
            return self._move(command.address)
        try:
            self.outbox.send_nowait(command)
        except anyio.WouldBlock:
            logs.counters["processor_outboxes_full"] += 1
            self._discard([command])
            self.scope.cancel()

    def _move(self, address: Address) -> None:
        """Open a link to a new address, which continues after the last notice read.

        The current link closes once the commands that were written to it are confirmed.
        """
        self.address, self.is_moving = address, True
        if not self.is_writing:
            self.scope.cancel()

    def _discard(self, commands: list[Command]) -> None:
        self.discarded.update(command.id for command in commands if isinstance(command, RUN_COMMANDS))

    async def _report_discarded(self) -> None:
        """Report the commands that were queued for earlier links; the dispatcher sends them again."""
        self._discard(take_all(self.outbox_reader))
        if self.discarded:
            ids, self.discarded = frozenset(self.discarded), set()
            await post(self.dispatcher, CommandsDiscarded(ids))

    async def run(self) -> None:
        """Run until cancelled."""
        while True:
            address = self.address
            try:
                with anyio.fail_after(CONNECT_TIMEOUT_SECONDS):
                    stream = await anyio.connect_tcp(address.host, address.port)
            except (OSError, TimeoutError):
                await self._wait(self.connector.connect_failed(clock()))
                continue
            if address != self.address:  # changed while connecting; the old one stops taking commands
                await anyio.aclose_forcefully(stream)
                continue
            await self._run_link(stream)

    async def _run_link(self, stream: ByteStream) -> None:
        self.connector.connected(clock())
        self.link += 1
        self.is_moving = self.is_writing = False
        try:
            await self._serve_link(stream)
        except Exception as error:
            logs.counters["processor_errors"] += 1
            logs.log_event(logging.ERROR, "processor_link_failed", error)
        finally:
            await anyio.aclose_forcefully(stream)
        self.unacknowledged.link_lost(clock(), is_broken=not self.is_moving)
        logs.counters["processor_links_lost"] += 1
        backoff = self.connector.connection_lost(clock())
        await post(self.dispatcher, ProcessorDisconnected())
        await self._wait(backoff)

    async def _wait(self, backoff: float) -> None:
        """Wait until the next attempt; log once that the processor is unreachable."""
        status = self.connector.status(clock())
        if status is ConnectorStatus.FAILED and self.logged_status is not status:
            attempts = self.connector.failures
            logs.log_event(logging.WARNING, "processor_unreachable", address=self.address, attempts=attempts)
        self.logged_status = status
        await anyio.sleep(backoff)

    async def _serve_link(self, stream: ByteStream) -> None:
        self.ready, self.synced = anyio.Event(), anyio.Event()
        with anyio.CancelScope() as self.scope:
            async with anyio.create_task_group() as tasks:
                await stream.send(encode_hello(self.cursor))
                tasks.start_soon(self._write, stream)
                await self._read(stream)
                self.scope.cancel()

    async def _write(self, stream: ByteStream) -> None:
        try:
            await self.ready.wait()  # the processor discards commands that it reads before
            await stream.send(encode(RequestSync(self.link), self.class_names))
            await self.synced.wait()
            async for command in self.outbox_reader:
                self.is_writing = True
                await self._write_batch(stream, [command, *take_all(self.outbox_reader)])
                self.is_writing = False
                if self.is_moving:
                    self.scope.cancel()
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            self.scope.cancel()

    async def _write_batch(self, stream: ByteStream, commands: list[Command]) -> None:
        """Write commands and wait until they are confirmed.

        A loss of the link then leaves one batch in doubt; the commands that wait were not received.
        """
        if self.scope.cancel_called:  # after the commands were taken
            return self._discard(commands)
        now = clock()
        for command in commands:
            self.unacknowledged.add(now, command)
        lines = [encode(command, self.class_names) for command in commands]
        confirmation = self.unacknowledged.request_confirmation()
        if confirmation is None:
            return await stream.send(b"".join(lines))
        self.confirmed = anyio.Event()
        lines.append(encode(confirmation, self.class_names))
        await stream.send(b"".join(lines))
        with anyio.move_on_after(CONFIRMATION_TIMEOUT_SECONDS) as timeout:
            await self.confirmed.wait()
        logs.counters["processor_confirmations_late"] += timeout.cancelled_caught

    async def _read(self, stream: ByteStream) -> None:
        incomplete = b""
        try:
            while True:
                *lines, incomplete = (incomplete + await stream.receive(READ_BYTES)).split(b"\n")
                if len(incomplete) > MAX_LINE_BYTES:
                    raise InvalidLineError(f"a line is longer than {MAX_LINE_BYTES} bytes")
                for line in lines:
                    await self._handle_line(line)
        except (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError):
            return
        except InvalidLineError as error:
            logs.counters["processor_invalid_lines"] += 1
            logs.log_event(logging.WARNING, "processor_link_dropped", reason=str(error))

    async def _handle_line(self, line: bytes) -> None:
        cursor, event = decode(line, self.link)
        if cursor:
            if cursor <= self.cursor:  # already read on an earlier link
                return
            self.cursor = cursor
        match event:
            case ProcessorReady():
                self.connector.ready(clock())
                self.ready.set()
            case CommandsConfirmed(number):
                self.unacknowledged.acknowledge(clock(), number)
                if not self.unacknowledged.sent:
                    self.confirmed.set()
                return
            case ProcessorSynced(link):
                await self._report_discarded()
                event = ProcessorSynced(link, self.unacknowledged.take_possibly_lost())
                self.synced.set()
        if event is not None:
            await post(self.dispatcher, event)
