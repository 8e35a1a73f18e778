"""Runs instances of admission control for the simulator: reads batches of events, replies to each batch."""

from __future__ import annotations

from typing import Any, BinaryIO

import orjson

from thymeyoke.admission.controller import AdmissionController
from thymeyoke.configuration.start_file import SECONDS_PER_MICROSECOND, read_admission_settings
from thymeyoke.runtime.errors import ThymeyokeError
from thymeyoke.runtime.logs import describe_error
from thymeyoke.simulator import wire
from thymeyoke.simulator.wire import Row

MAX_QUOTED_LENGTH = 80  # characters of an input line in an error message


class InvalidInputError(ThymeyokeError):
    """The input violates the protocol; the message names the line."""


class SimulatorAdapter:
    """All simulated app servers of this process. The event `Teardown` removes an instance."""

    def __init__(self) -> None:
        self.instances: dict[int, AdmissionController] = {}

    def handle_batch(self, now: float, rows: list[Row]) -> list[Row]:
        """Pass a batch of events to its instances; returns their actions."""
        reply: list[Row] = []
        touched: dict[int, AdmissionController] = {}
        for row in rows:
            name, instance = self._address(row)
            if name == "Teardown":
                self.instances.pop(instance, None)
                touched.pop(instance, None)
                continue
            try:
                if name == "Launch":
                    settings = read_admission_settings(row[2], row[3])
                    self.instances[instance] = AdmissionController(now, settings)
                else:
                    wire.apply_event(self.instances[instance], now, row)
                touched[instance] = self.instances[instance]
            except Exception as error:
                reply.append(["Broken", instance, describe_error(error)])
        for instance, controller in touched.items():
            try:
                reply.extend(wire.encode_action(instance, action) for action in controller.next_actions(now))
            except Exception as error:
                reply.append(["Broken", instance, describe_error(error)])
        return reply

    def _address(self, row: Any) -> tuple[str, int]:
        """The name of an event and the number of its instance."""
        name = row[0] if isinstance(row, list) and len(row) > 1 else None
        if name not in ("Launch", "Teardown") and name not in wire.EVENTS:
            raise InvalidInputError(f"unknown event {str(row)[:MAX_QUOTED_LENGTH]}")
        instance = row[1]
        if name not in ("Launch", "Teardown") and instance not in self.instances:
            raise InvalidInputError(f"{name} for instance {instance}, which has not been launched")
        return name, instance


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Reply to batches until the input ends; raises `InvalidInputError`."""
    adapter, rows, now, sequence = SimulatorAdapter(), list[Row](), 0.0, None
    for line_number, line in enumerate(source, 1):
        try:
            row = orjson.loads(line)
        except orjson.JSONDecodeError as error:
            raise InvalidInputError(f"line {line_number}: not JSON ({error})") from None
        name = row[0] if isinstance(row, list) and row else None
        if name == "Tick":
            if len(row) < 3:
                raise InvalidInputError(f"line {line_number}: Tick without clock and number")
            now, sequence, rows = row[1] * SECONDS_PER_MICROSECOND, row[2], []
        elif name == "Commit":
            if sequence is None:
                raise InvalidInputError(f"line {line_number}: Commit without Tick")
            try:
                reply = adapter.handle_batch(now, rows)
            except InvalidInputError as error:
                raise InvalidInputError(f"batch {sequence} (line {line_number}): {error}") from None
            reply.append(["Ack", sequence])
            sink.write(b"\n".join(map(orjson.dumps, reply)) + b"\n")
            sink.flush()
            sequence = None
        elif sequence is None or name is None:
            quoted = line[:MAX_QUOTED_LENGTH]
            raise InvalidInputError(f"line {line_number}: outside a batch or without a name: {quoted!r}")
        else:
            rows.append(row)
