"""What the actors of a server tell each other: small values, free of any protocol's names.

Peers `post` to the desk and wait where it is busy; the desk tells peers and never waits.
"""

from __future__ import annotations

from enum import Enum
from typing import Any, NamedTuple, Protocol

from thymeyoke.admission.settings import Outcome
from thymeyoke.configuration.start_file import Address

NOT_TOLD = 0.0  # of a patience, or of an op's work


class Order(NamedTuple):
    """An op as it was read."""

    id: str
    type: int
    tenant: int
    caller: int
    since: float  # when it reached this machine
    patience: float  # from `since` until its caller gives up this try; not told at every deployment
    size: float
    prio: float
    key: str | None  # the same for all tries of a keyed op
    subject: str | None
    body: bytes
    work: float = NOT_TOLD  # expected, in seconds of a standard core
    further: bool = False  # marked as a further try


class Verdict(Enum):
    ACK = "acked"
    NACK = "nacked"
    FAIL = "failed"


class Answer(NamedTuple):
    """The one final answer to an op, or to a health check."""

    number: int
    verdict: Verdict
    body: bytes = b""
    value: float | None = None
    wait: float = 0.0
    nowhere_else: bool = False


class Fitness(NamedTuple):
    number: int
    fit: bool
    value: float | None


class Leaving(NamedTuple):
    """To a caller: send nothing new on this connection. To the front: the whole server leaves."""


Telling = Answer | Fitness | Leaving


class Trim(NamedTuple):
    span: float


class Asker(Protocol):
    """Where an answer goes. A front's actor for one peer; it never makes the desk wait."""

    def tell(self, what: Telling) -> None: ...


# To the desk.


class Arrived(NamedTuple):
    asker: Asker
    number: int
    order: Order


class Checked(NamedTuple):
    asker: Asker
    number: int


class Gone(NamedTuple):
    """Nobody waits there any more for the op: another peer's op of the same id is none of it."""

    id: str
    asker: Asker


class Emptied(NamedTuple):
    """No connection is left."""


class Leave(NamedTuple):
    """The notice to leave, and when it came."""

    at: float


class Probe(NamedTuple):
    """Somebody behind the desk asks how the server stands; the answer is a `Standing`."""

    asker: Inquirer


class Up(NamedTuple):
    cold: bool
    age: float  # of the processor's start


class Synced(NamedTuple):
    """All that ended while a link was away has been told; commands go out on this link. What was told to the
    links before and may be `lost` with them has not been read, as far as the processor has proven."""

    link: int
    lost: frozenset[str] = frozenset()  # ids of requests


class Down(NamedTuple):
    pass


class Ended(NamedTuple):
    id: str
    outcome: Outcome
    result: bytes
    lasted: float = 0.0  # seconds of run, as the processor tells them


class Asked(NamedTuple):
    """A run stands at a call with this body."""

    id: str
    body: bytes


class Gauges(NamedTuple):
    values: tuple[float, ...]


class Refused(NamedTuple):
    """A command that the processor did not carry out."""

    id: str
    command: type[Command] | None


class CallOver(NamedTuple):
    id: str
    outcome: Outcome
    body: bytes
    took: float


# From the desk to the processor, the database and the list.


class Begin(NamedTuple):
    id: str
    type: int
    body: bytes


class Interrupt(NamedTuple):
    id: str


class TakeUp(NamedTuple):
    """Go on with a paused run."""

    id: str


class Without(NamedTuple):
    """Go on without the call that a run stands at."""

    id: str


class Reply(NamedTuple):
    """What came back from the call that a run stands at."""

    id: str
    body: bytes


class Gauge(NamedTuple):
    """Ask for the gauges."""


class Call(NamedTuple):
    id: str
    until: float
    body: bytes


class GiveUp(NamedTuple):
    id: str


class Report(NamedTuple):
    fit: bool


class Move(NamedTuple):
    """The peer is to be found elsewhere from now on; what is in hand with it carries over."""

    where: Address


# From the desk to what stands behind it (`behind.Behind`).


class Standing(NamedTuple):
    """How the server stands. Counts run from its start, moments are the clock's."""

    up: bool
    linked: bool  # the processor's link
    warm_at: float
    busy: float | None  # of the cores, 0 to 1; None before the first gauges, or where none tells it
    ops: int
    nacked: int
    connections: int
    most: int  # connections


class Over(NamedTuple):
    """An op's end: answered and off the cores. With `asker` the answer is still to be told, by `until`."""

    at: float
    id: str
    tenant: int
    type: int
    verdict: Verdict | None  # None: its caller went
    repeat: bool
    run: float  # seconds, as the processor told them
    calls: int
    importance: float
    octets: int
    asker: Asker | None
    answer: Answer | None
    until: float


class Draining(NamedTuple):
    """The notice to leave is there; ops are taken until `door_at`."""

    door_at: float


class Reformed(NamedTuple):
    """The operators' file was read anew: the subsystem's section, or None where it is gone."""

    section: Any


class Inquirer(Protocol):
    def tell(self, what: Standing) -> None: ...


Command = Begin | Interrupt | TakeUp | Without | Reply | Gauge
Event = (
    Arrived | Checked | Gone | Emptied | Leave | Probe
    | Up | Synced | Down | Ended | Asked | Gauges | Refused | CallOver
)  # fmt: skip
