"""One connection to the dependency, and the calls on it."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable
from contextlib import suppress
from typing import NamedTuple

import anyio
from anyio.abc import ByteStream

from thymeyoke.admission.events import Outcome
from thymeyoke.configuration.start_file import Address
from thymeyoke.runtime import logs
from thymeyoke.runtime.clock import clock
from thymeyoke.runtime.mailbox import take_all
from thymeyoke.server.dependency_wire import InvalidReplyError, ReplyReader, encode
from thymeyoke.server.messages import AbandonCall, CallEnded, StartCall

READ_BYTES = 1 << 16
OUTBOX_SIZE = 64  # calls that one connection may have unsent
CALLS_PER_CONNECTION = 256
IDLE_SECONDS = 2.0  # the dependency closes an idle connection, or forgets it: no call should meet that
INCOMPLETE_REPLY_SECONDS = 0.5  # after it the rest of a reply does not come any more
CONNECT_TIMEOUT_SECONDS = 1.0


class CallInFlight(NamedTuple):
    """A call that went out."""

    deadline: float
    started_at: float


class DependencyConnection:
    """One connection, made by `run`.

    `in_flight` is emptied by replies, by what is abandoned, and with the connection; `carried_ids`, all
    requests whose calls it ever carried, goes with it.
    """

    def __init__(self, address: Address, on_call_ended: Callable[[CallEnded], Awaitable[None]]) -> None:
        """`on_call_ended` is awaited for each call that ends."""
        self.address, self.on_call_ended = address, on_call_ended
        self.reader = ReplyReader()
        self.outbox, self.outbox_reader = anyio.create_memory_object_stream[StartCall | AbandonCall](
            OUTBOX_SIZE
        )
        self.in_flight: dict[str, CallInFlight] = {}
        self.carried_ids: set[str] = set()
        self.scope = anyio.CancelScope()
        self.used_at = self.received_at = clock()
        self.is_doubtful = False  # a call on it never came back: it gets no other

    def accepts(self, id: str, address: Address | None) -> bool:
        """Whether it can carry a call of this request to this address.

        Replies name a request, not a call: a late or repeated one must not meet the request's next call.
        """
        is_usable = not self.is_doubtful and self.address == address
        return is_usable and len(self.carried_ids) < CALLS_PER_CONNECTION and id not in self.carried_ids

    def start(self, call: StartCall, now: float) -> bool:
        """Send a call; whether there was room for it."""
        try:
            self.outbox.send_nowait(call)
        except (anyio.WouldBlock, anyio.ClosedResourceError):
            return False
        self.in_flight[call.id], self.used_at = CallInFlight(call.deadline, now), now
        self.carried_ids.add(call.id)
        return True

    def abandon(self, id: str) -> CallInFlight | None:
        """Abandon a call: by a message while others are in flight, else by closing the connection."""
        call = self.in_flight.pop(id, None)
        self.is_doubtful = True
        if not self.in_flight:
            self.close()
        elif call:
            # Without room it runs its course, for nobody; closed, the connection ends anyway.
            with suppress(anyio.WouldBlock, anyio.ClosedResourceError):
                self.outbox.send_nowait(AbandonCall(id))
        return call

    def close(self) -> None:
        """Close it; it gets no call while that takes its moment."""
        self.is_doubtful = True
        self.scope.cancel()

    def is_useless(self, now: float, address: Address | None) -> bool:
        """Whether it should be closed: idle, doubtful, at an old address, or stuck in a reply."""
        is_stuck = self.reader.incomplete and now > self.received_at + INCOMPLETE_REPLY_SECONDS
        is_unusable = now > self.used_at + IDLE_SECONDS or not self.accepts("", address)
        return bool(is_stuck or (is_unusable and not self.in_flight))

    async def run(self) -> None:
        """Connect, and carry calls until the connection ends; then report those that were lost."""
        stream, is_connected = None, False
        try:
            with self.scope:
                with anyio.fail_after(CONNECT_TIMEOUT_SECONDS):
                    stream = await anyio.connect_tcp(self.address.host, self.address.port)
                is_connected = True
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(self._write, stream)
                    await self._read(stream)
        except (OSError, TimeoutError):
            logs.counters["dependency_connects_failed"] += 1
        except Exception as error:
            logs.counters["dependency_errors"] += 1
            logs.log_event(logging.ERROR, "dependency_connection_failed", error)
        finally:
            unsent_ids = {message.id for message in take_all(self.outbox_reader)}
            self.outbox.close()
            self.outbox_reader.close()
            if stream:
                await anyio.aclose_forcefully(stream)
        await self._report_lost(is_connected, unsent_ids)

    async def _report_lost(self, is_connected: bool, unsent_ids: set[str]) -> None:
        """A connection that breaks proves nothing about its calls, but for those that were never sent."""
        logs.counters["dependency_connections_lost"] += bool(self.in_flight) and is_connected
        for id in list(self.in_flight):
            was_sent = is_connected and id not in unsent_ids
            await self._call_ended(id, Outcome.CONNECTION_LOST if was_sent else Outcome.UNREACHABLE)

    async def _write(self, stream: ByteStream) -> None:
        try:
            async for first in self.outbox_reader:
                batch = [first, *take_all(self.outbox_reader)]
                now = clock()
                await stream.send(b"".join(encode(message, now) for message in batch))
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            self.close()

    async def _read(self, stream: ByteStream) -> None:
        try:
            while True:
                data = await stream.receive(READ_BYTES)
                self.received_at = clock()
                for reply in self.reader.feed(data):
                    await self._call_ended(reply.id, reply.outcome, reply.body)
        except (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError):
            pass
        except InvalidReplyError as error:
            logs.counters["dependency_invalid_replies"] += 1
            logs.log_peer_fault("dependency_connection_dropped", reason=str(error))
        self.close()

    async def _call_ended(self, id: str, outcome: Outcome, body: bytes = b"") -> None:
        call = self.in_flight.pop(id, None)
        if call is None:  # of a call that was abandoned, repeated, or nobody's
            logs.counters["dependency_unknown_replies"] += 1
            return
        self.used_at = clock()
        await self.on_call_ended(CallEnded(id, outcome, body, self.used_at - call.started_at))
