"""The sockets of a member: outbound links, which only write, and inbound links, which only read.

Each link is one bounded actor. An outbound link is opened for the first message, kept while it is used, and
closed if it is the least used one when the limit is reached, or if its outbox overflows. Inbound links are
limited in number, byte rate, buffered bytes, and time to complete a message; an invalid frame closes the
link. All of this is counted.
"""

from __future__ import annotations

import errno
import logging
import socket
from collections.abc import Callable
from contextlib import suppress
from typing import NamedTuple

import anyio
from anyio.abc import Listener, SocketAttribute, SocketStream, TaskGroup

from thymeyoke.membership import wire
from thymeyoke.runtime import logs, msgpack_rpc
from thymeyoke.runtime.clock import clock
from thymeyoke.runtime.mailbox import take_all
from thymeyoke.runtime.streams import CONNECTION_LOST_ERRORS

MAX_UNSENT_MESSAGES = 64  # in the outbox of one link
CONNECT_TIMEOUT_PERIODS, WRITE_TIMEOUT_PERIODS = 1.0, 2.0
RECONNECT_BACKOFF_PERIODS = 0.5  # after a failed connect
IDLE_TIMEOUT_PERIODS = 60.0  # of outbound links; twice as long for inbound ones
INCOMPLETE_TIMEOUT_PERIODS = 3.0  # for the first message, and for the rest of an incomplete one
MAX_BURST_BYTES, BURST_REFILL_PERIODS = 1 << 21, 8.0  # that a peer may send at once; time until it may again
FAREWELL_TIMEOUT_SECONDS = 0.1
ACCEPT_BACKOFF_SECONDS = 0.05  # after a failed accept
LISTENER_CLOSED_ERRNOS = (errno.EBADF, errno.EINVAL, errno.ENOTSOCK)  # of accept on a closed listener
USER_TIMEOUT = getattr(socket, "TCP_USER_TIMEOUT", 18)


class LinkLimits(NamedTuple):
    """Maximum numbers of links of a process."""

    outbound: int
    inbound: int


# An app server saves descriptors for its clients; a node is linked with all other nodes and many members.
NODE_LINKS, SERVER_LINKS = LinkLimits(1024, 1280), LinkLimits(16, 32)


def split_address(address: str) -> tuple[str, int]:
    """Split IP:PORT; an IPv6 address loses its brackets."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


async def connect(address: str, period: float) -> SocketStream:
    """Connect to a member; `period`: protocol period in seconds."""
    host, port = split_address(address)
    stream = await anyio.connect_tcp(host, port)
    raw = stream.extra(SocketAttribute.raw_socket)
    with suppress(OSError):
        # Without this, data that the peer does not acknowledge waits for TCP's retransmission backoff, and
        # the first messages after a partition would arrive minutes late.
        raw.setsockopt(socket.IPPROTO_TCP, USER_TIMEOUT, max(100, int(1000 * WRITE_TIMEOUT_PERIODS * period)))
    return stream


class OutboundLink:
    """A link to one peer; unsent messages are lost when it closes."""

    def __init__(self, address: str, period: float) -> None:
        self.address, self.period = address, period
        self.outbox, self.outbox_reader = anyio.create_memory_object_stream[tuple[float, bytes]](
            MAX_UNSENT_MESSAGES
        )
        self.scope = anyio.CancelScope()
        self.used_at = clock()
        self.unsent_count = 0  # messages in the outbox or being written
        self.is_unreachable = False
        self.is_refused = False  # the connect was refused

    def send(self, message: bytes) -> bool:
        """Queue a message without waiting; returns False and closes the link if the outbox is full."""
        try:
            self.outbox.send_nowait((clock(), message))
        except anyio.WouldBlock:
            logs.counters["members_outbox_full"] += 1
            self.scope.cancel()
            return False
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            return False
        self.unsent_count += 1
        self.used_at = clock()
        return True

    async def run(self) -> None:
        """Connect and write messages until the link is closed."""
        stream = None
        try:
            with self.scope:
                with anyio.fail_after(CONNECT_TIMEOUT_PERIODS * self.period):
                    stream = await connect(self.address, self.period)
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(self._watch, stream)
                    await self._write(stream)
                    tasks.cancel_scope.cancel()
        except (OSError, TimeoutError) as error:
            self.is_unreachable = True
            # anyio wraps the error. A timeout or an unreachable host does not prove that nobody listens.
            self.is_refused = isinstance(error.__cause__, ConnectionRefusedError)
            logs.counters["members_unreached"] += 1
        except Exception as error:
            logs.counters["members_error"] += 1
            logs.log_event(logging.ERROR, "member_link_failed", error, peer=self.address)
        finally:
            lost = self.unsent_count
            self.outbox.close()
            self.outbox_reader.close()
            logs.counters["members_letters_lost"] += lost
            if stream is not None:
                await anyio.aclose_forcefully(stream)

    async def _write(self, stream: SocketStream) -> None:
        with suppress(TimeoutError, *CONNECTION_LOST_ERRORS):
            async for first in self.outbox_reader:
                batch = [first, *take_all(self.outbox_reader)]
                # Messages that waited while this process stalled are outdated.
                oldest = clock() - (CONNECT_TIMEOUT_PERIODS + WRITE_TIMEOUT_PERIODS) * self.period
                if messages := [message for at, message in batch if at >= oldest]:
                    with anyio.fail_after(WRITE_TIMEOUT_PERIODS * self.period):
                        await stream.send(b"".join(messages))
                self.unsent_count -= len(batch)
                logs.counters["members_letters_lost"] += len(batch) - len(messages)

    async def _watch(self, stream: SocketStream) -> None:
        """Close the link when the peer closes it or sends anything, which it must not."""
        with suppress(*CONNECTION_LOST_ERRORS):
            await stream.receive(1)
            logs.counters["members_unasked"] += 1
        self.scope.cancel()


class ByteRateLimiter:
    """Limits the bytes received from a peer: a burst that refills over `span` seconds."""

    def __init__(self, now: float, span: float) -> None:
        self.available, self.rate, self.updated_at = float(MAX_BURST_BYTES), MAX_BURST_BYTES / span, now

    def consume(self, now: float, count: int) -> bool:
        """Account for received bytes; returns False if they exceed the limit."""
        self.available = (
            min(MAX_BURST_BYTES, self.available + max(0.0, now - self.updated_at) * self.rate) - count
        )
        self.updated_at = now
        return self.available >= 0


class InboundLink:
    """A link from another member."""

    def __init__(self, stream: SocketStream, reader: wire.MessageReader, period: float) -> None:
        self.stream, self.reader = stream, reader
        self.scope = anyio.CancelScope()
        # Time of the last read, and since when a message is incomplete or the first one missing.
        self.received_at = self.incomplete_since = clock()
        # Whether any message is complete, and whether the last read ended within a message.
        self.has_message = self.was_incomplete = False
        self.rate_limiter = ByteRateLimiter(self.received_at, BURST_REFILL_PERIODS * period)

    async def run(self, receive: Callable[[wire.CompleteMessage], None]) -> None:
        """Read messages and pass them to `receive` until the link is closed."""
        try:
            with self.scope:
                while True:
                    data = await self.stream.receive(msgpack_rpc.READ_BYTES)
                    self.received_at = clock()
                    if not self.rate_limiter.consume(self.received_at, len(data)):
                        raise wire.ForeignFleetError("floods", "peer exceeds its byte rate limit")
                    before, self.incomplete_since = self.incomplete_since, self.received_at
                    complete = self.reader.feed(data)
                    for message in complete:
                        self.has_message = True
                        receive(message)
                    if not complete and (self.was_incomplete or not self.has_message):
                        self.incomplete_since = before  # a few bytes at a time do not extend the timeout
                    self.was_incomplete = self.reader.is_incomplete()
        except CONNECTION_LOST_ERRORS:
            pass
        except msgpack_rpc.InvalidFrameError as error:
            logs.counters[
                "members_" + (error.counter if isinstance(error, wire.ForeignFleetError) else "bad_frame")
            ] += 1
            logs.log_peer_fault("member_link_closed", reason=str(error))
        except Exception as error:
            logs.counters["members_error"] += 1
            logs.log_event(logging.ERROR, "member_link_failed", error)
        finally:
            self.reader.close()
            await anyio.aclose_forcefully(self.stream)


class Links:
    """All links of a process. Closed links and elapsed retry times are removed."""

    def __init__(
        self,
        limits: LinkLimits,
        period: float,
        credentials: wire.Credentials,
        receive: Callable[[wire.CompleteMessage], None],
        on_refused: Callable[[str], None],
    ) -> None:
        """`on_refused`: called with the address of each refused connect."""
        self.limits, self.period, self.credentials, self.receive = limits, period, credentials, receive
        self.on_refused = on_refused
        self.buffer_pool = wire.BufferPool()
        self.outbound: dict[str, OutboundLink] = {}  # by address
        self.inbound: set[InboundLink] = set()
        self.retry_at: dict[str, float] = {}  # by address: earliest time of the next connect after a failure
        self.tasks: TaskGroup | None = None  # while it runs

    async def run(self, host: str, port: int) -> None:
        """Listen until cancelled; raises OSError if the address cannot be used."""
        listener = await anyio.create_tcp_listener(
            local_host=host, local_port=port, backlog=self.limits.inbound
        )
        try:
            async with listener, anyio.create_task_group() as self.tasks:
                self.tasks.start_soon(self._close_expired)
                await self._accept(listener)
        finally:
            self.tasks = None
            self.outbound.clear()
            self.inbound.clear()

    async def _accept(self, listener: Listener[SocketStream]) -> None:
        """Accept links. Errors such as a lack of descriptors are retried; existing links must stay open."""
        while True:
            try:
                await listener.serve(self._run_inbound, self.tasks)
            except* OSError as errors:
                if errors.subgroup(lambda error: getattr(error, "errno", None) in LISTENER_CLOSED_ERRNOS):
                    raise
                logs.counters["members_accept_failed"] += 1
                logs.log_peer_fault("member_accept_failed", reason=errors.exceptions[0])
            await anyio.sleep(ACCEPT_BACKOFF_SECONDS)

    def send(self, address: str, message: bytes) -> bool:
        """Queue a message to an address without waiting; returns whether it was queued."""
        now = clock()
        if self.tasks is None or now < self.retry_at.get(address, 0.0):
            return False
        link = self.outbound.get(address)
        if link is None or link.scope.cancel_called:
            if len(self.outbound) >= self.limits.outbound:
                self._close_least_used()
            link = self.outbound[address] = OutboundLink(address, self.period)
            self.tasks.start_soon(self._run_outbound, link)
        return link.send(message)

    def _close_least_used(self) -> None:
        least = min(self.outbound.values(), key=lambda link: (link.unsent_count > 0, link.used_at))
        logs.counters["members_links_full"] += 1
        del self.outbound[least.address]
        least.scope.cancel()

    async def _run_outbound(self, link: OutboundLink) -> None:
        try:
            await link.run()
        finally:
            if link.is_unreachable and len(self.retry_at) < 2 * self.limits.outbound:
                self.retry_at[link.address] = clock() + RECONNECT_BACKOFF_PERIODS * self.period
            if self.outbound.get(link.address) is link:
                del self.outbound[link.address]
            if link.is_refused:
                self.on_refused(link.address)

    async def _run_inbound(self, stream: SocketStream) -> None:
        if len(self.inbound) >= self.limits.inbound and not self._close_idle_inbound():
            logs.counters["members_too_many"] += 1
            return await anyio.aclose_forcefully(stream)
        link = InboundLink(stream, wire.MessageReader(self.credentials, self.buffer_pool), self.period)
        self.inbound.add(link)
        try:
            await link.run(self.receive)
        finally:
            self.inbound.discard(link)

    def _close_idle_inbound(self) -> bool:
        """Close one inbound link: one without a complete message, or else one idle for at least a period."""
        idle = min(self.inbound, key=lambda link: (link.has_message, link.received_at))
        if idle.has_message and clock() < idle.received_at + self.period:
            return False
        logs.counters["members_links_full"] += 1
        self.inbound.discard(idle)
        idle.scope.cancel()
        return True

    async def _close_expired(self) -> None:
        while True:
            await anyio.sleep(self.period)
            now = clock()
            self.retry_at = {at: until for at, until in self.retry_at.items() if now < until}
            for link in list(self.outbound.values()):
                if now > link.used_at + IDLE_TIMEOUT_PERIODS * self.period and not link.unsent_count:
                    link.scope.cancel()
            for inbound in list(self.inbound):
                is_pending = inbound.reader.is_incomplete() or not inbound.has_message
                since, timeout = (
                    (inbound.incomplete_since, INCOMPLETE_TIMEOUT_PERIODS)
                    if is_pending
                    else (inbound.received_at, 2 * IDLE_TIMEOUT_PERIODS)
                )
                if now > since + timeout * self.period:
                    logs.counters["members_half_said" if is_pending else "members_silent"] += 1
                    inbound.scope.cancel()


async def send_farewells(messages: list[tuple[str, bytes]], period: float) -> None:
    """Send messages on separate connections, concurrently, within a short time, as links may be cancelled."""

    async def send(address: str, message: bytes) -> None:
        with suppress(*CONNECTION_LOST_ERRORS):
            stream = await connect(address, period)
            try:
                await stream.send(message)
            finally:
                await stream.aclose()

    with anyio.move_on_after(FAREWELL_TIMEOUT_SECONDS, shield=True):
        async with anyio.create_task_group() as tasks:
            for address, message in messages:
                tasks.start_soon(send, address, message)
