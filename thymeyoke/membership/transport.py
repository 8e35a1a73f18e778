"""The sockets of a member: links out, which only write, and links in, which only read.

One bounded actor a peer. Out: opened when there is something to say, kept while used, the least used closed
for a new one; a letter that does not fit closes its link. In: bounded in number, octets a span, octets not
yet whole, and time to finish what was begun; whoever says what cannot be is closed. Everything is counted.
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

MAILBOX = 64  # letters to a peer that are not yet written
CONNECT, STALL = 1.0, 2.0  # periods that a connect, and a write, may take
AGAIN = 0.5  # periods after a failed connect in which there is no other
IDLE = 60.0  # periods without a word, and a link out is closed; twice that, and a link in is
HALF_SAID = 3.0  # periods in which what was begun goes on, and in which the first word comes
FLOOD, FLOOD_SPAN = 1 << 21, 8.0  # octets that a peer may say at once, and periods until it may again
FAREWELL = 0.1  # seconds that last words may take
ACCEPT_PAUSE = 0.05  # seconds from an accept that failed to the next
NO_LISTENER = (errno.EBADF, errno.EINVAL, errno.ENOTSOCK)  # of accept: there is none any more
USER_TIMEOUT = getattr(socket, "TCP_USER_TIMEOUT", 18)
LOST = (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError, OSError)


class Bounds(NamedTuple):
    """How many links a process may hold."""

    out: int
    into: int


# An app server spares its descriptors for its callers; a node speaks with all other nodes, and all ask it.
NODE, SERVER = Bounds(1024, 1280), Bounds(16, 32)


def parts(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


async def connect(address: str, period: float) -> SocketStream:
    host, port = parts(address)
    stream = await anyio.connect_tcp(host, port)
    raw = stream.extra(SocketAttribute.raw_socket)
    with suppress(OSError):
        # What the other machine does not take must not wait for TCP's own long patience: after a cut the
        # first words would come minutes late.
        raw.setsockopt(socket.IPPROTO_TCP, USER_TIMEOUT, max(100, int(1000 * STALL * period)))
    return stream


class Link:
    """To one peer. Letters that it never takes are lost with it."""

    def __init__(self, address: str, period: float) -> None:
        self.address, self.period = address, period
        self.outbox, self.unsent = anyio.create_memory_object_stream[tuple[float, bytes]](MAILBOX)
        self.scope = anyio.CancelScope()
        self.used = clock()
        self.owed = 0  # letters told and not yet written
        self.unreached = False
        self.refused = False  # nobody listens there

    def tell(self, letter: bytes) -> bool:
        try:
            self.outbox.send_nowait((clock(), letter))
        except anyio.WouldBlock:
            logs.counters["members_outbox_full"] += 1
            self.scope.cancel()
            return False
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            return False
        self.owed += 1
        self.used = clock()
        return True

    async def run(self) -> None:
        stream = None
        try:
            with self.scope:
                with anyio.fail_after(CONNECT * self.period):
                    stream = await connect(self.address, self.period)
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(self._watch, stream)
                    await self._write(stream)
                    tasks.cancel_scope.cancel()
        except (OSError, TimeoutError) as error:
            self.unreached = True
            # anyio wraps it; a connect that takes too long, or finds no way, proves nothing.
            self.refused = isinstance(error.__cause__, ConnectionRefusedError)
            logs.counters["members_unreached"] += 1
        except Exception as error:
            logs.counters["members_error"] += 1
            logs.log_event(logging.ERROR, "member_link_failed", error, peer=self.address)
        finally:
            lost = self.owed
            self.outbox.close()
            self.unsent.close()
            logs.counters["members_letters_lost"] += lost
            if stream is not None:
                await anyio.aclose_forcefully(stream)

    async def _write(self, stream: SocketStream) -> None:
        with suppress(TimeoutError, *LOST):
            async for first in self.unsent:
                batch = [first, *take_all(self.unsent)]
                # What waited while this process stood still would pass for news.
                late = clock() - (CONNECT + STALL) * self.period
                if letters := [letter for at, letter in batch if at >= late]:
                    with anyio.fail_after(STALL * self.period):
                        await stream.send(b"".join(letters))
                self.owed -= len(batch)
                logs.counters["members_letters_lost"] += len(batch) - len(letters)

    async def _watch(self, stream: SocketStream) -> None:
        """The other side says nothing on it: whatever comes, it is over."""
        with suppress(*LOST):
            await stream.receive(1)
            logs.counters["members_unasked"] += 1
        self.scope.cancel()


class Flood:
    """Octets that a peer may say: so many at once, refilled over a span."""

    def __init__(self, now: float, span: float) -> None:
        self.left, self.rate, self.at = float(FLOOD), FLOOD / span, now

    def take(self, now: float, many: int) -> bool:
        self.left = min(FLOOD, self.left + max(0.0, now - self.at) * self.rate) - many
        self.at = now
        return self.left >= 0


class Heard:
    """One link in."""

    def __init__(self, stream: SocketStream, reader: wire.Reader, period: float) -> None:
        self.stream, self.reader = stream, reader
        self.scope = anyio.CancelScope()
        self.at = self.begun_at = clock()  # when it last said something; since when something is unfinished
        self.said = self.half_before = False  # something whole; whether the last read ended within something
        self.flood = Flood(self.at, FLOOD_SPAN * period)

    async def run(self, take: Callable[[wire.Whole], None]) -> None:
        try:
            with self.scope:
                while True:
                    data = await self.stream.receive(msgpack_rpc.READ_BYTES)
                    self.at = clock()
                    if not self.flood.take(self.at, len(data)):
                        raise wire.Foreign("floods", "it says too much")
                    before, self.begun_at = self.begun_at, self.at
                    wholes = self.reader.feed(data)
                    for whole in wholes:
                        self.said = True
                        take(whole)
                    if not wholes and (self.half_before or not self.said):
                        self.begun_at = before  # octet by octet is no progress
                    self.half_before = self.reader.is_incomplete()
        except LOST:
            pass
        except msgpack_rpc.InvalidFrameError as error:
            logs.counters["members_" + (error.what if isinstance(error, wire.Foreign) else "bad_frame")] += 1
            logs.log_peer_fault("member_link_closed", reason=str(error))
        except Exception as error:
            logs.counters["members_error"] += 1
            logs.log_event(logging.ERROR, "member_link_failed", error)
        finally:
            self.reader.close()
            await anyio.aclose_forcefully(self.stream)


class Links:
    """All links of a process. `out` and `into` are emptied as links end, `refused` as its spans pass."""

    def __init__(
        self, bounds: Bounds, period: float, badge: wire.Badge, take: Callable[[wire.Whole], None],
        on_refused: Callable[[str], None],
    ) -> None:  # fmt: skip
        """`on_refused`: told the address of each connect that was refused."""
        self.bounds, self.period, self.badge, self.take = bounds, period, badge, take
        self.on_refused = on_refused
        self.pool = wire.Pool()
        self.out: dict[str, Link] = {}  # by address
        self.into: set[Heard] = set()
        self.refused: dict[str, float] = {}  # by address, until when it is not tried again
        self.tasks: TaskGroup | None = None  # while it runs

    async def run(self, host: str, port: int) -> None:
        """Listen, until cancelled; OSError where this machine does not let it."""
        listener = await anyio.create_tcp_listener(local_host=host, local_port=port, backlog=self.bounds.into)
        try:
            async with listener, anyio.create_task_group() as self.tasks:
                self.tasks.start_soon(self._trim)
                await self._accepting(listener)
        finally:
            self.tasks = None
            self.out.clear()
            self.into.clear()

    async def _accepting(self, listener: Listener[SocketStream]) -> None:
        """Without descriptors nobody new comes in. The links that stand must stay: they say who is there."""
        while True:
            try:
                await listener.serve(self._heard, self.tasks)
            except* OSError as errors:
                if errors.subgroup(lambda error: getattr(error, "errno", None) in NO_LISTENER):
                    raise
                logs.counters["members_accept_failed"] += 1
                logs.log_peer_fault("member_accept_failed", reason=errors.exceptions[0])
            await anyio.sleep(ACCEPT_PAUSE)

    def tell(self, address: str, letter: bytes) -> bool:
        """Whether it is on its way; never waits."""
        now = clock()
        if self.tasks is None or now < self.refused.get(address, 0.0):
            return False
        link = self.out.get(address)
        if link is None or link.scope.cancel_called:
            if len(self.out) >= self.bounds.out:
                self._least_used()
            link = self.out[address] = Link(address, self.period)
            self.tasks.start_soon(self._keep, link)
        return link.tell(letter)

    def _least_used(self) -> None:
        least = min(self.out.values(), key=lambda link: (link.owed > 0, link.used))
        logs.counters["members_links_full"] += 1
        del self.out[least.address]
        least.scope.cancel()

    async def _keep(self, link: Link) -> None:
        try:
            await link.run()
        finally:
            if link.unreached and len(self.refused) < 2 * self.bounds.out:
                self.refused[link.address] = clock() + AGAIN * self.period
            if self.out.get(link.address) is link:
                del self.out[link.address]
            if link.refused:
                self.on_refused(link.address)

    async def _heard(self, stream: SocketStream) -> None:
        if len(self.into) >= self.bounds.into and not self._make_room():
            logs.counters["members_too_many"] += 1
            return await anyio.aclose_forcefully(stream)
        one = Heard(stream, wire.Reader(self.badge, self.pool), self.period)
        self.into.add(one)
        try:
            await one.run(self.take)
        finally:
            self.into.discard(one)

    def _make_room(self) -> bool:
        """Who has said nothing whole goes first, then who has been quiet for longest, at least a period."""
        quiet = min(self.into, key=lambda one: (one.said, one.at))
        if quiet.said and clock() < quiet.at + self.period:
            return False
        logs.counters["members_links_full"] += 1
        self.into.discard(quiet)
        quiet.scope.cancel()
        return True

    async def _trim(self) -> None:
        while True:
            await anyio.sleep(self.period)
            now = clock()
            self.refused = {at: until for at, until in self.refused.items() if now < until}
            for link in list(self.out.values()):
                if now > link.used + IDLE * self.period and not link.owed:
                    link.scope.cancel()
            for one in list(self.into):
                begun = one.reader.is_incomplete() or not one.said
                since, span = (one.begun_at, HALF_SAID) if begun else (one.at, 2 * IDLE)
                if now > since + span * self.period:
                    logs.counters["members_half_said" if begun else "members_silent"] += 1
                    one.scope.cancel()


async def last_words(letters: list[tuple[str, bytes]], period: float) -> None:
    """On connections of their own, all at once, in a short moment: those that were open may be cancelled."""

    async def say(address: str, letter: bytes) -> None:
        with suppress(*LOST):
            stream = await connect(address, period)
            try:
                await stream.send(letter)
            finally:
                await stream.aclose()

    with anyio.move_on_after(FAREWELL, shield=True):
        async with anyio.create_task_group() as tasks:
            for address, letter in letters:
                tasks.start_soon(say, address, letter)
