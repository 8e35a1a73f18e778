"""What an app server says of itself: looks at it in, fields of a snapshot out. Pure."""

from __future__ import annotations

from collections.abc import Callable
from ipaddress import ip_address
from math import exp
from typing import TYPE_CHECKING, Any

from thymeyoke.membership.view import State

if TYPE_CHECKING:
    from thymeyoke.runtime.extensions import ServerStatus

CALM = 2.0  # seconds over which connections opened are told as a rate


def serves(host: str, port: int) -> str:
    """Where ops come in, as members write an address; empty where the start file names no address."""
    try:
        ip = ip_address(host.strip("[]"))
    except ValueError:
        return ""
    return "" if not port else f"[{ip}]:{port}" if ip.version == 6 else f"{ip}:{port}"


class Figures:
    """`look` as the desk answers, `leaves` with its notice; `fields` is what there is to say."""

    def __init__(self, now: float) -> None:
        self.state = State.COLD
        self.standing: ServerStatus | None = None
        self.opened, self.accepted, self.at = 0.0, -1, now
        self.awaited = False  # asked, and not yet answered

    def asked(self, now: float) -> bool:
        """It is asked now; whether the question before is still unanswered."""
        late, self.awaited = self.awaited, True
        return late and now > self.at

    def look(self, now: float, standing: ServerStatus, accepted: int) -> None:
        """`accepted`: connections so far, since the process began."""
        span = max(0.0, now - self.at)
        if self.accepted >= 0 and span > 0:
            rate = max(0, accepted - self.accepted) / span
            self.opened += (rate - self.opened) * (1 - exp(-span / CALM))
        self.standing, self.accepted, self.at, self.awaited = standing, accepted, now, False
        if standing.is_ready and now >= standing.warm_at:
            self.state = max(self.state, State.SERVING)

    def leaves(self) -> None:
        self.state = max(self.state, State.LEAVING)

    def fields(self, now: float) -> dict[str, Any]:
        """No room where it takes nothing new, where its processor is away, and where the desk does not answer
        in time: what is not known is not offered."""
        look = self.standing
        if look is None:
            return {"state": self.state, "room": 0}
        takes = (
            self.state == State.SERVING
            and look.is_processor_connected
            and not (self.awaited and now > self.at + CALM)
        )
        room = max(0, look.max_connections - look.connections) if takes else 0
        return {"state": self.state, "connections": look.connections, "opened": self.opened, "room": room}

    def say(self, now: float, say: Callable[..., None]) -> None:
        say(**self.fields(now))
