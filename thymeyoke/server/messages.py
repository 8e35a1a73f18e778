"""The messages between the actors of an app server, independent of any wire protocol.

Peers post to the dispatcher and wait while its mailbox is full; the dispatcher never waits when it sends to
them.
"""

from __future__ import annotations

from typing import NamedTuple, Protocol

from thymeyoke.admission.events import Outcome
from thymeyoke.configuration.start_file import Address
from thymeyoke.runtime.extensions import Answer, StatusQuery

UNKNOWN = 0.0  # stands for a client timeout or work hint that the client did not send


class RequestHeader(NamedTuple):
    """The decoded fields of a request."""

    id: str
    class_index: int
    tenant: int
    client: int
    received_at: float  # when it reached this machine
    client_timeout: float  # seconds from `received_at` until the client gives up; may be UNKNOWN
    size: float  # kilobytes
    priority: float
    idempotency_key: str | None  # the same for all attempts of a request
    subject: str | None
    body: bytes
    work_hint: float = UNKNOWN  # expected work in seconds of a standard core
    is_retry: bool = False  # marked as a retry or a hedged request


# To a client.


class HealthAnswer(NamedTuple):
    """The answer to a health check."""

    number: int
    is_healthy: bool
    backpressure: float | None


class ShutdownNotice(NamedTuple):
    """Tells a client to send no new requests: the server shuts down or closes an idle connection."""


ClientMessage = Answer | HealthAnswer | ShutdownNotice


class ClientHandle(Protocol):
    """A client's connection; `send` does not block."""

    def send(self, message: ClientMessage) -> None:
        """Queue a message for the client."""


# To the dispatcher.


class RequestReceived(NamedTuple):
    """A request was read."""

    client: ClientHandle
    number: int  # of the request, on its connection
    header: RequestHeader


class HealthCheckReceived(NamedTuple):
    """A health check was read."""

    client: ClientHandle
    number: int


class ClientGone(NamedTuple):
    """The client has abandoned its request with this id; other clients' requests are not affected."""

    id: str
    client: ClientHandle


class AllConnectionsClosed(NamedTuple):
    """The listener is closed and the last connection has ended."""


class ShutdownRequested(NamedTuple):
    """A shutdown was requested."""

    at: float


class ProcessorReady(NamedTuple):
    """The processor is ready to run requests."""

    is_cold: bool
    age: float  # seconds since its start


class ProcessorSynced(NamedTuple):
    """The processor has reported all runs that ended while it was unreachable; this link takes commands.

    The processor has not acknowledged the `possibly_lost` commands, which were written to earlier links.
    """

    link: int
    possibly_lost: frozenset[str] = frozenset()  # ids of requests


class CommandsDiscarded(NamedTuple):
    """Commands that were queued for a lost link and never written; they count as not sent."""

    ids: frozenset[str]  # of requests


class ProcessorDisconnected(NamedTuple):
    """The link to the processor is lost."""


class RunEnded(NamedTuple):
    """A run has ended or was stopped."""

    id: str
    outcome: Outcome
    result: bytes
    run_time: float = 0.0  # seconds, as the processor reports them


class DependencyCallRequested(NamedTuple):
    """A run waits for a dependency call with this body."""

    id: str
    body: bytes


class GaugesRead(NamedTuple):
    """Readings of the machine's gauges, in the order of `Machine.gauges`."""

    values: tuple[float, ...]


class CommandRejected(NamedTuple):
    """The processor rejected a command."""

    id: str
    command: type[Command] | None


class CallEnded(NamedTuple):
    """A dependency call has ended."""

    id: str
    outcome: Outcome
    body: bytes
    took: float  # seconds


# From the dispatcher to the processor.


class StartRun(NamedTuple):
    """Start running a request."""

    id: str
    class_index: int
    body: bytes


class StopRun(NamedTuple):
    """Stop a run."""

    id: str


class ResumeRun(NamedTuple):
    """Continue a paused run."""

    id: str


class ContinueWithoutCall(NamedTuple):
    """Continue a run without the result of the dependency call that it waits for."""

    id: str


class CallResult(NamedTuple):
    """The result of the dependency call that a run waits for."""

    id: str
    body: bytes


class ReadGauges(NamedTuple):
    """Request a reading of the gauges."""


# From the dispatcher to the dependency, the endpoint registry and the listener.


class StartCall(NamedTuple):
    """Make a dependency call; abandon it at `deadline`, a time of `clock`."""

    id: str
    deadline: float
    body: bytes


class AbandonCall(NamedTuple):
    """Abandon a dependency call."""

    id: str


class HealthChanged(NamedTuple):
    """The health to report to the endpoint registry."""

    is_healthy: bool


class AddressChanged(NamedTuple):
    """The peer has a new address; work in flight with it continues."""

    address: Address


class IdleTimeoutChanged(NamedTuple):
    """Close connections that have been unused for this many seconds."""

    seconds: float


class CloseListener(NamedTuple):
    """Accept no more connections, and send all clients a shutdown notice."""


Command = StartRun | StopRun | ResumeRun | ContinueWithoutCall | CallResult | ReadGauges
Event = (
    RequestReceived
    | HealthCheckReceived
    | ClientGone
    | AllConnectionsClosed
    | ShutdownRequested
    | StatusQuery
    | ProcessorReady
    | CommandsDiscarded
    | ProcessorSynced
    | ProcessorDisconnected
    | RunEnded
    | DependencyCallRequested
    | GaugesRead
    | CommandRejected
    | CallEnded
)
