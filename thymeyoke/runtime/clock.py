"""The clock of a process: Unix time in seconds that never decreases."""

from __future__ import annotations

from time import time

_latest = 0.0


def clock() -> float:
    """The current time; constant while the system's clock is set back."""
    global _latest
    _latest = max(_latest, time())
    return _latest
