"""For the tests: an `AdmissionController` with small round figures and shorthands to feed it, and an app
server on sockets with the fakes of the toy around it."""

from __future__ import annotations

import functools
import inspect
import logging
import sys
from collections.abc import AsyncIterator, Callable, Iterator
from contextlib import AbstractContextManager, asynccontextmanager, contextmanager
from typing import Any

import anyio
import orjson
from anyio.abc import TaskGroup

from examples.fakes import Database, Processor, Roster, Router
from examples.toy import START
from fakes.processes import Spent
from thymeyoke.admission import actions, events, settings
from thymeyoke.admission.controller import AdmissionController
from thymeyoke.admission.settings import Idempotency
from thymeyoke.configuration import start_file
from thymeyoke.runtime import logs
from thymeyoke.server import lifecycle

READ = settings.RequestClass(2.0, 6.0, Idempotency.IDEMPOTENT, 1.0, 0.0, 0.0, True, 0.0, 0.0)
KEYED = READ._replace(idempotency=Idempotency.WITH_KEY, idempotency_window=10.0)
ONCE = READ._replace(idempotency=Idempotency.NOT_IDEMPOTENT, priority_weight=3.0)
POORER = READ._replace(degraded_value_share=0.5)
KINDS = (READ, KEYED, ONCE, POORER)
SETTINGS = settings.AdmissionSettings(
    seed=7,
    request_classes=KINDS,
    machine=settings.Machine(4, 4000.0, 4.0, 5.0, 0.002, settings.StopEffect.NONE, ("busy",)),
    overload=settings.OverloadLimits(8.0, 2.0, False, 0.25, 20.0),
    terms=settings.ServiceTerms(0.06, 2.0),
    dependency=settings.DependencySettings(settings.DependencyKind.TIER, 0.0, 0.0, 0.2),
    clients=settings.ClientSettings(3, settings.SignalKind.FLOOR, 1.0, 1.0, False, 30.0, 0.0, False),
    tenants=(),
)


class Server:
    """Feeds an `AdmissionController` and keeps its last actions."""

    def __init__(self, **changed: Any) -> None:
        given = SETTINGS
        for name, value in changed.items():
            section = getattr(given, name)._replace(**value) if isinstance(value, dict) else value
            given = given._replace(**{name: section})
        self.now = 100.0
        self.controller = AdmissionController(self.now, given)
        self.did: list[Any] = []

    def op(self, id: int, class_index: int = 0, client: int = 0, **more: Any) -> None:
        given: dict[str, Any] = {
            "size": 10.0,
            "subject": None,
            "work_hint": 0.0,
            "is_retry": False,
            "is_write": False,
            "original_id": None,
            "priority": 0.5,
            "time_left": 6.0,
            "queueing_delay": 0.0,
            "tenant": 0,
        }
        request = events.Request(id=id, class_index=class_index, client=client, **(given | more))
        self.controller.submit(self.now, request)

    def settle(self, later: float = 0.0) -> list[Any]:
        self.now += later
        self.did = self.controller.next_actions(self.now)
        return self.did

    def beat(self, later: float = 0.06, busy: float = 1.0) -> list[Any]:
        self.now += later
        self.controller.timer_expired(self.now, 0, (busy, self.controller.running.total))
        return self.settle()

    def end(self, *ids: int, later: float = 0.0) -> None:
        self.now += later
        for id in ids:
            self.controller.run_ended(self.now, id, events.Outcome.OK)

    def learned(self, took: float, class_index: int = 0) -> None:
        """Give a request class its history: one run of `took` seconds."""
        self.op(-1 - class_index, class_index)
        self.settle()
        self.end(-1 - class_index, later=took)
        self.settle()

    def ids(self, action: type) -> list[Any]:
        """The ids that the last settle named with this action."""
        return [did.id for did in self.did if type(did) is action]


# Seconds that a play stands of what the machine takes: what settings tell of differs by 0.05 s and more.
TAKEN, TRIES = 0.03, 6


class Try(AbstractContextManager["Try"]):
    """A play of spans that the program keeps by the clock: graces, targets, waits. Where the machine took
    turns of this process it may fail by no fault of the program's, and `tries` has the next one. `times`: by
    how much spans that can be longer are to be so."""

    def __init__(self, number: int) -> None:
        self.times, self.last, self.held = min(8, 1 << number), number + 1 == TRIES, False

    def __enter__(self) -> Try:
        self.spent = Spent()
        return self

    def __exit__(self, kind: Any, error: BaseException | None, trace: Any) -> bool:
        self.held = error is None
        taken = self.spent.taken()
        if self.last or taken < TAKEN or not isinstance(error, Exception | BaseExceptionGroup):
            return False
        print(f"played again, the machine took {taken:.2f} s: {error!r}"[:200], file=sys.stderr, flush=True)
        return True


def tries() -> Iterator[Try]:
    """Until one holds; the one that fails undisturbed, or comes last, fails as it is."""
    for number in range(TRIES):
        yield (one := Try(number))
        if one.held:
            return


@contextmanager
def noted(*_: Any, **pairs: Any) -> Iterator[None]:
    """In place of `subTest`, which would report what is played again."""
    try:
        yield
    except BaseException as error:
        error.add_note(str(pairs))
        raise


def steady(cases: type) -> type:
    """Each test of the class within `tries`; `times` is there for it."""

    def within(test: Any) -> Any:
        def begun(self: Any, one: Try) -> Try:
            self.times, self.subTest = one.times, noted
            if one.times > 1:
                self.setUp()
            return one

        @functools.wraps(test)
        def plain(self: Any) -> None:
            for one in tries():
                with begun(self, one):
                    test(self)

        @functools.wraps(test)
        async def waits(self: Any) -> None:
            for one in tries():
                with begun(self, one):
                    await test(self)

        return waits if inspect.iscoroutinefunction(test) else plain

    for name, test in list(vars(cases).items()):
        if name.startswith("test_"):
            setattr(cases, name, within(test))
    return cases


async def until(true: Callable[[], Any], within: float = 60.0) -> Any:
    """What comes, comes within it on however busy a machine."""
    with anyio.fail_after(within):
        while not (found := true()):
            await anyio.sleep(0.01)
    return found


logs.logger.addHandler(logging.NullHandler())
logs.logger.propagate = False


def told(**changed: Any) -> dict[str, Any]:
    """The toy's start file; a name with a dot's place as `__` reaches into the settings."""
    given = orjson.loads(START.read_bytes())
    for name, value in changed.items():
        *path, last = name.split("__")
        at = given
        for part in path:
            at = at[part]
        at[last] = value
    return given


class Place:
    """A server on sockets and what stands around it."""

    def __init__(self, tasks: TaskGroup, processor: Processor, database: Database, roster: Roster) -> None:
        self.tasks, self.processor, self.database, self.roster = tasks, processor, database, roster
        self.ended = anyio.Event()
        self.desk: Any = None  # where a test wants to look inside

    async def serve(self, changed: dict[str, Any], orders: Callable[[], dict[str, Any]]) -> None:
        addresses = {"listen": 0, "processor": self.processor.port, "db": self.database.port,
                     "naming": self.roster.port}  # fmt: skip
        given = told(**{name: f"127.0.0.1:{port}" for name, port in addresses.items()} | changed)

        def again() -> start_file.ServerSettings:
            if isinstance(self.start, start_file.StartFileError):
                raise self.start
            return start_file.read_server_settings(self.start)

        async def run(*, task_status: Any) -> None:
            await lifecycle.serve(
                start_file.StartFile(
                    start_file.read_server_settings(given),
                    start_file.read_request_names(given["settings"]),
                    start_file.read_admission_settings(7, given["settings"]),
                ),
                again,
                orders,
                task_status=task_status,
            )
            self.ended.set()

        self.start: dict[str, Any] | start_file.StartFileError = (
            given  # what the start file says when it is read again
        )
        self.where = await self.tasks.start(run)

    async def router(self) -> Router:
        return await Router.connect(self.tasks, self.where.host, self.where.port)


@asynccontextmanager
async def place(
    processor: Processor | None = None, database: Database | None = None, roster: Roster | None = None,
    orders: Callable[[], dict[str, Any]] = dict, **changed: Any,
) -> AsyncIterator[Place]:  # fmt: skip
    """A server on free ports, up if its processor is; all of it is taken down at the end."""
    async with anyio.create_task_group() as tasks:
        here = Place(tasks, processor or Processor(), database or Database(), roster or Roster())
        for around in (here.processor, here.database, here.roster):
            await tasks.start(around.run)
        await here.serve(changed, orders)
        if here.processor.up.is_set():
            await here.processor.until(lambda: any(said["event"] == "usage" for said in here.processor.heard))
        with anyio.fail_after(60):
            yield here
        tasks.cancel_scope.cancel()


def pieces(data: bytes) -> list[list[bytes]]:
    """The data cut in two at every byte, and byte by byte."""
    cuts = [[data[:at], data[at:]] for at in range(len(data))]
    return [*cuts, [data[at : at + 1] for at in range(len(data))]]


__all__ = [
    "KINDS",
    "TAKEN",
    "Place",
    "Server",
    "actions",
    "pieces",
    "place",
    "settings",
    "steady",
    "told",
    "tries",
    "until",
]  # fmt: skip
