"""Receiver of exports: a separate program that stores the batches of many app servers, each one once."""

from __future__ import annotations

import logging
import signal
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import Any, TypeVar

import anyio
from anyio import to_thread
from anyio.abc import SocketAttribute, SocketStream, TaskStatus

from thymeyoke.ledger import wire
from thymeyoke.ledger.export import check_hello
from thymeyoke.ledger.export_store import ExportStore
from thymeyoke.runtime import logs

Result = TypeVar("Result")
READ_BYTES = 1 << 16
MAX_CONNECTIONS = 1024
HELLO_TIMEOUT = 5.0  # seconds; later messages have no timeout


class Receiver:
    """Server that accepts connections of exporters and writes their batches to an `ExportStore`."""

    def __init__(self, store: ExportStore) -> None:
        self.store = store
        self.limiter = anyio.CapacityLimiter(1)
        self.open_connections = 0

    async def run(
        self, host: str, port: int, *, task_status: TaskStatus[int] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Accept connections until cancelled; reports the port once it is listening."""
        listener = await anyio.create_tcp_listener(local_host=host, local_port=port)
        bound_port = listener.listeners[0].extra(SocketAttribute.local_port)
        logs.log_event(
            logging.INFO, "ledger_receiver_listening", address=f"{host}:{bound_port}", path=self.store.path
        )
        async with listener:
            task_status.started(bound_port)
            await listener.serve(self._handle_connection)

    async def _handle_connection(self, stream: SocketStream) -> None:
        """Serve one connection; connections over the limit are closed at once."""
        self.open_connections += 1
        try:
            if self.open_connections <= MAX_CONNECTIONS:
                await self._exchange_messages(stream)
        except (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError, TimeoutError):
            pass
        except wire.ProtocolError as error:
            logs.counters["ledger_bad_say"] += 1
            logs.log_peer_fault("ledger_connection_closed", reason=str(error))
        except Exception as error:  # for example a full disk; the sender retries
            logs.counters["ledger_receive_error"] += 1
            logs.log_event(logging.ERROR, "ledger_connection_failed", error)
        finally:
            self.open_connections -= 1
            await anyio.aclose_forcefully(stream)

    async def _exchange_messages(self, stream: SocketStream) -> None:
        """Answer messages: first a hello, then batches."""
        reader = wire.FrameReader()
        journal_id = b""
        with anyio.fail_after(HELLO_TIMEOUT) as hello_deadline:
            while True:
                for message in reader.feed(await stream.receive(READ_BYTES)):
                    answer: wire.Message
                    match message:
                        case wire.Hello(name, sender_id, _) if not journal_id:
                            if (rejection := check_hello(message)) is None:
                                stored = await self._run_in_thread(
                                    partial(self.store.register_journal, sender_id, name)
                                )
                                journal_id = sender_id
                                hello_deadline.deadline = float("inf")
                            answer = rejection or wire.Welcome(self.store.receiver_id, *stored)
                        case wire.Batch() if journal_id:
                            answer = await self._run_in_thread(
                                partial(self.store.store_batch, journal_id, message)
                            )
                            kind = "refused" if isinstance(answer, wire.Rejection) else "taken"
                            logs.counters[f"ledger_{kind}"] += 1
                        case _:
                            raise wire.ProtocolError(
                                "unexpected message: expected a hello first, then batches"
                            )
                    if isinstance(answer, wire.Rejection):
                        logs.log_peer_fault(
                            "ledger_batch_rejected", reason=answer.why, book=journal_id.hex()[:8]
                        )
                    await stream.send(wire.encode(answer))

    async def _run_in_thread(self, call: Callable[[], Result]) -> Result:
        """Run a blocking call of the store in a thread, one at a time."""
        return await to_thread.run_sync(call, limiter=self.limiter)


async def receive(host: str, port: int, folder: Path) -> None:
    """Run a receiver until SIGTERM or SIGINT."""
    store = ExportStore(folder)
    try:
        async with anyio.create_task_group() as tasks:
            await tasks.start(Receiver(store).run, host, port)
            with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
                async for _ in signals:
                    break
            tasks.cancel_scope.cancel()
    finally:
        store.close_database()
    logs.log_event(logging.INFO, "stopped", **dict[str, Any](logs.counters))
