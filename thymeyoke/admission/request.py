"""A request in flight, with its current and its desired state."""

from __future__ import annotations

from enum import IntEnum
from typing import Any

from thymeyoke.admission.events import Request
from thymeyoke.admission.fair_queue import QueueKey
from thymeyoke.admission.run_times import RunTimeEstimate
from thymeyoke.admission.settings import RequestClass


class RequestState(IntEnum):
    """Current state of a request in flight."""

    QUEUED = 1
    RUNNING = 2
    WAITING_FOR_CALL = 3  # its run is suspended until a dependency call can be sent
    CALLING = 4  # its dependency call is in flight
    REUSING_RESULT = 5
    DONE = 6


class DesiredState(IntEnum):
    """What a request should do next. REJECT, FAIL and STOP are final; STOP also ends the run."""

    UNCHANGED = 1
    RUN = 2
    CALL = 3
    CONTINUE_DEGRADED = 4
    REUSE_RESULT = 5
    REJECT = 6
    FAIL = 7
    STOP = 8


class PendingRequest:
    """A request from its arrival until it is answered and no longer running."""

    def __init__(
        self, now: float, request: Request, request_class: RequestClass, fairness_key: int,
        estimate: RunTimeEstimate,
    ) -> None:  # fmt: skip
        """`fairness_key`: the tenant or the client whose quota the request counts against."""
        self.request, self.request_class, self.estimate = request, request_class, estimate
        self.id: Any = request.id
        self.memory = request.size
        self.queue_key = QueueKey(fairness_key, request_class.priority_weight)
        self.arrived_at = now - request.queueing_delay
        self.deadline = _deadline(now, self.arrived_at, request, request_class)
        # Never past the deadline: a later answer is lost, and the client's next attempt is queued by then.
        stretch = request_class.objective_stretch * request.work_hint
        self.objective_at = min(self.deadline, self.arrived_at + request_class.latency_objective + stretch)
        self.state, self.desired = RequestState.QUEUED, DesiredState.UNCHANGED
        self.state_since = now
        self.on_core_time = self.off_core_time = 0.0  # seconds so far
        self.calls = 0  # dependency calls that its run has needed
        self.attempts = 0  # of the current dependency call
        self.retry_call_at = 0.0
        self.retention_span = 0.0  # seconds for which its idempotency key is retained; 0 without a key
        self.is_key_retained = self.is_answered = self.is_queued = False

    @property
    def fairness_key(self) -> int:
        """The tenant or client whose quota the request counts against."""
        return self.queue_key.owner

    @property
    def priority_weight(self) -> float:
        """The priority weight of its class."""
        return self.queue_key.priority_weight

    @property
    def expected_run_time(self) -> float:
        """Expected seconds on a core; 0 without history."""
        return self.estimate.on_core

    @property
    def call_value(self) -> float:
        """Value that the answer would lose without its dependency call."""
        return self.request_class.priority_weight * (1 - self.request_class.degraded_value_share)

    @property
    def prefers_degraded(self) -> bool:
        """Whether a degraded answer in time is worth more than a complete one that is late."""
        return self.request_class.degraded_value_share > self.request_class.late_value_share

    def leave_state(self, now: float) -> None:
        """Add the time spent in the current state to the times on and off the cores."""
        if self.state is RequestState.RUNNING:
            self.on_core_time += now - self.state_since
        elif self.state in (RequestState.WAITING_FOR_CALL, RequestState.CALLING):
            self.off_core_time += now - self.state_since


def _deadline(now: float, arrived_at: float, request: Request, request_class: RequestClass) -> float:
    if request.time_left:
        return now + request.time_left
    return max(now, arrived_at + request_class.client_timeout)
