"""An app server among the members: it stands behind the desk, looks at the server a few times a second, and
says what it saw.

Cold until the processor is up and warm, serving, leaving from the notice on; farewell with the process's end.
Without `[members]` this is never imported.
"""

from __future__ import annotations

import socket
from contextlib import suppress

import anyio
from anyio.streams.memory import MemoryObjectSendStream

from thymeyoke.membership.configuration import Members
from thymeyoke.membership.load import Figures, serves
from thymeyoke.membership.service import MembershipService, incarnation
from thymeyoke.membership.view import Snapshot, State
from thymeyoke.runtime import logs
from thymeyoke.runtime.clock import clock
from thymeyoke.runtime.extensions import (
    ConfigurationChanged,
    DrainStarted,
    ExtensionContext,
    HostConfigurationError,
    ServerStatus,
    StatusQuery,
)
from thymeyoke.runtime.mailbox import take_all

LOOK = 0.25  # seconds between looks at the server
LETTERS = 32

Letter = ServerStatus | DrainStarted | ConfigurationChanged


class MembershipExtension:
    """Stands behind the desk while the operators' file has `[members]`."""

    name = "members"
    observes_requests, extends_drain = False, False

    def __init__(self, told: Members, around: ExtensionContext) -> None:
        self.told, self.around = told, around
        self.desk: MemoryObjectSendStream[StatusQuery] = around.dispatcher
        self.outbox, self.letters = anyio.create_memory_object_stream[Letter](LETTERS)
        self.figures = Figures(clock())
        self.fleet = self._begun(told, State.COLD)
        self.over = self.anew = False  # the section is gone; it stands at another address

    def _begun(self, told: Members, state: State) -> MembershipService:
        around, where = self.around, serves(*self.around.listen)
        return MembershipService(
            told, Snapshot(around.name, False, incarnation(), 0, state, "", where), around.seed
        )

    # The seam.

    def notify(self, what: Letter) -> None:
        try:
            self.outbox.send_nowait(what)
        except anyio.WouldBlock:
            logs.counters["members_letters_full"] += 1
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            pass

    def close(self) -> None:
        self.outbox.close()
        self.letters.close()

    async def run(self) -> None:
        while not self.over:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.fleet.run)
                await self._look()
                self.fleet.leave()  # its run ends by itself, with its farewell
            if self.anew:
                self.anew, state = False, self.fleet.membership.own.state
                self.fleet = self._begun(self.told, min(state, State.LEAVING))
                self.figures.say(clock(), self.fleet.say)
        self.close()

    async def _look(self) -> None:
        look_at = clock()
        while not (self.over or self.anew):
            now = clock()
            if now >= look_at:
                look_at = now + LOOK
                self._ask(now)
            with anyio.move_on_after(max(0.0, look_at - clock())):
                self._hear(await self.letters.receive())
            for letter in take_all(self.letters):
                self._hear(letter)

    def _ask(self, now: float) -> None:
        if self.figures.asked(now):
            logs.counters["members_late_looks"] += 1
            self.figures.say(now, self.fleet.say)
        with suppress(anyio.WouldBlock, anyio.BrokenResourceError, anyio.ClosedResourceError):
            self.desk.send_nowait(StatusQuery(self))

    def _hear(self, letter: Letter) -> None:
        now = clock()
        match letter:
            case ServerStatus():
                self.figures.look(now, letter, logs.counters["connections_accepted"])
                self.figures.say(now, self.fleet.say)
            case DrainStarted():
                self.figures.leaves()
                self.figures.say(now, self.fleet.say)
            case ConfigurationChanged(section):
                self._reform(section)

    def _reform(self, told: Members | None) -> None:
        if told is None:
            self.over = True
            return
        old, self.told = self.told, told
        if (old.address, old.advertise, old.fleet) != (told.address, told.advertise, told.fleet):
            self.anew = True  # a farewell there, and another life here
        elif old != told:
            self.fleet.reform(told)


def check_host(told: Members) -> None:
    """Whether this machine has that address; `Refused` else. The port may still be its own."""
    ip = told.address.ip
    family = socket.AF_INET if ip.version == 4 else socket.AF_INET6
    with socket.socket(family, socket.SOCK_STREAM) as sock:
        try:
            sock.bind((str(ip), 0))
        except OSError as error:
            raise HostConfigurationError(
                f"[members] address: this machine refuses {ip} ({error.strerror}); give one of "
                f"its own addresses"
            ) from None


def create_extension(told: Members, around: ExtensionContext) -> MembershipExtension:
    return MembershipExtension(told, around)
