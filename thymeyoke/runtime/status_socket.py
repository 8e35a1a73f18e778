"""A Unix socket that answers each connection with the process's status as one JSON document.

Unlike a status file it never shows the status of a process that has ended.
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
from thymeyoke.runtime.errors import ThymeyokeError

MAX_QUERIES = 4  # concurrent ones; further connections are closed without an answer
QUERY_TIMEOUT_SECONDS = 1.0
READ_BYTES = 1 << 16
OWNER_ONLY = 0o600


class StatusUnavailableError(ThymeyokeError):
    """No process answers at the status socket."""


def socket_path(configured: str | None, name: str) -> Path:
    """The configured path, or else one with the process's name in the directory for temporary files."""
    return Path(configured) if configured else Path(tempfile.gettempdir()) / f"thymeyoke-{name}.sock"


async def serve_status(path: Path, command: str, status: Callable[[], dict[str, Any]]) -> None:
    """Answer queries until cancelled; `command`: the command that queries, for logs and counters."""
    try:
        with suppress(FileNotFoundError):
            if path.is_socket() and not is_listening(path):
                path.unlink()
        listener = await anyio.create_unix_listener(path, mode=OWNER_ONLY)
    except OSError as error:
        logs.counters[f"{command}_status_sockets_failed"] += 1
        return logs.log_event(logging.ERROR, "status_socket_failed", error, command=command, path=path)
    active = 0

    async def answer(stream: SocketStream) -> None:
        nonlocal active
        active += 1
        try:
            if active <= MAX_QUERIES:
                with (
                    anyio.move_on_after(QUERY_TIMEOUT_SECONDS),
                    suppress(OSError, anyio.BrokenResourceError),
                ):
                    await stream.send(orjson.dumps(status()))
        finally:
            active -= 1
            await anyio.aclose_forcefully(stream)

    try:
        async with listener:
            await listener.serve(answer)
    finally:
        with suppress(OSError):
            os.unlink(path)


def is_listening(path: Path) -> bool:
    """Whether a process may be listening at a path; a killed process leaves its socket file behind."""
    with socket.socket(socket.AF_UNIX) as probe:
        probe.settimeout(QUERY_TIMEOUT_SECONDS)
        try:
            probe.connect(str(path))
        except (ConnectionRefusedError, FileNotFoundError):
            return False
        except OSError:
            return True
    return True


def query_status(path: Path, process_kind: str) -> dict[str, Any]:
    """Query a running process's status; raises `StatusUnavailableError`.

    `process_kind`: what should be listening, for the error message.
    """
    answer = b""
    with socket.socket(socket.AF_UNIX) as client:
        client.settimeout(2 * QUERY_TIMEOUT_SECONDS)
        try:
            client.connect(str(path))
            while data := client.recv(READ_BYTES):
                answer += data
            status: dict[str, Any] = orjson.loads(answer)
            return status
        except (OSError, orjson.JSONDecodeError) as error:
            reason = getattr(error, "strerror", None) or "no complete answer"
            raise StatusUnavailableError(
                f"no {process_kind} answers at {path} ({reason}); name its socket with --control, "
                f"or the service configuration with --service-config"
            ) from None
