"""Invariants: asserted in debug mode, counted and logged under `python -O`."""

from __future__ import annotations

import logging
from typing import Any

from thymeyoke.runtime import logs


def check_invariant(condition: bool, name: str, **fields: Any) -> bool:
    """Check an invariant and return the condition; raises AssertionError in debug mode."""
    if not condition:
        logs.counters[f"invariants_violated_{name}"] += 1
        logs.log_event(logging.ERROR, "invariant_violated", invariant=name, **fields)
    assert condition, f"{name}: {fields}"
    return condition
