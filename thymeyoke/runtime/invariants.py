"""What must hold: asserted in debug, counted and logged under `python -O`."""

from __future__ import annotations

import logging
from typing import Any

from thymeyoke.runtime import logs


def holds(true: bool, what: str, **pairs: Any) -> bool:
    """Hands back whether it holds, for those who can carry on either way."""
    if not true:
        logs.counts["broken_" + what] += 1
        logs.say(logging.ERROR, "broken", invariant=what, **pairs)
    assert true, f"{what}: {pairs}"
    return true
