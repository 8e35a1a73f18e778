"""Messages of members as MessagePack-RPC notifications, through the reader and the bounds of
`runtime.msgpack_rpc`.

A notification is `[2, word, [head, piece, ...]]`: the head says fleet, sender, part of how many, and where
there is a key a MAC over all of it; the pieces, up to three, are the next octets of the message. Parts come
in order on one link. Every field of a message has a name and most have a default, so that an unknown one is
passed over and an older version is still read; `VERSION` counts up where a field's meaning changes.

Version 0 has no `opened`, `over`, `rest` and `holds`.
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

from thymeyoke.membership.failure_detector import Layer, Said
from thymeyoke.membership.gossip import Kind, Message, Rumour, Verdict
from thymeyoke.membership.view import NAME_MOST, Load, Snapshot, State
from thymeyoke.runtime import msgpack_rpc

VERSION = 1
WORD = "members"  # of this package's own messages; other words belong to other subsystems
WORD_MOST = 32
PIECES = 3  # of a message, in one notification
PART = PIECES * msgpack_rpc.MAX_BODY_BYTES
MESSAGE_MOST = 1 << 20  # octets of a message
BODY_MOST = 8192  # octets of another subsystem's message
POOL = 1 << 24  # octets of all messages that are not yet whole, of all links together
MAC = 16


class Foreign(msgpack_rpc.InvalidFrameError):
    """Whole, and not for this process. `what` is the word that counts it."""

    def __init__(self, what: str, why: str) -> None:
        super().__init__(why)
        self.what = what


class Badge(NamedTuple):
    """Who speaks, and in which fleet."""

    fleet: str
    key: bytes  # of the MAC; none where the fleet has no key
    name: str
    address: str


def key(secret: str) -> bytes:
    """Of any text, as long as the MAC takes."""
    return blake2b(secret.encode(), person=b"thymeyoke key").digest() if secret else b""


class Head(Struct, array_like=True, frozen=True):
    fleet: str
    name: str
    address: str
    part: int
    parts: int
    mac: bytes = b""


class Whole(NamedTuple):
    """A message with all its parts."""

    word: str
    name: str
    address: str
    body: bytes


_pack_head = msgspec.msgpack.Encoder().encode
_read_head = msgspec.msgpack.Decoder(Head).decode


def _mac(secret: bytes, word: str, head: Head, pieces: list[bytes]) -> bytes:
    made = blake2b(key=secret, digest_size=MAC, person=b"thymeyoke part")
    for one in (word.encode(), _pack_head(msgspec.structs.replace(head, mac=b"")), *pieces):
        made.update(len(one).to_bytes(4, "big") + one)
    return made.digest()


def notifications(word: str, body: bytes, badge: Badge) -> bytes:
    """All notifications of one message; at most `MESSAGE_MOST` octets of it."""
    parts = max(1, -(-len(body) // PART))
    out = []
    for part in range(parts):
        mine = body[part * PART : (part + 1) * PART]
        pieces = [
            mine[at : at + msgpack_rpc.MAX_BODY_BYTES]
            for at in range(0, len(mine), msgpack_rpc.MAX_BODY_BYTES)
        ]
        head = Head(badge.fleet, badge.name, badge.address, part, parts)
        if badge.key:
            head = msgspec.structs.replace(head, mac=_mac(badge.key, word, head, pieces))
        out.append(msgpack.packb([msgpack_rpc.NOTIFICATION, word, [_pack_head(head), *pieces]]))
    return b"".join(out)


class Pool:
    """Octets that may be held at once, by all links, for what is not yet whole."""

    def __init__(self, left: int = POOL) -> None:
        self.left = left

    def take(self, many: int) -> bool:
        if many > self.left:
            return False
        self.left -= many
        return True


class Reader(msgpack_rpc.FrameReader[Any]):
    """The messages of one link, however their bytes are cut. `feed` raises `InvalidFrameError` for what
    cannot go on. `body` is emptied as a message becomes whole, and by `close`."""

    def __init__(self, badge: Badge, pool: Pool) -> None:
        super().__init__()
        self.badge, self.pool = badge, pool
        self.head: Head | None = None  # of the part before, while a message is not yet whole
        self.word = ""
        self.body = bytearray()

    def feed(self, data: bytes) -> list[Any]:
        """All that is whole now: `Whole` each."""
        return [one for one in super().feed(data) if one is not None]

    def is_incomplete(self) -> bool:
        return super().is_incomplete() or self.head is not None

    def close(self) -> None:
        self.pool.left += len(self.body)
        self.body.clear()
        self.head = None

    def _message(self, frame: Any) -> Any:
        match frame:
            case [msgpack_rpc.NOTIFICATION, str(word), [bytes(first), *pieces]] if len(
                word
            ) <= WORD_MOST and all(isinstance(piece, bytes) for piece in pieces):
                return self._part(word, first, pieces)
        raise msgpack_rpc.InvalidFrameError(f"unknown message {str(frame)[:80]}")

    def _part(self, word: str, first: bytes, pieces: list[bytes]) -> Whole | None:
        try:
            head = _read_head(first)
        except (msgspec.MsgspecError, ValueError) as error:
            raise msgpack_rpc.InvalidFrameError(f"not a head: {error}") from None
        if head.fleet != self.badge.fleet:
            raise Foreign("other_fleet", f"of the fleet {head.fleet[:NAME_MOST]!r}")
        if self.badge.key and not compare_digest(head.mac, _mac(self.badge.key, word, head, pieces)):
            raise Foreign("bad_key", "its MAC is not of this fleet's key")
        self._fits(word, head)
        more = sum(map(len, pieces))
        if len(self.body) + more > MESSAGE_MOST or not self.pool.take(more):
            raise msgpack_rpc.InvalidFrameError("a message that is too long")
        self.body += b"".join(pieces)
        if head.part < head.parts - 1:
            self.head, self.word = head, word
            return None
        whole = Whole(word, head.name, head.address, bytes(self.body))
        self.close()
        return whole

    def _fits(self, word: str, head: Head) -> None:
        before = self.head
        if not 0 < head.parts <= MESSAGE_MOST // PART + 1 or len(head.name) > NAME_MOST:
            raise msgpack_rpc.InvalidFrameError("a head with figures that cannot be")
        if before is None:
            if head.part != 0:
                raise msgpack_rpc.InvalidFrameError("a message without its beginning")
        elif (self.word, before.name, before.address, before.parts, before.part + 1) != (
            word, head.name, head.address, head.parts, head.part
        ):  # fmt: skip
            raise msgpack_rpc.InvalidFrameError("a part that does not follow")


# The body of `WORD`.


class _Load(Struct, array_like=True, frozen=True):
    tenant: str
    connections: int
    opened: float = 0.0
    over: int = 0


_SHORT = {
    "name": "n", "node": "k", "incarnation": "i", "sequence": "s", "state": "t", "address": "a",
    "serves": "e", "since": "h", "connections": "c", "opened": "o", "room": "r", "loads": "l", "rest": "x",
    "holds": "d", "parts": "p", "age": "g",
}  # fmt: skip


class _Said(Struct, frozen=True, omit_defaults=True, rename=_SHORT):
    name: str
    incarnation: int
    sequence: int
    state: int  # of a `State`, or of a later version's
    address: str
    node: bool = False
    serves: str = ""
    since: float = 0.0
    connections: int = 0
    opened: float = 0.0
    room: int = 0
    loads: tuple[_Load, ...] | None = None  # none told, which is not "no loads"
    rest: _Load | None = None
    holds: tuple[str, ...] = ()
    parts: dict[str, bytes] | None = None
    age: float = 0.0


class _Rumour(Struct, array_like=True, frozen=True):
    name: str
    incarnation: int
    epoch: int
    verdict: int
    by: str


class _Message(
    Struct, frozen=True, omit_defaults=True,
    rename={"version": "v", "kind": "k", "me": "m", "lived": "u", "number": "q", "about": "b", "said": "s",
            "rumours": "r"},
):  # fmt: skip
    kind: int
    me: _Said
    version: int = 0
    lived: float = 0.0
    number: int = 0
    about: str = ""
    said: tuple[_Said, ...] = ()
    rumours: tuple[_Rumour, ...] = ()


_STATES = {int(state): state for state in State}
_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(_Message).decode


def _out(said: Said) -> _Said:
    one, layers = said.snapshot, said.layers
    if not layers:
        return _Said(
            one.name, one.incarnation, one.sequence, one.state, one.address, one.node, one.serves, one.since,
            one.connections, one.opened, one.room, age=round(said.age, 4),
        )  # fmt: skip
    detail = bool(layers & Layer.DETAIL)
    return _Said(
        one.name, one.incarnation, one.sequence, one.state, one.address, one.node, one.serves, one.since,
        one.connections, one.opened, one.room,
        tuple(_Load(*load) for load in one.loads) if detail else None,
        _Load(*one.rest) if detail and one.rest != Load("", 0) else None,
        one.holds if detail else (),
        dict(one.parts) if layers & Layer.PARTS else None,
        round(said.age, 4),
    )  # fmt: skip


def encode(message: Message) -> bytes:
    return _encode(_Message(
        int(message.kind), _out(message.me), VERSION, round(message.lived, 4), message.number, message.about,
        tuple(_out(said) for said in message.said),
        tuple(_Rumour(*one[:3], int(one.verdict), one.by) for one in message.rumours),
    ))  # fmt: skip


def _load(load: _Load) -> Load:
    return Load(load.tenant, load.connections, load.opened, load.over)


def _rest(said: _Said, version: int) -> Load:
    if said.rest is not None:
        return _load(said.rest)
    if version > 0 or said.loads is None:
        return Load("", 0)
    return Load("", max(0, said.connections - sum(load.connections for load in said.loads)))


def _in(said: _Said, version: int) -> Said:
    """A state of a later version stays a plain number, which `bounds.fault` names."""
    layers = Layer.FIGURES
    if said.loads is not None:
        layers |= Layer.DETAIL
    if said.parts is not None:
        layers |= Layer.PARTS
    state: Any = _STATES.get(said.state, said.state)
    snapshot = Snapshot(
        said.name, said.node, said.incarnation, said.sequence, state, said.address, said.serves, said.since,
        said.connections, said.opened, said.room, tuple(map(_load, said.loads or ())),
        _rest(said, version), said.holds, said.parts or {},
    )  # fmt: skip
    return Said(snapshot, said.age, layers)


def _rumours(heard: tuple[_Rumour, ...]) -> Iterator[Rumour]:
    """Those of a verdict that this version knows."""
    for one in heard:
        if one.verdict in Verdict._value2member_map_ and len(one.by) <= NAME_MOST:
            yield Rumour(one.name, one.incarnation, one.epoch, Verdict(one.verdict), one.by)


def decode(body: bytes) -> Message | None:
    """`InvalidFrameError` for what is no message; None for a kind of a later version. Figures are not looked
    at here: `bounds.fault` does that for each snapshot by itself."""
    try:
        made = _decode(body)
    except (msgspec.MsgspecError, ValueError) as error:  # ValueError: text that is not UTF-8
        raise msgpack_rpc.InvalidFrameError(f"not a message: {error}") from None
    if made.kind not in Kind._value2member_map_:
        return None
    if not (isfinite(made.lived) and made.lived >= 0 and len(made.about) <= NAME_MOST):
        raise msgpack_rpc.InvalidFrameError("a message with figures that cannot be")
    return Message(
        Kind(made.kind), _in(made.me, made.version), made.lived, made.number, made.about,
        tuple(_in(one, made.version) for one in made.said), tuple(_rumours(made.rumours)),
    )  # fmt: skip
