"""State transitions of requests in flight, the resources that they hold, and the resulting actions."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

from thymeyoke.admission import actions
from thymeyoke.admission.actions import Action
from thymeyoke.admission.dependency import CallWindow
from thymeyoke.admission.fair_queue import FairQueue
from thymeyoke.admission.memory import MemoryAccount
from thymeyoke.admission.request import DesiredState, PendingRequest, RequestState
from thymeyoke.admission.settings import Idempotency, Machine, StopEffect


class RejectAdvice(NamedTuple):
    """Advice for a rejected client."""

    is_terminal: bool  # another server would reject the request as well
    retry_after: float  # seconds


class RunningRequests:
    """Counts of running requests, in total and by tenant or client."""

    def __init__(self) -> None:
        self.total = 0
        self.by_owner: dict[int, int] = {}  # owners at zero are removed

    def add(self, owner: int) -> None:
        """Count one more running request of an owner."""
        self.total += 1
        self.by_owner[owner] = self.by_owner.get(owner, 0) + 1

    def remove(self, owner: int) -> None:
        """Count one running request less of an owner."""
        self.total -= 1
        self.by_owner[owner] -= 1
        if not self.by_owner[owner]:
            del self.by_owner[owner]


class Reconciler:
    """Owns the requests in flight, and turns their desired states into actions."""

    def __init__(
        self, machine: Machine, interval: float, queue: FairQueue[PendingRequest], memory: MemoryAccount,
        window: CallWindow, reject_advice: Callable[[float], RejectAdvice],
    ) -> None:  # fmt: skip
        """`interval`: seconds between two timers; calls are abandoned this long before the deadline."""
        self.machine, self.interval = machine, interval
        self.queue, self.memory, self.window = queue, memory, window
        self.reject_advice = reject_advice
        self.running = RunningRequests()
        self.requests: dict[Any, PendingRequest] = {}  # by id, until they are answered and not running
        self.changed: list[PendingRequest] = []  # with a new desired state; cleared by `take_actions`
        self.actions: list[Action] = []  # cleared by `take_actions`

    def register(self, pending: PendingRequest) -> None:
        """Add a new request and reserve its memory."""
        self.requests[pending.id] = pending
        self.memory.reserved += pending.memory

    def running_requests(self) -> Iterator[PendingRequest]:
        """The running requests, in order of arrival."""
        return (one for one in self.requests.values() if one.state is RequestState.RUNNING)

    def can_stop(self, pending: PendingRequest) -> bool:
        """Whether a request is running and may be stopped.

        A request that is not idempotent runs to its end, as its result answers retries.
        """
        can_halt = self.machine.stop_effect is not StopEffect.NONE
        is_running = pending.state is RequestState.RUNNING and can_halt
        return is_running and pending.request_class.idempotency is Idempotency.IDEMPOTENT

    def take_actions(self) -> list[Action]:
        """Return the actions since the previous call."""
        taken, self.actions, self.changed = self.actions, [], []
        return taken

    # Desired states.

    def set_desired(self, pending: PendingRequest, desired: DesiredState) -> None:
        """Set a request's desired state, unless a final answer is already desired."""
        if pending.desired < DesiredState.REJECT:
            pending.desired = desired
            self.changed.append(pending)

    def reconcile_changed(self, now: float) -> None:
        """Reconcile all requests whose desired state was set."""
        for pending in self.changed:
            self.reconcile(now, pending)

    def reconcile(self, now: float, pending: PendingRequest) -> None:
        """Turn the difference between a request's desired and current state into actions."""
        desired, pending.desired = pending.desired, DesiredState.UNCHANGED
        if pending.state is RequestState.DONE or pending.is_answered:
            return
        if desired <= DesiredState.RUN and pending.state is RequestState.QUEUED:
            self._retain_key(pending)
        RECONCILE_METHODS[desired](self, now, pending)

    def _retain_key(self, pending: PendingRequest) -> None:
        """Retain a queued request's key: without it a retry would not be recognized as one."""
        if pending.retention_span and not pending.is_key_retained:
            pending.is_key_retained = True
            self.actions.append(actions.RetainKey(pending.id, pending.retention_span))

    def _stay(self, now: float, pending: PendingRequest) -> None:
        """Do nothing."""

    def _run(self, now: float, pending: PendingRequest) -> None:
        self.actions.append(actions.Run(pending.id))
        self.memory.reserved += self.memory.growth_on_run(pending.memory)
        pending.memory *= self.machine.running_memory_factor
        self.transition(now, pending, RequestState.RUNNING)

    def _call(self, now: float, pending: PendingRequest) -> None:
        deadline = pending.deadline - self.interval
        if pending.prefers_degraded:  # leaves time for a degraded answer within the objective
            deadline = min(deadline, pending.objective_at - pending.expected_run_time / 2)
        deadline = max(now + self.interval, deadline)
        self.actions.append(actions.CallDependency(pending.id, deadline))
        pending.attempts += 1
        self.transition(now, pending, RequestState.CALLING)

    def _continue_degraded(self, now: float, pending: PendingRequest) -> None:
        self.actions.append(actions.ContinueDegraded(pending.id))
        self.transition(now, pending, RequestState.RUNNING)

    def _reuse_result(self, now: float, pending: PendingRequest) -> None:
        self.actions.append(actions.ReuseResult(pending.id))
        self.transition(now, pending, RequestState.REUSING_RESULT)

    def _reject(self, now: float, pending: PendingRequest) -> None:
        self.actions.append(actions.Reject(pending.id, *self.reject_advice(now)))
        self.transition(now, pending, RequestState.DONE)

    def _fail(self, now: float, pending: PendingRequest) -> None:
        self.actions.append(actions.Fail(pending.id))
        self.answered(now, pending)

    def _stop(self, now: float, pending: PendingRequest) -> None:
        self.actions.append(actions.Stop(pending.id))
        self._fail(now, pending)

    # State transitions.

    def answered(self, now: float, pending: PendingRequest) -> None:
        """Note that a request is answered or abandoned by its client.

        A running request keeps its core and memory until its run ends.
        """
        pending.is_answered = True
        if pending.state is RequestState.CALLING:
            self.transition(now, pending, RequestState.WAITING_FOR_CALL)
        elif pending.state in (RequestState.QUEUED, RequestState.REUSING_RESULT):
            self.transition(now, pending, RequestState.DONE)

    def transition(self, now: float, pending: PendingRequest, state: RequestState) -> None:
        """Move a request to another state, and update the counts of running requests and calls."""
        before = pending.state
        if pending.is_queued:
            self.queue.remove(pending)
        pending.leave_state(now)
        if before is RequestState.CALLING:
            self.window.in_flight -= 1
            if state is RequestState.DONE or pending.is_answered:
                self.window.abandon(now)
        elif before is RequestState.RUNNING:
            self.running.remove(pending.fairness_key)
        if state is RequestState.CALLING:
            self.window.in_flight += 1
        elif state is RequestState.RUNNING:
            self.running.add(pending.fairness_key)
        pending.state, pending.state_since = state, now
        if state is RequestState.DONE:
            self._release(pending, never_ran=before is RequestState.QUEUED)

    def _release(self, pending: PendingRequest, never_ran: bool) -> None:
        """Free a request's memory, and its key if it never ran: no result could answer its retries."""
        if never_ran:
            self.memory.key_expiry.pop(pending.id, None)
            if pending.is_key_retained:
                self.actions.append(actions.ReleaseKey(pending.id))
        del self.requests[pending.id]
        self.memory.reserved -= pending.memory


RECONCILE_METHODS: dict[DesiredState, Callable[[Reconciler, float, PendingRequest], None]] = {
    DesiredState.UNCHANGED: Reconciler._stay,
    DesiredState.RUN: Reconciler._run,
    DesiredState.CALL: Reconciler._call,
    DesiredState.CONTINUE_DEGRADED: Reconciler._continue_degraded,
    DesiredState.REUSE_RESULT: Reconciler._reuse_result,
    DesiredState.REJECT: Reconciler._reject,
    DesiredState.FAIL: Reconciler._fail,
    DesiredState.STOP: Reconciler._stop,
}
