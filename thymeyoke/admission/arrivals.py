"""Statistics of arriving requests, which indicate the load here and at other servers."""

from __future__ import annotations

from collections.abc import Sequence

from thymeyoke.admission.run_times import NEWEST_WEIGHT
from thymeyoke.admission.settings import RequestClass

RETRY_STORM_SHARE = 0.4  # share of retries above which other servers are taken to be overloaded as well
QUEUEING_DELAY_WEIGHT = 2 * NEWEST_WEIGHT  # higher, as requests are read in order and the newest matters most
RETRY_WEIGHT = NEWEST_WEIGHT / 2  # of the newest request in the share of retries


class ArrivalStatistics:
    """Moving averages over arriving requests."""

    def __init__(self, request_classes: Sequence[RequestClass]) -> None:
        self.queueing_delay = 0.0  # seconds between arrival at the socket and `submit`
        self.retry_share = 0.0  # of requests that other servers rejected, or presumably would reject
        # By class: mean seconds from arrival to the latency objective.
        self.time_to_objective = [request_class.latency_objective for request_class in request_classes]

    def observe(self, class_index: int, queueing_delay: float, time_to_objective: float) -> None:
        """Update the averages with a request."""
        usual = self.time_to_objective[class_index]
        self.time_to_objective[class_index] += NEWEST_WEIGHT * (time_to_objective - usual)
        self.queueing_delay += QUEUEING_DELAY_WEIGHT * (queueing_delay - self.queueing_delay)

    def observe_retry(self, is_retry: bool) -> None:
        """Update the share of retries with a request."""
        self.retry_share += RETRY_WEIGHT * (is_retry - self.retry_share)

    @property
    def is_retry_storm(self) -> bool:
        """Whether so many requests are retries that other servers presumably reject requests as well."""
        return self.retry_share > RETRY_STORM_SHARE
