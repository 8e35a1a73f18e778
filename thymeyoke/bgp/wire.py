"""Encodes and decodes BGP-4 messages. Only this module uses the protocol's octets.

RFC 4271 sections 4 and 6, capabilities (RFC 5492), extended optional parameters (RFC 9072), extended messages
(RFC 8654), route refresh (RFC 2918, 7313), shutdown communication (RFC 9003) and ADD-PATH (RFC 7911). The
meaning of attributes is in `attributes`. There is no I/O, and no state but an incomplete message.
"""

from __future__ import annotations

from collections.abc import Iterator
from enum import IntEnum
from typing import NamedTuple

MARKER = b"\xff" * 16
HEADER_BYTES = 19  # marker, length, type
MAX_MESSAGE_BYTES, MAX_EXTENDED_MESSAGE_BYTES = 4096, 65535  # RFC 4271 section 4.1, RFC 8654
VERSION = 4
AS_TRANS = 23456  # RFC 6793: in place of an AS number that needs four octets


class MessageType(IntEnum):
    """Message types, RFC 4271 section 4.1."""

    OPEN = 1
    UPDATE = 2
    NOTIFICATION = 3
    KEEPALIVE = 4
    ROUTE_REFRESH = 5


class ErrorCode(IntEnum):
    """Error codes, RFC 4271 section 4.5, RFC 7313 and RFC 9687."""

    HEADER = 1
    OPEN = 2
    UPDATE = 3
    HOLD = 4
    FSM = 5
    CEASE = 6
    REFRESH = 7
    SEND_HOLD = 8


SUBCODE_NAMES: dict[tuple[int, int], str] = {
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
CODE_NAMES = {1: "message header error", 2: "OPEN message error", 3: "UPDATE message error",
           4: "hold timer expired",
           5: "finite state machine error", 6: "cease", 7: "ROUTE-REFRESH message error",
           8: "send hold timer expired"}  # fmt: skip


class ProtocolError(Exception):
    """A peer violated the protocol. Has the fields of the NOTIFICATION to answer with."""

    def __init__(self, code: int, subcode: int = 0, data: bytes = b"") -> None:
        super().__init__(error_name(code, subcode))
        self.code, self.subcode, self.data = code, subcode, data


def error_name(code: int, subcode: int) -> str:
    """Return the name of an error, by code and subcode."""
    return SUBCODE_NAMES.get((code, subcode)) or CODE_NAMES.get(code) or f"error {code}/{subcode}"


class Family(NamedTuple):
    """Address family (AFI and SAFI), RFC 4760."""

    afi: int
    safi: int

    @property
    def address_bytes(self) -> int:
        """Size of an address in bytes."""
        return 4 if self.afi == 1 else 16


IPV4, IPV6 = Family(1, 1), Family(2, 1)


class Nlri(NamedTuple):
    """An address prefix: its length in bits, and the complete address with host bits zero.

    `path_id` is set if ADD-PATH was negotiated.
    """

    prefix_length: int
    address: bytes
    path_id: int | None = None


class Capability(NamedTuple):
    """An optional capability, with its raw value."""

    code: int
    value: bytes


class CapabilityCode(IntEnum):
    """Codes of capabilities."""

    MULTIPROTOCOL = 1
    ROUTE_REFRESH = 2
    EXTENDED_MESSAGE = 6
    GRACEFUL_RESTART = 64
    AS4 = 65
    ADD_PATH = 69
    ENHANCED_REFRESH = 70


class Open(NamedTuple):
    """An OPEN message. `hold` is the hold time in seconds, `id` the BGP identifier."""

    two_byte_as: int  # AS_TRANS if the AS number is in a capability
    hold: int
    id: bytes
    capabilities: tuple[Capability, ...] = ()

    @property
    def as_(self) -> int:
        """The AS number, RFC 6793."""
        for code, value in self.capabilities:
            if code == CapabilityCode.AS4:
                return int.from_bytes(value, "big")
        return self.two_byte_as

    def has_capability(self, code: int) -> bool:
        """Return whether the peer has a capability."""
        return any(capability.code == code for capability in self.capabilities)

    @property
    def families(self) -> frozenset[Family]:
        """The peer's address families; IPv4 unicast if it names none (RFC 4760 section 8)."""
        named = [value for code, value in self.capabilities if code == CapabilityCode.MULTIPROTOCOL]
        found = {Family(int.from_bytes(value[:2], "big"), value[3]) for value in named}
        return frozenset(found) if named else frozenset((IPV4,))

    def add_path_families_of(self, bit: int) -> frozenset[Family]:
        """Return the families with multiple paths that the peer receives (1) or sends (2), RFC 7911."""
        found = set()
        for code, value in self.capabilities:
            if code == CapabilityCode.ADD_PATH:
                for at in range(0, len(value), 4):
                    if value[at + 3] in (1, 2, 3) and value[at + 3] & bit:
                        found.add(Family(int.from_bytes(value[at : at + 2], "big"), value[at + 2]))
        return frozenset(found)


class Attribute(NamedTuple):
    """A path attribute with its raw value; `flags` include the extended length bit."""

    flags: int
    code: int
    value: bytes


class Update(NamedTuple):
    """An UPDATE message."""

    withdrawn: tuple[Nlri, ...] = ()
    attributes: tuple[Attribute, ...] = ()
    nlri: tuple[Nlri, ...] = ()
    trailing_bytes: bytes = b""  # of a truncated attribute (RFC 7606 section 4)


class Notification(NamedTuple):
    """A NOTIFICATION message."""

    code: int
    subcode: int = 0
    data: bytes = b""

    @property
    def name(self) -> str:
        """Name of the error."""
        return error_name(self.code, self.subcode)

    @property
    def text(self) -> str:
        """The shutdown communication, RFC 9003; empty if there is none or it is invalid."""
        if self.code != ErrorCode.CEASE or self.subcode not in (2, 4) or not self.data:
            return ""
        text = self.data[1 : 1 + self.data[0]]
        return text.decode("utf-8", "replace") if len(text) == self.data[0] else ""


class Keepalive(NamedTuple):
    """A KEEPALIVE message."""

    pass


class RouteRefresh(NamedTuple):
    """A ROUTE-REFRESH message; subtypes 1 and 2 are begin and end of a refresh, RFC 7313."""

    family: Family
    subtype: int = 0


Message = Open | Update | Notification | Keepalive | RouteRefresh


class NegotiatedOptions(NamedTuple):
    """The options that both OPEN messages allow; they determine how later messages are decoded."""

    four_byte_as: bool = False
    extended_messages: bool = False
    enhanced_refresh: bool = False
    refresh: bool = False
    families: frozenset[Family] = frozenset((IPV4,))
    add_path_families: frozenset[Family] = frozenset()  # received prefixes have path IDs


def negotiate(ours: Open, theirs: Open) -> NegotiatedOptions:
    """Return the options that both sides support."""

    def both(code: int) -> bool:
        return ours.has_capability(code) and theirs.has_capability(code)

    return NegotiatedOptions(
        both(CapabilityCode.AS4),
        both(CapabilityCode.EXTENDED_MESSAGE),
        both(CapabilityCode.ENHANCED_REFRESH),
        both(CapabilityCode.ROUTE_REFRESH),
        ours.families & theirs.families,
        ours.add_path_families_of(1) & theirs.add_path_families_of(2),
    )


# Encoding.


def encode_frame(type_: MessageType, body: bytes, max_bytes: int = MAX_MESSAGE_BYTES) -> bytes:
    """Encode a message with its header."""
    length = HEADER_BYTES + len(body)
    assert length <= max_bytes, f"{type_.name} of {length} bytes"
    return MARKER + length.to_bytes(2, "big") + bytes((type_,)) + body


def encode(message: Message, negotiated: NegotiatedOptions = NegotiatedOptions()) -> bytes:  # noqa: B008 (a frozen value)
    """Encode a message."""
    match message:
        case Open():
            return encode_frame(MessageType.OPEN, _encode_open(message))
        case Update():
            return encode_frame(
                MessageType.UPDATE,
                _encode_update(message),
                MAX_EXTENDED_MESSAGE_BYTES if negotiated.extended_messages else MAX_MESSAGE_BYTES,
            )
        case Notification(code, subcode, data):
            max_data = MAX_MESSAGE_BYTES - HEADER_BYTES - 2
            return encode_frame(MessageType.NOTIFICATION, bytes((code, subcode)) + data[:max_data])
        case Keepalive():
            return encode_frame(MessageType.KEEPALIVE, b"")
        case RouteRefresh(family, subtype):
            return encode_frame(
                MessageType.ROUTE_REFRESH, family.afi.to_bytes(2, "big") + bytes((subtype, family.safi))
            )


def _encode_open(message: Open) -> bytes:
    """Encode an OPEN with all capabilities in one parameter; over 255 bytes in the form of RFC 9072."""
    caps = b"".join(bytes((code, len(value))) + value for code, value in message.capabilities)
    head = (
        bytes((VERSION,))
        + message.two_byte_as.to_bytes(2, "big")
        + message.hold.to_bytes(2, "big")
        + message.id
    )
    if not caps:
        return head + b"\0"
    if len(caps) + 2 <= 255:
        return head + bytes((len(caps) + 2, 2, len(caps))) + caps
    length = len(caps).to_bytes(2, "big")
    return head + b"\xff\xff" + (len(caps) + 3).to_bytes(2, "big") + b"\2" + length + caps


def encode_prefix(nlri: Nlri) -> bytes:
    """Encode a prefix."""
    path_id = b"" if nlri.path_id is None else nlri.path_id.to_bytes(4, "big")
    return path_id + bytes((nlri.prefix_length,)) + nlri.address[: (nlri.prefix_length + 7) // 8]


def encode_attribute(attribute: Attribute) -> bytes:
    """Encode a path attribute."""
    flags = attribute.flags | (0x10 if len(attribute.value) > 255 else 0)
    length = len(attribute.value).to_bytes(2 if flags & 0x10 else 1, "big")
    return bytes((flags, attribute.code)) + length + attribute.value


def _encode_update(message: Update) -> bytes:
    """Encode the body of an UPDATE."""
    withdrawn = b"".join(map(encode_prefix, message.withdrawn))
    attributes = b"".join(map(encode_attribute, message.attributes)) + message.trailing_bytes
    return b"".join((
        len(withdrawn).to_bytes(2, "big"), withdrawn, len(attributes).to_bytes(2, "big"), attributes,
        *map(encode_prefix, message.nlri)))  # fmt: skip


def shutdown_notification(text: str, subcode: int = 2) -> Notification:
    """Build an administrative shutdown with a text of at most 255 bytes, RFC 9003."""
    encoded = text.encode()[:255].decode("utf-8", "ignore").encode()
    return Notification(ErrorCode.CEASE, subcode, bytes((len(encoded),)) + encoded)


# Decoding.


class MessageReader:
    """Splits the bytes of a connection into messages; buffers at most one incomplete message.

    The session sets `negotiated` after both OPEN messages; it applies to the bytes after them.
    """

    def __init__(self) -> None:
        self.buffer = bytearray()
        self.negotiated = NegotiatedOptions()

    def feed(self, data: bytes) -> Iterator[Message]:
        """Add received bytes and return the complete messages; raises `ProtocolError` after the valid ones.

        The iterator must be exhausted, or dropped together with the connection.
        """
        self.buffer += data
        while len(self.buffer) >= HEADER_BYTES:
            length = int.from_bytes(self.buffer[16:18], "big")
            check_header(bytes(self.buffer[:HEADER_BYTES]), self.negotiated)
            if len(self.buffer) < length:
                return
            type_, body = self.buffer[18], bytes(self.buffer[HEADER_BYTES:length])
            del self.buffer[:length]
            yield decode(type_, body, self.negotiated)

    def has_partial_message(self) -> bool:
        """Return whether an incomplete message is buffered."""
        return bool(self.buffer)


def check_header(header: bytes, negotiated: NegotiatedOptions) -> None:
    """Validate a message header, RFC 4271 section 6.1."""
    if header[:16] != MARKER:
        raise ProtocolError(ErrorCode.HEADER, 1)
    length, type_ = int.from_bytes(header[16:18], "big"), header[18]
    if type_ not in MIN_MESSAGE_BYTES:
        raise ProtocolError(ErrorCode.HEADER, 3, header[18:19])
    # RFC 8654 section 4: an OPEN or a KEEPALIVE is never longer than 4,096 octets.
    max_bytes = (
        MAX_EXTENDED_MESSAGE_BYTES
        if negotiated.extended_messages and type_ not in (MessageType.OPEN, MessageType.KEEPALIVE)
        else MAX_MESSAGE_BYTES
    )
    if (
        type_ == MessageType.ROUTE_REFRESH
        and length != MIN_MESSAGE_BYTES[type_]
        and HEADER_BYTES <= length <= max_bytes
    ):
        return  # reported with its own error code, RFC 7313 section 5
    if not MIN_MESSAGE_BYTES[type_] <= length <= max_bytes or (
        type_ == MessageType.KEEPALIVE and length != HEADER_BYTES
    ):
        raise ProtocolError(ErrorCode.HEADER, 2, header[16:18])


MIN_MESSAGE_BYTES: dict[int, int] = {
    MessageType.OPEN: 29,
    MessageType.UPDATE: 23,
    MessageType.NOTIFICATION: 21,
    MessageType.KEEPALIVE: 19,
    MessageType.ROUTE_REFRESH: 23,
}


def decode(type_: int, body: bytes, negotiated: NegotiatedOptions = NegotiatedOptions()) -> Message:  # noqa: B008 (a frozen value)
    """Decode the body of a message."""
    match type_:
        case MessageType.OPEN:
            return _decode_open(body)
        case MessageType.UPDATE:
            return _decode_update(body, negotiated)
        case MessageType.NOTIFICATION:
            return Notification(body[0], body[1], body[2:])
        case MessageType.KEEPALIVE:
            return Keepalive()
        case MessageType.ROUTE_REFRESH:
            if len(body) != 4:
                header = (HEADER_BYTES + len(body)).to_bytes(2, "big") + bytes((type_,))
                raise ProtocolError(ErrorCode.REFRESH, 1, MARKER + header + body)
            return RouteRefresh(Family(int.from_bytes(body[:2], "big"), body[3]), body[2])
    raise ProtocolError(ErrorCode.HEADER, 3, bytes((type_,)))


def _decode_open(body: bytes) -> Open:
    """Decode an OPEN."""
    if body[0] != VERSION:
        raise ProtocolError(ErrorCode.OPEN, 1, VERSION.to_bytes(2, "big"))
    two_byte_as, hold, id_ = int.from_bytes(body[1:3], "big"), int.from_bytes(body[3:5], "big"), body[5:9]
    length, parameters, length_bytes = body[9], body[10:], 1
    if length == 255 and parameters[:1] == b"\xff":  # RFC 9072 section 2
        if len(parameters) < 3:
            raise ProtocolError(ErrorCode.OPEN, 0)
        length, parameters, length_bytes = int.from_bytes(parameters[1:3], "big"), parameters[3:], 2
    if length != len(parameters):
        raise ProtocolError(ErrorCode.OPEN, 0)
    capabilities: list[Capability] = []
    for kind, value in _decode_tlvs(parameters, length_bytes):
        if kind != 2:
            raise ProtocolError(ErrorCode.OPEN, 4)
        capabilities += [Capability(code, data) for code, data in _decode_tlvs(value, 1)]
    for capability in capabilities:
        _check_capability(capability)
    return Open(two_byte_as, hold, id_, tuple(capabilities))


def _decode_tlvs(data: bytes, length_bytes: int) -> Iterator[tuple[int, bytes]]:
    """Yield type and value of each type-length-value triple; the length has `length_bytes` bytes."""
    at = 0
    while at < len(data):
        end = at + 1 + length_bytes
        length = int.from_bytes(data[at + 1 : end], "big")
        if end + length > len(data):
            raise ProtocolError(ErrorCode.OPEN, 0)
        yield data[at], data[end : end + length]
        at = end + length


CAPABILITY_SIZES: dict[int, int] = {
    CapabilityCode.MULTIPROTOCOL: 4,
    CapabilityCode.AS4: 4,
    CapabilityCode.ROUTE_REFRESH: 0,
    CapabilityCode.EXTENDED_MESSAGE: 0,
    CapabilityCode.ENHANCED_REFRESH: 0,
}


def _check_capability(capability: Capability) -> None:
    """Validate the size of a capability."""
    code, value = capability
    if len(value) != CAPABILITY_SIZES.get(code, len(value)) or (
        code == CapabilityCode.ADD_PATH and (len(value) % 4 or not value)
    ):
        raise ProtocolError(ErrorCode.OPEN, 0)


def _decode_update(body: bytes, negotiated: NegotiatedOptions) -> Update:
    """Decode an UPDATE; raises only the errors for which RFC 7606 requires a session reset."""
    withdrawn_size = int.from_bytes(body[:2], "big")
    if 4 + withdrawn_size > len(body):
        raise ProtocolError(ErrorCode.UPDATE, 1)
    size = int.from_bytes(body[2 + withdrawn_size : 4 + withdrawn_size], "big")
    if 4 + withdrawn_size + size > len(body):
        raise ProtocolError(ErrorCode.UPDATE, 1)
    at = 4 + withdrawn_size
    attributes, trailing_bytes = _decode_attributes(body[at : at + size])
    has_path_ids = IPV4 in negotiated.add_path_families
    withdrawn = decode_prefixes(body[2 : 2 + withdrawn_size], 4, has_path_ids)
    nlri = decode_prefixes(body[at + size :], 4, has_path_ids)
    return Update(withdrawn, attributes, nlri, trailing_bytes)


def _decode_attributes(data: bytes) -> tuple[tuple[Attribute, ...], bytes]:
    """Decode path attributes; returns them and the bytes of a truncated last one."""
    attributes: list[Attribute] = []
    at = 0
    while at < len(data):
        length_bytes = 2 if data[at] & 0x10 else 1
        end = at + 2 + length_bytes
        length = int.from_bytes(data[at + 2 : end], "big")
        if end > len(data) or end + length > len(data):
            return tuple(attributes), data[at:]
        attributes.append(Attribute(data[at], data[at + 1], data[end : end + length]))
        at = end + length
    return tuple(attributes), b""


def decode_prefixes(data: bytes, address_bytes: int, has_path_ids: bool) -> tuple[Nlri, ...]:
    """Decode prefixes, RFC 4271 section 4.3; bits after the prefix length are cleared."""
    prefixes, at, end, max_bits = [], 0, len(data), address_bytes * 8
    while at < end:
        path_id = None
        if has_path_ids:
            path_id = int.from_bytes(data[at : at + 4], "big")
            at += 4
        if at >= end:
            raise ProtocolError(ErrorCode.UPDATE, 10)
        prefix_length = data[at]
        size = (prefix_length + 7) // 8
        if prefix_length > max_bits or at + 1 + size > end:
            raise ProtocolError(ErrorCode.UPDATE, 10)
        address = data[at + 1 : at + 1 + size].ljust(address_bytes, b"\0")
        if unused_bits := -prefix_length % 8:
            address = (
                address[: size - 1]
                + bytes((address[size - 1] >> unused_bits << unused_bits,))
                + address[size:]
            )
        prefixes.append(Nlri(prefix_length, address, path_id))
        at += 1 + size
    return tuple(prefixes)
