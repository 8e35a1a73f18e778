"""One app server: its actors, put together and run until its drain is over."""

from __future__ import annotations

import errno
import gc
import logging
import signal
from asyncio import selector_events
from collections.abc import Awaitable, Callable
from time import time
from typing import Any

import anyio
from anyio.abc import TaskGroup, TaskStatus

from thymeyoke.configuration.fields import StartFileError
from thymeyoke.configuration.start_file import Address, ServerSettings, StartFile
from thymeyoke.runtime import early_signals, extensions, logs
from thymeyoke.runtime.clock import clock
from thymeyoke.runtime.extensions import ServiceConfig
from thymeyoke.runtime.mailbox import post
from thymeyoke.server.dependency import DependencyClient
from thymeyoke.server.dispatcher import Dispatcher
from thymeyoke.server.endpoint_registry import EndpointRegistryClient
from thymeyoke.server.listener import Listener
from thymeyoke.server.messages import AddressChanged, ShutdownRequested
from thymeyoke.server.processor import ProcessorClient
from thymeyoke.slow_start.controller import StartupController
from thymeyoke.slow_start.rate_limiter import rate_limits

GC_THRESHOLDS = (10000, 10, 10)  # requests leave next to no cycles behind
RESULTS_MEMORY_SHARE = 1 / 4  # of the process's memory: what retained results may take
FLUSH_SECONDS = 0.05  # that last answers may take to be written
RESTART_BACKOFF_SECONDS = 0.1  # until an actor that failed starts again
LISTEN_RETRY_SECONDS = 0.05  # between attempts to bind an address that is in use
PREDECESSOR_EXIT_SECONDS = 1.0  # past its stop until a killed predecessor is gone, with its listener
# What asyncio allocates for a read. Whatever stays alive behind a larger piece leaves gaps that the next one
# does not fit in, and the heap grows for as long as the server runs.
READ_BUFFER_BYTES = 1 << 14
selector_events._SelectorTransport.max_size = READ_BUFFER_BYTES  # type: ignore[attr-defined]


class AppServer:
    """The actors of one app server, and the two files that can be read again while it runs."""

    def __init__(
        self, start_file: StartFile, read_server_settings: Callable[[], ServerSettings],
        read_service_config: Callable[[], ServiceConfig],
    ) -> None:  # fmt: skip
        """The functions read the start file and the service configuration again, on SIGHUP.

        The second one also reads the service configuration at the start.
        """
        settings, names, admission = start_file
        self.settings = settings  # the last ones that were applied
        self.read_server_settings, self.read_service_config = read_server_settings, read_service_config
        self.dispatcher = Dispatcher(
            settings.stop_timeout, admission, RESULTS_MEMORY_SHARE * settings.memory_limit
        )
        inbox = self.dispatcher.inbox
        self.listener = Listener(names, settings.max_descriptors, admission.clients.idle_timeout, inbox)
        startup = StartupController(
            clock(), admission.seed, settings.name, rate_limits(admission), early_signals.blocked_since()
        )
        self.processor = ProcessorClient(settings.processor, names, inbox, startup)
        self.dependency = DependencyClient(settings.dependency, inbox, startup)
        self.endpoint_registry = EndpointRegistryClient(settings.endpoint_registry, settings.name, startup)
        self.dispatcher.connect_peers(self.listener, self.processor, self.dependency, self.endpoint_registry)
        self.context = extensions.ExtensionContext(
            admission.seed, inbox, settings.name, names, settings.listen
        )
        self.dispatcher.set_extensions(extensions.create_extensions(read_service_config(), self.context))

    async def run(self, address: Address, task_status: TaskStatus[Address]) -> None:
        """Run all actors until the dispatcher is done. `address`: where the listener listens."""
        async with anyio.create_task_group() as tasks:
            for actor in (self.listener, self.processor, self.dependency, self.endpoint_registry):
                tasks.start_soon(_run_with_restarts, actor.run)
            extensions.start_extensions(tasks, self.dispatcher.extensions.extensions)
            await tasks.start(self._handle_signals, tasks)
            task_status.started(address)
            await self.dispatcher.run()
            with anyio.move_on_after(FLUSH_SECONDS):
                await self.listener.flush()
            tasks.cancel_scope.cancel()

    def close(self) -> None:
        """Free what the actors hold; none of them runs any more."""
        self.dispatcher.inbox.close()
        self.dispatcher.events.close()
        self.listener.close()
        for extension in self.dispatcher.extensions.extensions:
            extension.close()
        for peer in (self.processor, self.dependency, self.endpoint_registry):
            peer.outbox.close()
            peer.outbox_reader.close()

    async def _handle_signals(
        self, tasks: TaskGroup, *, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Take signals until the server ends.

        SIGTERM is the shutdown notice; a second one changes nothing. SIGHUP asks to read the files again,
        during a drain as well.
        """
        notices: list[float] = []  # when each came: the event loop hears of it only after its turn

        def record_notice(*_: Any) -> None:  # not by `clock`, which it may interrupt
            notices.append(time())

        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
            for number in early_signals.SHUTDOWN_SIGNALS:  # what wakes the event loop stays
                signal.signal(number, record_notice)
                signal.siginterrupt(number, False)
            if (waited_since := early_signals.unblock()) is not None:
                notices.insert(0, waited_since)
            task_status.started()
            try:
                async for number in signals:
                    if number == signal.SIGHUP:
                        self._reload_start_file()
                        self._reload_service_config(tasks)
                    else:
                        await post(self.dispatcher.inbox, ShutdownRequested(notices[0]))
            finally:
                early_signals.reblock()

    def _reload_start_file(self) -> None:
        """Peers may have other addresses. What else the file says waits for the next start."""
        try:
            new = self.read_server_settings()
        except Exception as error:  # whatever is wrong with it, what was read before still holds, completely
            logs.counters["start_file_errors"] += 1
            return logs.log_event(logging.ERROR, "start_file_rejected", error)
        old, self.settings = self.settings, new
        peers = (
            (self.processor, old.processor, new.processor),
            (self.dependency, old.dependency, new.dependency),
            (self.endpoint_registry, old.endpoint_registry, new.endpoint_registry),
        )
        for peer, last_address, address in peers:
            # The registry's client applies an address only when its report is over: by `peer.address` alone
            # one that is restored before that would change nothing, and the address between the two would
            # stay.
            if last_address != address or peer.address != address:
                peer.send(AddressChanged(address))  # type: ignore[arg-type]
        logs.log_event(
            logging.INFO, "start_file_reloaded", processor=new.processor, dependency=new.dependency
        )

    def _reload_service_config(self, tasks: TaskGroup) -> None:
        """Whatever is wrong with the new one, the old one stays in force, completely."""
        present = self.dispatcher.extensions.extensions
        try:
            all_extensions, added = extensions.reload_extensions(
                present, self.read_service_config(), self.context
            )
        except Exception as error:
            logs.counters["service_config_errors"] += 1
            return logs.log_event(logging.ERROR, "service_config_rejected", error)
        self.dispatcher.set_extensions(all_extensions)
        extensions.start_extensions(tasks, added)


async def serve(
    start_file: StartFile, read_server_settings: Callable[[], ServerSettings],
    read_service_config: Callable[[], ServiceConfig] = dict,
    *, task_status: TaskStatus[Address] = anyio.TASK_STATUS_IGNORED,
) -> None:  # fmt: skip
    """Run one app server until its drain is over; `StartFileError` where its address cannot be had.

    The functions read the start file and the service configuration again, on SIGHUP; the second one at the
    start as well.
    """
    settings = start_file.server
    server = AppServer(start_file, read_server_settings, read_service_config)
    try:
        address = await _listen(server.listener, settings)
        if address is None:
            return logs.log_event(
                logging.INFO, "stopped", name=settings.name, reason="shutdown before it could listen"
            )
        logs.log_event(logging.INFO, "listening", name=settings.name, address=address)
        _tune_garbage_collector()
        await server.run(address, task_status)
    finally:
        server.close()
    server.dispatcher.log_counters()
    logs.log_event(logging.INFO, "stopped", name=settings.name)


def _tune_garbage_collector() -> None:
    gc.set_threshold(*GC_THRESHOLDS)
    gc.collect()
    gc.freeze()  # what was made at the start stays, and need not be looked at again


async def _listen(listener: Listener, settings: ServerSettings) -> Address | None:
    """The address once it is bound; None where a shutdown notice came first.

    A restarted server can find its address in use by the one before it, which drains until it is killed, the
    stop timeout past its notice at the latest. Nobody can reach the new one before, so nothing is owed.
    """
    longest_wait = settings.stop_timeout + PREDECESSOR_EXIT_SECONDS
    give_up_at = clock() + longest_wait
    has_logged = False
    while True:
        try:
            return await listener.listen(settings.listen)
        except (OSError, ValueError) as error:
            is_in_use = isinstance(error, OSError) and error.errno == errno.EADDRINUSE
            if not is_in_use or clock() >= give_up_at:
                raise StartFileError(f"cannot listen on {settings.listen}: {error}") from None
        if early_signals.is_shutdown_pending():
            return None
        if not has_logged:
            has_logged = True
            logs.log_event(
                logging.WARNING, "address_in_use", address=settings.listen, retry_seconds=longest_wait
            )
        await anyio.sleep(LISTEN_RETRY_SECONDS)


async def _run_with_restarts(run: Callable[[], Awaitable[None]]) -> None:
    """An error that an actor did not foresee ends what it does, not the server."""
    while True:
        try:
            return await run()
        except Exception as error:
            logs.counters["actor_errors"] += 1
            logs.log_event(logging.ERROR, "actor_restarted", error)
            await anyio.sleep(RESTART_BACKOFF_SECONDS)
