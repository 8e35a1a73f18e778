"""One retry budget a process, shared by the list, the link and the database. Pure.

What worked fills it, what is tried again draws on it; first tries are free. Within any span T with W that
worked, at most size + FILL * W + T / PROBE + 1 repeats go out.
"""

from __future__ import annotations

FILL = 0.2  # of a repeat for each that worked: in the long run one repeat for five
LEAST = 16.0  # repeats that a full budget holds at least
PROBE = 2.0  # seconds after which one repeat is let through though nothing works: the floor


class Budget:
    """Moments are seconds of one clock that never steps back. `size` in repeats."""

    def __init__(self, now: float, size: float = LEAST) -> None:
        self.size = max(LEAST, size)
        self.left, self.probe_at = self.size, now

    def won(self) -> None:
        """Something worked."""
        self.left = min(self.size, self.left + FILL)

    def has(self, now: float) -> bool:
        return self.left >= 1 or now >= self.probe_at

    def take(self, now: float) -> bool:
        """Whether a repeat may go out now; it is booked if so."""
        if not self.has(now):
            return False
        if self.left >= 1:
            self.left -= 1
        self.probe_at = now + PROBE
        return True

    def when(self, now: float) -> float:
        """The moment from which on one may, if nothing works until then."""
        return now if self.left >= 1 else max(now, self.probe_at)
