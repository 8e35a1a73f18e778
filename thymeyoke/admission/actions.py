"""Outputs of admission control: what the host has to do. Actions refer to requests by id."""

from __future__ import annotations

from typing import Any, NamedTuple


class Run(NamedTuple):
    """Start a queued request, or resume a paused one."""

    id: Any


class Reject(NamedTuple):
    """Final answer: the request was rejected and never ran."""

    id: Any
    is_terminal: bool  # other servers would reject it as well
    retry_after: float  # seconds; 0 for no advice


class Fail(NamedTuple):
    """Final answer: an error; the request may or may not have run."""

    id: Any


class Stop(NamedTuple):
    """Stop a run."""

    id: Any


class ReuseResult(NamedTuple):
    """Answer a request with the result of the request that it repeats."""

    id: Any


class CallDependency(NamedTuple):
    """Send the dependency call that a request waits for; abandon it at `deadline` (clock time, seconds)."""

    id: Any
    deadline: float


class ContinueDegraded(NamedTuple):
    """Continue a run without its dependency call; its answer is degraded."""

    id: Any


class RetainKey(NamedTuple):
    """Retain a request's idempotency key for `span` seconds from now."""

    id: Any
    span: float


class ReleaseKey(NamedTuple):
    """Release a retained idempotency key."""

    id: Any


class PublishSignal(NamedTuple):
    """Send this backpressure value with every answer from now on."""

    value: float


class ReportHealth(NamedTuple):
    """Report this state to health checks from now on."""

    from_store: bool  # answer from this value alone, instead of doing work for each check
    is_healthy: bool


class SetIdleTimeout(NamedTuple):
    """Close client connections that have been idle for `span` seconds."""

    span: float


class SetTimer(NamedTuple):
    """Call `timer_expired` with this mark after `span` seconds."""

    mark: int
    span: float


class LogNote(NamedTuple):
    """Log a line."""

    text: str


Action = (
    Run | Reject | Fail | Stop | ReuseResult | CallDependency | ContinueDegraded | RetainKey | ReleaseKey
    | PublishSignal | ReportHealth | SetIdleTimeout | SetTimer | LogNote
)  # fmt: skip
