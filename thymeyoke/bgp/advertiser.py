"""The actor behind the desk: looks at the server, asks the decisions, and tells the speakers what to
announce.

It stands behind the desk's one seam (`net/behind.py`): told of the drain by the desk at once, of the rest
when it asks, a few times a second. What the decisions want is handed to the speakers as one mapping; each
brings its peer there by itself.
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
from thymeyoke.bgp.controller import Decider, Level, Look, Terms, Why
from thymeyoke.bgp.peer_connection import Speaker
from thymeyoke.bgp.presentation import Shown
from thymeyoke.bgp.session import State
from thymeyoke.bgp.wire import Code, Notification
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

LOOK = 0.25  # seconds between looks at the server
LETTERS = 32
DECONFIGURED, CHANGED = Notification(Code.CEASE, 3), Notification(Code.CEASE, 6)

Letter = ServerStatus | DrainStarted | ConfigurationChanged


def terms(told: Announce) -> Terms:
    return Terms(told.least_others, told.crowded_share, told.crowded_after, told.settle, told.changes)


def _own(told: Announce) -> tuple[bytes, ...]:
    return (told.id.packed, *(hop.packed for hop in told.next_hop))


class Advertiser:
    """Stands behind the desk while the operators' file has `[announce]`."""

    name = "announce"
    observes_requests, extends_drain = False, True

    def __init__(self, told: Announce, seed: int, desk: MemoryObjectSendStream[StatusQuery]) -> None:
        self.told, self.rng, self.desk = told, Random(seed), desk
        now = clock()
        self.decider = Decider(now, terms(told), told.addresses)
        self.shown = Shown(told.as_, _own(told), told.med, told.addresses)
        self.speakers: dict[str, Speaker] = {}  # by the peer's name
        self.outbox, self.letters = anyio.create_memory_object_stream[Letter](LETTERS)
        self.poked = anyio.Event()  # what peers show has changed
        self.asked_at, self.standing = 0.0, True
        self.over = False
        self.listening: anyio.CancelScope | None = None
        self.history: list[tuple[float, str, str, str]] = []  # the last changes: when, address, level, why

    # The seam.

    def notify(self, what: Letter) -> None:
        try:
            self.outbox.send_nowait(what)
        except anyio.WouldBlock:
            logs.counters["announce_letters_full"] += 1
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            pass

    def cap(self, caps: Mapping[Prefix, Why]) -> None:
        """Told from outside: no address goes out at more than its cap, with the cap's reason. It replaces all
        caps before it; an address without one is as free as ever."""
        if caps != self.decider.caps:
            self.decider.caps = dict(caps)
            self.poked.set()

    def in_full(self, ip: IpAddress) -> bool:
        """Whether all addresses that hold this one are announced in full, by the last look."""
        found = [one.level for prefix, one in self.decider.addresses.items() if ip in prefix]
        return all(level == Level.FULL for level in found)

    async def run(self) -> None:
        control_at = status_socket.socket_path(self.told.control, self.name)
        try:
            async with anyio.create_task_group() as self.tasks:
                self.tasks.start_soon(
                    status_socket.serve_status, control_at, self.name, lambda: self.status(clock())
                )
                self._meet()
                await self._go()
                for speaker in self.speakers.values():
                    speaker.stop(DECONFIGURED)
                with anyio.move_on_after(2 * tcp.FAREWELL):
                    while any(not speaker.done for speaker in self.speakers.values()):
                        await anyio.sleep(tcp.FAREWELL / 10)
                self.tasks.cancel_scope.cancel()
            self.close()
        finally:
            self.speakers.clear()
            self.listening = None

    tasks: TaskGroup

    def close(self) -> None:
        self.outbox.close()
        self.letters.close()

    def _changed(self) -> None:
        self.poked.set()

    async def _go(self) -> None:
        look_at = clock()
        while not self.over:
            now = clock()
            moment = min(look_at, self.decider.next(now))
            got: list[Letter] = take_all(self.letters)
            if not got and not self.poked.is_set():
                with anyio.move_on_after(max(0.0, moment - now)):
                    await self._something(got)
            got += take_all(self.letters)
            self.poked = anyio.Event()
            now = clock()
            for letter in got:
                self._hear(now, letter)
            if now >= look_at:
                look_at = now + LOOK
                self._ask(now)
            self._settle(now)

    async def _something(self, got: list[Letter]) -> None:
        async with anyio.create_task_group() as tasks:

            async def poked() -> None:
                await self.poked.wait()
                tasks.cancel_scope.cancel()

            tasks.start_soon(poked)
            got.append(await self.letters.receive())
            tasks.cancel_scope.cancel()

    def _ask(self, now: float) -> None:
        if not self.standing and self.decider.last:
            logs.counters["announce_late_looks"] += 1
            self.decider.look(now, self.decider.last._replace(late=True))
        self.standing = False
        with suppress(anyio.WouldBlock, anyio.BrokenResourceError, anyio.ClosedResourceError):
            self.desk.send_nowait(StatusQuery(self))

    def _hear(self, now: float, letter: Letter) -> None:
        match letter:
            case ServerStatus():
                self.standing = True
                self.decider.look(now, Look(*letter))
            case DrainStarted(door_at):
                self.decider.leave(now, door_at)
            case ConfigurationChanged(section):
                self._reform(now, section)

    def _settle(self, now: float) -> None:
        for prefix in self.told.addresses:
            self.decider.seen(prefix, self.shown.others(prefix))
        moved = self.decider.settle(now)
        if not moved:
            return
        for prefix in moved:
            one = self.decider.addresses[prefix]
            logs.counters["announce_changes"] += 1
            logs.log_event(
                logging.INFO,
                "address_level_changed",
                address=prefix,
                as_=one.level.name.lower(),
                reason=one.why,
            )
            self.history.append((now, str(prefix), one.level.name.lower(), one.why))
        del self.history[:-16]
        self._tell(now, any(self.decider.addresses[prefix].level == Level.WITHDRAWN for prefix in moved))

    def _levels(self) -> dict[Prefix, Level]:
        return {prefix: one.level for prefix, one in self.decider.addresses.items()}

    def _tell(self, now: float, hurry: bool) -> None:
        """A withdrawal must be taken soon, or its session ends, which withdraws as well."""
        within = None
        if hurry:
            within = min(self.told.settle / 2, max(0.05, (self.decider.door_at - now) / 4))
        for speaker in self.speakers.values():
            speaker.stir(self._levels(), self.told, within)

    # The file, read anew.

    def _reform(self, now: float, told: Announce | None) -> None:
        if told is None:
            self.over = True
            return
        old, self.told = self.told, told
        self.decider.change(now, terms(told), told.addresses)
        self.shown.change(told.as_, _own(told), told.med, told.addresses)
        families = {prefix.version for prefix in old.addresses}, {prefix.version for prefix in told.addresses}
        anew = (old.as_, old.id) != (told.as_, told.id) or families[0] != families[1]
        before = {peer.name: peer for peer in old.peers}
        after = {peer.name: peer for peer in told.peers}
        for name, peer in before.items():
            if name not in after:
                self._part(name, DECONFIGURED)
            elif anew or after[name] != peer:
                self._part(name, CHANGED)
        if old.listen != told.listen and self.listening:
            self.listening.cancel()
            self.listening = None
        self._meet()
        self._tell(now, False)

    def _part(self, name: str, why: Notification) -> None:
        self.speakers.pop(name).stop(why)
        self.shown.lost(name)

    def _meet(self) -> None:
        for peer in self.told.peers:
            if peer.name not in self.speakers:
                speaker = Speaker(self.told, peer, self.shown, self.rng, self._changed)
                speaker.stir(self._levels(), self.told, None)
                self.speakers[peer.name] = speaker
                self.tasks.start_soon(self._kept, speaker)
        if self.told.listen and self.listening is None:
            self.listening = anyio.CancelScope()
            self.tasks.start_soon(self._listen, self.listening)

    async def _kept(self, speaker: Speaker) -> None:
        """An error here ends what is said to one peer; the server goes on, and the peer's hold time runs."""
        try:
            await speaker.run()
        except Exception as error:
            logs.counters["announce_error"] += 1
            logs.log_event(logging.ERROR, "bgp_peer_failed", error, peer=speaker.peer.name)
        finally:
            speaker.done = True

    async def _listen(self, scope: anyio.CancelScope) -> None:
        assert self.told.listen is not None
        with scope:
            try:
                sock = tcp.listen(self.told.listen, self.told.peers)
            except OSError as error:
                logs.counters["announce_error"] += 1
                return logs.log_event(logging.ERROR, "bgp_listen_failed", error, address=self.told.listen)
            listener = await anyio.abc.SocketListener.from_socket(sock)
            async with listener:
                while True:
                    try:
                        stream = await listener.accept()
                    except OSError:
                        logs.counters["announce_accept_failed"] += 1
                        await anyio.sleep(LOOK)
                        continue
                    if not self._accepted(stream):
                        logs.counters["announce_strangers"] += 1
                        await anyio.aclose_forcefully(stream)

    def _accepted(self, stream: SocketStream) -> bool:
        with suppress(OSError, anyio.TypedAttributeLookupError):
            host = str(stream.extra(SocketAttribute.remote_address)[0])
            near = [one for one in self.speakers.values() if str(one.peer.address.ip) == host]
            for speaker in sorted(near, key=lambda one: not one.peer.passive)[:1]:
                tcp.welcome(stream, speaker.peer)
                return speaker.accepted(stream)
        return False

    # What is told to people.

    def status(self, now: float) -> dict[str, Any]:
        """Plain values for `announce show` and `announce why`."""
        addresses = [
            {
                "address": str(prefix), "level": one.level.name.lower(), "why": one.why,
                "since": one.since, "for": max(0.0, now - one.since), "changes": one.changes,
                "others": one.others,
                "known": self.shown.known(prefix),
                "peers": {
                    name: "held" if prefix in speaker.main.sent
                    else "no session" if speaker.main.session.state != State.ESTABLISHED
                    else "not announced"
                    for name, speaker in self.speakers.items()
                },
            }
            for prefix, one in self.decider.addresses.items()
        ]  # fmt: skip
        crowd, last = self.decider.crowd, self.decider.last
        return {
            "now": now, "peers": [speaker.status(now) for speaker in self.speakers.values()],
            "addresses": addresses, "looks": last._asdict() if last else None,
            "crowd": {"heat": crowd.heat, "hot": crowd.hot, "after": self.told.crowded_after},
            "budget": {"left": self.decider.budget.left, "of": self.told.changes},
            "drain": self.decider.door_at < float("inf"),
            "history": [
                dict(zip(("at", "address", "level", "why"), row, strict=True)) for row in self.history
            ],
        }  # fmt: skip


def check_host(told: Announce) -> None:
    """Whether this machine can carry the section out; `behind.Refused` else."""
    tcp.probe(told)


def create_extension(told: Announce, around: ExtensionContext) -> Advertiser:
    return Advertiser(told, around.seed, around.dispatcher)
