"""Subsystems that a host process (app server or proxy node) loads because the configuration asks for them.

No subsystem is imported that is not asked for; what is off is an empty tuple at the host. The host notifies
its extensions of a drain and of a changed configuration; of all else they hear when they ask (`StatusQuery`).
Those that observe requests get the end of each.
"""

from __future__ import annotations

import logging
from collections.abc import Sequence
from enum import Enum
from importlib import import_module
from typing import Any, NamedTuple, Protocol

import anyio
from anyio.abc import TaskGroup
from anyio.streams.memory import MemoryObjectSendStream

from thymeyoke.configuration.start_file import Address, RequestNames
from thymeyoke.runtime import logs
from thymeyoke.runtime.clock import clock
from thymeyoke.runtime.errors import ThymeyokeError

# By section of the service configuration. Each has `check_host(section)` and `create_extension(section,
# context)`.
EXTENSION_MODULES = {
    "announce": "thymeyoke.bgp.advertiser",
    "ledger": "thymeyoke.ledger.usage_recorder",
    "members": "thymeyoke.membership.extension",
}
RESTART_BACKOFF_SECONDS = 0.5  # until an extension that failed starts again; doubles
RESTART_BACKOFF_MAX_SECONDS = 16.0
STABLE_SECONDS = 60.0  # without an error: the backoff begins anew

ServiceConfig = dict[str, Any]  # by section, the typed value that its package made of it


class HostConfigurationError(ThymeyokeError):
    """This machine does not let the process do what the service configuration asks for."""


class Verdict(Enum):
    """The kinds of final answers."""

    SERVED = "served"
    REJECTED = "rejected"
    FAILED = "failed"


class Answer(NamedTuple):
    """The one final answer to a request."""

    number: int  # of the request, on its connection
    verdict: Verdict
    body: bytes = b""
    backpressure: float | None = None
    retry_after: float = 0.0  # seconds; 0 for no advice
    is_terminal: bool = False  # another server would reject the request as well


class AnswerReceiver(Protocol):
    """Where an answer goes. It never makes the sender wait."""

    def send(self, message: Answer) -> None:
        """Take an answer for the client."""


class ServerStatus(NamedTuple):
    """How the host is doing. Counts run from its start, moments are the clock's."""

    is_ready: bool
    is_processor_connected: bool
    warm_at: float
    busy: float | None  # share of the cores; None before the first gauges, or where none tells it
    requests: int
    rejected: int
    connections: int
    max_connections: int


class StatusReceiver(Protocol):
    """Who asked for a status."""

    def notify(self, message: ServerStatus) -> None:
        """Take the status."""


class StatusQuery(NamedTuple):
    """An extension asks the host for its status."""

    receiver: StatusReceiver


class DrainStarted(NamedTuple):
    """The shutdown notice has come; requests are admitted until `listener_closes_at`."""

    listener_closes_at: float


class ConfigurationChanged(NamedTuple):
    """The service configuration was read again: the extension's section, or None where it is gone."""

    section: Any


class RequestCompletion(NamedTuple):
    """The end of a request: answered and off the cores.

    Where `client` is set, the answer is still to be sent, by `answer_by` at the latest.
    """

    at: float
    id: str
    tenant: int
    class_index: int
    verdict: Verdict | None  # None: its client is gone
    is_repeat: bool  # answered with the result of another request
    run_time: float  # seconds, as the processor reported them
    calls: int
    priority_weight: float
    size_bytes: int
    client: AnswerReceiver | None
    answer: Answer | None
    answer_by: float


Notification = ServerStatus | DrainStarted | ConfigurationChanged


class ExtensionContext(NamedTuple):
    """What an extension knows of its host."""

    seed: int
    dispatcher: MemoryObjectSendStream[Any]  # takes `StatusQuery`
    name: str
    request_names: RequestNames
    listen: Address  # where requests come in


class Extension(Protocol):
    """A subsystem's actor."""

    name: str
    extends_drain: bool  # a drain lasts until the listener closes, though all is answered
    observes_requests: bool  # then it is a `RequestObserver` as well

    def notify(self, message: Notification) -> None:
        """Take a notification; never waits."""

    def close(self) -> None:
        """Free what it holds; it does not run any more."""

    async def run(self) -> None:
        """Run until it is cancelled or its section is gone; may be called again after an error."""


class RequestObserver(Protocol):
    """An extension that observes requests."""

    def accepts_requests(self) -> bool:
        """Whether a request may be admitted."""

    def has_pending_answers(self) -> bool:
        """Whether answers are still to be sent: a drain waits for them."""

    def request_completed(self, completion: RequestCompletion) -> None:
        """Take the end of a request, and its answer where it has one."""


def check_host(config: ServiceConfig) -> None:
    """Raise `HostConfigurationError` where this machine does not allow what a configuration asks for."""
    for name, section in config.items():
        if name not in EXTENSION_MODULES:
            raise HostConfigurationError(
                f"[{name}] is for a node, started by `thymeyoke node`; an app server has none"
            )
        import_module(EXTENSION_MODULES[name]).check_host(section)


def create_extensions(config: ServiceConfig, context: ExtensionContext) -> tuple[Extension, ...]:
    """One extension for each section."""
    return tuple(
        import_module(EXTENSION_MODULES[name]).create_extension(section, context)
        for name, section in config.items()
    )


def reload_extensions(
    present: tuple[Extension, ...], config: ServiceConfig, context: ExtensionContext
) -> tuple[tuple[Extension, ...], tuple[Extension, ...]]:
    """Apply a configuration that was read again: all of it is checked before any of it is carried out.

    Returns those that stay or are new, and the new ones, which are still to be started.
    """
    check_host(config)
    by_name = {extension.name: extension for extension in present}
    added = create_extensions(
        {name: section for name, section in config.items() if name not in by_name}, context
    )
    for name, extension in by_name.items():
        extension.notify(ConfigurationChanged(config.get(name)))
    present_ones = (extension for name, extension in by_name.items() if name in config)
    return (*present_ones, *added), added


class RestartableActor(Protocol):
    """What runs until it is cancelled, and again after an error."""

    @property
    def name(self) -> str:
        """Its name in logs and counters."""

    async def run(self) -> None:
        """Run until it is cancelled or has nothing more to do."""


def start_extensions(tasks: TaskGroup, extensions: Sequence[RestartableActor]) -> None:
    """Run extensions in a task group."""
    for extension in extensions:
        tasks.start_soon(_run_with_restarts, extension)


async def _run_with_restarts(extension: RestartableActor) -> None:
    """An error ends what an extension does, and it begins anew; the host goes on."""
    backoff, started_at = RESTART_BACKOFF_SECONDS, clock()
    while True:
        try:
            return await extension.run()
        except Exception as error:
            logs.counters[f"{extension.name}_error"] += 1
            logs.log_event(logging.ERROR, "extension_restarted", error, name=extension.name)
            was_stable = clock() > started_at + STABLE_SECONDS
            backoff = RESTART_BACKOFF_SECONDS if was_stable else min(RESTART_BACKOFF_MAX_SECONDS, 2 * backoff)
            await anyio.sleep(backoff)
            started_at = clock()
