"""Messages between exporters and receivers: protobuf with a length prefix. Pure, no I/O.

Only this module uses the names of `ledger.proto`.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from hashlib import sha256
from typing import NamedTuple

from google.protobuf.message import DecodeError

from thymeyoke.ledger import ledger_pb2 as pb
from thymeyoke.ledger.usage_entries import Amounts, Kind, UsageKey

MAX_MESSAGE_BYTES = 1 << 20
MAX_ROWS_PER_BATCH = 1000  # periods with more rows are split into parts


class ProtocolError(Exception):
    """The peer sent something that violates the protocol."""


class BatchBody(NamedTuple):
    """One part of the sums of a closed period. Fields have the names of the protobuf message."""

    number: int
    period: int
    version: int
    part: int
    parts: int
    length: int
    rows: tuple[tuple[UsageKey, Amounts], ...]


class Batch(NamedTuple):
    """A batch: its number, the hash of the batch before, and the encoded body."""

    number: int
    before: bytes
    body: bytes

    @property
    def hash(self) -> bytes:
        """Hash over this batch and, through `before`, all earlier ones."""
        return sha256(self.before + self.body).digest()


class Hello(NamedTuple):
    """First message of an exporter: name of the app server, ID of its journal, number of its last batch."""

    name: str
    book: bytes
    last: int


class Welcome(NamedTuple):
    """Answer to a hello: ID of the receiver, number and hash of the last batch stored without a gap."""

    receiver: bytes
    high: int
    hash: bytes


class Acknowledgement(NamedTuple):
    """All batches up to `high` are stored; `hash` is that of the last one."""

    high: int
    hash: bytes


class Rejection(NamedTuple):
    """The receiver rejects the sender or a batch; the export halts."""

    why: str


Message = Hello | Welcome | Batch | Acknowledgement | Rejection


def encode_body(body: BatchBody) -> bytes:
    """Encode the body of a batch; the same body always gives the same bytes, because it is hashed."""
    message = pb.Body(
        number=body.number, period=body.period, version=body.version, part=body.part, parts=body.parts,
        length=body.length)  # fmt: skip
    for key, amounts in body.rows:
        message.rows.add(**key._asdict(), **amounts._asdict())
    encoded: bytes = message.SerializeToString(deterministic=True)
    return encoded


def decode_body(data: bytes) -> BatchBody:
    """Decode the body of a batch."""
    try:
        decoded = pb.Body.FromString(data)
        rows = tuple(
            (UsageKey(row.tenant, row.type, Kind(row.kind), row.corrects, row.who, row.why),
             Amounts(row.ops, row.run, row.calls, row.importance, row.octets))
            for row in decoded.rows
        )  # fmt: skip
    except (DecodeError, ValueError) as error:
        raise ProtocolError(f"a body can't be read: {error}") from None
    return BatchBody(
        decoded.number, decoded.period, decoded.version, decoded.part, decoded.parts, decoded.length, rows
    )


def split_rows(rows: Iterable[tuple[UsageKey, Amounts]]) -> list[tuple[tuple[UsageKey, Amounts], ...]]:
    """Sort rows and split them for batches; no rows make one empty part."""
    ordered = sorted(rows)
    return [
        tuple(ordered[first : first + MAX_ROWS_PER_BATCH])
        for first in range(0, len(ordered), MAX_ROWS_PER_BATCH)
    ] or [()]


PROTOBUF_TYPES: dict[type, tuple[str, type]] = {
    Hello: ("hello", pb.Hello), Welcome: ("welcome", pb.Welcome), Batch: ("batch", pb.Batch),
    Acknowledgement: ("taken", pb.Taken), Rejection: ("refused", pb.Refused),
}  # fmt: skip


def encode(message: Message) -> bytes:
    """Encode a message with its length prefix of four bytes."""
    name, protobuf_type = PROTOBUF_TYPES[type(message)]
    data: bytes = pb.Say(**{name: protobuf_type(**message._asdict())}).SerializeToString(deterministic=True)
    assert len(data) <= MAX_MESSAGE_BYTES
    return len(data).to_bytes(4, "big") + data


def decode(data: bytes) -> Message:
    """Decode a message without its length prefix."""
    try:
        decoded = pb.Say.FromString(data)
    except DecodeError as error:
        raise ProtocolError(f"message is not valid protobuf: {error}") from None
    match decoded.WhichOneof("what"):
        case "hello":
            return Hello(decoded.hello.name, decoded.hello.book, decoded.hello.last)
        case "welcome":
            return Welcome(decoded.welcome.receiver, decoded.welcome.high, decoded.welcome.hash)
        case "batch":
            return Batch(decoded.batch.number, decoded.batch.before, decoded.batch.body)
        case "taken":
            return Acknowledgement(decoded.taken.high, decoded.taken.hash)
        case "refused":
            return Rejection(decoded.refused.why)
    raise ProtocolError("message without content; expected hello, welcome, batch, taken or refused")


class FrameReader:
    """Splits received bytes into messages; buffers at most one incomplete message."""

    def __init__(self) -> None:
        self.buffer = bytearray()

    def feed(self, data: bytes) -> Iterator[Message]:
        """Add received bytes and return the complete messages."""
        self.buffer += data
        while len(self.buffer) >= 4:
            size = int.from_bytes(self.buffer[:4], "big")
            if size > MAX_MESSAGE_BYTES:
                raise ProtocolError(f"message of {size} bytes, at most {MAX_MESSAGE_BYTES} are allowed")
            if len(self.buffer) < 4 + size:
                return
            data = bytes(self.buffer[4 : 4 + size])
            del self.buffer[: 4 + size]
            yield decode(data)
