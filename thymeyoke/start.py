"""What is told at a start, as the port's types: for the drill and for the app server on sockets.

Nothing is decided here. `start` reads the object that both are handed, `station` the rest of a start file.
"""

from __future__ import annotations

from pathlib import Path
from typing import Any, NamedTuple

import orjson

from thymeyoke.port import facts

MICRO = 1e-6
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


class Address(NamedTuple):
    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


class Names(NamedTuple):
    """Ops name their type and tenant; the port counts them from 0."""

    op_types: dict[str, int]
    tenants: dict[str, int]


class Station(NamedTuple):
    """One app server's place: its own address and its peers', and what it may use."""

    name: str
    listen: Address
    processor: Address
    database: Address | None  # none where nothing lies below
    roster: Address
    stop: float  # from the notice to leave until the process is killed
    descriptors: int


class BadStart(Exception):
    """What is told at the start is not enough to serve."""


def address(text: str) -> Address:
    host, _, port = text.rpartition(":")
    return Address(host.strip("[]"), int(port))


def station(told: dict[str, Any]) -> Station:
    limits, below = told.get("limits", {}), BELOW[told["settings"]["family_info"].get("below", "silent")]
    calls = "db" in told or below is not facts.Below.NOTHING
    return Station(
        name=told["name"],
        listen=address(told["listen"]),
        processor=address(told["processor"]),
        database=address(told["db"]) if calls else None,
        roster=address(told["naming"]),
        stop=told["stop_ms"] / 1000,
        descriptors=int(limits.get("sockets", 1024)),
    )


def names(profile: dict[str, Any]) -> Names:
    return Names(
        {row["name"]: at for at, row in enumerate(profile["request_classes"])},
        {row["name"]: at for at, row in enumerate(profile.get("tenants") or [])},
    )


def read(path: Path) -> tuple[Station, Names, dict[str, Any]]:
    """A start file: the station, the names that ops use, and what the decisions are handed."""
    try:
        told = orjson.loads(path.read_bytes())
        given = start(int(told["seed"], 16), told["settings"])
        return station(told), names(told["settings"]), given
    except OSError as error:
        raise BadStart(f"start file {path} cannot be read: {error.strerror}") from None
    except orjson.JSONDecodeError as error:
        raise BadStart(f"start file {path} is not JSON: {error}") from None
    except KeyError as error:
        raise BadStart(f"start file {path} lacks {error}") from None
    except (AttributeError, TypeError, ValueError) as error:
        raise BadStart(f"start file {path} holds a value that cannot be used: {error}") from None
