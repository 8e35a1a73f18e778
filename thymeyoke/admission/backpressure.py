"""The backpressure value that is sent with every answer and makes clients reduce their load."""

from __future__ import annotations

from thymeyoke.admission.settings import SignalKind

FLOOR_GAIN_PER_SECOND = 0.5  # change of the floor for each unit of pressure above 1
FLOOR_MAX = 0.9  # highest priority floor: some requests are always admitted
ALLOWANCE_GAIN_PER_SECOND = 2.0  # relative change of the allowance for each unit of pressure below 1
ALLOWANCE_SHARE_MIN, ALLOWANCE_SHARE_MAX = 0.02, 0.5  # of the capacity, for all clients together
WEIGHT_MIN, WEIGHT_MAX = 0.1, 1.0
WEIGHT_WITHOUT_PRESSURE = 1.5  # before clamping to WEIGHT_MAX, so that pressure up to 1 does not reduce it
WEIGHT_SLOPE = 1 / 2  # decrease of the weight for each unit of pressure


class BackpressureSignal:
    """Converts pressure into the kind of backpressure value that the clients understand."""

    def __init__(self, kind: SignalKind, client_count: float) -> None:
        self.kind, self.client_count = kind, max(1, client_count)
        self.floor, self.allowance_share = 0.0, ALLOWANCE_SHARE_MAX

    def next_value(self, span: float, pressure: float, capacity: float) -> float | None:
        """The value after `span` seconds at this pressure; None if clients do not read any.

        From pressure 1 on clients should reduce their load. `capacity`: requests that can be in flight at
        once and still meet their objectives.
        """
        if self.kind is SignalKind.FLOOR:
            floor = self.floor + span * FLOOR_GAIN_PER_SECOND * (pressure - 1)
            self.floor = min(FLOOR_MAX, max(0.0, floor))
            return round(self.floor, 2)
        if self.kind is SignalKind.ALLOWANCE:
            error = max(-1.0, min(1.0, 1 - pressure))
            share = self.allowance_share * (1 + span * ALLOWANCE_GAIN_PER_SECOND * error)
            self.allowance_share = min(ALLOWANCE_SHARE_MAX, max(ALLOWANCE_SHARE_MIN, share))
            return round(self.allowance_share * capacity / self.client_count, 1)
        if self.kind is SignalKind.WEIGHT:
            weight = WEIGHT_WITHOUT_PRESSURE - pressure * WEIGHT_SLOPE
            return round(min(WEIGHT_MAX, max(WEIGHT_MIN, weight)), 2)
        return None
