"""BGP-4 messages as bytes and as values, both directions; a protocol's names end here.

RFC 4271 sections 4 and 6, with capabilities (5492), extended optional parameters (9072), extended messages
(8654), route refresh (2918, 7313), shutdown communication (9003) and ADD-PATH (7911). What an attribute
means, and what becomes of a bad one, is in `attributes`. Nothing here has a clock, a socket or state past
what is not yet whole.
"""

from __future__ import annotations

from collections.abc import Iterator
from enum import IntEnum
from typing import NamedTuple

MARKER = b"\xff" * 16
HEADER = 19  # octets: marker, length, type
MOST, MOST_EXTENDED = 4096, 65535  # octets of a message, RFC 4271 section 4.1 and RFC 8654
VERSION = 4
AS_TRANS = 23456  # RFC 6793: stands for an AS number that two octets can't hold


class Type(IntEnum):
    OPEN = 1
    UPDATE = 2
    NOTIFICATION = 3
    KEEPALIVE = 4
    ROUTE_REFRESH = 5


class Code(IntEnum):
    """Error codes, RFC 4271 section 4.5, 7313 and 9687."""

    HEADER = 1
    OPEN = 2
    UPDATE = 3
    HOLD = 4
    FSM = 5
    CEASE = 6
    REFRESH = 7
    SEND_HOLD = 8


NAMES: dict[tuple[int, int], str] = {
    (1, 1): "connection not synchronized", (1, 2): "bad message length", (1, 3): "bad message type",
    (2, 1): "unsupported version number", (2, 2): "bad peer AS", (2, 3): "bad BGP identifier",
    (2, 4): "unsupported optional parameter", (2, 6): "unacceptable hold time",
    (2, 7): "unsupported capability",
    (3, 1): "malformed attribute list", (3, 2): "unrecognized well-known attribute",
    (3, 3): "missing well-known attribute", (3, 4): "attribute flags error", (3, 5): "attribute length error",
    (3, 6): "invalid ORIGIN attribute", (3, 8): "invalid NEXT_HOP attribute",
    (3, 9): "optional attribute error", (3, 10): "invalid network field", (3, 11): "malformed AS_PATH",
    (5, 1): "unexpected message in OpenSent", (5, 2): "unexpected message in OpenConfirm",
    (5, 3): "unexpected message in Established",
    (6, 1): "maximum number of prefixes reached", (6, 2): "administrative shutdown",
    (6, 3): "peer de-configured",
    (6, 4): "administrative reset", (6, 5): "connection rejected", (6, 6): "other configuration change",
    (6, 7): "connection collision resolution", (6, 8): "out of resources",
    (7, 1): "invalid message length",
}  # fmt: skip
GENERAL = {1: "message header error", 2: "OPEN message error", 3: "UPDATE message error",
           4: "hold timer expired",
           5: "finite state machine error", 6: "cease", 7: "ROUTE-REFRESH message error",
           8: "send hold timer expired"}  # fmt: skip


class Wrong(Exception):
    """What a peer sent breaks the protocol: the NOTIFICATION that says so."""

    def __init__(self, code: int, subcode: int = 0, data: bytes = b"") -> None:
        super().__init__(error_name(code, subcode))
        self.code, self.subcode, self.data = code, subcode, data


def error_name(code: int, subcode: int) -> str:
    return NAMES.get((code, subcode)) or GENERAL.get(code) or f"error {code}/{subcode}"


class Family(NamedTuple):
    """AFI and SAFI, RFC 4760."""

    afi: int
    safi: int

    @property
    def octets(self) -> int:
        return 4 if self.afi == 1 else 16


IPV4, IPV6 = Family(1, 1), Family(2, 1)


class Nlri(NamedTuple):
    """An address prefix: its length in bits, its octets in full with host bits zero, and a path identifier
    where ADD-PATH brought one."""

    bits: int
    net: bytes
    path: int | None = None


class Capability(NamedTuple):
    code: int
    value: bytes


class Cap(IntEnum):
    MULTIPROTOCOL = 1
    ROUTE_REFRESH = 2
    EXTENDED_MESSAGE = 6
    GRACEFUL_RESTART = 64
    AS4 = 65
    ADD_PATH = 69
    ENHANCED_REFRESH = 70


class Open(NamedTuple):
    as2: int  # as the two octets say; AS_TRANS where the number is in a capability
    hold: int
    id: bytes
    capabilities: tuple[Capability, ...] = ()

    @property
    def as_(self) -> int:
        """The AS number, RFC 6793."""
        for code, value in self.capabilities:
            if code == Cap.AS4:
                return int.from_bytes(value, "big")
        return self.as2

    def has(self, code: int) -> bool:
        return any(capability.code == code for capability in self.capabilities)

    @property
    def families(self) -> frozenset[Family]:
        """Those that the peer speaks; one that names none speaks IPv4 unicast (RFC 4760 section 8)."""
        named = [value for code, value in self.capabilities if code == Cap.MULTIPROTOCOL]
        found = {Family(int.from_bytes(value[:2], "big"), value[3]) for value in named}
        return frozenset(found) if named else frozenset((IPV4,))

    def add_path(self, bit: int) -> frozenset[Family]:
        """Families for which the peer would receive (1) or send (2) several paths, RFC 7911 section 4."""
        found = set()
        for code, value in self.capabilities:
            if code == Cap.ADD_PATH:
                for at in range(0, len(value), 4):
                    if value[at + 3] in (1, 2, 3) and value[at + 3] & bit:
                        found.add(Family(int.from_bytes(value[at : at + 2], "big"), value[at + 2]))
        return frozenset(found)


class Attribute(NamedTuple):
    """A path attribute, raw. `flags` are the octet as it stood, the extended length bit included."""

    flags: int
    code: int
    value: bytes


class Update(NamedTuple):
    withdrawn: tuple[Nlri, ...] = ()
    attributes: tuple[Attribute, ...] = ()
    nlri: tuple[Nlri, ...] = ()
    rest: bytes = b""  # of attributes that end in the middle of one (RFC 7606 section 4)


class Notification(NamedTuple):
    code: int
    subcode: int = 0
    data: bytes = b""

    @property
    def name(self) -> str:
        return error_name(self.code, self.subcode)

    @property
    def text(self) -> str:
        """The shutdown communication, RFC 9003; empty where there is none that can be read."""
        if self.code != Code.CEASE or self.subcode not in (2, 4) or not self.data:
            return ""
        said = self.data[1 : 1 + self.data[0]]
        return said.decode("utf-8", "replace") if len(said) == self.data[0] else ""


class Keepalive(NamedTuple):
    pass


class Refresh(NamedTuple):
    """RFC 2918; `kind` 1 and 2 are the beginning and the end of one, RFC 7313."""

    family: Family
    kind: int = 0


Message = Open | Update | Notification | Keepalive | Refresh


class Agreed(NamedTuple):
    """What both sides' OPENs allow: how bytes are read."""

    as4: bool = False
    extended: bool = False
    enhanced: bool = False
    refresh: bool = False
    families: frozenset[Family] = frozenset((IPV4,))
    paths: frozenset[Family] = frozenset()  # families whose received prefixes carry path identifiers


def agree(ours: Open, theirs: Open) -> Agreed:
    def both(code: int) -> bool:
        return ours.has(code) and theirs.has(code)

    return Agreed(
        both(Cap.AS4), both(Cap.EXTENDED_MESSAGE), both(Cap.ENHANCED_REFRESH), both(Cap.ROUTE_REFRESH),
        ours.families & theirs.families, ours.add_path(1) & theirs.add_path(2))  # fmt: skip


# Encoding.


def frame(type_: Type, body: bytes, most: int = MOST) -> bytes:
    length = HEADER + len(body)
    assert length <= most, f"{type_.name} of {length} octets"
    return MARKER + length.to_bytes(2, "big") + bytes((type_,)) + body


def encode(message: Message, agreed: Agreed = Agreed()) -> bytes:  # noqa: B008 (a frozen value)
    match message:
        case Open():
            return frame(Type.OPEN, _open_body(message))
        case Update():
            return frame(Type.UPDATE, _update_body(message), MOST_EXTENDED if agreed.extended else MOST)
        case Notification(code, subcode, data):
            room = MOST - HEADER - 2
            return frame(Type.NOTIFICATION, bytes((code, subcode)) + data[:room])
        case Keepalive():
            return frame(Type.KEEPALIVE, b"")
        case Refresh(family, kind):
            return frame(Type.ROUTE_REFRESH, family.afi.to_bytes(2, "big") + bytes((kind, family.safi)))


def _open_body(said: Open) -> bytes:
    """All capabilities stand in one parameter; past 255 octets in the extended form of RFC 9072."""
    caps = b"".join(bytes((code, len(value))) + value for code, value in said.capabilities)
    head = bytes((VERSION,)) + said.as2.to_bytes(2, "big") + said.hold.to_bytes(2, "big") + said.id
    if not caps:
        return head + b"\0"
    if len(caps) + 2 <= 255:
        return head + bytes((len(caps) + 2, 2, len(caps))) + caps
    length = len(caps).to_bytes(2, "big")
    return head + b"\xff\xff" + (len(caps) + 3).to_bytes(2, "big") + b"\2" + length + caps


def prefix(nlri: Nlri) -> bytes:
    path = b"" if nlri.path is None else nlri.path.to_bytes(4, "big")
    return path + bytes((nlri.bits,)) + nlri.net[: (nlri.bits + 7) // 8]


def attribute(what: Attribute) -> bytes:
    flags = what.flags | (0x10 if len(what.value) > 255 else 0)
    length = len(what.value).to_bytes(2 if flags & 0x10 else 1, "big")
    return bytes((flags, what.code)) + length + what.value


def _update_body(said: Update) -> bytes:
    withdrawn = b"".join(map(prefix, said.withdrawn))
    attributes = b"".join(map(attribute, said.attributes)) + said.rest
    return b"".join((
        len(withdrawn).to_bytes(2, "big"), withdrawn, len(attributes).to_bytes(2, "big"), attributes,
        *map(prefix, said.nlri)))  # fmt: skip


def shutdown(text: str, subcode: int = 2) -> Notification:
    """Administrative shutdown with a word on why, RFC 9003: at most 255 octets, cut between characters."""
    said = text.encode()[:255].decode("utf-8", "ignore").encode()
    return Notification(Code.CEASE, subcode, bytes((len(said),)) + said)


# Decoding.


class Reader:
    """Bytes of one connection to messages. Holds at most one message that is not yet whole.

    `agreed` is set by the session once both OPENs are in: the bytes after them are read by it.
    """

    def __init__(self) -> None:
        self.rest = bytearray()
        self.agreed = Agreed()

    def feed(self, data: bytes) -> Iterator[Message]:
        """Messages as they become whole; `Wrong` where the bytes are none, after those before it.

        The iterator must be used up, or dropped with the connection."""
        self.rest += data
        while len(self.rest) >= HEADER:
            length = int.from_bytes(self.rest[16:18], "big")
            check_header(bytes(self.rest[:HEADER]), self.agreed)
            if len(self.rest) < length:
                return
            type_, body = self.rest[18], bytes(self.rest[HEADER:length])
            del self.rest[:length]
            yield decode(type_, body, self.agreed)

    def half(self) -> bool:
        return bool(self.rest)


def check_header(head: bytes, agreed: Agreed) -> None:
    """RFC 4271 section 6.1."""
    if head[:16] != MARKER:
        raise Wrong(Code.HEADER, 1)
    length, kind = int.from_bytes(head[16:18], "big"), head[18]
    if kind not in LEAST:
        raise Wrong(Code.HEADER, 3, head[18:19])
    # RFC 8654 section 4: an OPEN or a KEEPALIVE is never longer than 4,096 octets.
    most = MOST_EXTENDED if agreed.extended and kind not in (Type.OPEN, Type.KEEPALIVE) else MOST
    if kind == Type.ROUTE_REFRESH and length != LEAST[kind] and HEADER <= length <= most:
        return  # its own error code says it, RFC 7313 section 5
    if not LEAST[kind] <= length <= most or (kind == Type.KEEPALIVE and length != HEADER):
        raise Wrong(Code.HEADER, 2, head[16:18])


LEAST: dict[int, int] = {Type.OPEN: 29, Type.UPDATE: 23, Type.NOTIFICATION: 21, Type.KEEPALIVE: 19,
                         Type.ROUTE_REFRESH: 23}  # fmt: skip


def decode(type_: int, body: bytes, agreed: Agreed = Agreed()) -> Message:  # noqa: B008 (a frozen value)
    match type_:
        case Type.OPEN:
            return _open(body)
        case Type.UPDATE:
            return _update(body, agreed)
        case Type.NOTIFICATION:
            return Notification(body[0], body[1], body[2:])
        case Type.KEEPALIVE:
            return Keepalive()
        case Type.ROUTE_REFRESH:
            if len(body) != 4:
                header = (HEADER + len(body)).to_bytes(2, "big") + bytes((type_,))
                raise Wrong(Code.REFRESH, 1, MARKER + header + body)
            return Refresh(Family(int.from_bytes(body[:2], "big"), body[3]), body[2])
    raise Wrong(Code.HEADER, 3, bytes((type_,)))


def _open(body: bytes) -> Open:
    if body[0] != VERSION:
        raise Wrong(Code.OPEN, 1, VERSION.to_bytes(2, "big"))
    as2, hold, id_ = int.from_bytes(body[1:3], "big"), int.from_bytes(body[3:5], "big"), body[5:9]
    told, rest, wide = body[9], body[10:], 1
    if told == 255 and rest[:1] == b"\xff":  # RFC 9072 section 2
        if len(rest) < 3:
            raise Wrong(Code.OPEN, 0)
        told, rest, wide = int.from_bytes(rest[1:3], "big"), rest[3:], 2
    if told != len(rest):
        raise Wrong(Code.OPEN, 0)
    found: list[Capability] = []
    for kind, value in _pieces(rest, wide):
        if kind != 2:
            raise Wrong(Code.OPEN, 4)
        found += [Capability(code, said) for code, said in _pieces(value, 1)]
    for capability in found:
        _check_capability(capability)
    return Open(as2, hold, id_, tuple(found))


def _pieces(data: bytes, wide: int) -> Iterator[tuple[int, bytes]]:
    """Type, length and value, again and again, the length `wide` octets."""
    at = 0
    while at < len(data):
        end = at + 1 + wide
        length = int.from_bytes(data[at + 1 : end], "big")
        if end + length > len(data):
            raise Wrong(Code.OPEN, 0)
        yield data[at], data[end : end + length]
        at = end + length


SIZES: dict[int, int] = {Cap.MULTIPROTOCOL: 4, Cap.AS4: 4, Cap.ROUTE_REFRESH: 0, Cap.EXTENDED_MESSAGE: 0,
                         Cap.ENHANCED_REFRESH: 0}  # fmt: skip


def _check_capability(capability: Capability) -> None:
    code, value = capability
    if len(value) != SIZES.get(code, len(value)) or (code == Cap.ADD_PATH and (len(value) % 4 or not value)):
        raise Wrong(Code.OPEN, 0)


def _update(body: bytes, agreed: Agreed) -> Update:
    """Raises only what RFC 7606 leaves to a session reset: lengths that don't fit, unreadable prefixes."""
    gone = int.from_bytes(body[:2], "big")
    if 4 + gone > len(body):
        raise Wrong(Code.UPDATE, 1)
    size = int.from_bytes(body[2 + gone : 4 + gone], "big")
    if 4 + gone + size > len(body):
        raise Wrong(Code.UPDATE, 1)
    at = 4 + gone
    attributes, rest = _attributes(body[at : at + size])
    paths = IPV4 in agreed.paths
    withdrawn, nlri = prefixes(body[2 : 2 + gone], 4, paths), prefixes(body[at + size :], 4, paths)
    return Update(withdrawn, attributes, nlri, rest)


def _attributes(data: bytes) -> tuple[tuple[Attribute, ...], bytes]:
    found: list[Attribute] = []
    at = 0
    while at < len(data):
        wide = 2 if data[at] & 0x10 else 1
        end = at + 2 + wide
        length = int.from_bytes(data[at + 2 : end], "big")
        if end > len(data) or end + length > len(data):
            return tuple(found), data[at:]
        found.append(Attribute(data[at], data[at + 1], data[end : end + length]))
        at = end + length
    return tuple(found), b""


def prefixes(data: bytes, octets: int, paths: bool) -> tuple[Nlri, ...]:
    """Prefixes, RFC 4271 section 4.3; `octets` a whole address. Bits past a length are dropped."""
    found, at, end, most = [], 0, len(data), octets * 8
    while at < end:
        path = None
        if paths:
            path = int.from_bytes(data[at : at + 4], "big")
            at += 4
        if at >= end:
            raise Wrong(Code.UPDATE, 10)
        bits = data[at]
        size = (bits + 7) // 8
        if bits > most or at + 1 + size > end:
            raise Wrong(Code.UPDATE, 10)
        net = data[at + 1 : at + 1 + size].ljust(octets, b"\0")
        if spare := -bits % 8:
            net = net[: size - 1] + bytes((net[size - 1] >> spare << spare,)) + net[size:]
        found.append(Nlri(bits, net, path))
        at += 1 + size
    return tuple(found)
