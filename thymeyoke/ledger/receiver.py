"""The receiving side: a program of its own that takes exports of many instances and keeps each batch once."""

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
from thymeyoke.ledger.export import stranger
from thymeyoke.ledger.export_store import Vault
from thymeyoke.runtime import logs

Result = TypeVar("Result")
CHUNK = 1 << 16
CONNECTIONS = 1024
FIRST = 5.0  # seconds for a connection's first message; later ones may take as long as they like


class Receiver:
    def __init__(self, vault: Vault) -> None:
        self.vault = vault
        self.limiter = anyio.CapacityLimiter(1)
        self.open = 0

    async def run(
        self, host: str, port: int, *, task_status: TaskStatus[int] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        listener = await anyio.create_tcp_listener(local_host=host, local_port=port)
        where = listener.listeners[0].extra(SocketAttribute.local_port)
        logs.log_event(
            logging.INFO, "ledger_receiver_listening", address=f"{host}:{where}", path=self.vault.path
        )
        async with listener:
            task_status.started(where)
            await listener.serve(self._serve)

    async def _serve(self, stream: SocketStream) -> None:
        self.open += 1
        try:
            if self.open <= CONNECTIONS:
                await self._speak(stream)
        except (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError, TimeoutError):
            pass
        except wire.BadSay as error:
            logs.counters["ledger_bad_say"] += 1
            logs.log_peer_fault("ledger_connection_closed", reason=str(error))
        except Exception as error:  # a store that can't be written: the sender comes again
            logs.counters["ledger_receive_error"] += 1
            logs.log_event(logging.ERROR, "ledger_connection_failed", error)
        finally:
            self.open -= 1
            await anyio.aclose_forcefully(stream)

    async def _speak(self, stream: SocketStream) -> None:
        reader = wire.Reader()
        book = b""
        with anyio.fail_after(FIRST) as first:
            while True:
                for said in reader.feed(await stream.receive(CHUNK)):
                    answer: wire.Say
                    match said:
                        case wire.Hello(name, mark, _) if not book:
                            if (refused := stranger(said)) is None:
                                held = await self._off(partial(self.vault.greet, mark, name))
                                book = mark
                                first.deadline = float("inf")
                            answer = refused or wire.Welcome(self.vault.mark, *held)
                        case wire.Batch() if book:
                            answer = await self._off(partial(self.vault.take, book, said))
                            kind = "refused" if isinstance(answer, wire.Refused) else "taken"
                            logs.counters[f"ledger_{kind}"] += 1
                        case _:
                            raise wire.BadSay("a message out of turn")
                    if isinstance(answer, wire.Refused):
                        logs.log_peer_fault("ledger_batch_rejected", reason=answer.why, book=book.hex()[:8])
                    await stream.send(wire.encode(answer))

    async def _off(self, call: Callable[[], Result]) -> Result:
        return await to_thread.run_sync(call, limiter=self.limiter)


async def receive(host: str, port: int, folder: Path) -> None:
    """Until SIGTERM or SIGINT."""
    vault = Vault(folder)
    try:
        async with anyio.create_task_group() as tasks:
            await tasks.start(Receiver(vault).run, host, port)
            with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
                async for _ in signals:
                    break
            tasks.cancel_scope.cancel()
    finally:
        vault.close_file()
    logs.log_event(logging.INFO, "stopped", **dict[str, Any](logs.counters))
