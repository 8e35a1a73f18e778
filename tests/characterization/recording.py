"""Recordings of values under `tests/data/`, free of the names of types, and the comparison with them."""

from __future__ import annotations

import dataclasses
import gzip
import os
import unittest
from collections.abc import Callable, Iterator, Mapping
from contextlib import contextmanager
from enum import Enum
from pathlib import Path
from typing import Any
from unittest import mock

import msgspec
import orjson

DATA = Path(__file__).parent.parent / "data"


def plain(value: Any, codes: Mapping[type, str | None]) -> Any:
    """A value as JSON can hold it.

    `codes` gives a short code to types that must be told apart; a type with None is left out of its
    sequence. All other records become the list of their fields in order, enumerations their value, or
    their position where the value is a text.
    """
    code = codes.get(type(value), "")
    prefix = [code] if code else []
    if value is None or (isinstance(value, str | bool) and not isinstance(value, Enum)):
        return value
    if isinstance(value, Enum):
        return list(type(value)).index(value) if isinstance(value.value, str) else value.value
    if isinstance(value, int | float):
        return value
    if isinstance(value, bytes | bytearray):
        return f"hex:{value.hex()}"
    if isinstance(value, Mapping):
        return [[plain(key, codes), plain(entry, codes)] for key, entry in value.items()]
    if isinstance(value, set | frozenset):
        return sorted((plain(entry, codes) for entry in value), key=orjson.dumps)
    if isinstance(value, msgspec.Struct):
        value = msgspec.structs.astuple(value)
    elif dataclasses.is_dataclass(value):
        value = [getattr(value, field.name) for field in dataclasses.fields(value)]
    elif not isinstance(value, list | tuple):
        return "object"
    return prefix + [plain(entry, codes) for entry in value if codes.get(type(entry), "") is not None]


class Recorder:
    """The calls of one class's public methods while it is `watching`, in order, with what they returned."""

    def __init__(self, codes: Mapping[type, str | None] | None = None) -> None:
        self.codes, self.lines = codes or {}, []
        self.depth = 0
        self.numbers: dict[int, int] = {}
        self.instances: list[Any] = []  # kept alive, so that no `id` is used twice

    @contextmanager
    def watching(self, kind: type, methods: Mapping[str, str]) -> Iterator[None]:
        """`methods`: the code of each method that is recorded, by its name."""
        with mock.patch.multiple(
            kind, **{name: self._wrap(kind, name, code) for name, code in methods.items()}
        ):
            yield

    def _wrap(self, kind: type, name: str, code: str) -> Callable[..., Any]:
        original = getattr(kind, name)

        def call(instance: Any, *args: Any, **named: Any) -> Any:
            self.depth += 1
            try:
                result = original(instance, *args, **named)
            finally:
                self.depth -= 1
            if not self.depth:  # calls within a call are the class's own affair
                if id(instance) not in self.numbers:
                    self.numbers[id(instance)] = len(self.numbers)
                    self.instances.append(instance)
                given = [plain(arg, self.codes) for arg in (*args, *named.values())]
                line = [self.numbers[id(instance)], code, given, plain(result, self.codes)]
                self.lines.append(orjson.dumps(line))
            return result

        return call


def compare(test: unittest.TestCase, name: str, found: list[bytes]) -> None:
    """Compare lines with the recording of that name, and name the first line that differs."""
    path = DATA / f"{name}.gz"
    if os.environ.get("THYMEYOKE_RECORD") and not path.exists():
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_bytes(gzip.compress(b"\n".join(found), mtime=0))
    recorded = gzip.decompress(path.read_bytes()).split(b"\n")
    for number, (before, now) in enumerate(zip(recorded, found, strict=False)):
        if before != now:
            test.fail(f"{name}: line {number} was\n{before[:2000]!r}\nand is now\n{now[:2000]!r}")
    test.assertEqual(len(recorded), len(found), name)
    test.assertGreater(len(recorded), 1, name)


def read_lines(name: str) -> list[bytes]:
    """The lines of a recording."""
    return gzip.decompress((DATA / f"{name}.gz").read_bytes()).split(b"\n")
