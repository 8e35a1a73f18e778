"""The wire's words and units against the port's. Nothing is decided here."""

from __future__ import annotations

from collections.abc import Callable
from math import ceil
from typing import Any

from thymeyoke.port import actions, facts

MICRO = 1e-6
OUTCOMES = {
    "pass": facts.Outcome.OK,
    "fault": facts.Outcome.ERROR,
    "no_room": facts.Outcome.FULL,
    "too_slow": facts.Outcome.TIMEOUT,
    "no_route": facts.Outcome.UNREACHED,
    "cut": facts.Outcome.CUT,
    "undone": facts.Outcome.STOPPED,
    "stale_send": facts.Outcome.MOOT,
}
REPEATS = {
    "retryable": facts.Repeat.RETRYABLE,
    "dedup": facts.Repeat.KEYED,
    "fragile": facts.Repeat.NON_RETRYABLE,
}
BELOW = {"one_for_all": facts.Below.SHARED, "tier": facts.Below.TIER, "silent": facts.Below.NOTHING}
SIGNALS = {
    "floor": facts.Signal.FLOOR,
    "allowance": facts.Signal.ALLOWANCE,
    "weight": facts.Signal.WEIGHT,
    "silent": facts.Signal.NOTHING,
}
HALTS = {"freeze": facts.Halt.PAUSE, "discard": facts.Halt.DROP, "silent": facts.Halt.NOTHING}
GAUGES = {"cpu_busy": "busy", "runnable": "runnable", "mem_used": "memory", "sockets": "connections"}
HINTED, FURTHER, WRITE = 1, 2, 4  # the bits of an op's `state_bits`
ORDER_LENGTH = 14  # name, instance and twelve values


def micros(seconds: float) -> int:
    return ceil(seconds * 1e6 - 1e-3)


def op_types(profile: dict[str, Any]) -> tuple[facts.OpType, ...]:
    family = profile.get("family_info", {})
    calls, without = family.get("class_calls") or [], family.get("worth_without") or []
    return tuple(
        facts.OpType(
            target=row["aim_us"] * MICRO,
            timeout=row["deadline_us"] * MICRO,
            repeat=REPEATS[row["effect"]],
            importance=row.get("worth", 0.0),
            late_share=row.get("late_worth", 0.0),
            poorer_share=without[at] if at < len(without) else 0.0,
            calls=bool(calls[at]) if at < len(calls) else False,
            key_window=row.get("memory_span_us", 0) * MICRO,
            stretch=row.get("aim_stretch") or 0.0,
        )
        for at, row in enumerate(profile["request_classes"])
    )


def start(seed: int, profile: dict[str, Any]) -> dict[str, Any]:
    """What the decisions are handed at a start, by the names that they take."""
    family, contract, caps = profile["family_info"], profile["contract"], profile.get("caps", {})
    return {
        "seed": seed,
        "op_types": op_types(profile),
        "machine": facts.Machine(
            cores=family["cpus"],
            memory=family["memory_kb"],
            run_factor=family["run_factor"],
            key_size=family.get("kb_per_key", 0.0),
            tick=profile.get("tick_us", 0) * MICRO,
            halt=HALTS[family.get("halt", "silent")],
            gauges=tuple(GAUGES.get(name, name) for name in family.get("gauges") or []),
        ),
        "survival": facts.Survival(
            crowd=contract["fall_multiple"],
            crowd_span=contract["fall_us"] * MICRO,
            cold=bool(family.get("cold")),
            cold_share=contract.get("cold_share", 1.0),
            cold_span=contract.get("cold_us", 0) * MICRO,
        ),
        "duty": facts.Duty(contract["answer_slack_us"] * MICRO, contract["drain_grace_us"] * MICRO),
        "dependency": facts.Dependency(
            kind=BELOW[family.get("below", "silent")],
            fair_calls=family.get("fair_calls") or 0.0,
            fair_span=(family.get("calls_over_us") or 0) * MICRO,
            linger=(family.get("linger_us") or 0) * MICRO,
        ),
        "callers": facts.Callers(
            count=family.get("callers") or 0,
            signal=SIGNALS[family.get("signal", "silent")],
            heeded=(family.get("heeded_us") or 0) * MICRO,
            max_wait=(caps.get("max_retry_after_us") or 0) * MICRO if caps.get("retry_after") else 0.0,
            marks_further=bool(profile.get("clients", {}).get("marks_retry")),
            idle=(family.get("idle_us") or 0) * MICRO,
            fresh=(family.get("fresh_for_us") or 0) * MICRO,
            list_follows=bool(family.get("list_follows")),
        ),
        "tenants": tuple(
            facts.Tenant(row.get("share", 0.0), row.get("quota_per_s", 0.0))
            for row in profile.get("tenants") or []
        ),
    }


def op(row: list[Any]) -> facts.Op:
    """An `Order` line as an op; values that are missing at its end are absent."""
    if len(row) < ORDER_LENGTH:
        row = row + [None] * (ORDER_LENGTH - len(row))
    bits = row[7] or 0
    return facts.Op(
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
