"""Accounting of the memory used by requests and retained idempotency keys."""

from __future__ import annotations

from typing import Any

from thymeyoke.admission.settings import Machine

USABLE_MEMORY_SHARE = 0.95  # of the memory; the rest is for requests that have been sent but not read yet


class MemoryAccount:
    """Memory of requests in flight and of retained keys. Keys are removed when their windows end."""

    def __init__(self, machine: Machine) -> None:
        self.machine = machine
        self.reserved = 0.0  # kilobytes of requests in flight
        self.key_expiry: dict[Any, float] = {}  # end of each key's window, by request id

    def available(self) -> float:
        """Free kilobytes; negative if memory is short."""
        keys = len(self.key_expiry) * self.machine.retained_key_size
        return self.machine.memory * USABLE_MEMORY_SHARE - self.reserved - keys

    def growth_on_run(self, queued_size: float) -> float:
        """Additional kilobytes that a queued request needs once it runs."""
        return queued_size * (self.machine.running_memory_factor - 1)

    def expire_keys(self, now: float) -> None:
        """Remove keys whose window has ended."""
        self.key_expiry = {id: expiry for id, expiry in self.key_expiry.items() if expiry >= now}
