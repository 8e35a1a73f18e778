"""Signals that come before a server can hear them.

By itself SIGHUP or SIGTERM ends a process that still imports or reads its start file: a server that failed to
start, or left without a word; one that has left ends, on its way out, with a signal's code. Held back from
the first line on, signals wait until their handlers stand, and wait for ever once these are gone.
"""

from __future__ import annotations

import signal
from time import time

SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
NOTICES = frozenset((signal.SIGTERM, signal.SIGINT))  # to leave

_since: float | None = None  # from when on they are held


def hold() -> None:
    global _since
    _since = time()
    signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)


def since() -> float | None:
    """The moment of the process's first line, in Unix seconds, where signals are held."""
    return _since


def noticed() -> bool:
    """Whether a notice to leave waits."""
    return bool(NOTICES & signal.sigpending())


def let_go() -> float | None:
    """Let them come. Where a notice to leave waited, the earliest moment at which it can have come: when it
    did is told nowhere, and a grace counted from now would be too long."""
    waited = noticed()
    signal.pthread_sigmask(signal.SIG_UNBLOCK, SIGNALS)
    return _since if waited else None


def hold_again() -> None:
    """For the rest of a process that held them before."""
    if _since is not None:
        hold()
