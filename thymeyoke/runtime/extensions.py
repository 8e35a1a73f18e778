"""What may stand behind the desk: subsystems that the operators' file asks for. None is imported that is
not asked for.

One seam for all of them: the desk tells each of the drain at once (`Draining`) and of the rest when it asks
(`Probe`, answered with `Standing`); a file read anew is a `Reformed`. What is off is an empty tuple at the
desk.
"""

from __future__ import annotations

import logging
from importlib import import_module
from typing import Any, NamedTuple, Protocol

import anyio
from anyio.abc import TaskGroup
from anyio.streams.memory import MemoryObjectSendStream

from thymeyoke.configuration.start_file import Address, Names
from thymeyoke.runtime import logs
from thymeyoke.runtime.clock import clock
from thymeyoke.server.messages import Draining, Event, Over, Reformed, Standing

# Each has `probe(section)` and `build(section, around)`.
MAKERS = {
    "announce": "thymeyoke.bgp.advertiser",
    "ledger": "thymeyoke.ledger.usage_recorder",
    "members": "thymeyoke.membership.extension",
}

Orders = dict[str, Any]  # by section, what its module made of it


AGAIN, AGAIN_TOP = 0.5, 16.0  # seconds until a subsystem that failed starts again, doubling
CALM = 60.0  # seconds that it ran without an error: the next one is a first one


class Refused(Exception):
    """The machine does not let this process do what the operators' file asks for; the text is for them."""


class Around(NamedTuple):
    """What a subsystem is told of the server it stands behind."""

    seed: int
    desk: MemoryObjectSendStream[Event]
    name: str
    names: Names
    listen: Address  # where its ops come in


class Behind(Protocol):
    """A subsystem's actor. `tell` never waits; `run` may be begun again after an error."""

    name: str
    stays: bool  # a drain lasts until the door shuts, though all is answered
    hears_ops: bool  # then it has `takes`, `pending` and `ended` as well (`Keeper`)

    def tell(self, what: Standing | Draining | Reformed) -> None: ...
    def close(self) -> None: ...
    async def run(self) -> None: ...


class Ear(Protocol):
    """Of a subsystem that hears of ops."""

    def takes(self) -> bool: ...
    def pending(self) -> bool: ...
    def ended(self, op: Over) -> None: ...


def probe(orders: Orders) -> None:
    for name, told in orders.items():
        if name not in MAKERS:
            raise Refused(f"[{name}] is for a node, started by `thymeyoke node`; an app server has none")
        import_module(MAKERS[name]).probe(told)


def build(orders: Orders, around: Around) -> tuple[Behind, ...]:
    return tuple(import_module(MAKERS[name]).build(told, around) for name, told in orders.items())


def reform(
    present: tuple[Behind, ...], orders: Orders, around: Around
) -> tuple[tuple[Behind, ...], tuple[Behind, ...]]:
    """A file read anew: all of it is found good before any of it is carried out. Those that stay or are
    new, and the new ones, which are still to be run."""
    probe(orders)
    here = {side.name: side for side in present}
    new = build({name: told for name, told in orders.items() if name not in here}, around)
    for name, side in here.items():
        side.tell(Reformed(orders.get(name)))
    return (*(side for name, side in here.items() if name in orders), *new), new


def run(tasks: TaskGroup, sides: tuple[Behind, ...]) -> None:
    for side in sides:
        tasks.start_soon(_guarded, side)


async def _guarded(side: Behind) -> None:
    """A subsystem's error ends what it does, and it begins anew; the server goes on."""
    pause, began = AGAIN, clock()
    while True:
        try:
            return await side.run()
        except Exception as error:
            logs.counts[f"{side.name}_error"] += 1
            logs.say(logging.ERROR, "subsystem starts again", error, name=side.name)
            pause = AGAIN if clock() > began + CALM else min(AGAIN_TOP, 2 * pause)
            await anyio.sleep(pause)
            began = clock()
