"""The one clock of a process: Unix seconds that never step back."""

from __future__ import annotations

from time import time

_latest = 0.0


def clock() -> float:
    """The present moment; while the system's clock is set back, the latest one that was returned."""
    global _latest
    _latest = max(_latest, time())
    return _latest
