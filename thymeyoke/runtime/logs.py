"""Log lines on standard error as key=value pairs or JSON, and counters, which are logged periodically.

An event has a stable name in snake_case; its fields are nouns.
"""

from __future__ import annotations

import logging
import time
from collections import Counter, deque
from typing import Any

import orjson

PEER_FAULT_LINES = 20  # log lines about faults of peers within PEER_FAULT_SECONDS; others are only counted
PEER_FAULT_SECONDS = 10.0

logger = logging.getLogger("thymeyoke")
counters: Counter[str] = Counter()  # of this process; bounded, as no key comes from input
gauges: dict[str, float] = {}  # logged with the counters
_peer_fault_times: deque[float] = deque(maxlen=PEER_FAULT_LINES)


def _quoted(value: object) -> str:
    text = f"{value:.6g}" if isinstance(value, float) else str(value)
    is_plain = text.isprintable() and not any(character in text for character in ' "=')
    if text and is_plain:
        return text
    return '"' + text.encode("unicode_escape").decode().replace('"', "'") + '"'


def _fields(record: logging.LogRecord) -> dict[str, Any]:
    fields = {"at": record.created, "level": record.levelname.lower(), "event": record.getMessage()}
    fields |= getattr(record, "fields", {})
    if record.exc_info and record.exc_info[1] is not None:
        fields["error"] = describe_error(record.exc_info[1])
    return fields


class KeyValueFormatter(logging.Formatter):
    """Formats a record as one line of key=value pairs; texts are quoted if necessary."""

    def format(self, record: logging.LogRecord) -> str:
        """Format a record."""
        fields = _fields(record) | {"at": f"{record.created:.3f}"}
        return " ".join(f"{key}={_quoted(value)}" for key, value in fields.items())


class JsonFormatter(logging.Formatter):
    """Formats a record as one JSON object."""

    def format(self, record: logging.LogRecord) -> str:
        """Format a record."""
        return orjson.dumps(_fields(record), default=str).decode()


def describe_error(error: BaseException) -> str:
    """Type, location and message of an exception in one line; of a group, its first exception."""
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    trace = error.__traceback__
    while trace and trace.tb_next:
        trace = trace.tb_next
    location = "?"
    if trace:
        location = f"{trace.tb_frame.f_code.co_filename.rsplit('/', 1)[-1]}:{trace.tb_lineno}"
    return f"{type(error).__name__} at {location}: {error}".replace("\n", " ")


def log_event(level: int, event: str, error: BaseException | None = None, **fields: Any) -> None:
    """Log an event."""
    if logger.isEnabledFor(level):
        logger.log(level, event, extra={"fields": fields}, exc_info=error)


def log_peer_fault(event: str, **fields: Any) -> None:
    """Log a fault of a peer as a warning; the rate is limited, as a peer could fill the log."""
    now = time.monotonic()
    is_full = len(_peer_fault_times) == PEER_FAULT_LINES
    if is_full and now < _peer_fault_times[0] + PEER_FAULT_SECONDS:
        counters["log_lines_dropped"] += 1
        return
    _peer_fault_times.append(now)
    log_event(logging.WARNING, event, **fields)


def configure_logging(level: str, log_form: str = "text") -> None:
    """Log to standard error from `level` on, in the form `text` (key=value) or `json`."""
    handler = logging.StreamHandler()
    handler.setFormatter(JsonFormatter() if log_form == "json" else KeyValueFormatter())
    logger.addHandler(handler)
    logger.setLevel(level.upper())
    logger.propagate = False
