"""Requests in flight: their state transitions, what they hold, and the actions that follow."""

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
    """What a rejected client should do."""

    is_terminal: bool  # another server would reject the request as well
    retry_after: float  # seconds


class RunningRequests:
    """How many requests are on the cores, in all and by tenant or client."""

    def __init__(self) -> None:
        self.total = 0
        self.by_owner: dict[int, int] = {}  # an owner goes at zero

    def add(self, owner: int) -> None:
        """One more of this owner."""
        self.total += 1
        self.by_owner[owner] = self.by_owner.get(owner, 0) + 1

    def remove(self, owner: int) -> None:
        """One less of this owner."""
        self.total -= 1
        self.by_owner[owner] -= 1
        if not self.by_owner[owner]:
            del self.by_owner[owner]


class Reconciler:
    """Owns the requests in flight, and turns desired states into actions (`RECONCILERS`)."""

    def __init__(
        self, machine: Machine, interval: float, queue: FairQueue[PendingRequest], memory: MemoryAccount,
        window: CallWindow, reject_advice: Callable[[float], RejectAdvice],
    ) -> None:  # fmt: skip
        """`interval`: seconds between two timers; answers are given this long before they are due."""
        self.machine, self.interval = machine, interval
        self.queue, self.memory, self.window = queue, memory, window
        self.reject_advice = reject_advice
        self.running = RunningRequests()
        self.requests: dict[Any, PendingRequest] = {}  # emptied by answers and ends of runs
        self.changed: list[PendingRequest] = []  # with a new desired state; emptied by `take_actions`
        self.actions: list[Action] = []  # emptied by `take_actions`

    def register(self, pending: PendingRequest) -> None:
        """A new request is in flight, and holds its memory."""
        self.requests[pending.id] = pending
        self.memory.reserved += pending.memory

    def running_requests(self) -> Iterator[PendingRequest]:
        """Those on the cores, in the order of their arrival."""
        return (one for one in self.requests.values() if one.state is RequestState.RUNNING)

    def can_stop(self, pending: PendingRequest) -> bool:
        """Whether its run can be stopped without harm.

        One with an effect runs on, as its end answers retries.
        """
        can_halt = self.machine.stop_effect is not StopEffect.NONE
        is_running = pending.state is RequestState.RUNNING and can_halt
        return is_running and pending.request_class.idempotency is Idempotency.IDEMPOTENT

    def take_actions(self) -> list[Action]:
        """The actions since the last time."""
        taken, self.actions, self.changed = self.actions, [], []
        return taken

    # Desired states.

    def set_desired(self, pending: PendingRequest, desired: DesiredState) -> None:
        """Set what a request should do next; a final answer that is desired already stands."""
        if pending.desired < DesiredState.REJECT:
            pending.desired = desired
            self.changed.append(pending)

    def reconcile_changed(self, now: float) -> None:
        """Reconcile all requests whose desired state was set."""
        for pending in self.changed:
            self.reconcile(now, pending)

    def reconcile(self, now: float, pending: PendingRequest) -> None:
        """Turn a desired state, against the present one, into actions."""
        desired, pending.desired = pending.desired, DesiredState.UNCHANGED
        if pending.state is RequestState.DONE or pending.is_answered:
            return
        if desired <= DesiredState.RUN and pending.state is RequestState.QUEUED:
            self._retain_key(pending)
        RECONCILERS[desired](self, now, pending)

    def _retain_key(self, pending: PendingRequest) -> None:
        """While it is queued: a retry of a queued request whose key is not retained comes unmarked."""
        if pending.retention_span and not pending.is_key_retained:
            pending.is_key_retained = True
            self.actions.append(actions.RetainKey(pending.id, pending.retention_span))

    def _stay(self, now: float, pending: PendingRequest) -> None:
        """Nothing to do."""

    def _run(self, now: float, pending: PendingRequest) -> None:
        self.actions.append(actions.Run(pending.id))
        self.memory.reserved += self.memory.growth_on_run(pending.memory)
        pending.memory *= self.machine.running_memory_factor
        self.transition(now, pending, RequestState.RUNNING)

    def _call(self, now: float, pending: PendingRequest) -> None:
        deadline = pending.deadline - self.interval
        if pending.prefers_degraded:  # abandoned while a degraded answer is still in time
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
        """Answered, or nobody waits: what runs keeps its core and memory until its run ends."""
        pending.is_answered = True
        if pending.state is RequestState.CALLING:
            self.transition(now, pending, RequestState.WAITING_FOR_CALL)
        elif pending.state in (RequestState.QUEUED, RequestState.REUSING_RESULT):
            self.transition(now, pending, RequestState.DONE)

    def transition(self, now: float, pending: PendingRequest, state: RequestState) -> None:
        """Move a request to a state, and account for the one that it leaves."""
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
        """Free what a request reserved. The key of one that never ran would fail all of its retries."""
        if never_ran:
            self.memory.key_expiry.pop(pending.id, None)
            if pending.is_key_retained:
                self.actions.append(actions.ReleaseKey(pending.id))
        del self.requests[pending.id]
        self.memory.reserved -= pending.memory


RECONCILERS: dict[DesiredState, Callable[[Reconciler, float, PendingRequest], None]] = {
    DesiredState.UNCHANGED: Reconciler._stay,
    DesiredState.RUN: Reconciler._run,
    DesiredState.CALL: Reconciler._call,
    DesiredState.CONTINUE_DEGRADED: Reconciler._continue_degraded,
    DesiredState.REUSE_RESULT: Reconciler._reuse_result,
    DesiredState.REJECT: Reconciler._reject,
    DesiredState.FAIL: Reconciler._fail,
    DesiredState.STOP: Reconciler._stop,
}
