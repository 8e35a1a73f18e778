"""Runs the membership of one process: connects the pure `Membership` with its sockets (`Links`).

Other subsystems send messages on channels of their own over the same links: `send` and `add_receiver`.
Nothing here waits for a peer.
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
from thymeyoke.membership.failure_detector import PRESENT_STATUSES
from thymeyoke.membership.gossip import Action, LogEvent, Send
from thymeyoke.membership.transport import NODE_LINKS, SERVER_LINKS, Links, send_farewells
from thymeyoke.membership.view import Snapshot, View
from thymeyoke.runtime import logs, msgpack_rpc
from thymeyoke.runtime.clock import clock
from thymeyoke.runtime.invariants import check_invariant

LOGGED_EVENTS = {"now_unsure": logging.INFO, "now_dead": logging.WARNING, "now_gone": logging.INFO,
        "stood_still": logging.WARNING, "refuted": logging.INFO, "conflict": logging.ERROR,
        "incarnation_raised": logging.WARNING}  # fmt: skip
PEER_FAULT_EVENTS = ("snapshots_dropped", "another_address", "rival", "misplaced")

Receiver = Callable[[str, bytes], None]


def incarnation() -> int:
    """The incarnation of a process that starts now: milliseconds of the clock.

    If an earlier process with the same name had a higher one, `Membership` raises it.
    """
    return int(clock() * 1000)


class MembershipService:
    """The membership of this process, for its other subsystems.

    `view` and `announce` may be called before `run`; `run` may be called again after an error.
    """

    def __init__(self, config: Members, own: Snapshot, seed: int) -> None:
        """`own`: this process's initial snapshot; its address is replaced by the configured one."""
        self.config = config
        address = str(config.advertise or config.address)
        self.membership = Membership(
            clock(),
            own._replace(address=address),
            tuple(map(str, config.others)),
            Random(seed),
            config.period,
        )
        self.changed: Callable[[], None] = lambda: None  # called when the view's version has changed
        self.receivers: dict[str, Receiver] = {}
        self.links = self._make_links()
        self.wakeup = anyio.Event()
        self.is_leaving = self.has_sent_farewell = False
        self.version = self.membership.version

    def _make_links(self) -> Links:
        own, config = self.membership.own, self.config
        credentials = wire.Credentials(config.fleet, wire.derive_key(config.key), own.name, own.address)
        limits = NODE_LINKS if own.node else SERVER_LINKS
        return Links(limits, config.period, credentials, self._receive_message, self._connect_refused)

    # For other subsystems.

    @property
    def conflict(self) -> str:
        """Error message if another process owns this one's name, else ""; this process is silent then."""
        return self.membership.conflict

    def view(self) -> View:
        """The current view of the fleet."""
        return self.membership.view(clock())

    def announce(self, **figures: Any) -> None:
        """Update fields of this process's `Snapshot`.

        Changes of `state`, `serves` and `holds` are sent at once, others with the next period.
        """
        self.membership.announce(clock(), self.membership.pending_own._replace(**figures))
        self._wake()

    def add_receiver(self, channel: str, receiver: Receiver) -> None:
        """Call `receiver(name, body)` for each message of a present member on another channel."""
        check_invariant(
            channel != wire.CHANNEL and 0 < len(channel) <= wire.MAX_CHANNEL_LENGTH,
            "members_word",
            word=channel,
        )
        self.receivers[channel] = receiver

    def send(self, name: str, channel: str, body: bytes) -> bool:
        """Send a message to one member without waiting; it may be lost.

        Returns False if the member is not present, its outbox is full, or the body exceeds
        `wire.MAX_BODY_BYTES`.
        """
        known = self.membership.known.get(name)
        if (
            known is None
            or known.status not in PRESENT_STATUSES
            or len(body) > wire.MAX_BODY_BYTES
            or self.membership.is_silent
        ):
            logs.counters["members_words_unsent"] += 1
            return False
        is_queued = self.links.send(
            known.figures.address, wire.encode_notifications(channel, body, self.links.credentials)
        )
        logs.counters["members_words_out" if is_queued else "members_words_unsent"] += 1
        return is_queued

    def last_stall(self) -> tuple[float, float]:
        """When this process last resumed from a stall (minus infinity: never), and its duration in seconds.

        Messages read just after it may be as old as the duration.
        """
        return self.membership.last_stall(clock())

    def leave(self) -> None:
        """Leave the fleet: `run` sends a farewell and ends."""
        self.is_leaving = True
        self._wake()

    def reconfigure(self, config: Members) -> None:
        """Apply a changed configuration with the same address; all knowledge of members is kept."""
        check_invariant(
            config.address == self.config.address and config.advertise == self.config.advertise,
            "members_address",
        )
        old, self.config = self.config, config
        self.membership.reconfigure(clock(), tuple(map(str, config.others)), config.period)
        if (old.fleet, old.key, old.period) != (config.fleet, config.key, config.period):
            self.links.credentials = self._make_links().credentials
            self.links.period = config.period
            scopes = [link.scope for link in self.links.outbound.values()]
            scopes += [link.scope for link in self.links.inbound]
            for scope in scopes:
                scope.cancel()  # links use the previous settings
        self._wake()

    # Running.

    async def run(self) -> None:
        """Run until `leave` is called; raises OSError if the address cannot be listened on."""
        self.membership.start(clock())
        self.links = self._make_links()
        has_ended = False
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.links.run, str(self.config.address.ip), self.config.address.port)
                await self._run_loop()
                tasks.cancel_scope.cancel()
            has_ended = True
        except anyio.get_cancelled_exc_class():
            has_ended = True
            raise
        finally:
            if has_ended:
                await self._send_farewell()

    async def _run_loop(self) -> None:
        while not self.is_leaving:
            now = clock()
            with anyio.move_on_after(max(0.0, self.membership.next_advance_at(now) - now)):
                await self.wakeup.wait()
            self.wakeup = anyio.Event()
            self._execute(self.membership.advance(clock()))

    async def _send_farewell(self) -> None:
        """Send farewells on separate connections, as the links are already closed."""
        if self.has_sent_farewell or self.membership.is_silent:
            return
        self.has_sent_farewell = True
        now = clock()
        self.membership.leave(now)
        sends = [one for one in self.membership.advance(now) if isinstance(one, Send)]
        await send_farewells([(send.address, self._encode(send)) for send in sends], self.config.period)

    def _wake(self) -> None:
        self.wakeup.set()

    def _execute(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case Send(address):
                    if self.links.send(address, self._encode(action)):
                        logs.counters["members_messages_out"] += 1
                    else:
                        logs.counters["members_messages_unsent"] += 1
                case LogEvent(event, name, reason):
                    self._log(event, name, reason)
        if self.version != self.membership.version:
            self.version = self.membership.version
            self._call_guarded(self.changed)

    def _encode(self, send: Send) -> bytes:
        return wire.encode_notifications(wire.CHANNEL, wire.encode(send.message), self.links.credentials)

    def _log(self, event: str, name: str, reason: str) -> None:
        logs.counters["members_" + event] += 1
        if event in LOGGED_EVENTS:
            logs.log_event(LOGGED_EVENTS[event], f"member_{event}", name=name, reason=reason)
        elif event in PEER_FAULT_EVENTS:
            logs.log_peer_fault(f"member_{event}", name=name, reason=reason)

    # Received messages.

    def _receive_message(self, complete: wire.CompleteMessage) -> None:
        """Handle a message of an inbound link; an `InvalidFrameError` closes the link."""
        logs.counters["members_messages_in"] += 1
        if complete.channel != wire.CHANNEL:
            return self._receive_on_channel(complete)
        message = wire.decode(complete.body)
        if message is None:
            logs.counters["members_later_kind"] += 1
            return
        snapshot = message.sender.snapshot
        if (snapshot.name, snapshot.address) != (complete.name, complete.address):
            raise msgpack_rpc.InvalidFrameError("sender in the message differs from the sender in its head")
        self.membership.receive(clock(), complete.address, message)
        self._wake()

    def _connect_refused(self, address: str) -> None:
        """Note that a connect was refused, so nobody listens at the address."""
        self.membership.connect_refused(clock(), address)
        self._wake()

    def _receive_on_channel(self, complete: wire.CompleteMessage) -> None:
        known = self.membership.known.get(complete.name)
        receiver = self.receivers.get(complete.channel)
        if known is None or known.status not in PRESENT_STATUSES or known.figures.address != complete.address:
            logs.counters["members_from_nobody"] += 1
        elif receiver is None:
            logs.counters["members_unknown_word"] += 1
        elif len(complete.body) > wire.MAX_BODY_BYTES:
            raise msgpack_rpc.InvalidFrameError(f"message on a channel exceeds {wire.MAX_BODY_BYTES} bytes")
        else:
            self._call_guarded(receiver, complete.name, complete.body)

    def _call_guarded(self, callback: Callable[..., None], *arguments: Any) -> None:
        """Call another subsystem; its errors are logged and do not end the link or the membership."""
        try:
            callback(*arguments)
        except Exception as error:
            logs.counters["members_word_error"] += 1
            logs.log_event(logging.ERROR, "member_message_failed", error)
