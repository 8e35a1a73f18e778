"""MessagePack-RPC framing with size limits: assembles frames from the bytes of a connection."""

from __future__ import annotations

from typing import Any, Generic, TypeVar

import msgpack

from thymeyoke.runtime.errors import ThymeyokeError

MAX_BODY_BYTES = 2048
MAX_FIELD_BYTES = 512  # of a text
MAX_FRAME_BYTES = 1 << 14  # of an incomplete message
MAX_FRAME_PARTS = 4  # elements of an array
MAX_FIELDS = 32  # entries of a map
READ_BYTES = 1 << 14  # maximum number of bytes fed at once
UNPACKER_BUFFER_BYTES = 1 << 11  # initial buffer of the library for each connection
REQUEST, REPLY, NOTIFICATION = 0, 1, 2  # message types

Message = TypeVar("Message")


class InvalidFrameError(ThymeyokeError):
    """The received bytes violate the protocol; the connection must be closed."""


def are_integers(*numbers: Any) -> bool:
    """Whether all values are integers; unlike in Python's comparisons, `true` and 0.0 are not."""
    return all(type(number) is int for number in numbers)


class FrameReader(Generic[Message]):
    """Reads the messages of one connection. Subclasses convert frames to messages."""

    def __init__(self) -> None:
        self.fed_bytes = self.complete_bytes = 0  # in total, and up to the end of the last complete message
        # Kept only while a message is incomplete, as each takes about 50 KB.
        self.unpacker: msgpack.Unpacker | None = None

    def feed(self, data: bytes) -> list[Message]:
        """Add received bytes; returns the messages that they complete. Raises `InvalidFrameError`."""
        try:
            messages = self._unpack(data)
        except InvalidFrameError:
            raise
        except Exception as error:  # the library raises exceptions of many types
            raise InvalidFrameError(f"invalid MessagePack: {type(error).__name__} {error}") from None
        if self.fed_bytes - self.complete_bytes > MAX_FRAME_BYTES:
            raise InvalidFrameError(f"incomplete message exceeds {MAX_FRAME_BYTES} bytes")
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
        """Whether a message has been received in part."""
        return self.fed_bytes > self.complete_bytes

    def _message(self, frame: Any) -> Message:
        """Convert a frame to a message; raises `InvalidFrameError`."""
        raise NotImplementedError
