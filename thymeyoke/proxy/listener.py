"""The listener of one tenant, which accepts connections without reading from them."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable

from thymeyoke.proxy import configuration, relay
from thymeyoke.runtime import logs
from thymeyoke.runtime.extensions import HostConfigurationError

ACCEPTS_PER_TURN = 64  # per iteration of the event loop
ACCEPT_BACKOFF_SECONDS = 0.05  # after a failed accept


class Service:
    """One tenant's service.

    `number` is the tenant's number at this node, and `on_accept` gets each connection and its source address.
    """

    def __init__(
        self,
        settings: configuration.Service,
        number: int,
        on_accept: Callable[[Service, socket.socket, str], None],
    ) -> None:
        self.settings, self.number, self.on_accept = settings, number, on_accept
        self.listener: socket.socket | None = None
        self.resume_timer: asyncio.TimerHandle | None = None
        self.backlog = 0
        self.loop: asyncio.AbstractEventLoop | None = None  # while it runs

    def open(self, backlog: int) -> None:
        """Bind the address; raises `HostConfigurationError` if it is not available.

        The backlog has room for as many connections as the node may hold, for clients that connect at the
        same time.
        """
        address = self.settings.address
        listener: socket.socket | None = None
        try:
            family = socket.AF_INET if address.ip.version == 4 else socket.AF_INET6
            listener = socket.socket(family, socket.SOCK_STREAM)
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            if address.ip.version == 6:
                listener.setsockopt(socket.IPPROTO_IPV6, socket.IPV6_V6ONLY, 1)
            relay.configure_socket(listener)
            listener.bind((str(address.ip), address.port))
            listener.listen(backlog)
            listener.setblocking(False)
        except OSError as error:
            if listener is not None:
                listener.close()
            raise HostConfigurationError(
                f"[node.service {self.settings.tenant}] address: {address} can't be listened on "
                f"({error.strerror}); give a free one of this machine"
            ) from None
        self.listener, self.backlog = listener, backlog

    def take_over(self, other: Service) -> None:
        """Take over the listener and backlog of another service with the same address."""
        other.pause()
        self.listener, self.backlog, other.listener = other.listener, other.backlog, None

    def pause(self) -> None:
        """Stop accepting for now."""
        if self.resume_timer is not None:
            self.resume_timer.cancel()
            self.resume_timer = None
        if self.listener is not None and self.loop is not None:
            self.loop.remove_reader(self.listener.fileno())

    def run(self, loop: asyncio.AbstractEventLoop) -> None:
        """Start accepting."""
        self.loop, self.resume_timer = loop, None
        if self.listener is not None:
            loop.add_reader(self.listener.fileno(), self._accept)

    def close(self) -> None:
        """Accept the connections in the backlog, which arrived in time, then close the listener."""
        if self.listener is None:
            return
        self.pause()
        if self.loop is not None:
            for _ in range(self.backlog):
                if not self._accept_one():
                    break
        listener, self.listener = self.listener, None
        listener.close()

    def _accept(self) -> None:
        for _ in range(ACCEPTS_PER_TURN):
            if self.listener is None or not self._accept_one():
                return

    def _accept_one(self) -> bool:
        """Accept one connection; return whether there may be more."""
        assert self.listener is not None
        try:
            accepted, source = self.listener.accept()
        except (BlockingIOError, InterruptedError):
            return False
        except ConnectionAbortedError:
            return True
        except OSError as error:  # out of descriptors
            logs.counters["node_accept_failed"] += 1
            logs.log_peer_fault("accept_failed", tenant=self.settings.tenant, reason=error)
            self._pause_after_error()
            return False
        try:
            accepted.setblocking(False)
            self.on_accept(self, accepted, source[0])
        except Exception as error:  # an error with one connection must not stop the listener
            logs.counters["node_accept_error"] += 1
            logs.log_event(logging.ERROR, "accept_handler_failed", error, tenant=self.settings.tenant)
            accepted.close()
        return True

    def _pause_after_error(self) -> None:
        """Pause after a failed accept, as the listener stays readable and retrying would be a busy loop."""
        if self.listener is not None and self.loop is not None and self.resume_timer is None:
            self.loop.remove_reader(self.listener.fileno())
            self.resume_timer = self.loop.call_later(ACCEPT_BACKOFF_SECONDS, self.run, self.loop)
