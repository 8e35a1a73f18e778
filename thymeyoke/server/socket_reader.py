"""Reading a connection's socket without hiding what was read."""

from __future__ import annotations

import asyncio
import socket

import anyio

from thymeyoke.server.routers_wire import CHUNK


class Receiver:
    """Reads a socket as bytes come, one chunk ahead of the task that takes them.

    The event loop watches the socket for as long as it is read: `anyio.wait_readable` registers it anew for
    each read, at the cost of two system calls. A chunk that waits to be taken is seen by `empty`; behind it
    nothing more is read, so that a task which is held up holds up its own client.
    """

    def __init__(self, source: socket.socket) -> None:
        self.source = source
        self.chunk: bytes | OSError | None = None  # read and not yet taken
        self.arrived = anyio.Event()
        self.watched = False

    @property
    def empty(self) -> bool:
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
        if self.watched:
            self.watched = False
            asyncio.get_running_loop().remove_reader(self.source)

    def _watch(self) -> None:
        if self.source.fileno() < 0:  # closed before its task began
            raise ConnectionAbortedError("the connection is closed")
        if not self.watched:
            self.watched = True
            asyncio.get_running_loop().add_reader(self.source, self._readable)

    def _readable(self) -> None:
        if self.chunk is not None:
            return self.stop()
        try:
            self.chunk = self.source.recv(CHUNK)
        except BlockingIOError:
            return
        except OSError as error:
            self.chunk = error
        if not isinstance(self.chunk, bytes) or not self.chunk:
            self.stop()  # an end stays readable
        self.arrived.set()
