"""How long an idle client connection is kept."""

from __future__ import annotations

PERSISTENT_CONNECTIONS_PER_CORE = 12  # connections that are kept for as long as clients like
TIMEOUT_STEP = 1 / 20  # of the clients' own timeout: the steps of the timeout, and the least of it


class IdleTimeout:
    """Cuts the idle timeout while the server is saturated.

    Each connection takes a part of the cores, and past an unknown number new clients get none. A
    connection that is closed costs a handshake when its client comes back.
    """

    def __init__(self, client_timeout: float, cores: float) -> None:
        """`client_timeout`: seconds after which clients close idle connections themselves."""
        self.client_timeout = client_timeout
        self.persistent_connections = PERSISTENT_CONNECTIONS_PER_CORE * cores
        self.share = 1.0

    def next_timeout(self, span: float, open_connections: float, saturation: float) -> float:
        """The timeout in seconds, after `span` seconds at this saturation; 1 is the set point."""
        self.share *= 1 + span * max(-1.0, min(1.0, saturation - 1))
        least_share = (self.persistent_connections / max(1.0, open_connections)) ** 2
        self.share = min(1.0, max(TIMEOUT_STEP, self.share, least_share))
        return self.client_timeout * TIMEOUT_STEP * round(self.share / TIMEOUT_STEP)
