"""Codec of the simulator's protocol: converts its events and actions to and from those of admission control.

Times on the wire are integers in microseconds.
"""

from __future__ import annotations

from collections.abc import Callable
from math import ceil
from typing import Any

from thymeyoke.admission import actions
from thymeyoke.admission.controller import AdmissionController
from thymeyoke.admission.events import Outcome, Request
from thymeyoke.configuration.start_file import SECONDS_PER_MICROSECOND

OUTCOMES = {
    "pass": Outcome.OK,
    "fault": Outcome.ERROR,
    "no_room": Outcome.REJECTED,
    "too_slow": Outcome.TIMEOUT,
    "no_route": Outcome.UNREACHABLE,
    "cut": Outcome.CONNECTION_LOST,
    "undone": Outcome.STOPPED,
    "stale_send": Outcome.NOT_STARTED,
}
HAS_WORK_HINT, IS_RETRY, IS_WRITE = 1, 2, 4  # bits of a request's `state_bits`
ORDER_LENGTH = 14  # name, instance and twelve values
ROUNDING_MICROSECONDS = 1e-3  # tolerance: sums of floats may slightly exceed an integer

Row = list[Any]


def to_microseconds(seconds: float) -> int:
    """Convert seconds to microseconds, rounded up."""
    return ceil(seconds * 1e6 - ROUNDING_MICROSECONDS)


def decode_request(row: Row) -> Request:
    """Decode an `Order` line; values missing at its end count as null."""
    if len(row) < ORDER_LENGTH:
        row = row + [None] * (ORDER_LENGTH - len(row))
    _, _, id, lane, realm, size, subject, bits, original, hint, precedence, time_left, sender, unread = row[
        :ORDER_LENGTH
    ]
    bits = bits or 0
    return Request(
        id=id,
        class_index=lane or 0,
        tenant=realm or 0,
        size=size or 0.0,
        subject=subject,
        work_hint=(hint or 0) * SECONDS_PER_MICROSECOND if bits & HAS_WORK_HINT else 0.0,
        is_retry=bool(bits & IS_RETRY),
        is_write=bool(bits & IS_WRITE),
        original_id=original or None,
        priority=precedence or 0.0,
        time_left=(time_left or 0) * SECONDS_PER_MICROSECOND,
        client=sender or 0,
        queueing_delay=(unread or 0) * SECONDS_PER_MICROSECOND,
    )


def apply_event(controller: AdmissionController, now: float, row: Row) -> None:
    """Report one event line to its instance's controller."""
    EVENTS[row[0]](controller, now, row)


def encode_action(instance: int, action: actions.Action) -> Row:
    """Encode an action as a line of the protocol."""
    return ACTIONS[type(action)](instance, action)


def _call_ended(controller: AdmissionController, now: float, row: Row) -> None:
    took = (row[3] or 0) * SECONDS_PER_MICROSECOND
    controller.call_ended(now, row[2], OUTCOMES[row[4]], took)


def _timer_expired(controller: AdmissionController, now: float, row: Row) -> None:
    gauges = row[3] if len(row) > 3 else None
    controller.timer_expired(now, row[2], gauges or ())


def _shutdown_announced(controller: AdmissionController, now: float, row: Row) -> None:
    controller.shutdown_announced(now, (row[2] or 0) * SECONDS_PER_MICROSECOND)


EVENTS: dict[str, Callable[[AdmissionController, float, Row], None]] = {
    "Order": lambda controller, now, row: controller.submit(now, decode_request(row)),
    "RunOver": lambda controller, now, row: controller.run_ended(now, row[2], OUTCOMES[row[3]]),
    "Blocked": lambda controller, now, row: controller.waits_for_dependency(now, row[2]),
    "Called": _call_ended,
    "Aborted": lambda controller, now, row: controller.client_gone(now, row[2]),
    "Wakeup": _timer_expired,
    "TerminateSoon": _shutdown_announced,
}
ACTIONS: dict[type, Callable[[int, Any], Row]] = {
    actions.Run: lambda i, action: ["Begin", i, action.id],
    actions.Reject: lambda i, action: [
        "SayNo",
        i,
        action.id,
        action.is_terminal,
        to_microseconds(action.retry_after),
    ],
    actions.Fail: lambda i, action: ["FinishError", i, action.id],
    actions.Stop: lambda i, action: ["Suspend", i, action.id],
    actions.ReuseResult: lambda i, action: ["Echo", i, action.id],
    actions.CallDependency: lambda i, action: ["CallDep", i, action.id, to_microseconds(action.deadline)],
    actions.ContinueDegraded: lambda i, action: ["GoOn", i, action.id],
    actions.RetainKey: lambda i, action: ["Retain", i, action.id, to_microseconds(action.span)],
    actions.ReleaseKey: lambda i, action: ["DropKey", i, action.id],
    actions.PublishSignal: lambda i, action: ["Say", i, action.value],
    actions.ReportHealth: lambda i, action: ["Fitness", i, action.from_store, action.is_healthy],
    actions.SetIdleTimeout: lambda i, action: ["TrimAfter", i, to_microseconds(action.span)],
    actions.SetTimer: lambda i, action: ["WakeMe", i, action.mark, to_microseconds(action.span)],
    actions.LogNote: lambda i, action: ["Remark", i, action.text],
}
