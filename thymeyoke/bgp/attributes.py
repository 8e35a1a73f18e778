"""Path attributes: building those of our own updates, and interpreting received ones. Pure, no I/O.

RFC 4271 sections 4.3 and 5, communities (RFC 1997), large communities (RFC 8092), GRACEFUL_SHUTDOWN (RFC
8326), four-octet AS numbers (RFC 6793), multiprotocol extensions (RFC 4760), and the handling of invalid
attributes (RFC 7606).
"""

from __future__ import annotations

from collections.abc import Callable
from enum import IntEnum
from typing import NamedTuple

from thymeyoke.bgp.wire import (
    AS_TRANS,
    IPV4,
    Attribute,
    ErrorCode,
    Family,
    NegotiatedOptions,
    Nlri,
    ProtocolError,
    Update,
    decode_prefixes,
    encode_attribute,
    encode_prefix,
)

OPTIONAL, TRANSITIVE, PARTIAL = 0x80, 0x40, 0x20
GRACEFUL_SHUTDOWN = 0xFFFF0000  # RFC 8326 section 5
# Function of our large communities: the path is of one of our servers, whose identifier follows.
INSTANCE_COMMUNITY = 0x7459


class AttributeCode(IntEnum):
    """Type codes of path attributes."""

    ORIGIN = 1
    AS_PATH = 2
    NEXT_HOP = 3
    MED = 4
    LOCAL_PREF = 5
    ATOMIC_AGGREGATE = 6
    AGGREGATOR = 7
    COMMUNITIES = 8
    ORIGINATOR_ID = 9
    CLUSTER_LIST = 10
    MP_REACH = 14
    MP_UNREACH = 15
    EXTENDED_COMMUNITIES = 16
    AS4_PATH = 17
    AS4_AGGREGATOR = 18
    LARGE_COMMUNITIES = 32


class ErrorAction(IntEnum):
    """What to do with an update that has an invalid attribute, RFC 7606 section 2, in order of severity."""

    TAKEN = 0
    DISCARD = 1  # ignore the attribute
    WITHDRAW = 2  # treat the prefixes as withdrawn
    RESET = 3


class Path(NamedTuple):
    """The path attributes that apply to the advertised prefixes of an update."""

    origin: int = 0
    as_path: tuple[tuple[int, tuple[int, ...]], ...] = ()  # segments: type and AS numbers
    next_hop: bytes = b""
    med: int | None = None
    local_pref: int | None = None
    communities: tuple[int, ...] = ()
    large_communities: tuple[tuple[int, int, int], ...] = ()
    originator_id: bytes | None = None


class ReceivedUpdate(NamedTuple):
    """An interpreted update. `faults` has each invalid attribute with the action that was taken."""

    advertised: tuple[tuple[Family, Nlri], ...]
    withdrawn: tuple[tuple[Family, Nlri], ...]
    path: Path | None
    faults: tuple[tuple[ErrorAction, str], ...]
    end_of_rib: Family | None = None  # the End-of-RIB marker, RFC 4724 section 2


class AttributeRule(NamedTuple):
    """How to validate an attribute, and what to do if it is invalid (RFC 7606 section 7)."""

    flags: int
    is_valid: Callable[[bytes, int], bool]  # arguments: value, bytes of an AS number
    action: ErrorAction
    internal: bool = False  # discarded if an external peer sent it


def _has_size(*sizes: int) -> Callable[[bytes, int], bool]:
    """Return a check that a value has one of these sizes."""
    return lambda value, as_bytes: len(value) in sizes


def _has_rows_of(size: int) -> Callable[[bytes, int], bool]:
    """Return a check that a value consists of one or more rows of this size."""
    return lambda value, as_bytes: bool(value) and len(value) % size == 0


def _accept_any(value: bytes, as_bytes: int) -> bool:
    """Accept any value."""
    return True


def _is_valid_as_path(value: bytes, as_bytes: int) -> bool:
    """Return whether a value is a valid AS_PATH."""
    return decode_segments(value, as_bytes) is not None


OPTIONAL_TRANSITIVE = OPTIONAL | TRANSITIVE
ATTRIBUTE_RULES: dict[int, AttributeRule] = {
    AttributeCode.ORIGIN: AttributeRule(
        TRANSITIVE, lambda value, as_bytes: len(value) == 1 and value[0] <= 2, ErrorAction.WITHDRAW
    ),
    AttributeCode.AS_PATH: AttributeRule(TRANSITIVE, _is_valid_as_path, ErrorAction.WITHDRAW),
    AttributeCode.NEXT_HOP: AttributeRule(TRANSITIVE, _has_size(4), ErrorAction.WITHDRAW),
    AttributeCode.MED: AttributeRule(OPTIONAL, _has_size(4), ErrorAction.WITHDRAW),
    AttributeCode.LOCAL_PREF: AttributeRule(TRANSITIVE, _has_size(4), ErrorAction.WITHDRAW, internal=True),
    AttributeCode.ATOMIC_AGGREGATE: AttributeRule(TRANSITIVE, _has_size(0), ErrorAction.DISCARD),
    AttributeCode.AGGREGATOR: AttributeRule(
        OPTIONAL_TRANSITIVE, lambda value, as_bytes: len(value) == as_bytes + 4, ErrorAction.DISCARD
    ),
    AttributeCode.COMMUNITIES: AttributeRule(OPTIONAL_TRANSITIVE, _has_rows_of(4), ErrorAction.WITHDRAW),
    AttributeCode.ORIGINATOR_ID: AttributeRule(OPTIONAL, _has_size(4), ErrorAction.WITHDRAW, internal=True),
    AttributeCode.CLUSTER_LIST: AttributeRule(OPTIONAL, _has_rows_of(4), ErrorAction.WITHDRAW, internal=True),
    AttributeCode.MP_REACH: AttributeRule(OPTIONAL, _accept_any, ErrorAction.RESET),
    AttributeCode.MP_UNREACH: AttributeRule(OPTIONAL, _accept_any, ErrorAction.RESET),
    AttributeCode.EXTENDED_COMMUNITIES: AttributeRule(
        OPTIONAL_TRANSITIVE, _has_rows_of(8), ErrorAction.WITHDRAW
    ),
    AttributeCode.AS4_PATH: AttributeRule(
        OPTIONAL_TRANSITIVE,
        lambda value, as_bytes: decode_segments(value, 4) is not None,
        ErrorAction.DISCARD,
    ),
    AttributeCode.AS4_AGGREGATOR: AttributeRule(OPTIONAL_TRANSITIVE, _has_size(8), ErrorAction.DISCARD),
    AttributeCode.LARGE_COMMUNITIES: AttributeRule(
        OPTIONAL_TRANSITIVE, _has_rows_of(12), ErrorAction.WITHDRAW
    ),
}


def decode_segments(value: bytes, as_bytes: int) -> tuple[tuple[int, tuple[int, ...]], ...] | None:
    """Decode the segments of an AS_PATH; None if it is malformed (RFC 7606 section 7.2)."""
    found, at = [], 0
    while at < len(value):
        if at + 2 > len(value) or value[at] not in (1, 2, 3, 4) or not value[at + 1]:
            return None
        end = at + 2 + as_bytes * value[at + 1]
        if end > len(value):
            return None
        numbers = (
            int.from_bytes(value[step : step + as_bytes], "big") for step in range(at + 2, end, as_bytes)
        )
        found.append((value[at], tuple(numbers)))
        at = end
    return tuple(found)


# Sending.


class Route(NamedTuple):
    """The attributes with which this server advertises an address to one peer."""

    as_: int
    id: bytes
    internal: bool  # the peer belongs to the same AS
    next_hop: bytes
    less_preferred_by: tuple[str, ...] = ()  # ways to mark it as less preferred
    med: int = 0
    prepend: int = 0


def advertisement(
    route: Route, nlri: tuple[Nlri, ...], family: Family, negotiated: NegotiatedOptions
) -> Update:
    """Build an update that advertises prefixes, with the attributes that this kind of session requires.

    MP_REACH comes first, as RFC 7606 section 5.1 asks for.
    """
    times = 0 if route.internal else 1 + (route.prepend if "prepend" in route.less_preferred_by else 0)
    attributes = [_as_path(route.as_, times, 4 if negotiated.four_byte_as else 2)]
    if family == IPV4:
        attributes.append(Attribute(TRANSITIVE, AttributeCode.NEXT_HOP, route.next_hop))
    if "med" in route.less_preferred_by:
        attributes.append(Attribute(OPTIONAL, AttributeCode.MED, route.med.to_bytes(4, "big")))
    if route.internal:
        attributes.append(
            Attribute(
                TRANSITIVE,
                AttributeCode.LOCAL_PREF,
                (0 if route.less_preferred_by else 100).to_bytes(4, "big"),
            )
        )
    if "graceful_shutdown" in route.less_preferred_by:
        attributes.append(
            Attribute(OPTIONAL_TRANSITIVE, AttributeCode.COMMUNITIES, GRACEFUL_SHUTDOWN.to_bytes(4, "big"))
        )
    if not negotiated.four_byte_as and times and route.as_ > 0xFFFF:  # RFC 6793 section 4.2.2
        attributes.append(
            _as_path(route.as_, times, 4)._replace(flags=OPTIONAL_TRANSITIVE, code=AttributeCode.AS4_PATH)
        )
    mark = route.as_.to_bytes(4, "big") + INSTANCE_COMMUNITY.to_bytes(4, "big") + route.id
    attributes.append(Attribute(OPTIONAL_TRANSITIVE, AttributeCode.LARGE_COMMUNITIES, mark))
    attributes.insert(0, Attribute(TRANSITIVE, AttributeCode.ORIGIN, b"\0"))
    if family == IPV4:
        return Update(attributes=tuple(attributes), nlri=nlri)
    head = family.afi.to_bytes(2, "big") + bytes((family.safi, len(route.next_hop))) + route.next_hop + b"\0"
    reach = Attribute(OPTIONAL, AttributeCode.MP_REACH, head + b"".join(map(encode_prefix, nlri)))
    return Update(attributes=(reach, *attributes))


def withdrawal(nlri: tuple[Nlri, ...], family: Family) -> Update:
    """Build an update that withdraws prefixes."""
    if family == IPV4:
        return Update(withdrawn=nlri)
    head = family.afi.to_bytes(2, "big") + bytes((family.safi,))
    return Update(
        attributes=(Attribute(OPTIONAL, AttributeCode.MP_UNREACH, head + b"".join(map(encode_prefix, nlri))),)
    )


def _as_path(as_: int, times: int, as_bytes: int) -> Attribute:
    """Build an AS_PATH that contains one AS number `times` times."""
    number = (as_ if as_bytes == 4 or as_ <= 0xFFFF else AS_TRANS).to_bytes(as_bytes, "big")
    return Attribute(TRANSITIVE, AttributeCode.AS_PATH, bytes((2, times)) + number * times if times else b"")


# Receiving.


def interpret_update(update: Update, negotiated: NegotiatedOptions, internal: bool) -> ReceivedUpdate:
    """Validate and decode the attributes of an update according to RFC 7606.

    Raises `ProtocolError` if the session must be reset.
    """
    as_bytes = 4 if negotiated.four_byte_as else 2
    faults: list[tuple[ErrorAction, str]] = []
    values: dict[int, bytes] = {}
    for attribute in update.attributes:
        _check_attribute(attribute, values, faults, as_bytes, internal)
    if update.trailing_bytes:
        faults.append((ErrorAction.WITHDRAW, "attributes end in the middle of one"))
    advertised = [(IPV4, nlri) for nlri in update.nlri]
    withdrawn = [(IPV4, nlri) for nlri in update.withdrawn]
    next_hop = values.get(AttributeCode.NEXT_HOP, b"")
    if AttributeCode.MP_REACH in values:
        family, next_hop_bytes, nlris = _decode_mp_reach(values[AttributeCode.MP_REACH], negotiated)
        next_hop = next_hop if update.nlri else next_hop_bytes
        advertised += [(family, nlri) for nlri in nlris]
    end_of_rib = (
        IPV4 if not (update.withdrawn or update.attributes or update.nlri or update.trailing_bytes) else None
    )
    if AttributeCode.MP_UNREACH in values:
        family, nlris = _decode_mp_unreach(values[AttributeCode.MP_UNREACH], negotiated)
        withdrawn += [(family, nlri) for nlri in nlris]
        if not nlris and len(update.attributes) == 1 and not update.nlri and not update.withdrawn:
            end_of_rib = family
    if advertised:
        for code in (
            AttributeCode.ORIGIN,
            AttributeCode.AS_PATH,
            *((AttributeCode.NEXT_HOP,) if update.nlri else ()),
        ):
            if code not in values and not any(attribute.code == code for attribute in update.attributes):
                faults.append((ErrorAction.WITHDRAW, f"{code.name} is missing"))
    worst = max((action for action, _ in faults), default=ErrorAction.TAKEN)
    if worst == ErrorAction.WITHDRAW:
        if not advertised and not withdrawn:  # RFC 7606 section 5.2: no prefix to withdraw
            raise ProtocolError(ErrorCode.UPDATE, 1)
        return ReceivedUpdate((), tuple(withdrawn + advertised), None, tuple(faults))
    path = _build_path(values, next_hop, as_bytes) if advertised else None
    return ReceivedUpdate(tuple(advertised), tuple(withdrawn), path, tuple(faults), end_of_rib)


def _check_attribute(
    attribute: Attribute,
    values: dict[int, bytes],
    faults: list[tuple[ErrorAction, str]],
    as_bytes: int,
    internal: bool,
) -> None:
    """Validate one attribute: add it to `values`, or what is wrong with it to `faults`."""
    rule = ATTRIBUTE_RULES.get(attribute.code)
    if rule is None:
        if not attribute.flags & OPTIONAL:  # RFC 4271 section 6.3
            raise ProtocolError(ErrorCode.UPDATE, 2, encode_attribute(attribute))
        return  # unknown and optional: ignored, as we forward no paths
    name = AttributeCode(attribute.code).name
    if attribute.code in values or any(reason.startswith(name + " ") for _, reason in faults):
        if attribute.code in (AttributeCode.MP_REACH, AttributeCode.MP_UNREACH):  # RFC 7606 section 3 (g)
            raise ProtocolError(ErrorCode.UPDATE, 1)
        faults.append((ErrorAction.DISCARD, f"{name} stands again"))
    elif rule.internal and not internal:
        faults.append((ErrorAction.DISCARD, f"{name} from an external peer"))
    elif (attribute.flags ^ rule.flags) & OPTIONAL_TRANSITIVE:  # RFC 7606 section 3 (c)
        if rule.action == ErrorAction.RESET:
            raise ProtocolError(ErrorCode.UPDATE, 4, encode_attribute(attribute))
        faults.append((rule.action, f"{name} has wrong flags"))
    elif not rule.is_valid(attribute.value, as_bytes):
        faults.append((rule.action, f"{name} is malformed"))
    else:
        values[attribute.code] = attribute.value


def _decode_mp_reach(value: bytes, negotiated: NegotiatedOptions) -> tuple[Family, bytes, tuple[Nlri, ...]]:
    """Decode MP_REACH: family, next hop and prefixes."""
    if len(value) < 5 or 5 + value[3] > len(value):
        raise ProtocolError(ErrorCode.UPDATE, 9, value)
    family, end = Family(int.from_bytes(value[:2], "big"), value[2]), 4 + value[3]
    if family not in negotiated.families:
        return family, b"", ()  # RFC 4760 section 7: ignore families that were not negotiated
    if value[3] not in ((4,) if family == IPV4 else (16, 32)):  # RFC 7606 section 7.11
        raise ProtocolError(ErrorCode.UPDATE, 9, value)
    return (
        family,
        value[4:end],
        decode_prefixes(value[end + 1 :], family.address_bytes, family in negotiated.add_path_families),
    )


def _decode_mp_unreach(value: bytes, negotiated: NegotiatedOptions) -> tuple[Family, tuple[Nlri, ...]]:
    """Decode MP_UNREACH: family and withdrawn prefixes."""
    if len(value) < 3:
        raise ProtocolError(ErrorCode.UPDATE, 9, value)
    family = Family(int.from_bytes(value[:2], "big"), value[2])
    if family not in negotiated.families:
        return family, ()
    return family, decode_prefixes(value[3:], family.address_bytes, family in negotiated.add_path_families)


def _build_path(values: dict[int, bytes], next_hop: bytes, as_bytes: int) -> Path:
    """Build the path from valid attribute values."""

    def number(code: int) -> int | None:
        return int.from_bytes(values[code], "big") if code in values else None

    as_path = decode_segments(values.get(AttributeCode.AS_PATH, b""), as_bytes) or ()
    if as_bytes == 2 and AttributeCode.AS4_PATH in values:
        as_path = _merge_as4_path(as_path, decode_segments(values[AttributeCode.AS4_PATH], 4) or ())
    communities = _decode_numbers(values.get(AttributeCode.COMMUNITIES, b""))
    numbers = _decode_numbers(values.get(AttributeCode.LARGE_COMMUNITIES, b""))
    large_communities = tuple(zip(numbers[::3], numbers[1::3], numbers[2::3], strict=True))
    med, local_pref = number(AttributeCode.MED), number(AttributeCode.LOCAL_PREF)
    return Path(
        values[AttributeCode.ORIGIN][0],
        as_path,
        next_hop,
        med,
        local_pref,
        communities,
        large_communities,
        values.get(AttributeCode.ORIGINATOR_ID),
    )


def _decode_numbers(value: bytes) -> tuple[int, ...]:
    """Decode a sequence of four-octet numbers."""
    return tuple(int.from_bytes(value[at : at + 4], "big") for at in range(0, len(value), 4))


Segments = tuple[tuple[int, tuple[int, ...]], ...]


def _merge_as4_path(two_byte_path: Segments, four_byte_path: Segments) -> Segments:
    """Combine AS_PATH and AS4_PATH as in RFC 6793 section 4.2.3.

    The result has the leading AS numbers of the two-octet path that are missing in the other one, followed by
    that.
    """

    def count(path: Segments) -> int:
        return sum(1 if kind == 1 else len(numbers) for kind, numbers in path if kind in (1, 2))

    missing = count(two_byte_path) - count(four_byte_path)
    if missing < 0:
        return two_byte_path
    leading: list[tuple[int, tuple[int, ...]]] = []
    for kind, numbers in two_byte_path:
        if missing <= 0:
            break
        taken = numbers if kind != 2 else numbers[:missing]
        missing -= 0 if kind in (3, 4) else 1 if kind == 1 else len(taken)
        leading.append((kind, taken))
    return (*leading, *four_byte_path)
