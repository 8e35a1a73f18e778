"""What is told at a start, as the port's types: for the drill and for the app server on sockets.

Nothing is decided here. `start` reads the object that both are handed, `station` the rest of a start file.
Keys that are not known are skipped. What is missing or can't be used is a `BadStart` that names the field.
"""

from __future__ import annotations

import resource
from math import inf
from pathlib import Path
from typing import Any, NamedTuple, TypeVar

import orjson

from thymeyoke.admission import settings

MICRO = 1e-6
MEGABYTE = 1 << 20
REPEATS = {
    "retryable": settings.Repeat.RETRYABLE,
    "dedup": settings.Repeat.KEYED,
    "fragile": settings.Repeat.NON_RETRYABLE,
}
BELOW = {"one_for_all": settings.Below.SHARED, "tier": settings.Below.TIER, "silent": settings.Below.NOTHING}
SIGNALS = {
    "floor": settings.Signal.FLOOR,
    "allowance": settings.Signal.ALLOWANCE,
    "weight": settings.Signal.WEIGHT,
    "silent": settings.Signal.NOTHING,
}
HALTS = {"freeze": settings.Halt.PAUSE, "discard": settings.Halt.DROP, "silent": settings.Halt.NOTHING}
GAUGES = {"cpu_busy": "busy", "runnable": "runnable", "mem_used": "memory", "sockets": "connections"}
HIGHEST_PORT = 65535
MOST_DESCRIPTORS = 1024  # where no limit is told
UNUSABLE = "holds a value that cannot be used"
NO_IDLE_CLOSE_US = 3_600_000_000  # an hour: the span of callers who are not said to close idle connections

Meaning = TypeVar("Meaning")


class BadStart(Exception):
    """What is told at the start is not enough to serve."""


class Fields:
    """One object of a start file; `path` leads to it. `null` counts as absent."""

    def __init__(self, value: Any, path: str = "") -> None:
        if not isinstance(value, dict):
            raise BadStart(f"{UNUSABLE}: {path or 'the whole'} must be an object, not {_shown(value)}")
        self.value, self.path = value, path

    def at(self, name: str) -> str:
        return f"{self.path}.{name}" if self.path else name

    def bad(self, name: str, expected: str) -> BadStart:
        found = self.value.get(name)
        if found is None:
            return BadStart(f"lacks '{name}' in {self.path or 'the whole'}; it must be {expected}")
        return BadStart(f"{UNUSABLE}: {self.at(name)} must be {expected}, not {_shown(found)}")

    def number(
        self, name: str, default: float | None = None, *, least: float = 0.0, above: float | None = None
    ) -> float:
        """At least `least`, or more than `above` where that is given. Without a default it must be there."""
        value = self.value.get(name, default)
        value = default if value is None else value
        expected = f"a number of at least {least:g}" if above is None else f"a number above {above:g}"
        if not _is_number(value) or value < least or (above is not None and value <= above):
            raise self.bad(name, expected)
        return value

    def flag(self, name: str) -> bool:
        value = self.value.get(name)
        if value not in (None, False, True):
            raise self.bad(name, "true or false")
        return bool(value)

    def text(self, name: str) -> str:
        value = self.value.get(name)
        if not isinstance(value, str) or not value:
            raise self.bad(name, "a text")
        return value

    def word(self, name: str, words: dict[str, Meaning], default: str | None = None) -> Meaning:
        value = self.value.get(name)
        value = default if value is None else value
        if not isinstance(value, str) or value not in words:
            raise self.bad(name, f"one of {', '.join(words)}")
        return words[value]

    def section(self, name: str, *, optional: bool = False) -> Fields:
        value = self.value.get(name)
        if value is None and not optional:
            raise self.bad(name, "an object")
        return Fields({} if value is None else value, self.at(name))

    def entries(self, name: str) -> list[Any]:
        value = self.value.get(name)
        if value is not None and not isinstance(value, list):
            raise self.bad(name, "a list")
        return value or []

    def rows(self, name: str) -> list[Fields]:
        return [Fields(row, self.at(f"{name}[{at}]")) for at, row in enumerate(self.entries(name))]

    def entry(self, name: str, at: int) -> Fields:
        """One entry of a list that has one for each request class; absent where the list is shorter."""
        entries = self.entries(name)
        return Fields({str(at): entries[at] if at < len(entries) else None}, self.at(name))


def _is_number(value: Any) -> bool:
    return isinstance(value, int | float) and not isinstance(value, bool)


def _shown(value: Any) -> str:
    return repr(value) if len(repr(value)) <= 40 else type(value).__name__


def op_types(profile: dict[str, Any]) -> tuple[settings.OpType, ...]:
    root = Fields(profile, "settings")
    family = root.section("family_info", optional=True)
    rows = root.rows("request_classes")
    if not rows:
        raise root.bad("request_classes", "a list with at least one class")
    return tuple(_op_type(row, family, at) for at, row in enumerate(rows))


def _op_type(row: Fields, family: Fields, at: int) -> settings.OpType:
    deadline = row.number("deadline_us", above=0)
    repeat = row.word("effect", REPEATS)
    # A window that is not told must not be none: a repeat within the client's patience would run again.
    window = row.number("memory_span_us", deadline if repeat is settings.Repeat.KEYED else 0)
    return settings.OpType(
        target=row.number("aim_us", above=0) * MICRO,
        timeout=deadline * MICRO,
        repeat=repeat,
        importance=row.number("worth", 0),
        late_share=row.number("late_worth", 0),
        poorer_share=family.entry("worth_without", at).number(str(at), 0),
        calls=family.entry("class_calls", at).flag(str(at)),
        key_window=window * MICRO,
        stretch=row.number("aim_stretch", 0),
    )


def start(seed: int, profile: dict[str, Any]) -> dict[str, Any]:
    """What the decisions are handed at a start, by the names that they take."""
    root = Fields(profile, "settings")
    family, contract = root.section("family_info"), root.section("contract")
    return {
        "seed": seed,
        "op_types": op_types(profile),
        "machine": settings.Machine(
            cores=family.number("cpus", above=0),
            memory=family.number("memory_kb", above=0),
            run_factor=family.number("run_factor", above=0),
            key_size=family.number("kb_per_key", 0),
            tick=root.number("tick_us", 0) * MICRO,
            halt=family.word("halt", HALTS, "silent"),
            gauges=tuple(GAUGES.get(name, name) for name in map(str, family.entries("gauges"))),
        ),
        "survival": settings.Survival(
            crowd=contract.number("fall_multiple", least=1),
            crowd_span=contract.number("fall_us") * MICRO,
            cold=family.flag("cold"),
            # Where no least speed is told, none is sure: at full speed a cold server would fall.
            cold_share=contract.number("cold_share", 0),
            cold_span=contract.number("cold_us", 0) * MICRO,
        ),
        "duty": settings.Duty(
            contract.number("answer_slack_us") * MICRO, contract.number("drain_grace_us") * MICRO
        ),
        "dependency": _dependency(family),
        "callers": _callers(root, family),
        "tenants": tuple(
            settings.Tenant(row.number("share", 0), row.number("quota_per_s", 0))
            for row in root.rows("tenants")
        ),
    }


def _dependency(family: Fields) -> settings.Dependency:
    kind, fair_calls = family.word("below", BELOW, "silent"), family.number("fair_calls", 0)
    if kind is settings.Below.SHARED and not fair_calls:
        # A part that is not told is not a part of nothing, which would let no call out, ever: as with a tier,
        # the answers alone tell how much what lies below takes.
        kind = settings.Below.TIER
    return settings.Dependency(
        kind=kind,
        fair_calls=fair_calls,
        fair_span=family.number("calls_over_us", 0) * MICRO,
        linger=family.number("linger_us", 0) * MICRO,
    )


def _callers(root: Fields, family: Fields) -> settings.Callers:
    caps = root.section("caps", optional=True)
    longest_wait = caps.number("max_retry_after_us", 0) * MICRO
    return settings.Callers(
        count=family.number("callers", 0),
        signal=family.word("signal", SIGNALS, "silent"),
        heeded=family.number("heeded_us", 0) * MICRO,
        max_wait=longest_wait if caps.flag("retry_after") else 0.0,
        marks_further=root.section("clients", optional=True).flag("marks_retry"),
        # Callers who are not said to close idle connections keep them: none is closed at every look for it.
        idle=(family.number("idle_us", 0) or NO_IDLE_CLOSE_US) * MICRO,
        fresh=family.number("fresh_for_us", 0) * MICRO,
        list_follows=family.flag("list_follows"),
    )


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
    memory: float  # bytes that this process may take; without end where the start file names none


def address(told: Fields, name: str, least_port: int = 1) -> Address:
    """HOST:PORT. A port out of range would be found by the first connect, at every try anew."""
    host, _, port = told.text(name).rpartition(":")
    host = host.removeprefix("[").removesuffix("]")
    sound = host and port.isascii() and port.isdigit() and len(port) <= len(str(HIGHEST_PORT))
    if not sound or not least_port <= int(port) <= HIGHEST_PORT:
        raise told.bad(name, f"HOST:PORT with a port from {least_port} to {HIGHEST_PORT}")
    return Address(host, int(port))


def station(told: dict[str, Any]) -> Station:
    fields = Fields(told)
    family = fields.section("settings").section("family_info")
    limits = fields.section("limits", optional=True)
    calls = bool(told.get("db")) or family.word("below", BELOW, "silent") is not settings.Below.NOTHING
    return Station(
        name=fields.text("name"),
        listen=address(fields, "listen", least_port=0),  # 0: any that is free
        processor=address(fields, "processor"),
        database=address(fields, "db") if calls else None,
        roster=address(fields, "naming"),
        stop=fields.number("stop_ms") / 1000,
        descriptors=int(limits.number("sockets", _descriptors(), least=1)),
        memory=limits.number("memory_mb", inf, above=0) * MEGABYTE,
    )


def _descriptors() -> int:
    """What the system lets this process have."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return MOST_DESCRIPTORS if soft == resource.RLIM_INFINITY else min(soft, MOST_DESCRIPTORS)


def names(profile: dict[str, Any]) -> Names:
    root = Fields(profile, "settings")
    return Names(
        {row.text("name"): at for at, row in enumerate(root.rows("request_classes"))},
        {row.text("name"): at for at, row in enumerate(root.rows("tenants"))},
    )


def seed(told: dict[str, Any]) -> int:
    fields = Fields(told)
    try:
        return int(fields.text("seed"), 16)
    except ValueError:
        raise fields.bad("seed", "a hexadecimal number as a text") from None


def read(path: Path) -> tuple[Station, Names, dict[str, Any]]:
    """A start file: the station, the names that ops use, and what the decisions are handed."""
    try:
        told = orjson.loads(path.read_bytes())
        fields = Fields(told)
        profile = fields.section("settings").value
        return station(told), names(profile), start(seed(told), profile)
    except BadStart as error:
        raise BadStart(f"start file {path} {error}") from None
    except OSError as error:
        raise BadStart(f"start file {path} cannot be read: {error.strerror}") from None
    except orjson.JSONDecodeError as error:
        raise BadStart(f"start file {path} is not JSON: {error}") from None
