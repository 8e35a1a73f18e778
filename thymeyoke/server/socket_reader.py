"""Reading a connection's socket without hiding what was read."""

from __future__ import annotations

import asyncio
import socket

import anyio

from thymeyoke.runtime.msgpack_rpc import READ_BYTES


class SocketReader:
    """Reads a socket as bytes come, one chunk ahead of the task that takes them.

    The event loop watches the socket for as long as it is read: `anyio.wait_readable` registers it anew for
    each read, at the cost of two system calls. A chunk that waits to be taken is seen by `is_empty`; behind
    it nothing more is read, so that a task which is blocked blocks its own client alone.
    """

    def __init__(self, source: socket.socket) -> None:
        """Watch the socket from the first `take` on."""
        self.socket = source
        self.chunk: bytes | OSError | None = None  # read and not yet taken
        self.arrived = anyio.Event()
        self.is_watched = False

    @property
    def is_empty(self) -> bool:
        """Whether no chunk waits to be taken."""
        return self.chunk is None

    async def take(self) -> bytes:
        """The next chunk, empty at the end of the client's sending half. OSError: the connection is lost."""
        while self.chunk is None:
            self.arrived = anyio.Event()
            self._watch()
            await self.arrived.wait()
        chunk, self.chunk = self.chunk, None
        if isinstance(chunk, OSError):
            raise chunk
        return chunk

    def stop(self) -> None:
        """Read no more. To be called before the socket is closed."""
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
            self.stop()  # an end stays readable
        self.arrived.set()
