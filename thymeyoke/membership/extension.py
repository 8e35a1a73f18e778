"""The extension that makes an app server a member: it polls the server's status and announces state and load.

The state is COLD until the processor is ready and the server warm, then SERVING, LEAVING from the shutdown
notice on, and GONE at the end of the process. Imported only if the configuration has `[members]`.
"""

from __future__ import annotations

import socket
from contextlib import suppress

import anyio
from anyio.streams.memory import MemoryObjectSendStream

from thymeyoke.membership.configuration import Members
from thymeyoke.membership.load import ServerLoad, service_address
from thymeyoke.membership.service import MembershipService, incarnation
from thymeyoke.membership.view import Snapshot, State
from thymeyoke.runtime import logs
from thymeyoke.runtime.clock import clock
from thymeyoke.runtime.extensions import (
    ConfigurationChanged,
    DrainStarted,
    ExtensionContext,
    HostConfigurationError,
    ServerStatus,
    StatusQuery,
)
from thymeyoke.runtime.mailbox import take_all

STATUS_INTERVAL_SECONDS = 0.25  # between two status queries
MAX_NOTIFICATIONS = 32  # in the inbox

Notification = ServerStatus | DrainStarted | ConfigurationChanged


class MembershipExtension:
    """The membership extension of an app server."""

    name = "members"
    observes_requests, extends_drain = False, False

    def __init__(self, config: Members, context: ExtensionContext) -> None:
        self.config, self.context = config, context
        self.dispatcher: MemoryObjectSendStream[StatusQuery] = context.dispatcher
        self.outbox, self.inbox = anyio.create_memory_object_stream[Notification](MAX_NOTIFICATIONS)
        self.load = ServerLoad(clock())
        self.service = self._make_service(config, State.COLD)
        self.is_removed = self.must_restart = False  # the section was removed; its address has changed

    def _make_service(self, config: Members, state: State) -> MembershipService:
        context, address = self.context, service_address(*self.context.listen)
        return MembershipService(
            config, Snapshot(context.name, False, incarnation(), 0, state, "", address), context.seed
        )

    # Interface of extensions.

    def notify(self, notification: Notification) -> None:
        """Queue a notification; dropped and counted if the inbox is full."""
        try:
            self.outbox.send_nowait(notification)
        except anyio.WouldBlock:
            logs.counters["members_letters_full"] += 1
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            pass

    def close(self) -> None:
        """Close the inbox."""
        self.outbox.close()
        self.inbox.close()

    async def run(self) -> None:
        """Run until the section is removed; a change of address restarts the membership."""
        while not self.is_removed:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.service.run)
                await self._poll_status()
                self.service.leave()  # `run` then sends its farewell and ends
            if self.must_restart:
                self.must_restart, state = False, self.service.membership.own.state
                self.service = self._make_service(self.config, min(state, State.LEAVING))
                self.load.announce(clock(), self.service.announce)
        self.close()

    async def _poll_status(self) -> None:
        next_query_at = clock()
        while not (self.is_removed or self.must_restart):
            now = clock()
            if now >= next_query_at:
                next_query_at = now + STATUS_INTERVAL_SECONDS
                self._query_status(now)
            with anyio.move_on_after(max(0.0, next_query_at - clock())):
                self._handle(await self.inbox.receive())
            for notification in take_all(self.inbox):
                self._handle(notification)

    def _query_status(self, now: float) -> None:
        if self.load.query_sent(now):
            logs.counters["members_late_looks"] += 1
            self.load.announce(now, self.service.announce)
        with suppress(anyio.WouldBlock, anyio.BrokenResourceError, anyio.ClosedResourceError):
            self.dispatcher.send_nowait(StatusQuery(self))

    def _handle(self, notification: Notification) -> None:
        now = clock()
        match notification:
            case ServerStatus():
                self.load.update(now, notification, logs.counters["connections_accepted"])
                self.load.announce(now, self.service.announce)
            case DrainStarted():
                self.load.start_draining()
                self.load.announce(now, self.service.announce)
            case ConfigurationChanged(section):
                self._reconfigure(section)

    def _reconfigure(self, config: Members | None) -> None:
        if config is None:
            self.is_removed = True
            return
        old, self.config = self.config, config
        if (old.address, old.advertise, old.fleet) != (config.address, config.advertise, config.fleet):
            self.must_restart = True  # leaves with a farewell and joins as a new incarnation
        elif old != config:
            self.service.reconfigure(config)


def check_host(config: Members) -> None:
    """Raise `HostConfigurationError` if this machine does not have the configured IP address.

    The port is not checked, as the running process may be using it.
    """
    ip = config.address.ip
    family = socket.AF_INET if ip.version == 4 else socket.AF_INET6
    with socket.socket(family, socket.SOCK_STREAM) as sock:
        try:
            sock.bind((str(ip), 0))
        except OSError as error:
            raise HostConfigurationError(
                f"[members] address: cannot bind to {ip} ({error.strerror}); use an address of this machine"
            ) from None


def create_extension(config: Members, context: ExtensionContext) -> MembershipExtension:
    """Create the extension for an app server."""
    return MembershipExtension(config, context)
