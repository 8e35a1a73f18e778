"""The MessagePack-RPC protocol between routers and an app server.

This module alone knows the protocol's method and field names; it maps them to typed messages.
"""

from __future__ import annotations

from typing import Any, NamedTuple

import msgpack

from thymeyoke.configuration.start_file import RequestNames
from thymeyoke.runtime.clock import clock
from thymeyoke.runtime.extensions import Verdict
from thymeyoke.runtime.msgpack_rpc import NOTIFICATION, REPLY, FrameReader, InvalidFrameError, are_integers
from thymeyoke.server.messages import UNKNOWN, ClientMessage, HealthAnswer, RequestHeader, ShutdownNotice

MAX_NUMBER = 1 << 32
MAX_REQUEST_SIZE = 2000.0  # kilobytes
MAX_TIMEOUT_SECONDS = 3600.0
MAX_CLOCK_SKEW_SECONDS = 1.0  # how far in the future a request's arrival time may be
ID_LENGTH = 16
MILLISECONDS_PER_SECOND = 1000
HEALTH_CHECK_METHOD, SHUTDOWN_METHOD = "alive", "leaving"
ERROR_NAMES = {Verdict.REJECTED: "Shed", Verdict.FAILED: "Fault"}


class RequestMessage(NamedTuple):
    """A request."""

    number: int
    header: RequestHeader


class HealthCheckMessage(NamedTuple):
    """A health check."""

    number: int


class CancelMessage(NamedTuple):
    """The client has abandoned a request."""

    number: int


class InvalidRequestMessage(NamedTuple):
    """A malformed request whose number is known, so that it can be answered."""

    number: int
    reason: str


Message = RequestMessage | HealthCheckMessage | CancelMessage | InvalidRequestMessage


class RequestReader(FrameReader[Message]):
    """Decodes the messages of one router connection."""

    def __init__(self, request_names: RequestNames) -> None:
        super().__init__()
        self.request_names = request_names

    def _message(self, frame: Any) -> Message:
        match frame:
            case [0 as kind, int(number), str(method), list(parameters)] if (
                are_integers(kind, number) and 0 <= number < MAX_NUMBER
            ):
                match parameters:
                    case [dict()] if method == HEALTH_CHECK_METHOD:
                        return HealthCheckMessage(number)
                    case [dict(fields), bytes(body)]:
                        return self._request(number, method, fields, body)
                return InvalidRequestMessage(number, "the arguments must be a map of fields and a body")
            case [2 as kind, "cancelRequest", [int(number)]] if are_integers(kind, number):
                return CancelMessage(number)
        raise InvalidFrameError(f"unknown message {str(frame)[:80]}")

    def _request(self, number: int, method: str, fields: dict[str, str], body: bytes) -> Message:
        try:
            header = self._header(method, fields, body)
        except (KeyError, TypeError, ValueError) as error:
            return InvalidRequestMessage(number, f"{type(error).__name__} {error}")
        if header is None:
            return InvalidRequestMessage(number, "a number is out of range")
        if not (isinstance(header.id, str) and len(header.id) == ID_LENGTH and header.id.isalnum()):
            return InvalidRequestMessage(number, f"ref must be {ID_LENGTH} letters and digits")
        return RequestMessage(number, header)

    def _header(self, method: str, fields: dict[str, str], body: bytes) -> RequestHeader | None:
        """Decode a request; None if a number is out of range.

        Raises KeyError, TypeError or ValueError for other invalid fields.
        """
        received_at, timeout = _integer(fields["since"]) / MILLISECONDS_PER_SECOND, fields.get("allow")
        client_timeout = UNKNOWN if timeout is None else _integer(timeout) / MILLISECONDS_PER_SECOND
        size, priority = float(fields["room"]), float(fields["class_rank"])
        client = _integer(fields["sender"])
        work_hint = float(fields.get("effort", UNKNOWN)) / MILLISECONDS_PER_SECOND
        has_valid_timeout = timeout is None or 0 < client_timeout < MAX_TIMEOUT_SECONDS
        if not (
            0 < size < MAX_REQUEST_SIZE
            and 0 <= priority < 1
            and has_valid_timeout
            and 0 <= work_hint < MAX_TIMEOUT_SECONDS
            and client < MAX_NUMBER
            and 0 < received_at < clock() + MAX_CLOCK_SKEW_SECONDS
        ):
            return None
        tenants = self.request_names.tenants
        return RequestHeader(
            id=fields["ref"],
            class_index=self.request_names.request_classes[method],
            tenant=tenants[fields["project"]] if tenants else 0,
            client=client,
            received_at=received_at,
            client_timeout=client_timeout,
            size=size,
            priority=priority,
            idempotency_key=_optional_text(fields.get("replay")),
            subject=_optional_text(fields.get("lookup")),
            body=body,
            work_hint=work_hint,
            is_retry=fields.get("dup", "0") not in ("", "0"),
        )


def _integer(text: str) -> int:
    """Parse ASCII digits; `int` alone would accept signs, spaces, `_` and the digits of other scripts."""
    if not (text.isascii() and text.isdigit()):
        raise ValueError("not an integer")
    return int(text)


def _optional_text(text: str | None) -> str | None:
    if not (text is None or (isinstance(text, str) and text)):
        raise ValueError("an optional field must be a non-empty string")
    return text


def _pack(message: list[Any]) -> bytes:
    octets: bytes = msgpack.packb(message)
    return octets


def encode(message: ClientMessage) -> bytes:
    """Encode a message to a router."""
    if isinstance(message, ShutdownNotice):
        return _pack([NOTIFICATION, SHUTDOWN_METHOD, []])
    fields = {} if message.backpressure is None else {"pressure": f"{message.backpressure:g}"}
    if isinstance(message, HealthAnswer):
        return _pack([REPLY, message.number, None, [message.is_healthy, fields]])
    if message.verdict is Verdict.SERVED:
        return _pack([REPLY, message.number, None, [message.body, fields]])
    if message.retry_after > 0:
        fields["cooldown"] = f"{message.retry_after * MILLISECONDS_PER_SECOND:.0f}"
    if message.is_terminal:
        fields["nowhere"] = "1"
    return _pack([REPLY, message.number, [ERROR_NAMES[message.verdict], fields], None])
