"""The actor that drives admission control: it passes events in and carries out the actions that come back.

Only the dispatcher calls the `AdmissionController`, and it makes no admission decision of its own. It adds
timers, gauge readings, health answers, the backpressure value sent with every answer, the drain, and a final
answer for any request that would otherwise not get one.
"""

from __future__ import annotations

import logging
import math
from collections.abc import Callable
from typing import Any

import anyio

from thymeyoke.admission import actions
from thymeyoke.admission.actions import Action
from thymeyoke.admission.controller import AdmissionController
from thymeyoke.admission.events import Outcome
from thymeyoke.admission.settings import AdmissionSettings
from thymeyoke.runtime import logs
from thymeyoke.runtime.clock import clock
from thymeyoke.runtime.extensions import Extension, ServerStatus, StatusQuery, Verdict
from thymeyoke.runtime.invariants import check_invariant
from thymeyoke.runtime.mailbox import take_all
from thymeyoke.server.action_executor import ActionExecutor, Peers
from thymeyoke.server.dependency import DependencyClient
from thymeyoke.server.drain import DrainPlan, DrainState, plan_drain
from thymeyoke.server.endpoint_registry import EndpointRegistryClient
from thymeyoke.server.extension_hub import ExtensionHub
from thymeyoke.server.idempotency import IdempotencyCache
from thymeyoke.server.in_flight import InFlightRequest, InFlightRequests
from thymeyoke.server.intake import RequestIntake
from thymeyoke.server.listener import Listener
from thymeyoke.server.messages import (
    AbandonCall,
    AllConnectionsClosed,
    CallEnded,
    ClientGone,
    CloseListener,
    CommandRejected,
    CommandsDiscarded,
    DependencyCallRequested,
    Event,
    GaugesRead,
    HealthAnswer,
    HealthCheckReceived,
    ProcessorDisconnected,
    ProcessorReady,
    ProcessorSynced,
    RequestReceived,
    RunEnded,
    ShutdownRequested,
)
from thymeyoke.server.processor import ProcessorClient
from thymeyoke.server.processor_commands import ProcessorCommands
from thymeyoke.server.run_events import RunEvents
from thymeyoke.server.timers import GAUGE_LEAD_SECONDS, PolicyTimers

MAILBOX_SIZE = 4096
COUNTERS_PERIOD_SECONDS = 10.0
BATCHING_THRESHOLD = 4  # events; from this batch size on, wait briefly for more
MAX_DECISION_ROUNDS = 8  # per batch, for events that its own actions cause immediately


class Dispatcher:
    """The dispatcher of one app server; call `connect_peers` before `run`."""

    def __init__(
        self, stop_timeout: float, settings: AdmissionSettings, results_limit: float = math.inf
    ) -> None:
        """Create a dispatcher; `results_limit` is the memory in bytes that retained results may use."""
        self.stop_timeout = stop_timeout
        # The shutdown notice may be handled late, by up to `answer_slack`. Shorten the grace period by as
        # much, so that no request that arrived after its real end is run.
        grace = max(0.0, settings.terms.drain_grace - settings.terms.answer_slack)
        self.settings = settings._replace(terms=settings.terms._replace(drain_grace=grace))
        self.classes, self.tick = settings.request_classes, settings.machine.tick
        self.inbox, self.events = anyio.create_memory_object_stream[Event](MAILBOX_SIZE)
        self.controller: AdmissionController | None = None  # None until the processor is ready
        self.extensions = ExtensionHub()
        self.in_flight = InFlightRequests(
            self.classes,
            self.settings.terms,
            self.extensions,
            lambda id: self.dependency.send(AbandonCall(id)),
        )
        self.retained = IdempotencyCache(settings.longest_client_timeout, results_limit)
        self.intake = RequestIntake(self.settings, self.in_flight, self.retained, self.extensions)
        self.timers = PolicyTimers()
        self.gauges: tuple[float, ...] = ()
        self.drain = DrainState()
        self.warm_at = 0.0
        self.next_counters_at = clock() + COUNTERS_PERIOD_SECONDS

    def connect_peers(
        self, listener: Listener, processor: ProcessorClient, dependency: DependencyClient,
        endpoint_registry: EndpointRegistryClient,
    ) -> None:  # fmt: skip
        """Set the actors that the dispatcher sends messages to."""
        self.listener, self.dependency = listener, dependency
        self.commands = ProcessorCommands(processor, self.classes)
        self.executor = ActionExecutor(
            self.settings, self.in_flight, self.retained, self.timers, self.commands,
            Peers(listener, dependency, endpoint_registry), self._reuse_ended,
        )  # fmt: skip
        self.runs = RunEvents(
            self.settings, self.in_flight, self.retained, self.commands, self.executor, self._guarded
        )

    def set_extensions(self, extensions: tuple[Extension, ...]) -> None:
        """Replace the set of active extensions."""
        self.extensions.set_extensions(extensions)

    # The loop.

    async def run(self) -> None:
        """Run until the drain is over."""
        with self.events:
            while not self.drain.is_done:
                batch = await self._collect()
                if len(batch) >= BATCHING_THRESHOLD:
                    # A loop iteration costs several times as much as handling one event, so under load events
                    # are collected for one tick. Small batches are handled without this delay.
                    await anyio.sleep(self.tick)
                    batch += take_all(self.events)
                self.process_batch(clock(), batch)

    async def _collect(self) -> list[Event]:
        """Wait for an event or the next due time, then take all queued events."""
        if batch := take_all(self.events):
            return batch
        with anyio.move_on_after(max(0.0, self.next_moment() - clock())):
            batch.append(await self.events.receive())
        return batch + take_all(self.events)

    def next_moment(self) -> float:
        """The time of the next wake-up if no event arrives before it."""
        moments = [self.next_counters_at, *self.timers.next_moments(), *self.runs.unconfirmed.next_moments()]
        moments += [heap[0][0] for heap in (self.in_flight.deadlines,) if heap]
        moments += self.drain.next_moments(self.in_flight.unanswered > 0)
        if self.drain.plan and self.extensions.observers:
            moments.append(
                clock() + GAUGE_LEAD_SECONDS
            )  # observers may still hold answers that wait for a disk write
        return min(moments)

    def process_batch(self, now: float, batch: list[Event]) -> None:
        """Handle a batch of events, expired timers and deadlines, and the decisions that follow."""
        for event in batch:
            self._guarded(self.handle, now, event)
        self._guarded(self._handle_expired, now)
        self.execute_decisions(now)
        if self.drain.must_answer_all(now):  # after the policy has decided on the requests of this batch
            for request in list(self.in_flight.by_id.values()):
                self._fail_unanswered(now, request)
        if now >= self.next_counters_at:
            self.next_counters_at = now + COUNTERS_PERIOD_SECONDS
            self.log_counters()

    def log_counters(self) -> None:
        """Log all counters and gauges of this process."""
        values: dict[str, Any] = {**logs.gauges, **logs.counters}
        in_flight, retained = len(self.in_flight), len(self.retained.by_id)
        logs.log_event(
            logging.INFO, "counters", requests_in_flight=in_flight, keys_retained=retained, **values
        )

    def _guarded(self, do: Callable[..., Any], *args: Any) -> Any:
        """Call a function; log an exception instead of letting it stop the dispatcher."""
        try:
            return do(*args)
        except Exception as error:
            logs.counters["dispatcher_errors"] += 1
            logs.log_event(logging.ERROR, "dispatcher_failed", error)
            check_invariant(False, "no_dispatcher_error", place=logs.describe_error(error))
            return None

    # Events.

    def handle(self, now: float, event: Event) -> None:
        """Handle one event."""
        match event:
            case RequestReceived():
                self.intake.receive(now, self.controller, event)
            case HealthCheckReceived(client, number):
                client.send(HealthAnswer(number, self.executor.is_healthy, self.in_flight.backpressure))
            case ClientGone():
                self._client_gone(now, event)
            case RunEnded():
                self.runs.ended(now, event)
            case DependencyCallRequested():
                self.runs.call_requested(now, event)
            case CallEnded():
                self.runs.call_ended(now, event)
            case GaugesRead(values):
                self.gauges = values
            case ProcessorReady():
                self._processor_ready(now, event)
            case CommandsDiscarded():
                self.runs.commands_discarded(event)
            case ProcessorSynced():
                self.runs.processor_synced(now, event)
            case ProcessorDisconnected():
                self.runs.processor_disconnected(now)
            case CommandRejected():
                self.runs.command_rejected(now, event)
            case ShutdownRequested(at):
                self._begin_drain(now, at)
            case StatusQuery(receiver):
                receiver.notify(self._status())
            case AllConnectionsClosed():
                self.drain.all_connections_closed = True

    def _processor_ready(self, now: float, event: ProcessorReady) -> None:
        if self.controller is not None:
            return
        overload = self.settings.overload._replace(starts_cold=event.is_cold)
        if event.is_cold:
            self.warm_at = now - event.age + overload.warm_up_timeout
        self.controller = AdmissionController(now - event.age, self.settings._replace(overload=overload))
        self.runs.controller = self.controller
        logs.log_event(logging.INFO, "processor_ready", is_cold=event.is_cold, age_seconds=event.age)
        if self.drain.plan:  # shutdown was requested before the controller existed
            self._announce_shutdown(self.controller, self.drain.plan)

    def _status(self) -> ServerStatus:
        names = self.settings.machine.gauges
        busy = self.gauges[names.index("busy")] if self.gauges and "busy" in names else None
        return ServerStatus(
            is_ready=self.controller is not None,
            is_processor_connected=self.commands.is_connected,
            warm_at=self.warm_at,
            busy=busy,
            requests=logs.counters["requests_received"],
            rejected=logs.counters["requests_rejected"],
            connections=len(self.listener.connections),
            max_connections=self.listener.max_connections,
        )

    def _client_gone(self, now: float, event: ClientGone) -> None:
        request = self.in_flight.by_id.get(event.id)
        if request is None or request.client is not event.client:
            return
        if request.is_answered or self.controller is None:
            return
        logs.counters["requests_abandoned"] += 1
        self.in_flight.close(request)
        self.intake.client_gone(request)
        self.controller.client_gone(now, event.id)

    def _reuse_ended(self, now: float, id: str, outcome: Outcome) -> None:
        """Report a request that was answered with the result of another request."""
        if self.controller:
            self._guarded(self.controller.run_ended, now, id, outcome)

    def _begin_drain(self, now: float, at: float) -> None:
        """Begin the drain; all its times are relative to `at`, when the shutdown notice arrived."""
        if self.drain.plan:
            return
        plan = plan_drain(at, self.stop_timeout, self.settings.terms.drain_grace)
        logs.log_event(
            logging.INFO, "graceful_shutdown_started", stop_seconds=self.stop_timeout,
            requests_in_flight=len(self.in_flight), heard_after_seconds=now - at,
        )  # fmt: skip
        # Routers learn of the drain seconds later, and the policy admits requests during the grace period.
        # Keep the listener open until then: the servers that take over may still be warming up.
        self.drain.begin(plan, self.extensions.extends_drain, bool(self.listener.connections))
        self.extensions.drain_started(self.drain.listener_closes_at)
        if self.controller:
            self._announce_shutdown(self.controller, plan)
        else:
            self.executor.execute(now, actions.ReportHealth(from_store=True, is_healthy=False))

    def _announce_shutdown(self, controller: AdmissionController, plan: DrainPlan) -> None:
        """Notify the policy, and make its timers expire within the time left."""
        time_left = plan.policy_stop(controller.interval) - plan.notice_at
        controller.shutdown_announced(plan.notice_at, time_left)
        self.timers.expire_by(plan.last_timer_at)

    # Expired timers and deadlines.

    def _handle_expired(self, now: float) -> None:
        self.retained.purge(now)
        self._expire_timers(now)
        self.runs.give_up_silent(now)
        for request in self.in_flight.take_expired(now):
            self._fail_unanswered(now, request)
        if self.drain.take_listener_close(now):
            self.listener.notify(CloseListener())
            self.drain.all_connections_closed = not self.listener.connections
        has_pending_answers = self.extensions.has_pending_answers()
        self.drain.update_end(now, self.in_flight.unanswered > 0, has_pending_answers)

    def _expire_timers(self, now: float) -> None:
        while (timer := self.timers.take_expired(now)) is not None:
            if timer.mark is None:
                self.commands.read_gauges()
            elif self.controller:
                try:
                    self.controller.timer_expired(now, timer.mark, self.gauges)
                except Exception:  # the policy sets its next timer in this call, so set it here instead
                    self.timers.set(now, timer.mark, self.settings.terms.answer_slack)
                    raise

    def _fail_unanswered(self, now: float, request: InFlightRequest) -> None:
        """Fail a request that the policy has not answered in time."""
        if request.is_answered:
            return
        self.in_flight.answer(request, Verdict.FAILED)
        if self.controller:
            self._guarded(self.controller.client_gone, now, request.header.id)
        check_invariant(False, "answered_in_time", id=request.header.id)

    # Actions.

    def execute_decisions(self, now: float) -> None:
        """Carry out the policy's actions, and handle the events that they cause immediately."""
        self.intake.batch_over()
        for _ in range(MAX_DECISION_ROUNDS):
            decided: list[Action] = (
                self.controller and self._guarded(self.controller.next_actions, now)
            ) or []
            for action in decided:
                self._guarded(self.executor.execute, now, action)
            self.commands.flush()
            own_events = self.executor.take_events()
            for event in own_events:
                self._guarded(self.handle, now, event)
            may_lead_on = any(
                isinstance(action, actions.ReuseResult | actions.ReleaseKey) for action in decided
            )
            if not own_events and not may_lead_on:
                break
