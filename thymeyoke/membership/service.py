"""One process among the members: it listens, tells and hears, and asks the decisions.

`Membership` alone decides; `Links` carries its messages. Other subsystems have words of their own on the
same links: `send` and `hear`. Nothing here waits for a peer.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from random import Random
from typing import Any

import anyio

from thymeyoke.membership import wire
from thymeyoke.membership.configuration import Members
from thymeyoke.membership.controller import Membership
from thymeyoke.membership.failure_detector import HERE
from thymeyoke.membership.gossip import Action, Noted, Send
from thymeyoke.membership.transport import NODE, SERVER, Links, last_words
from thymeyoke.membership.view import Snapshot, View
from thymeyoke.runtime import logs, msgpack_rpc
from thymeyoke.runtime.clock import clock
from thymeyoke.runtime.invariants import check_invariant

TOLD = {"now_unsure": logging.INFO, "now_dead": logging.WARNING, "now_gone": logging.INFO,
        "stood_still": logging.WARNING, "refuted": logging.INFO, "conflict": logging.ERROR,
        "incarnation_raised": logging.WARNING}  # fmt: skip
BY_PEERS = ("snapshots_dropped", "another_address", "rival", "misplaced")

Take = Callable[[str, bytes], None]


def incarnation() -> int:
    """Of a life that begins now: milliseconds by this process's clock. Where a life before it took a higher
    one, the membership goes above that."""
    return int(clock() * 1000)


class MembershipService:
    """`own`: what this process says of itself at first; its address is the section's. `ears` has one entry a
    subsystem. `conflict` is one sentence once another process keeps this one's name: it is mute then.

    `view` and `say` may be called before `run`; `run` may be begun again after an error."""

    def __init__(self, told: Members, own: Snapshot, seed: int) -> None:
        self.told = told
        address = str(told.advertise or told.address)
        self.membership = Membership(
            clock(), own._replace(address=address), tuple(map(str, told.others)), Random(seed), told.period
        )
        self.changed: Callable[[], None] = lambda: None  # the view's version moved
        self.ears: dict[str, Take] = {}
        self.links = self._linked()
        self.stirred = anyio.Event()
        self.over = self.said_farewell = False
        self.version = self.membership.version

    def _linked(self) -> Links:
        own, told = self.membership.own, self.told
        badge = wire.Badge(told.fleet, wire.key(told.key), own.name, own.address)
        bounds = NODE if own.node else SERVER
        return Links(bounds, told.period, badge, self._take, self._refused)

    # For other subsystems.

    @property
    def conflict(self) -> str:
        return self.membership.conflict

    def view(self) -> View:
        return self.membership.view(clock())

    def say(self, **figures: Any) -> None:
        """Fields of this process's `Snapshot`, new. A change of `state`, `serves` or `holds` goes out at
        once, the rest on the next beat."""
        self.membership.say(clock(), self.membership.wanted._replace(**figures))
        self._stir()

    def hear(self, word: str, take: Take) -> None:
        """`take(name, body)` for each message of this word by a member that is there. Not `members`."""
        check_invariant(word != wire.WORD and 0 < len(word) <= wire.WORD_MOST, "members_word", word=word)
        self.ears[word] = take

    def send(self, name: str, word: str, body: bytes) -> bool:
        """To one member, straight. Never waits; False where it is not there, its mailbox is full, or the
        body is over `wire.BODY_MOST` octets. True is no promise: it may be lost with a link."""
        known = self.membership.known.get(name)
        if known is None or known.stand not in HERE or len(body) > wire.BODY_MOST or self.membership.mute:
            logs.counters["members_words_unsent"] += 1
            return False
        went = self.links.tell(known.figures.address, wire.notifications(word, body, self.links.badge))
        logs.counters["members_words_out" if went else "members_words_unsent"] += 1
        return went

    def stood(self) -> tuple[float, float]:
        """When this process last woke from a standstill (minus infinity: never), and how many seconds old
        what it read then may have been."""
        return self.membership.stood(clock())

    def leave(self) -> None:
        """Say farewell; `run` ends with it."""
        self.over = True
        self._stir()

    def reform(self, told: Members) -> None:
        """The section, read anew, at the same address: what is known stays."""
        check_invariant(
            told.address == self.told.address and told.advertise == self.told.advertise, "members_address"
        )
        old, self.told = self.told, told
        self.membership.change(clock(), tuple(map(str, told.others)), told.period)
        if (old.fleet, old.key, old.period) != (told.fleet, told.key, told.period):
            self.links.badge = self._linked().badge
            self.links.period = told.period
            scopes = [link.scope for link in self.links.out.values()]
            scopes += [link.scope for link in self.links.into]
            for scope in scopes:
                scope.cancel()  # they began with what held before
        self._stir()

    # Running.

    async def run(self) -> None:
        """Until `leave`; OSError where the address cannot be listened on."""
        self.membership.begin(clock())
        self.links = self._linked()
        left = False
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.links.run, str(self.told.address.ip), self.told.address.port)
                await self._go()
                tasks.cancel_scope.cancel()
            left = True
        except anyio.get_cancelled_exc_class():
            left = True
            raise
        finally:
            if left:
                await self._farewell()

    async def _go(self) -> None:
        while not self.over:
            now = clock()
            with anyio.move_on_after(max(0.0, self.membership.next(now) - now)):
                await self.stirred.wait()
            self.stirred = anyio.Event()
            self._carry(self.membership.settle(clock()))

    async def _farewell(self) -> None:
        """On connections of its own: those that were open went with the tasks."""
        if self.said_farewell or self.membership.mute:
            return
        self.said_farewell = True
        now = clock()
        self.membership.leave(now)
        sends = [one for one in self.membership.settle(now) if isinstance(one, Send)]
        await last_words([(send.to, self._letter(send)) for send in sends], self.told.period)

    def _stir(self) -> None:
        self.stirred.set()

    def _carry(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case Send(to):
                    if self.links.tell(to, self._letter(action)):
                        logs.counters["members_messages_out"] += 1
                    else:
                        logs.counters["members_messages_unsent"] += 1
                case Noted(what, name, why):
                    self._noted(what, name, why)
        if self.version != self.membership.version:
            self.version = self.membership.version
            self._guarded(self.changed)

    def _letter(self, send: Send) -> bytes:
        return wire.notifications(wire.WORD, wire.encode(send.message), self.links.badge)

    def _noted(self, what: str, name: str, why: str) -> None:
        logs.counters["members_" + what] += 1
        if what in TOLD:
            logs.log_event(TOLD[what], f"member_{what}", name=name, reason=why)
        elif what in BY_PEERS:
            logs.log_peer_fault(f"member_{what}", name=name, reason=why)

    # What is heard.

    def _take(self, whole: wire.Whole) -> None:
        """Of a link in; `InvalidFrameError` closes it."""
        logs.counters["members_messages_in"] += 1
        if whole.word != wire.WORD:
            return self._word(whole)
        message = wire.decode(whole.body)
        if message is None:
            logs.counters["members_later_kind"] += 1
            return
        said = message.me.snapshot
        if (said.name, said.address) != (whole.name, whole.address):
            raise msgpack_rpc.InvalidFrameError("a message whose sender is not the one that it tells of")
        self.membership.heard(clock(), whole.address, message)
        self._stir()

    def _refused(self, address: str) -> None:
        """Of a link out: nobody listens there."""
        self.membership.refused(clock(), address)
        self._stir()

    def _word(self, whole: wire.Whole) -> None:
        known = self.membership.known.get(whole.name)
        take = self.ears.get(whole.word)
        if known is None or known.stand not in HERE or known.figures.address != whole.address:
            logs.counters["members_from_nobody"] += 1
        elif take is None:
            logs.counters["members_unknown_word"] += 1
        elif len(whole.body) > wire.BODY_MOST:
            raise msgpack_rpc.InvalidFrameError("a word that is too long")
        else:
            self._guarded(take, whole.name, whole.body)

    def _guarded(self, what: Callable[..., None], *given: Any) -> None:
        """An error of another subsystem ends neither a link nor the membership."""
        try:
            what(*given)
        except Exception as error:
            logs.counters["members_word_error"] += 1
            logs.log_event(logging.ERROR, "member_message_failed", error)
