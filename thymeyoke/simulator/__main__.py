"""`python -m thymeyoke.simulator`: batches of events in, one reply a batch out, until input ends."""

from __future__ import annotations

import sys
from typing import Any, BinaryIO

import orjson

from thymeyoke.admission.controller import Choice
from thymeyoke.configuration.start_file import start
from thymeyoke.runtime.logs import place
from thymeyoke.simulator import wire


class BadInput(Exception):
    """The input cannot be read without guessing."""


class Drill:
    """The instances of this process. `yokes` is emptied by `Teardown`."""

    def __init__(self) -> None:
        self.yokes: dict[int, Choice] = {}

    def batch(self, now: float, rows: list[list[Any]]) -> list[list[Any]]:
        """Hand a batch to its instances and collect what they do."""
        reply: list[list[Any]] = []
        touched: dict[int, Choice] = {}
        for row in rows:
            name = row[0] if isinstance(row, list) and len(row) > 1 else None
            if name == "Teardown":
                self.yokes.pop(row[1], None)
                touched.pop(row[1], None)
                continue
            if name != "Launch" and name not in wire.EVENTS:
                raise BadInput(f"unknown event {str(row)[:80]}")
            i = row[1]
            if name != "Launch" and i not in self.yokes:
                raise BadInput(f"{name} for instance {i}, which has not been launched")
            try:
                if name == "Launch":
                    yoke = self.yokes[i] = Choice(now=now, **start(row[2], row[3]))
                else:
                    yoke = self.yokes[i]
                    wire.event(yoke, now, row)
                touched[i] = yoke
            except Exception as error:
                reply.append(["Broken", i, place(error)])
        for i, yoke in touched.items():
            try:
                reply.extend(wire.ACTIONS[type(act)](i, act) for act in yoke.settle(now))
            except Exception as error:
                reply.append(["Broken", i, place(error)])
        return reply


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    drill, rows, now, seq = Drill(), [], 0.0, None
    for line_number, line in enumerate(source, 1):
        try:
            row = orjson.loads(line)
        except orjson.JSONDecodeError as error:
            raise BadInput(f"line {line_number}: not JSON ({error})") from None
        name = row[0] if isinstance(row, list) and row else None
        if name == "Tick":
            if len(row) < 3:
                raise BadInput(f"line {line_number}: Tick without clock and number")
            now, seq, rows = row[1] * wire.MICRO, row[2], []
        elif name == "Commit":
            if seq is None:
                raise BadInput(f"line {line_number}: Commit without Tick")
            try:
                reply = drill.batch(now, rows)
            except BadInput as error:
                raise BadInput(f"batch {seq} (line {line_number}): {error}") from None
            reply.append(["Ack", seq])
            sink.write(b"\n".join(map(orjson.dumps, reply)) + b"\n")
            sink.flush()
            seq = None
        elif seq is None or name is None:
            raise BadInput(f"line {line_number}: outside a batch or without a name: {line[:80]!r}")
        else:
            rows.append(row)


def main() -> int:
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except BadInput as error:
        print(f"thymeyoke.simulator: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
