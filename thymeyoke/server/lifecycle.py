"""One app server: creates its actors and runs them until the drain is over."""

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

GC_THRESHOLDS = (10000, 10, 10)  # requests create almost no reference cycles
RESULTS_MEMORY_SHARE = 1 / 4  # of the process's memory limit, for retained results
FLUSH_SECONDS = 0.05  # for writing the last answers
RESTART_BACKOFF_SECONDS = 0.1  # before a failed actor is restarted
LISTEN_RETRY_SECONDS = 0.05  # between attempts to bind an address that is in use
PREDECESSOR_EXIT_SECONDS = 1.0  # until a killed predecessor has released its address
# The size of asyncio's read buffers. Larger ones fragment the heap, which then grows for as long as the
# server runs.
READ_BUFFER_BYTES = 1 << 14
selector_events._SelectorTransport.max_size = READ_BUFFER_BYTES  # type: ignore[attr-defined]


class AppServer:
    """The actors of one app server, and the two files that it reloads on SIGHUP."""

    def __init__(
        self, start_file: StartFile, read_server_settings: Callable[[], ServerSettings],
        read_service_config: Callable[[], ServiceConfig],
    ) -> None:  # fmt: skip
        """Create the actors; the two functions read the start file and the service configuration on SIGHUP.

        `read_service_config` is also called at the start.
        """
        settings, names, admission = start_file
        self.settings = settings  # the settings that were applied last
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
        """Run all actors until the dispatcher is done; `address` is the listener's bound address."""
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
        """Release the actors' resources once none of them runs any more."""
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
        """Handle signals until the server ends.

        SIGTERM or SIGINT begins the drain; further ones have no effect. SIGHUP reloads the files, also during
        a drain.
        """
        notices: list[float] = []  # when each signal arrived; the event loop handles it later

        def record_notice(*_: Any) -> None:  # `clock` is not reentrant, and the signal may interrupt it
            notices.append(time())

        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
            for number in early_signals.SHUTDOWN_SIGNALS:  # the event loop is still woken by each signal
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
        """Apply changed peer addresses; all other settings take effect at the next start."""
        try:
            new = self.read_server_settings()
        except Exception as error:  # keep all of the old settings
            logs.counters["start_file_errors"] += 1
            return logs.log_event(logging.ERROR, "start_file_rejected", error)
        old, self.settings = self.settings, new
        peers = (
            (self.processor, old.processor, new.processor),
            (self.dependency, old.dependency, new.dependency),
            (self.endpoint_registry, old.endpoint_registry, new.endpoint_registry),
        )
        for peer, last_address, address in peers:
            # Compare with the last settings too: the registry's client applies a new address only after its
            # current report, so `peer.address` may still be the old one when an address is changed back.
            if last_address != address or peer.address != address:
                peer.send(AddressChanged(address))  # type: ignore[arg-type]
        logs.log_event(
            logging.INFO, "start_file_reloaded", processor=new.processor, dependency=new.dependency
        )

    def _reload_service_config(self, tasks: TaskGroup) -> None:
        """Apply a new service configuration; after any error the old one stays in force completely."""
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
    """Run one app server until its drain is over; raises `StartFileError` if it cannot bind its address.

    The two functions read the start file and the service configuration on SIGHUP; `read_service_config` is
    also called at the start.
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
    gc.freeze()  # exclude the objects created at the start from later collections


async def _listen(listener: Listener, settings: ServerSettings) -> Address | None:
    """Bind the address; return None if a shutdown was requested before that succeeded.

    After a restart the previous server may still be draining on this address, until it is killed at the end
    of its stop timeout. No client can have reached the new server by then.
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
    """Run an actor, and restart it after an unexpected error."""
    while True:
        try:
            return await run()
        except Exception as error:
            logs.counters["actor_errors"] += 1
            logs.log_event(logging.ERROR, "actor_restarted", error)
            await anyio.sleep(RESTART_BACKOFF_SECONDS)
