"""Signals that come before a process can handle them.

By itself SIGHUP or SIGTERM ends a process that still imports or reads its files, and one that has ended its
work would exit with a signal's code. Blocked from the first line on, signals wait until their handlers are
installed, and for ever once these are gone.
"""

from __future__ import annotations

import signal
from time import time

SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
SHUTDOWN_SIGNALS = frozenset((signal.SIGTERM, signal.SIGINT))

_blocked_since: float | None = None


def block() -> None:
    """Block signals from now on."""
    global _blocked_since
    _blocked_since = time()
    signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)


def blocked_since() -> float | None:
    """The moment of the process's first line, in Unix seconds, where signals are blocked."""
    return _blocked_since


def is_shutdown_pending() -> bool:
    """Whether a shutdown signal waits."""
    return bool(SHUTDOWN_SIGNALS & signal.sigpending())


def unblock() -> float | None:
    """Let signals come.

    Where a shutdown signal waited, return the earliest moment at which it can have come: when it did is
    unknown, and a grace counted from now would be too long.
    """
    was_pending = is_shutdown_pending()
    signal.pthread_sigmask(signal.SIG_UNBLOCK, SIGNALS)
    return _blocked_since if was_pending else None


def reblock() -> None:
    """Block signals for the rest of a process that blocked them before."""
    if _blocked_since is not None:
        block()
