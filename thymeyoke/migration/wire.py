"""What a node says of moves in its own snapshot, `parts["moves"]`: bytes and typed value.

Pure. MessagePack, at most `PART_MOST` bytes. Newer versions are read as far as they are known: unknown
fields are passed over. What can't be read is a `Bad`, never an exception. What has no space is left out in
the order that docs/migration.md tells, and told in a later snapshot.
"""

from __future__ import annotations

from hashlib import blake2b
from math import ceil, isfinite
from typing import Annotated, NamedTuple

import msgspec
from msgspec import Meta, Struct

from thymeyoke.membership.view import MAX_NAME_LENGTH

VERSION = 1
PART_MOST = 2048  # bytes
CAN_MOST = 1024  # bytes of the tenants that a node can hold: 1,000 of them are taken for another one in 45
CAN_BITS = 8  # a tenant, while there is space
HASHES = 4
PAIR = 4  # bytes of a barred pair
DROPPED = 8  # asks that were given up, the last ones

Name = Annotated[str, Meta(max_length=MAX_NAME_LENGTH)]
Number = Annotated[int, Meta(ge=0, lt=1 << 53)]
Seconds = Annotated[float, Meta(ge=0, le=86400 * 4)]


class Ask(Struct, frozen=True, array_like=True):
    """A move that its source wants consent for, or that has begun."""

    slot: Annotated[int, Meta(ge=0, lt=64)]
    number: Number  # of this ask, by its source in this life
    tenant: Name
    target: Name
    home: Name  # whose operators' file gave the tenant first
    stamp: Number  # that the target will hold it by
    begun: bool = False
    gain: Annotated[float, Meta(ge=0, lt=1e12)] = 0.0  # connections, for the order of votes
    settling: bool = False


class Vote(Struct, frozen=True, array_like=True):
    """One slot, given to one ask."""

    slot: Annotated[int, Meta(ge=0, lt=64)]
    source: Name
    incarnation: Number
    number: Number


class Hold(Struct, frozen=True, array_like=True):
    """A tenant that is held by a move. The higher stamp of one home keeps it."""

    tenant: Name
    home: Name
    stamp: Number


class Part(Struct, frozen=True, omit_defaults=True):
    """`can`: see `Can`. `barred`: pairs of tenant and node that no move may bring together, by `pair`."""

    version: Annotated[int, Meta(ge=1, lt=1 << 16)] = msgspec.field(name="v", default=VERSION)
    moves: bool = msgspec.field(name="m", default=False)  # the operators let it move
    at_once: Annotated[int, Meta(ge=1, le=1 << 16)] = msgspec.field(name="a", default=1)
    longest: Seconds = msgspec.field(name="l", default=0.0)  # that a move of its own takes
    known: Annotated[int, Meta(ge=0, le=1 << 16)] = msgspec.field(name="k", default=0)  # nodes, the dead too
    resting: Seconds = msgspec.field(name="r", default=0.0)  # it takes part in no move for so long
    can: Annotated[bytes, Meta(max_length=CAN_MOST)] = msgspec.field(name="c", default=b"")
    asks: tuple[Ask, ...] = msgspec.field(name="s", default=())
    dropped: tuple[Number, ...] = msgspec.field(name="d", default=())
    votes: tuple[Vote, ...] = msgspec.field(name="t", default=())
    by: tuple[Hold, ...] = msgspec.field(name="b", default=())
    barred: Annotated[bytes, Meta(max_length=PART_MOST)] = msgspec.field(name="n", default=b"")


class Bad(NamedTuple):
    """What can't be read, and why."""

    why: str


NONE = Part()
_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Part)


def read(data: bytes) -> Part | Bad:
    if len(data) > PART_MOST:
        return Bad(f"{len(data)} bytes, over {PART_MOST}")
    try:
        part = _decoder.decode(data)
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as error:
        return Bad(str(error)[:100])
    if len(part.barred) % PAIR:
        return Bad("half a barred pair")
    if not all(map(isfinite, (part.longest, part.resting, *(ask.gain for ask in part.asks)))):
        return Bad("a figure is no number")
    return part


def size(part: Part) -> int:
    """Bytes."""
    return len(_encoder.encode(part))


def pack(part: Part) -> bytes:
    """At most PART_MOST bytes. Asks and votes always have their space: whoever gives one has looked (`fits`).
    Left out first: barred pairs, the last ones, as many as need be; then holds."""
    data = _encoder.encode(part)
    if (over := len(data) - PART_MOST) > 0 and part.barred:
        kept = max(0, len(part.barred) - over) // PAIR * PAIR
        part = msgspec.structs.replace(part, barred=part.barred[:kept])
        data = _encoder.encode(part)
    while len(data) > PART_MOST and part.by:
        part = msgspec.structs.replace(part, by=part.by[: len(part.by) // 2])
        data = _encoder.encode(part)
    return data


def fits(part: Part) -> bool:
    """Whether asks and votes have their space, whatever else there is."""
    return size(msgspec.structs.replace(part, by=(), barred=b"")) <= PART_MOST


def pair(tenant: str, node: str) -> bytes:
    """A barred pair, in PAIR bytes. Two pairs that look alike bar each other: one in four billion."""
    return blake2b(f"{tenant}\0{node}".encode("utf-8", "surrogatepass"), digest_size=PAIR).digest()


def pairs(barred: bytes) -> frozenset[bytes]:
    return frozenset(barred[at : at + PAIR] for at in range(0, len(barred), PAIR))


class Can:
    """The tenants that a node can hold, as a Bloom filter: no tenant is missed; past CAN_MOST * 8 / CAN_BITS
    tenants more and more others pass, and the target itself, who knows, gives no vote."""

    def __init__(self, bits: bytes = b"") -> None:
        self.bits = bits
        self.found: dict[str, bool] = {}  # by tenant that was asked for; lives as long as one plan

    @classmethod
    def of(cls, tenants: frozenset[str]) -> Can:
        many = min(CAN_MOST, ceil(len(tenants) * CAN_BITS / 8))
        bits = bytearray(many)
        for tenant in tenants:
            for place in _places(tenant, many * 8):
                bits[place >> 3] |= 1 << (place & 7)
        return cls(bytes(bits))

    def __contains__(self, tenant: str) -> bool:
        found = self.found.get(tenant)
        if found is None:
            found = self.found[tenant] = bool(self.bits) and all(
                self.bits[place >> 3] & 1 << (place & 7) for place in _places(tenant, len(self.bits) * 8)
            )
        return found


def _places(tenant: str, many: int) -> list[int]:
    digest = blake2b(tenant.encode("utf-8", "surrogatepass"), digest_size=4 * HASHES).digest()
    return [int.from_bytes(digest[at : at + 4], "big") % many for at in range(0, 4 * HASHES, 4)]
