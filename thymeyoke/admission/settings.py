"""Settings of admission control: request classes, the machine and its surroundings."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple


class Idempotency(Enum):
    """Whether a request of a class may run more than once."""

    IDEMPOTENT = "retryable"
    WITH_KEY = "keyed"  # a retry carries the same idempotency key and must not run within the key's window
    NOT_IDEMPOTENT = "non-retryable"


class DependencyKind(Enum):
    """What dependency calls reach."""

    SHARED = "shared"  # one instance for all app servers
    TIER = "tier"  # a fleet of its own, which sheds load by itself
    NONE = "nothing"


class SignalKind(Enum):
    """How clients read the backpressure value that rides on answers."""

    FLOOR = "floor"  # the least priority that is still welcome
    ALLOWANCE = "allowance"  # requests that one client may have open
    WEIGHT = "weight"  # this server's weight in the clients' load balancing
    NONE = "nothing"


class StopEffect(Enum):
    """What stopping a run does to it."""

    PAUSE = "pause"  # it keeps its progress and its memory
    DISCARD = "drop"  # it goes back to the queue and its work is lost
    NONE = "nothing"  # a run cannot be stopped


class RequestClass(NamedTuple):
    """One class of requests."""

    latency_objective: float  # from the client's first attempt; full value up to here
    client_timeout: float  # the client waits no longer
    idempotency: Idempotency
    priority_weight: float
    late_value_share: float  # of the priority weight: what an answer after the objective still earns
    degraded_value_share: float  # of the priority weight: what an answer without its dependency call earns
    calls_dependency: bool
    idempotency_window: float  # with a key: how long after its arrival a retry may come
    objective_stretch: float  # the objective grows by this multiple of the request's own work


class Machine(NamedTuple):
    """The machine that runs requests."""

    cores: float
    memory: float  # kilobytes
    running_memory_factor: float  # a running request takes this many times the memory of a queued one
    retained_key_size: float  # kilobytes
    tick: float  # the shortest span between two batches of events
    stop_effect: StopEffect
    gauges: tuple[str, ...]  # names of the gauges that come with a timer, in their order


class OverloadLimits(NamedTuple):
    """The concurrency that the machine survives."""

    max_concurrency: float  # running requests a core, of a server that is warm
    averaging_span: float  # the mean is taken over this span
    starts_cold: bool
    cold_speed_share: float  # of the full speed: the least that a cold server starts with
    warm_up_timeout: float  # the server is warm after this at the latest


class ServiceTerms(NamedTuple):
    """What an app server owes to its clients."""

    answer_slack: float  # an answer may be late by this much
    drain_grace: float  # requests that arrive this long after the shutdown notice are still admitted


class DependencySettings(NamedTuple):
    """The dependency that requests call."""

    kind: DependencyKind
    fair_concurrency: float  # this server's part of the calls that the dependency survives, on average
    averaging_span: float
    abandoned_call_span: float  # an abandoned call occupies the dependency for up to this


class ClientSettings(NamedTuple):
    """The clients, which are routers or other services."""

    client_count: float
    signal: SignalKind
    signal_lifetime: float  # a client applies a backpressure value for this long
    max_retry_after: float  # the longest Retry-After that clients follow; 0 where none is passed on
    marks_retries: bool
    idle_timeout: float  # clients close connections that were unused for this long
    result_freshness: float  # the result of a read may answer its repeats for this long
    list_follows_health: bool  # the endpoint list drops servers that report themselves unhealthy


class TenantSettings(NamedTuple):
    """One tenant."""

    share: float
    quota: float  # requests a second, over the whole fleet


class AdmissionSettings(NamedTuple):
    """All that an `AdmissionController` is made with."""

    seed: int
    request_classes: tuple[RequestClass, ...]
    machine: Machine
    overload: OverloadLimits
    terms: ServiceTerms
    dependency: DependencySettings
    clients: ClientSettings
    tenants: tuple[TenantSettings, ...]  # empty where requests name no tenant

    @property
    def longest_client_timeout(self) -> float:
        """The longest client timeout of all request classes."""
        return max(request_class.client_timeout for request_class in self.request_classes)
