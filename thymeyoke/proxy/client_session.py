"""The connections of customers, each from its accept to its end.

Callbacks of sockets move the state of one connection, by the table of `life.py`; `settle` asks the decisions
(table, connects, seats) what is next for all of them and carries it out. Nothing is read before the app
server is connected to.
"""

from __future__ import annotations

import asyncio
import errno
import logging
import select
import socket
from collections import deque
from collections.abc import Callable, Mapping
from functools import partial
from heapq import heappop, heappush
from itertools import count
from random import Random
from typing import NamedTuple

from thymeyoke.affinity.clients import client_key
from thymeyoke.affinity.controller import JOIN_TIMEOUT_MARGINS, AffinityTable, Assignment, AssignmentReason
from thymeyoke.proxy import relay, session_state
from thymeyoke.proxy.connection_admission import QUEUE_TIMEOUT_SECONDS, ConnectionTable, WaitingConnection
from thymeyoke.proxy.listener import Service
from thymeyoke.proxy.load import Rates
from thymeyoke.proxy.session_state import At, Do, Event
from thymeyoke.proxy.upstream_connector import Connects, Open
from thymeyoke.runtime import logs
from thymeyoke.runtime.clock import clock

FOR_ALL = (
    AssignmentReason.JOINING,
    AssignmentReason.NO_SERVER,
)  # why a guest waits for its seat, and so does everybody behind it
RESET = select.POLLERR | select.POLLHUP
OURS = (
    errno.EMFILE,
    errno.ENFILE,
    errno.ENOBUFS,
    errno.ENOMEM,
    errno.EADDRNOTAVAIL,
)  # this machine's trouble

# What is counted when a connection is closed with nothing run, by where it stood and what happened.
COUNTED = {
    (At.SILENT, Event.LATE): "node_silent",
    (At.SILENT, Event.LEFT): "node_left_early",
    (At.SILENT, Event.PUSHED): "node_pushed_out",
    (At.WAITING, Event.LATE): "node_waited_out",
    (At.WAITING, Event.LEFT): "node_left_early",
    (At.WAITING, Event.PUSHED): "node_pushed_out",
    (At.SEATING, Event.LATE): "node_no_place",
    (At.SEATING, Event.LEFT): "node_left_early",
    (At.SEATING, Event.UNSEATED): "node_no_place",
    (At.CONNECTING, Event.LATE): "node_no_place",
    (At.CONNECTING, Event.LEFT): "node_left_early",
    (At.CONNECTING, Event.UNSEATED): "node_no_place",
}


class Place(NamedTuple):
    """Where an app server takes ops."""

    family: socket.AddressFamily
    address: tuple[str, int]


class Guest:
    """One connection of a customer."""

    __slots__ = ("at", "let_in_at", "number", "server", "service", "sock", "source", "waiter", "way", "who")

    def __init__(self, number: int, service: Service, sock: socket.socket, source: str) -> None:
        self.number, self.service, self.sock, self.source = number, service, sock, source
        self.who = 0  # its customer, once it is let in
        self.at, self.server = At.SILENT, ""
        self.let_in_at = 0.0  # since when it has a place at the table; 0 without one
        self.waiter: WaitingConnection | None = None  # while it waits
        self.way: socket.socket | None = None  # to its app server, until octets pass


class Guests:
    """All of a node. `every` is emptied as connections end. `poke`: have `settle` called soon. `awake`: told
    the moment before callbacks of the loop tell seats anything; they may run before the node's own turn."""

    def __init__(
        self, most: int, seats: AffinityTable, rng: Random, loop: asyncio.AbstractEventLoop,
        poke: Callable[[], None], awake: Callable[[float], None],
    ) -> None:  # fmt: skip
        self.seats, self.loop, self.poke, self.awake = seats, loop, poke, awake
        self.table, self.connects = ConnectionTable(most), Connects(most, rng)
        self.relays, self.rates = relay.Relays(loop), Rates(clock())
        self.relays.most = relay.rests_most(most)
        self.every: dict[int, Guest] = {}
        self.numbered = count(1)
        self.places: Mapping[str, Place] = {}
        # Guests whose seat is asked for again; emptied as moments pass. Where the reason is everybody's, only
        # the first in the queue is asked for.
        self.asks: list[tuple[float, int]] = []
        self.queue: deque[Guest] = deque()
        self.queue_at = float("inf")
        self.news = False  # seats may say something else now
        self.touched = False  # seats were told something since they were last settled
        self.patience = max(
            QUEUE_TIMEOUT_SECONDS, JOIN_TIMEOUT_MARGINS * seats.margin
        )  # seconds that one who was let in waits for its seat
        self.does: dict[Do, Callable[[float, Guest], None]] = {
            Do.ASK_PLACE: self._ask_place, Do.ASK_SEAT: self._ask_seat, Do.ASK_CONNECT: self._ask_connect,
            Do.ASK_NEXT: self._ask_next, Do.PASS: self._pass, Do.GIVE_BACK: self._give_back,
            Do.LEAVE_SEAT: self._leave_seat, Do.CLOSE: self._close,
        }  # fmt: skip

    # Told from outside.

    def change(self, most: int) -> None:
        """Another size of the table."""
        self.table.max_connections = most
        self.connects.change(most)
        self.relays.most = relay.rests_most(most)
        self.poke()

    def saw(self, places: Mapping[str, Place]) -> None:
        """App servers that are there."""
        self.places, self.news = places, True
        self.connects.saw(places)

    def take(self, service: Service, sock: socket.socket, source: str) -> None:
        """A connection, just accepted."""
        now = clock()
        logs.counters["node_accepted"] += 1
        guest = Guest(next(self.numbered), service, sock, source)
        waiter, pushed = self.table.add(now, service.number, guest)
        if pushed is not None:
            pushed.connection.waiter = None
            self._move(now, pushed.connection, Event.PUSHED)
        if waiter is None:
            logs.counters["node_turned_away"] += 1
            return relay.reset(sock)
        guest.waiter = waiter
        self.every[guest.number] = guest
        if not self._look_in(guest):
            self.loop.add_reader(sock.fileno(), self._look_in, guest)

    def close(self) -> None:
        """Whatever is still open."""
        self.relays.close()
        for guest in list(self.every.values()):
            self._end(guest)

    # What the sockets say.

    def _look_in(self, guest: Guest) -> bool:
        """Whether its customer has said something, or left. What it said stays unread."""
        try:
            event = Event.SPOKE if guest.sock.recv(1, socket.MSG_PEEK) else Event.LEFT
        except (BlockingIOError, InterruptedError):
            return False
        except OSError:
            event = Event.LEFT
        self.loop.remove_reader(guest.sock.fileno())
        self._move(clock(), guest, event)
        return True

    def _reached(self, guest: Guest) -> None:
        """A connect has an outcome."""
        assert guest.way is not None
        self.loop.remove_writer(guest.way.fileno())
        now, error = clock(), guest.way.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        place = self.places.get(guest.server)
        if not error and place and guest.way.getsockname()[:2] == place.address:
            error = (
                errno.ECONNREFUSED
            )  # nobody listens there: this machine gave us that very port, and it met itself
        if error:
            return self._unreached(now, guest, error)
        self.connects.came(now, guest.number)
        self._move(now, guest, Event.CONNECTED)
        if self.connects.wanted:
            self.poke()

    def _unreached(self, now: float, guest: Guest, error: int) -> None:
        logs.counters["node_connect_failed"] += 1
        logs.log_peer_fault(
            "upstream_connect_failed", server=guest.server, reason=errno.errorcode.get(error, error)
        )
        self.connects.failed(now, guest.number)
        self._drop_way(guest)
        self._move(now, guest, Event.FAILED)
        self.poke()

    def _ended(self, guest: Guest) -> None:
        """Its relay is over."""
        self._move(clock(), guest, Event.ENDED)
        if self.table.waiting:
            self.poke()

    # The life of one connection.

    def _move(self, now: float, guest: Guest, event: Event) -> None:
        before, step = guest.at, session_state.step(guest.at, event)
        guest.at = step.at
        if (what := COUNTED.get((before, event))) is not None:
            logs.counters[what] += 1
        try:
            for do in step.out:
                self.does[do](now, guest)
        except Exception as error:
            self._break(guest, error)
        if guest.at is At.GONE:
            self.every.pop(guest.number, None)

    def _break(self, guest: Guest, error: Exception) -> None:
        """An error that was not foreseen ends this one connection."""
        logs.counters["node_guest_error"] += 1
        logs.log_event(logging.ERROR, "client_session_failed", error, at=guest.at.name.lower())
        self._end(guest)

    def _end(self, guest: Guest) -> None:
        """Whatever state it was left in."""
        now, guest.at = clock(), At.GONE
        self._give_back(now, guest)
        self._close(now, guest)
        self.every.pop(guest.number, None)

    def _ask_place(self, now: float, guest: Guest) -> None:
        assert guest.waiter is not None
        self.table.first_bytes_received(now, guest.waiter)
        self.poke()

    def _ask_seat(self, now: float, guest: Guest) -> None:
        guest.who = client_key(guest.service.told.tenant, guest.source)
        look = select.poll()
        look.register(guest.sock, 0)
        if any(what & RESET for _, what in look.poll(0)):  # meanwhile: no connect for nobody
            return self._move(now, guest, Event.LEFT)
        self._seat(now, guest, self.seats.assign(now, guest.who))

    def _ask_next(self, now: float, guest: Guest) -> None:
        self.awake(now)
        self._seat(now, guest, self.seats.connect_failed(now, guest.who, guest.server))

    def _touch(self) -> None:
        if not self.touched:
            self.touched = True
            self.poke()

    def _seat(self, now: float, guest: Guest, seat: Assignment) -> None:
        self.touched = True
        logs.log_event(
            logging.DEBUG,
            "session_assigned",
            customer=guest.who,
            server=seat.server,
            reason=seat.reason.value,
        )
        if seat.server:  # one that has gone since fails like one that is not reached: the next place is asked
            guest.server = seat.server
            self._move(now, guest, Event.SEATED)
        elif seat.wait > 0 and seat.reason in FOR_ALL:
            self.queue.append(guest)
            self.queue_at = min(self.queue_at, now + seat.wait)
        elif seat.wait > 0:
            heappush(self.asks, (min(now + seat.wait, guest.let_in_at + self.patience), guest.number))
        else:
            self._move(now, guest, Event.UNSEATED)

    def _ask_connect(self, now: float, guest: Guest) -> None:
        if not self.connects.ask(now, guest.number, guest.server):
            logs.counters["node_tries_over"] += 1
            self._move(now, guest, Event.UNSEATED)
        self.poke()

    def _pass(self, now: float, guest: Guest) -> None:
        assert guest.way is not None
        self.awake(now)
        self.seats.connection_opened(now, guest.who, guest.server)
        self._touch()
        logs.counters["node_opened"] += 1
        self.rates.opened(guest.service.told.tenant)
        way, guest.way = guest.way, None
        self.relays.begin(guest.sock, way, partial(self._ended, guest))

    def _give_back(self, now: float, guest: Guest) -> None:
        if guest.let_in_at:
            guest.let_in_at = 0.0
            self.table.release(guest.service.number)

    def _leave_seat(self, now: float, guest: Guest) -> None:
        self.seats.connection_closed(now, guest.who, guest.server)
        self._touch()

    def _close(self, now: float, guest: Guest) -> None:
        """Nothing of it was read, so nothing ran: its customer may go elsewhere."""
        if guest.waiter is not None:
            self.table.remove(guest.waiter)
            guest.waiter = None
        self.connects.gone(guest.number)
        self._drop_way(guest)
        if guest.sock.fileno() >= 0:
            self.loop.remove_reader(guest.sock.fileno())
            relay.reset(guest.sock)

    def _drop_way(self, guest: Guest) -> None:
        if guest.way is not None:
            self.loop.remove_writer(guest.way.fileno())
            relay.reset(guest.way)
            guest.way = None

    # What is next.

    def next(self, now: float) -> float:
        """The next moment at which `settle` may do something though nothing was told."""
        moments = [self.table.next_expiry(), self.connects.next(now), self.queue_at]
        if self.asks:
            moments.append(self.asks[0][0])
        return min(moments)

    def settle(self, now: float) -> None:
        for waiter in self.table.expired(now):
            guest: Guest = waiter.connection
            if guest.at is At.SILENT and self._look_in(guest):  # this process is the one that was late
                continue
            self._move(now, guest, Event.LATE)
        self._ask_again(now)
        while (let_in := self.table.admit_next()) is not None:
            guest = let_in.connection
            guest.waiter, guest.let_in_at = None, now
            self._move(now, guest, Event.LET_IN)
        for number in self.connects.late(now):
            self._alone(now, self.every[number], self._late)
        while actions := self.connects.settle(now):  # each guest has few tries
            for action in actions:
                found = self.every.get(action.key)
                if found is None:
                    continue
                if isinstance(action, Open):
                    self._alone(now, found, self._connect)
                else:
                    self._move(now, found, Event.FAILED)

    def _ask_again(self, now: float) -> None:
        """Guests that wait for their seats, once their moment is there or something was heard."""
        if self.queue and (self.news or now >= self.queue_at):
            waits, self.queue, self.queue_at = self.queue, deque(), float("inf")
            while waits and not self.queue:  # the first one that waits on, and all behind it
                self._again(now, waits.popleft())
            self.queue.extend(waits)
        self.news = False
        while self.asks and self.asks[0][0] <= now:
            if (guest := self.every.get(heappop(self.asks)[1])) is not None:
                self._again(now, guest)

    def _again(self, now: float, guest: Guest) -> None:
        if guest.at is not At.SEATING:
            return
        if now >= guest.let_in_at + self.patience:
            return self._move(now, guest, Event.LATE)
        self._alone(now, guest, self._seat_again)

    def _seat_again(self, now: float, guest: Guest) -> None:
        self._seat(now, guest, self.seats.assign(now, guest.who))

    def _alone(self, now: float, guest: Guest, do: Callable[[float, Guest], None]) -> None:
        """An error with this one does not end the turn of all others."""
        try:
            do(now, guest)
        except Exception as error:
            self._break(guest, error)

    def _connect(self, now: float, guest: Guest) -> None:
        place = self.places.get(guest.server)
        if place is None:  # it is gone since
            return self._unreached(now, guest, errno.EHOSTUNREACH)
        try:
            sock = guest.way = socket.socket(place.family, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
            relay.dress(sock)
            error = sock.connect_ex(place.address)
        except OSError as failed:
            error = failed.errno or errno.EIO
        if error in OURS:  # no app server is told of it
            logs.counters["node_no_descriptor"] += 1
            return self._move(now, guest, Event.UNSEATED)
        if error not in (0, errno.EINPROGRESS):
            return self._unreached(now, guest, error)
        self.loop.add_writer(sock.fileno(), self._reached, guest)

    def _late(self, now: float, guest: Guest) -> None:
        """A connect is out for too long; but a node that stood still may not have heard of it yet."""
        assert guest.way is not None
        look = select.poll()
        look.register(guest.way, select.POLLOUT)
        if look.poll(0):
            return self._reached(guest)
        self._unreached(now, guest, errno.ETIMEDOUT)
