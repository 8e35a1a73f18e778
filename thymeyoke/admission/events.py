"""Inputs of admission control: the values that the methods of `AdmissionController` take."""

from __future__ import annotations

from collections.abc import Iterable
from enum import Enum
from typing import Any, NamedTuple


class Outcome(Enum):
    """How a run or a dependency call ended."""

    OK = "ok"
    ERROR = "error"
    REJECTED = "rejected"  # shed by the dependency: it did not run
    TIMEOUT = "timeout"
    UNREACHABLE = "unreachable"  # never sent: it did not run
    CONNECTION_LOST = "connection_lost"  # it may or may not have run
    STOPPED = "stopped"
    NOT_STARTED = "not_started"  # the command was too late: it did not run


PROVES_NOT_RUN = frozenset((Outcome.REJECTED, Outcome.UNREACHABLE, Outcome.NOT_STARTED))


class Request(NamedTuple):
    """A request that was read from a client."""

    id: Any
    class_index: int
    tenant: int
    size: float  # kilobytes while it is queued
    subject: str | None  # what it reads: reads of one subject may share a result
    work_hint: float  # expected work in seconds of a standard core; 0 if unknown
    is_retry: bool  # marked as a retry or a hedged request
    is_write: bool
    original_id: Any  # id of the retained request that this one repeats, or None
    priority: float
    time_left: float  # seconds until the client abandons this attempt; 0 if unknown
    client: int
    queueing_delay: float  # seconds between arrival at the socket and this event


class Gauges(NamedTuple):
    """Readings of the machine's gauges; None for a gauge that the machine lacks."""

    busy: float | None = None  # share of the cores that is busy
    runnable: float | None = None  # threads that run or wait for a core
    connections: float | None = None  # open client connections

    @classmethod
    def from_readings(cls, names: Iterable[str], values: Iterable[float]) -> Gauges:
        """Select the known gauges from readings in the order of `names`."""
        readings = dict(zip(names, values, strict=False))
        return cls(readings.get("busy"), readings.get("runnable"), readings.get("connections"))
