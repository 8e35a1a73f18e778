"""Processes that an example starts: whether one of them listens, and its end."""

from __future__ import annotations

import socket
import subprocess
import time
from collections.abc import Sequence
from contextlib import suppress

from thymeyoke.configuration import start_file


def reached(where: start_file.Address, children: Sequence[subprocess.Popen[bytes]], ends: float) -> bool:
    """Whether somebody listens there by `ends`, a moment of `time.monotonic()`; no longer once one of the
    children has ended."""
    while time.monotonic() < ends and all(child.poll() is None for child in children):
        with suppress(OSError), socket.create_connection(where, 1.0):
            return True
        time.sleep(0.1)
    return False


def end(child: subprocess.Popen[bytes]) -> None:
    """Ask it to leave; after five seconds it is ended."""
    child.terminate()
    try:
        child.wait(5)
    except subprocess.TimeoutExpired:
        child.kill()
        child.wait()
