"""What must hold: asserted in debug, counted and logged under `python -O`."""

from __future__ import annotations

import logging
from typing import Any

from thymeyoke.net import log


def holds(true: bool, what: str, **pairs: Any) -> bool:
    """Hands back whether it holds, for those who can carry on either way."""
    if not true:
        log.counts["broken_" + what] += 1
        log.say(logging.ERROR, "broken", invariant=what, **pairs)
    assert true, f"{what}: {pairs}"
    return true
