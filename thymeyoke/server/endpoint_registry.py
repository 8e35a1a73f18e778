"""The client of the endpoint registry, in which routers look up this server.

It sends HTTP reports over one persistent connection; `slow_start` decides when to send them.
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
from thymeyoke.runtime.errors import ThymeyokeError
from thymeyoke.server.messages import AddressChanged, HealthChanged
from thymeyoke.slow_start import heartbeat
from thymeyoke.slow_start.controller import StartupController

REPORT_PERIOD_SECONDS = heartbeat.INTERVAL_SECONDS
REPORT_TIMEOUT_SECONDS = heartbeat.REPORT_TIMEOUT_SECONDS
OUTBOX_SIZE = 4
READ_BYTES = 1 << 12
ACCEPTED_STATUS = 204


def processor_seconds() -> float:
    """CPU seconds used by this process, or infinity if the system does not report them."""
    try:
        return process_time()
    except OSError:
        return float("inf")


class ReportRejectedError(ThymeyokeError):
    """Raised when the registry does not accept a report."""


FAILURES = (
    OSError,
    TimeoutError,
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    h11.ProtocolError,
    ReportRejectedError,
)


class EndpointRegistryClient:
    """Reports this server's health about once a second; failures to report have no other effect."""

    def __init__(self, address: Address, name: str, startup: StartupController | None = None) -> None:
        """Create a client; `name` is the server's name in the registry."""
        self.address, self.path = address, f"/ns/hosts/{quote(name, safe='')}"
        self.is_healthy = self.reported_health = True
        self.outbox, self.outbox_reader = anyio.create_memory_object_stream[HealthChanged | AddressChanged](
            OUTBOX_SIZE
        )
        self.stream: ByteStream | None = None
        self.connected_address = address
        self.http = h11.Connection(h11.CLIENT)
        self.startup = startup or StartupController(clock())
        self.heartbeat = self.startup.new_heartbeat(clock(), REPORT_PERIOD_SECONDS, REPORT_TIMEOUT_SECONDS)
        self.logged_state = self.startup.state

    def send(self, message: HealthChanged | AddressChanged) -> None:
        """Apply a change at once and wake the actor; a full mailbox, while a report hangs, is harmless."""
        if isinstance(message, AddressChanged):
            self.address = message.address
        else:
            self.is_healthy = message.is_healthy
        try:
            self.outbox.send_nowait(message)
        except anyio.WouldBlock:
            logs.counters["registry_outboxes_full"] += 1

    async def run(self) -> None:
        """Report until cancelled."""
        try:
            await self._run()
        finally:
            await self._close()

    async def _run(self) -> None:
        self.startup.begin(clock(), processor_seconds())
        while True:
            if self.startup.should_report(clock()):
                await self._attempt_report()
                self._log_state()
                continue
            with anyio.move_on_after(max(0.0, self.heartbeat.next_check_at - clock())) as wait:
                self._handle(await self.outbox_reader.receive())
            if wait.cancelled_caught and clock() < self.heartbeat.next_check_at:  # our clock was set back
                self.heartbeat.send_now(clock())

    async def _attempt_report(self) -> None:
        """Send one report, and record whether it was accepted."""
        now = clock()
        given_up_at = self.startup.report_sent(now)
        try:
            with anyio.fail_after(given_up_at - now):
                await self._send_report()
            logs.counters["reports_accepted"] += 1
            self.startup.report_accepted(clock())
        except FAILURES as error:
            if logs.counters["reports_failed"] == 0:
                logs.log_event(logging.WARNING, "report_failed", error)
            logs.counters["reports_failed"] += 1
            self.startup.report_failed(clock())
            await self._close()

    def _log_state(self) -> None:
        if self.logged_state is not self.startup.state:
            self.logged_state = self.startup.state
            logs.log_event(logging.INFO, "startup_state_changed", state=self.logged_state.value)

    def _handle(self, message: HealthChanged | AddressChanged) -> None:
        """Report at once when the health or the registry's address has changed."""
        if isinstance(message, AddressChanged) or self.is_healthy != self.reported_health:
            self.heartbeat.send_now(clock())

    async def _close(self) -> None:
        if self.stream:
            stream, self.stream = self.stream, None
            await anyio.aclose_forcefully(stream)

    async def _send_report(self) -> None:
        if self.connected_address != self.address:
            await self._close()
        if self.stream is None:
            self.connected_address = self.address
            self.stream = await anyio.connect_tcp(self.address.host, self.address.port)
            self.http = h11.Connection(h11.CLIENT)
        self.reported_health = self.is_healthy
        await self.stream.send(self._request())
        status = await self._read_status(self.stream)
        if self.http.our_state is h11.DONE and self.http.their_state is h11.DONE:
            self.http.start_next_cycle()
        else:
            await self._close()
        if status != ACCEPTED_STATUS:
            raise ReportRejectedError(f"status {status}")

    def _request(self) -> bytes:
        body = orjson.dumps({"serving": "yes" if self.is_healthy else "no"})
        headers = [("Host", str(self.address)), ("Content-Length", str(len(body)))]
        request = h11.Request(method="PUT", target=self.path, headers=headers)
        parts = [self.http.send(part) for part in (request, h11.Data(data=body), h11.EndOfMessage())]
        return b"".join(part or b"" for part in parts)

    async def _read_status(self, stream: ByteStream) -> int:
        status = 0
        while True:
            event = self.http.next_event()
            if event is h11.NEED_DATA:
                try:
                    self.http.receive_data(await stream.receive(READ_BYTES))
                except anyio.EndOfStream:
                    self.http.receive_data(b"")
            elif isinstance(event, h11.Response):
                status = event.status_code
            elif isinstance(event, h11.EndOfMessage):
                return status
            elif isinstance(event, h11.ConnectionClosed):
                raise ReportRejectedError("the registry closed the connection without an answer")
