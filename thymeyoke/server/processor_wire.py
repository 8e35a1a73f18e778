"""The protocol of the processor: commands and notices as JSON objects, one per line."""

from __future__ import annotations

from base64 import b64decode, b64encode
from typing import Any, NamedTuple

import orjson

from thymeyoke.admission.events import Outcome
from thymeyoke.runtime.errors import ThymeyokeError
from thymeyoke.server.messages import (
    CallResult,
    Command,
    CommandRejected,
    ContinueWithoutCall,
    DependencyCallRequested,
    Event,
    GaugesRead,
    ProcessorReady,
    ProcessorSynced,
    ReadGauges,
    ResumeRun,
    RunEnded,
    StartRun,
    StopRun,
)

OUTCOMES = {
    "OK": Outcome.OK,
    "ERROR": Outcome.ERROR,
    "STOPPED": Outcome.STOPPED,
    "MOOT": Outcome.NOT_STARTED,
}
COMMANDS_BY_NAME: dict[Any, type[Command]] = {
    "begin": StartRun,
    "interrupt": StopRun,
    "goon": ResumeRun,
    "without": ContinueWithoutCall,
    "answer": CallResult,
    "usage": ReadGauges,
}
GAUGES_TICKET = "gauges"
SYNC_TICKET = "sync"  # followed by the link's number
CONFIRMATION_TICKET = "confirm"  # followed by the request's number
MILLISECONDS_PER_SECOND = 1000
MAX_QUOTED_BYTES = 80  # of a line that an error message shows


class InvalidLineError(ThymeyokeError):
    """Raised for a line from the processor that violates the protocol; its link is closed."""


class RequestSync(NamedTuple):
    """Request a confirmation that all notices from before this link have been sent."""

    link: int


class RequestConfirmation(NamedTuple):
    """Request a confirmation that the commands written before were received."""

    number: int


class CommandsConfirmed(NamedTuple):
    """The processor has received the commands written before the request with this number."""

    number: int


class Notice(NamedTuple):
    """One line from the processor."""

    cursor: int  # the line's number; 0 if it has none
    event: Event | CommandsConfirmed | None  # None if nobody needs it


def encode_hello(cursor: int) -> bytes:
    """Encode the first line of a link, with the number of the last notice that was read."""
    return orjson.dumps({"event": "hello", "cursor": cursor}) + b"\n"


def encode(command: Command | RequestSync | RequestConfirmation, class_names: list[str]) -> bytes:
    """Encode a command as a line; `class_names` holds the request classes by index."""
    line: dict[str, Any]
    match command:
        case StartRun(id, class_index, body):
            encoded = b64encode(body).decode()
            line = {"event": "begin", "handle": id, "entry": class_names[class_index], "arg": encoded}
        case CallResult(id, body):
            line = {"event": "answer", "handle": id, "arg": b64encode(body).decode()}
        case StopRun(id):
            line = {"event": "interrupt", "handle": id}
        case ResumeRun(id):
            line = {"event": "goon", "handle": id}
        case ContinueWithoutCall(id):
            line = {"event": "without", "handle": id}
        case ReadGauges():
            line = {"event": "usage", "ticket": GAUGES_TICKET}
        case RequestSync(link):
            line = {"event": "usage", "ticket": f"{SYNC_TICKET}{link}"}
        case RequestConfirmation(number):
            line = {"event": "usage", "ticket": f"{CONFIRMATION_TICKET}{number}"}
    return orjson.dumps(line) + b"\n"


def decode(line: bytes, link: int) -> Notice:
    """Decode a line received on this link; raises `InvalidLineError` if it is invalid."""
    try:
        fields: dict[str, Any] = orjson.loads(line)
        return Notice(int(fields.get("cursor", 0)), _decode_event(fields, link))
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        reason = f"{type(error).__name__} {error} in {line[:MAX_QUOTED_BYTES]!r}"
        raise InvalidLineError(reason) from None


def _decode_event(fields: dict[str, Any], link: int) -> Event | CommandsConfirmed | None:
    match fields["event"]:
        case "hi":
            return ProcessorReady(fields["fate"] == "COLD", fields["lasted"] / MILLISECONDS_PER_SECOND)
        case "complete":
            result = b64decode(fields.get("arg") or "", validate=True)
            run_time = float(fields.get("lasted") or 0) / MILLISECONDS_PER_SECOND
            return RunEnded(fields["handle"], OUTCOMES[fields["fate"]], result, run_time)
        case "ask":
            body = b64decode(fields.get("arg") or "", validate=True)
            return DependencyCallRequested(fields["handle"], body)
        case "used" if fields.get("ticket") == f"{SYNC_TICKET}{link}":
            return ProcessorSynced(link)
        case "used" if str(fields.get("ticket")).startswith(CONFIRMATION_TICKET):
            return CommandsConfirmed(int(fields["ticket"].removeprefix(CONFIRMATION_TICKET)))
        case "used":
            return GaugesRead(tuple(float(value) for value in fields["figures"]))
        case "reject":
            return CommandRejected(fields.get("handle", ""), COMMANDS_BY_NAME.get(fields.get("fate")))
        case "remark":
            return None
    raise InvalidLineError(f"unknown event {str(fields['event'])[:40]}")
