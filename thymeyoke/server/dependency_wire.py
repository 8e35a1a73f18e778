"""The dependency's protocol: one line and a body out, one line and sometimes a body back. Pure."""

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
MAX_QUOTED_BYTES = 80  # of a line that an error shows
LINE_END = b"\r\n"
MILLISECONDS_PER_SECOND = 1000


class InvalidReplyError(ThymeyokeError):
    """What the dependency sent is not of the protocol; its connection cannot go on."""


class Reply(NamedTuple):
    """The end of a call."""

    id: str
    outcome: Outcome
    body: bytes


class ReplyReader:
    """The replies of one connection, however their bytes are cut."""

    def __init__(self) -> None:
        """Nothing was read yet."""
        self.incomplete = b""  # octets of the reply that has begun

    def feed(self, data: bytes) -> list[Reply]:
        """The replies that are complete now; `InvalidReplyError` for bytes that are none."""
        self.incomplete += data
        replies: list[Reply] = []
        while reply := self._next_reply():
            replies.append(reply)
        return replies

    def _next_reply(self) -> Reply | None:
        head, end, after = self.incomplete.partition(LINE_END)
        if len(head) > MAX_HEAD_BYTES:
            raise InvalidReplyError("a line does not end")
        if not end:
            return None
        id, outcome, size = _parse_head(head)
        if size is None:
            self.incomplete = after
            return Reply(id, outcome, b"")
        if len(after) < size + len(LINE_END):
            return None
        if after[size : size + len(LINE_END)] != LINE_END:
            raise InvalidReplyError(f"a body does not end where it should: {head[:MAX_QUOTED_BYTES]!r}")
        self.incomplete = after[size + len(LINE_END) :]
        return Reply(id, outcome, after[:size])


def _parse_head(head: bytes) -> tuple[str, Outcome, int | None]:
    """The id, the outcome, and the size of the body where one follows."""
    try:
        id, word, *lengths = head.decode("ascii").split(" ")
        outcome, size = OUTCOMES[word], int(lengths[0]) if lengths else -1
    except (KeyError, ValueError):
        raise InvalidReplyError(f"not a reply: {head[:MAX_QUOTED_BYTES]!r}") from None
    if len(lengths) > 1 or not -1 <= size < MAX_REPLY_BYTES:
        raise InvalidReplyError(f"not a reply: {head[:MAX_QUOTED_BYTES]!r}")
    return id, outcome, None if size < 0 else size


def encode(message: StartCall | AbandonCall, now: float) -> bytes:
    """The octets of a message; a call says how many milliseconds are left."""
    if isinstance(message, AbandonCall):
        return f"X {message.id}".encode() + LINE_END
    time_left = max(1, ceil((message.deadline - now) * MILLISECONDS_PER_SECOND))
    head = f"Q {message.id} {time_left} {len(message.body)}".encode()
    return head + LINE_END + message.body + LINE_END
