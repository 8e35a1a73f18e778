"""The wire's words and units against the port's. Nothing is decided here."""

from __future__ import annotations

from collections.abc import Callable
from math import ceil
from typing import Any

from thymeyoke.admission import actions, settings
from thymeyoke.configuration.start_file import MICRO

OUTCOMES = {
    "pass": settings.Outcome.OK,
    "fault": settings.Outcome.ERROR,
    "no_room": settings.Outcome.FULL,
    "too_slow": settings.Outcome.TIMEOUT,
    "no_route": settings.Outcome.UNREACHED,
    "cut": settings.Outcome.CUT,
    "undone": settings.Outcome.STOPPED,
    "stale_send": settings.Outcome.MOOT,
}
HINTED, FURTHER, WRITE = 1, 2, 4  # the bits of an op's `state_bits`
ORDER_LENGTH = 14  # name, instance and twelve values


def micros(seconds: float) -> int:
    return ceil(seconds * 1e6 - 1e-3)


def op(row: list[Any]) -> settings.Op:
    """An `Order` line as an op; values that are missing at its end are absent."""
    if len(row) < ORDER_LENGTH:
        row = row + [None] * (ORDER_LENGTH - len(row))
    bits = row[7] or 0
    return settings.Op(
        row[2],
        row[3] or 0,
        row[4] or 0,
        row[5] or 0.0,
        row[6],
        (row[9] or 0) * MICRO if bits & HINTED else 0.0,
        bool(bits & FURTHER),
        bool(bits & WRITE),
        row[8] or None,
        row[10] or 0.0,
        (row[11] or 0) * MICRO,
        row[12] or 0,
        (row[13] or 0) * MICRO,
    )


def event(yoke: Any, now: float, row: list[Any]) -> None:
    """Hand one event line to the instance that it is for."""
    EVENTS[row[0]](yoke, now, row)


EVENTS: dict[str, Callable[[Any, float, list[Any]], None]] = {
    "Order": lambda yoke, now, row: yoke.take(now, op(row)),
    "RunOver": lambda yoke, now, row: yoke.ended(now, row[2], OUTCOMES[row[3]]),
    "Blocked": lambda yoke, now, row: yoke.blocked(now, row[2]),
    "Called": lambda yoke, now, row: yoke.called(now, row[2], OUTCOMES[row[4]], (row[3] or 0) * MICRO),
    "Aborted": lambda yoke, now, row: yoke.gone(now, row[2]),
    "Wakeup": lambda yoke, now, row: yoke.woke(now, row[2], (row[3] if len(row) > 3 else None) or ()),
    "TerminateSoon": lambda yoke, now, row: yoke.leave(now, (row[2] or 0) * MICRO),
}
ACTIONS: dict[type, Callable[[int, Any], list[Any]]] = {
    actions.Run: lambda i, act: ["Begin", i, act.id],
    actions.Nack: lambda i, act: ["SayNo", i, act.id, act.nowhere_else, micros(act.wait)],
    actions.Fail: lambda i, act: ["FinishError", i, act.id],
    actions.Pause: lambda i, act: ["Suspend", i, act.id],
    actions.Reuse: lambda i, act: ["Echo", i, act.id],
    actions.Call: lambda i, act: ["CallDep", i, act.id, micros(act.until)],
    actions.GoOn: lambda i, act: ["GoOn", i, act.id],
    actions.Keep: lambda i, act: ["Retain", i, act.id, micros(act.span)],
    actions.Forget: lambda i, act: ["DropKey", i, act.id],
    actions.Say: lambda i, act: ["Say", i, act.value],
    actions.Health: lambda i, act: ["Fitness", i, act.from_store, act.fit],
    actions.Trim: lambda i, act: ["TrimAfter", i, micros(act.span)],
    actions.Wake: lambda i, act: ["WakeMe", i, act.mark, micros(act.span)],
    actions.Note: lambda i, act: ["Remark", i, act.text],
}
