"""What an `AdmissionController` asks its host to do. An action on a request names it by its id."""

from __future__ import annotations

from typing import Any, NamedTuple


class Run(NamedTuple):
    """Start a queued request, or resume a paused one."""

    id: Any


class Reject(NamedTuple):
    """Final answer: the request was rejected and never ran."""

    id: Any
    is_terminal: bool  # another server would reject it as well
    retry_after: float  # seconds; 0 for no advice


class Fail(NamedTuple):
    """Final answer: an error that promises nothing."""

    id: Any


class Stop(NamedTuple):
    """Stop a run."""

    id: Any


class ReuseResult(NamedTuple):
    """Answer a retry with the result of the request that it repeats."""

    id: Any


class CallDependency(NamedTuple):
    """Make the dependency call that a request waits for; abandon it at `deadline`, a moment of the clock."""

    id: Any
    deadline: float


class ContinueDegraded(NamedTuple):
    """Continue a run without its dependency call; its answer is degraded."""

    id: Any


class RetainKey(NamedTuple):
    """Retain a request's idempotency key, or renew it, for `span` seconds."""

    id: Any
    span: float


class ReleaseKey(NamedTuple):
    """Drop a retained idempotency key."""

    id: Any


class PublishSignal(NamedTuple):
    """Send this backpressure value with every answer from now on."""

    value: float


class ReportHealth(NamedTuple):
    """Answer health checks with this from now on."""

    from_store: bool
    is_healthy: bool


class SetIdleTimeout(NamedTuple):
    """Close connections that were unused for `span` seconds."""

    span: float


class SetTimer(NamedTuple):
    """Report `timer_expired` with this mark after `span` seconds."""

    mark: int
    span: float


class LogNote(NamedTuple):
    """Log a line."""

    text: str


Action = (
    Run | Reject | Fail | Stop | ReuseResult | CallDependency | ContinueDegraded | RetainKey | ReleaseKey
    | PublishSignal | ReportHealth | SetIdleTimeout | SetTimer | LogNote
)  # fmt: skip
