"""Messages of the word `seats` as MessagePack, at most 8 KiB each, and back.

Pure. A map with short names: fields that are not known are passed over, so that a newer version is read as
far as it goes. `BadWord` for all that cannot be read: whoever reads counts it and goes on. What can be read
and cannot be true is for `decide.py`.
"""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from thymeyoke.affinity.bindings import Told
from thymeyoke.affinity.messages import PER_MARK, Ack, Ask, Marks, Message, Piece

VERSION = 1
WORD_LIMIT = 8192
ITEMS_MOST = 1024
MARKS_LIMIT = WORD_LIMIT // 2

Number = Annotated[int, Meta(ge=0, le=(1 << 63) - 1)]
Octets = Annotated[bytes, Meta(max_length=MARKS_LIMIT)]


class BadWord(ValueError):
    """A body that is no message of seats."""


class _Ask(Struct, tag_field="k", tag="ask"):
    v: Number
    number: Number
    of: Number
    life: Number


class _Ack(Struct, tag_field="k", tag="ack"):
    v: Number
    number: Number
    of: Number
    life: Number


class _Piece(Struct, tag_field="k", tag="piece", omit_defaults=True):
    v: Number
    life: Number
    behind: Number
    to: Number
    head: Number
    stamp: Number
    servers: Annotated[list[tuple[str, int]], Meta(max_length=ITEMS_MOST)] = []  # name, life
    items: Annotated[list[tuple[int, int, int, int]], Meta(max_length=ITEMS_MOST)] = []
    late: Octets = b""
    ripe: Octets = b""
    takes: Octets = b""
    leaving: bool = False


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(_Ask | _Ack | _Piece)


def _joined(marks: frozenset[bytes]) -> bytes:
    return b"".join(sorted(marks))


def _cut(octets: bytes) -> frozenset[bytes]:
    if len(octets) % PER_MARK:
        raise BadWord("half a mark")
    return frozenset(octets[at : at + PER_MARK] for at in range(0, len(octets), PER_MARK))


def encode(message: Message) -> bytes:
    match message:
        case Ask(number, of, life):
            return _encoder.encode(_Ask(VERSION, number, of, life))
        case Ack(number, of, life):
            return _encoder.encode(_Ack(VERSION, number, of, life))
    places: dict[tuple[str, int], int] = {}
    items = []
    for one in message.items:
        place = places.setdefault((one.server, one.life), len(places))
        items.append((one.customer, one.born, place, round(one.left * 1000)))
    marks = message.marks
    return _encoder.encode(_Piece(
        VERSION, message.life, message.behind, message.to, message.head, message.stamp, list(places), items,
        _joined(marks.late), _joined(marks.ripe), _joined(marks.takes), message.leaving))  # fmt: skip


def decode(body: bytes) -> Message:
    """BadWord, with why in a few words."""
    if len(body) > WORD_LIMIT:
        raise BadWord(f"{len(body)} octets")
    try:
        read = _decoder.decode(body)
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as error:
        raise BadWord(str(error)[:200]) from None
    match read:
        case _Ask():
            return Ask(read.number, read.of, read.life)
        case _Ack():
            return Ack(read.number, read.of, read.life)
    items = []
    for number, born, place, left in read.items:
        if not 0 <= place < len(read.servers):
            raise BadWord("a server that is not listed")
        server, life = read.servers[place]
        items.append(Told(number, born, server, life, left / 1000))
    return Piece(
        read.life, read.behind, read.to, read.head, read.stamp, tuple(items),
        Marks(_cut(read.late), _cut(read.ripe), _cut(read.takes)), read.leaving)  # fmt: skip
