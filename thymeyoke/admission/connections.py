"""The idle timeout of client connections."""

from __future__ import annotations

PERSISTENT_CONNECTIONS_PER_CORE = 12  # up to this number the clients' own idle timeout applies
TIMEOUT_STEP_SHARE = 1 / 20  # of the clients' own timeout: granularity and minimum of the timeout


class IdleTimeout:
    """Shortens the idle timeout while the server is saturated.

    Open connections use processor time, and above an unknown number new clients are refused. Closing one
    costs a handshake when its client reconnects.
    """

    def __init__(self, client_timeout: float, cores: float) -> None:
        """`client_timeout`: seconds after which clients close idle connections themselves."""
        self.client_timeout = client_timeout
        self.persistent_connections = PERSISTENT_CONNECTIONS_PER_CORE * cores
        self.share = 1.0

    def next_timeout(self, span: float, open_connections: float, saturation: float) -> float:
        """The timeout in seconds, after `span` seconds at this saturation; it shrinks above 1."""
        self.share *= 1 + span * max(-1.0, min(1.0, saturation - 1))
        least_share = (self.persistent_connections / max(1.0, open_connections)) ** 2
        self.share = min(1.0, max(TIMEOUT_STEP_SHARE, self.share, least_share))
        return self.client_timeout * TIMEOUT_STEP_SHARE * round(self.share / TIMEOUT_STEP_SHARE)
