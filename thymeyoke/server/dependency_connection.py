"""One connection to the dependency and the calls that it carries."""

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
OUTBOX_SIZE = 64  # unsent calls per connection
CALLS_PER_CONNECTION = 256
IDLE_SECONDS = 2.0  # the dependency closes or drops idle connections; calls avoid those idle for longer
INCOMPLETE_REPLY_SECONDS = 0.5  # a connection whose reply stays incomplete for longer is closed
CONNECT_TIMEOUT_SECONDS = 1.0


class CallInFlight(NamedTuple):
    """A call that was sent."""

    deadline: float
    started_at: float


class DependencyConnection:
    """One connection to the dependency; `run` opens it.

    An entry leaves `in_flight` when its call is answered or abandoned, or the connection ends. `carried_ids`
    holds the ids of all requests whose calls the connection has carried.
    """

    def __init__(self, address: Address, on_call_ended: Callable[[CallEnded], Awaitable[None]]) -> None:
        """Create a connection; `on_call_ended` is awaited for each call that ends."""
        self.address, self.on_call_ended = address, on_call_ended
        self.reader = ReplyReader()
        self.outbox, self.outbox_reader = anyio.create_memory_object_stream[StartCall | AbandonCall](
            OUTBOX_SIZE
        )
        self.in_flight: dict[str, CallInFlight] = {}
        self.carried_ids: set[str] = set()
        self.scope = anyio.CancelScope()
        self.used_at = self.received_at = clock()
        self.is_doubtful = False  # a call was abandoned on it, or it is closing; it takes no more calls

    def accepts(self, id: str, address: Address | None) -> bool:
        """Whether it can carry a call of this request to this address.

        Replies carry a request id and no call id, so a late or repeated reply could be taken for the reply to
        the request's next call. A connection therefore carries at most one call of a request.
        """
        is_usable = not self.is_doubtful and self.address == address
        return is_usable and len(self.carried_ids) < CALLS_PER_CONNECTION and id not in self.carried_ids

    def start(self, call: StartCall, now: float) -> bool:
        """Queue a call; return whether there was room for it."""
        try:
            self.outbox.send_nowait(call)
        except (anyio.WouldBlock, anyio.ClosedResourceError):
            return False
        self.in_flight[call.id], self.used_at = CallInFlight(call.deadline, now), now
        self.carried_ids.add(call.id)
        return True

    def abandon(self, id: str) -> CallInFlight | None:
        """Abandon a call: send a message if others are in flight, else close the connection."""
        call = self.in_flight.pop(id, None)
        self.is_doubtful = True
        if not self.in_flight:
            self.close()
        elif call:
            # With a full outbox the call runs on; a closed outbox means that the connection ends.
            with suppress(anyio.WouldBlock, anyio.ClosedResourceError):
                self.outbox.send_nowait(AbandonCall(id))
        return call

    def close(self) -> None:
        """Close the connection; it takes no more calls from now on."""
        self.is_doubtful = True
        self.scope.cancel()

    def is_useless(self, now: float, address: Address | None) -> bool:
        """Whether it should be closed: idle, doubtful, to an old address, or stuck within a reply."""
        is_stuck = self.reader.incomplete and now > self.received_at + INCOMPLETE_REPLY_SECONDS
        is_unusable = now > self.used_at + IDLE_SECONDS or not self.accepts("", address)
        return bool(is_stuck or (is_unusable and not self.in_flight))

    async def run(self) -> None:
        """Connect, carry calls until the connection ends, then report the calls that were lost."""
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
        """Report calls lost with the connection; only calls that were never sent certainly did not run."""
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
        if call is None:  # a reply to an abandoned call, a repeated reply, or an unknown id
            logs.counters["dependency_unknown_replies"] += 1
            return
        self.used_at = clock()
        await self.on_call_ended(CallEnded(id, outcome, body, self.used_at - call.started_at))
