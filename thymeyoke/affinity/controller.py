"""Which app server a customer's connection goes to, and what the nodes tell each other so that all say the
same.

Pure: facts and moments in, seats and words out. docs/affinity.md has the ways weighed, the tables and the
promises. Whoever holds a `Seats` calls `settle` after `saw` and `heard`, and at the moment that `next` names;
`next` is asked anew after each call of any kind.

All spans are ratios of the linger, or of the *margin*: what two nodes' knowledge of one app server may
differ by, the age of its snapshots and the way of a word.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from enum import Enum, IntEnum
from heapq import heapify, heappop, heappush
from math import inf
from typing import Any, NamedTuple

from thymeyoke.affinity.bindings import AHEAD, STAMP_TOP, Entry, Told, fault, join
from thymeyoke.affinity.messages import PER_ITEM, PER_MARK, PER_SERVER, ROOM, Ack, Ask, Marks, Message, Piece
from thymeyoke.affinity.rendezvous import Places
from thymeyoke.affinity.replication import Log, Peer
from thymeyoke.affinity.server_state import LIVE, Fact, Server, Stage, fact, span, step
from thymeyoke.membership.view import Member, State, Trust, View

MARGIN = 1 / 8  # of the linger, where no margin is told
MARGIN_LEAST = 1.0  # seconds: about the age of a snapshot, however short the linger

SPAN = 2.0  # lingers that an exception is told for
RENEW = 1.5  # of a customer that is connected: told anew where less is left
LOOK = 0.25  # lingers between two looks at an exception. RENEW - LOOK > 1: a linger is always told ahead

TELL = 1 / 16  # margins between two words of the log to one node
REPEAT = 1 / 4  # margins without an ack, after which it is told again; doubled up to 16 times that
LISTEN = 1 / 2  # margins that a new node gives members to be heard, from the last that it had not heard of
JOIN = 2.0  # margins: the longest that connections wait for a node that joins
HAND = 2.0  # margins: the longest that a handover takes
PARK = 2.0  # margins: the longest that an exception waits for its server to be known
SURELY = 4.0  # margins behind its ripening: no node still waits for another about it

WINDOW = 8  # pieces on their way to one node
SLICE = 4096  # exceptions or customers that one `settle` looks at
ITEMS = 1024  # exceptions in a piece
MARKS = 1024  # servers on their way into the hash that are told at once; the rest wait a margin
NEAR = 1 << 20  # stamps that one word may raise this node's own by
BESIDE = 1 / 4  # of the exceptions: at most so many for connects that failed


class Why(Enum):
    HASH = "hash"  # of the app servers that take customers
    KEPT = "kept"  # an exception
    NEXT = "next"  # the place behind one that could not be connected to
    JOINING = "joining"  # this node does not know the exceptions yet
    AGREEING = "agreeing"  # not all nodes are known to hash over this customer's new server yet
    NOBODY = "nobody"  # no app server takes customers
    NOWHERE = "nowhere"  # none of them could be connected to lately


class Seat(NamedTuple):
    """`server` is "" where the connection has to wait: ask again after `wait` seconds."""

    server: str
    why: Why
    wait: float = 0.0


class Phase(IntEnum):
    """This node's own."""

    JOINING = 0  # it asks for the exceptions; connections wait unread
    READY = 1
    LEAVING = 2  # it hands its exceptions over, and seats customers as before
    LEFT = 3  # it has, or the time for it is over


class Tell(NamedTuple):
    to: str  # a node's name
    body: Message


class Ready(NamedTuple):
    """The node has joined."""

    unanswered: int  # nodes that have not told all their exceptions in time


class Handed(NamedTuple):
    """What the node knows alone has been handed over."""

    unacked: int  # nodes that have not acked all of it in time


Action = Tell | Ready | Handed


class Note(NamedTuple):
    """What changed, for a log: a server's stage, an exception made, taken, told longer or dropped."""

    what: str
    pairs: dict[str, Any]


class Seats:
    """The seats of all customers, as one node knows them. `linger` and `margin` in seconds; at most `most`
    exceptions are held."""

    def __init__(self, now: float, me: str, linger: float, most: int, margin: float | None = None) -> None:
        self.me, self.linger, self.most = me, linger, max(1, most)
        self.margin = max(MARGIN_LEAST, MARGIN * linger) if margin is None else margin
        self.phase, self.began, self.leaves_at, self.goal = Phase.JOINING, inf, inf, 0
        self.newest_at = -inf  # when a member was first heard of
        self.unanswered_seeds = 0  # members that may be there, and that the view does not know yet
        self.joined = False  # a node that leaves while it joins never has
        self.doubts_until = -inf  # before it, this node does not know what was said while it stood still
        self.stale, self.stale_until = 0.0, -inf  # before it, what is read may be that old
        self.life = -1  # this node's, as the view has it
        self.stamp = 0  # the latest that was made, or heard of and not far ahead
        self.servers: dict[str, Server] = {}  # as long as the view knows them
        self.taking, self.dead = Places(), Places()
        self.coming = self.fresh = Places()  # fresh: not returned from the dead
        self.left, self.left_until = Places(), -inf  # for a margin: not all may have heard
        self.turned_at = now  # when the hash changed
        self.young_until = -inf  # before it no app server has served for a linger and a margin, as they say
        self.moving: list[Server] = []  # on their way into the hash
        self.peers: dict[str, Peer] = {}  # nodes that are there
        self.open: dict[int, int] = {}  # connections by customer; emptied as they close
        self.kept: dict[int, Entry] = {}  # at most `most`; emptied as they expire
        self.origin: dict[int, str] = {}  # of exceptions that another node vouches for
        self.log = Log()  # those that this one vouches for
        self.marks = Marks()
        self.marks_until = -inf  # they change no sooner by time alone
        self.recent: dict[int, float] = {}  # seen lately, until when; where a server may come unripened
        self.parked: dict[int, tuple[Told, str, float]] = {}  # of servers not known yet, since when
        self.beside: set[int] = set()  # exceptions made where a connect failed
        self.failing: dict[str, float] = {}  # servers: the last failed connect; emptied by each look
        self.order: list[tuple[float, int]] | None = None  # what expires first; while there is no room left
        self.scan: list[int] = []  # customers still to be looked at for what comes
        self.look: list[int] = []  # exceptions still to be looked at in this round
        self.look_at = now + LOOK * linger
        self.counts: Counter[str] = Counter()
        self.notes: list[Note] | None = None  # where they are asked for; emptied by who asked

    def _note(self, what: str, **pairs: Any) -> None:
        if self.notes is not None:
            self.notes.append(Note(what, pairs))

    # Seats.

    def seat(self, now: float, customer: int) -> Seat:
        """Where a new connection of the customer goes."""
        if not self.joined or now < self.doubts_until:
            return Seat("", Why.JOINING, self._soon)
        kept = self._kept(now, customer)
        if kept is not None:
            return Seat(kept.server, Why.KEPT)
        top, name = self.taking.top(customer)
        if not name:
            return Seat("", Why.NOBODY, self._soon)
        if self.servers[name].agreeing:
            self.counts["waited_for_agreement"] += 1
            return Seat("", Why.AGREEING, self._soon)
        if self.coming.above(customer, top, name) or self._pulled(now, customer, name) or (
                now < self.left_until and self.left.above(customer, top, name)):  # fmt: skip
            self._keep(now, customer, name)
            return Seat(name, Why.KEPT)
        return Seat(name, Why.HASH)

    def opened(self, now: float, customer: int, server: str) -> None:
        """A connection of the customer has reached that server."""
        self.open[customer] = self.open.get(customer, 0) + 1
        kept = self._kept(now, customer)
        if kept is not None:
            if kept.until < now + RENEW * self.linger:
                self._renew(now, customer, kept)
            return
        if self._drawn_back(customer):
            self._remember(now, customer)
        # The hash changes seldom: elsewhere than at a change it named this server and will go on to.
        if not self.coming and now > self.turned_at + self.margin:
            return
        one = self.servers.get(server)
        if one is None or one.stage not in LIVE:
            return
        top, name = self.taking.top(customer)
        if name != server or self.coming.above(customer, top, name):
            self._keep(now, customer, server)

    def closed(self, now: float, customer: int, server: str) -> None:
        """One of them has ended; its seat outlives the last one by a linger."""
        many = self.open.get(customer, 0)
        if many > 1:
            self.open[customer] = many - 1
            return
        if not many:
            self.counts["closed_unopened"] += 1
            return
        del self.open[customer]
        kept = self._kept(now, customer)
        if kept is not None:
            if kept.until < now + self.linger:  # looked at too late: this process stood still
                self._renew(now, customer, kept)
        elif now < self.young_until or self._drawn_back(customer):
            self._remember(now, customer)

    def failed(self, now: float, customer: int, server: str) -> Seat:
        """That server could not be connected to: the next place, the same at any node that fails there. It is
        made an exception, so that the customer stays there also where the server can be reached."""
        if not self.joined or now < self.doubts_until:
            return self.seat(now, customer)
        if server in self.servers:
            self.failing[server] = now
            self.counts["connects_failed"] += 1
        kept = self._kept(now, customer)
        if kept is not None and kept.server != server and not self._fails(now, kept.server):
            return Seat(kept.server, Why.KEPT)
        for name in self.taking.ranked(customer):
            if not (self.servers[name].agreeing or self._fails(now, name)):
                break
        else:
            return Seat("", Why.NOWHERE, self.margin * REPEAT)
        if len(self.beside) < max(1, int(self.most * BESIDE)):
            self._keep(now, customer, name)
            if customer in self.kept:
                self.beside.add(customer)
        else:
            self.counts["beside_full"] += 1
        return Seat(name, Why.NEXT)

    def _fails(self, now: float, server: str) -> bool:
        return now < self.failing.get(server, -inf) + self.margin

    def _kept(self, now: float, customer: int) -> Entry | None:
        """The exception, while it holds: its server is there in that life."""
        entry = self.kept.get(customer)
        return entry if entry is not None and entry.until > now and self._holds(entry) else None

    def _holds(self, entry: Entry) -> bool:
        server = self.servers.get(entry.server)
        return server is not None and server.life == entry.life and server.stage in LIVE

    def _pulled(self, now: float, customer: int, name: str) -> bool:
        """Whether an exception would draw the customer back from where it goes now: its server was found
        dead, and may be heard again; or it has just ended, and a node that read of it late has it still."""
        entry = self.kept.get(customer)
        if entry is None:
            return False
        if entry.until <= now:
            return entry.server != name and now < entry.until + self.margin
        server = self.servers.get(entry.server)
        return server is not None and server.life == entry.life and server.back

    def _drawn_back(self, customer: int) -> bool:
        """Whether a server that was found dead would be its choice, were it heard again."""
        return bool(self.dead) and not self.taking.above(customer, *self.dead.top(customer))

    def _remember(self, now: float, customer: int) -> None:
        """Seen where it is, while an app server may take that has not ripened."""
        self.recent.pop(customer, None)
        self.recent[customer] = now + self.linger
        if len(self.recent) > self.most:
            del self.recent[next(iter(self.recent))]
            self.counts["recent_full"] += 1

    # Exceptions.

    def _keep(self, now: float, customer: int, server: str) -> None:
        """A new exception: later than all that is known of its customer, and of the rest what is near."""
        self.stamp += 1
        before = self.kept.get(customer)
        born = self.stamp if before is None else max(self.stamp, before.born + 1)
        one = self.servers[server]
        self._hold(customer, Entry(born, one.name, one.life, now + SPAN * self.linger), "")
        self.counts["kept"] += 1
        if self.notes is not None:
            self._note("binding_created", customer=customer, server=server, stamp=born,
                       taking=self.taking.names, coming=self.coming.names, dead=self.dead.names)  # fmt: skip

    def _renew(self, now: float, customer: int, entry: Entry) -> None:
        self._hold(customer, entry._replace(until=now + SPAN * self.linger), "")

    def _hold(self, customer: int, entry: Entry, origin: str) -> None:
        """An exception as it stands from now on; this node vouches for it where `origin` is ""."""
        before = self.kept.get(customer)
        if before is not None and before[:3] != entry[:3]:
            self.beside.discard(customer)
        self.kept[customer] = entry
        if origin:
            self.origin[customer] = origin
            self.log.drop(customer)
        else:
            self.origin.pop(customer, None)
            self.log.put(customer)
        if self.order is not None:
            heappush(self.order, (entry.until, customer))
        if len(self.kept) > self.most:
            self._evict()

    def _evict(self) -> None:
        """No room: what would expire first goes."""
        if self.order is None or len(self.order) > 4 * self.most:
            self.order = [(entry.until, customer) for customer, entry in self.kept.items()]
            heapify(self.order)
        while len(self.kept) > self.most:
            until, customer = heappop(self.order)
            entry = self.kept.get(customer)
            if entry is not None and entry.until <= until:
                self._drop(customer)
                self.counts["kept_full"] += 1
            elif entry is not None:
                heappush(self.order, (entry.until, customer))

    def _drop(self, customer: int) -> None:
        entry = self.kept.pop(customer)
        if self.notes is not None:
            self._note("binding_dropped", customer=customer, server=entry.server, stamp=entry.born)
        self.origin.pop(customer, None)
        self.beside.discard(customer)
        self.log.drop(customer)

    def _look(self, now: float) -> None:
        """What is over goes; a connected customer's exception is told anew in time."""
        if now >= self.look_at:
            self.look, self.look_at = list(self.kept), now + LOOK * self.linger
            self.failing = {name: at for name, at in self.failing.items() if self._fails(now, name)}
            self._unpark(now)
            if self.order is not None and len(self.kept) < self.most * 7 // 8:
                self.order = None
        for customer in _some(self.look):
            entry = self.kept.get(customer)
            if entry is None:
                continue
            if entry.until + self.margin <= now:  # until then its end is remembered: `_pulled`
                self._drop(customer)
            elif customer in self.open and entry.until < now + RENEW * self.linger and self._holds(entry):
                self._renew(now, customer, entry)
        while self.recent:
            customer, until = next(iter(self.recent.items()))
            if until > now:
                break
            if customer in self.open and self._drawn_back(customer):
                self._remember(now, customer)
            else:
                del self.recent[customer]

    def _guard(self, now: float) -> None:
        """Customers that are connected, or were lately, and whose seat a server that comes would change."""
        for customer in _some(self.scan):
            if not (customer in self.open or customer in self.recent) or self._kept(now, customer):
                continue
            coming = self.coming if customer in self.recent else self.fresh
            if not (self.taking and coming) or self.taking.above(customer, *coming.top(customer)):
                continue
            name = self.taking.first(customer)
            if not self.servers[name].agreeing:
                self._keep(now, customer, name)

    # What the view says.

    def saw(self, now: float, view: View) -> None:
        """A view that is new, or newer figures of the same one."""
        self.began = min(self.began, now)
        self.unanswered_seeds = view.unanswered_seeds
        me = view.members.get(self.me)
        if me is not None and me.snapshot.incarnation != self.life:
            self.life = me.snapshot.incarnation
            for peer in self.peers.values():
                peer.again()
        void: set[tuple[str, int]] = set()
        servers = view.servers()
        for member in servers:
            self._server(now, view.at, member, void)
        for name in self.servers.keys() - {member.name for member in servers}:
            one = self.servers.pop(name)
            if step(one.stage, Fact.FORGOTTEN) != one.stage:
                void.add((name, one.life))
        if void:
            for customer in [one for one, entry in self.kept.items() if (entry.server, entry.life) in void]:
                self._drop(customer)
        self._nodes(now, view)
        self._relist(now)
        self._unpark(now)
        self._advance(now)

    def _server(self, now: float, at: float, member: Member, void: set[tuple[str, int]]) -> None:
        said = member.snapshot
        one = self.servers.get(said.name)
        if one is not None and said.incarnation < one.life:
            self.counts["old_life"] += 1
            return
        if one is None or said.incarnation > one.life:
            if one is not None:
                void.add((one.name, one.life))
            one = self.servers[said.name] = Server(said.name, said.incarnation)
            self.newest_at = now
        what = fact(member)
        before, one.stage = one.stage, step(one.stage, what)
        if what in (Fact.SERVING, Fact.UNSURE):
            one.start = at - span(member.age) - span(said.since)
        one.back = one.stage == Stage.GONE and said.state < State.GONE
        if one.stage == before:
            return
        one.moved_at, one.agreeing = now, False
        self._note(
            "server_state_changed",
            server=one.name,
            life=one.life,
            was=before.name,
            now=one.stage.name,
            fact=what.value,
            served=round(now - one.start, 3),
        )
        if one.stage not in LIVE:
            one.told_until = -inf
            if not one.back:
                void.add((one.name, one.life))
        if one.stage != Stage.RIPENING:
            return
        one.floor, one.returned = -inf, before == Stage.GONE
        word = now - one.start
        if not self.joined:
            if word >= self.linger + SURELY * self.margin:
                one.stage = Stage.TAKING  # long since, at every node
        elif before == Stage.UNKNOWN and word > self.margin:
            one.floor = now
            self.counts["heard_late"] += 1

    def _nodes(self, now: float, view: View) -> None:
        gone = set(self.peers)
        for member in view.nodes():
            name, life = member.name, member.snapshot.incarnation
            if name == self.me or not member.there:
                continue
            gone.discard(name)
            peer = self.peers.get(name)
            if peer is None:
                peer, self.newest_at = Peer(life), now
                self.peers[name] = peer
                self._note("peer_added", name=name, life=life)
            elif life > peer.life:
                self._adopt({name})
                peer = self.peers[name] = Peer(life)
            peer.sure = member.trust == Trust.SURE
        if gone:
            self._adopt(gone)
            for name in gone:
                self._note("peer_removed", name=name)
                del self.peers[name]

    def _adopt(self, names: set[str]) -> None:
        """Nodes whose log is over: what they vouched for and is known here is told on, as one of the others
        may not have heard it, and who joins must."""
        for customer in [one for one, name in self.origin.items() if name in names]:
            del self.origin[customer]
            self.log.put(customer)
            self.counts["adopted"] += 1

    def _relist(self, now: float) -> None:
        """The sets of servers by stage; what is new on its way sets off a look at the customers."""
        self.marks_until = -inf
        stages: dict[Stage, list[str]] = {stage: [] for stage in Stage}
        for name, one in self.servers.items():
            stages[one.stage].append(name)
        self.moving = [one for one in self.servers.values() if one.agreeing or one.stage in LIVE[:2]]
        if self.taking.names != tuple(sorted(stages[Stage.TAKING])):
            self.taking, self.turned_at = Places(stages[Stage.TAKING]), now
        coming = stages[Stage.RIPENING] + stages[Stage.RIPE]
        new = set(coming).difference(self.coming.names)
        if len(new) or len(coming) < len(self.coming):
            self.coming = Places(coming)
            self.fresh = Places(name for name in coming if not self.servers[name].returned)
        if new:
            self.scan = list({**self.open, **self.recent})
            self._guard(now)
        starts = [one.start for one in self.servers.values() if one.stage in LIVE]
        self.young_until = min(starts, default=-inf) + self.linger + self.margin
        left = [self.servers[name] for name in stages[Stage.LEAVING]]
        since = max((one.moved_at for one in left), default=-inf)
        if since + self.margin > max(now, self.left_until):
            self.left = Places(one.name for one in left if one.moved_at + self.margin > now)
            self.left_until = since + self.margin
        dead = [name for name in stages[Stage.GONE] if self.servers[name].back]
        if self.dead.names != tuple(sorted(dead)):
            self.dead = Places(dead)

    def _advance(self, now: float) -> None:
        """Servers on their way into the hash, as far as they may go now."""
        moved = True
        while moved and self.moving:
            moved = False
            young = now < self.young_until
            nobody = not any(one.stage in LIVE[1:] for one in self.servers.values())
            for one in self.moving:
                if one.stage == Stage.RIPENING:
                    if self.scan or not self._ripened(now, one, young or nobody):
                        continue
                    one.stage = step(one.stage, Fact.RIPENED)
                elif not self.joined:  # whom to agree with is not known yet
                    continue
                elif one.stage == Stage.RIPE:
                    # Where one takes, all were ripe: to go on naming the former choice would be wrong there.
                    if not (self._taken(one) or self._said(now, one, ripe=True)):
                        continue
                    one.stage, one.agreeing = step(one.stage, Fact.AGREED), True
                    one.told_until = now + self.linger
                elif self._said(now, one, ripe=False):
                    one.agreeing = False
                else:
                    continue
                one.moved_at, moved = now, True
                self._note("server_state_changed", server=one.name, now=one.stage.name, agreeing=one.agreeing)
            if moved:
                self._relist(now)

    def _ripened(self, now: float, one: Server, first: bool) -> bool:
        """Whether no customer can have a seat any more that is not known to be kept."""
        long = self.linger + self.margin
        if now >= one.ripens_from + long:
            return True
        if not self.joined:
            return False
        if first:  # the fleet has just begun: who was seen is all remembered
            return True
        founding = self._founding(one)
        if founding and not self.peers:  # this node's former life took it
            return True
        return self._taken(one) and (founding or now >= one.start + long)

    def _taken(self, one: Server) -> bool:
        return any(one.mark in peer.marks.takes for peer in self.peers.values())

    def _founding(self, one: Server) -> bool:
        """Whether it began while the fleet was young: whoever saw it then has taken it at once."""
        return one.start < self.young_until

    def _said(self, now: float, one: Server, ripe: bool) -> bool:
        """Whether all nodes have said that it is ripe there, or takes there; or the time for that is over."""
        for peer in self.peers.values():
            if not (one.mark in peer.marks.takes or (ripe and one.mark in peer.marks.ripe)):
                if now < one.moved_at + self.margin:
                    return False
                self.counts["agreed_without"] += 1
                self._note("agreement_timed_out", server=one.name, ripe=ripe)
        return True

    # What other nodes say.

    def woke(self, now: float, span: float) -> None:
        """This process stood still, and what it reads first may be `span` seconds old. Where that is more
        than a margin, it is as a node that joins: connections wait until the others have told again."""
        if now - span < self.stale_until:  # what was not yet read then is older by both
            span += self.stale
        if span <= self.margin:
            return
        self.counts["woke"] += 1
        self.stale, self.stale_until = span, now + LISTEN * self.margin
        for peer in self.peers.values():
            peer.full, peer.ask_at = False, self.stale_until
        if self.phase == Phase.JOINING and self.began < inf:
            self.began = now
        elif self.phase in (Phase.READY, Phase.LEAVING) and self.peers:
            self.doubts_until = now + JOIN * self.margin

    def heard(self, now: float, sender: str, message: Message) -> None:
        """A word of another node. What cannot be is dropped and counted."""
        peer = self.peers.get(sender)
        if peer is None:  # it is told again until the view knows it
            self.counts["stranger"] += 1
            return
        match message:
            case Ask(number, of, life) | Ack(number, of, life):
                if (of, life) != (self.life, peer.life):
                    self.counts["other_life"] += 1
                elif number > self.log.head:
                    self.counts["bad_number"] += 1
                else:
                    if number < peer.acked:
                        peer.again(number)
                    elif number > peer.acked:
                        peer.acked, peer.sent, peer.tries = number, max(number, peer.sent), 0
                        peer.resend_at = inf if number >= peer.sent else now + REPEAT * self.margin
                    if number == peer.acked < peer.sent and peer.tries:
                        peer.soon(now + REPEAT * self.margin)
                    if isinstance(message, Ask) and peer.sent >= self.log.head:  # else it is on its way
                        peer.asked = True
            case Piece():
                self._piece(now, sender, peer, message)

    def _piece(self, now: float, sender: str, peer: Peer, piece: Piece) -> None:
        if piece.life != peer.life:
            self.counts["other_life"] += 1
            return
        if not piece.behind <= piece.to <= piece.head:
            self.counts["bad_number"] += 1
            return
        peer.stamp = piece.stamp
        # A stamp that is far ahead is its sender's word alone: no member can bring the others' to their end,
        # and so have them disbelieved.
        if self.joined and piece.stamp <= self.stamp + NEAR:
            self.stamp = max(self.stamp, piece.stamp)
        peer.owed = True
        if now < self.stale_until:
            # It may have been said long ago: for what has ended since it would begin anew. It is not acked,
            # and so told again with what is left of it then.
            for told in piece.items:
                if told.left > self.stale:
                    self._take(now, sender, told._replace(left=told.left - self.stale))
            self.counts["stale"] += 1
            return
        for told in piece.items:
            self._take(now, sender, told)
        if piece.behind > peer.heard:
            self.counts["gap"] += 1
            return
        if piece.to >= peer.heard:
            peer.heard = piece.to
            if piece.to == piece.head:
                self._marked(now, peer, piece)
        self._advance(now)

    def _marked(self, now: float, peer: Peer, piece: Piece) -> None:
        """All of its log is known here, and so its marks hold."""
        peer.full, peer.marks = True, piece.marks
        if piece.leaving and not peer.leaving:
            peer.leaving = True
            self.counts["handovers"] += 1
        unsettled = piece.marks.late | piece.marks.ripe
        if unsettled:
            for one in self.servers.values():
                if one.stage == Stage.TAKING and one.mark in unsettled:
                    one.told_until, self.marks_until = now + self.linger, -inf

    def _joins(self) -> None:
        """It goes up to the lower median of the others' stamps: one member's that lies would be no stamps
        that the rest believe."""
        told = sorted(peer.stamp for peer in self.peers.values() if peer.stamp > 0)
        self.joined = True
        if told:
            self.stamp = max(self.stamp, told[(len(told) - 1) // 2])
        for customer in [one for one, entry in self.kept.items() if entry.born > self._newest]:
            self._drop(customer)
            self.counts["bad_tomorrow"] += 1

    @property
    def _newest(self) -> int:
        return self.stamp + AHEAD if self.joined else STAMP_TOP

    def _take(self, now: float, sender: str, told: Told) -> None:
        """An exception of another node, into the join."""
        why = fault(told, self._newest, SPAN * self.linger)
        if why:
            self.counts[f"bad_{why}"] += 1
            return
        one = self.servers.get(told.server)
        if one is None or one.life < told.life:
            return self._park(now, sender, told)
        if one.life > told.life:
            self.counts["old_life"] += 1
            return
        customer = told.customer
        new = Entry(told.born, one.name, told.life, now + min(told.left, SPAN * self.linger))
        mine = self.kept.get(customer)
        if mine is not None and mine.until <= now:
            mine = None
        best = new if mine is None else join(mine, new)
        if best is mine:
            return
        if mine is not None and mine[:3] == best[:3]:
            self._longer(customer, best, sender)
            return
        if customer in self.open:
            before = self._kept(now, customer)
            if (before.server if before else self.taking.first(customer)) != best.server:
                self.counts["reseated"] += 1  # seated twice: the later stamp wins
        if self.notes is not None:
            self._note(
                "binding_received",
                customer=customer,
                server=best.server,
                stamp=best.born,
                sender=sender,
                was=mine.server if mine else "",
                known=best is not new,
            )
        self._hold(customer, best, sender)

    def _park(self, now: float, sender: str, told: Told) -> None:
        """Until its server is known. By the order of the join, as what is kept: whoever spoke last."""
        before = self.parked.get(told.customer)
        if before is None and len(self.parked) >= self.most:
            self.counts["server_unknown"] += 1
        elif before is None or _left(before, now) < told:
            self.parked[told.customer] = told, sender, now

    def _unpark(self, now: float) -> None:
        """What has waited for a server that is known now, with what is left of it; or for too long."""
        for customer, parked in list(self.parked.items()):
            told, sender, since = parked
            one = self.servers.get(told.server)
            if now >= since + PARK * self.margin:
                del self.parked[customer]
                self.counts["server_unknown"] += 1
            elif one is not None and one.life >= told.life:
                del self.parked[customer]
                if (left := _left(parked, now)).left > 0:
                    self._take(now, sender, left)

    def _longer(self, customer: int, entry: Entry, sender: str) -> None:
        """The same, for longer: who vouches for it here goes on to."""
        self.kept[customer] = entry
        if customer not in self.log:
            self.origin[customer] = sender

    # This node.

    def leave(self, now: float) -> None:
        """Hand over: what this node knows alone is told to all, with the span that is left. A second call
        changes nothing."""
        if self.phase >= Phase.LEAVING:
            return
        self.phase, self.leaves_at = Phase.LEAVING, now
        for customer, entry in list(self.kept.items()):
            if customer in self.open and entry.until > now:
                self._renew(now, customer, entry)
        young = self.open if now < self.young_until else ()
        recent = [customer for customer, until in self.recent.items() if until > now]
        for customer in [*recent, *young]:  # known here alone: a server may take that has not ripened
            name = self.taking.first(customer)
            if name and self._kept(now, customer) is None:
                self._keep(now, customer, name)
        self.log.step()
        self.goal = self.log.head

    def _own(self, now: float) -> list[Action]:
        if self.doubts_until > -inf:
            missing = sum(not peer.full for peer in self.peers.values())
            if not missing or now >= self.doubts_until:
                self.doubts_until = -inf
                self.counts["woke_unanswered"] += missing
        if self.phase == Phase.JOINING:
            # Who has acked all of this node's marks has said with it what it takes (`_speak`). One that is
            # unsure may be there; and while members come to be known, the hash is over too few of them: also
            # where they are slow to be heard, so that half a margin of silence alone says nothing.
            missing = sum(not (peer.full and peer.acked >= self.log.head) for peer in self.peers.values())
            listened = now >= self._listens_until and not (missing or self.unanswered_seeds)
            if listened or now >= self.began + JOIN * self.margin:
                self.phase = Phase.READY
                self._joins()
                self.counts["join_unanswered"] += missing
                self.counts["join_unanswered_seeds"] += self.unanswered_seeds
                return [Ready(missing)]
        elif self.phase == Phase.LEAVING:
            missing = sum(peer.acked < self.goal for peer in self.peers.values())
            if not missing or now >= self.leaves_at + HAND * self.margin:
                self.phase = Phase.LEFT
                self.counts["hand_unacked"] += missing
                return [Handed(missing)]
        return []

    @property
    def _listens_until(self) -> float:
        return max(self.began, self.newest_at) + LISTEN * self.margin

    def unshared(self) -> int:
        """Exceptions that would be lost with this node now: not yet acked by all that are surely there."""
        low = min((peer.acked for peer in self.peers.values() if peer.sure), default=self.log.head)
        return sum(1 for _ in self.log.after(low))

    # What goes out, and when.

    def settle(self, now: float) -> list[Action]:
        """Carry out what is due, a bounded part of it at once; what others are to hear."""
        self._look(now)
        self._guard(now)
        done = self._own(now)
        self._advance(now)
        self._mark(now)
        return [*done, *self._speak(now)] if self.life >= 0 else done

    def next(self, now: float) -> float:
        """The next moment at which `settle` has something to do though nothing was told."""
        peers = self.peers.values()
        if self.scan or self.look or any(
                peer.owed and (peer.at <= now or peer.sent >= self.log.head) for peer in peers):  # fmt: skip
            return now
        steps = [self.look_at, self.doubts_until]
        if self.phase == Phase.JOINING:
            steps += [self._listens_until, self.began + JOIN * self.margin]
        elif self.phase == Phase.LEAVING:
            steps.append(self.leaves_at + HAND * self.margin)
        for one in self.moving:
            steps.append(one.ripens_from + self.linger + self.margin if one.stage == Stage.RIPENING
                         else one.moved_at + self.margin)  # fmt: skip
        steps.append(self.marks_until)
        due = [step for step in steps if step > now]
        if self.life >= 0:
            for peer in peers:
                due.append(peer.resend_at)
                if peer.sent < self.log.head or peer.asked:
                    due.append(peer.at)
                if not peer.full:
                    due.append(peer.ask_at)
        return max(now, min(due, default=inf))

    def _mark(self, now: float) -> None:
        """What others are told of servers on their way, where it can have changed."""
        if now < self.marks_until:
            return
        self.marks_until = min((one.told_until for one in self.servers.values() if one.told_until > now),
                               default=inf)  # fmt: skip
        late, ripe, takes = set(), set(), set()
        for one in self.servers.values():
            match one.stage:
                case Stage.RIPENING if one.late or self._founding(one):
                    late.add(one.mark)
                case Stage.RIPE:
                    ripe.add(one.mark)
                case Stage.TAKING if now < one.told_until:
                    takes.add(one.mark)
        if len(late) + len(ripe) + len(takes) > MARKS:
            self.counts["marks_full"] += 1
            late, ripe, takes = set(), _least(ripe, MARKS // 2), _least(takes, MARKS // 2)
        marks = Marks(frozenset(late), frozenset(ripe), frozenset(takes))
        if marks != self.marks:
            self.marks = marks
            self.log.step()

    def _speak(self, now: float) -> list[Action]:
        told: list[Action] = []
        made: dict[int, Piece] = {}  # most nodes have the same of the log
        for name, peer in self.peers.items():
            if not peer.full and now >= peer.ask_at:
                waits = not self.joined or now < self.doubts_until
                peer.ask_at = now + (REPEAT if waits else 1) * self.margin
                told.append(Tell(name, Ask(peer.heard, peer.life, self.life)))
            free = now >= peer.at
            if free:
                self._pieces(now, name, peer, made, told)
            # Behind what the word that is acked has called forth: a node that joins rests on it.
            if peer.owed and (free or peer.sent >= self.log.head):
                peer.owed = False
                told.append(Tell(name, Ack(peer.heard, peer.life, self.life)))
        return told

    def _pieces(self, now: float, name: str, peer: Peer, made: dict[int, Piece], told: list[Action]) -> None:
        """What one node is to have of the log now."""
        if now >= peer.resend_at:
            peer.sent, peer.resend_at = peer.acked, inf
            peer.tries += 1
            self.counts["repeated"] += 1
        if peer.sent >= self.log.head and not peer.asked:
            return
        for _ in range(1 if peer.tries > 1 else WINDOW):
            piece = made.get(peer.sent) or made.setdefault(peer.sent, self._cut(now, peer.sent))
            told.append(Tell(name, piece))
            peer.sent = piece.to
            if piece.to >= self.log.head:
                break
        peer.asked, peer.at = False, now + self._soon
        if peer.resend_at == inf and peer.sent > peer.acked:
            peer.resend_at = now + REPEAT * self.margin * 2 ** min(peer.tries, 4)

    def _cut(self, now: float, behind: int) -> Piece:
        """The next piece of the log behind a number."""
        items: list[Told] = []
        places: set[tuple[str, int]] = set()
        room, to = ROOM - PER_MARK * sum(map(len, self.marks)), behind
        for number, customer in self.log.after(behind):
            entry = self.kept[customer]
            place = entry.server, entry.life
            new = 0 if place in places else PER_SERVER + len(entry.server.encode(errors="replace"))
            price = PER_ITEM + new
            if price > room or len(items) >= ITEMS:
                break
            to = number
            if entry.until > now + 0.001:  # it travels in milliseconds
                room -= price
                places.add(place)
                items.append(Told(customer, entry.born, *place, entry.until - now))
        else:
            to = self.log.head
        marks = self.marks if to == self.log.head else Marks()
        leaving = self.phase >= Phase.LEAVING
        return Piece(self.life, behind, to, self.log.head, self.stamp, tuple(items), marks, leaving)

    @property
    def _soon(self) -> float:
        return TELL * self.margin


def _left(parked: tuple[Told, str, float], now: float) -> Told:
    told, _, since = parked
    return told._replace(left=told.left - (now - since))


def _some(waiting: list[int]) -> Iterable[int]:
    """Off the end of a list, as many as one look takes."""
    for _ in range(min(SLICE, len(waiting))):
        yield waiting.pop()


def _least(marks: set[bytes], most: int) -> set[bytes]:
    return set(sorted(marks)[:most])
