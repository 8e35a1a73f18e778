"""The one clock of a server: Unix seconds that never step back."""

from __future__ import annotations

from time import time

_latest = 0.0


def clock() -> float:
    global _latest
    _latest = max(_latest, time())
    return _latest
