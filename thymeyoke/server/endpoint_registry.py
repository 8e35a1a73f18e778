"""Reports to the list by which routers find this server: HTTP over one kept connection.

When they go out is decided in `coldstart/`.
"""

from __future__ import annotations

import logging
from time import process_time
from urllib.parse import quote

import anyio
import h11
import orjson
from anyio.abc import ByteStream

from thymeyoke.configuration.start_file import Address
from thymeyoke.runtime import logs
from thymeyoke.runtime.clock import clock
from thymeyoke.server.messages import Move, Report
from thymeyoke.slow_start.controller import ColdStart
from thymeyoke.slow_start.heartbeat import PATIENCE, SPAN

PERIOD = SPAN  # seconds between reports
TIMEOUT = PATIENCE
CHUNK = 1 << 12


def worked() -> float:
    """Processor seconds of this process; where a system does not tell them, so many that nothing waits."""
    try:
        return process_time()
    except OSError:
        return float("inf")


class BadReport(Exception):
    """A report that was not taken."""


class Roster:
    """Reports about once a second. A list that is away disturbs nothing else."""

    def __init__(self, where: Address, name: str, cold: ColdStart | None = None) -> None:
        self.where, self.path = where, f"/ns/hosts/{quote(name, safe='')}"
        self.fit = self.reported_fit = True
        self.outbox, self.unsent = anyio.create_memory_object_stream[Report | Move](4)
        self.stream: ByteStream | None = None
        self.connected_to = where
        self.http = h11.Connection(h11.CLIENT)
        self.cold = cold or ColdStart(clock())
        self.beat = self.cold.beats(clock(), PERIOD, TIMEOUT)
        self.said = self.cold.state

    def tell(self, what: Report | Move) -> None:
        """It holds at once, and the mailbox only wakes the actor: while a report hung, several reloads once
        filled it, and the last address was never reported to."""
        if isinstance(what, Move):
            self.where = what.where
        else:
            self.fit = what.fit
        try:
            self.outbox.send_nowait(what)
        except anyio.WouldBlock:
            logs.counts["roster_outbox_full"] += 1

    async def run(self) -> None:
        try:
            await self._run()
        finally:
            await self._close()

    async def _run(self) -> None:
        self.cold.begin(clock(), worked())
        while True:
            if self.cold.goes(clock()):
                await self._try()
                self._tell_state()
                continue
            with anyio.move_on_after(max(0.0, self.beat.moment - clock())) as wait:
                self._heard(await self.unsent.receive())
            if wait.cancelled_caught and clock() < self.beat.moment:  # it stands still: it never steps back
                self.beat.at_once(clock())

    async def _try(self) -> None:
        """One report, and what came of it."""
        now = clock()
        given_up = self.cold.sent(now)
        try:
            with anyio.fail_after(given_up - now):
                await self._report()
            logs.counts["reports"] += 1
            self.cold.listed(clock())
        except (OSError, TimeoutError, anyio.EndOfStream, anyio.BrokenResourceError,
                anyio.ClosedResourceError, h11.ProtocolError, BadReport) as error:  # fmt: skip
            if logs.counts["reports_failed"] == 0:
                logs.say(logging.WARNING, "report failed", error)
            logs.counts["reports_failed"] += 1
            self.cold.unheard(clock())
            await self._close()

    def _tell_state(self) -> None:
        if self.said is not self.cold.state:
            self.said = self.cold.state
            logs.say(logging.INFO, "cold start", state=self.said.value)

    def _heard(self, what: Report | Move) -> None:
        """What is new is said at once: whether it is fit, or where it is said."""
        if isinstance(what, Move) or self.fit != self.reported_fit:
            self.beat.at_once(clock())

    async def _close(self) -> None:
        if self.stream:
            stream, self.stream = self.stream, None
            await anyio.aclose_forcefully(stream)

    async def _report(self) -> None:
        if self.connected_to != self.where:
            await self._close()
        if self.stream is None:
            self.connected_to = self.where
            self.stream = await anyio.connect_tcp(self.where.host, self.where.port)
            self.http = h11.Connection(h11.CLIENT)
        self.reported_fit = self.fit
        body = orjson.dumps({"serving": "yes" if self.fit else "no"})
        headers = [("Host", str(self.where)), ("Content-Length", str(len(body)))]
        ask = h11.Request(method="PUT", target=self.path, headers=headers)
        parts = [self.http.send(part) for part in (ask, h11.Data(data=body), h11.EndOfMessage())]
        await self.stream.send(b"".join(part or b"" for part in parts))
        status = await self._status(self.stream)
        if self.http.our_state is h11.DONE and self.http.their_state is h11.DONE:
            self.http.start_next_cycle()
        else:
            await self._close()
        if status != 204:
            raise BadReport(f"status {status}")

    async def _status(self, stream: ByteStream) -> int:
        status = 0
        while True:
            event = self.http.next_event()
            if event is h11.NEED_DATA:
                try:
                    self.http.receive_data(await stream.receive(CHUNK))
                except anyio.EndOfStream:
                    self.http.receive_data(b"")
            elif isinstance(event, h11.Response):
                status = event.status_code
            elif isinstance(event, h11.EndOfMessage):
                return status
            elif isinstance(event, h11.ConnectionClosed):
                raise BadReport("closed without an answer")
