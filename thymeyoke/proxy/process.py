"""One proxy node: creates its actors and runs them until it has drained.

`ClientSessions` handles the clients' connections and `MembershipService` the membership; `AffinityTable` and
`MigrationAdapter` make the decisions. One loop polls all of them and carries out what they return.
"""

from __future__ import annotations

import asyncio
import gc
import logging
import resource
import signal
import socket
from asyncio import selector_events
from collections.abc import Callable
from functools import partial
from pathlib import Path
from random import Random, SystemRandom
from typing import Any, NamedTuple

import anyio
from anyio.abc import TaskGroup, TaskStatus
from msgspec import structs

from thymeyoke.affinity import wire as affinity_wire
from thymeyoke.affinity.controller import AffinityTable, HandedOver, Joined, SendMessage
from thymeyoke.configuration import service_config
from thymeyoke.configuration.service_config import HostPort, ServiceConfig
from thymeyoke.configuration.start_file import Address, RequestNames
from thymeyoke.membership.configuration import Members
from thymeyoke.membership.service import MembershipService, incarnation
from thymeyoke.membership.transport import NODE_LINKS
from thymeyoke.membership.view import Member, Snapshot, State
from thymeyoke.proxy import relay
from thymeyoke.proxy.client_session import ClientSessions, UpstreamAddress
from thymeyoke.proxy.configuration import Node as NodeSettings
from thymeyoke.proxy.listener import Service
from thymeyoke.proxy.migration_adapter import MigrationAdapter
from thymeyoke.runtime import early_signals, extensions, logs, status_socket
from thymeyoke.runtime.clock import clock
from thymeyoke.runtime.extensions import DrainStarted, HostConfigurationError, ServerStatus, StatusQuery

REPORT_INTERVAL_SECONDS = 0.5  # seconds between published figures
COUNTERS_PERIOD_SECONDS = 10.0
SPARE_DESCRIPTORS = 64  # for the interpreter, the log, the control socket and BGP
BINDINGS_PER_CONNECTION = 32  # maximum bindings per connection of the table
MIN_AFFINITY_INTERVAL_SECONDS = 0.005  # minimum seconds between two runs of the affinity table
MAX_AFFINITY_DELAY_SECONDS = 0.05  # maximum delay after a change
# Of the idle timeout; how long a drain accepts connections
LISTENER_GRACE_SHARE = 1 / 8
MIN_LISTENER_GRACE_SECONDS = 1.0
MIN_DRAIN_SECONDS = 5.0  # minimum seconds for open connections after that, else the idle timeout
FAREWELL_TIMEOUT_SECONDS = 0.5  # seconds for sending the last messages
RESTART_BACKOFF_SECONDS = 0.1  # seconds until the loop continues after an error
MIN_LOOP_INTERVAL_SECONDS = 0.002  # minimum seconds between two iterations of the loop that is not woken
GC_THRESHOLDS = (10000, 10, 10)  # as for a server; connections create no reference cycles
STATUS_QUEUE_SIZE = 16
SERVER_SECTIONS = ("ledger",)  # sections that a node does not have
EXTENSION_SECTIONS = ("announce",)  # sections of extensions that a node can have


class RestartingActor(NamedTuple):
    """An actor that is restarted after an error."""

    name: str
    run: Callable[[], Any]


# Configuration.


def read_config(path: Path) -> ServiceConfig:
    """Read a node's service configuration and check that this machine supports it.

    Raises `ServiceConfigError` or `HostConfigurationError`.
    """
    config = service_config.read_service_config(path)
    check_config(config)
    return config


def check_config(config: ServiceConfig) -> None:
    """Check that the configuration is a node's and that this machine supports it."""
    if "node" not in config:
        raise HostConfigurationError("has no [node]; add it, or start an app server with `thymeyoke serve`")
    for name in SERVER_SECTIONS:
        if name in config:
            raise HostConfigurationError(
                f"[{name}] is for an app server, started by `thymeyoke serve`; a node has none"
            )
    settings: NodeSettings = config["node"]
    need, most = required_descriptors(settings), resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    if most != resource.RLIM_INFINITY and need > most:
        room = (most - required_descriptors(structs.replace(settings, connections=0))) * 4 // 13
        raise HostConfigurationError(
            f"[node] connections: {settings.connections} need {need} descriptors, and this process may have "
            + f"{most}; "
            + (f"give at most {room}" if room > 0 else "let it have more")
        )
    extensions.check_host(_extension_sections(config))


def required_descriptors(settings: NodeSettings) -> int:
    """The number of descriptors that may be open at once.

    Each held connection takes two, a waiting one takes one, and so does one that still gets the rest of its
    answer; listeners, membership links and a reserve are added.
    """
    ends = 3 * settings.connections + relay.max_lingering(settings.connections)
    return ends + len(settings.services) + SPARE_DESCRIPTORS + sum(NODE_LINKS)


def _extension_sections(config: ServiceConfig) -> ServiceConfig:
    """The sections of the configuration that belong to extensions."""
    return {name: config[name] for name in EXTENSION_SECTIONS if name in config}


def _check_address(where: HostPort) -> None:
    """Check that the membership address can be bound, before anything is started."""
    with socket.socket(socket.AF_INET if where.ip.version == 4 else socket.AF_INET6) as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind((str(where.ip), where.port))
        except OSError as error:
            raise HostConfigurationError(
                f"[members] address: {where} can't be listened on ({error.strerror}); "
                f"give a free one of this machine"
            ) from None


def _close_listeners(services: dict[str, Service]) -> None:
    for service in services.values():
        service.close()


def _upstream_address(member: Member) -> UpstreamAddress | None:
    """The address of an app server; None if its snapshot has none or an invalid one ("localhost:4100").

    A server that listens on all addresses is reached at the address of its membership.
    """
    try:
        where = HostPort.parse(member.snapshot.serves)
        ip = HostPort.parse(member.snapshot.address).ip if where.ip.is_unspecified else where.ip
    except ValueError:
        return None
    return UpstreamAddress(socket.AF_INET if ip.version == 4 else socket.AF_INET6, (str(ip), where.port))


class ProxyNode:
    """A proxy node with all its parts."""

    def __init__(self, config: ServiceConfig, seed: int) -> None:
        settings: NodeSettings = config["node"]
        self.settings, self.config, self.seed = settings, config, seed
        self.loop = asyncio.get_running_loop()
        now = clock()
        self.wakeup = anyio.Event()
        self.affinity = AffinityTable(
            now, settings.name, settings.linger, BINDINGS_PER_CONNECTION * settings.connections
        )
        if logs.logger.isEnabledFor(logging.DEBUG):
            self.affinity.log_events = []
        self.sessions = ClientSessions(
            settings.connections, self.affinity, Random(seed), self.loop, self.wake, self._detect_stall
        )
        self.migration = MigrationAdapter(now, settings.name)
        self.services: dict[str, Service] = {}  # by tenant
        self.tenant_numbers: dict[str, int] = {}  # numbers of all tenants ever configured
        self.has_new_view = True  # whether the view has changed
        self.next_report_at = self.next_counters_at = self.next_step_at = self.next_affinity_at = now
        self.has_joined = self.has_handed_over = False  # joined; bindings handed over
        self.listener_closes_at = self.end_at = float("inf")  # of the drain
        self.resumed_at = float("-inf")  # end of the last stall reported to the affinity table
        self.fatal_error = ""  # why the node cannot continue
        self.tasks: TaskGroup

        members: Members = config["members"]
        own = Snapshot(
            settings.name, True, incarnation(), 0, State.COLD, str(members.address), room=settings.connections
        )
        self.membership = MembershipService(members, own, seed)
        self.membership.changed = self._view_changed
        self.membership.add_receiver("seats", self._receive_affinity)
        status_queries, self.status_queries = anyio.create_memory_object_stream[StatusQuery](
            STATUS_QUEUE_SIZE
        )
        self.extension_context = extensions.ExtensionContext(
            seed, status_queries, settings.name, RequestNames({}, {}), Address("", 0)
        )
        self.active_extensions = extensions.create_extensions(
            _extension_sections(config), self.extension_context
        )

    # Start.

    def open(self) -> None:
        """Acquire everything that this machine could refuse; raises `HostConfigurationError` otherwise."""
        if status_socket.is_listening(self.control_path):
            raise HostConfigurationError(
                f"[node] name: another node answers at {self.control_path}; give each node a name of "
                f"its own, or its own control"
            )
        _check_address(self.config["members"].address)
        self._raise_descriptor_limit(self.settings)
        self._replace_services(self._open_services(self.settings))
        self._apply_migration_config(clock())

    @property
    def control_path(self) -> Path:
        """The path of the control socket."""
        return status_socket.socket_path(self.settings.control, f"node-{self.settings.name}")

    def _raise_descriptor_limit(self, settings: NodeSettings) -> None:
        """Raise the limit of descriptors as needed; present listeners stay open until new ones are."""
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        need = required_descriptors(settings) + len(self.services)
        if hard != resource.RLIM_INFINITY:
            need = min(need, hard)
        if soft != resource.RLIM_INFINITY and soft < need:
            resource.setrlimit(resource.RLIMIT_NOFILE, (need, hard))

    def _open_services(self, settings: NodeSettings) -> dict[str, Service]:
        """Create the configured services by tenant, with open listeners or those that exist already.

        Nothing is accepted yet. Raises `HostConfigurationError`, with nothing changed, if an address is not
        available.
        """
        here = {service.settings.address for service in self.services.values()}
        new: dict[str, Service] = {}
        try:
            for one in settings.services:
                number = self.tenant_numbers.setdefault(one.tenant, len(self.tenant_numbers))
                new[one.tenant] = Service(one, number, self.sessions.accept)
                if one.address not in here:
                    new[one.tenant].open(settings.connections)
        except HostConfigurationError:
            _close_listeners(new)
            raise
        return new

    def _replace_services(self, new: dict[str, Service]) -> None:
        """Run these services from now on; connections of removed services stay until they close."""
        old = {service.settings.address: service for service in self.services.values()}
        for service in new.values():
            if (before := old.pop(service.settings.address, None)) is not None:
                service.take_over(before)  # with its backlog, perhaps for another tenant
        for before in old.values():
            before.close()
            logs.log_event(
                logging.INFO,
                "service_removed",
                tenant=before.settings.tenant,
                address=before.settings.address,
            )
        for service in new.values():
            service.run(self.loop)
        self.services = new

    # Input.

    def wake(self) -> None:
        """Run the loop soon."""
        self.wakeup.set()

    def _view_changed(self) -> None:
        self.has_new_view = True
        self.wake()

    def _receive_affinity(self, sender: str, body: bytes) -> None:
        """Handle an affinity message of another node; an invalid one is dropped."""
        try:
            message = affinity_wire.decode(body)
        except affinity_wire.InvalidMessageError as error:
            logs.counters["node_bad_seats"] += 1
            return logs.log_peer_fault("affinity_message_invalid", member=sender, reason=error)
        now = clock()
        self._detect_stall(now)
        self.affinity.receive(now, sender, message)
        self.next_affinity_at = min(self.next_affinity_at, now + MIN_AFFINITY_INTERVAL_SECONDS)
        self.sessions.has_news = True

    async def answer_status_queries(self) -> None:
        """Answer the extensions' status queries in the way an app server does.

        The node counts as ready once it has joined, and as connected while there is an app server. The CPU
        load is not measured.
        """
        async for event in self.status_queries:
            if isinstance(event, StatusQuery):
                table = self.sessions.table
                event.receiver.notify(
                    ServerStatus(
                        self.has_joined,
                        bool(self.sessions.addresses),
                        0.0,
                        None,
                        logs.counters["node_accepted"],
                        0,
                        table.held,
                        table.max_connections,
                    )
                )

    def status(self) -> dict[str, Any]:
        """Plain values for `moves show`."""
        now = clock()
        return {"now": now, "name": self.settings.name} | self.migration.status(now)

    # The loop.

    async def run(self) -> None:
        """Run the loop until the node has drained or failed."""
        while not self.is_over:
            if self.wakeup.is_set():
                await anyio.sleep(0)
            else:
                now = clock()
                with anyio.move_on_after(max(0.0, max(self.next_step_at, self._next_step_at(now)) - now)):
                    await self.wakeup.wait()
            self.wakeup = anyio.Event()
            now = clock()
            self.next_step_at = now + MIN_LOOP_INTERVAL_SECONDS
            try:
                self._step(now)
            except Exception as error:
                logs.counters["node_error"] += 1
                logs.log_event(logging.ERROR, "proxy_restarted", error)
                await anyio.sleep(RESTART_BACKOFF_SECONDS)

    @property
    def is_over(self) -> bool:
        """Whether the loop has to end."""
        now = clock()
        left = now >= self.listener_closes_at and self.has_handed_over and not self.sessions.open_sessions
        return bool(self.fatal_error) or (left and not self.sessions.relays.lingering) or now >= self.end_at

    def _next_step_at(self, now: float) -> float:
        moments = [
            self.sessions.next_advance_at(now),
            self.next_affinity_at,
            self.migration.next_advance_at(),
            self.next_report_at,
            self.end_at,
        ]
        return min([*moments, *([self.listener_closes_at] if self.listener_closes_at > now else [])])

    def _detect_stall(self, now: float) -> None:
        """Report a stall of this process to the affinity table.

        This must precede any message that is read and any assignment.
        """
        resumed_at, span = self.membership.last_stall()
        if resumed_at > self.resumed_at:
            self.resumed_at = resumed_at
            self.affinity.resumed(now, span)
            self.next_affinity_at = now

    def _step(self, now: float) -> None:
        self._detect_stall(now)
        if self.has_new_view:
            self._observe_view(now)
        self.sessions.advance(now)
        if self.sessions.has_changes:
            self.next_affinity_at = min(self.next_affinity_at, now + MAX_AFFINITY_DELAY_SECONDS)
        if now >= self.next_affinity_at:
            self._send_affinity(now)
        self._apply_levels(now)
        if now >= self.listener_closes_at:
            _close_listeners(self.services)
        if now >= self.next_report_at:
            self._report(now)

    def _observe_view(self, now: float) -> None:
        self.has_new_view = False
        view = self.membership.view()
        # An app server without an address would be assigned and never reached.
        addresses = {
            one.name: address for one in view.servers() if (address := _upstream_address(one)) is not None
        }
        known = view.members
        view = view._replace(
            members={name: one for name, one in known.items() if one.snapshot.node or name in addresses}
        )
        logs.gauges["node_servers_nowhere"] = len(known) - len(view.members)
        self.affinity.observe(now, view)
        self.next_affinity_at = min(self.next_affinity_at, now)
        self.migration.observe(now, view)
        self.sessions.observe(
            {name: address for name, address in addresses.items() if known[name].is_present}
        )

    def _send_affinity(self, now: float) -> None:
        """Carry out the actions of the affinity table."""
        for action in self.affinity.advance(now):
            match action:
                case SendMessage(to, body):
                    if not self.membership.send(to, "seats", affinity_wire.encode(body)):  # it is sent again
                        logs.counters["node_seats_unsent"] += 1
                case Joined(unanswered):
                    self.has_joined = True
                    logs.log_event(
                        logging.INFO, "affinity_joined", name=self.settings.name, unanswered=unanswered
                    )
                    self._publish(now)
                case HandedOver(unacked):
                    self.has_handed_over = True
                    logs.log_event(
                        logging.INFO, "affinity_handed_over", name=self.settings.name, unacked=unacked
                    )
        for name, many in self.affinity.counts.items():
            logs.counters["seats_" + name] += many
        self.affinity.counts.clear()
        if self.affinity.log_events:
            for note in self.affinity.log_events:
                logs.log_event(logging.DEBUG, note.event, **note.fields)
            self.affinity.log_events.clear()
        self.sessions.has_changes = False
        self.next_affinity_at = max(now + MIN_AFFINITY_INTERVAL_SECONDS, self.affinity.next_advance_at(now))

    def _apply_levels(self, now: float) -> None:
        """Apply changed announcement levels of tenants."""
        if changed := self.migration.advance(now):
            for tenant, level in changed.items():
                logs.counters["node_levels"] += 1
                logs.log_event(logging.INFO, "tenant_level_changed", tenant=tenant, as_=level)
            self._cap_levels()
            self._publish(now)

    def _report(self, now: float) -> None:
        """Periodically publish figures, read those of others, and close stalled relays."""
        self.next_report_at = now + min(REPORT_INTERVAL_SECONDS, self.membership.config.period)
        if self.membership.conflict:
            self.fatal_error = f"[node] name: {self.membership.conflict}"
            return
        self.sessions.relays.sweep(now)
        self.migration.update_rising(self._is_fully_announced)
        self._publish(now)
        self._observe_view(now)
        if now >= self.next_counters_at:
            self.next_counters_at = now + COUNTERS_PERIOD_SECONDS
            self.log_counters()

    def _publish(self, now: float) -> None:
        table = self.sessions.table
        counted = {
            name: table.held_by_tenant[at]
            for name, at in self.tenant_numbers.items()
            if at in table.held_by_tenant
        }
        figures = self.sessions.rates.update(now, counted)
        state = State.LEAVING if self.is_draining else State.SERVING if self.has_joined else State.COLD
        room = 0 if self.is_draining or self.migration.full else max(0, table.max_connections - table.held)
        holds, unannounced_count = self.migration.holds(), len(self.migration.unannounced)
        if unannounced_count and not logs.gauges.get("node_tenants_untold"):
            logs.log_event(logging.WARNING, "tenants_over_limit", told=len(holds), untold=unannounced_count)
        logs.gauges["node_tenants_untold"] = unannounced_count
        self.membership.announce(
            state=state, connections=figures.connections, opened=figures.opened, room=room,
            loads=figures.loads, rest=figures.rest, holds=holds, parts=self.migration.parts(now),
        )  # fmt: skip

    def log_counters(self) -> None:
        """Log all counters and gauges."""
        logs.counters.update(self.migration.take_counts())
        logs.gauges.update(
            node_connections=self.sessions.table.held,
            node_waiting=self.sessions.table.waiting,
            node_connects_out=len(self.sessions.connector.in_progress),
            node_octets=self.sessions.relays.octets,
            node_customers=len(self.affinity.open_connections),
            node_exceptions=len(self.affinity.bindings),
            node_unshared=self.affinity.unreplicated_bindings(),
            node_rests=len(self.sessions.relays.lingering),
        )
        logs.log_event(logging.INFO, "counters", **dict[str, Any](logs.gauges | logs.counters))

    # Announcements.

    def _apply_migration_config(self, now: float) -> None:
        """Apply the migration settings of the current configuration."""
        self.migration.reconfigure(now, self.config.get("moves"), self.settings.services)
        self._cap_levels()

    def _is_fully_announced(self, tenant: str) -> bool:
        """Whether a tenant's address is announced with full preference, if this node announces it at all."""
        service = self.services.get(tenant)
        return service is None or all(
            side.is_fully_advertised(service.settings.address.ip)  # type: ignore[attr-defined]
            for side in self.active_extensions
            if side.name == "announce"
        )

    def _cap_levels(self) -> None:
        """Set the highest level of each address; the advertiser may lower it further by its own rules."""
        for side in self.active_extensions:
            if side.name == "announce":
                from thymeyoke.proxy import advertisement_levels

                caps = advertisement_levels.caps(
                    self.config["announce"].addresses, self.settings.services, self.migration.lowered_levels
                )
                side.set_caps(caps)  # type: ignore[attr-defined]

    # Reload.

    def reload(self, reread: Callable[[], ServiceConfig]) -> None:
        """Apply a new configuration completely or not at all.

        It is checked, and its addresses are acquired, first.
        """
        try:
            config = reread()
            settings: NodeSettings = config["node"]
            if settings.name != self.settings.name:
                raise HostConfigurationError(
                    f"[node] name: this one runs as {self.settings.name}; "
                    f"start another one as {settings.name}"
                )
            self._raise_descriptor_limit(settings)
            services = self._open_services(settings)
            try:
                active_extensions, new = extensions.reload_extensions(
                    self.active_extensions, _extension_sections(config), self.extension_context
                )
            except BaseException:
                _close_listeners(services)
                raise
        except Exception as error:
            logs.counters["service_config_errors"] += 1
            return logs.log_event(logging.ERROR, "service_config_rejected", error)
        self._reload_members(self.config["members"], config)
        self.config, self.settings, self.active_extensions = config, settings, active_extensions
        self._replace_services(services)
        self.sessions.resize(settings.connections)
        extensions.start_extensions(self.tasks, new)
        for side in new if self.is_draining else ():
            side.notify(DrainStarted(self.listener_closes_at))
        self._apply_migration_config(clock())
        if settings.linger != self.affinity.idle_timeout:
            logs.log_event(logging.WARNING, "change_deferred", section="node", option="linger")
        logs.log_event(logging.INFO, "service_config_reloaded", services=len(services))
        self.wake()

    def _reload_members(self, old: Members, config: ServiceConfig) -> None:
        new: Members = config["members"]
        if (old.address, old.advertise, old.fleet) != (new.address, new.advertise, new.fleet):
            config["members"] = old
            logs.log_event(logging.WARNING, "change_deferred", section="members")
        elif old != new:
            self.membership.reconfigure(new)

    # Drain.

    @property
    def is_draining(self) -> bool:
        """Whether the drain has begun."""
        return self.listener_closes_at < float("inf")

    def start_draining(self) -> None:
        """Begin the drain; further calls have no effect.

        New connections are accepted for a while, with the address depreferred and then withdrawn. Open
        connections continue for a limited time.
        """
        if self.is_draining:
            return
        now = clock()
        self._detect_stall(now)
        self.listener_closes_at = now + max(
            MIN_LISTENER_GRACE_SECONDS, LISTENER_GRACE_SHARE * self.settings.linger
        )
        self.end_at = self.listener_closes_at + max(MIN_DRAIN_SECONDS, self.settings.linger)
        logs.log_event(
            logging.INFO,
            "graceful_shutdown_started",
            name=self.settings.name,
            connections=self.sessions.table.held,
        )
        for side in self.active_extensions:
            side.notify(DrainStarted(self.listener_closes_at))
        self.affinity.leave(now)
        self.next_affinity_at = now
        self._publish(now)
        self.wake()

    def close(self) -> None:
        """Release everything that is still open."""
        _close_listeners(self.services)
        self.sessions.close()
        for side in self.active_extensions:
            side.close()
        self.extension_context.dispatcher.close()
        self.status_queries.close()


async def serve(
    reread: Callable[[], ServiceConfig], seed: int | None = None,
    *, task_status: TaskStatus[ProxyNode] = anyio.TASK_STATUS_IGNORED,
) -> None:  # fmt: skip
    """Run a node until it has drained.

    `reread` reads the service configuration, at the start and on SIGHUP; it raises `ServiceConfigError` or
    `HostConfigurationError` if that is invalid. Also raises `HostConfigurationError` if another process has
    the node's name.
    """
    # As for a server: the size of asyncio's read buffers.
    selector_events._SelectorTransport.max_size = 1 << 14  # type: ignore[attr-defined]
    node = ProxyNode(reread(), SystemRandom().getrandbits(64) if seed is None else seed)
    try:
        node.open()
        logs.log_event(
            logging.INFO,
            "proxy_listening",
            name=node.settings.name,
            seed=node.seed,
            services=len(node.services),
        )
        gc.set_threshold(*GC_THRESHOLDS)
        gc.collect()
        gc.freeze()
        async with anyio.create_task_group() as node.tasks:
            ended = anyio.Event()
            extensions.start_extensions(
                node.tasks,
                (
                    RestartingActor("members", partial(_run_membership, node, ended)),
                    RestartingActor("node_desk", node.answer_status_queries),
                ),
            )
            extensions.start_extensions(node.tasks, node.active_extensions)
            node.tasks.start_soon(status_socket.serve_status, node.control_path, "moves", node.status)
            await node.tasks.start(_handle_signals, node, reread)
            task_status.started(node)
            await node.run()
            node.membership.leave()
            with anyio.move_on_after(FAREWELL_TIMEOUT_SECONDS):
                await ended.wait()
            node.tasks.cancel_scope.cancel()
    finally:
        node.close()
    node.log_counters()
    if node.fatal_error:
        raise HostConfigurationError(node.fatal_error)
    logs.log_event(logging.INFO, "stopped", name=node.settings.name)


async def _run_membership(node: ProxyNode, ended: anyio.Event) -> None:
    await node.membership.run()
    ended.set()


async def _handle_signals(
    node: ProxyNode,
    reread: Callable[[], ServiceConfig],
    *,
    task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Handle signals until the node ends.

    SIGTERM or SIGINT begins the drain; SIGHUP reloads the configuration, also during a drain.
    """
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
        if early_signals.unblock() is not None:
            node.start_draining()
        task_status.started()
        try:
            async for number in signals:
                if number == signal.SIGHUP:
                    node.reload(reread)
                else:
                    node.start_draining()
        finally:
            early_signals.reblock()
