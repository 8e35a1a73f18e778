"""The memory that requests and retained idempotency keys take."""

from __future__ import annotations

from typing import Any

from thymeyoke.admission.settings import Machine

USABLE_SHARE = 0.95  # of the memory: the rest is for what is already on its way


class MemoryAccount:
    """Kilobytes of requests in flight, and the keys that are retained. Keys go as their windows pass."""

    def __init__(self, machine: Machine) -> None:
        self.machine = machine
        self.reserved = 0.0  # by requests
        self.key_expiry: dict[Any, float] = {}  # by request id

    def available(self) -> float:
        """Kilobytes that are free; negative where memory is short."""
        keys = len(self.key_expiry) * self.machine.retained_key_size
        return self.machine.memory * USABLE_SHARE - self.reserved - keys

    def growth_on_run(self, queued_size: float) -> float:
        """Kilobytes that a queued request takes besides once it runs."""
        return queued_size * (self.machine.running_memory_factor - 1)

    def expire_keys(self, now: float) -> None:
        """Drop the keys whose window has passed."""
        self.key_expiry = {id: expiry for id, expiry in self.key_expiry.items() if expiry >= now}
