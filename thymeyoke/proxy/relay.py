"""One customer's connection and its way to the app server: octets pass unread, through a fixed small window.

No task and no buffer a connection: the event loop says that a socket can be read, what is there goes through
one buffer of the process to the other socket, and only what that one does not take at once is kept, with the
reading side left alone until it is gone. So what waits for a slow reader is at most `WINDOW` octets each way
here, and `KERNEL` (as the machine counts them) at each of the two sockets.

Half a close is passed on, a reset as well. What was taken is passed on before the end of it: a customer whose
app server is gone gets the rest of its answer though it writes on, what it writes being read and dropped.
"""

from __future__ import annotations

import asyncio
import logging
import socket
import struct
from collections.abc import Callable
from contextlib import suppress
from fcntl import ioctl
from termios import TIOCOUTQ

from thymeyoke.runtime import logs
from thymeyoke.runtime.clock import clock

WINDOW = 1 << 14  # octets of a read, and the most that is kept each way
KERNEL = 1 << 16  # octets asked of the machine for what is unread and unsent; Linux doubles it for its own
STALL = 30.0  # seconds in which a side takes some of what waits for it
HALF = 60.0  # seconds that one half stays open with no octet, once the other has ended
REST = 5.0  # seconds in which a customer gets the rest of its answer, once its relay has ended
UNHEARD = 1 << 20  # octets of it that are read and dropped meanwhile; then it is held up
STOOD = 5.0  # seconds between two looks at them from which on this process is the one that stood still
NODELAY, KEEP_IDLE, KEEP_SPAN, KEEP_TRIES = 1, 60, 10, 3  # a machine that is gone is found after 90 s
GONE = KEEP_IDLE + KEEP_SPAN * KEEP_TRIES  # seconds; no less: it counts in place of the tries
RESET = struct.pack("ii", 1, 0)
UNREAD = 4 * KERNEL // WINDOW  # reads that empty a socket: Linux keeps twice what it is asked for, and some

# The event loop is told numbers of descriptors, never sockets: one that it does not know it writes out in
# words, with two calls of the machine, for an error that nobody reads.
_buffer = memoryview(bytearray(WINDOW))  # of the whole process: no call that uses it waits for anything


def dress(sock: socket.socket) -> None:
    """The options of a relay's socket. Those of a listener hold for all that it accepts."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, NODELAY)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEP_IDLE)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEP_SPAN)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEP_TRIES)
    # The machine's own probes do not go out while octets are unacked: those alone would be sent again for a
    # quarter of an hour.
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 1000 * GONE)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, KERNEL)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, KERNEL)


def rests_most(connections: int) -> int:
    """How many connections a node of that size keeps at once for the rest of an answer."""
    return connections // 4 + 16


def unsent(sock: socket.socket) -> int:
    """Octets that the other side's machine has not acked, its end among them. OSError where it is closed."""
    return int.from_bytes(ioctl(sock.fileno(), TIOCOUTQ, bytes(4)), "little")


def reset(sock: socket.socket) -> None:
    """Close with a reset, unless octets are still on their way out: those arrive first, and an end after
    them, where the other side writes nothing more."""
    with suppress(OSError):
        if not unsent(sock):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        else:
            for _ in range(UNREAD):  # a close with some unread is a reset, which overtakes what is on its way
                if not sock.recv_into(_buffer, 0, socket.MSG_DONTWAIT):
                    break
    sock.close()


class Way:
    """One direction."""

    __slots__ = ("dropped", "ended", "held", "relay", "sink", "source")

    def __init__(self, relay: Relay, source: socket.socket, sink: socket.socket) -> None:
        self.relay, self.source, self.sink = relay, source, sink
        self.held = b""  # read, and not yet taken; while there is some, nothing is read
        self.ended = False  # no octet goes this way any more
        self.dropped = 0  # octets read since

    def readable(self) -> None:
        try:
            self._pass()
        except Exception as error:
            self.relay.broken(error)

    def writable(self) -> None:
        try:
            self._drain()
        except Exception as error:
            self.relay.broken(error)

    def _pass(self) -> None:
        relays = self.relay.relays
        try:
            many = self.source.recv_into(_buffer)
        except (BlockingIOError, InterruptedError):
            return
        except OSError:
            return self.relay.end(True)
        if not many:
            return self._finish()
        relays.octets += many
        self.relay.moves()
        try:
            sent = self.sink.send(_buffer[:many])
        except (BlockingIOError, InterruptedError):
            sent = 0
        except OSError:
            return self._lost()
        if sent < many:
            self.held = bytes(_buffer[sent:many])
            relays.loop.remove_reader(self.source.fileno())
            relays.loop.add_writer(self.sink.fileno(), self.writable)
            relays.blocked[self] = clock()

    def _drain(self) -> None:
        relays = self.relay.relays
        try:
            sent = self.sink.send(self.held)
        except (BlockingIOError, InterruptedError):
            return
        except OSError:
            return self._lost()
        if sent < len(self.held):
            self.held = self.held[sent:]
            relays.blocked[self] = clock()
            return self.relay.moves()
        self._let_go()
        relays.loop.add_reader(self.source.fileno(), self.readable)

    def _let_go(self) -> None:
        """Nothing waits here any more."""
        if self.held:
            self.held = b""
            self.relay.relays.loop.remove_writer(self.sink.fileno())
            del self.relay.relays.blocked[self]

    def _finish(self) -> None:
        """The source has ended its half."""
        self.ended = True
        self.relay.relays.loop.remove_reader(self.source.fileno())
        try:
            self.sink.shutdown(socket.SHUT_WR)
        except OSError:  # it is gone already; what it said before is still read
            return self._lost()
        self.relay.half()

    def _lost(self) -> None:
        """The sink takes nothing any more. What it said before may still stand unread the other way, which
        ends by itself; the source is read on, for one that is held up in writing may not read either."""
        self.ended = self.relay.cut = True
        self._let_go()
        self.read_on()
        self.relay.half()

    def read_on(self) -> None:
        if self.dropped < UNHEARD:
            self.relay.relays.loop.add_reader(self.source.fileno(), self._drop)

    def _drop(self) -> None:
        relays = self.relay.relays
        try:
            many = self.source.recv_into(_buffer)
        except (BlockingIOError, InterruptedError):
            return
        except OSError:
            many = 0
        self.dropped += many
        if not many or self.dropped >= UNHEARD:
            relays.loop.remove_reader(self.source.fileno())
        if not many and self in relays.rests:
            relays.let_go(self)


class Relay:
    """Both ways. `over` is told once, when it has ended."""

    __slots__ = ("cut", "over", "relays", "ways")

    def __init__(
        self, relays: Relays, customer: socket.socket, server: socket.socket, over: Callable[[], None]
    ) -> None:
        self.relays, self.over = relays, over
        self.cut = False  # one way ended with a reset: both sides hear of it
        self.ways = Way(self, customer, server), Way(self, server, customer)
        for way in self.ways:
            relays.loop.add_reader(way.source.fileno(), way.readable)

    def moves(self) -> None:
        """Octets passed."""
        if self in self.relays.halved:
            self.relays.halved[self] = clock()

    def half(self) -> None:
        if all(way.ended for way in self.ways):
            self.end(self.cut)
        else:
            self.relays.halved[self] = clock()

    def end(self, with_reset: bool) -> None:
        if self not in self.relays.every:
            return
        self.relays.forget(self)
        for way in self.ways:
            if way.held:
                self.relays.loop.remove_writer(way.sink.fileno())
            elif (self.cut or not way.ended) and way.source.fileno() >= 0:
                self.relays.loop.remove_reader(way.source.fileno())
        for way in self.ways:
            if way is self.ways[0] and (with_reset or not way.ended) and self.relays.keep(way):
                continue
            if with_reset:
                reset(way.source)
            else:
                way.source.close()
        self.over()

    def broken(self, error: Exception) -> None:
        """An error that was not foreseen ends this one relay."""
        logs.counters["node_relay_error"] += 1
        logs.log_event(logging.ERROR, "relay_failed", error)
        self.end(True)


class Relays:
    """All of a node's. `every` is emptied as they end."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop, self.octets = loop, 0
        self.every: set[Relay] = set()
        self.blocked: dict[
            Way, float
        ] = {}  # since when nothing was taken; emptied by `Way._let_go`, `forget`
        self.halved: dict[Relay, float] = {}  # the last octet of those with one half ended; by `forget`
        # Ways from customers whose relay has ended, with a rest of the answer on its way to them; since when,
        # in that order. Emptied by `let_go`.
        self.rests: dict[Way, float] = {}
        self.most = rests_most(0)  # of those at once
        self.swept_at = clock()

    def begin(self, customer: socket.socket, server: socket.socket, over: Callable[[], None]) -> Relay:
        """Both are connected and do not block."""
        relay = Relay(self, customer, server, over)
        self.every.add(relay)
        return relay

    def forget(self, relay: Relay) -> None:
        self.every.discard(relay)
        self.halved.pop(relay, None)
        for way in relay.ways:
            self.blocked.pop(way, None)

    def sweep(self, now: float) -> None:
        """End what stands still: a side that takes nothing, a half that says nothing. Called a few times a
        second; after a standstill of this process their time begins anew: nothing could pass meanwhile."""
        stood, self.swept_at = now > self.swept_at + STOOD, now
        if stood:
            self.blocked = dict.fromkeys(self.blocked, now)
            self.halved = dict.fromkeys(self.halved, now)
            self.rests = dict.fromkeys(self.rests, now)
        for way, since in list(self.blocked.items()):
            if now >= since + STALL:
                logs.counters["node_stalled"] += 1
                way.relay.end(True)
        for relay, since in list(self.halved.items()):
            if now >= since + HALF and relay in self.every:
                logs.counters["node_half_open"] += 1
                relay.end(False)
        for way, since in list(self.rests.items()):
            if now >= since + REST or way.dropped >= UNHEARD:
                rest = unsent(way.source)
                if now >= since + REST or not rest:
                    self.let_go(way, bool(rest))

    def keep(self, way: Way) -> bool:
        """Whether the source stays open, ended from this side, for what is on its way to it: a close would
        answer what it writes on with a reset, which drops the rest. The oldest gives way past `most`."""
        try:
            if not unsent(way.source):
                return False
            way.source.shutdown(socket.SHUT_WR)
        except OSError:
            return False
        if len(self.rests) >= self.most:
            self.let_go(next(iter(self.rests)), True)
        self.rests[way] = clock()
        way.read_on()
        return True

    def let_go(self, way: Way, late: bool = False) -> None:
        """Its customer has ended as well, or has all of it; or it is `late`, and may lose the rest."""
        del self.rests[way]
        self.loop.remove_reader(way.source.fileno())
        if not late:
            return way.source.close()
        logs.counters["node_rest_late"] += 1
        reset(way.source)

    def close(self) -> None:
        """End all of them; for a node that ends."""
        for relay in list(self.every):
            relay.end(False)
        for way in list(self.rests):
            self.let_go(way, unsent(way.source) > 0)
