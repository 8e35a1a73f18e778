"""What a server is told: its trade and surroundings at the start, then ops and outcomes."""

from __future__ import annotations

from enum import Enum
from typing import Any, NamedTuple


class Repeat(Enum):
    """Whether an op type may run again."""

    RETRYABLE = "retryable"
    KEYED = "keyed"  # a repeat is known by its key and must not run within the key's window
    NON_RETRYABLE = "non-retryable"


class Below(Enum):
    """What calls reach."""

    SHARED = "shared"
    TIER = "tier"
    NOTHING = "nothing"


class Signal(Enum):
    """How callers read the value that rides on answers."""

    FLOOR = "floor"
    ALLOWANCE = "allowance"
    WEIGHT = "weight"
    NOTHING = "nothing"


class Halt(Enum):
    """What stopping a run does to it."""

    PAUSE = "pause"  # it keeps its progress and its memory
    DROP = "drop"  # it goes back to the hold, its work lost
    NOTHING = "nothing"


class Outcome(Enum):
    """How a run or a call ended."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    UNREACHED = "unreached"
    CUT = "cut"
    STOPPED = "stopped"
    MOOT = "moot"


NEVER_RAN = frozenset((Outcome.FULL, Outcome.UNREACHED, Outcome.MOOT))  # outcomes that prove it


class OpType(NamedTuple):
    target: float  # full importance up to here, from the client's first try
    timeout: float  # the client waits no longer
    repeat: Repeat
    importance: float
    late_share: float  # part of the importance that an answer after the target still earns
    poorer_share: float  # part of it that an answer without its call earns
    calls: bool
    key_window: float  # keyed: how long after its arrival a repeat may come
    stretch: float  # the target grows by this multiple of the op's own work


class Machine(NamedTuple):
    cores: int
    memory: float
    run_factor: float  # a running op takes this many times the memory of a held one
    key_size: float
    tick: float  # the shortest time between two batches of events
    halt: Halt
    gauges: tuple[str, ...]


class Survival(NamedTuple):
    crowd: float  # ops a core on the cores that a warm server survives
    crowd_span: float  # the mean is taken over this span
    cold: bool
    cold_share: float  # the least part of its speed that a cold server starts with
    cold_span: float  # it is warm after this at the latest


class Duty(NamedTuple):
    answer_slack: float
    drain_grace: float


class Dependency(NamedTuple):
    kind: Below
    fair_calls: float  # this server's part of the calls that the dependency survives, on average
    fair_span: float
    linger: float  # an abandoned call stays in the dependency's hands for up to this


class Callers(NamedTuple):
    count: int
    signal: Signal
    heeded: float  # a caller keeps the signal's value in mind this long
    max_wait: float  # the longest wait on a nack that callers follow; 0 where none is passed on
    marks_further: bool
    idle: float  # callers close connections unused for this long
    fresh: float  # an answer to a read may serve its repeats for this long
    list_follows: bool


class Tenant(NamedTuple):
    share: float
    quota: float  # ops a second, over the whole fleet


class Op(NamedTuple):
    id: int
    type: int
    tenant: int
    size: float
    subject: str | None
    hint: float  # expected work in seconds of a standard core; 0 where not told
    further: bool  # marked as a further try
    write: bool
    repeats: Any  # id of the op that this one repeats, or None
    prio: float
    left: float  # until the caller gives up this try; 0 where not told
    caller: int
    unread: float  # since it reached the machine
