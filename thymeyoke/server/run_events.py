"""Handles what the processor and the dependency report of runs, for the dispatcher."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from thymeyoke.admission.controller import AdmissionController
from thymeyoke.admission.events import Outcome
from thymeyoke.admission.settings import AdmissionSettings, StopEffect
from thymeyoke.runtime import logs
from thymeyoke.runtime.extensions import Verdict
from thymeyoke.server.action_executor import ActionExecutor
from thymeyoke.server.idempotency import IdempotencyCache, Result
from thymeyoke.server.in_flight import InFlightRequest, InFlightRequests
from thymeyoke.server.messages import (
    CallEnded,
    CallResult,
    CommandRejected,
    CommandsDiscarded,
    DependencyCallRequested,
    ProcessorSynced,
    RunEnded,
    StartRun,
)
from thymeyoke.server.processor_commands import ProcessorCommands
from thymeyoke.server.unconfirmed_runs import UnconfirmedRuns


class RunEvents:
    """Answers requests as their runs end, and passes the events of runs on to the policy."""

    def __init__(
        self, settings: AdmissionSettings, in_flight: InFlightRequests, retained: IdempotencyCache,
        commands: ProcessorCommands, executor: ActionExecutor, guarded: Callable[..., Any],
    ) -> None:  # fmt: skip
        """Create a handler; `guarded` calls a function and logs an exception instead of raising it."""
        self.settings, self.in_flight, self.retained = settings, in_flight, retained
        self.commands, self.executor, self.guarded = commands, executor, guarded
        self.controller: AdmissionController | None = None  # None until the processor is ready
        self.unconfirmed = UnconfirmedRuns(len(settings.request_classes), settings.terms.answer_slack)

    def call_requested(self, now: float, event: DependencyCallRequested) -> None:
        """Handle a run that waits for a dependency call."""
        request = self.in_flight.by_id.get(event.id)
        if request is None or self.controller is None:
            return
        self.unconfirmed.notice_received(now, request)
        request.call_body = event.body
        self.controller.waits_for_dependency(now, event.id)

    def call_ended(self, now: float, event: CallEnded) -> None:
        """Handle the end of a dependency call, and pass its result to the run."""
        request = self.in_flight.by_id.get(event.id)
        if request is None or not request.is_calling or self.controller is None:
            return
        request.is_calling = False
        logs.counters[f"calls_{event.outcome.value}"] += 1
        if event.outcome is Outcome.OK:
            self.commands.send(now, request, CallResult(event.id, event.body))
        self.controller.call_ended(now, event.id, event.outcome, event.took)

    def ended(self, now: float, event: RunEnded) -> None:
        """Handle the end or the stop of a run."""
        id, outcome, body, run_time = event
        request = self.in_flight.by_id.get(id)
        if request is None or self.controller is None:
            logs.counters["unknown_runs_ended"] += 1
            return self._late_run_ended(now, event)
        request.run_time = max(request.run_time, run_time)  # cumulative; reported at each stop and at the end
        self.unconfirmed.notice_received(now, request)
        if outcome is Outcome.STOPPED and request.is_paused and not request.is_answered:  # will be resumed
            self.guarded(self.controller.run_ended, now, id, outcome)
            return
        request.is_over = True
        logs.counters[f"runs_{outcome.value}"] += 1
        is_ok = outcome is Outcome.OK
        if not request.is_answered:
            self.in_flight.answer(request, Verdict.SERVED if is_ok else Verdict.FAILED, body)
        self.in_flight.drop_if_over(request)
        self.guarded(self.controller.run_ended, now, id, outcome)
        result = Result(body if is_ok else None, now)
        self.executor.answer_repeats(now, id, self.retained.complete(id, result), result)

    def _late_run_ended(self, now: float, event: RunEnded) -> None:
        """Answer later retries of a request whose run was given up with the result that it had after all."""
        retained = self.retained.by_id.get(event.id)
        if event.outcome is Outcome.OK and retained and retained.result and retained.result.body is None:
            self.retained.complete(event.id, Result(event.result, now))

    def command_rejected(self, now: float, event: CommandRejected) -> None:
        """Handle a command that the processor rejected.

        A rejected start ends the run as NOT_STARTED, so it adds no sample to the run times of its class, and
        its idempotency key is released. After any other rejected command the run continues or has ended.

        A start that was sent on two links may have run, so its key stays retained and its retries fail.
        """
        id, command = event
        logs.counters["commands_rejected"] += 1
        logs.log_peer_fault("command_rejected", id=id, command=command.__name__ if command else None)
        request = self.in_flight.by_id.get(id)
        if request and isinstance(request.last_command, StartRun) and command is StartRun:
            self.ended(now, RunEnded(id, Outcome.NOT_STARTED, b""))
            if not request.was_resent:
                self.executor.release_key(now, id)

    # Losses of the link.

    def commands_discarded(self, event: CommandsDiscarded) -> None:
        """Handle commands that were never written; they are sent on the next link."""
        known = [self.in_flight.by_id[id] for id in event.ids if id in self.in_flight.by_id]
        self.commands.discarded(known)

    def processor_synced(self, now: float, event: ProcessorSynced) -> None:
        """Send on a new link what did not arrive, and watch the runs of which this is unknown."""
        unconfirmed = self.commands.synced(now, event, self.in_flight.by_id.values())
        self.unconfirmed.link_synced(now, unconfirmed)
        logs.counters["runs_unconfirmed"] += len(unconfirmed)

    def processor_disconnected(self, now: float) -> None:
        """Hold commands until a new link is synced."""
        self.commands.disconnected()
        self.unconfirmed.link_lost(now)

    def give_up_silent(self, now: float) -> None:
        """Give up the runs that have been silent for too long since a loss of the link."""
        for request in self.unconfirmed.take_expired(now):
            self._give_up(now, request)

    def _give_up(self, now: float, request: InFlightRequest) -> None:
        """End a run whose last command was lost with a link, as far as is known; its key stays retained."""
        id, command = request.header.id, type(request.last_command).__name__
        logs.counters["runs_given_up"] += 1
        silent_seconds = now - request.command_sent_at
        logs.log_peer_fault("run_given_up", id=id, command=command, silent_seconds=silent_seconds)
        request.last_command = None  # it had no response
        request.is_paused = False
        self.ended(now, RunEnded(id, Outcome.STOPPED, b""))
        if self.settings.machine.stop_effect is not StopEffect.NONE:
            self.commands.stop(request)
