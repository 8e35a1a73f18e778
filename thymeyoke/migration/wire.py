"""The codec of a node's announcement about migrations, `parts["moves"]` in its snapshot.

No I/O. MessagePack, at most `MAX_PART_BYTES`. Unknown fields of newer versions are ignored. Data that cannot
be decoded is returned as `InvalidPart`, never raised. Entries without space are left out in the order given
in docs/migration.md, and sent in a later snapshot.
"""

from __future__ import annotations

from hashlib import blake2b
from math import ceil, isfinite
from typing import Annotated, NamedTuple

import msgspec
from msgspec import Meta, Struct

from thymeyoke.membership.view import MAX_NAME_LENGTH

VERSION = 1
MAX_PART_BYTES = 2048  # bytes
MAX_FILTER_BYTES = 1024  # with 1,000 tenants 1 in 45 others is a false positive
FILTER_BITS_PER_TENANT = 8  # while there is space
HASH_COUNT = 4
PAIR_BYTES = 4
MAX_DROPPED_NUMBERS = 8  # the latest requests that were dropped

Name = Annotated[str, Meta(max_length=MAX_NAME_LENGTH)]
Number = Annotated[int, Meta(ge=0, lt=1 << 53)]
Seconds = Annotated[float, Meta(ge=0, le=86400 * 4)]


class MoveRequest(Struct, frozen=True, array_like=True):
    """A migration for which its source requests votes, or that has begun."""

    slot: Annotated[int, Meta(ge=0, lt=64)]
    number: Number  # of this request, unique in the source's incarnation
    tenant: Name
    target: Name
    home: Name  # the node that holds the tenant by configuration
    stamp: Number  # with which the target will hold it
    begun: bool = False
    gain: Annotated[float, Meta(ge=0, lt=1e12)] = 0.0  # in connections; votes are granted in this order
    settling: bool = False


class Vote(Struct, frozen=True, array_like=True):
    """A slot granted to one request."""

    slot: Annotated[int, Meta(ge=0, lt=64)]
    source: Name
    incarnation: Number
    number: Number


class HeldTenant(Struct, frozen=True, array_like=True):
    """A tenant held through a migration; among holders with the same home the higher stamp wins."""

    tenant: Name
    home: Name
    stamp: Number


class MigrationPart(Struct, frozen=True, omit_defaults=True):
    """A node's announcement.

    `eligible` is a `TenantFilter`; `barred_pairs` are hashes of tenants and nodes that no move may bring
    together, see `pair_hash`.
    """

    version: Annotated[int, Meta(ge=1, lt=1 << 16)] = msgspec.field(name="v", default=VERSION)
    moves: bool = msgspec.field(name="m", default=False)  # whether the operators permit migrations
    at_once: Annotated[int, Meta(ge=1, le=1 << 16)] = msgspec.field(name="a", default=1)
    max_duration: Seconds = msgspec.field(name="l", default=0.0)  # longest possible migration of this node
    # Including dead ones.
    known_node_count: Annotated[int, Meta(ge=0, le=1 << 16)] = msgspec.field(name="k", default=0)
    resting: Seconds = msgspec.field(name="r", default=0.0)  # remaining seconds of its cool-down
    eligible: Annotated[bytes, Meta(max_length=MAX_FILTER_BYTES)] = msgspec.field(name="c", default=b"")
    requests: tuple[MoveRequest, ...] = msgspec.field(name="s", default=())
    dropped: tuple[Number, ...] = msgspec.field(name="d", default=())
    votes: tuple[Vote, ...] = msgspec.field(name="t", default=())
    held_tenants: tuple[HeldTenant, ...] = msgspec.field(name="b", default=())
    barred_pairs: Annotated[bytes, Meta(max_length=MAX_PART_BYTES)] = msgspec.field(name="n", default=b"")


class InvalidPart(NamedTuple):
    """Data that could not be decoded, and the reason."""

    reason: str


NONE = MigrationPart()
_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(MigrationPart)


def decode(data: bytes) -> MigrationPart | InvalidPart:
    """Decode an announcement."""
    if len(data) > MAX_PART_BYTES:
        return InvalidPart(f"{len(data)} bytes, over {MAX_PART_BYTES}")
    try:
        part = _decoder.decode(data)
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as error:
        return InvalidPart(str(error)[:100])
    if len(part.barred_pairs) % PAIR_BYTES:
        return InvalidPart(f"barred pairs are not a multiple of {PAIR_BYTES} bytes")
    if not all(map(isfinite, (part.max_duration, part.resting, *(ask.gain for ask in part.requests)))):
        return InvalidPart("a number is not finite")
    return part


def encoded_size(part: MigrationPart) -> int:
    """Size in bytes."""
    return len(_encoder.encode(part))


def encode(part: MigrationPart) -> bytes:
    """Encode an announcement in at most MAX_PART_BYTES.

    Requests and votes always fit, as they are checked with `fits` beforehand. Barred pairs are left out
    first, as many as necessary from the end, then held tenants.
    """
    data = _encoder.encode(part)
    if (over := len(data) - MAX_PART_BYTES) > 0 and part.barred_pairs:
        kept_bytes = max(0, len(part.barred_pairs) - over) // PAIR_BYTES * PAIR_BYTES
        part = msgspec.structs.replace(part, barred_pairs=part.barred_pairs[:kept_bytes])
        data = _encoder.encode(part)
    while len(data) > MAX_PART_BYTES and part.held_tenants:
        part = msgspec.structs.replace(part, held_tenants=part.held_tenants[: len(part.held_tenants) // 2])
        data = _encoder.encode(part)
    return data


def fits(part: MigrationPart) -> bool:
    """Whether requests and votes fit, whatever else the announcement contains."""
    return encoded_size(msgspec.structs.replace(part, held_tenants=(), barred_pairs=b"")) <= MAX_PART_BYTES


def pair_hash(tenant: str, node: str) -> bytes:
    """The hash of a barred pair, PAIR_BYTES long; two pairs collide with one chance in four billion."""
    return blake2b(f"{tenant}\0{node}".encode("utf-8", "surrogatepass"), digest_size=PAIR_BYTES).digest()


def pair_hashes(barred_pairs: bytes) -> frozenset[bytes]:
    """Split concatenated hashes of barred pairs."""
    return frozenset(barred_pairs[at : at + PAIR_BYTES] for at in range(0, len(barred_pairs), PAIR_BYTES))


class TenantFilter:
    """The tenants that a node can hold, as a Bloom filter.

    It has no false negatives. Beyond MAX_FILTER_BYTES * 8 / FILTER_BITS_PER_TENANT tenants there are more and
    more false positives; then the target, which knows its tenants, grants no vote.
    """

    def __init__(self, bits: bytes = b"") -> None:
        self.bits = bits
        self.found: dict[str, bool] = {}  # cache by tenant; lives as long as one plan

    @classmethod
    def build(cls, tenants: frozenset[str]) -> TenantFilter:
        """Build the filter of a set of tenants."""
        size = min(MAX_FILTER_BYTES, ceil(len(tenants) * FILTER_BITS_PER_TENANT / 8))
        bits = bytearray(size)
        for tenant in tenants:
            for position in _bit_positions(tenant, size * 8):
                bits[position >> 3] |= 1 << (position & 7)
        return cls(bytes(bits))

    def __contains__(self, tenant: str) -> bool:
        found = self.found.get(tenant)
        if found is None:
            found = self.found[tenant] = bool(self.bits) and all(
                self.bits[place >> 3] & 1 << (place & 7)
                for place in _bit_positions(tenant, len(self.bits) * 8)
            )
        return found


def _bit_positions(tenant: str, many: int) -> list[int]:
    digest = blake2b(tenant.encode("utf-8", "surrogatepass"), digest_size=4 * HASH_COUNT).digest()
    return [int.from_bytes(digest[at : at + 4], "big") % many for at in range(0, 4 * HASH_COUNT, 4)]
