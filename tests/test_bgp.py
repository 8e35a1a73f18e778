"""Service addresses over BGP on sockets: a server with stand-in peers, and what each of them may do wrong."""

from __future__ import annotations

import os
import signal
import socket
import tempfile
import time
import unittest
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from ipaddress import ip_address, ip_network
from pathlib import Path
from typing import Any
from unittest import mock

import anyio
from anyio.abc import SocketAttribute
from click.testing import CliRunner

from examples.fakes import Processor
from fakes.bgp import BgpPeer
from fakes.fleet import free_port
from fakes.processes import Spent
from tests.app_server import MAX_LOST_SECONDS, RunningServer, retried, running_server, until
from thymeyoke.__main__ import main
from thymeyoke.bgp import peer_connection as speaker_module
from thymeyoke.bgp import tcp, wire
from thymeyoke.bgp.advertiser import Advertiser
from thymeyoke.bgp.configuration import Announce, Peer
from thymeyoke.bgp.presentation import nlri
from thymeyoke.bgp.session import State, Timer
from thymeyoke.bgp.wire import Refresh
from thymeyoke.configuration import service_config
from thymeyoke.configuration.service_config import HostPort
from thymeyoke.runtime import logs, status_socket
from thymeyoke.runtime.clock import clock as speaker_clock
from thymeyoke.runtime.extensions import HostConfigurationError
from thymeyoke.server import dispatcher, lifecycle

ONE, SIX = "198.51.100.7/32", "2001:db8::7/128"
ME = "192.0.2.1"
GRACE = {"settings__contract__drain_grace_us": 2_000_000, "stop_ms": 5000}


class File:
    """The operators' file of a test, written anew as the test goes."""

    def __init__(self, **options: Any) -> None:
        self.options = {
            "as": 64512, "id": ME, "addresses": f"{ONE}, {SIX}", "next_hop": f"{ME}, 2001:db8::1",
            "settle": 0.2, "control": tempfile.mktemp(suffix=".sock"),
        } | options  # fmt: skip
        self.peers: dict[str, dict[str, Any]] = {}
        self.off = False
        self.path = Path(tempfile.mktemp(suffix=".ini"))

    def peer(self, name: str, peer: BgpPeer, **options: Any) -> None:
        self.peers[name] = {"address": f"127.0.0.1:{peer.port}", "as": peer.as_, "hold": 3} | options

    def write(self) -> Path:
        lines = []
        if not self.off:
            lines = ["[announce]", *(f"{name} = {value}" for name, value in self.options.items())]
            for name, options in self.peers.items():
                lines += [
                    f"[announce.peer {name}]",
                    *(f"{name} = {value}" for name, value in options.items()),
                ]
        self.path.write_text("\n".join(lines))
        return self.path

    def read(self) -> service_config.ServiceConfig:
        return service_config.read_service_config(self.write())


@asynccontextmanager
async def around(file: File, *peers: BgpPeer, **changed: Any) -> AsyncIterator[RunningServer]:
    """A server with stand-in peers, by the names p0, p1 and so on."""
    logs.counters.clear()
    try:
        async with anyio.create_task_group() as tasks:
            for at, peer in enumerate(peers):
                await tasks.start(peer.run)
                file.peers.setdefault(f"p{at}", {})
                file.peer(f"p{at}", peer, **file.peers[f"p{at}"])
            desks: list[dispatcher.Dispatcher] = []

            def desk_of(*given: Any) -> dispatcher.Dispatcher:
                desks.append(dispatcher.Dispatcher(*given))
                return desks[-1]

            with mock.patch.object(lifecycle, "Dispatcher", desk_of):
                async with running_server(orders=file.read, **changed) as here:
                    here.dispatcher = desks[0]
                    yield here
            tasks.cancel_scope.cancel()
    finally:
        file.path.unlink(missing_ok=True)


def announcer(here: RunningServer) -> Advertiser:
    (side,) = here.dispatcher.extensions.extensions
    assert isinstance(side, Advertiser)
    return side


def hup() -> None:
    os.kill(os.getpid(), signal.SIGHUP)


def term() -> float:
    os.kill(os.getpid(), signal.SIGTERM)
    return time.time()


@retried
class OnSockets(unittest.TestCase):
    def test_a_life(self) -> None:
        """Less preferred, in full, and in a drain less preferred again, then withdrawn, then the door."""

        async def run() -> None:
            peer = BgpPeer()
            async with around(File(), peer, **GRACE) as here:
                await until(lambda: peer.levels(ME) == {True})
                self.assertEqual([seen.full for seen in peer.log], [False, False, True, True])
                router, spent = await here.router(), Spent()
                began = term()
                await until(lambda: not peer.routes())
                taken, last = spent.taken(), [(seen.what, seen.full) for seen in peer.log[4:]]
                self.assertEqual(last, [("announce", False)] * 2 + [("withdraw", False)] * 2)
                for seen, low, high in ((peer.log[4], 0, 0.2), (peer.log[6], 0.4, 0.8)):
                    self.assertTrue(low <= seen.at - began <= high + taken, (seen.at - began, taken))
                self.assertEqual(router.notices, [])  # the door is open still, and ops are taken
                self.assertIsNone((await router.answer(await router.ask("look")))[0])
                await here.ended.wait()
                self.assertGreater(time.time() - began, 1.9)
                await until(lambda: peer.notes)
                self.assertEqual((peer.notes[0].name, peer.notes[0].text),
                                 ("administrative shutdown", "the instance leaves"))  # fmt: skip

        anyio.run(run)

    def test_every_bad_peer_at_once(self) -> None:
        """Each ends its own session with the right name; two good ones and the ops do not notice."""
        faults = {
            "silent": "hold timer expired", "wrong-as": "bad peer AS", "hold-1": "unacceptable hold time",
            "hold-0": "unacceptable hold time", "bad-id": "bad BGP identifier", "half": "hold timer expired",
            "length-18": "bad message length", "length-65535": "bad message length",
            "garbage": "connection not synchronized", "flap": "connection lost",
            "no-keepalive": "hold timer expired", "flood": "out of resources",
        }  # fmt: skip
        answered = {
            "wrong-as": 2,
            "hold-1": 2,
            "bad-id": 2,
            "length-18": 1,
            "garbage": 1,
            "no-keepalive": 4,
            "flood": 6,
        }

        async def run() -> None:
            bad = {fault: BgpPeer(fault=fault) for fault in faults}
            flood = wire.encode(wire.Update(withdrawn=tuple(nlri_of(at) for at in range(400))))
            bad["flood"].extra = lambda client: [flood * 1200]
            good = [BgpPeer(), BgpPeer(fault="stalled")]
            async with around(File(), *good, *bad.values()) as here:
                await until(lambda: good[0].levels(ME) == {True})
                router, took, acked, whole = await here.router(), [], 0, Spent()
                names = dict(zip(faults, [f"p{at + 2}" for at in range(len(faults))], strict=True))
                speakers = announcer(here).speakers

                def said() -> dict[str, str]:
                    return {fault: speakers[name].main.session.error for fault, name in names.items()}

                while said() != faults:
                    spent = Spent()
                    error, _ = await router.answer(await router.ask("look"))
                    # An op that the machine held up teaches the program a long run: the next may be nacked.
                    self.assertTrue(error is None or whole.taken() >= MAX_LOST_SECONDS, error)
                    acked += error is None
                    took.append(spent.seconds())
                    await anyio.sleep(0.1)
                    self.assertLess(len(took), 400, said())
                self.assertLess(max(took), 0.5)
                self.assertGreater(acked, len(took) / 2)
                for fault, code in answered.items():
                    self.assertIn(code, {note.code for note in bad[fault].notes}, fault)
                self.assertEqual(good[0].levels(ME), {True})
                self.assertEqual([speakers[name].main.session.flaps for name in ("p0", "p1")], [0, 0])
                self.assertEqual(
                    (logs.counters["connection_errors"], logs.counters["announce_error"]), (0, 0)
                )

        anyio.run(run)

    def test_an_update_that_counts_as_a_withdrawal(self) -> None:
        """RFC 7606: the session stays, the path goes."""

        async def run() -> None:
            peer = BgpPeer(reflects=False)
            path = nlri(ip_network(ONE))._replace(path=1)
            attributes = (wire.Attribute(0x40, 1, b"\0"), wire.Attribute(0x40, 2, b""),
                          wire.Attribute(0x40, 3, bytes(4)))  # fmt: skip
            good = wire.Update((), attributes, (path,))
            bad = wire.Update((), (*attributes, wire.Attribute(0xC0, 8, b"\1")), (path,))
            async with around(File(), peer) as here:
                await until(lambda: peer.levels(ME) == {True})
                (client,) = peer.clients.values()
                shown = announcer(here).shown
                await peer._say(client, good)
                await until(lambda: shown.others(ip_network(ONE)) == 1)
                await peer._say(client, bad)
                await until(lambda: shown.others(ip_network(ONE)) == 0)
                self.assertEqual(logs.counters["announce_treated_as_withdrawn"], 1)
                self.assertEqual(announcer(here).speakers["p0"].main.session.state, State.ESTABLISHED)

        anyio.run(run)

    def test_a_calm_session_is_left_alone(self) -> None:
        """The speaker once woke itself for ever: a core went, and the server served all the same."""

        async def run() -> None:
            peer = BgpPeer()
            async with around(File(), peer) as here:
                await until(lambda: peer.levels(ME) == {True})
                side = announcer(here)
                talk = side.speakers["p0"].main
                with (
                    mock.patch.object(talk, "passed", wraps=talk.passed) as passed,
                    mock.patch.object(side, "_settle", wraps=side._settle) as settled,
                ):
                    await anyio.sleep(1.5)
                for counted in (passed.call_count, settled.call_count):
                    self.assertTrue(0 < counted < 30, counted)

        anyio.run(run)

    def test_a_refresh_is_answered(self) -> None:
        async def run() -> None:
            peer = BgpPeer()
            async with around(File(), peer):
                await until(lambda: peer.levels(ME) == {True})
                (client,) = peer.clients.values()
                before = peer.updates
                await peer._say(client, Refresh(wire.IPV6))
                await until(lambda: peer.updates == before + 1)
                await until(lambda: len([m for m in peer.messages if isinstance(m, Refresh)]) == 2)
                kinds = [m.kind if isinstance(m, Refresh) else 0 for m in peer.messages
                         if not isinstance(m, wire.Keepalive)]  # fmt: skip
                self.assertEqual(kinds[-3:], [1, 0, 2])

        anyio.run(run)

    def test_a_withdrawal_has_its_time_whatever_was_sent_before(self) -> None:
        """An update goes out, is taken, and leaves the send hold timer set. Just before that is due a
        withdrawal goes out: it has its own time, and no more than that. Moments, what is not yet taken at
        each, and whether the session is there then."""

        async def run(moments: tuple[tuple[float, int, bool], ...]) -> None:
            peer = BgpPeer()
            async with around(File(), peer) as here:
                await until(lambda: peer.levels(ME) == {True})
                speaker = announcer(here).speakers["p0"]
                talk = speaker.main
                left, now = 0, speaker_clock()
                with (
                    mock.patch.object(tcp, "unacknowledged", lambda stream: left),
                    mock.patch.object(speaker_module, "clock", lambda: now),
                ):
                    talk.session.unsent(now, False)
                    talk._watch(50)
                    self.assertAlmostEqual(talk.session.timers[Timer.SEND], now + 3.0)
                    talk.session.timers[Timer.SEND] = now + 0.004  # nearly that long ago
                    speaker.within, began = 0.25, now
                    talk._watch(30)
                    for after, left, there in moments:  # noqa: B007 (read by `unacknowledged`)
                        now = began + after
                        talk.passed(now)
                        self.assertEqual(talk.session.state == State.ESTABLISHED, there, after)

        anyio.run(run, ((0.006, 30, True), (0.26, 0, True)))
        anyio.run(run, ((0.006, 30, True), (0.24, 30, True), (0.26, 30, False)))

    def test_a_full_window_while_a_withdrawal_must_leave(self) -> None:
        """The peer's machine takes nothing any more: the connection is reset, which withdraws as well."""

        async def run() -> None:
            many = ", ".join(f"198.51.100.{at}/32" for at in range(64))
            peer = BgpPeer()
            file = File(addresses=many, next_hop=ME)
            async with around(file, peer, **GRACE) as here:
                await until(lambda: peer.levels(ME) == {True})
                (client,) = peer.clients.values()
                raw = client.stream.extra(SocketAttribute.raw_socket)
                raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
                peer.reading = anyio.Event()
                talk = announcer(here).speakers["p0"].main
                still, was, turns = time.time(), 0, 0
                while time.time() < still + 0.3 or turns < 50:
                    await peer._say(client, Refresh(wire.IPV4))
                    await anyio.sleep(0.001)
                    turns += 1
                    if talk.total != was:
                        still, was, turns = time.time(), talk.total, 0
                    self.assertLess(was, 1 << 22, "the window never fills")
                assert talk.stream
                self.assertGreater(tcp.unacknowledged(talk.stream), 0)
                spent = Spent()
                term()
                await until(lambda: talk.session.state != State.ESTABLISHED)
                self.assertLess(spent.seconds(), 1.5)
                self.assertIn(talk.session.error, ("send hold timer expired", "connection lost"))
                peer.reading.set()
                await until(lambda: not peer.routes())
                self.assertLess(spent.seconds(), 2.0)

        anyio.run(run)

    def test_a_drain_with_the_loop_loaded_and_a_peer_that_hangs(self) -> None:
        """The withdrawal lands before the door shuts, though each turn of the loop takes long."""

        async def run() -> None:
            peer, hung = BgpPeer(), BgpPeer(fault="silent")
            async with around(File(), hung, peer, processor=Processor(0.02, calls=0), **GRACE) as here:
                await until(lambda: peer.levels(ME) == {True})
                router = await here.router()

                async def load() -> None:
                    while True:
                        await router.ask("look")
                        time.sleep(0.03)
                        await anyio.sleep(0)

                here.tasks.start_soon(load)
                await anyio.sleep(0.3)
                with self.assertLogs(logs.logger, "INFO") as captured:
                    spent = Spent()
                    term()
                    await until(lambda: not peer.routes())
                    self.assertLess(spent.seconds(peer.log[-1].at), 1.5)
                    await until(lambda: any(line.msg == "listener_closed" for line in captured.records))
                door = next(line.created for line in captured.records if line.msg == "listener_closed")
                self.assertLess(peer.log[-1].at, door)
                self.assertEqual([seen.what for seen in peer.log[-2:]], ["withdraw"] * 2)

        anyio.run(run)

    def test_sighup_takes_away_and_gives_back(self) -> None:
        async def run() -> None:
            first, second = BgpPeer(), BgpPeer()
            file = File()
            async with around(file, first, second) as here:
                await until(lambda: first.levels(ME) == second.levels(ME) == {True})
                session = announcer(here).speakers["p0"].main.session
                since = session.since
                file.options["addresses"] = ONE  # an address, and with it a family
                file.options["next_hop"] = ME
                hup()
                await until(lambda: len(first.routes()) == len(second.routes()) == 1)
                with_bad = file.options | {"hold": 3}
                file.options, good = with_bad, file.options
                hup()
                await until(lambda: logs.counters["service_config_errors"] == 1)
                file.options = good
                self.assertEqual((len(first.routes()), first.levels(ME)), (1, {True}))
                gone = file.peers.pop("p1")  # a peer
                hup()
                await until(lambda: not second.routes() and second.notes)
                self.assertEqual(second.notes[-1].name, "peer de-configured")
                self.assertEqual(first.levels(ME), {True})
                file.peers["p1"] = gone
                hup()
                await until(lambda: second.levels(ME) == {True})
                file.off = True  # all of it
                hup()
                await until(lambda: not first.routes() and not second.routes())
                self.assertEqual(here.dispatcher.extensions.extensions, ())
                await until(lambda: not os.path.exists(file.options["control"]))
                file.off = False
                hup()
                await until(lambda: first.levels(ME) == second.levels(ME) == {True})
                self.assertGreater(announcer(here).speakers["p0"].main.session.since, since)

        anyio.run(run)

    def test_a_cold_start_under_load(self) -> None:
        async def run() -> None:
            peer = BgpPeer()
            cold = {"settings__contract__cold_us": 1_500_000}
            began = time.time()
            async with around(File(), peer, processor=Processor(0.05, cold=True), **cold) as here:
                router = await here.router()
                while peer.levels(ME) != {True}:
                    await router.ask("look")
                    await anyio.sleep(0.02)
                self.assertGreater(peer.log[2].at - began, 1.4)
                self.assertEqual([seen.full for seen in peer.log], [False, False, True, True])

        anyio.run(run)

    def test_the_peer_comes(self) -> None:
        """Passive: nothing is dialled, and who is not told of is turned away."""

        async def run() -> None:
            peer, file = BgpPeer(), File(listen=f"127.0.0.1:{free_port()}")
            file.peers["p0"] = {"passive": "true"}
            async with around(file, peer) as here:
                await until(lambda: announcer(here).speakers["p0"].main.session.state == State.ACTIVE)
                await anyio.sleep(0.3)
                self.assertEqual(
                    (peer.connections, announcer(here).speakers["p0"].main.session.state), (0, State.ACTIVE)
                )
                for _ in range(2):  # and again after its session was lost
                    peer.tasks.start_soon(peer._serve, await connected(file.options["listen"]))
                    await until(lambda: peer.levels(ME) == {True})
                    extra = await connected(file.options["listen"])  # one too many
                    with self.assertRaises((anyio.EndOfStream, anyio.BrokenResourceError)):
                        await extra.receive()
                    await extra.aclose()
                    await peer.cut()
                    await until(lambda: announcer(here).speakers["p0"].main.session.state == State.ACTIVE)
                self.assertEqual(logs.counters["announce_strangers"], 2)

        anyio.run(run)

    def test_both_connect_at_once(self) -> None:
        """RFC 4271 section 6.8: of two connections one stays, whichever identifier is higher, whenever it
        is told."""

        async def run(id_: str, early: bool) -> None:
            peer, file = BgpPeer(id_=id_), File(listen=f"127.0.0.1:{free_port()}")
            peer.gates["open"] = anyio.Event()
            if not early:  # both OPENs are in before either KEEPALIVE
                peer.gates["keepalive"] = anyio.Event()
            async with around(file, peer) as here:
                speaker = announcer(here).speakers["p0"]
                await until(lambda: speaker.main.session.state == State.OPEN_SENT)
                peer.tasks.start_soon(peer._serve, await connected(file.options["listen"]))
                wanted = State.ESTABLISHED if early else State.OPEN_CONFIRM
                await until(lambda: any(talk.session.state == wanted for talk in speaker.talks()))
                peer.gates["open"].set()
                await until(lambda: len(speaker.talks()) == 1)
                for gate in peer.gates.values():
                    gate.set()
                await until(lambda: peer.levels(ME) == {True})
                self.assertEqual((len(speaker.talks()), len(peer.clients)), (1, 1))
                if not early:
                    self.assertEqual(speaker.main.opened, id_ < ME)
                self.assertIn("connection collision resolution", {note.name for note in peer.notes})

        for id_ in ("10.0.0.1", "192.0.2.9"):
            for early in (True, False):
                with self.subTest(id=id_, early=early):
                    anyio.run(run, id_, early)

    def test_show_and_why(self) -> None:
        async def run() -> None:
            peer, hung = BgpPeer(), BgpPeer(fault="wrong-as")
            file = File()
            async with around(file, peer, hung) as here:
                await until(lambda: peer.levels(ME) == {True})
                await until(lambda: announcer(here).speakers["p1"].main.session.error)

                async def say(*command: str) -> tuple[int, str]:
                    done = await anyio.to_thread.run_sync(
                        lambda: CliRunner().invoke(
                            main, ["announce", *command, "--service-config", str(file.path)]
                        )
                    )
                    return done.exit_code, done.output

                code, text = await say("show")
                self.assertEqual(code, 0)
                self.assertRegex(text, r"p0 +127.0.0.1:\d+ +64500 +established .* 3 s +2 +0 +-")
                self.assertRegex(text, r"p1 .*bad peer AS")
                self.assertRegex(text, r"198.51.100.7/32 +full .* can serve")
                code, text = await say("why", "198.51.100.7")
                self.assertRegex(text, r"^198.51.100.7/32 is full for .*: can serve\n  peer p0: held")
                self.assertIn("peer p1: no session", text)
                self.assertEqual((await say("why", "10.0.0.1"))[0], 1)
                self.assertEqual((await say("why", "here"))[0], 2)
                found = await anyio.to_thread.run_sync(
                    status_socket.query_status, Path(file.options["control"]), "server"
                )
                self.assertEqual([row["level"] for row in found["addresses"]], ["full", "full"])

        anyio.run(run)

    def test_md5(self) -> None:
        """RFC 2385, between our own two ends: the right password connects, another one or none does not."""

        async def run() -> None:
            where = HostPort.parse(f"127.0.0.1:{free_port()}")
            waits = Peer("a", where, 1, password="right", passive=True)
            try:
                tcp.probe(Announce(1, ip_address(ME), (), (), (waits,)))
            except (
                HostConfigurationError
            ) as error:  # a machine without it: said at the start, in one sentence
                return self.assertIn("[announce.peer a] password: this machine refuses it", str(error))
            with tcp.listen(where, (waits,)):
                for password, good in (("right", True), ("wrong", False), ("", False)):
                    reached = False
                    with anyio.move_on_after(20.0 if good else 0.4):
                        stream = await tcp.connect(Peer("b", where, 1, password=password))
                        reached = True
                        await stream.aclose()
                    self.assertEqual(reached, good, password)

        anyio.run(run)

    def test_options_of_the_socket(self) -> None:
        """MD5 and the least TTL where this machine allows them; else a clear refusal at the start."""

        async def run() -> None:
            peer = BgpPeer()
            file = File()
            file.peers["p0"] = {"min_ttl": 255, "source": "127.0.0.1"}
            async with around(file, peer):
                # The stand-in's packets have the usual TTL, as from further away: none is taken.
                await anyio.sleep(0.5)
                self.assertEqual(peer.routes(), {})
                file.peers["p0"]["min_ttl"] = 1
                hup()
                await until(lambda: peer.levels(ME) == {True})

        anyio.run(run)
        bad = Peer("x", HostPort.parse("127.0.0.1:1"), 1, source=ip_address("192.0.2.77"))
        told = Announce(1, ip_address(ME), (), (), (bad,))
        with self.assertRaisesRegex(
            HostConfigurationError, r"\[announce.peer x\] source: this machine refuses it"
        ):
            tcp.probe(told)


async def connected(where: str) -> Any:
    host, _, port = where.rpartition(":")
    return await anyio.connect_tcp(host, int(port))


def nlri_of(at: int) -> wire.Nlri:
    return wire.Nlri(32, bytes((10, 0, at >> 8, at & 255)), at)
