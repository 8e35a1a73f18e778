"""The actor that brings batches to the receiver. It decides nothing: `export.Sender` says what is to be
done."""

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
from thymeyoke.ledger.export import At, Dial, Drop, Greet, Mark, Pin, Send, Sender
from thymeyoke.ledger.usage_journal import Book, Made
from thymeyoke.runtime import logs
from thymeyoke.runtime.clock import clock

CHUNK = 1 << 14
LOST = (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError, OSError)

Off = Callable[[Callable[[], Any]], Awaitable[Any]]


class Exporter:
    def __init__(self, where: HostPort, name: str, rng: Random, book: Book, off: Off) -> None:
        self.where, self.name, self.book, self.off = where, name, book, off
        last = book.last()[0]
        kept = book.meta("kept")
        self.sender = Sender(rng, book.meta("acked"), last, kept, bytes(book.meta("receiver")))
        self.sender.hashes = book.hashes()
        self.stirred = anyio.Event()
        self.talking = anyio.Lock()  # what is heard and what is new may both lead to sending
        self.said = ""

    def made(self, made: list[Made], kept: int) -> None:
        """New batches, and the first whose body is still in the book."""
        self.sender.kept = kept
        for number, hash_ in made:
            self.sender.made(number, hash_)
        known = min(kept, self.sender.acked) - 1  # what the receiver may still be asked about
        self.sender.hashes = {at: hash_ for at, hash_ in self.sender.hashes.items() if at >= known}
        if made:
            self.stirred.set()

    async def run(self) -> None:
        """A connection after the other, each begun when the sender says so."""
        while True:
            self.stirred = anyio.Event()
            actions = self.sender.step(clock())
            if Dial() in actions:
                await self._connection()
                self._tell_halt()
                continue
            with anyio.move_on_after(max(0.0, self.sender.next() - clock())):
                await self.stirred.wait()

    def _tell_halt(self) -> None:
        if self.sender.why != self.said:
            self.said = self.sender.why
            level = logging.ERROR if self.sender.at == At.HALTED else logging.WARNING
            logs.log_event(level, "ledger_export_state_changed", state=self.sender.at.value, reason=self.said)
        if self.sender.at == At.HALTED:
            logs.counters["ledger_export_halted"] = 1
        else:
            logs.counters["ledger_export_lost"] += 1

    async def _connection(self) -> None:
        try:
            with anyio.fail_after(max(0.01, self.sender.next() - clock())):
                stream = await anyio.connect_tcp(self.where.ip, self.where.port)
        except (OSError, TimeoutError) as error:
            self.sender.lost(clock(), f"connect: {type(error).__name__}")
            return
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._hear, stream, tasks)
                await self._do(stream, self.sender.connected(clock()))
                while self.sender.at in (At.GREETING, At.SENDING):
                    self.stirred = anyio.Event()
                    await self._do(stream, self.sender.step(clock()))
                    with anyio.move_on_after(max(0.0, self.sender.next() - clock())):
                        await self.stirred.wait()
                tasks.cancel_scope.cancel()
        finally:
            await anyio.aclose_forcefully(stream)

    async def _hear(self, stream: SocketStream, tasks: Any) -> None:
        reader = wire.Reader()
        try:
            while True:
                for said in reader.feed(await stream.receive(CHUNK)):
                    match said:
                        case wire.Welcome():
                            actions = self.sender.welcomed(clock(), said)
                        case wire.Taken():
                            actions = self.sender.taken(clock(), said)
                        case wire.Refused():
                            actions = self.sender.refused(said)
                        case _:
                            raise wire.BadSay("the receiver says what only a sender says")
                    await self._do(stream, actions)
                    self.stirred.set()
        except LOST:
            self.sender.lost(clock(), "connection lost")
        except wire.BadSay as error:
            logs.counters["ledger_export_garbled"] += 1
            self.sender.lost(clock(), str(error))
        tasks.cancel_scope.cancel()

    async def _do(self, stream: SocketStream, actions: list[Any]) -> None:
        for action in actions:
            match action:
                case Greet():
                    await self._say(stream, wire.Hello(self.name, self.book.mark, self.sender.last))
                case Send(number):
                    batch = await self.off(partial(self.book.batch, number))
                    if batch is not None:
                        self.book.step("send")
                        await self._say(stream, batch)
                        logs.counters["ledger_batches_out"] += 1
                case Mark(number):
                    await self.off(partial(self.book.marked, number))
                    logs.counters["ledger_acknowledged"] = number
                case Pin(receiver):
                    await self.off(partial(self.book.pin, receiver))
                case Drop():
                    return

    async def _say(self, stream: SocketStream, what: wire.Say) -> None:
        try:
            with anyio.fail_after(5.0):
                async with self.talking:
                    await stream.send(wire.encode(what))
        except (*LOST, TimeoutError):
            self.sender.lost(clock(), "connection lost")
