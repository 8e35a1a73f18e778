"""What must hold: asserted in debug, counted and logged under `python -O`."""

from __future__ import annotations

import logging
from typing import Any

from thymeyoke.runtime import logs


def check_invariant(condition: bool, name: str, **fields: Any) -> bool:
    """Return the condition, for those who can carry on either way; AssertionError in debug."""
    if not condition:
        logs.counters[f"invariants_violated_{name}"] += 1
        logs.log_event(logging.ERROR, "invariant_violated", invariant=name, **fields)
    assert condition, f"{name}: {fields}"
    return condition
