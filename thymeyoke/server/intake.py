"""Checks incoming requests, matches retries with their original and submits them to the policy."""

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

LEAST_TIME_LEFT_SECONDS = 0.001  # above zero, which means an unknown time left


class RequestIntake:
    """Accepts incoming requests; `batch_keys` holds the keys of this batch, which are not retained yet."""

    def __init__(
        self, settings: AdmissionSettings, in_flight: InFlightRequests, retained: IdempotencyCache,
        extensions: ExtensionHub,
    ) -> None:  # fmt: skip
        self.settings, self.classes = settings, settings.request_classes
        self.in_flight, self.retained, self.extensions = in_flight, retained, extensions
        self.batch_keys: dict[IdempotencyKey, str] = {}  # request ids; cleared by `batch_over`

    def batch_over(self) -> None:
        """End a batch of events."""
        self.batch_keys.clear()

    def client_gone(self, request: InFlightRequest) -> None:
        """Forget an abandoned request, so that a later attempt in this batch does not wait for it."""
        if request.key and self.batch_keys.get(request.key) == request.header.id:
            del self.batch_keys[request.key]

    def receive(self, now: float, controller: AdmissionController | None, event: RequestReceived) -> None:
        """Handle an incoming request; `controller` is None while the processor is not ready."""
        client, number, header = event
        backpressure = self.in_flight.backpressure
        if controller is None or header.id in self.in_flight.by_id:
            logs.counters["unexpected_requests"] += 1
            return client.send(Answer(number, Verdict.REJECTED, backpressure=backpressure))
        if header.id in self.retained.by_id:
            # A correct router never reuses an id. If this request were admitted, its end would release the
            # idempotency key of the retained request, and the next attempt would run a second time.
            logs.counters["unexpected_requests"] += 1
            return client.send(Answer(number, Verdict.FAILED, backpressure=backpressure))
        if not self.extensions.accepts_requests():
            logs.counters["requests_rejected_by_ledger"] += 1
            retry_after = self.settings.clients.max_retry_after
            return client.send(
                Answer(number, Verdict.REJECTED, backpressure=backpressure, retry_after=retry_after)
            )
        key = self._key_of(header)
        # If the client's clock is ahead, `received_at` could lie after the original's retention period.
        original_id = self._find_original(key, min(header.received_at, now)) if key else None
        if original_id and header.idempotency_key and not self._has_same_body(original_id, header):
            # All attempts of a request carry the same body, so this is a different request that reuses the
            # key. It must not get the result.
            logs.counters["mismatched_bodies"] += 1
            return client.send(Answer(number, Verdict.FAILED, backpressure=backpressure))
        self._submit(now, controller, event, key, original_id)

    def _key_of(self, header: RequestHeader) -> IdempotencyKey | None:
        """The key that all attempts of a request share, or None if its result must not be shared."""
        if self.classes[header.class_index].idempotency is Idempotency.WITH_KEY:
            mark = header.idempotency_key
        else:
            mark = header.subject if self.settings.clients.result_freshness else None
        return (header.class_index, mark) if mark else None

    def _find_original(self, key: IdempotencyKey, reached_at: float) -> str | None:
        """The id of the retained request, or of one in this batch, that an attempt with this key repeats.

        An earlier attempt in the same batch counts although it is not retained yet, unless it has already
        ended, as after a start that the processor rejected.
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
            # The next attempt in this batch repeats the same original. If the policy does not reuse the
            # original's result, this request is the one that runs and that later attempts repeat.
            is_reusing = original_id is not None and controller.is_reusing_result(header.id)
            self.batch_keys[key] = original_id if original_id is not None and is_reusing else header.id
        logs.log_event(
            logging.DEBUG, "request_received", id=header.id, request_class=header.class_index,
            time_left_seconds=time_left,
        )  # fmt: skip
