"""Carries out the policy's actions: commands, answers, timers, retained keys."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import NamedTuple, Protocol

from thymeyoke.admission import actions
from thymeyoke.admission.actions import Action
from thymeyoke.admission.events import Outcome
from thymeyoke.admission.settings import AdmissionSettings, Idempotency
from thymeyoke.runtime import logs
from thymeyoke.runtime.extensions import Verdict
from thymeyoke.runtime.invariants import check_invariant
from thymeyoke.server.idempotency import IdempotencyCache, Result
from thymeyoke.server.in_flight import InFlightRequest, InFlightRequests
from thymeyoke.server.messages import (
    AbandonCall,
    CallEnded,
    CloseListener,
    ContinueWithoutCall,
    HealthChanged,
    IdleTimeoutChanged,
    ResumeRun,
    StartCall,
    StartRun,
)
from thymeyoke.server.processor_commands import ProcessorCommands
from thymeyoke.server.timers import PolicyTimers


class ListenerHandle(Protocol):
    """The listener; `notify` does not block."""

    def notify(self, message: IdleTimeoutChanged | CloseListener) -> None:
        """Apply a change."""


class DependencyHandle(Protocol):
    """The client of the dependency; `send` does not block."""

    def send(self, message: StartCall | AbandonCall) -> bool:
        """Queue a message; return False if a call will not be made."""


class EndpointRegistryHandle(Protocol):
    """The client of the endpoint registry; `send` does not block."""

    def send(self, message: HealthChanged) -> None:
        """Queue a report."""


class Peers(NamedTuple):
    """The actors that carry out actions, except for the client of the processor."""

    listener: ListenerHandle
    dependency: DependencyHandle
    endpoint_registry: EndpointRegistryHandle


class ActionExecutor:
    """Carries out actions; `take_events` returns the events that they cause immediately."""

    def __init__(
        self, settings: AdmissionSettings, in_flight: InFlightRequests, retained: IdempotencyCache,
        timers: PolicyTimers, commands: ProcessorCommands, peers: Peers,
        reuse_ended: Callable[[float, str, Outcome], None],
    ) -> None:  # fmt: skip
        """Create an executor; it calls `reuse_ended` for each request answered with another one's result."""
        self.classes, self.result_freshness = settings.request_classes, settings.clients.result_freshness
        self.in_flight, self.retained, self.timers = in_flight, retained, timers
        self.commands, self.peers, self.reuse_ended = commands, peers, reuse_ended
        self.is_healthy = True  # the answer to health checks
        self.events: list[CallEnded] = []

    def take_events(self) -> list[CallEnded]:
        """Take the events that actions have caused since the last call."""
        events, self.events = self.events, []
        return events

    def execute(self, now: float, action: Action) -> None:
        """Carry out one action."""
        match action:
            case actions.PublishSignal(value):
                self.in_flight.backpressure = value
            case actions.ReportHealth(_, is_healthy):
                self.is_healthy = is_healthy
                self.peers.endpoint_registry.send(HealthChanged(is_healthy))
            case actions.SetIdleTimeout(span):
                self.peers.listener.notify(IdleTimeoutChanged(span))
            case actions.SetTimer(mark, span):
                self.timers.set(now, mark, span)
            case actions.LogNote(text):
                logs.log_event(logging.INFO, "policy_note", text=text)
            case _:
                request = self.in_flight.by_id.get(action.id)
                if request is not None:
                    self._execute_for(now, request, action)
                elif isinstance(action, actions.ReleaseKey):
                    self.release_key(now, action.id)

    def _execute_for(self, now: float, request: InFlightRequest, action: Action) -> None:
        id = request.header.id
        match action:
            case actions.Run():
                self._start_or_resume(now, request)
            case actions.Reject(_, is_terminal, retry_after):
                self._reject(request, is_terminal, retry_after)
            case actions.Fail():
                self.in_flight.answer(request, Verdict.FAILED)
            case actions.Stop():
                self.commands.stop(request)
            case actions.ReuseResult():
                result = self.retained.result_for(id, request.original_id)
                if result is not None:
                    self.answer_repeats(now, request.original_id, [id], result)
            case actions.CallDependency(_, deadline):
                self._start_call(request, deadline)
            case actions.RetainKey(_, span):
                if request.key:
                    freshness = 0.0 if request.header.idempotency_key else self.result_freshness
                    body_hash = hash(request.header.body)
                    self.retained.retain(id, request.key, now + span, freshness, body_hash)
            case actions.ReleaseKey():
                self.release_key(now, id)
            case actions.ContinueDegraded():
                self.commands.send(now, request, ContinueWithoutCall(id))

    def _start_or_resume(self, now: float, request: InFlightRequest) -> None:
        id = request.header.id
        if request.has_started and request.is_paused:
            request.is_paused = False
            self.commands.send(now, request, ResumeRun(id))
        elif check_invariant(not request.has_started, "runs_once", id=id):
            request.has_started = True
            command = StartRun(id, request.header.class_index, request.header.body)
            self.commands.send(now, request, command)

    def _reject(self, request: InFlightRequest, is_terminal: bool, retry_after: float) -> None:
        id, request_class = request.header.id, self.classes[request.header.class_index]
        is_idempotent = request_class.idempotency is Idempotency.IDEMPOTENT
        if check_invariant(not request.has_started or is_idempotent, "rejected_never_ran", id=id):
            self.in_flight.answer(request, Verdict.REJECTED, retry_after=retry_after, is_terminal=is_terminal)

    def _start_call(self, request: InFlightRequest, deadline: float) -> None:
        id = request.header.id
        request.is_calling = True
        request.calls += 1
        if not self.peers.dependency.send(StartCall(id, deadline, request.call_body)):
            self.events.append(CallEnded(id, Outcome.UNREACHABLE, b"", 0.0))

    def release_key(self, now: float, id: str) -> None:
        """Release the key of a request that never ran; retries that wait for its result fail."""
        self.answer_repeats(now, id, self.retained.release(id), Result(None, now))

    def answer_repeats(self, now: float, original_id: str | None, ids: list[str], result: Result) -> None:
        """Answer requests with the result that they waited for.

        A request may have timed out, and a faulty client may have reused its id for another request.
        """
        for id in ids:
            request = self.in_flight.by_id.get(id)
            if request is None or request.is_answered:
                continue
            if request.original_id != original_id:
                continue
            is_ok = result.body is not None
            logs.counters["results_reused"] += 1
            self.in_flight.answer(request, Verdict.SERVED if is_ok else Verdict.FAILED, result.body or b"")
            self.reuse_ended(now, id, Outcome.OK if is_ok else Outcome.ERROR)
