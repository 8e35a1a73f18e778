"""One node: its actors, put together and run until it has left.

`Guests` has the customers' connections, `MembershipService` the members; `AffinityTable` and `Moving` decide
with them. One loop looks at all of them and carries out what they say.
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

from thymeyoke.affinity import wire as words
from thymeyoke.affinity.controller import AffinityTable, HandedOver, Joined, SendMessage
from thymeyoke.configuration import service_config
from thymeyoke.configuration.service_config import HostPort, ServiceConfig
from thymeyoke.configuration.start_file import Address, RequestNames
from thymeyoke.membership.configuration import Members
from thymeyoke.membership.service import MembershipService, incarnation
from thymeyoke.membership.transport import NODE_LINKS
from thymeyoke.membership.view import Member, Snapshot, State
from thymeyoke.proxy import relay
from thymeyoke.proxy.client_session import Guests, Place
from thymeyoke.proxy.configuration import Node as Told
from thymeyoke.proxy.listener import Service
from thymeyoke.proxy.migration_adapter import Moving
from thymeyoke.runtime import early_signals, extensions, logs, status_socket
from thymeyoke.runtime.clock import clock
from thymeyoke.runtime.extensions import DrainStarted, HostConfigurationError, ServerStatus, StatusQuery

LOOK = 0.5  # seconds between figures that are said, at the most
COUNTS_PERIOD = 10.0
SPARE_DESCRIPTORS = 64  # for the interpreter, the log, the control socket and what is announced
EXCEPTIONS = 32  # seats kept as exceptions, for each connection that the table holds
SEATS_SOON = 0.005  # seconds between two looks at what seats want told, at the least
SEATS_LATE = 0.05  # and at the most, once they were told something
DOOR_PART, DOOR_LEAST = 1 / 8, 1.0  # of the linger, and seconds: how long a drain still takes connections
STAY_LEAST = 5.0  # seconds that connections go on after that, at the least; else a linger
FAREWELL = 0.5  # seconds in which the last words go out
AGAIN = 0.1  # seconds until the loop goes on after an error
STEP = 0.002  # seconds between two turns of the loop that nothing pokes, at the least
GARBAGE = (10000, 10, 10)  # as for a server: connections leave no cycles behind
DESK = 16
FOR_SERVERS = ("ledger",)  # sections that are none of a node's
BEHIND = ("announce",)  # those that stand behind a node's loop as behind a server's desk


class Side(NamedTuple):
    """An actor that begins anew after an error."""

    name: str
    run: Callable[[], Any]


# The file.


def read(path: Path) -> ServiceConfig:
    """The operators' file of a node, found good for this machine as well: `BadOrders` or `Refused` else."""
    asked = service_config.read_service_config(path)
    probe(asked)
    return asked


def probe(asked: ServiceConfig) -> None:
    if "node" not in asked:
        raise HostConfigurationError("has no [node]; add it, or start an app server with `thymeyoke serve`")
    for name in FOR_SERVERS:
        if name in asked:
            raise HostConfigurationError(
                f"[{name}] is for an app server, started by `thymeyoke serve`; a node has none"
            )
    told: Told = asked["node"]
    need, most = descriptors(told), resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    if most != resource.RLIM_INFINITY and need > most:
        room = (most - descriptors(structs.replace(told, connections=0))) * 4 // 13
        raise HostConfigurationError(
            f"[node] connections: {told.connections} need {need} descriptors, and this process may have "
            + f"{most}; "
            + (f"give at most {room}" if room > 0 else "let it have more")
        )
    extensions.check_host(_sides(asked))


def descriptors(told: Told) -> int:
    """How many it may have open at once: two a connection held, one that waits, one that gets the rest of its
    answer, one a listener, the links of members, and some."""
    ends = 3 * told.connections + relay.rests_most(told.connections)
    return ends + len(told.services) + SPARE_DESCRIPTORS + sum(NODE_LINKS)


def _sides(asked: ServiceConfig) -> ServiceConfig:
    return {name: asked[name] for name in BEHIND if name in asked}


def _listened(where: HostPort) -> None:
    """Whether members can come in there: asked before anything is begun."""
    with socket.socket(socket.AF_INET if where.ip.version == 4 else socket.AF_INET6) as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind((str(where.ip), where.port))
        except OSError as error:
            raise HostConfigurationError(
                f"[members] address: {where} can't be listened on ({error.strerror}); "
                f"give a free one of this machine"
            ) from None


def _shut(services: dict[str, Service]) -> None:
    for service in services.values():
        service.shut()


def _place(member: Member) -> Place | None:
    """One that listens on all addresses of its machine is reached where its snapshots come in. None where it
    names no address ("localhost:4100"), or one that can't be read."""
    try:
        where = HostPort.parse(member.snapshot.serves)
        ip = HostPort.parse(member.snapshot.address).ip if where.ip.is_unspecified else where.ip
    except ValueError:
        return None
    return Place(socket.AF_INET if ip.version == 4 else socket.AF_INET6, (str(ip), where.port))


class Node:
    """All of one node."""

    def __init__(self, asked: ServiceConfig, seed: int) -> None:
        told: Told = asked["node"]
        self.told, self.asked, self.seed = told, asked, seed
        self.loop = asyncio.get_running_loop()
        now = clock()
        self.poked = anyio.Event()
        self.seats = AffinityTable(now, told.name, told.linger, EXCEPTIONS * told.connections)
        if logs.logger.isEnabledFor(logging.DEBUG):
            self.seats.log_events = []
        self.guests = Guests(told.connections, self.seats, Random(seed), self.loop, self.poke, self._awake)
        self.moving = Moving(now, told.name)
        self.services: dict[str, Service] = {}  # by tenant
        self.tenants: dict[str, int] = {}  # numbers of tenants: as many as the operators ever named
        self.moved = True  # the view's version did
        self.look_at = self.counts_at = self.step_at = self.seats_at = now
        self.ready = self.handed = False  # the seats are known here; and handed over
        self.door_at = self.end_at = float("inf")  # of a drain
        self.woke_at = float("-inf")  # from the last standstill that seats were told of
        self.refused = ""  # why it can't go on: one sentence
        self.tasks: TaskGroup

        members: Members = asked["members"]
        own = Snapshot(
            told.name, True, incarnation(), 0, State.COLD, str(members.address), room=told.connections
        )
        self.fleet = MembershipService(members, own, seed)
        self.fleet.changed = self._changed
        self.fleet.add_receiver("seats", self._heard)
        desk, self.desk = anyio.create_memory_object_stream[StatusQuery](DESK)
        self.around = extensions.ExtensionContext(seed, desk, told.name, RequestNames({}, {}), Address("", 0))
        self.sides = extensions.create_extensions(_sides(asked), self.around)

    # The start.

    def open(self) -> None:
        """All that this machine could refuse, before anything is begun; `Refused` with one sentence."""
        if status_socket.is_listening(self.control):
            raise HostConfigurationError(
                f"[node] name: another node answers at {self.control}; give each node a name of "
                f"its own, or its own control"
            )
        _listened(self.asked["members"].address)
        self._limits(self.told)
        self._serve(self._opened(self.told))
        self._announce(clock())

    @property
    def control(self) -> Path:
        return status_socket.socket_path(self.told.control, f"node-{self.told.name}")

    def _limits(self, told: Told) -> None:
        """Descriptors, as many as may be needed: listeners that are there stay until new ones are open."""
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        need = descriptors(told) + len(self.services)
        if hard != resource.RLIM_INFINITY:
            need = min(need, hard)
        if soft != resource.RLIM_INFINITY and soft < need:
            resource.setrlimit(resource.RLIMIT_NOFILE, (need, hard))

    def _opened(self, told: Told) -> dict[str, Service]:
        """Services for what is told, by tenant: their listeners are open, or stay those that are there;
        nobody is taken yet. `Refused` where one can't be had, with nothing changed."""
        here = {service.told.address for service in self.services.values()}
        new: dict[str, Service] = {}
        try:
            for one in told.services:
                number = self.tenants.setdefault(one.tenant, len(self.tenants))
                new[one.tenant] = Service(one, number, self.guests.take)
                if one.address not in here:
                    new[one.tenant].open(told.connections)
        except HostConfigurationError:
            _shut(new)
            raise
        return new

    def _serve(self, new: dict[str, Service]) -> None:
        """From now on these and no others. Connections of those that go stay until they close."""
        old = {service.told.address: service for service in self.services.values()}
        for service in new.values():
            if (before := old.pop(service.told.address, None)) is not None:
                service.take_over(before)  # its queue as well, for another tenant perhaps
        for before in old.values():
            before.shut()
            logs.log_event(
                logging.INFO, "service_removed", tenant=before.told.tenant, address=before.told.address
            )
        for service in new.values():
            service.run(self.loop)
        self.services = new

    # Told from outside.

    def poke(self) -> None:
        self.poked.set()

    def _changed(self) -> None:
        self.moved = True
        self.poke()

    def _heard(self, sender: str, body: bytes) -> None:
        """Seats of another node. What can't be read is dropped."""
        try:
            said = words.decode(body)
        except words.InvalidMessageError as error:
            logs.counters["node_bad_seats"] += 1
            return logs.log_peer_fault("affinity_message_invalid", member=sender, reason=error)
        now = clock()
        self._awake(now)
        self.seats.receive(now, sender, said)
        self.seats_at = min(self.seats_at, now + SEATS_SOON)
        self.guests.news = True

    async def answer(self) -> None:
        """What stands behind asks how the node stands, as it would ask an app server: up once it knows its
        seats, linked while an app server is there, its cores never looked at."""
        async for event in self.desk:
            if isinstance(event, StatusQuery):
                table = self.guests.table
                event.receiver.notify(ServerStatus(
                    self.ready, bool(self.guests.places), 0.0, None, logs.counters["node_accepted"], 0,
                    table.held, table.max_connections))  # fmt: skip

    def status(self) -> dict[str, Any]:
        """Plain values for `moves show`."""
        now = clock()
        return {"now": now, "name": self.told.name} | self.moving.status(now)

    # The loop.

    async def run(self) -> None:
        while not self.over:
            if self.poked.is_set():
                await anyio.sleep(0)
            else:
                now = clock()
                with anyio.move_on_after(max(0.0, max(self.step_at, self._next(now)) - now)):
                    await self.poked.wait()
            self.poked = anyio.Event()
            now = clock()
            self.step_at = now + STEP
            try:
                self._settle(now)
            except Exception as error:
                logs.counters["node_error"] += 1
                logs.log_event(logging.ERROR, "proxy_restarted", error)
                await anyio.sleep(AGAIN)

    @property
    def over(self) -> bool:
        now = clock()
        left = now >= self.door_at and self.handed and not self.guests.every
        return bool(self.refused) or (left and not self.guests.relays.rests) or now >= self.end_at

    def _next(self, now: float) -> float:
        moments = [self.guests.next(now), self.seats_at, self.moving.next(), self.look_at, self.end_at]
        return min([*moments, *([self.door_at] if self.door_at > now else [])])

    def _awake(self, now: float) -> None:
        """Where this process stood still: seats are told before anything is read or seated."""
        woke_at, span = self.fleet.last_stall()
        if woke_at > self.woke_at:
            self.woke_at = woke_at
            self.seats.resumed(now, span)
            self.seats_at = now

    def _settle(self, now: float) -> None:
        self._awake(now)
        if self.moved:
            self._saw(now)
        self.guests.settle(now)
        if self.guests.touched:
            self.seats_at = min(self.seats_at, now + SEATS_LATE)
        if now >= self.seats_at:
            self._share(now)
        self._carry(now)
        if now >= self.door_at:
            _shut(self.services)
        if now >= self.look_at:
            self._look(now)

    def _saw(self, now: float) -> None:
        self.moved = False
        view = self.fleet.view()
        # An app server without a place would be hashed over and never reached.
        places = {one.name: place for one in view.servers() if (place := _place(one)) is not None}
        known = view.members
        view = view._replace(
            members={name: one for name, one in known.items() if one.snapshot.node or name in places}
        )
        logs.gauges["node_servers_nowhere"] = len(known) - len(view.members)
        self.seats.observe(now, view)
        self.seats_at = min(self.seats_at, now)
        self.moving.saw(now, view)
        self.guests.saw({name: place for name, place in places.items() if known[name].is_present})

    def _share(self, now: float) -> None:
        """What seats want told."""
        for action in self.seats.advance(now):
            match action:
                case SendMessage(to, body):
                    if not self.fleet.send(to, "seats", words.encode(body)):  # it is told again
                        logs.counters["node_seats_unsent"] += 1
                case Joined(unanswered):
                    self.ready = True
                    logs.log_event(
                        logging.INFO, "affinity_joined", name=self.told.name, unanswered=unanswered
                    )
                    self._say(now)
                case HandedOver(unacked):
                    self.handed = True
                    logs.log_event(logging.INFO, "affinity_handed_over", name=self.told.name, unacked=unacked)
        for name, many in self.seats.counts.items():
            logs.counters["seats_" + name] += many
        self.seats.counts.clear()
        if self.seats.log_events:
            for note in self.seats.log_events:
                logs.log_event(logging.DEBUG, note.event, **note.fields)
            self.seats.log_events.clear()
        self.guests.touched = False
        self.seats_at = max(now + SEATS_SOON, self.seats.next_advance_at(now))

    def _carry(self, now: float) -> None:
        """What moves want announced."""
        if changed := self.moving.settle(now):
            for tenant, level in changed.items():
                logs.counters["node_levels"] += 1
                logs.log_event(logging.INFO, "tenant_level_changed", tenant=tenant, as_=level)
            self._cap()
            self._say(now)

    def _look(self, now: float) -> None:
        """Now and then: figures out, figures of others in, what stands still ended."""
        self.look_at = now + min(LOOK, self.fleet.config.period)
        if self.fleet.conflict:
            self.refused = f"[node] name: {self.fleet.conflict}"
            return
        self.guests.relays.sweep(now)
        self.moving.risen(self._in_full)
        self._say(now)
        self._saw(now)
        if now >= self.counts_at:
            self.counts_at = now + COUNTS_PERIOD
            self.tell_counts()

    def _say(self, now: float) -> None:
        table = self.guests.table
        counted = {
            name: table.held_by_tenant[at] for name, at in self.tenants.items() if at in table.held_by_tenant
        }
        figures = self.guests.rates.look(now, counted)
        state = State.LEAVING if self.leaving else State.SERVING if self.ready else State.COLD
        room = 0 if self.leaving or self.moving.full else max(0, table.max_connections - table.held)
        holds, untold = self.moving.holds(), len(self.moving.untold)
        if untold and not logs.gauges.get("node_tenants_untold"):
            logs.log_event(logging.WARNING, "tenants_over_limit", told=len(holds), untold=untold)
        logs.gauges["node_tenants_untold"] = untold
        self.fleet.announce(
            state=state, connections=figures.connections, opened=figures.opened, room=room,
            loads=figures.loads, rest=figures.rest, holds=holds, parts=self.moving.parts(now),
        )  # fmt: skip

    def tell_counts(self) -> None:
        logs.counters.update(self.moving.counted())
        logs.gauges.update(
            node_connections=self.guests.table.held, node_waiting=self.guests.table.waiting,
            node_connects_out=len(self.guests.connects.out), node_octets=self.guests.relays.octets,
            node_customers=len(self.seats.open_connections), node_exceptions=len(self.seats.bindings),
            node_unshared=self.seats.unreplicated_bindings(), node_rests=len(self.guests.relays.rests),
        )  # fmt: skip
        logs.log_event(logging.INFO, "counters", **dict[str, Any](logs.gauges | logs.counters))

    # What is announced.

    def _announce(self, now: float) -> None:
        """By the file as it is now."""
        self.moving.change(now, self.asked.get("moves"), self.told.services)
        self._cap()

    def _in_full(self, tenant: str) -> bool:
        """Whether a tenant's address is announced in full, where this node announces it at all."""
        service = self.services.get(tenant)
        return service is None or all(
            side.in_full(service.told.address.ip)  # type: ignore[attr-defined]
            for side in self.sides
            if side.name == "announce"
        )

    def _cap(self) -> None:
        """The most of each address, which the announcer may still lower by its own rules."""
        for side in self.sides:
            if side.name == "announce":
                from thymeyoke.proxy import advertisement_levels

                caps = advertisement_levels.caps(
                    self.asked["announce"].addresses, self.told.services, self.moving.low
                )
                side.cap(caps)  # type: ignore[attr-defined]

    # The file, read anew.

    def reform(self, again: Callable[[], ServiceConfig]) -> None:
        """All of the new file or nothing: it is found good, and its addresses are had, before anything of it
        is carried out."""
        try:
            asked = again()
            told: Told = asked["node"]
            if told.name != self.told.name:
                raise HostConfigurationError(
                    f"[node] name: this one runs as {self.told.name}; start another one as {told.name}"
                )
            self._limits(told)
            services = self._opened(told)
            try:
                sides, new = extensions.reload_extensions(self.sides, _sides(asked), self.around)
            except BaseException:
                _shut(services)
                raise
        except Exception as error:
            logs.counters["service_config_errors"] += 1
            return logs.log_event(logging.ERROR, "service_config_rejected", error)
        self._members(self.asked["members"], asked)
        self.asked, self.told, self.sides = asked, told, sides
        self._serve(services)
        self.guests.change(told.connections)
        extensions.start_extensions(self.tasks, new)
        for side in new if self.leaving else ():
            side.notify(DrainStarted(self.door_at))
        self._announce(clock())
        if told.linger != self.seats.idle_timeout:
            logs.log_event(logging.WARNING, "change_deferred", section="node", option="linger")
        logs.log_event(logging.INFO, "service_config_reloaded", services=len(services))
        self.poke()

    def _members(self, old: Members, asked: ServiceConfig) -> None:
        new: Members = asked["members"]
        if (old.address, old.advertise, old.fleet) != (new.address, new.advertise, new.fleet):
            asked["members"] = old
            logs.log_event(logging.WARNING, "change_deferred", section="members")
        elif old != new:
            self.fleet.reconfigure(new)

    # The end.

    @property
    def leaving(self) -> bool:
        return self.door_at < float("inf")

    def leave(self) -> None:
        """The notice. Connections are still taken for a while, with the address less preferred and then
        withdrawn; those that are there go on until a bounded time. A second notice changes nothing."""
        if self.leaving:
            return
        now = clock()
        self._awake(now)
        self.door_at = now + max(DOOR_LEAST, DOOR_PART * self.told.linger)
        self.end_at = self.door_at + max(STAY_LEAST, self.told.linger)
        logs.log_event(
            logging.INFO, "graceful_shutdown_started", name=self.told.name, connections=self.guests.table.held
        )
        for side in self.sides:
            side.notify(DrainStarted(self.door_at))
        self.seats.leave(now)
        self.seats_at = now
        self._say(now)
        self.poke()

    def close(self) -> None:
        """Whatever is still open."""
        _shut(self.services)
        self.guests.close()
        for side in self.sides:
            side.close()
        self.around.dispatcher.close()
        self.desk.close()


async def serve(
    again: Callable[[], ServiceConfig], seed: int | None = None,
    *, task_status: TaskStatus[Node] = anyio.TASK_STATUS_IGNORED,
) -> None:  # fmt: skip
    """Until it has left. `again` reads the operators' file, at the start and on SIGHUP: `BadOrders` or
    `Refused` where it can't be taken. `Refused` as well where another process keeps the node's name."""
    # As for a server: what asyncio sets aside for a read.
    selector_events._SelectorTransport.max_size = 1 << 14  # type: ignore[attr-defined]
    node = Node(again(), SystemRandom().getrandbits(64) if seed is None else seed)
    try:
        node.open()
        logs.log_event(
            logging.INFO, "proxy_listening", name=node.told.name, seed=node.seed, services=len(node.services)
        )
        gc.set_threshold(*GARBAGE)
        gc.collect()
        gc.freeze()
        async with anyio.create_task_group() as node.tasks:
            ended = anyio.Event()
            extensions.start_extensions(
                node.tasks, (Side("members", partial(_member, node, ended)), Side("node_desk", node.answer))
            )
            extensions.start_extensions(node.tasks, node.sides)
            node.tasks.start_soon(status_socket.serve_status, node.control, "moves", node.status)
            await node.tasks.start(_signals, node, again)
            task_status.started(node)
            await node.run()
            node.fleet.leave()
            with anyio.move_on_after(FAREWELL):
                await ended.wait()
            node.tasks.cancel_scope.cancel()
    finally:
        node.close()
    node.tell_counts()
    if node.refused:
        raise HostConfigurationError(node.refused)
    logs.log_event(logging.INFO, "stopped", name=node.told.name)


async def _member(node: Node, ended: anyio.Event) -> None:
    await node.fleet.run()
    ended.set()


async def _signals(
    node: Node,
    again: Callable[[], ServiceConfig],
    *,
    task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """SIGTERM is the notice to leave, SIGHUP asks to read the file again, during a drain as well."""
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
        if early_signals.unblock() is not None:
            node.leave()
        task_status.started()
        try:
            async for number in signals:
                if number == signal.SIGHUP:
                    node.reform(again)
                else:
                    node.leave()
        finally:
            early_signals.reblock()
