"""MessagePack-RPC, as routers speak it, to and from small typed values."""

from __future__ import annotations

from typing import Any, NamedTuple

import msgpack

from thymeyoke.configuration.start_file import Names
from thymeyoke.runtime.clock import clock
from thymeyoke.server.messages import NOT_TOLD, Fitness, Leaving, Order, Telling, Verdict

BODY_LIMIT = 2048
FIELD_LIMIT = 512  # bytes of a name or a field
FRAME_LIMIT = 1 << 14  # bytes of a message that is not yet whole
CHUNK = 1 << 14  # the most that is fed at once
FIRST_BUFFER = 1 << 11  # of the library, for each connection: it grows where it has to
NUMBER_LIMIT = 1 << 32
SIZE_LIMIT = 2000.0
PATIENCE_LIMIT = 3600.0
SINCE_AHEAD = 1.0  # an op has reached the machine already, by clocks that are about the same
REPLY, NOTICE = 1, 2
CHECK, LEAVING = "alive", "leaving"
ERRORS = {Verdict.NACK: "Shed", Verdict.FAIL: "Fault"}


class BadFrame(Exception):
    """What was read is not of the protocol; the connection cannot go on."""


class Ask(NamedTuple):
    number: int
    order: Order


class Check(NamedTuple):
    number: int


class Cancel(NamedTuple):
    number: int


class Unclear(NamedTuple):
    """A call that can be answered, but not understood."""

    number: int
    why: str


Message = Ask | Check | Cancel | Unclear


def _whole(text: str) -> int:
    """A number in plain digits: `int` alone takes signs, spaces, `_` and the digits of other scripts."""
    if not (text.isascii() and text.isdigit()):
        raise ValueError("not a whole number")
    return int(text)


def _mark(text: str | None) -> str | None:
    if not (text is None or (isinstance(text, str) and text)):
        raise ValueError("not a mark")
    return text


def _plain(*numbers: Any) -> bool:
    """Whether these are integers on the wire: to Python `true` is one as well, and 0.0 equals 0."""
    return all(type(number) is int for number in numbers)


class Reader:
    """The messages of one connection, however its bytes are cut."""

    def __init__(self, names: Names) -> None:
        self.names = names
        self.fed = self.whole = 0  # bytes, and how far the last whole message reached
        self.unpacker: msgpack.Unpacker | None = None  # while a message is half read: each takes some 50 KB

    def feed(self, data: bytes) -> list[Message]:
        try:
            if self.unpacker is None:
                self.fed = self.whole = 0
                self.unpacker = msgpack.Unpacker(
                    raw=False, max_buffer_size=FRAME_LIMIT + CHUNK, read_size=FIRST_BUFFER,
                    max_str_len=FIELD_LIMIT, max_bin_len=BODY_LIMIT, max_array_len=4, max_map_len=32,
                    max_ext_len=0)  # fmt: skip
            self.fed += len(data)
            self.unpacker.feed(data)
            messages = []
            for frame in self.unpacker:
                messages.append(self._message(frame))
                self.whole = self.unpacker.tell()
            if not self.half():
                self.unpacker = None
        except BadFrame:
            raise
        except Exception as error:  # the library raises many kinds, its own and plain ones
            raise BadFrame(f"not MessagePack: {type(error).__name__} {error}") from None
        if self.fed - self.whole > FRAME_LIMIT:
            raise BadFrame("a message does not end")
        return messages

    def half(self) -> bool:
        """Whether a message has begun and is not yet whole."""
        return self.fed > self.whole

    def _message(self, frame: Any) -> Message:
        match frame:
            case [0 as kind, int(number), str(method), list(given)] if (
                    _plain(kind, number) and 0 <= number < NUMBER_LIMIT):  # fmt: skip
                match given:
                    case [dict()] if method == CHECK:
                        return Check(number)
                    case [dict(fields), bytes(body)]:
                        return self._ask(number, method, fields, body)
                return Unclear(number, "arguments are not fields and a body")
            case [2 as kind, "cancelRequest", [int(number)]] if _plain(kind, number):
                return Cancel(number)
        raise BadFrame(f"unknown message {str(frame)[:80]}")

    def _ask(self, number: int, method: str, fields: dict[str, str], body: bytes) -> Message:
        try:
            since, allow = _whole(fields["since"]) / 1000, fields.get("allow")
            patience = NOT_TOLD if allow is None else _whole(allow) / 1000
            size, prio, caller = float(fields["room"]), float(fields["class_rank"]), _whole(fields["sender"])
            work = float(fields.get("effort", NOT_TOLD)) / 1000
            told = allow is None or 0 < patience < PATIENCE_LIMIT
            if not (0 < size < SIZE_LIMIT and 0 <= prio < 1 and told and 0 <= work < PATIENCE_LIMIT
                    and caller < NUMBER_LIMIT and 0 < since < clock() + SINCE_AHEAD):  # fmt: skip
                return Unclear(number, "a number is out of bounds")
            tenants = self.names.tenants
            order = Order(
                id=fields["ref"],
                type=self.names.op_types[method],
                tenant=tenants[fields["project"]] if tenants else 0,
                caller=caller,
                since=since,
                patience=patience,
                size=size,
                prio=prio,
                key=_mark(fields.get("replay")),
                subject=_mark(fields.get("lookup")),
                body=body,
                work=work,
                further=fields.get("dup", "0") not in ("", "0"),
            )
        except (KeyError, TypeError, ValueError) as error:
            return Unclear(number, f"{type(error).__name__} {error}")
        if not (isinstance(order.id, str) and len(order.id) == 16 and order.id.isalnum()):
            return Unclear(number, "ref is not an id")
        return Ask(number, order)


def encode(what: Telling) -> bytes:
    if isinstance(what, Leaving):
        return msgpack.packb([NOTICE, LEAVING, []])
    fields = {} if what.value is None else {"pressure": f"{what.value:g}"}
    if isinstance(what, Fitness):
        return msgpack.packb([REPLY, what.number, None, [what.fit, fields]])
    if what.verdict is Verdict.ACK:
        return msgpack.packb([REPLY, what.number, None, [what.body, fields]])
    if what.wait > 0:
        fields["cooldown"] = f"{what.wait * 1000:.0f}"
    if what.nowhere_else:
        fields["nowhere"] = "1"
    return msgpack.packb([REPLY, what.number, [ERRORS[what.verdict], fields], None])
