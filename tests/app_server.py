"""Test helpers: an `AdmissionController` with simple settings, and an app server on sockets among fakes."""

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
NOT_IDEMPOTENT = READ._replace(idempotency=Idempotency.NOT_IDEMPOTENT, priority_weight=3.0)
DEGRADABLE = READ._replace(degraded_value_share=0.5)
REQUEST_CLASSES = (READ, KEYED, NOT_IDEMPOTENT, DEGRADABLE)
SETTINGS = settings.AdmissionSettings(
    seed=7,
    request_classes=REQUEST_CLASSES,
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
        self.last_actions: list[Any] = []

    def submit(self, id: int, class_index: int = 0, client: int = 0, **more: Any) -> None:
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

    def take_actions(self, advance: float = 0.0) -> list[Any]:
        self.now += advance
        self.last_actions = self.controller.next_actions(self.now)
        return self.last_actions

    def expire_timer(self, advance: float = 0.06, busy: float = 1.0) -> list[Any]:
        self.now += advance
        self.controller.timer_expired(self.now, 0, (busy, self.controller.running.total))
        return self.take_actions()

    def finish(self, *ids: int, advance: float = 0.0) -> None:
        self.now += advance
        for id in ids:
            self.controller.run_ended(self.now, id, events.Outcome.OK)

    def learn_run_time(self, took: float, class_index: int = 0) -> None:
        """Give a request class its history: one run of `took` seconds."""
        self.submit(-1 - class_index, class_index)
        self.take_actions()
        self.finish(-1 - class_index, advance=took)
        self.take_actions()

    def ids(self, type_: type) -> list[Any]:
        """The ids in the last actions of this type."""
        return [action.id for action in self.last_actions if type(action) is type_]


# Lost time that a test tolerates; times in the settings differ by 0.05 s or more.
MAX_LOST_SECONDS, MAX_ATTEMPTS = 0.03, 6


class Attempt(AbstractContextManager["Attempt"]):
    """One attempt of a test that depends on real time, such as grace periods, targets and waits.

    If the machine took processor time from this process, the test may fail without a fault in the program,
    and `attempts` yields another attempt. `times` is the factor by which adjustable times are to be longer.
    """

    def __init__(self, number: int) -> None:
        self.times, self.last, self.held = min(8, 1 << number), number + 1 == MAX_ATTEMPTS, False

    def __enter__(self) -> Attempt:
        self.spent = Spent()
        return self

    def __exit__(self, kind: Any, error: BaseException | None, trace: Any) -> bool:
        self.held = error is None
        taken = self.spent.taken()
        if self.last or taken < MAX_LOST_SECONDS or not isinstance(error, Exception | BaseExceptionGroup):
            return False
        print(f"retrying, {taken:.2f} s of processor time lost: {error!r}"[:200], file=sys.stderr, flush=True)
        return True


def attempts() -> Iterator[Attempt]:
    """Yield attempts until one passes; an undisturbed or the last one raises its error."""
    for number in range(MAX_ATTEMPTS):
        yield (one := Attempt(number))
        if one.held:
            return


@contextmanager
def note_on_error(*_: Any, **pairs: Any) -> Iterator[None]:
    """Replaces `subTest`, which would report failures of attempts that are retried."""
    try:
        yield
    except BaseException as error:
        error.add_note(str(pairs))
        raise


def retried(cases: type) -> type:
    """Decorate a test class: run each of its tests in `attempts`, and set `times` for it."""

    def retry_test(test: Any) -> Any:
        def begin_attempt(self: Any, one: Attempt) -> Attempt:
            self.times, self.subTest = one.times, note_on_error
            if one.times > 1:
                self.setUp()
            return one

        @functools.wraps(test)
        def retry_sync(self: Any) -> None:
            for one in attempts():
                with begin_attempt(self, one):
                    test(self)

        @functools.wraps(test)
        async def retry_async(self: Any) -> None:
            for one in attempts():
                with begin_attempt(self, one):
                    await test(self)

        return retry_async if inspect.iscoroutinefunction(test) else retry_sync

    for name, test in list(vars(cases).items()):
        if name.startswith("test_"):
            setattr(cases, name, retry_test(test))
    return cases


async def until(true: Callable[[], Any], within: float = 60.0) -> Any:
    """Wait until `true()` holds, and return its value; fails after `within` seconds."""
    with anyio.fail_after(within):
        while not (found := true()):
            await anyio.sleep(0.01)
    return found


logs.logger.addHandler(logging.NullHandler())
logs.logger.propagate = False


def start_file_with(**changed: Any) -> dict[str, Any]:
    """The start file of the toy deployment with changes; `__` in a name separates nested keys."""
    given = orjson.loads(START.read_bytes())
    for name, value in changed.items():
        *path, last = name.split("__")
        at = given
        for part in path:
            at = at[part]
        at[last] = value
    return given


class RunningServer:
    """A server on real sockets and its fake peers."""

    def __init__(self, tasks: TaskGroup, processor: Processor, database: Database, roster: Roster) -> None:
        self.tasks, self.processor, self.database, self.roster = tasks, processor, database, roster
        self.ended = anyio.Event()
        self.dispatcher: Any = None  # set by tests that inspect it

    async def serve(self, changed: dict[str, Any], orders: Callable[[], dict[str, Any]]) -> None:
        addresses = {"listen": 0, "processor": self.processor.port, "db": self.database.port,
                     "naming": self.roster.port}  # fmt: skip
        given = start_file_with(**{name: f"127.0.0.1:{port}" for name, port in addresses.items()} | changed)

        def reload_settings() -> start_file.ServerSettings:
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
                reload_settings,
                orders,
                task_status=task_status,
            )
            self.ended.set()

        # The content of the start file at the next reload.
        self.start: dict[str, Any] | start_file.StartFileError = given
        self.where = await self.tasks.start(run)

    async def router(self) -> Router:
        return await Router.connect(self.tasks, self.where.host, self.where.port)


@asynccontextmanager
async def running_server(
    processor: Processor | None = None, database: Database | None = None, roster: Roster | None = None,
    orders: Callable[[], dict[str, Any]] = dict, **changed: Any,
) -> AsyncIterator[RunningServer]:  # fmt: skip
    """Run a server on free ports until the end of the block; it is ready if its processor is."""
    async with anyio.create_task_group() as tasks:
        here = RunningServer(tasks, processor or Processor(), database or Database(), roster or Roster())
        for around in (here.processor, here.database, here.roster):
            await tasks.start(around.run)
        await here.serve(changed, orders)
        if here.processor.up.is_set():
            await here.processor.until(lambda: any(said["event"] == "usage" for said in here.processor.heard))
        with anyio.fail_after(60):
            yield here
        tasks.cancel_scope.cancel()


def every_split(data: bytes) -> list[list[bytes]]:
    """The data split in two at each position, and split into single bytes."""
    cuts = [[data[:at], data[at:]] for at in range(len(data))]
    return [*cuts, [data[at : at + 1] for at in range(len(data))]]


__all__ = [
    "MAX_LOST_SECONDS",
    "REQUEST_CLASSES",
    "RunningServer",
    "Server",
    "actions",
    "attempts",
    "every_split",
    "retried",
    "running_server",
    "settings",
    "start_file_with",
    "until",
]  # fmt: skip
