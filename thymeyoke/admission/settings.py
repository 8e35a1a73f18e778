"""Settings of admission control: request classes, machine, dependency, clients and tenants."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple


class Idempotency(Enum):
    """Whether a request of a class may run more than once."""

    IDEMPOTENT = "retryable"
    WITH_KEY = "keyed"  # a retry carries the same idempotency key and must not run again within its window
    NOT_IDEMPOTENT = "non-retryable"


class DependencyKind(Enum):
    """The kind of dependency that requests call."""

    SHARED = "shared"  # one instance for all app servers
    TIER = "tier"  # a separate fleet, which sheds load by itself
    NONE = "nothing"


class SignalKind(Enum):
    """How clients interpret the backpressure value."""

    FLOOR = "floor"  # the lowest priority that they should still send
    ALLOWANCE = "allowance"  # requests that one client may have in flight
    WEIGHT = "weight"  # this server's weight in the clients' load balancing
    NONE = "nothing"


class StopEffect(Enum):
    """What happens to a run that is stopped."""

    PAUSE = "pause"  # it keeps its progress and its memory
    DISCARD = "drop"  # it returns to the queue and its work is lost
    NONE = "nothing"  # runs cannot be stopped


class RequestClass(NamedTuple):
    """One class of requests; times in seconds."""

    latency_objective: float  # counted from the client's first attempt; later answers are worth less
    client_timeout: float  # after which the client abandons the request
    idempotency: Idempotency
    priority_weight: float
    late_value_share: float  # of the priority weight: value of an answer after the objective
    degraded_value_share: float  # of the priority weight: value of an answer without its dependency call
    calls_dependency: bool
    idempotency_window: float  # for WITH_KEY: retries may arrive this long after the request
    objective_stretch: float  # the objective is extended by this multiple of the request's work hint


class Machine(NamedTuple):
    """The machine that runs the requests."""

    cores: float
    memory: float  # kilobytes
    running_memory_factor: float  # memory of a running request relative to a queued one
    retained_key_size: float  # kilobytes
    tick: float  # shortest time between two batches of events, in seconds
    stop_effect: StopEffect
    gauges: tuple[str, ...]  # names of the gauges that are read at each timer, in order


class OverloadLimits(NamedTuple):
    """The highest concurrency that the machine survives; times in seconds."""

    max_concurrency: float  # running requests for each core of a warm server
    averaging_span: float  # the concurrency is averaged over this time
    starts_cold: bool
    cold_speed_share: float  # lowest initial speed of a cold server, as a share of its full speed
    warm_up_timeout: float  # after which the server is warm at the latest


class ServiceTerms(NamedTuple):
    """Guarantees of an app server towards its clients; times in seconds."""

    answer_slack: float  # by which an answer may miss its deadline
    drain_grace: float  # for which requests are still admitted after the shutdown notice


class DependencySettings(NamedTuple):
    """The dependency that requests call; times in seconds."""

    kind: DependencyKind
    fair_concurrency: float  # this server's share of the calls that the dependency survives on average
    averaging_span: float  # the number of calls is averaged over this time
    abandoned_call_span: float  # for which an abandoned call occupies the dependency at most


class ClientSettings(NamedTuple):
    """The clients, which are routers or other services; times in seconds."""

    client_count: float
    signal: SignalKind
    signal_lifetime: float  # for which a client applies a backpressure value
    max_retry_after: float  # longest Retry-After that clients follow; 0 if they follow none
    marks_retries: bool
    idle_timeout: float  # after which clients close idle connections themselves
    result_freshness: float  # for which the result of a read may answer other requests for its subject
    list_follows_health: bool  # the endpoint list removes servers that report themselves unhealthy


class TenantSettings(NamedTuple):
    """One tenant."""

    share: float
    quota: float  # requests a second, for the complete fleet


class AdmissionSettings(NamedTuple):
    """All settings of an `AdmissionController`."""

    seed: int
    request_classes: tuple[RequestClass, ...]
    machine: Machine
    overload: OverloadLimits
    terms: ServiceTerms
    dependency: DependencySettings
    clients: ClientSettings
    tenants: tuple[TenantSettings, ...]  # empty if requests name no tenant

    @property
    def longest_client_timeout(self) -> float:
        """The longest client timeout of all request classes."""
        return max(request_class.client_timeout for request_class in self.request_classes)
