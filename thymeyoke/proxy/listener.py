"""A listener for one tenant: takes connections, looks at none."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable

from thymeyoke.proxy import configuration, relay
from thymeyoke.runtime import logs
from thymeyoke.runtime.extensions import HostConfigurationError

ACCEPTS = 64  # in one turn of the event loop
ACCEPT_PAUSE = 0.05  # seconds after a failed accept


class Service:
    """`number` is the tenant's, at this node. `taken` gets each connection and where it comes from."""

    def __init__(
        self, told: configuration.Service, number: int, taken: Callable[[Service, socket.socket, str], None]
    ) -> None:
        self.told, self.number, self.taken = told, number, taken
        self.door: socket.socket | None = None
        self.again: asyncio.TimerHandle | None = None
        self.backlog = 0
        self.loop: asyncio.AbstractEventLoop | None = None  # while it runs

    def open(self, backlog: int) -> None:
        """Customers that come all at once wait in the queue, as many as there is room for later. `Refused`
        where the address can't be had."""
        where = self.told.address
        door: socket.socket | None = None
        try:
            family = socket.AF_INET if where.ip.version == 4 else socket.AF_INET6
            door = socket.socket(family, socket.SOCK_STREAM)
            door.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            if where.ip.version == 6:
                door.setsockopt(socket.IPPROTO_IPV6, socket.IPV6_V6ONLY, 1)
            relay.dress(door)
            door.bind((str(where.ip), where.port))
            door.listen(backlog)
            door.setblocking(False)
        except OSError as error:
            if door is not None:
                door.close()
            raise HostConfigurationError(
                f"[node.service {self.told.tenant}] address: {where} can't be listened on "
                f"({error.strerror}); give a free one of this machine"
            ) from None
        self.door, self.backlog = door, backlog

    def take_over(self, other: Service) -> None:
        """Its listener and queue: the address stays, though what is told of it may differ."""
        other.rest()
        self.door, self.backlog, other.door = other.door, other.backlog, None

    def rest(self) -> None:
        """Take nothing for now."""
        if self.again is not None:
            self.again.cancel()
            self.again = None
        if self.door is not None and self.loop is not None:
            self.loop.remove_reader(self.door.fileno())

    def run(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop, self.again = loop, None
        if self.door is not None:
            loop.add_reader(self.door.fileno(), self._accept)

    def shut(self) -> None:
        """Close it, with nobody in its queue: they came in time."""
        if self.door is None:
            return
        self.rest()
        if self.loop is not None:
            for _ in range(self.backlog):
                if not self._let_in():
                    break
        door, self.door = self.door, None
        door.close()

    def _accept(self) -> None:
        for _ in range(ACCEPTS):
            if self.door is None or not self._let_in():
                return

    def _let_in(self) -> bool:
        """Whether there may be another one."""
        assert self.door is not None
        try:
            accepted, source = self.door.accept()
        except (BlockingIOError, InterruptedError):
            return False
        except ConnectionAbortedError:
            return True
        except OSError as error:  # no descriptors
            logs.counters["node_accept_failed"] += 1
            logs.log_peer_fault("accept_failed", tenant=self.told.tenant, reason=error)
            self._pause()
            return False
        try:
            accepted.setblocking(False)
            self.taken(self, accepted, source[0])
        except Exception as error:  # one connection's trouble is not the listener's
            logs.counters["node_accept_error"] += 1
            logs.log_event(logging.ERROR, "accept_handler_failed", error, tenant=self.told.tenant)
            accepted.close()
        return True

    def _pause(self) -> None:
        """The listener stays readable: to look at once again would be a loop that does nothing else."""
        if self.door is not None and self.loop is not None and self.again is None:
            self.loop.remove_reader(self.door.fileno())
            self.again = self.loop.call_later(ACCEPT_PAUSE, self.run, self.loop)
