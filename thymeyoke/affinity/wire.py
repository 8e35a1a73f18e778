"""Codec of the messages that replicate bindings: MessagePack maps of at most 8 KiB. Pure.

Unknown fields are ignored, so that messages of newer versions can be read. Plausibility of the values is
checked by `controller`, not here.
"""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from thymeyoke.affinity.bindings import ReplicatedEntry
from thymeyoke.affinity.messages import MARK_BYTES, LogAck, LogChunk, LogRequest, Message, StateMarks

VERSION = 1
MAX_MESSAGE_BYTES = 8192
MAX_ENTRIES = 1024
MAX_MARKS_BYTES = MAX_MESSAGE_BYTES // 2

Number = Annotated[int, Meta(ge=0, le=(1 << 63) - 1)]
MarkBytes = Annotated[bytes, Meta(max_length=MAX_MARKS_BYTES)]


class InvalidMessageError(ValueError):
    """A message cannot be decoded."""


class _WireRequest(Struct, tag_field="k", tag="ask"):
    v: Number
    number: Number
    of: Number
    life: Number


class _WireAck(Struct, tag_field="k", tag="ack"):
    v: Number
    number: Number
    of: Number
    life: Number


class _WireChunk(Struct, tag_field="k", tag="piece", omit_defaults=True):
    v: Number
    life: Number
    behind: Number
    to: Number
    head: Number
    stamp: Number
    servers: Annotated[list[tuple[str, int]], Meta(max_length=MAX_ENTRIES)] = []  # name, life
    items: Annotated[list[tuple[int, int, int, int]], Meta(max_length=MAX_ENTRIES)] = []
    late: MarkBytes = b""
    ripe: MarkBytes = b""
    takes: MarkBytes = b""
    leaving: bool = False


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(_WireRequest | _WireAck | _WireChunk)


def _join_marks(marks: frozenset[bytes]) -> bytes:
    return b"".join(sorted(marks))


def _split_marks(data: bytes) -> frozenset[bytes]:
    if len(data) % MARK_BYTES:
        raise InvalidMessageError(f"marks of {len(data)} bytes, not a multiple of {MARK_BYTES}")
    return frozenset(data[offset : offset + MARK_BYTES] for offset in range(0, len(data), MARK_BYTES))


def encode(message: Message) -> bytes:
    """Encode a message."""
    match message:
        case LogRequest(number, peer_incarnation, incarnation):
            return _encoder.encode(_WireRequest(VERSION, number, peer_incarnation, incarnation))
        case LogAck(number, peer_incarnation, incarnation):
            return _encoder.encode(_WireAck(VERSION, number, peer_incarnation, incarnation))
    server_indexes: dict[tuple[str, int], int] = {}
    items = []
    for entry in message.entries:
        index = server_indexes.setdefault((entry.server, entry.incarnation), len(server_indexes))
        items.append((entry.client, entry.stamp, index, round(entry.remaining * 1000)))
    marks = message.marks
    return _encoder.encode(
        _WireChunk(
            VERSION,
            message.incarnation,
            message.start,
            message.end,
            message.head,
            message.stamp,
            list(server_indexes),
            items,
            _join_marks(marks.late),
            _join_marks(marks.ripe),
            _join_marks(marks.taking),
            message.is_leaving,
        )
    )


def decode(body: bytes) -> Message:
    """Decode a message; raises `InvalidMessageError`."""
    if len(body) > MAX_MESSAGE_BYTES:
        raise InvalidMessageError(f"message of {len(body)} bytes exceeds {MAX_MESSAGE_BYTES}")
    try:
        read = _decoder.decode(body)
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as error:
        raise InvalidMessageError(str(error)[:200]) from None
    match read:
        case _WireRequest():
            return LogRequest(read.number, read.of, read.life)
        case _WireAck():
            return LogAck(read.number, read.of, read.life)
    items = []
    for client, stamp, index, remaining_ms in read.items:
        if not 0 <= index < len(read.servers):
            raise InvalidMessageError(f"server index {index} of an entry is outside the list of servers")
        server, incarnation = read.servers[index]
        items.append(ReplicatedEntry(client, stamp, server, incarnation, remaining_ms / 1000))
    return LogChunk(
        read.life,
        read.behind,
        read.to,
        read.head,
        read.stamp,
        tuple(items),
        StateMarks(_split_marks(read.late), _split_marks(read.ripe), _split_marks(read.takes)),
        read.leaving,
    )
