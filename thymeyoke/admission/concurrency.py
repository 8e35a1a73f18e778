"""The learned concurrency limit: how many requests should be on the cores at once."""

from __future__ import annotations

from thymeyoke.admission.settings import OverloadLimits

QUOTA_SHARE = 1 / 4  # of the limit: what one tenant or client may run while others wait
SAFE_OVERLOAD_SHARE = 0.75  # of the concurrency that the machine survives: runs, and calls that may return
GROWTH_RATE = 2.0  # cores a core and second
BACKOFF_RATE = 0.5  # cores a core and second
IDLE_BUSY_SHARE = 0.9  # cores are idle while the busy gauge is below this


class ConcurrencyLimit:
    """Grows while cores are idle and requests wait, and backs off while the cores are full."""

    def __init__(self, cores: float, now: float, overload: OverloadLimits) -> None:
        self.cores, self.overload = cores, overload
        self.limit = float(cores)
        self.started_at = self.adapted_at = now

    @property
    def quota(self) -> float:
        """What one tenant or client may run while others wait, at least one request."""
        return max(1.0, self.limit * QUOTA_SHARE)

    def ceiling(self, now: float) -> float:
        """The concurrency that the machine survives; while warming up, by its least speed."""
        overload, warmth = self.overload, 1.0
        if overload.starts_cold and now < self.started_at + overload.warm_up_timeout:
            warmed_up = (1 - overload.cold_speed_share) * (now - self.started_at) / overload.warm_up_timeout
            warmth = overload.cold_speed_share + warmed_up
        survived = self.cores * (1 + (overload.max_concurrency - 1) * warmth)
        return max(1.0, survived * SAFE_OVERLOAD_SHARE)

    def adapt(self, now: float, busy: float | None, runnable: float, running: int, has_waiting: bool) -> None:
        """Adapt the limit to the gauges and to what runs and waits."""
        span, self.adapted_at = now - self.adapted_at, now
        # The busy gauge is a mean and lags: threads that want a core tell first that none is idle.
        is_idle = busy is not None and busy < IDLE_BUSY_SHARE and runnable < self.cores
        if is_idle and has_waiting and running >= int(self.limit):
            self.limit += GROWTH_RATE * self.cores * span
        elif not (is_idle and has_waiting):
            self.limit -= BACKOFF_RATE * self.cores * span
        self.limit = min(max(self.limit, self.cores), self.ceiling(now))
