"""Blocks signals while a process cannot handle them.

By default SIGHUP or SIGTERM would kill a process that is still importing or reading its files, and one that
is about to exit would end with a signal's exit status. Signals are therefore blocked from the first line on
until their handlers are installed, and again after these are removed.
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
    """Unix time at which signals were first blocked, at the start of the process; None if they were not."""
    return _blocked_since


def is_shutdown_pending() -> bool:
    """Whether a blocked shutdown signal is pending."""
    return bool(SHUTDOWN_SIGNALS & signal.sigpending())


def unblock() -> float | None:
    """Unblock signals.

    If a shutdown signal was pending, return the earliest time at which it may have arrived: a drain grace
    counted from now would be too long.
    """
    was_pending = is_shutdown_pending()
    signal.pthread_sigmask(signal.SIG_UNBLOCK, SIGNALS)
    return _blocked_since if was_pending else None


def reblock() -> None:
    """Block signals for the rest of the process, if they were blocked at its start."""
    if _blocked_since is not None:
        block()
