"""What the actors of an app server send each other: small values, free of any protocol's names.

Peers post to the dispatcher and wait while its mailbox is full; the dispatcher sends to peers and never
waits.
"""

from __future__ import annotations

from typing import NamedTuple, Protocol

from thymeyoke.admission.events import Outcome
from thymeyoke.configuration.start_file import Address
from thymeyoke.runtime.extensions import Answer, StatusQuery

UNKNOWN = 0.0  # a client timeout or a work hint that the client does not give


class RequestHeader(NamedTuple):
    """A request as it was read."""

    id: str
    class_index: int
    tenant: int
    client: int
    received_at: float  # when it reached this machine
    client_timeout: float  # from `received_at` until the client abandons this attempt; may be UNKNOWN
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
    """Send nothing new on this connection: the server leaves, or closes an idle connection."""


ClientMessage = Answer | HealthAnswer | ShutdownNotice


class ClientHandle(Protocol):
    """A client's connection; it never makes the dispatcher wait."""

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
    """The client does not wait any more for this request; another client's of the same id is not meant."""

    id: str
    client: ClientHandle


class AllConnectionsClosed(NamedTuple):
    """The listener is closed, and no connection is left."""


class ShutdownRequested(NamedTuple):
    """The shutdown notice, and when it came."""

    at: float


class ProcessorReady(NamedTuple):
    """The processor is up."""

    is_cold: bool
    age: float  # seconds since its start


class ProcessorSynced(NamedTuple):
    """All that ended while the processor was out of reach has been reported; commands go out on this link.

    Commands that went out on earlier links and are `possibly_lost` with them have not been read, as far as
    the processor has proven.
    """

    link: int
    possibly_lost: frozenset[str] = frozenset()  # ids of requests


class ProcessorDisconnected(NamedTuple):
    """The link to the processor is lost."""


class RunEnded(NamedTuple):
    """A run is over, or was stopped."""

    id: str
    outcome: Outcome
    result: bytes
    run_time: float = 0.0  # seconds, as the processor reports them


class DependencyCallRequested(NamedTuple):
    """A run waits for a dependency call with this body."""

    id: str
    body: bytes


class GaugesRead(NamedTuple):
    """Readings of the machine's gauges, in the order of its settings."""

    values: tuple[float, ...]


class CommandRejected(NamedTuple):
    """A command that the processor did not carry out."""

    id: str
    command: type[Command] | None


class CallEnded(NamedTuple):
    """A dependency call is over."""

    id: str
    outcome: Outcome
    body: bytes
    took: float  # seconds


# From the dispatcher to the processor.


class StartRun(NamedTuple):
    """Start a request."""

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
    """Continue a run without the dependency call that it waits for."""

    id: str


class CallResult(NamedTuple):
    """What came back from the dependency call that a run waits for."""

    id: str
    body: bytes


class ReadGauges(NamedTuple):
    """Ask for the gauges."""


# From the dispatcher to the dependency, the endpoint registry and the listener.


class StartCall(NamedTuple):
    """Make a dependency call; abandon it at `deadline`, a moment of the clock."""

    id: str
    deadline: float
    body: bytes


class AbandonCall(NamedTuple):
    """Abandon a dependency call."""

    id: str


class HealthChanged(NamedTuple):
    """Report this health to the endpoint registry."""

    is_healthy: bool


class AddressChanged(NamedTuple):
    """The peer has another address from now on; what is in flight with it carries over."""

    address: Address


class IdleTimeoutChanged(NamedTuple):
    """Close connections that were unused for so many seconds."""

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
    | ProcessorSynced
    | ProcessorDisconnected
    | RunEnded
    | DependencyCallRequested
    | GaugesRead
    | CommandRejected
    | CallEnded
)
