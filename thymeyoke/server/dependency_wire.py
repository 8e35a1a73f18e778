"""The protocol of the dependency: each message is a head line, followed by a body in some of them."""

from __future__ import annotations

from math import ceil
from typing import NamedTuple

from thymeyoke.admission.events import Outcome
from thymeyoke.runtime.errors import ThymeyokeError
from thymeyoke.server.messages import AbandonCall, StartCall

OUTCOMES = {
    "ROWS": Outcome.OK,
    "FULL": Outcome.REJECTED,
    "FAIL": Outcome.ERROR,
    "TIMEOUT": Outcome.TIMEOUT,
    "NONE": Outcome.NOT_STARTED,
}
MAX_REPLY_BYTES = 1 << 16
MAX_HEAD_BYTES = 1 << 8
MAX_QUOTED_BYTES = 80  # of a line that an error message shows
LINE_END = b"\r\n"
MILLISECONDS_PER_SECOND = 1000


class InvalidReplyError(ThymeyokeError):
    """Raised for a reply that violates the protocol; its connection is closed."""


class Reply(NamedTuple):
    """The reply to a call."""

    id: str
    outcome: Outcome
    body: bytes


class ReplyReader:
    """Decodes the replies of one connection, which may arrive in pieces of any size."""

    def __init__(self) -> None:
        """Create a reader without any data."""
        self.incomplete = b""  # received bytes of an incomplete reply

    def feed(self, data: bytes) -> list[Reply]:
        """Add received data and return the complete replies; raises `InvalidReplyError` if one is invalid."""
        self.incomplete += data
        replies: list[Reply] = []
        while reply := self._next_reply():
            replies.append(reply)
        return replies

    def _next_reply(self) -> Reply | None:
        head, end, after = self.incomplete.partition(LINE_END)
        if len(head) > MAX_HEAD_BYTES:
            raise InvalidReplyError(f"the head line is longer than {MAX_HEAD_BYTES} bytes")
        if not end:
            return None
        id, outcome, size = _parse_head(head)
        if size is None:
            self.incomplete = after
            return Reply(id, outcome, b"")
        if len(after) < size + len(LINE_END):
            return None
        if after[size : size + len(LINE_END)] != LINE_END:
            raise InvalidReplyError(f"the body length does not match: {head[:MAX_QUOTED_BYTES]!r}")
        self.incomplete = after[size + len(LINE_END) :]
        return Reply(id, outcome, after[:size])


def _parse_head(head: bytes) -> tuple[str, Outcome, int | None]:
    """The request id, the outcome, and the size of the body if one follows."""
    try:
        id, word, *lengths = head.decode("ascii").split(" ")
        outcome, size = OUTCOMES[word], int(lengths[0]) if lengths else -1
    except (KeyError, ValueError):
        raise InvalidReplyError(f"invalid head line: {head[:MAX_QUOTED_BYTES]!r}") from None
    if len(lengths) > 1 or not -1 <= size < MAX_REPLY_BYTES:
        raise InvalidReplyError(f"invalid body length: {head[:MAX_QUOTED_BYTES]!r}")
    return id, outcome, None if size < 0 else size


def encode(message: StartCall | AbandonCall, now: float) -> bytes:
    """Encode a message; a call carries the milliseconds left until its deadline."""
    if isinstance(message, AbandonCall):
        return f"X {message.id}".encode() + LINE_END
    time_left = max(1, ceil((message.deadline - now) * MILLISECONDS_PER_SECOND))
    head = f"Q {message.id} {time_left} {len(message.body)}".encode()
    return head + LINE_END + message.body + LINE_END
