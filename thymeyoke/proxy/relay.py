"""Relays between client and app server connections, with a small fixed buffer and without parsing.

There is no task and no buffer for each connection. When a socket is readable, its data goes through one
buffer of the process to the other socket. Data that the other socket does not accept is kept, and the source
is not read until it is written. At most `WINDOW_BYTES` in each direction are therefore kept here, and
`KERNEL_BUFFER_BYTES` at each of the two sockets.

Half-closes and resets are passed on. Data is delivered before the end that follows it: a client whose app
server has ended gets the rest of its answer even if it continues to send; what it sends is read and
discarded.
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

WINDOW_BYTES = 1 << 14  # size of a read, and the maximum buffered in each direction
KERNEL_BUFFER_BYTES = 1 << 16  # requested socket buffers; Linux doubles them
STALL_TIMEOUT_SECONDS = 30.0  # for a side that accepts no data
HALF_CLOSE_TIMEOUT_SECONDS = 60.0  # without data, once the other half has ended
LINGER_TIMEOUT_SECONDS = 5.0  # for a client to receive the rest of its answer after the relay has ended
MAX_DISCARDED_BYTES = 1 << 20  # of a lingering client; after that nothing more is read
OWN_STALL_SECONDS = 5.0  # between two sweeps; beyond it this process was stalled
# These detect a dead machine after 90 s.
NODELAY, KEEPALIVE_IDLE_SECONDS, KEEPALIVE_INTERVAL_SECONDS, KEEPALIVE_PROBES = 1, 60, 10, 3
# At least as long, as it replaces the number of probes.
USER_TIMEOUT_SECONDS = KEEPALIVE_IDLE_SECONDS + KEEPALIVE_INTERVAL_SECONDS * KEEPALIVE_PROBES
RESET = struct.pack("ii", 1, 0)
MAX_DRAIN_READS = 4 * KERNEL_BUFFER_BYTES // WINDOW_BYTES  # enough to empty a socket with doubled buffers

# The event loop is given descriptor numbers, not sockets: for an unknown socket it formats an error
# message, with two system calls, that is never used.
_buffer = memoryview(bytearray(WINDOW_BYTES))  # shared by the process, as no user of it yields


def configure_socket(sock: socket.socket) -> None:
    """Set the options of a relay's socket; accepted connections inherit those of their listener."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, NODELAY)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    # Keepalive probes are not sent while data is unacknowledged, and that data would be retransmitted for a
    # quarter of an hour.
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 1000 * USER_TIMEOUT_SECONDS)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, KERNEL_BUFFER_BYTES)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, KERNEL_BUFFER_BYTES)


def max_lingering(connections: int) -> int:
    """How many connections a node of this size keeps open at once for the rest of an answer."""
    return connections // 4 + 16


def unacknowledged_bytes(sock: socket.socket) -> int:
    """Bytes, including the end of file, that the peer's system has not acknowledged.

    Raises `OSError` on a closed socket.
    """
    return int.from_bytes(ioctl(sock.fileno(), TIOCOUTQ, bytes(4)), "little")


def reset(sock: socket.socket) -> None:
    """Close with a reset, unless data is still being sent; it arrives first, followed by the end of file."""
    with suppress(OSError):
        if not unacknowledged_bytes(sock):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        else:
            for _ in range(
                MAX_DRAIN_READS
            ):  # closing with unread data would cause a reset that overtakes sent data
                if not sock.recv_into(_buffer, 0, socket.MSG_DONTWAIT):
                    break
    sock.close()


class Direction:
    """One direction of a relay."""

    __slots__ = ("buffered", "discarded", "ended", "relay", "sink", "source")

    def __init__(self, relay: Relay, source: socket.socket, sink: socket.socket) -> None:
        self.relay, self.source, self.sink = relay, source, sink
        self.buffered = b""  # read but not yet written; nothing is read while there is some
        self.ended = False  # no more data in this direction
        self.discarded = 0  # bytes read since

    def readable(self) -> None:
        """Handle a readable source."""
        try:
            self._forward()
        except Exception as error:
            self.relay.failed(error)

    def writable(self) -> None:
        """Handle a writable sink."""
        try:
            self._drain()
        except Exception as error:
            self.relay.failed(error)

    def _forward(self) -> None:
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
        self.relay.data_passed()
        try:
            sent = self.sink.send(_buffer[:many])
        except (BlockingIOError, InterruptedError):
            sent = 0
        except OSError:
            return self._sink_lost()
        if sent < many:
            self.buffered = bytes(_buffer[sent:many])
            relays.loop.remove_reader(self.source.fileno())
            relays.loop.add_writer(self.sink.fileno(), self.writable)
            relays.blocked[self] = clock()

    def _drain(self) -> None:
        relays = self.relay.relays
        try:
            sent = self.sink.send(self.buffered)
        except (BlockingIOError, InterruptedError):
            return
        except OSError:
            return self._sink_lost()
        if sent < len(self.buffered):
            self.buffered = self.buffered[sent:]
            relays.blocked[self] = clock()
            return self.relay.data_passed()
        self._release_buffer()
        relays.loop.add_reader(self.source.fileno(), self.readable)

    def _release_buffer(self) -> None:
        """Drop the buffered data."""
        if self.buffered:
            self.buffered = b""
            self.relay.relays.loop.remove_writer(self.sink.fileno())
            del self.relay.relays.blocked[self]

    def _finish(self) -> None:
        """Handle the end of file of the source."""
        self.ended = True
        self.relay.relays.loop.remove_reader(self.source.fileno())
        try:
            self.sink.shutdown(socket.SHUT_WR)
        except OSError:  # already closed; its earlier data is still read
            return self._sink_lost()
        self.relay.half_closed()

    def _sink_lost(self) -> None:
        """Handle the loss of the sink.

        Data that it sent before may still be unread in the other direction, which ends by itself. The source
        is read on, as a client that is blocked in writing may not read either.
        """
        self.ended = self.relay.was_reset = True
        self._release_buffer()
        self.discard_input()
        self.relay.half_closed()

    def discard_input(self) -> None:
        """Read and discard the source's data from now on."""
        if self.discarded < MAX_DISCARDED_BYTES:
            self.relay.relays.loop.add_reader(self.source.fileno(), self._discard)

    def _discard(self) -> None:
        relays = self.relay.relays
        try:
            many = self.source.recv_into(_buffer)
        except (BlockingIOError, InterruptedError):
            return
        except OSError:
            many = 0
        self.discarded += many
        if not many or self.discarded >= MAX_DISCARDED_BYTES:
            relays.loop.remove_reader(self.source.fileno())
        if not many and self in relays.lingering:
            relays.end_lingering(self)


class Relay:
    """Both directions of a relay; `on_end` is called once when it has ended."""

    __slots__ = ("directions", "on_end", "relays", "was_reset")

    def __init__(
        self, relays: Relays, client: socket.socket, server: socket.socket, on_end: Callable[[], None]
    ) -> None:
        self.relays, self.on_end = relays, on_end
        self.was_reset = False  # one direction was reset, so both sides are
        self.directions = Direction(self, client, server), Direction(self, server, client)
        for direction in self.directions:
            relays.loop.add_reader(direction.source.fileno(), direction.readable)

    def data_passed(self) -> None:
        """Note that data has passed."""
        if self in self.relays.half_closed_since:
            self.relays.half_closed_since[self] = clock()

    def half_closed(self) -> None:
        """Handle the end of one direction."""
        if all(direction.ended for direction in self.directions):
            self.end(self.was_reset)
        else:
            self.relays.half_closed_since[self] = clock()

    def end(self, with_reset: bool) -> None:
        """End both directions."""
        if self not in self.relays.open_relays:
            return
        self.relays.remove(self)
        for direction in self.directions:
            if direction.buffered:
                self.relays.loop.remove_writer(direction.sink.fileno())
            elif (self.was_reset or not direction.ended) and direction.source.fileno() >= 0:
                self.relays.loop.remove_reader(direction.source.fileno())
        for direction in self.directions:
            if (
                direction is self.directions[0]
                and (with_reset or not direction.ended)
                and self.relays.linger(direction)
            ):
                continue
            if with_reset:
                reset(direction.source)
            else:
                direction.source.close()
        self.on_end()

    def failed(self, error: Exception) -> None:
        """End this relay after an unexpected error."""
        logs.counters["node_relay_error"] += 1
        logs.log_event(logging.ERROR, "relay_failed", error)
        self.end(True)


class Relays:
    """All relays of a node; relays leave `open_relays` as they end."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop, self.octets = loop, 0
        self.open_relays: set[Relay] = set()
        self.blocked: dict[Direction, float] = {}  # since when no data was accepted
        self.half_closed_since: dict[Relay, float] = {}  # time of the last data of half-closed relays
        # Directions from clients whose relay has ended while the rest of the answer is being sent, with
        # the time of the end, oldest first.
        self.lingering: dict[Direction, float] = {}
        self.max_lingering_directions = max_lingering(0)  # maximum of them
        self.last_sweep_at = clock()

    def start(self, client: socket.socket, server: socket.socket, on_end: Callable[[], None]) -> Relay:
        """Start a relay between two connected non-blocking sockets."""
        relay = Relay(self, client, server, on_end)
        self.open_relays.add(relay)
        return relay

    def remove(self, relay: Relay) -> None:
        """Forget a relay that has ended."""
        self.open_relays.discard(relay)
        self.half_closed_since.pop(relay, None)
        for direction in relay.directions:
            self.blocked.pop(direction, None)

    def sweep(self, now: float) -> None:
        """End stalled relays: a side that accepts no data, or a half-closed relay without data.

        Called several times a second. After a stall of this process all times start anew, as nothing could
        pass meanwhile.
        """
        stood, self.last_sweep_at = now > self.last_sweep_at + OWN_STALL_SECONDS, now
        if stood:
            self.blocked = dict.fromkeys(self.blocked, now)
            self.half_closed_since = dict.fromkeys(self.half_closed_since, now)
            self.lingering = dict.fromkeys(self.lingering, now)
        for direction, since in list(self.blocked.items()):
            if now >= since + STALL_TIMEOUT_SECONDS:
                logs.counters["node_stalled"] += 1
                direction.relay.end(True)
        for relay, since in list(self.half_closed_since.items()):
            if now >= since + HALF_CLOSE_TIMEOUT_SECONDS and relay in self.open_relays:
                logs.counters["node_half_open"] += 1
                relay.end(False)
        for direction, since in list(self.lingering.items()):
            if now >= since + LINGER_TIMEOUT_SECONDS or direction.discarded >= MAX_DISCARDED_BYTES:
                rest = unacknowledged_bytes(direction.source)
                if now >= since + LINGER_TIMEOUT_SECONDS or not rest:
                    self.end_lingering(direction, bool(rest))

    def linger(self, direction: Direction) -> bool:
        """Keep a client's socket open, ended from this side, until it has received the data being sent.

        Returns whether that is needed. A close would answer further data of the client with a reset, which
        discards the rest of the answer. Beyond `max_lingering_directions` the oldest one is closed.
        """
        try:
            if not unacknowledged_bytes(direction.source):
                return False
            direction.source.shutdown(socket.SHUT_WR)
        except OSError:
            return False
        if len(self.lingering) >= self.max_lingering_directions:
            self.end_lingering(next(iter(self.lingering)), True)
        self.lingering[direction] = clock()
        direction.discard_input()
        return True

    def end_lingering(self, direction: Direction, late: bool = False) -> None:
        """Close a lingering connection that has ended or received everything.

        If it is `late`, the client may lose the rest.
        """
        del self.lingering[direction]
        self.loop.remove_reader(direction.source.fileno())
        if not late:
            return direction.source.close()
        logs.counters["node_rest_late"] += 1
        reset(direction.source)

    def close(self) -> None:
        """End all relays."""
        for relay in list(self.open_relays):
            relay.end(False)
        for direction in list(self.lingering):
            self.end_lingering(direction, unacknowledged_bytes(direction.source) > 0)
