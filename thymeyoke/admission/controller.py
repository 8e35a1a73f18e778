"""`AdmissionController`: the decisions of one app server, from its start to its stop.

The host reports each event with a method call and, after each batch of events, carries out the actions that
`next_actions` returns. Events only change desired states and statistics. `next_actions` selects the requests
that should run or call the dependency; the `Reconciler` turns differences between desired and current states
into actions.
"""

from __future__ import annotations

from heapq import heappop, heappush
from random import Random
from typing import Any

from thymeyoke.admission import actions
from thymeyoke.admission.actions import Action
from thymeyoke.admission.arrivals import ArrivalStatistics
from thymeyoke.admission.backpressure import BackpressureSignal
from thymeyoke.admission.concurrency import ConcurrencyLimit
from thymeyoke.admission.connections import IdleTimeout
from thymeyoke.admission.dependency import DependencyLimiter
from thymeyoke.admission.events import PROVES_NOT_RUN, Gauges, Outcome, Request
from thymeyoke.admission.fair_queue import FairQueue
from thymeyoke.admission.memory import MemoryAccount
from thymeyoke.admission.prediction import WaitPredictor
from thymeyoke.admission.reconciler import Reconciler, RejectAdvice
from thymeyoke.admission.request import DesiredState, PendingRequest, RequestState
from thymeyoke.admission.run_times import RunTimeEstimator
from thymeyoke.admission.settings import AdmissionSettings, Idempotency, RequestClass
from thymeyoke.admission.shutdown import ShutdownSchedule

MAX_CALL_ATTEMPTS = 4  # for one dependency call that may be retried
CALL_BACKOFF_SHARE = 0.1  # of the latency objective: the first retry backoff, which doubles
SATURATED_WAIT_SHARE = 0.5  # of the mean objective: the wait from which clients are told to back off
IDLE_CUT_WAIT_SHARE = 0.75  # of the mean objective: the wait from which the idle timeout is cut
IDLE_CUT_READS_PER_CORE = 2  # reads and handshakes in progress from which the idle timeout is cut
MIN_INTERVAL_TICKS = 8  # shortest timer interval, in ticks of the machine
MIN_INTERVAL_SECONDS = 0.01  # shortest timer interval
DEADLINE_LEAD_INTERVALS = 1.5  # answers due within this time are sent now, as the next timer may be late
TIMER_MARK = 0  # identifies the controller's only timer


class AdmissionController:
    """Admission control of one app server process; combines the parts of this package."""

    def __init__(self, now: float, settings: AdmissionSettings) -> None:
        machine, classes = settings.machine, settings.request_classes
        self.settings, self.classes = settings, classes
        self.random = Random(settings.seed)
        self.interval = max(
            settings.terms.answer_slack, MIN_INTERVAL_TICKS * machine.tick, MIN_INTERVAL_SECONDS
        )
        objectives = [request_class.latency_objective for request_class in classes]
        self.mean_objective, self.min_objective = sum(objectives) / len(objectives), min(objectives)
        self.run_times = RunTimeEstimator(len(classes))
        self.queue: FairQueue[PendingRequest] = FairQueue()
        self.concurrency = ConcurrencyLimit(machine.cores, now, settings.overload)
        self.dependency = DependencyLimiter(settings.dependency, now)
        self.memory = MemoryAccount(machine)
        self.reconciler = Reconciler(
            machine, self.interval, self.queue, self.memory, self.dependency.window, self._reject_advice
        )
        self.requests, self.running = self.reconciler.requests, self.reconciler.running
        self.arrivals = ArrivalStatistics(classes)
        self.predictor = WaitPredictor(
            self.queue, self.concurrency, self.running, self.dependency, self.arrivals
        )
        self.signal = BackpressureSignal(settings.clients.signal, settings.clients.client_count)
        self.idle_timeout = IdleTimeout(settings.clients.idle_timeout, machine.cores)
        self.shutdown = ShutdownSchedule(self.interval)
        self.deadlines: list[tuple[float, Any]] = []  # heap of (deadline, id); passed ones are removed
        self.published: list[Action] = [actions.SetIdleTimeout(settings.clients.idle_timeout)]
        self._emit(actions.ReportHealth(from_store=True, is_healthy=True))
        self._emit(actions.SetTimer(TIMER_MARK, self.interval))

    # Events.

    def submit(self, now: float, request: Request) -> None:
        """Decide on a request that was read."""
        pending = self._register(now, request)
        # An original of the same batch may already be rejected: the repeat is then decided on by itself.
        original = self.requests.get(request.original_id)
        is_original_rejected = original is not None and original.desired is DesiredState.REJECT
        is_repeat = request.original_id is not None and pending.retention_span
        if is_repeat and not is_original_rejected:
            fails = self.shutdown.is_too_late(now)
            return self.reconciler.set_desired(
                pending, DesiredState.FAIL if fails else DesiredState.REUSE_RESULT
            )
        wait = self.predictor.wait(now, self.reconciler.running_requests(), pending.queue_key)
        is_draining = (
            pending.arrived_at > self.shutdown.grace_until
            or self.shutdown.is_too_late(now, pending.expected_run_time)
        )  # fmt: skip
        misses = is_draining or self.predictor.misses_objective(now, pending, wait)
        self.arrivals.observe_retry(self._is_retry_from_elsewhere(request, misses, wait))
        if not misses:
            return self._enqueue(now, pending)
        if not self.running.total:
            self.run_times.decay(request.class_index)
        self.reconciler.set_desired(pending, DesiredState.REJECT)

    def _register(self, now: float, request: Request) -> PendingRequest:
        request_class = self.classes[request.class_index]
        fairness_key = request.tenant if self.settings.tenants else request.client
        estimate = self.run_times.estimate(request)
        pending = PendingRequest(now, request, request_class, fairness_key, estimate)
        pending.retention_span = self._retention_span(request, request_class)
        self.reconciler.register(pending)
        time_to_objective = pending.objective_at - pending.arrived_at
        self.arrivals.observe(request.class_index, request.queueing_delay, time_to_objective)
        heappush(self.deadlines, (pending.deadline, pending.id))
        return pending

    def _retention_span(self, request: Request, request_class: RequestClass) -> float:
        """Seconds for which the request's key is retained; 0 if its result may not answer other requests."""
        freshness = self.settings.clients.result_freshness
        if request_class.idempotency is Idempotency.WITH_KEY:
            return request_class.idempotency_window
        is_shareable = request_class.idempotency is Idempotency.IDEMPOTENT and not request.is_write
        if is_shareable and request.subject and freshness:
            return request_class.client_timeout + freshness
        return 0.0

    def _is_retry_from_elsewhere(self, request: Request, misses: bool, wait: float) -> bool:
        """Whether this request suggests that other servers are overloaded as well.

        Where clients do not mark retries, a request that would miss its objective because of queueing counts
        as one. A request that is too long for this machine without any queueing does not: a faster server
        might admit it.
        """
        if self.settings.clients.marks_retries:
            return request.is_retry
        return misses and wait + request.queueing_delay > self.interval

    def _enqueue(self, now: float, pending: PendingRequest) -> None:
        self.queue.add(pending)
        if pending.retention_span:
            self.memory.key_expiry[pending.id] = now + pending.retention_span
        self.reconciler.set_desired(pending, DesiredState.UNCHANGED)

    def is_reusing_result(self, id: Any) -> bool:
        """Whether a request will be answered with the result of the request that it repeats."""
        pending = self.requests.get(id)
        return pending is not None and pending.desired is DesiredState.REUSE_RESULT

    def run_ended(self, now: float, id: Any, outcome: Outcome) -> None:
        """Note that a run, or the reuse of a result, has ended."""
        if pending := self.requests.get(id):
            state = pending.state
            self.reconciler.transition(now, pending, RequestState.DONE)
            if state is RequestState.RUNNING and outcome in (Outcome.OK, Outcome.ERROR):
                self.run_times.learn(
                    pending.request, pending.estimate, pending.on_core_time, pending.off_core_time,
                    pending.calls,
                )  # fmt: skip

    def waits_for_dependency(self, now: float, id: Any) -> None:
        """Note that a run needs a dependency call to continue."""
        if pending := self.requests.get(id):
            self.reconciler.transition(now, pending, RequestState.WAITING_FOR_CALL)
            pending.attempts, pending.retry_call_at = 0, 0.0
            pending.calls += 1
            self.dependency.waiting.append(pending)

    def call_ended(self, now: float, id: Any, outcome: Outcome, took: float) -> None:
        """Note that a dependency call ended after `took` seconds."""
        pending = self.requests.get(id)
        if pending is None or pending.state is not RequestState.CALLING:
            return
        is_ok = outcome is Outcome.OK
        self.reconciler.transition(
            now, pending, RequestState.RUNNING if is_ok else RequestState.WAITING_FOR_CALL
        )
        if outcome is Outcome.TIMEOUT:
            self.dependency.window.abandon(now)
        if outcome not in PROVES_NOT_RUN:
            self.dependency.learn(now, took)
        if not is_ok:
            self._call_failed(now, pending, outcome)

    def _call_failed(self, now: float, pending: PendingRequest, outcome: Outcome) -> None:
        request_class = pending.request_class
        may_retry = request_class.idempotency is Idempotency.IDEMPOTENT or outcome in PROVES_NOT_RUN
        if may_retry and pending.attempts < MAX_CALL_ATTEMPTS:
            backoff = CALL_BACKOFF_SHARE * request_class.latency_objective * 2 ** (pending.attempts - 1)
            pending.retry_call_at = now + backoff * self.random.uniform(0.5, 1)
            self.dependency.waiting.append(pending)
        elif request_class.degraded_value_share > 0:
            self.reconciler.set_desired(pending, DesiredState.CONTINUE_DEGRADED)
        else:
            self.reconciler.set_desired(pending, DesiredState.FAIL)

    def client_gone(self, now: float, id: Any) -> None:
        """Note that the client abandoned a request.

        If it is running, it keeps its core until the run ends, but needs no answer.
        """
        if pending := self.requests.get(id):
            if self.reconciler.can_stop(pending):
                self._emit(actions.Stop(id))
            self.reconciler.answered(now, pending)

    def shutdown_announced(self, now: float, time_left: float) -> None:
        """Start to drain: the process will be stopped in `time_left` seconds."""
        self.shutdown.begin(now, time_left, self.settings.terms.drain_grace)
        self._emit(actions.ReportHealth(from_store=True, is_healthy=False))

    def timer_expired(self, now: float, mark: int, gauges: tuple[float, ...]) -> None:
        """Do the periodic work; `gauges` are readings in the order of the machine's settings."""
        readings = Gauges.from_readings(self.settings.machine.gauges, gauges)
        span = now - self.concurrency.adapted_at
        runnable = 0 if readings.runnable is None else readings.runnable
        running = self.running.total
        self.concurrency.adapt(now, readings.busy, runnable, running, bool(self.queue))
        # If only runs use the cores, no request is being read: clear the queueing delay, so that a server
        # without new requests does not look saturated.
        being_read = float("inf") if readings.runnable is None else readings.runnable - running
        self.arrivals.queueing_delay *= being_read > 0
        self.memory.expire_keys(now)
        self._answer_expired(now)
        self.predictor.update_max_waits(self.classes, self.run_times)
        in_flight = (one for one in self.requests.values() if one.state is RequestState.CALLING)
        self.dependency.watch(now, [now - pending.state_since for pending in in_flight])
        self._publish(now, span, being_read, readings.connections or 0)

    # Decisions.

    def next_actions(self, now: float) -> list[Action]:
        """Decide what should run and call now; returns all actions since the previous call."""
        self.reconciler.reconcile_changed(now)
        self._shed_memory(now)
        self._start_runs(now)
        self._start_calls(now)
        return self.reconciler.take_actions()

    def _emit(self, action: Action) -> None:
        self.reconciler.actions.append(action)

    def _start_runs(self, now: float) -> None:
        """Start queued requests while the concurrency limit, its ceiling and the memory allow it."""
        limit, ceiling = self.concurrency.limit, self.concurrency.ceiling(now)
        while self.running.total + 1 <= limit:
            pending = self.queue.next(self.running.by_owner, self.concurrency.quota)
            calls = self.dependency.window.in_flight + len(self.dependency.waiting)
            if pending is None or self.running.total + calls + 1 > ceiling:
                break
            is_stale = self.predictor.is_stale(now, pending)
            if not is_stale and self.memory.available() < self.memory.growth_on_run(pending.memory):
                break
            pending.desired = DesiredState.REJECT if is_stale else DesiredState.RUN
            self.reconciler.reconcile(now, pending)

    def _start_calls(self, now: float) -> None:
        """Send waiting dependency calls: oldest first or, while calls are slow, most valuable first."""
        dependency = self.dependency
        dependency.window.update(now)
        is_slow, waiting, dependency.waiting = dependency.is_slow, dependency.waiting, []
        for pending in sorted(waiting, key=lambda one: (-one.call_value * is_slow, one.arrived_at)):
            if pending.state is not RequestState.WAITING_FOR_CALL or pending.is_answered:
                continue
            pending.desired = self._desired_at_call(now, pending)
            if pending.desired is DesiredState.UNCHANGED:
                dependency.waiting.append(pending)
            self.reconciler.reconcile(now, pending)

    def _desired_at_call(self, now: float, pending: PendingRequest) -> DesiredState:
        """The desired state of a run that waits for its dependency call.

        A run whose call can no longer return within the objective continues without it or fails.
        """
        dependency = self.dependency
        returns_at = now + dependency.predicted_wait(len(dependency.waiting))
        if returns_at > pending.objective_at and pending.prefers_degraded:
            return DesiredState.CONTINUE_DEGRADED
        is_worthless = now > pending.objective_at and not pending.request_class.late_value_share
        if is_worthless and self.queue:
            return DesiredState.FAIL
        if pending.retry_call_at <= now and dependency.window.has_capacity():
            return DesiredState.CALL
        return pending.desired

    def _shed_memory(self, now: float) -> None:
        """If memory is short, reject queued requests: lowest priority weight first, then youngest first."""
        missing = -self.memory.available()
        if not missing > 0:
            return
        queued = [pending for pending in self.requests.values() if pending.is_queued]
        for pending in sorted(queued, key=lambda one: (one.priority_weight, -one.arrived_at)):
            if missing > 0:
                key_size = self.settings.machine.retained_key_size if pending.retention_span else 0.0
                missing -= pending.memory + key_size
                pending.desired = DesiredState.REJECT
                self.reconciler.reconcile(now, pending)

    def _answer_expired(self, now: float) -> None:
        """Give up requests that are due soon or stale and, shortly before the stop, all that are left."""
        while self.deadlines and self.deadlines[0][0] <= now + DEADLINE_LEAD_INTERVALS * self.interval:
            self._give_up(heappop(self.deadlines)[1])
        answers_all = self.shutdown.answers_all(now)
        for pending in list(self.requests.values()):
            if answers_all or (pending.is_queued and self.predictor.is_stale(now, pending)):
                self._give_up(pending.id)

    def _give_up(self, id: Any) -> None:
        """Desire the final answer of a request: a rejection if it never ran, else a failure."""
        pending = self.requests.get(id)
        if pending is None or pending.is_answered:
            return
        is_reusing = pending.desired is DesiredState.REUSE_RESULT
        if pending.state is RequestState.QUEUED and not is_reusing:
            self.reconciler.set_desired(pending, DesiredState.REJECT)
        else:
            self.reconciler.set_desired(
                pending, DesiredState.STOP if self.reconciler.can_stop(pending) else DesiredState.FAIL
            )

    def _publish(self, now: float, span: float, being_read: float, open_connections: float) -> None:
        """Publish changed values for clients, and set the timer again."""
        wait = self._queueing_delay(now)
        # When some requests must miss their objectives, oldest first would serve only the earliest arrivals,
        # and short objectives would never be met behind long ones.
        self.queue.is_saturated = wait > SATURATED_WAIT_SHARE * self.min_objective
        run_times = self.run_times.on_core_means()
        slots = self.concurrency.limit * self.mean_objective * len(run_times)
        capacity = slots / max(sum(run_times), self.interval)
        value = self.signal.next_value(span, wait / (SATURATED_WAIT_SHARE * self.mean_objective), capacity)
        saturation = max(
            wait / (IDLE_CUT_WAIT_SHARE * self.mean_objective),
            being_read / (IDLE_CUT_READS_PER_CORE * self.settings.machine.cores),
        )
        timeout = self.idle_timeout.next_timeout(span, open_connections, saturation)
        published: list[Action] = [actions.SetIdleTimeout(timeout)]
        if value is not None:
            published.append(actions.PublishSignal(value))
        for action in published:
            if action not in self.published:
                self._emit(action)
        self._emit(actions.SetTimer(TIMER_MARK, self.interval))
        self.published = published

    def _queueing_delay(self, now: float) -> float:
        """Seconds that a new request waits, counting the time before it is read.

        A server that falls behind with reading has an empty queue, but is not idle.
        """
        return self.arrivals.queueing_delay + self.predictor.wait(now, self.reconciler.running_requests())

    def _reject_advice(self, now: float) -> RejectAdvice:
        """Advise a rejected client to stay away until the wait is back at the saturation threshold.

        In a retry storm it should not try other servers, as they reject requests as well.
        """
        longest = self.settings.clients.max_retry_after
        excess = self._queueing_delay(now) - SATURATED_WAIT_SHARE * self.mean_objective
        retry_after = longest if self.shutdown.is_draining else min(longest, excess)
        return RejectAdvice(self.arrivals.is_retry_storm, max(0.0, retry_after))
