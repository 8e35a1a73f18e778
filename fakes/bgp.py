"""Fake BGP peer with a routing table, and a router that follows it; from RFC 4271 and related RFCs.

The peer accepts connections, keeps the routes of each client during its session and hold time, and sends each
client the others' paths (ADD-PATH, like a route server). `fault` selects how it misbehaves. `log` records
what happened to each route.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from contextlib import suppress
from typing import Any, NamedTuple

import anyio
from anyio.abc import SocketStream

from examples.fakes import LOST, StandIn
from thymeyoke.bgp import attributes, wire
from thymeyoke.bgp.attributes import Path
from thymeyoke.bgp.presentation import announcer_of, is_preferred
from thymeyoke.bgp.wire import IPV4, IPV6, Capability, CapabilityCode, ErrorCode, Family, Nlri

FAULTS = frozenset((
    "", "silent", "wrong-as", "hold-1", "hold-0", "bad-id", "half", "length-18", "length-65535", "garbage",
    "flap", "stalled", "flood", "no-keepalive", "withdrawn-7606",
))  # fmt: skip


class Seen(NamedTuple):
    """What happened to a route of a client: `announce`, `withdraw`, or `lost` with its session."""

    at: float
    what: str
    who: bytes
    nlri: Nlri
    full: bool


class Client:
    """The peer's side of a session."""

    def __init__(self, number: int, stream: SocketStream) -> None:
        self.number, self.stream, self.negotiated = number, stream, wire.NegotiatedOptions()
        self.open: wire.Open | None = None
        self.routes: dict[tuple[Family, Nlri], Path] = {}
        self.shown: dict[tuple[Family, Nlri], Path] = {}  # paths of others sent to this client
        self.heard_at = time.time()
        self.lock = anyio.Lock()


class BgpPeer(StandIn):
    def __init__(
        self, as_: int = 64500, client_as: int = 64512, hold: int = 3, id_: str = "192.0.2.9",
        fault: str = "", delay: float = 0.0, reflects: bool = True,
    ) -> None:  # fmt: skip
        super().__init__()
        assert fault in FAULTS
        self.as_, self.client_as, self.hold, self.fault = as_, client_as, hold, fault
        self.id = bytes(map(int, id_.split(".")))
        self.delay, self.reflects = delay, reflects
        self.clients: dict[int, Client] = {}
        self.log: list[Seen] = []
        self.notes: list[wire.Notification] = []  # NOTIFICATIONs received
        self.messages: list[wire.Message] = []  # the last ones received
        self.updates = 0
        self.connections = 0
        self.connected_at: list[float] = []
        self.reading = anyio.Event()
        self.reading.set()
        self.gates: dict[str, anyio.Event] = {}  # delay "open" (of the first connection) or "keepalive"
        # Sent once the session is established.
        self.extra: Callable[[Client], list[wire.Message | bytes]] = lambda client: []

    # State for tests.

    def routes(self) -> dict[tuple[bytes, Nlri], bool]:
        """Return whose route to which prefix, and whether it is preferred."""
        return {
            (announcer_of(path, self.client_as), nlri): is_preferred(path, 1)
            for client in self.clients.values()
            for (_, nlri), path in client.routes.items()
        }

    def levels(self, id_: str) -> set[bool]:
        mine = bytes(map(int, id_.split(".")))
        return {in_full for (whose, _), in_full in self.routes().items() if whose == mine}

    # The session.

    async def speak(self, stream: SocketStream) -> None:
        self.connections += 1
        self.connected_at.append(time.time())
        client = Client(self.connections, stream)
        fault = self.fault
        if fault == "silent":
            return await anyio.sleep_forever()
        if fault == "flap" and self.connections % 2:
            return
        hello = wire.encode(self._open())
        if fault == "garbage":
            hello = b"GET / HTTP/1.1\r\n\r\n" * 4
        elif fault == "half":
            await stream.send(hello[:25])
            return await anyio.sleep_forever()
        elif fault.startswith("length-"):
            hello = wire.MARKER + int(fault[7:]).to_bytes(2, "big") + hello[18:]
        if client.number == 1 and "open" in self.gates:
            await self.gates["open"].wait()
        await stream.send(hello)
        async with anyio.create_task_group() as tasks:
            try:
                tasks.start_soon(self._expire, client, tasks)
                with suppress(*LOST, wire.ProtocolError):
                    await self._hear(client, tasks)
            finally:
                self._lose(client)
                tasks.cancel_scope.cancel()

    def _open(self) -> wire.Open:
        families = (IPV4, IPV6)
        caps = [Capability(CapabilityCode.MULTIPROTOCOL, bytes((0, f.afi, 0, f.safi))) for f in families]
        caps += [Capability(code, b"") for code in (2, 6, 70)]
        caps += [Capability(CapabilityCode.AS4, self.as_.to_bytes(4, "big"))]
        caps += [
            Capability(CapabilityCode.ADD_PATH, b"".join(bytes((0, f.afi, f.safi, 2)) for f in families))
        ]
        open_ = wire.Open(min(self.as_, 0xFFFF), self.hold, self.id, tuple(caps))
        match self.fault:
            case "wrong-as":
                return open_._replace(two_byte_as=65000, capabilities=())
            case "hold-1" | "hold-0":
                return open_._replace(hold=int(self.fault[5:]))
            case "bad-id":
                return open_._replace(id=bytes(4))
        return open_

    async def _hear(self, client: Client, tasks: Any) -> None:
        reader = wire.MessageReader()
        while True:
            await self.reading.wait()
            data = await client.stream.receive()
            for message in reader.feed(data):
                client.heard_at = time.time()
                self.messages = [*self.messages[-63:], message]
                await self._take(client, message, tasks)
                reader.negotiated = client.negotiated
            self._changes()

    async def _take(self, client: Client, message: wire.Message, tasks: Any) -> None:
        match message:
            case wire.Open():
                client.open = message
                client.negotiated = wire.negotiate(self._open(), message)._replace(
                    add_path_families=frozenset()
                )
                self.clients[client.number] = client
                if "keepalive" in self.gates:
                    await self.gates["keepalive"].wait()
                await self._say(client, wire.Keepalive())
                if self.fault != "no-keepalive":
                    tasks.start_soon(self._keep, client)
            case wire.Keepalive() if client.number not in self.ups:
                self.ups.add(client.number)
                for said in self.extra(client):
                    await self._say(client, said)
                if self.fault == "stalled":
                    self.reading = anyio.Event()
                await self._show()
            case wire.Update():
                self.updates += 1
                heard = attributes.interpret_update(message, client.negotiated, self.as_ == self.client_as)
                self._record(client, heard)
                tasks.start_soon(self._later)
            case wire.Notification():
                self.notes.append(message)

    @property
    def ups(self) -> set[int]:
        return self.__dict__.setdefault("_ups", set())

    def _record(self, client: Client, heard: attributes.ReceivedUpdate) -> None:
        for key in heard.withdrawn:
            if path := client.routes.pop(key, None):
                self._log("withdraw", path, key)
        for key in heard.advertised:
            assert heard.path is not None
            client.routes[key] = heard.path
            self._log("announce", heard.path, key)

    def _log(self, what: str, path: Path, key: tuple[Family, Nlri]) -> None:
        self.log.append(
            Seen(time.time(), what, announcer_of(path, self.client_as), key[1], is_preferred(path, 1))
        )

    def _lose(self, client: Client) -> None:
        for key, path in client.routes.items():
            self._log("lost", path, key)
        client.routes.clear()
        self.clients.pop(client.number, None)
        self.tasks.start_soon(self._later)
        self._changes()

    async def _expire(self, client: Client, tasks: Any) -> None:
        """Remove a client and its routes when its hold time has expired."""
        while True:
            hold = min(self.hold, client.open.hold) if client.open else 4 * self.hold
            left = client.heard_at + hold - time.time()
            if left <= 0 and self.reading.is_set():
                with anyio.move_on_after(0.05):
                    await self._say(client, wire.Notification(ErrorCode.HOLD))
                tasks.cancel_scope.cancel()
                return
            await anyio.sleep(max(0.01, left))

    async def _keep(self, client: Client) -> None:
        while True:
            await anyio.sleep(min(self.hold, client.open.hold if client.open else 3) / 3)
            await self._say(client, wire.Keepalive())

    async def _say(self, client: Client, message: wire.Message | bytes) -> None:
        with suppress(*LOST, OSError):
            async with client.lock:
                await client.stream.send(
                    message if isinstance(message, bytes) else wire.encode(message, client.negotiated)
                )

    # Passing on paths.

    async def _later(self) -> None:
        await anyio.sleep(self.delay)
        await self._show()

    async def _show(self) -> None:
        """Send each client the current paths of the others, with one path ID for each of them."""
        for client in list(self.clients.values()):
            if not self.reflects or client.number not in self.ups:
                continue
            wanted = {
                (family, nlri._replace(path_id=other.number)): path
                for other in self.clients.values() if other is not client
                for (family, nlri), path in other.routes.items()
            }  # fmt: skip
            had, client.shown = client.shown, wanted
            for (family, nlri), path in wanted.items():
                if had.get((family, nlri)) != path:
                    await self._say(client, _told(self.as_, path, nlri, family))
            for family, nlri in had.keys() - wanted.keys():
                await self._say(client, attributes.withdrawal((nlri,), family))


def _told(as_: int, path: Path, nlri: Nlri, family: Family) -> wire.Update:
    """Build an update that passes on a path, with this peer's AS prepended."""
    numbers = (as_, *(number for _, many in path.as_path for number in many))
    told = [wire.Attribute(0x40, 1, b"\0"), wire.Attribute(0x40, 2, bytes((2, len(numbers))) + b"".join(
        number.to_bytes(4, "big") for number in numbers))]  # fmt: skip
    if path.med is not None:
        told.append(wire.Attribute(0x80, 4, path.med.to_bytes(4, "big")))
    if path.communities:
        told.append(wire.Attribute(0xC0, 8, b"".join(one.to_bytes(4, "big") for one in path.communities)))
    if path.large_communities:
        rows = b"".join(part.to_bytes(4, "big") for row in path.large_communities for part in row)
        told.append(wire.Attribute(0xC0, 32, rows))
    if family == IPV4:
        told.insert(2, wire.Attribute(0x40, 3, path.next_hop))
        return wire.Update(attributes=tuple(told), nlri=(nlri,))
    head = bytes((0, family.afi, family.safi, len(path.next_hop))) + path.next_hop + b"\0"
    return wire.Update(attributes=(wire.Attribute(0x80, 14, head + wire.encode_prefix(nlri)), *told))
