"""Gives up runs whose last command may have been lost, without I/O.

Such a command is not sent again where the processor could carry it out twice. The run goes on if the command
was received, which the next notice of the run shows; otherwise it stays silent for good.
"""

from __future__ import annotations

from collections.abc import Collection, Iterator
from typing import NamedTuple

from thymeyoke.server.in_flight import InFlightRequest
from thymeyoke.server.messages import Command

RESPONSE_WINDOW_SECONDS = 60.0
MIN_RESPONSES = 20  # of a class, before the longest of them counts
MIN_SILENCE_SECONDS = 0.25
SILENCE_FACTOR = 1.5  # a run is lost after so many times the longest response of its class


class Window(NamedTuple):
    """The values of one window."""

    responses: int = 0
    largest: float = 0.0


class RecentMaximum:
    """The largest value of the last one to two windows of `RESPONSE_WINDOW_SECONDS`."""

    def __init__(self) -> None:
        self.previous, self.current = Window(), Window()
        self.ends_at = 0.0  # of the current window

    def add(self, now: float, value: float) -> None:
        """Add a value."""
        self._advance(now)
        self.current = Window(self.current.responses + 1, max(self.current.largest, value))

    def get(self, now: float) -> float | None:
        """The maximum, or None with fewer than `MIN_RESPONSES` recent values."""
        self._advance(now)
        if self.previous.responses + self.current.responses < MIN_RESPONSES:
            return None
        return max(self.previous.largest, self.current.largest)

    def _advance(self, now: float) -> None:
        if now < self.ends_at:
            return
        is_recent = now < self.ends_at + RESPONSE_WINDOW_SECONDS
        self.previous = self.current if is_recent else Window()
        self.current = Window()
        self.ends_at = now + RESPONSE_WINDOW_SECONDS


class UnconfirmedRun(NamedTuple):
    """A run that is given up at `give_up_at` if `command` is its last command still."""

    give_up_at: float
    request: InFlightRequest
    command: Command


class UnconfirmedRuns:
    """Runs that wait for a notice after a loss of the link; `answer_slack` is in seconds.

    A response is the time from a command to the next notice of its run. A run is given up once it has been
    silent on a synced link for longer than the responses of its class, and at the latest when its request is
    overdue.
    """

    def __init__(self, class_count: int, answer_slack: float) -> None:
        self.answer_slack = answer_slack
        self.longest_response = [RecentMaximum() for _ in range(class_count)]
        self.runs: list[UnconfirmedRun] = []

    def notice_received(self, now: float, request: InFlightRequest) -> None:
        """Handle a notice: the processor has received the run's last command."""
        if request.last_command is None:
            return
        request.last_command = None
        self.longest_response[request.header.class_index].add(now, now - request.command_sent_at)

    def link_lost(self, now: float) -> None:
        """Wait for the next link: until then a run that goes on is silent too."""
        self.runs = [run._replace(give_up_at=self._overdue_at(now, run.request)) for run in self._silent()]

    def link_synced(self, now: float, requests: Collection[InFlightRequest]) -> None:
        """Watch runs whose last command may have been lost; all notices sent so far have been read."""
        watched = [run.request for run in self._silent()]
        self.runs = [
            UnconfirmedRun(self._give_up_at(now, request), request, request.last_command)
            for request in (*watched, *requests)
            if request.last_command is not None
        ]

    def _overdue_at(self, now: float, request: InFlightRequest) -> float:
        return max(now, request.deadline) + self.answer_slack

    def _give_up_at(self, now: float, request: InFlightRequest) -> float:
        longest = self.longest_response[request.header.class_index].get(now)
        overdue_at = self._overdue_at(now, request)
        if longest is None:
            return overdue_at
        return min(overdue_at, now + max(MIN_SILENCE_SECONDS, SILENCE_FACTOR * longest))

    def _silent(self) -> list[UnconfirmedRun]:
        return [
            run for run in self.runs if run.request.last_command is run.command and not run.request.is_over
        ]

    def next_moments(self) -> list[float]:
        """The time of the next expiry, as a list that is empty if there is none."""
        return [min(run.give_up_at for run in self.runs)] if self.runs else []

    def take_expired(self, now: float) -> Iterator[InFlightRequest]:
        """Take the requests whose run is given up."""
        if not self.runs:
            return
        silent = self._silent()
        self.runs = [run for run in silent if run.give_up_at > now]
        yield from (run.request for run in silent if run.give_up_at <= now)
