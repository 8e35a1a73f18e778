"""Starts the program with its ways out led through links, and with an end of its own.

    python -O passthrough.py ROOT TABLE SECONDS AHEAD ARGUMENTS...

ROOT holds the package `thymeyoke`; TABLE is a JSON object of "IP:PORT" and the port on 127.0.0.1 that a
connect there is led to; the process's clock is so many seconds AHEAD; ARGUMENTS are the program's. It ends
after SECONDS whatever it does, and with the process that started it. Nothing of the program is changed: it
connects and reads its clock as ever.
"""

from __future__ import annotations

import contextlib
import ctypes
import json
import runpy
import signal
import socket
import sys
import time
from typing import Any

PR_SET_PDEATHSIG = 1


def lead(table: dict[str, int]) -> None:
    """Connects of this process, by way of the table."""

    def led(address: Any) -> Any:
        if not isinstance(address, tuple):
            return address
        port = table.get(f"{address[0]}:{address[1]}")
        return address if port is None else ("127.0.0.1", port)

    for name in ("connect", "connect_ex"):
        plain = getattr(socket.socket, name)
        setattr(socket.socket, name, lambda own, address, plain=plain: plain(own, led(address)))


def main() -> None:
    root, table, seconds, ahead, *arguments = sys.argv[1:]
    with contextlib.suppress(OSError, AttributeError):  # not on this system: then the alarm alone
        ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)
    signal.alarm(int(seconds))
    lead(json.loads(table))
    if float(ahead):
        right = time.time
        time.time = lambda: right() + float(ahead)
    sys.path[0] = root
    sys.argv = ["thymeyoke", *arguments]
    runpy.run_module("thymeyoke", run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main()
