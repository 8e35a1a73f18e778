"""Actor for the section `[announce]`: observes the server and keeps the BGP peers up to date.

It is an extension of the server: the dispatcher notifies it of a drain, and answers a status query several
times a second. The controller decides the level of each address; each peer connection brings its peer there
by itself.
"""

from __future__ import annotations

import logging
from collections.abc import Mapping
from contextlib import suppress
from random import Random
from typing import Any

import anyio
from anyio.abc import SocketAttribute, SocketStream, TaskGroup
from anyio.streams.memory import MemoryObjectSendStream

from thymeyoke.bgp import tcp
from thymeyoke.bgp.configuration import Announce, Prefix
from thymeyoke.bgp.controller import Level, LevelController, LevelDecision, LevelSettings, ServerObservation
from thymeyoke.bgp.peer_connection import PeerConnection
from thymeyoke.bgp.presentation import ReceivedPaths
from thymeyoke.bgp.session import State
from thymeyoke.bgp.wire import ErrorCode, Notification
from thymeyoke.configuration.service_config import IpAddress
from thymeyoke.runtime import logs, status_socket
from thymeyoke.runtime.clock import clock
from thymeyoke.runtime.extensions import (
    ConfigurationChanged,
    DrainStarted,
    ExtensionContext,
    ServerStatus,
    StatusQuery,
)
from thymeyoke.runtime.mailbox import take_all

STATUS_INTERVAL = 0.25  # seconds
MAILBOX_SIZE = 32
DECONFIGURED, CHANGED = Notification(ErrorCode.CEASE, 3), Notification(ErrorCode.CEASE, 6)

HostNotification = ServerStatus | DrainStarted | ConfigurationChanged


def level_settings(settings: Announce) -> LevelSettings:
    """Return the settings of the level controller."""
    return LevelSettings(
        settings.least_others,
        settings.crowded_share,
        settings.crowded_after,
        settings.settle,
        settings.changes,
    )


def _own_identifiers(settings: Announce) -> tuple[bytes, ...]:
    """Return the identifiers by which this server recognizes its own paths."""
    return (settings.id.packed, *(hop.packed for hop in settings.next_hop))


class Advertiser:
    """Extension for the section `[announce]`."""

    name = "announce"
    observes_requests, extends_drain = False, True

    def __init__(
        self, settings: Announce, seed: int, dispatcher: MemoryObjectSendStream[StatusQuery]
    ) -> None:
        self.settings, self.rng, self.dispatcher = settings, Random(seed), dispatcher
        now = clock()
        self.controller = LevelController(now, level_settings(settings), settings.addresses)
        self.received_paths = ReceivedPaths(
            settings.as_, _own_identifiers(settings), settings.med, settings.addresses
        )
        self.peer_connections: dict[str, PeerConnection] = {}  # by the peer's name
        self.mailbox_sender, self.mailbox = anyio.create_memory_object_stream[HostNotification](MAILBOX_SIZE)
        self.wakeup = anyio.Event()  # set when received paths or caps have changed
        self.asked_at, self.status_received = 0.0, True
        self.stopping = False
        self.listener_scope: anyio.CancelScope | None = None
        self.history: list[tuple[float, str, str, str]] = []  # time, address, level, reason

    # Interface of extensions.

    def notify(self, notification: HostNotification) -> None:
        """Receive a notification without waiting; it is dropped if the mailbox is full."""
        try:
            self.mailbox_sender.send_nowait(notification)
        except anyio.WouldBlock:
            logs.counters["announce_letters_full"] += 1
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            pass

    def set_caps(self, caps: Mapping[Prefix, LevelDecision]) -> None:
        """Set the highest level of each address, and the reason. Addresses without a cap are not limited."""
        if caps != self.controller.caps:
            self.controller.caps = dict(caps)
            self.wakeup.set()

    def is_fully_advertised(self, ip: IpAddress) -> bool:
        """Return whether all addresses that contain this one are advertised at the highest level."""
        levels = [state.level for prefix, state in self.controller.addresses.items() if ip in prefix]
        return all(level == Level.FULL for level in levels)

    async def run(self) -> None:
        """Advertise until the section is removed or the task is cancelled."""
        control_at = status_socket.socket_path(self.settings.control, self.name)
        try:
            async with anyio.create_task_group() as self.tasks:
                self.tasks.start_soon(
                    status_socket.serve_status, control_at, self.name, lambda: self.status(clock())
                )
                self._start_peers()
                await self._run()
                for peer_connection in self.peer_connections.values():
                    peer_connection.stop(DECONFIGURED)
                with anyio.move_on_after(2 * tcp.CLOSE_GRACE):
                    while any(not peer_connection.done for peer_connection in self.peer_connections.values()):
                        await anyio.sleep(tcp.CLOSE_GRACE / 10)
                self.tasks.cancel_scope.cancel()
            self.close()
        finally:
            self.peer_connections.clear()
            self.listener_scope = None

    tasks: TaskGroup

    def close(self) -> None:
        """Close the mailbox."""
        self.mailbox_sender.close()
        self.mailbox.close()

    def _changed(self) -> None:
        """Wake up because the paths received from a peer have changed."""
        self.wakeup.set()

    async def _run(self) -> None:
        """Handle notifications and timers until stopped."""
        next_status_at = clock()
        while not self.stopping:
            now = clock()
            wake_at = min(next_status_at, self.controller.next_advance_at(now))
            notifications: list[HostNotification] = take_all(self.mailbox)
            if not notifications and not self.wakeup.is_set():
                with anyio.move_on_after(max(0.0, wake_at - now)):
                    await self._wait_for_notification(notifications)
            notifications += take_all(self.mailbox)
            self.wakeup = anyio.Event()
            now = clock()
            for notification in notifications:
                self._handle_notification(now, notification)
            if now >= next_status_at:
                next_status_at = now + STATUS_INTERVAL
                self._request_status(now)
            self._advance(now)

    async def _wait_for_notification(self, notifications: list[HostNotification]) -> None:
        """Wait for a notification or a wake-up."""
        async with anyio.create_task_group() as tasks:

            async def wakeup() -> None:
                await self.wakeup.wait()
                tasks.cancel_scope.cancel()

            tasks.start_soon(wakeup)
            notifications.append(await self.mailbox.receive())
            tasks.cancel_scope.cancel()

    def _request_status(self, now: float) -> None:
        """Send a status query; if the last one is unanswered, the server counts as overloaded."""
        if not self.status_received and self.controller.last:
            logs.counters["announce_late_looks"] += 1
            self.controller.observe(now, self.controller.last._replace(late=True))
        self.status_received = False
        with suppress(anyio.WouldBlock, anyio.BrokenResourceError, anyio.ClosedResourceError):
            self.dispatcher.send_nowait(StatusQuery(self))

    def _handle_notification(self, now: float, notification: HostNotification) -> None:
        """Handle one notification of the server."""
        match notification:
            case ServerStatus():
                self.status_received = True
                self.controller.observe(now, ServerObservation(*notification))
            case DrainStarted(door_at):
                self.controller.start_drain(now, door_at)
            case ConfigurationChanged(section):
                self._reconfigure(now, section)

    def _advance(self, now: float) -> None:
        """Bring the levels up to date, and log and send what changed."""
        for prefix in self.settings.addresses:
            self.controller.set_others(prefix, self.received_paths.count_others(prefix))
        changed = self.controller.advance(now)
        if not changed:
            return
        for prefix in changed:
            state = self.controller.addresses[prefix]
            logs.counters["announce_changes"] += 1
            logs.log_event(
                logging.INFO,
                "address_level_changed",
                address=prefix,
                as_=state.level.name.lower(),
                reason=state.reason,
            )
            self.history.append((now, str(prefix), state.level.name.lower(), state.reason))
        del self.history[:-16]
        self._update_peers(
            now, any(self.controller.addresses[prefix].level == Level.WITHDRAWN for prefix in changed)
        )

    def _current_levels(self) -> dict[Prefix, Level]:
        """Return the level of each address."""
        return {prefix: state.level for prefix, state in self.controller.addresses.items()}

    def _update_peers(self, now: float, is_withdrawal: bool) -> None:
        """Send the levels to all peers.

        A peer that does not take a withdrawal in time loses its session, which withdraws the addresses as
        well.
        """
        withdrawal_timeout = None
        if is_withdrawal:
            withdrawal_timeout = min(
                self.settings.settle / 2, max(0.05, (self.controller.listener_closes_at - now) / 4)
            )
        for peer_connection in self.peer_connections.values():
            peer_connection.set_wanted_levels(self._current_levels(), self.settings, withdrawal_timeout)

    # Configuration.

    def _reconfigure(self, now: float, settings: Announce | None) -> None:
        """Apply a changed section: restart the sessions that it affects."""
        if settings is None:
            self.stopping = True
            return
        previous, self.settings = self.settings, settings
        self.controller.reconfigure(now, level_settings(settings), settings.addresses)
        self.received_paths.reconfigure(
            settings.as_, _own_identifiers(settings), settings.med, settings.addresses
        )
        families = (
            {prefix.version for prefix in previous.addresses},
            {prefix.version for prefix in settings.addresses},
        )
        restart_all = (previous.as_, previous.id) != (settings.as_, settings.id) or families[0] != families[1]
        old_peers = {peer.name: peer for peer in previous.peers}
        new_peers = {peer.name: peer for peer in settings.peers}
        for name, peer in old_peers.items():
            if name not in new_peers:
                self._stop_peer(name, DECONFIGURED)
            elif restart_all or new_peers[name] != peer:
                self._stop_peer(name, CHANGED)
        if previous.listen != settings.listen and self.listener_scope:
            self.listener_scope.cancel()
            self.listener_scope = None
        self._start_peers()
        self._update_peers(now, False)

    def _stop_peer(self, name: str, reason: Notification) -> None:
        """Close a peer's session and forget its paths."""
        self.peer_connections.pop(name).stop(reason)
        self.received_paths.remove_peer(name)

    def _start_peers(self) -> None:
        """Start the configured peers and the listener that are not running yet."""
        for peer in self.settings.peers:
            if peer.name not in self.peer_connections:
                peer_connection = PeerConnection(
                    self.settings, peer, self.received_paths, self.rng, self._changed
                )
                peer_connection.set_wanted_levels(self._current_levels(), self.settings, None)
                self.peer_connections[peer.name] = peer_connection
                self.tasks.start_soon(self._run_peer, peer_connection)
        if self.settings.listen and self.listener_scope is None:
            self.listener_scope = anyio.CancelScope()
            self.tasks.start_soon(self._listen, self.listener_scope)

    async def _run_peer(self, peer_connection: PeerConnection) -> None:
        """Run a peer connection. After an error the peer's hold timer removes the routes."""
        try:
            await peer_connection.run()
        except Exception as error:
            logs.counters["announce_error"] += 1
            logs.log_event(logging.ERROR, "bgp_peer_failed", error, peer=peer_connection.peer.name)
        finally:
            peer_connection.done = True

    async def _listen(self, scope: anyio.CancelScope) -> None:
        """Accept connections of peers."""
        assert self.settings.listen is not None
        with scope:
            try:
                sock = tcp.listen(self.settings.listen, self.settings.peers)
            except OSError as error:
                logs.counters["announce_error"] += 1
                return logs.log_event(logging.ERROR, "bgp_listen_failed", error, address=self.settings.listen)
            listener = await anyio.abc.SocketListener.from_socket(sock)
            async with listener:
                while True:
                    try:
                        stream = await listener.accept()
                    except OSError:
                        logs.counters["announce_accept_failed"] += 1
                        await anyio.sleep(STATUS_INTERVAL)
                        continue
                    if not self._accept_connection(stream):
                        logs.counters["announce_strangers"] += 1
                        await anyio.aclose_forcefully(stream)

    def _accept_connection(self, stream: SocketStream) -> bool:
        """Pass an accepted connection to its peer; False if no peer wants it."""
        with suppress(OSError, anyio.TypedAttributeLookupError):
            host = str(stream.extra(SocketAttribute.remote_address)[0])
            candidates = [one for one in self.peer_connections.values() if str(one.peer.address.ip) == host]
            for peer_connection in sorted(candidates, key=lambda one: not one.peer.passive)[:1]:
                tcp.prepare_accepted(stream, peer_connection.peer)
                return peer_connection.accept(stream)
        return False

    # Status.

    def status(self, now: float) -> dict[str, Any]:
        """Return plain values for `announce show` and `announce why`."""
        addresses = [
            {
                "address": str(prefix), "level": state.level.name.lower(), "why": state.reason,
                "since": state.since, "for": max(0.0, now - state.since), "changes": state.changes,
                "others": state.others,
                "known": self.received_paths.describe(prefix),
                "peers": {
                    name: "held" if prefix in peer_connection.primary.sent_routes
                    else "no session" if peer_connection.primary.session.state != State.ESTABLISHED
                    else "not announced"
                    for name, peer_connection in self.peer_connections.items()
                },
            }
            for prefix, state in self.controller.addresses.items()
        ]  # fmt: skip
        overload, last = self.controller.overload, self.controller.last
        return {
            "now": now,
            "peers": [peer_connection.status(now) for peer_connection in self.peer_connections.values()],
            "addresses": addresses,
            "looks": last._asdict() if last else None,
            "crowd": {
                "heat": overload.overload_seconds,
                "hot": overload.is_overloaded,
                "after": self.settings.crowded_after,
            },
            "budget": {"left": self.controller.budget.tokens, "of": self.settings.changes},
            "drain": self.controller.listener_closes_at < float("inf"),
            "history": [
                dict(zip(("at", "address", "level", "why"), row, strict=True)) for row in self.history
            ],
        }


def check_host(settings: Announce) -> None:
    """Check that this machine supports the socket options; raises `HostConfigurationError` otherwise."""
    tcp.check_options(settings)


def create_extension(settings: Announce, context: ExtensionContext) -> Advertiser:
    """Create the extension for the section `[announce]`."""
    return Advertiser(settings, context.seed, context.dispatcher)
