"""Extensions: optional subsystems of a host process (app server or proxy node), enabled by the configuration.

Only configured subsystems are imported. The host notifies its extensions of a drain and of a changed
configuration; extensions query everything else (`StatusQuery`). Extensions that observe requests are called
at the end of each request.
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

# Modules by section of the service configuration. Each has the functions `check_host(section)` and
# `create_extension(section, context)`.
EXTENSION_MODULES = {
    "announce": "thymeyoke.bgp.advertiser",
    "ledger": "thymeyoke.ledger.usage_recorder",
    "members": "thymeyoke.membership.extension",
}
RESTART_BACKOFF_SECONDS = 0.5  # before a failed extension is restarted; doubles
RESTART_BACKOFF_MAX_SECONDS = 16.0
STABLE_SECONDS = 60.0  # without an error, after which the backoff is reset

ServiceConfig = dict[str, Any]  # typed settings by section


class HostConfigurationError(ThymeyokeError):
    """This machine does not support what the service configuration requires."""


class Verdict(Enum):
    """Kinds of final answers."""

    SERVED = "served"
    REJECTED = "rejected"
    FAILED = "failed"


class Answer(NamedTuple):
    """The final answer to a request."""

    number: int  # of the request on its connection
    verdict: Verdict
    body: bytes = b""
    backpressure: float | None = None
    retry_after: float = 0.0  # seconds; 0 for no advice
    is_terminal: bool = False  # other servers would reject the request as well


class AnswerReceiver(Protocol):
    """The receiver of an answer; it never blocks the sender."""

    def send(self, message: Answer) -> None:
        """Queue an answer for the client."""


class ServerStatus(NamedTuple):
    """Status of the host. Counts are since its start, times are clock times in seconds."""

    is_ready: bool
    is_processor_connected: bool
    warm_at: float
    busy: float | None  # share of busy cores; None before the first reading or without such a gauge
    requests: int
    rejected: int
    connections: int
    max_connections: int


class StatusReceiver(Protocol):
    """The sender of a status query."""

    def notify(self, message: ServerStatus) -> None:
        """Receive the status."""


class StatusQuery(NamedTuple):
    """An extension's query for the host's status."""

    receiver: StatusReceiver


class DrainStarted(NamedTuple):
    """The shutdown notice was received; requests are admitted until `listener_closes_at`."""

    listener_closes_at: float


class ConfigurationChanged(NamedTuple):
    """The service configuration was read again: the extension's section, or None if it was removed."""

    section: Any


class RequestCompletion(NamedTuple):
    """The end of a request: it is answered and not running.

    If `client` is set, the receiver has to send the answer, by `answer_by` at the latest.
    """

    at: float
    id: str
    tenant: int
    class_index: int
    verdict: Verdict | None  # None: abandoned by its client
    is_repeat: bool  # answered with the result of another request
    run_time: float  # seconds, as reported by the processor
    calls: int
    priority_weight: float
    size_bytes: int
    client: AnswerReceiver | None
    answer: Answer | None
    answer_by: float


Notification = ServerStatus | DrainStarted | ConfigurationChanged


class ExtensionContext(NamedTuple):
    """What the host passes to its extensions."""

    seed: int
    dispatcher: MemoryObjectSendStream[Any]  # accepts `StatusQuery`
    name: str
    request_names: RequestNames
    listen: Address  # address of requests


class Extension(Protocol):
    """The actor of a subsystem."""

    name: str
    extends_drain: bool  # a drain lasts until the listener closes, even if all requests are answered
    observes_requests: bool  # if True, it is also a `RequestObserver`

    def notify(self, message: Notification) -> None:
        """Receive a notification without waiting."""

    def close(self) -> None:
        """Release all resources, after `run` has ended."""

    async def run(self) -> None:
        """Run until cancelled or until the section is removed; may be called again after an error."""


class RequestObserver(Protocol):
    """An extension that observes requests."""

    def accepts_requests(self) -> bool:
        """Whether requests may be admitted now."""

    def has_pending_answers(self) -> bool:
        """Whether it still has answers to send; a drain waits for them."""

    def request_completed(self, completion: RequestCompletion) -> None:
        """Receive the end of a request, and its answer if it has to send it."""


def check_host(config: ServiceConfig) -> None:
    """Raise `HostConfigurationError` if this machine does not support what a configuration requires."""
    for name, section in config.items():
        if name not in EXTENSION_MODULES:
            raise HostConfigurationError(
                f"[{name}] is for a node, started by `thymeyoke node`; an app server has none"
            )
        import_module(EXTENSION_MODULES[name]).check_host(section)


def create_extensions(config: ServiceConfig, context: ExtensionContext) -> tuple[Extension, ...]:
    """Create one extension for each section."""
    return tuple(
        import_module(EXTENSION_MODULES[name]).create_extension(section, context)
        for name, section in config.items()
    )


def reload_extensions(
    present: tuple[Extension, ...], config: ServiceConfig, context: ExtensionContext
) -> tuple[tuple[Extension, ...], tuple[Extension, ...]]:
    """Apply a changed configuration; all of it is checked before any change is made.

    Returns all extensions from now on, and those of them that are new and have to be started.
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
    """An actor that is restarted after an error."""

    @property
    def name(self) -> str:
        """Its name in logs and counters."""

    async def run(self) -> None:
        """Run until cancelled or done."""


def start_extensions(tasks: TaskGroup, extensions: Sequence[RestartableActor]) -> None:
    """Run extensions in a task group."""
    for extension in extensions:
        tasks.start_soon(_run_with_restarts, extension)


async def _run_with_restarts(extension: RestartableActor) -> None:
    """Run an extension; after an error it is restarted, without effect on the host."""
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
