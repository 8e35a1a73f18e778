"""The requests that an app server has in flight, and their answers."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from heapq import heappop, heappush
from typing import Any

from thymeyoke.admission.settings import RequestClass, ServiceTerms
from thymeyoke.runtime import logs
from thymeyoke.runtime.clock import clock
from thymeyoke.runtime.extensions import Answer, RequestCompletion, Verdict
from thymeyoke.runtime.invariants import check_invariant
from thymeyoke.server.extension_hub import ExtensionHub
from thymeyoke.server.idempotency import IdempotencyKey
from thymeyoke.server.messages import ClientHandle, Command, RequestHeader


class InFlightRequest:
    """A request from its arrival until it is answered and its run is over."""

    def __init__(
        self, client: ClientHandle, number: int, header: RequestHeader, key: IdempotencyKey | None,
        client_timeout: float,
    ) -> None:  # fmt: skip
        """Create a request; `client_timeout` in seconds applies if the request does not carry one."""
        self.client, self.number, self.header, self.key = client, number, header, key
        self.deadline = header.received_at + (header.client_timeout or client_timeout)
        self.is_answered = self.has_started = self.is_over = self.is_paused = self.is_calling = False
        self.original_id: str | None = None  # the request whose result answers this one
        self.last_command: Command | None = None  # kept until the processor has acknowledged it
        self.command_sent_at = 0.0
        self.sent_on_link = 0  # number of the link that the last command was sent on; 0 for none
        self.was_resent = False  # the last command was sent on two links
        self.call_body = b""  # body of the dependency call that the run waits for
        self.run_time = 0.0  # seconds, as reported by the processor
        self.calls = 0  # dependency calls made
        self.verdict: Verdict | None = None
        self.observers_notified = False

    @property
    def is_off_cores(self) -> bool:
        """Whether it uses no core: it has not started, or its run is over."""
        return self.is_over or not self.has_started


class InFlightRequests:
    """All requests in flight; each gets exactly one answer and is removed once it is off the cores too."""

    def __init__(
        self, classes: tuple[RequestClass, ...], terms: ServiceTerms, extensions: ExtensionHub,
        abandon_call: Callable[[str], Any],
    ) -> None:  # fmt: skip
        self.classes, self.terms, self.extensions = classes, terms, extensions
        self.abandon_call = abandon_call
        self.by_id: dict[str, InFlightRequest] = {}
        self.unanswered = 0
        self.deadlines: list[tuple[float, str]] = []  # a heap of expiry times and request ids
        self.backpressure: float | None = None  # sent with every answer

    def __len__(self) -> int:
        return len(self.by_id)

    def add(self, now: float, request: InFlightRequest) -> None:
        """Add a request."""
        self.by_id[request.header.id] = request
        self.unanswered += 1
        expires_at = max(now, request.deadline) + self.terms.answer_slack
        heappush(self.deadlines, (expires_at, request.header.id))

    def take_expired(self, now: float) -> Iterator[InFlightRequest]:
        """Take the requests whose deadline has passed, each of them once."""
        while self.deadlines and self.deadlines[0][0] <= now:
            moment, id = heappop(self.deadlines)
            if (request := self.by_id.get(id)) and request.deadline <= moment:
                yield request

    def answer(
        self, request: InFlightRequest, verdict: Verdict, body: bytes = b"", *, retry_after: float = 0.0,
        is_terminal: bool = False,
    ) -> None:  # fmt: skip
        """Give a request its final answer."""
        if not check_invariant(not request.is_answered, "answered_once", id=request.header.id):
            return
        request.verdict = verdict
        answer = Answer(request.number, verdict, body, self.backpressure, retry_after, is_terminal)
        logs.counters[f"requests_{verdict.value}"] += 1
        if self.extensions.observers and request.is_off_cores:  # it ends here, and its resource use is known
            self._notify_observers(request, len(body), answer)
        else:
            request.client.send(answer)
        self.close(request)

    def close(self, request: InFlightRequest) -> None:
        """Mark a request as answered or abandoned, abandon its dependency call, and remove it if possible."""
        request.is_answered = True
        self.unanswered -= 1
        if request.is_calling:
            request.is_calling = False
            self.abandon_call(request.header.id)
        self.drop_if_over(request)

    def drop_if_over(self, request: InFlightRequest) -> None:
        """Remove a request if it is answered and off the cores."""
        if request.is_answered and request.is_off_cores:
            self.by_id.pop(request.header.id, None)
            if self.extensions.observers and not request.observers_notified:
                self._notify_observers(request, 0, None)

    def _notify_observers(self, request: InFlightRequest, answer_bytes: int, answer: Answer | None) -> None:
        header, now = request.header, clock()
        completion = RequestCompletion(
            at=now,
            id=header.id,
            tenant=header.tenant,
            class_index=header.class_index,
            verdict=request.verdict,
            is_repeat=request.original_id is not None and not request.has_started,
            run_time=request.run_time,
            calls=request.calls,
            priority_weight=self.classes[header.class_index].priority_weight,
            size_bytes=len(header.body) + answer_bytes,
            client=request.client if answer else None,
            answer=answer,
            answer_by=min(now + self.terms.answer_slack / 2, max(now, request.deadline)),
        )
        self.extensions.request_completed(completion)
        request.observers_notified = True
