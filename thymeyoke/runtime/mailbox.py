"""Helpers for bounded mailboxes between actors, which are in-memory streams of anyio."""

from __future__ import annotations

from contextlib import suppress
from typing import TypeVar

import anyio
from anyio.streams.memory import MemoryObjectReceiveStream, MemoryObjectSendStream

Item = TypeVar("Item")


def take_all(mailbox: MemoryObjectReceiveStream[Item]) -> list[Item]:
    """Take all items that are currently in a mailbox, without waiting."""
    return [mailbox.receive_nowait() for _ in range(mailbox.statistics().current_buffer_used)]


async def post(mailbox: MemoryObjectSendStream[Item], item: Item) -> None:
    """Put an item into a mailbox, unless its reader has ended; waits only while the mailbox is full.

    The wait is shielded from cancellation: an event that was read from a peer would otherwise be lost if the
    peer's task were cancelled meanwhile.
    """
    with suppress(anyio.BrokenResourceError, anyio.ClosedResourceError):
        try:
            mailbox.send_nowait(item)
        except anyio.WouldBlock:
            with anyio.CancelScope(shield=True):
                await mailbox.send(item)
