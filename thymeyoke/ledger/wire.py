"""What instances and receivers say, as protobuf behind its length; the names of `ledger.proto` end here.
Pure."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from hashlib import sha256
from typing import NamedTuple

from google.protobuf.message import DecodeError

from thymeyoke.ledger import ledger_pb2 as pb
from thymeyoke.ledger.usage_entries import Amounts, Kind, Line

MOST = 1 << 20  # octets of a message
ROWS = 1000  # of a batch: a period with more lines is cut in parts


class BadSay(Exception):
    """What the other side sent is not of the protocol."""


class Body(NamedTuple):
    """A part of a closed period's sums."""

    number: int
    period: int
    version: int
    part: int
    parts: int
    length: int
    rows: tuple[tuple[Line, Amounts], ...]


class Batch(NamedTuple):
    number: int
    before: bytes
    body: bytes

    @property
    def hash(self) -> bytes:
        return sha256(self.before + self.body).digest()


class Hello(NamedTuple):
    name: str
    book: bytes
    last: int


class Welcome(NamedTuple):
    receiver: bytes
    high: int
    hash: bytes


class Taken(NamedTuple):
    high: int
    hash: bytes


class Refused(NamedTuple):
    why: str


Say = Hello | Welcome | Batch | Taken | Refused


def body(what: Body) -> bytes:
    told = pb.Body(
        number=what.number, period=what.period, version=what.version, part=what.part, parts=what.parts,
        length=what.length)  # fmt: skip
    for line, amounts in what.rows:
        told.rows.add(**line._asdict(), **amounts._asdict())
    encoded: bytes = told.SerializeToString(deterministic=True)
    return encoded


def read_body(data: bytes) -> Body:
    try:
        told = pb.Body.FromString(data)
        rows = tuple(
            (Line(row.tenant, row.type, Kind(row.kind), row.corrects, row.who, row.why),
             Amounts(row.ops, row.run, row.calls, row.importance, row.octets))
            for row in told.rows
        )  # fmt: skip
    except (DecodeError, ValueError) as error:
        raise BadSay(f"a body can't be read: {error}") from None
    return Body(told.number, told.period, told.version, told.part, told.parts, told.length, rows)


def parts(rows: Iterable[tuple[Line, Amounts]]) -> list[tuple[tuple[Line, Amounts], ...]]:
    """Rows in an order of their own, cut in parts; an empty period is one empty part."""
    ordered = sorted(rows)
    return [tuple(ordered[at : at + ROWS]) for at in range(0, len(ordered), ROWS)] or [()]


FORMS: dict[type, tuple[str, type]] = {
    Hello: ("hello", pb.Hello), Welcome: ("welcome", pb.Welcome), Batch: ("batch", pb.Batch),
    Taken: ("taken", pb.Taken), Refused: ("refused", pb.Refused),
}  # fmt: skip


def encode(what: Say) -> bytes:
    name, form = FORMS[type(what)]
    data: bytes = pb.Say(**{name: form(**what._asdict())}).SerializeToString(deterministic=True)
    assert len(data) <= MOST
    return len(data).to_bytes(4, "big") + data


def decode(data: bytes) -> Say:
    try:
        told = pb.Say.FromString(data)
    except DecodeError as error:
        raise BadSay(f"a message can't be read: {error}") from None
    match told.WhichOneof("what"):
        case "hello":
            return Hello(told.hello.name, told.hello.book, told.hello.last)
        case "welcome":
            return Welcome(told.welcome.receiver, told.welcome.high, told.welcome.hash)
        case "batch":
            return Batch(told.batch.number, told.batch.before, told.batch.body)
        case "taken":
            return Taken(told.taken.high, told.taken.hash)
        case "refused":
            return Refused(told.refused.why)
    raise BadSay("a message that says nothing")


class Reader:
    """Bytes of a connection to messages. Holds at most one that is not yet whole."""

    def __init__(self) -> None:
        self.rest = bytearray()

    def feed(self, data: bytes) -> Iterator[Say]:
        self.rest += data
        while len(self.rest) >= 4:
            size = int.from_bytes(self.rest[:4], "big")
            if size > MOST:
                raise BadSay(f"a message of {size} octets")
            if len(self.rest) < 4 + size:
                return
            data = bytes(self.rest[4 : 4 + size])
            del self.rest[: 4 + size]
            yield decode(data)
