"""The load that an app server reports: from the server's status to fields of its snapshot. Pure."""

from __future__ import annotations

from collections.abc import Callable
from ipaddress import ip_address
from math import exp
from typing import TYPE_CHECKING, Any

from thymeyoke.membership.view import State

if TYPE_CHECKING:
    from thymeyoke.runtime.extensions import ServerStatus

RATE_AVERAGING_SECONDS = 2.0  # time constant of the rate of opened connections


def service_address(host: str, port: int) -> str:
    """The address of requests in canonical form; "" if it has no IP address or port."""
    try:
        ip = ip_address(host.strip("[]"))
    except ValueError:
        return ""
    return "" if not port else f"[{ip}]:{port}" if ip.version == 6 else f"{ip}:{port}"


class ServerLoad:
    """State and load of this app server, updated from its status."""

    def __init__(self, now: float) -> None:
        self.state = State.COLD
        self.status: ServerStatus | None = None
        self.open_rate, self.accepted, self.updated_at = 0.0, -1, now
        self.is_query_pending = False  # a status was requested and not received yet

    def query_sent(self, now: float) -> bool:
        """Note a status query; returns whether the previous one is still unanswered."""
        was_pending, self.is_query_pending = self.is_query_pending, True
        return was_pending and now > self.updated_at

    def update(self, now: float, status: ServerStatus, accepted: int) -> None:
        """Apply a status; `accepted`: connections accepted since the process started."""
        span = max(0.0, now - self.updated_at)
        if self.accepted >= 0 and span > 0:
            rate = max(0, accepted - self.accepted) / span
            self.open_rate += (rate - self.open_rate) * (1 - exp(-span / RATE_AVERAGING_SECONDS))
        self.status, self.accepted, self.updated_at, self.is_query_pending = status, accepted, now, False
        if status.is_ready and now >= status.warm_at:
            self.state = max(self.state, State.SERVING)

    def start_draining(self) -> None:
        """Note that the server drains."""
        self.state = max(self.state, State.LEAVING)

    def fields(self, now: float) -> dict[str, Any]:
        """The fields of this server's snapshot.

        No free capacity is reported if the server accepts nothing new, its processor is not connected, or
        its status is outdated.
        """
        status = self.status
        if status is None:
            return {"state": self.state, "room": 0}
        accepts = (
            self.state == State.SERVING
            and status.is_processor_connected
            and not (self.is_query_pending and now > self.updated_at + RATE_AVERAGING_SECONDS)
        )
        room = max(0, status.max_connections - status.connections) if accepts else 0
        return {
            "state": self.state,
            "connections": status.connections,
            "opened": self.open_rate,
            "room": room,
        }

    def announce(self, now: float, announce: Callable[..., None]) -> None:
        """Pass the fields of the snapshot to `announce`."""
        announce(**self.fields(now))
