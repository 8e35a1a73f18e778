"""The backpressure value that rides on every answer and tells clients to hold back."""

from __future__ import annotations

from thymeyoke.admission.settings import SignalKind

FLOOR_GAIN = 0.5  # a second and unit of pressure past the set point
FLOOR_MAX = 0.9
ALLOWANCE_GAIN = 2.0  # a second and unit of pressure off the set point, as a share of the allowance
ALLOWANCE_SHARE_MIN, ALLOWANCE_SHARE_MAX = 0.02, 0.5  # of the capacity, for all clients together
WEIGHT_MIN, WEIGHT_MAX = 0.1, 1.0
WEIGHT_AT_REST = 1.5  # before its cut at WEIGHT_MAX; half a unit of pressure is free
WEIGHT_SLOPE = 1 / 2


class BackpressureSignal:
    """Turns pressure into the kind of value that the clients read."""

    def __init__(self, kind: SignalKind, client_count: float) -> None:
        self.kind, self.client_count = kind, max(1, client_count)
        self.floor, self.allowance_share = 0.0, ALLOWANCE_SHARE_MAX

    def next_value(self, span: float, pressure: float, capacity: float) -> float | None:
        """The value after `span` seconds at this pressure; None where clients read none.

        Pressure 1 is where clients should begin to hold back. `capacity`: requests that can be in flight and
        still be in time.
        """
        if self.kind is SignalKind.FLOOR:
            floor = self.floor + span * FLOOR_GAIN * (pressure - 1)
            self.floor = min(FLOOR_MAX, max(0.0, floor))
            return round(self.floor, 2)
        if self.kind is SignalKind.ALLOWANCE:
            error = max(-1.0, min(1.0, 1 - pressure))
            share = self.allowance_share * (1 + span * ALLOWANCE_GAIN * error)
            self.allowance_share = min(ALLOWANCE_SHARE_MAX, max(ALLOWANCE_SHARE_MIN, share))
            return round(self.allowance_share * capacity / self.client_count, 1)
        if self.kind is SignalKind.WEIGHT:
            weight = WEIGHT_AT_REST - pressure * WEIGHT_SLOPE
            return round(min(WEIGHT_MAX, max(WEIGHT_MIN, weight)), 2)
        return None
