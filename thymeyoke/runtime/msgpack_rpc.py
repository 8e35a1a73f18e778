"""MessagePack-RPC framing with bounds: bytes of a connection to frames, however they are cut."""

from __future__ import annotations

from typing import Any, Generic, TypeVar

import msgpack

from thymeyoke.runtime.errors import ThymeyokeError

MAX_BODY_BYTES = 2048
MAX_FIELD_BYTES = 512  # of a name or a field
MAX_FRAME_BYTES = 1 << 14  # of a message that is not yet complete
MAX_FRAME_PARTS = 4
MAX_FIELDS = 32
READ_BYTES = 1 << 14  # the most that is fed at once
UNPACKER_BUFFER_BYTES = 1 << 11  # of the library, for each connection: it grows where it has to
REQUEST, REPLY, NOTIFICATION = 0, 1, 2  # kinds of messages

Message = TypeVar("Message")


class InvalidFrameError(ThymeyokeError):
    """What was read is not of the protocol; the connection cannot go on."""


def are_integers(*numbers: Any) -> bool:
    """Whether these are integers on the wire: to Python `true` is one as well, and 0.0 equals 0."""
    return all(type(number) is int for number in numbers)


class FrameReader(Generic[Message]):
    """The messages of one connection. Subclasses make a message of each frame."""

    def __init__(self) -> None:
        self.fed_bytes = self.complete_bytes = 0  # in all, and up to the end of the last complete message
        self.unpacker: msgpack.Unpacker | None = None  # while a message is incomplete: each takes some 50 KB

    def feed(self, data: bytes) -> list[Message]:
        """The messages that are complete now; `InvalidFrameError` for bytes that are none."""
        try:
            messages = self._unpack(data)
        except InvalidFrameError:
            raise
        except Exception as error:  # the library raises many kinds, its own and plain ones
            raise InvalidFrameError(f"not MessagePack: {type(error).__name__} {error}") from None
        if self.fed_bytes - self.complete_bytes > MAX_FRAME_BYTES:
            raise InvalidFrameError("a message does not end")
        return messages

    def _unpack(self, data: bytes) -> list[Message]:
        if self.unpacker is None:
            self.fed_bytes = self.complete_bytes = 0
            self.unpacker = msgpack.Unpacker(
                raw=False,
                max_buffer_size=MAX_FRAME_BYTES + READ_BYTES,
                read_size=UNPACKER_BUFFER_BYTES,
                max_str_len=MAX_FIELD_BYTES,
                max_bin_len=MAX_BODY_BYTES,
                max_array_len=MAX_FRAME_PARTS,
                max_map_len=MAX_FIELDS,
                max_ext_len=0,
            )
        self.fed_bytes += len(data)
        self.unpacker.feed(data)
        messages = []
        for frame in self.unpacker:
            messages.append(self._message(frame))
            self.complete_bytes = self.unpacker.tell()
        if not self.is_incomplete():
            self.unpacker = None
        return messages

    def is_incomplete(self) -> bool:
        """Whether a message has begun and is not yet complete."""
        return self.fed_bytes > self.complete_bytes

    def _message(self, frame: Any) -> Message:
        """Make a message of a frame, or raise `InvalidFrameError`."""
        raise NotImplementedError
