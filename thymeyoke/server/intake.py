"""Requests that were read: checked, matched with the ones that they repeat, submitted to the policy."""

from __future__ import annotations

import logging

from thymeyoke.admission.controller import AdmissionController
from thymeyoke.admission.events import Request
from thymeyoke.admission.settings import AdmissionSettings, Idempotency
from thymeyoke.runtime import logs
from thymeyoke.runtime.extensions import Answer, Verdict
from thymeyoke.server.extension_hub import ExtensionHub
from thymeyoke.server.idempotency import IdempotencyCache, IdempotencyKey
from thymeyoke.server.in_flight import InFlightRequest, InFlightRequests
from thymeyoke.server.messages import UNKNOWN, RequestHeader, RequestReceived

LEAST_TIME_LEFT_SECONDS = 0.001  # less would mean that the time left is unknown


class RequestIntake:
    """Takes requests in. `batch_keys` knows the attempts of one batch, which are not retained yet."""

    def __init__(
        self, settings: AdmissionSettings, in_flight: InFlightRequests, retained: IdempotencyCache,
        extensions: ExtensionHub,
    ) -> None:  # fmt: skip
        self.settings, self.classes = settings, settings.request_classes
        self.in_flight, self.retained, self.extensions = in_flight, retained, extensions
        self.batch_keys: dict[IdempotencyKey, str] = {}  # ids of requests; emptied by `batch_over`

    def batch_over(self) -> None:
        """The events of this batch are in."""
        self.batch_keys.clear()

    def client_gone(self, request: InFlightRequest) -> None:
        """Nobody waits for it: the next attempt of its key in this batch does not repeat it."""
        if request.key and self.batch_keys.get(request.key) == request.header.id:
            del self.batch_keys[request.key]

    def receive(self, now: float, controller: AdmissionController | None, event: RequestReceived) -> None:
        """A request was read; `controller` is None while the processor is not ready."""
        client, number, header = event
        backpressure = self.in_flight.backpressure
        if controller is None or header.id in self.in_flight.by_id:
            logs.counters["unexpected_requests"] += 1
            return client.send(Answer(number, Verdict.REJECTED, backpressure=backpressure))
        if header.id in self.retained.by_id:
            # No router uses an id twice. Admitted, it would stand for the retained request of that id, and
            # its end would release that request's key: the next attempt would run once more.
            logs.counters["unexpected_requests"] += 1
            return client.send(Answer(number, Verdict.FAILED, backpressure=backpressure))
        if not self.extensions.accepts_requests():
            logs.counters["requests_rejected_by_ledger"] += 1
            retry_after = self.settings.clients.max_retry_after
            return client.send(
                Answer(number, Verdict.REJECTED, backpressure=backpressure, retry_after=retry_after)
            )
        key = self._key_of(header)
        # By a clock that is ahead an attempt would lie behind the window of the run that it repeats.
        original_id = self._find_original(key, min(header.received_at, now)) if key else None
        if original_id and header.idempotency_key and not self._has_same_body(original_id, header):
            # All attempts of one request carry the same body: this is none of them, and gets none of its
            # result.
            logs.counters["mismatched_bodies"] += 1
            return client.send(Answer(number, Verdict.FAILED, backpressure=backpressure))
        self._submit(now, controller, event, key, original_id)

    def _key_of(self, header: RequestHeader) -> IdempotencyKey | None:
        """What attempts of the same request have in common, where their result may be shared."""
        if self.classes[header.class_index].idempotency is Idempotency.WITH_KEY:
            mark = header.idempotency_key
        else:
            mark = header.subject if self.settings.clients.result_freshness else None
        return (header.class_index, mark) if mark else None

    def _find_original(self, key: IdempotencyKey, reached_at: float) -> str | None:
        """The retained request that an attempt with this key repeats, or the one that came in this batch.

        Two attempts in one batch know each other though the earlier is not retained yet. A run that was not
        begun ends its request, and this batch may have more attempts of it.
        """
        if retained := self.retained.find(key, reached_at):
            return retained
        id = self.batch_keys.get(key)
        return id if id in self.in_flight.by_id else None

    def _has_same_body(self, original_id: str, header: RequestHeader) -> bool:
        retained = self.retained.by_id.get(original_id)
        if retained:
            return retained.body_hash == hash(header.body)
        return self.in_flight.by_id[original_id].header.body == header.body

    def _submit(
        self, now: float, controller: AdmissionController, event: RequestReceived,
        key: IdempotencyKey | None, original_id: str | None,
    ) -> None:  # fmt: skip
        client, number, header = event
        request_class = self.classes[header.class_index]
        request = InFlightRequest(client, number, header, key, request_class.client_timeout)
        request.original_id = original_id
        self.in_flight.add(now, request)
        logs.counters["requests_received"] += 1
        time_left = request.deadline - now
        has_timeout = header.client_timeout != UNKNOWN
        controller.submit(now, Request(
            id=header.id,
            class_index=header.class_index,
            tenant=header.tenant,
            size=header.size,
            subject=header.subject,
            work_hint=header.work_hint,
            is_retry=header.is_retry,
            is_write=request_class.idempotency is not Idempotency.IDEMPOTENT,
            original_id=original_id,
            priority=header.priority,
            time_left=max(LEAST_TIME_LEFT_SECONDS, time_left) if has_timeout else UNKNOWN,
            client=header.client,
            queueing_delay=max(0.0, now - header.received_at),
        ))  # fmt: skip
        if key:
            # The next attempt in this batch repeats the same original, unless the original is rejected: then
            # this request runs, and the next attempt repeats it.
            is_reusing = original_id is not None and controller.is_reusing_result(header.id)
            self.batch_keys[key] = original_id if original_id is not None and is_reusing else header.id
        logs.log_event(
            logging.DEBUG, "request_received", id=header.id, request_class=header.class_index,
            time_left_seconds=time_left,
        )  # fmt: skip
