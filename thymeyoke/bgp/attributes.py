"""What path attributes mean: those that this instance sends, and a verdict on those that it is sent.

RFC 4271 sections 4.3 and 5, communities (1997), large communities (8092), GRACEFUL_SHUTDOWN (8326), 4-octet
AS numbers (6793), multiprotocol (4760), and RFC 7606 on what becomes of an UPDATE with a bad attribute.
Pure.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import IntEnum
from typing import NamedTuple

from thymeyoke.bgp.wire import (
    AS_TRANS,
    IPV4,
    Agreed,
    Attribute,
    Code,
    Family,
    Nlri,
    Update,
    Wrong,
    attribute,
    prefix,
    prefixes,
)

OPTIONAL, TRANSITIVE, PARTIAL = 0x80, 0x40, 0x20
GRACEFUL_SHUTDOWN = 0xFFFF0000  # RFC 8326 section 5
MARK = 0x7459  # our large communities' function: an instance's announcement, with its identifier behind it


class At(IntEnum):
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


class Way(IntEnum):
    """What becomes of an UPDATE, RFC 7606 section 2, from least to most."""

    TAKEN = 0
    DISCARD = 1  # the attribute goes, the rest holds
    WITHDRAW = 2  # its prefixes count as withdrawn
    RESET = 3


class Path(NamedTuple):
    """What is told of prefixes that can be reached."""

    origin: int = 0
    as_path: tuple[tuple[int, tuple[int, ...]], ...] = ()  # segments: type, AS numbers
    next_hop: bytes = b""
    med: int | None = None
    local_pref: int | None = None
    communities: tuple[int, ...] = ()
    large: tuple[tuple[int, int, int], ...] = ()
    originator: bytes | None = None


class Heard(NamedTuple):
    """An UPDATE understood. `faults` names what was wrong, with what became of it."""

    reached: tuple[tuple[Family, Nlri], ...]
    withdrawn: tuple[tuple[Family, Nlri], ...]
    path: Path | None
    faults: tuple[tuple[Way, str], ...]
    end_of: Family | None = None  # the End-of-RIB marker, RFC 4724 section 2


class Rule(NamedTuple):
    """A row of RFC 7606 section 7: an attribute's flags, when its value is sound, what becomes of it else."""

    flags: int
    sound: Callable[[bytes, int], bool]  # the value; octets of an AS number
    way: Way
    internal: bool = False  # from an external peer it is discarded unread


def _sized(*sizes: int) -> Callable[[bytes, int], bool]:
    return lambda value, wide: len(value) in sizes


def _rows(size: int) -> Callable[[bytes, int], bool]:
    return lambda value, wide: bool(value) and len(value) % size == 0


def _any(value: bytes, wide: int) -> bool:
    return True


def _as_path_sound(value: bytes, wide: int) -> bool:
    return segments(value, wide) is not None


OT = OPTIONAL | TRANSITIVE
RULES: dict[int, Rule] = {
    At.ORIGIN: Rule(TRANSITIVE, lambda value, wide: len(value) == 1 and value[0] <= 2, Way.WITHDRAW),
    At.AS_PATH: Rule(TRANSITIVE, _as_path_sound, Way.WITHDRAW),
    At.NEXT_HOP: Rule(TRANSITIVE, _sized(4), Way.WITHDRAW),
    At.MED: Rule(OPTIONAL, _sized(4), Way.WITHDRAW),
    At.LOCAL_PREF: Rule(TRANSITIVE, _sized(4), Way.WITHDRAW, internal=True),
    At.ATOMIC_AGGREGATE: Rule(TRANSITIVE, _sized(0), Way.DISCARD),
    At.AGGREGATOR: Rule(OT, lambda value, wide: len(value) == wide + 4, Way.DISCARD),
    At.COMMUNITIES: Rule(OT, _rows(4), Way.WITHDRAW),
    At.ORIGINATOR_ID: Rule(OPTIONAL, _sized(4), Way.WITHDRAW, internal=True),
    At.CLUSTER_LIST: Rule(OPTIONAL, _rows(4), Way.WITHDRAW, internal=True),
    At.MP_REACH: Rule(OPTIONAL, _any, Way.RESET),
    At.MP_UNREACH: Rule(OPTIONAL, _any, Way.RESET),
    At.EXTENDED_COMMUNITIES: Rule(OT, _rows(8), Way.WITHDRAW),
    At.AS4_PATH: Rule(OT, lambda value, wide: segments(value, 4) is not None, Way.DISCARD),
    At.AS4_AGGREGATOR: Rule(OT, _sized(8), Way.DISCARD),
    At.LARGE_COMMUNITIES: Rule(OT, _rows(12), Way.WITHDRAW),
}


def segments(value: bytes, wide: int) -> tuple[tuple[int, tuple[int, ...]], ...] | None:
    """An AS_PATH's segments; None where it is malformed: an unknown type, none in it, overrun (RFC 7606,
    7.2)."""
    found, at = [], 0
    while at < len(value):
        if at + 2 > len(value) or value[at] not in (1, 2, 3, 4) or not value[at + 1]:
            return None
        end = at + 2 + wide * value[at + 1]
        if end > len(value):
            return None
        numbers = (int.from_bytes(value[step : step + wide], "big") for step in range(at + 2, end, wide))
        found.append((value[at], tuple(numbers)))
        at = end
    return tuple(found)


# What is sent.


class Route(NamedTuple):
    """What this instance says of its addresses to one peer."""

    as_: int
    id: bytes
    internal: bool  # the peer is of the same AS
    next_hop: bytes
    less: tuple[str, ...] = ()  # by what it is less preferred; empty where it is not
    med: int = 0
    prepend: int = 0


def announcement(route: Route, nlri: tuple[Nlri, ...], family: Family, agreed: Agreed) -> Update:
    """An UPDATE with all that the peer's kind of session asks for, MP_REACH first (RFC 7606 section 5.1)."""
    times = 0 if route.internal else 1 + (route.prepend if "prepend" in route.less else 0)
    told = [_as_path(route.as_, times, 4 if agreed.as4 else 2)]
    if family == IPV4:
        told.append(Attribute(TRANSITIVE, At.NEXT_HOP, route.next_hop))
    if "med" in route.less:
        told.append(Attribute(OPTIONAL, At.MED, route.med.to_bytes(4, "big")))
    if route.internal:
        told.append(Attribute(TRANSITIVE, At.LOCAL_PREF, (0 if route.less else 100).to_bytes(4, "big")))
    if "graceful_shutdown" in route.less:
        told.append(Attribute(OT, At.COMMUNITIES, GRACEFUL_SHUTDOWN.to_bytes(4, "big")))
    if not agreed.as4 and times and route.as_ > 0xFFFF:  # RFC 6793 section 4.2.2
        told.append(_as_path(route.as_, times, 4)._replace(flags=OT, code=At.AS4_PATH))
    mark = route.as_.to_bytes(4, "big") + MARK.to_bytes(4, "big") + route.id
    told.append(Attribute(OT, At.LARGE_COMMUNITIES, mark))
    told.insert(0, Attribute(TRANSITIVE, At.ORIGIN, b"\0"))
    if family == IPV4:
        return Update(attributes=tuple(told), nlri=nlri)
    head = family.afi.to_bytes(2, "big") + bytes((family.safi, len(route.next_hop))) + route.next_hop + b"\0"
    reach = Attribute(OPTIONAL, At.MP_REACH, head + b"".join(map(prefix, nlri)))
    return Update(attributes=(reach, *told))


def withdrawal(nlri: tuple[Nlri, ...], family: Family) -> Update:
    if family == IPV4:
        return Update(withdrawn=nlri)
    head = family.afi.to_bytes(2, "big") + bytes((family.safi,))
    return Update(attributes=(Attribute(OPTIONAL, At.MP_UNREACH, head + b"".join(map(prefix, nlri))),))


def _as_path(as_: int, times: int, wide: int) -> Attribute:
    number = (as_ if wide == 4 or as_ <= 0xFFFF else AS_TRANS).to_bytes(wide, "big")
    return Attribute(TRANSITIVE, At.AS_PATH, bytes((2, times)) + number * times if times else b"")


# What is heard.


def understand(said: Update, agreed: Agreed, internal: bool) -> Heard:
    """RFC 7606 on one UPDATE. `Wrong` where the session must end, else what holds of it."""
    wide = 4 if agreed.as4 else 2
    faults: list[tuple[Way, str]] = []
    kept: dict[int, bytes] = {}
    for one in said.attributes:
        _weigh(one, kept, faults, wide, internal)
    if said.rest:
        faults.append((Way.WITHDRAW, "attributes end in the middle of one"))
    reached = [(IPV4, nlri) for nlri in said.nlri]
    withdrawn = [(IPV4, nlri) for nlri in said.withdrawn]
    next_hop = kept.get(At.NEXT_HOP, b"")
    if At.MP_REACH in kept:
        family, hop, many = _mp_reach(kept[At.MP_REACH], agreed)
        next_hop = next_hop if said.nlri else hop
        reached += [(family, nlri) for nlri in many]
    end_of = IPV4 if not (said.withdrawn or said.attributes or said.nlri or said.rest) else None
    if At.MP_UNREACH in kept:
        family, many = _mp_unreach(kept[At.MP_UNREACH], agreed)
        withdrawn += [(family, nlri) for nlri in many]
        if not many and len(said.attributes) == 1 and not said.nlri and not said.withdrawn:
            end_of = family
    if reached:
        for code in (At.ORIGIN, At.AS_PATH, *((At.NEXT_HOP,) if said.nlri else ())):
            if code not in kept and not any(one.code == code for one in said.attributes):
                faults.append((Way.WITHDRAW, f"{code.name} is missing"))
    worst = max((way for way, _ in faults), default=Way.TAKEN)
    if worst == Way.WITHDRAW:
        if not reached and not withdrawn:  # RFC 7606 section 5.2: what it is about can't be told
            raise Wrong(Code.UPDATE, 1)
        return Heard((), tuple(withdrawn + reached), None, tuple(faults))
    path = _path(kept, next_hop, wide) if reached else None
    return Heard(tuple(reached), tuple(withdrawn), path, tuple(faults), end_of)


def _weigh(
    one: Attribute, kept: dict[int, bytes], faults: list[tuple[Way, str]], wide: int, internal: bool
) -> None:
    rule = RULES.get(one.code)
    if rule is None:
        if not one.flags & OPTIONAL:  # RFC 4271 section 6.3
            raise Wrong(Code.UPDATE, 2, attribute(one))
        return  # unknown and optional: passed over, as nothing is passed on
    name = At(one.code).name
    if one.code in kept or any(text.startswith(name + " ") for _, text in faults):
        if one.code in (At.MP_REACH, At.MP_UNREACH):  # RFC 7606 section 3 (g)
            raise Wrong(Code.UPDATE, 1)
        faults.append((Way.DISCARD, f"{name} stands again"))
    elif rule.internal and not internal:
        faults.append((Way.DISCARD, f"{name} from an external peer"))
    elif (one.flags ^ rule.flags) & OT:  # RFC 7606 section 3 (c)
        if rule.way == Way.RESET:
            raise Wrong(Code.UPDATE, 4, attribute(one))
        faults.append((rule.way, f"{name} has wrong flags"))
    elif not rule.sound(one.value, wide):
        faults.append((rule.way, f"{name} is malformed"))
    else:
        kept[one.code] = one.value


def _mp_reach(value: bytes, agreed: Agreed) -> tuple[Family, bytes, tuple[Nlri, ...]]:
    if len(value) < 5 or 5 + value[3] > len(value):
        raise Wrong(Code.UPDATE, 9, value)
    family, end = Family(int.from_bytes(value[:2], "big"), value[2]), 4 + value[3]
    if family not in agreed.families:
        return family, b"", ()  # RFC 4760 section 7: what was not agreed on is passed over
    if value[3] not in ((4,) if family == IPV4 else (16, 32)):  # RFC 7606 section 7.11
        raise Wrong(Code.UPDATE, 9, value)
    return family, value[4:end], prefixes(value[end + 1 :], family.octets, family in agreed.paths)


def _mp_unreach(value: bytes, agreed: Agreed) -> tuple[Family, tuple[Nlri, ...]]:
    if len(value) < 3:
        raise Wrong(Code.UPDATE, 9, value)
    family = Family(int.from_bytes(value[:2], "big"), value[2])
    if family not in agreed.families:
        return family, ()
    return family, prefixes(value[3:], family.octets, family in agreed.paths)


def _path(kept: dict[int, bytes], next_hop: bytes, wide: int) -> Path:
    def number(code: int) -> int | None:
        return int.from_bytes(kept[code], "big") if code in kept else None

    as_path = segments(kept.get(At.AS_PATH, b""), wide) or ()
    if wide == 2 and At.AS4_PATH in kept:
        as_path = _merged(as_path, segments(kept[At.AS4_PATH], 4) or ())
    fours = _numbers(kept.get(At.COMMUNITIES, b""))
    larges = _numbers(kept.get(At.LARGE_COMMUNITIES, b""))
    large = tuple(zip(larges[::3], larges[1::3], larges[2::3], strict=True))
    med, local_pref = number(At.MED), number(At.LOCAL_PREF)
    return Path(
        kept[At.ORIGIN][0], as_path, next_hop, med, local_pref, fours, large, kept.get(At.ORIGINATOR_ID)
    )


def _numbers(value: bytes) -> tuple[int, ...]:
    return tuple(int.from_bytes(value[at : at + 4], "big") for at in range(0, len(value), 4))


Segments = tuple[tuple[int, tuple[int, ...]], ...]


def _merged(short: Segments, long: Segments) -> Segments:
    """RFC 6793 section 4.2.3: the leading numbers of the short path that the long one lacks, then that."""

    def count(path: Segments) -> int:
        return sum(1 if kind == 1 else len(numbers) for kind, numbers in path if kind in (1, 2))

    spare = count(short) - count(long)
    if spare < 0:
        return short
    lead: list[tuple[int, tuple[int, ...]]] = []
    for kind, numbers in short:
        if spare <= 0:
            break
        taken = numbers if kind != 2 else numbers[:spare]
        spare -= 0 if kind in (3, 4) else 1 if kind == 1 else len(taken)
        lead.append((kind, taken))
    return (*lead, *long)
