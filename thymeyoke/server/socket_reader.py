"""A socket reader that can tell whether it holds unprocessed data."""

from __future__ import annotations

import asyncio
import socket

import anyio

from thymeyoke.runtime.msgpack_rpc import READ_BYTES


class SocketReader:
    """Reads a socket as data arrives, at most one chunk ahead of the task that takes it.

    The socket stays registered with the event loop; `anyio.wait_readable` would register it again for each
    read, at the cost of two system calls. `is_empty` tells whether a chunk is waiting. Nothing more is read
    while one is, so that a blocked task slows down only its own client.
    """

    def __init__(self, source: socket.socket) -> None:
        """Create a reader; the socket is watched from the first `take` on."""
        self.socket = source
        self.chunk: bytes | OSError | None = None  # read and not yet taken
        self.arrived = anyio.Event()
        self.is_watched = False

    @property
    def is_empty(self) -> bool:
        """Whether no chunk waits to be taken."""
        return self.chunk is None

    async def take(self) -> bytes:
        """Return the next chunk, or b"" at end of file; raises `OSError` if the connection is lost."""
        while self.chunk is None:
            self.arrived = anyio.Event()
            self._watch()
            await self.arrived.wait()
        chunk, self.chunk = self.chunk, None
        if isinstance(chunk, OSError):
            raise chunk
        return chunk

    def stop(self) -> None:
        """Stop watching the socket; call this before closing it."""
        if self.is_watched:
            self.is_watched = False
            asyncio.get_running_loop().remove_reader(self.socket)

    def _watch(self) -> None:
        if self.socket.fileno() < 0:  # closed before its task began
            raise ConnectionAbortedError("the connection is closed")
        if not self.is_watched:
            self.is_watched = True
            asyncio.get_running_loop().add_reader(self.socket, self._on_readable)

    def _on_readable(self) -> None:
        if self.chunk is not None:
            return self.stop()
        try:
            self.chunk = self.socket.recv(READ_BYTES)
        except BlockingIOError:
            return
        except OSError as error:
            self.chunk = error
        if not isinstance(self.chunk, bytes) or not self.chunk:
            self.stop()  # a socket at its end or in error stays readable
        self.arrived.set()
