"""MessagePack-RPC, as routers speak it, to and from small typed values."""

from __future__ import annotations

from typing import Any, NamedTuple

import msgpack

from thymeyoke.net.mail import Fitness, Leaving, Order, Telling, Verdict
from thymeyoke.start import Names

BODY_LIMIT = 2048
FIELD_LIMIT = 512  # bytes of a name or a field
FRAME_LIMIT = 1 << 18  # bytes of what is read but not yet whole
NUMBER_LIMIT = 1 << 32
SIZE_LIMIT = 2000.0
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


class Reader:
    """The messages of one connection, however its bytes are cut."""

    def __init__(self, names: Names) -> None:
        self.names = names
        self.unpacker = msgpack.Unpacker(
            raw=False, max_buffer_size=FRAME_LIMIT, max_str_len=FIELD_LIMIT, max_bin_len=BODY_LIMIT,
            max_array_len=4, max_map_len=32, max_ext_len=0)  # fmt: skip

    def feed(self, data: bytes) -> list[Message]:
        try:
            self.unpacker.feed(data)
            return [self._message(frame) for frame in self.unpacker]
        except BadFrame:
            raise
        except Exception as error:  # the library raises many kinds, its own and plain ones
            raise BadFrame(f"not MessagePack: {type(error).__name__} {error}") from None

    def _message(self, frame: Any) -> Message:
        match frame:
            case [0, int(number), str(method), list(given)] if 0 <= number < NUMBER_LIMIT:
                if method == CHECK:
                    return Check(number)
                match given:
                    case [dict(fields), bytes(body)]:
                        return self._ask(number, method, fields, body)
                return Unclear(number, "arguments are not fields and a body")
            case [2, "cancelRequest", [int(number)]]:
                return Cancel(number)
        raise BadFrame(f"unknown message {str(frame)[:80]}")

    def _ask(self, number: int, method: str, fields: dict[str, str], body: bytes) -> Message:
        try:
            since, patience = int(fields["since"]) / 1000, int(fields["allow"]) / 1000
            size, prio = float(fields["room"]), float(fields["class_rank"])
            if not (0 < size < SIZE_LIMIT and 0 <= prio < 1 and 0 < patience < 1e6 and 0 < since < 1e11):
                return Unclear(number, "a number is out of bounds")
            tenants = self.names.tenants
            order = Order(
                id=fields["ref"],
                type=self.names.op_types[method],
                tenant=tenants[fields["project"]] if tenants else 0,
                caller=int(fields["sender"]),
                since=since,
                patience=patience,
                size=size,
                prio=prio,
                key=fields.get("replay"),
                subject=fields.get("lookup"),
                body=body,
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
