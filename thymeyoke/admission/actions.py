"""What a server may do. An action that concerns an op names it by its id."""

from __future__ import annotations

from typing import Any, NamedTuple


class Run(NamedTuple):
    """Start a held op, or take up a paused one."""

    id: Any


class Nack(NamedTuple):
    """Final: turned away, never ran."""

    id: Any
    nowhere_else: bool
    wait: float  # how long to stay away; 0 for no word on it


class Fail(NamedTuple):
    """Final: an error that promises nothing."""

    id: Any


class Pause(NamedTuple):
    id: Any


class Reuse(NamedTuple):
    """Answer a repeat with the answer of the op that it repeats."""

    id: Any


class Call(NamedTuple):
    """Make the call that an op stands at; give it up at a moment of the clock."""

    id: Any
    until: float


class GoOn(NamedTuple):
    """Go on without the call: a poorer answer."""

    id: Any


class Keep(NamedTuple):
    """Remember an op's key for a span."""

    id: Any
    span: float


class Forget(NamedTuple):
    id: Any


class Say(NamedTuple):
    value: float


class Health(NamedTuple):
    from_store: bool
    fit: bool


class Trim(NamedTuple):
    """Close connections unused for this long."""

    span: float


class Wake(NamedTuple):
    mark: int
    span: float


class Note(NamedTuple):
    text: str


Action = Run | Nack | Fail | Pause | Reuse | Call | GoOn | Keep | Forget | Say | Health | Trim | Wake | Note
