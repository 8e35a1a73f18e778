"""What is told to people: a Unix socket that answers each connection with one JSON document and closes.

It goes with the process: a status file would tell of a server that is dead.
"""

from __future__ import annotations

import logging
import os
import socket
import tempfile
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from typing import Any

import anyio
import orjson
from anyio.abc import SocketStream

from thymeyoke.runtime import logs

AT_ONCE = 4  # questions; the next ones are closed unanswered
WITHIN = 1.0  # seconds that one may take


class Unanswered(Exception):
    """Nobody answers there; the text is for people."""


def path(told: str | None, name: str) -> Path:
    """Where the socket is: as told, else by its name in the folder for temporary files."""
    return Path(told) if told else Path(tempfile.gettempdir()) / f"thymeyoke-{name}.sock"


async def serve(where: Path, name: str, status: Callable[[], dict[str, Any]]) -> None:
    """Answer until cancelled. `name`: the command that asks, in what is logged and counted."""
    try:
        with suppress(FileNotFoundError):
            if where.is_socket() and not alive(where):
                where.unlink()
        listener = await anyio.create_unix_listener(where, mode=0o600)
    except OSError as error:
        logs.counts[f"{name}_control_failed"] += 1
        return logs.say(logging.ERROR, f"no socket for {name} show", error, path=where)
    busy = 0

    async def answer(stream: SocketStream) -> None:
        nonlocal busy
        busy += 1
        try:
            if busy <= AT_ONCE:
                with anyio.move_on_after(WITHIN), suppress(OSError, anyio.BrokenResourceError):
                    await stream.send(orjson.dumps(status()))
        finally:
            busy -= 1
            await anyio.aclose_forcefully(stream)

    try:
        async with listener:
            await listener.serve(answer)
    finally:
        with suppress(OSError):
            os.unlink(where)


def alive(where: Path) -> bool:
    """Whether somebody may listen there: a killed process leaves its socket's file behind."""
    with socket.socket(socket.AF_UNIX) as probe:
        probe.settimeout(WITHIN)
        try:
            probe.connect(str(where))
        except (ConnectionRefusedError, FileNotFoundError):
            return False
        except OSError:
            return True
    return True


def ask(where: Path, whom: str) -> dict[str, Any]:
    """The running process's status, or `Unanswered`. `whom`: who should be there, for people."""
    found = b""
    with socket.socket(socket.AF_UNIX) as sock:
        sock.settimeout(2 * WITHIN)
        try:
            sock.connect(str(where))
            while data := sock.recv(1 << 16):
                found += data
            return orjson.loads(found)
        except (OSError, orjson.JSONDecodeError) as error:
            what = getattr(error, "strerror", None) or "no whole answer"
            raise Unanswered(
                f"no {whom} answers at {where} ({what}); name its socket with --control, "
                f"or the operators' file with --orders"
            ) from None
