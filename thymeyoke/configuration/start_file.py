"""The platform's start file, read into typed values for an app server and its admission control.

`read_start_file` reads a complete file; `read_admission_settings` reads the settings, which the simulator
passes as well. Unknown keys are ignored. The file's spellings appear only here; all durations are converted
to seconds.
"""

from __future__ import annotations

import resource
from math import inf
from pathlib import Path
from typing import Any, NamedTuple

import orjson

from thymeyoke.admission.settings import (
    AdmissionSettings,
    ClientSettings,
    DependencyKind,
    DependencySettings,
    Idempotency,
    Machine,
    OverloadLimits,
    RequestClass,
    ServiceTerms,
    SignalKind,
    StopEffect,
    TenantSettings,
)
from thymeyoke.configuration.fields import FieldReader, StartFileError

SECONDS_PER_MICROSECOND = 1e-6
BYTES_PER_MEGABYTE = 1 << 20
MILLISECONDS_PER_SECOND = 1000
IDEMPOTENCY_BY_EFFECT = {
    "retryable": Idempotency.IDEMPOTENT,
    "dedup": Idempotency.WITH_KEY,
    "fragile": Idempotency.NOT_IDEMPOTENT,
}
DEPENDENCY_KINDS = {
    "one_for_all": DependencyKind.SHARED,
    "tier": DependencyKind.TIER,
    "silent": DependencyKind.NONE,
}
SIGNAL_KINDS = {
    "floor": SignalKind.FLOOR,
    "allowance": SignalKind.ALLOWANCE,
    "weight": SignalKind.WEIGHT,
    "silent": SignalKind.NONE,
}
STOP_EFFECTS = {"freeze": StopEffect.PAUSE, "discard": StopEffect.DISCARD, "silent": StopEffect.NONE}
GAUGE_NAMES = {"cpu_busy": "busy", "runnable": "runnable", "mem_used": "memory", "sockets": "connections"}
HIGHEST_PORT = 65535
DEFAULT_MAX_DESCRIPTORS = 1024  # if no limit is given
DEFAULT_IDLE_TIMEOUT_US = 3_600_000_000  # if it is unknown when clients close idle connections


class Address(NamedTuple):
    """A host name or IP address, and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


class RequestNames(NamedTuple):
    """Indexes of request classes and tenants by their names in requests."""

    request_classes: dict[str, int]
    tenants: dict[str, int]


class ServerSettings(NamedTuple):
    """Addresses and resource limits of one app server."""

    name: str
    listen: Address
    processor: Address
    dependency: Address | None  # None if requests call no dependency
    endpoint_registry: Address
    stop_timeout: float  # seconds from the shutdown notice until the process is killed
    max_descriptors: int
    memory_limit: float  # bytes; infinite if the start file has no limit


class StartFile(NamedTuple):
    """The contents of a start file."""

    server: ServerSettings
    request_names: RequestNames
    admission: AdmissionSettings


def read_start_file(path: Path) -> StartFile:
    """Read a start file; raises `StartFileError`, which names the file, the field and the expected value."""
    try:
        document = orjson.loads(path.read_bytes())
        profile = FieldReader(document).section("settings").value
        return StartFile(
            read_server_settings(document),
            read_request_names(profile),
            read_admission_settings(read_seed(document), profile),
        )
    except StartFileError as error:
        raise StartFileError(f"start file {path} {error}") from None
    except OSError as error:
        raise StartFileError(f"start file {path} cannot be read: {error.strerror}") from None
    except orjson.JSONDecodeError as error:
        raise StartFileError(f"start file {path} is not JSON: {error}") from None


def read_server_settings(document: dict[str, Any]) -> ServerSettings:
    """Read the addresses and resource limits of the server."""
    fields = FieldReader(document)
    family = fields.section("settings").section("family_info")
    limits = fields.section("limits", optional=True)
    kind = family.one_of("below", DEPENDENCY_KINDS, "silent")
    has_dependency = bool(document.get("db")) or kind is not DependencyKind.NONE
    return ServerSettings(
        name=fields.text("name"),
        listen=read_address(fields, "listen", least_port=0),  # 0: any free port
        processor=read_address(fields, "processor"),
        dependency=read_address(fields, "db") if has_dependency else None,
        endpoint_registry=read_address(fields, "naming"),
        stop_timeout=fields.number("stop_ms") / MILLISECONDS_PER_SECOND,
        max_descriptors=int(limits.number("sockets", _available_descriptors(), least=1)),
        memory_limit=limits.number("memory_mb", inf, above=0) * BYTES_PER_MEGABYTE,
    )


def read_address(fields: FieldReader, name: str, least_port: int = 1) -> Address:
    """Read HOST:PORT. The port is checked here, as otherwise each connect would fail with an invalid one."""
    host, _, port = fields.text(name).rpartition(":")
    host = host.removeprefix("[").removesuffix("]")
    is_number = port.isascii() and port.isdigit() and len(port) <= len(str(HIGHEST_PORT))
    if not host or not is_number or not least_port <= int(port) <= HIGHEST_PORT:
        raise fields.error(name, f"HOST:PORT with a port from {least_port} to {HIGHEST_PORT}")
    return Address(host, int(port))


def read_request_names(profile: dict[str, Any]) -> RequestNames:
    """Read the names of request classes and tenants, with their indexes."""
    root = FieldReader(profile, "settings")
    return RequestNames(
        {row.text("name"): index for index, row in enumerate(root.objects("request_classes"))},
        {row.text("name"): index for index, row in enumerate(root.objects("tenants"))},
    )


def read_seed(document: dict[str, Any]) -> int:
    """Read the seed of the server's random numbers."""
    fields = FieldReader(document)
    try:
        return int(fields.text("seed"), 16)
    except ValueError:
        raise fields.error("seed", "a hexadecimal number as a text") from None


def read_admission_settings(seed: int, profile: dict[str, Any]) -> AdmissionSettings:
    """Read the settings of admission control from the object `settings` of a start file or the simulator."""
    root = FieldReader(profile, "settings")
    family, contract = root.section("family_info"), root.section("contract")
    return AdmissionSettings(
        seed=seed,
        request_classes=read_request_classes(profile),
        machine=_read_machine(root, family),
        overload=_read_overload_limits(family, contract),
        terms=ServiceTerms(
            answer_slack=contract.number("answer_slack_us") * SECONDS_PER_MICROSECOND,
            drain_grace=contract.number("drain_grace_us") * SECONDS_PER_MICROSECOND,
        ),
        dependency=_read_dependency(family),
        clients=_read_clients(root, family),
        tenants=tuple(
            TenantSettings(row.number("share", 0), row.number("quota_per_s", 0))
            for row in root.objects("tenants")
        ),
    )


def read_request_classes(profile: dict[str, Any]) -> tuple[RequestClass, ...]:
    """Read all request classes; there must be at least one."""
    root = FieldReader(profile, "settings")
    family = root.section("family_info", optional=True)
    rows = root.objects("request_classes")
    if not rows:
        raise root.error("request_classes", "a list with at least one class")
    return tuple(_read_request_class(row, family, index) for index, row in enumerate(rows))


def _read_request_class(fields: FieldReader, family: FieldReader, index: int) -> RequestClass:
    deadline = fields.number("deadline_us", above=0)
    idempotency = fields.one_of("effect", IDEMPOTENCY_BY_EFFECT)
    # The default is not 0, as a retry within the client's timeout would then run again.
    default_window = deadline if idempotency is Idempotency.WITH_KEY else 0
    window = fields.number("memory_span_us", default_window)
    return RequestClass(
        latency_objective=fields.number("aim_us", above=0) * SECONDS_PER_MICROSECOND,
        client_timeout=deadline * SECONDS_PER_MICROSECOND,
        idempotency=idempotency,
        priority_weight=fields.number("worth", 0),
        late_value_share=fields.number("late_worth", 0),
        degraded_value_share=family.entry("worth_without", index).number(str(index), 0),
        calls_dependency=family.entry("class_calls", index).flag(str(index)),
        idempotency_window=window * SECONDS_PER_MICROSECOND,
        objective_stretch=fields.number("aim_stretch", 0),
    )


def _read_machine(root: FieldReader, family: FieldReader) -> Machine:
    return Machine(
        cores=family.number("cpus", above=0),
        memory=family.number("memory_kb", above=0),
        running_memory_factor=family.number("run_factor", above=0),
        retained_key_size=family.number("kb_per_key", 0),
        tick=root.number("tick_us", 0) * SECONDS_PER_MICROSECOND,
        stop_effect=family.one_of("halt", STOP_EFFECTS, "silent"),
        gauges=tuple(GAUGE_NAMES.get(name, name) for name in map(str, family.entries("gauges"))),
    )


def _read_overload_limits(family: FieldReader, contract: FieldReader) -> OverloadLimits:
    return OverloadLimits(
        max_concurrency=contract.number("fall_multiple", least=1),
        averaging_span=contract.number("fall_us") * SECONDS_PER_MICROSECOND,
        starts_cold=family.flag("cold"),
        # The default is 0, as a cold server that is taken for a fast one would fail under the load.
        cold_speed_share=contract.number("cold_share", 0),
        warm_up_timeout=contract.number("cold_us", 0) * SECONDS_PER_MICROSECOND,
    )


def _read_dependency(family: FieldReader) -> DependencySettings:
    kind = family.one_of("below", DEPENDENCY_KINDS, "silent")
    fair_concurrency = family.number("fair_calls", 0)
    if kind is DependencyKind.SHARED and not fair_concurrency:
        # A missing share must not count as 0, which would allow no calls at all: as with a tier, only the
        # answers show how many calls the dependency accepts.
        kind = DependencyKind.TIER
    return DependencySettings(
        kind=kind,
        fair_concurrency=fair_concurrency,
        averaging_span=family.number("calls_over_us", 0) * SECONDS_PER_MICROSECOND,
        abandoned_call_span=family.number("linger_us", 0) * SECONDS_PER_MICROSECOND,
    )


def _read_clients(root: FieldReader, family: FieldReader) -> ClientSettings:
    caps = root.section("caps", optional=True)
    max_retry_after = caps.number("max_retry_after_us", 0) * SECONDS_PER_MICROSECOND
    return ClientSettings(
        client_count=family.number("callers", 0),
        signal=family.one_of("signal", SIGNAL_KINDS, "silent"),
        signal_lifetime=family.number("heeded_us", 0) * SECONDS_PER_MICROSECOND,
        max_retry_after=max_retry_after if caps.flag("retry_after") else 0.0,
        marks_retries=root.section("clients", optional=True).flag("marks_retry"),
        idle_timeout=(family.number("idle_us", 0) or DEFAULT_IDLE_TIMEOUT_US) * SECONDS_PER_MICROSECOND,
        result_freshness=family.number("fresh_for_us", 0) * SECONDS_PER_MICROSECOND,
        list_follows_health=family.flag("list_follows"),
    )


def _available_descriptors() -> int:
    """The system's limit of file descriptors for this process, at most the default."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft == resource.RLIM_INFINITY:
        return DEFAULT_MAX_DESCRIPTORS
    return min(soft, DEFAULT_MAX_DESCRIPTORS)
