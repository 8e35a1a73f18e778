"""Log lines on standard error, key=value pairs or JSON, and the counters that are logged now and then."""

from __future__ import annotations

import logging
import time
from collections import Counter, deque
from typing import Any

import orjson

logger = logging.getLogger("thymeyoke")
counts: Counter[str] = Counter()  # of this process; its keys are words of the code, not of the input
gauges: dict[str, float] = {}  # logged with the counters
PEER_LINES, PEER_SPAN = 20, 10.0  # what peers do wrong is told in so many lines a span, and counted besides
_peer_lines: deque[float] = deque(maxlen=PEER_LINES)


def _quoted(value: object) -> str:
    text = f"{value:.6g}" if isinstance(value, float) else str(value)
    plain = text.isprintable() and not any(mark in text for mark in ' "=')
    return text if text and plain else '"' + text.encode("unicode_escape").decode().replace('"', "'") + '"'


def _pairs(record: logging.LogRecord) -> dict[str, Any]:
    pairs = {"at": record.created, "level": record.levelname.lower(), "what": record.getMessage()}
    pairs |= getattr(record, "pairs", {})
    if record.exc_info and record.exc_info[1] is not None:
        pairs["error"] = place(record.exc_info[1])
    return pairs


class KeyValue(logging.Formatter):
    def format(self, record: logging.LogRecord) -> str:
        pairs = _pairs(record) | {"at": f"{record.created:.3f}"}
        return " ".join(f"{key}={_quoted(value)}" for key, value in pairs.items())


class Json(logging.Formatter):
    """The same pairs, one JSON object a line."""

    def format(self, record: logging.LogRecord) -> str:
        return orjson.dumps(_pairs(record), default=str).decode()


def place(error: BaseException) -> str:
    """An exception's type, text and place, on one line."""
    while isinstance(error, BaseExceptionGroup):  # of a task group: the first error in it tells more
        error = error.exceptions[0]
    trace = error.__traceback__
    while trace and trace.tb_next:
        trace = trace.tb_next
    where = f"{trace.tb_frame.f_code.co_filename.rsplit('/', 1)[-1]}:{trace.tb_lineno}" if trace else "?"
    return f"{type(error).__name__} at {where}: {error}".replace("\n", " ")


def say(level: int, what: str, error: BaseException | None = None, **pairs: Any) -> None:
    if logger.isEnabledFor(level):
        logger.log(level, what, extra={"pairs": pairs}, exc_info=error)


def of_peer(what: str, **pairs: Any) -> None:
    """Something that a peer did wrong. One that goes on doing it fills no log."""
    now = time.monotonic()
    if len(_peer_lines) == PEER_LINES and now < _peer_lines[0] + PEER_SPAN:
        counts["lines_left_out"] += 1
        return
    _peer_lines.append(now)
    say(logging.WARNING, what, **pairs)


def set_up(level: str, form: str = "text") -> None:
    handler = logging.StreamHandler()
    handler.setFormatter(Json() if form == "json" else KeyValue())
    logger.addHandler(handler)
    logger.setLevel(level.upper())
    logger.propagate = False
