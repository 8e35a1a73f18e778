"""Codec of membership messages, as MessagePack-RPC notifications within the limits of `runtime.msgpack_rpc`.

A notification is `[2, channel, [head, piece, ...]]`. The head names the fleet, the sender, the number of this
part and of all parts, and has a MAC over all of it if the fleet has a key. Up to three pieces are the next
bytes of the message. The parts of a message are sent in order on one link.

The fields of a message have names, and most have defaults: unknown fields are ignored, and messages of older
versions can be read. `VERSION` increases when a field changes its meaning. Version 0 has no `opened`, `over`,
`rest` and `holds`.
"""

from __future__ import annotations

from collections.abc import Iterator
from hashlib import blake2b
from hmac import compare_digest
from math import isfinite
from typing import Any, NamedTuple

import msgpack
import msgspec
from msgspec import Struct

from thymeyoke.membership.failure_detector import Announcement, SnapshotLayer
from thymeyoke.membership.gossip import Accusation, Message, MessageKind, Verdict
from thymeyoke.membership.view import MAX_NAME_LENGTH, Load, Snapshot, State
from thymeyoke.runtime import msgpack_rpc

VERSION = 1
CHANNEL = "members"  # of membership itself; other subsystems have their own channels
MAX_CHANNEL_LENGTH = 32
MAX_PIECES = 3  # of a message in one notification
MAX_PART_BYTES = MAX_PIECES * msgpack_rpc.MAX_BODY_BYTES
MAX_MESSAGE_BYTES = 1 << 20
MAX_BODY_BYTES = 8192  # of a message of another subsystem
POOL_BYTES = 1 << 24  # buffered for incomplete messages of all links
MAC_BYTES = 16


class ForeignFleetError(msgpack_rpc.InvalidFrameError):
    """A valid frame that is rejected because of its sender; `counter` names the counter for it."""

    def __init__(self, counter: str, reason: str) -> None:
        super().__init__(reason)
        self.counter = counter


class Credentials(NamedTuple):
    """Identity of a sender: its fleet, the fleet's key, and its name and address."""

    fleet: str
    key: bytes  # of the MAC; empty if the fleet has no key
    name: str
    address: str


def derive_key(secret: str) -> bytes:
    """Derive the MAC key from the configured secret; empty for no secret."""
    return blake2b(secret.encode(), person=b"thymeyoke key").digest() if secret else b""


class Head(Struct, array_like=True, frozen=True):
    """First element of a notification's parameters."""

    fleet: str
    name: str
    address: str
    part: int
    parts: int
    mac: bytes = b""


class CompleteMessage(NamedTuple):
    """A message with all its parts, not decoded yet."""

    channel: str
    name: str
    address: str
    body: bytes


_pack_head = msgspec.msgpack.Encoder().encode
_read_head = msgspec.msgpack.Decoder(Head).decode


def _mac(secret: bytes, channel: str, head: Head, pieces: list[bytes]) -> bytes:
    digest = blake2b(key=secret, digest_size=MAC_BYTES, person=b"thymeyoke part")
    for one in (channel.encode(), _pack_head(msgspec.structs.replace(head, mac=b"")), *pieces):
        digest.update(len(one).to_bytes(4, "big") + one)
    return digest.digest()


def encode_notifications(channel: str, body: bytes, credentials: Credentials) -> bytes:
    """Encode a message of at most `MAX_MESSAGE_BYTES` bytes as notifications."""
    parts = max(1, -(-len(body) // MAX_PART_BYTES))
    out = []
    for part in range(parts):
        part_body = body[part * MAX_PART_BYTES : (part + 1) * MAX_PART_BYTES]
        pieces = [
            part_body[at : at + msgpack_rpc.MAX_BODY_BYTES]
            for at in range(0, len(part_body), msgpack_rpc.MAX_BODY_BYTES)
        ]
        head = Head(credentials.fleet, credentials.name, credentials.address, part, parts)
        if credentials.key:
            head = msgspec.structs.replace(head, mac=_mac(credentials.key, channel, head, pieces))
        out.append(msgpack.packb([msgpack_rpc.NOTIFICATION, channel, [_pack_head(head), *pieces]]))
    return b"".join(out)


class BufferPool:
    """Limit on the bytes that all links together may buffer for incomplete messages."""

    def __init__(self, available: int = POOL_BYTES) -> None:
        self.available = available

    def take(self, count: int) -> bool:
        """Reserve bytes; returns False if not enough are available."""
        if count > self.available:
            return False
        self.available -= count
        return True


class MessageReader(msgpack_rpc.FrameReader[Any]):
    """Assembles the messages of one link from its bytes."""

    def __init__(self, credentials: Credentials, buffer_pool: BufferPool) -> None:
        super().__init__()
        self.credentials, self.buffer_pool = credentials, buffer_pool
        self.head: Head | None = None  # of the previous part of an incomplete message
        self.channel = ""
        self.body = bytearray()

    def feed(self, data: bytes) -> list[Any]:
        """Add received bytes; returns the messages completed by them. Raises `InvalidFrameError`."""
        return [one for one in super().feed(data) if one is not None]

    def is_incomplete(self) -> bool:
        """Whether a frame or a message has been received in part."""
        return super().is_incomplete() or self.head is not None

    def close(self) -> None:
        """Release the buffer of an incomplete message."""
        self.buffer_pool.available += len(self.body)
        self.body.clear()
        self.head = None

    def _message(self, frame: Any) -> Any:
        match frame:
            case [msgpack_rpc.NOTIFICATION, str(channel), [bytes(first), *pieces]] if len(
                channel
            ) <= MAX_CHANNEL_LENGTH and all(isinstance(piece, bytes) for piece in pieces):
                return self._part(channel, first, pieces)
        raise msgpack_rpc.InvalidFrameError(f"unknown message {str(frame)[:80]}")

    def _part(self, channel: str, first: bytes, pieces: list[bytes]) -> CompleteMessage | None:
        try:
            head = _read_head(first)
        except (msgspec.MsgspecError, ValueError) as error:
            raise msgpack_rpc.InvalidFrameError(f"invalid head of a notification: {error}") from None
        if head.fleet != self.credentials.fleet:
            raise ForeignFleetError(
                "other_fleet", f"message of another fleet: {head.fleet[:MAX_NAME_LENGTH]!r}"
            )
        if self.credentials.key and not compare_digest(
            head.mac, _mac(self.credentials.key, channel, head, pieces)
        ):
            raise ForeignFleetError("bad_key", "MAC does not match this fleet's key")
        self._check_sequence(channel, head)
        size = sum(map(len, pieces))
        if len(self.body) + size > MAX_MESSAGE_BYTES or not self.buffer_pool.take(size):
            raise msgpack_rpc.InvalidFrameError("message or all incomplete messages together are too long")
        self.body += b"".join(pieces)
        if head.part < head.parts - 1:
            self.head, self.channel = head, channel
            return None
        message = CompleteMessage(channel, head.name, head.address, bytes(self.body))
        self.close()
        return message

    def _check_sequence(self, channel: str, head: Head) -> None:
        before = self.head
        if not 0 < head.parts <= MAX_MESSAGE_BYTES // MAX_PART_BYTES + 1 or len(head.name) > MAX_NAME_LENGTH:
            raise msgpack_rpc.InvalidFrameError("head has an invalid number of parts or too long a name")
        if before is None:
            if head.part != 0:
                raise msgpack_rpc.InvalidFrameError("message starts with a later part")
        elif (self.channel, before.name, before.address, before.parts, before.part + 1) != (
            channel, head.name, head.address, head.parts, head.part
        ):  # fmt: skip
            raise msgpack_rpc.InvalidFrameError("part does not follow the previous one")


# The body of messages on `CHANNEL`.


class _WireLoad(Struct, array_like=True, frozen=True):
    tenant: str
    connections: int
    opened: float = 0.0
    over: int = 0


_WIRE_NAMES = {
    "name": "n", "node": "k", "incarnation": "i", "sequence": "s", "state": "t", "address": "a",
    "serves": "e", "since": "h", "connections": "c", "opened": "o", "room": "r", "loads": "l", "rest": "x",
    "holds": "d", "parts": "p", "age": "g",
}  # fmt: skip


class _WireAnnouncement(Struct, frozen=True, omit_defaults=True, rename=_WIRE_NAMES):
    name: str
    incarnation: int
    sequence: int
    state: int  # a `State`, or an unknown state of a later version
    address: str
    node: bool = False
    serves: str = ""
    since: float = 0.0
    connections: int = 0
    opened: float = 0.0
    room: int = 0
    loads: tuple[_WireLoad, ...] | None = None  # None if the layer is not sent, which differs from no loads
    rest: _WireLoad | None = None
    holds: tuple[str, ...] = ()
    parts: dict[str, bytes] | None = None
    age: float = 0.0


class _WireAccusation(Struct, array_like=True, frozen=True):
    name: str
    incarnation: int
    epoch: int
    verdict: int
    by: str


class _WireMessage(
    Struct, frozen=True, omit_defaults=True,
    rename={"version": "v", "kind": "k", "me": "m", "lived": "u", "number": "q", "about": "b", "said": "s",
            "rumours": "r"},
):  # fmt: skip
    kind: int
    me: _WireAnnouncement
    version: int = 0
    lived: float = 0.0
    number: int = 0
    about: str = ""
    said: tuple[_WireAnnouncement, ...] = ()
    rumours: tuple[_WireAccusation, ...] = ()


_STATES = {int(state): state for state in State}
_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(_WireMessage).decode


def _to_wire(announcement: Announcement) -> _WireAnnouncement:
    one, layers = announcement.snapshot, announcement.layers
    if not layers:
        return _WireAnnouncement(
            one.name, one.incarnation, one.sequence, one.state, one.address, one.node, one.serves, one.since,
            one.connections, one.opened, one.room, age=round(announcement.age, 4),
        )  # fmt: skip
    detail = bool(layers & SnapshotLayer.DETAIL)
    return _WireAnnouncement(
        one.name, one.incarnation, one.sequence, one.state, one.address, one.node, one.serves, one.since,
        one.connections, one.opened, one.room,
        tuple(_WireLoad(*load) for load in one.loads) if detail else None,
        _WireLoad(*one.rest) if detail and one.rest != Load("", 0) else None,
        one.holds if detail else (),
        dict(one.parts) if layers & SnapshotLayer.PARTS else None,
        round(announcement.age, 4),
    )  # fmt: skip


def encode(message: Message) -> bytes:
    """Encode a message."""
    return _encode(
        _WireMessage(
            int(message.kind),
            _to_wire(message.sender),
            VERSION,
            round(message.uptime, 4),
            message.number,
            message.subject,
            tuple(_to_wire(announcement) for announcement in message.announcements),
            tuple(_WireAccusation(*one[:3], int(one.verdict), one.accuser) for one in message.accusations),
        )
    )


def _load_from_wire(load: _WireLoad) -> Load:
    return Load(load.tenant, load.connections, load.opened, load.over)


def _rest_from_wire(said: _WireAnnouncement, version: int) -> Load:
    if said.rest is not None:
        return _load_from_wire(said.rest)
    if version > 0 or said.loads is None:
        return Load("", 0)
    return Load("", max(0, said.connections - sum(load.connections for load in said.loads)))


def _from_wire(said: _WireAnnouncement, version: int) -> Announcement:
    """Convert a snapshot; an unknown state stays an integer, which `limits.find_fault` reports."""
    layers = SnapshotLayer.FIGURES
    if said.loads is not None:
        layers |= SnapshotLayer.DETAIL
    if said.parts is not None:
        layers |= SnapshotLayer.PARTS
    state: Any = _STATES.get(said.state, said.state)
    snapshot = Snapshot(
        said.name, said.node, said.incarnation, said.sequence, state, said.address, said.serves, said.since,
        said.connections, said.opened, said.room, tuple(map(_load_from_wire, said.loads or ())),
        _rest_from_wire(said, version), said.holds, said.parts or {},
    )  # fmt: skip
    return Announcement(snapshot, said.age, layers)


def _accusations_from_wire(accusations: tuple[_WireAccusation, ...]) -> Iterator[Accusation]:
    """Convert accusations; unknown verdicts of later versions are left out."""
    for one in accusations:
        if one.verdict in Verdict._value2member_map_ and len(one.by) <= MAX_NAME_LENGTH:
            yield Accusation(one.name, one.incarnation, one.epoch, Verdict(one.verdict), one.by)


def decode(body: bytes) -> Message | None:
    """Decode a message; returns None for an unknown kind of a later version, raises `InvalidFrameError`.

    The values of snapshots are not checked here, but by `limits.find_fault` for each snapshot.
    """
    try:
        decoded = _decode(body)
    except (msgspec.MsgspecError, ValueError) as error:  # ValueError: text that is not UTF-8
        raise msgpack_rpc.InvalidFrameError(f"invalid message: {error}") from None
    if decoded.kind not in MessageKind._value2member_map_:
        return None
    if not (isfinite(decoded.lived) and decoded.lived >= 0 and len(decoded.about) <= MAX_NAME_LENGTH):
        raise msgpack_rpc.InvalidFrameError("uptime or subject of a message is invalid")
    return Message(
        MessageKind(decoded.kind),
        _from_wire(decoded.me, decoded.version),
        decoded.lived,
        decoded.number,
        decoded.about,
        tuple(_from_wire(one, decoded.version) for one in decoded.said),
        tuple(_accusations_from_wire(decoded.rumours)),
    )
