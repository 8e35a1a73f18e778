"""Tests of service addresses over BGP on sockets: a server with fake peers, and how peers may misbehave."""

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
from thymeyoke.bgp import peer_connection as peer_connection_module
from thymeyoke.bgp import tcp, wire
from thymeyoke.bgp.advertiser import Advertiser
from thymeyoke.bgp.configuration import Announce, Peer
from thymeyoke.bgp.presentation import to_nlri
from thymeyoke.bgp.session import State, Timer
from thymeyoke.bgp.wire import RouteRefresh
from thymeyoke.configuration import service_config
from thymeyoke.configuration.service_config import HostPort
from thymeyoke.runtime import logs, status_socket
from thymeyoke.runtime.clock import clock as peer_connection_clock
from thymeyoke.runtime.extensions import HostConfigurationError
from thymeyoke.server import dispatcher, lifecycle

ONE, SIX = "198.51.100.7/32", "2001:db8::7/128"
ME = "192.0.2.1"
GRACE = {"settings__contract__drain_grace_us": 2_000_000, "stop_ms": 5000}


class ServiceFile:
    """The service configuration of a test, written again before each read."""

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
async def server_with_peers(
    file: ServiceFile, *peers: BgpPeer, **changed: Any
) -> AsyncIterator[RunningServer]:
    """Run a server with fake peers named p0, p1 and so on."""
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


def advertiser_of(here: RunningServer) -> Advertiser:
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
    def test_levels_from_start_to_drain(self) -> None:
        """The address is advertised as less preferred, then preferred; in a drain less preferred, then
        withdrawn.

        The withdrawal comes before the listener closes.
        """

        async def run() -> None:
            peer = BgpPeer()
            async with server_with_peers(ServiceFile(), peer, **GRACE) as here:
                await until(lambda: peer.levels(ME) == {True})
                self.assertEqual([seen.full for seen in peer.log], [False, False, True, True])
                router, spent = await here.router(), Spent()
                began = term()
                await until(lambda: not peer.routes())
                taken, last = spent.taken(), [(seen.what, seen.full) for seen in peer.log[4:]]
                self.assertEqual(last, [("announce", False)] * 2 + [("withdraw", False)] * 2)
                for seen, low, high in ((peer.log[4], 0, 0.2), (peer.log[6], 0.4, 0.8)):
                    self.assertTrue(low <= seen.at - began <= high + taken, (seen.at - began, taken))
                self.assertEqual(router.notices, [])  # the listener is still open and requests are accepted
                self.assertIsNone((await router.answer(await router.ask("look")))[0])
                await here.ended.wait()
                self.assertGreater(time.time() - began, 1.9)
                await until(lambda: peer.notes)
                self.assertEqual((peer.notes[0].name, peer.notes[0].text),
                                 ("administrative shutdown", "the instance leaves"))  # fmt: skip

        anyio.run(run)

    def test_every_bad_peer_at_once(self) -> None:
        """Each bad peer ends its own session with the right error; two good peers and the requests are not
        affected."""
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
            async with server_with_peers(ServiceFile(), *good, *bad.values()) as here:
                await until(lambda: good[0].levels(ME) == {True})
                router, took, acked, whole = await here.router(), [], 0, Spent()
                names = dict(zip(faults, [f"p{at + 2}" for at in range(len(faults))], strict=True))
                peer_connections = advertiser_of(here).peer_connections

                def said() -> dict[str, str]:
                    return {
                        fault: peer_connections[name].primary.session.error for fault, name in names.items()
                    }

                while said() != faults:
                    spent = Spent()
                    error, _ = await router.answer(await router.ask("look"))
                    # A request that the machine delayed counts as a long run: the next may be rejected.
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
                self.assertEqual(
                    [peer_connections[name].primary.session.flaps for name in ("p0", "p1")], [0, 0]
                )
                self.assertEqual(
                    (logs.counters["connection_errors"], logs.counters["announce_error"]), (0, 0)
                )

        anyio.run(run)

    def test_an_update_treated_as_withdrawal(self) -> None:
        """RFC 7606: the session continues, the path is removed."""

        async def run() -> None:
            peer = BgpPeer(reflects=False)
            path = to_nlri(ip_network(ONE))._replace(path_id=1)
            attributes = (wire.Attribute(0x40, 1, b"\0"), wire.Attribute(0x40, 2, b""),
                          wire.Attribute(0x40, 3, bytes(4)))  # fmt: skip
            good = wire.Update((), attributes, (path,))
            bad = wire.Update((), (*attributes, wire.Attribute(0xC0, 8, b"\1")), (path,))
            async with server_with_peers(ServiceFile(), peer) as here:
                await until(lambda: peer.levels(ME) == {True})
                (client,) = peer.clients.values()
                received_paths = advertiser_of(here).received_paths
                await peer._say(client, good)
                await until(lambda: received_paths.count_others(ip_network(ONE)) == 1)
                await peer._say(client, bad)
                await until(lambda: received_paths.count_others(ip_network(ONE)) == 0)
                self.assertEqual(logs.counters["announce_treated_as_withdrawn"], 1)
                self.assertEqual(
                    advertiser_of(here).peer_connections["p0"].primary.session.state, State.ESTABLISHED
                )

        anyio.run(run)

    def test_an_idle_session_does_not_wake_up(self) -> None:
        """Guards against a busy loop: the peer connection once woke itself up continuously."""

        async def run() -> None:
            peer = BgpPeer()
            async with server_with_peers(ServiceFile(), peer) as here:
                await until(lambda: peer.levels(ME) == {True})
                side = advertiser_of(here)
                connection = side.peer_connections["p0"].primary
                with (
                    mock.patch.object(connection, "advance", wraps=connection.advance) as advance,
                    mock.patch.object(side, "_advance", wraps=side._advance) as settled,
                ):
                    await anyio.sleep(1.5)
                for counted in (advance.call_count, settled.call_count):
                    self.assertTrue(0 < counted < 30, counted)

        anyio.run(run)

    def test_a_refresh_is_answered(self) -> None:
        async def run() -> None:
            peer = BgpPeer()
            async with server_with_peers(ServiceFile(), peer):
                await until(lambda: peer.levels(ME) == {True})
                (client,) = peer.clients.values()
                before = peer.updates
                await peer._say(client, RouteRefresh(wire.IPV6))
                await until(lambda: peer.updates == before + 1)
                await until(lambda: len([m for m in peer.messages if isinstance(m, RouteRefresh)]) == 2)
                kinds = [m.subtype if isinstance(m, RouteRefresh) else 0 for m in peer.messages
                         if not isinstance(m, wire.Keepalive)]  # fmt: skip
                self.assertEqual(kinds[-3:], [1, 0, 2])

        anyio.run(run)

    def test_a_withdrawal_has_its_own_timeout(self) -> None:
        """A withdrawal has the whole withdrawal timeout, and not more.

        An earlier update was acknowledged but its send hold timer is still set and about to expire. Each step
        has a time, the unacknowledged bytes at it, and whether the session must still be up.
        """

        async def run(moments: tuple[tuple[float, int, bool], ...]) -> None:
            peer = BgpPeer()
            async with server_with_peers(ServiceFile(), peer) as here:
                await until(lambda: peer.levels(ME) == {True})
                peer_connection = advertiser_of(here).peer_connections["p0"]
                connection = peer_connection.primary
                left, now = 0, peer_connection_clock()
                with (
                    mock.patch.object(tcp, "unacknowledged_bytes", lambda stream: left),
                    mock.patch.object(peer_connection_module, "clock", lambda: now),
                ):
                    connection.session.update_send_hold(now, False)
                    connection._start_send_hold(50)
                    self.assertAlmostEqual(connection.session.timers[Timer.SEND], now + 3.0)
                    connection.session.timers[Timer.SEND] = now + 0.004  # almost expired
                    peer_connection.withdrawal_timeout, began = 0.25, now
                    connection._start_send_hold(30)
                    for after, left, there in moments:  # noqa: B007 (read by `unacknowledged`)
                        now = began + after
                        connection.advance(now)
                        self.assertEqual(connection.session.state == State.ESTABLISHED, there, after)

        anyio.run(run, ((0.006, 30, True), (0.26, 0, True)))
        anyio.run(run, ((0.006, 30, True), (0.24, 30, True), (0.26, 30, False)))

    def test_a_full_window_while_a_withdrawal_must_leave(self) -> None:
        """If the peer's receive window is full, the connection is reset, which withdraws the routes too."""

        async def run() -> None:
            many = ", ".join(f"198.51.100.{at}/32" for at in range(64))
            peer = BgpPeer()
            file = ServiceFile(addresses=many, next_hop=ME)
            async with server_with_peers(file, peer, **GRACE) as here:
                await until(lambda: peer.levels(ME) == {True})
                (client,) = peer.clients.values()
                raw = client.stream.extra(SocketAttribute.raw_socket)
                raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
                peer.reading = anyio.Event()
                connection = advertiser_of(here).peer_connections["p0"].primary
                still, was, turns = time.time(), 0, 0
                while time.time() < still + 0.3 or turns < 50:
                    await peer._say(client, RouteRefresh(wire.IPV4))
                    await anyio.sleep(0.001)
                    turns += 1
                    if connection.bytes_written != was:
                        still, was, turns = time.time(), connection.bytes_written, 0
                    self.assertLess(was, 1 << 22, "the window never fills")
                assert connection.stream
                self.assertGreater(tcp.unacknowledged_bytes(connection.stream), 0)
                spent = Spent()
                term()
                await until(lambda: connection.session.state != State.ESTABLISHED)
                self.assertLess(spent.seconds(), 1.5)
                self.assertIn(connection.session.error, ("send hold timer expired", "connection lost"))
                peer.reading.set()
                await until(lambda: not peer.routes())
                self.assertLess(spent.seconds(), 2.0)

        anyio.run(run)

    def test_a_drain_with_the_loop_loaded_and_a_peer_that_hangs(self) -> None:
        """The withdrawal arrives before the listener closes, even if the event loop is slow."""

        async def run() -> None:
            peer, hung = BgpPeer(), BgpPeer(fault="silent")
            async with server_with_peers(
                ServiceFile(), hung, peer, processor=Processor(0.02, calls=0), **GRACE
            ) as here:
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

    def test_sighup_removes_and_adds(self) -> None:
        async def run() -> None:
            first, second = BgpPeer(), BgpPeer()
            file = ServiceFile()
            async with server_with_peers(file, first, second) as here:
                await until(lambda: first.levels(ME) == second.levels(ME) == {True})
                session = advertiser_of(here).peer_connections["p0"].primary.session
                since = session.since
                file.options["addresses"] = ONE  # removes an address, and with it a family
                file.options["next_hop"] = ME
                hup()
                await until(lambda: len(first.routes()) == len(second.routes()) == 1)
                with_bad = file.options | {"hold": 3}
                file.options, good = with_bad, file.options
                hup()
                await until(lambda: logs.counters["service_config_errors"] == 1)
                file.options = good
                self.assertEqual((len(first.routes()), first.levels(ME)), (1, {True}))
                gone = file.peers.pop("p1")  # removes a peer
                hup()
                await until(lambda: not second.routes() and second.notes)
                self.assertEqual(second.notes[-1].name, "peer de-configured")
                self.assertEqual(first.levels(ME), {True})
                file.peers["p1"] = gone
                hup()
                await until(lambda: second.levels(ME) == {True})
                file.off = True  # removes the section
                hup()
                await until(lambda: not first.routes() and not second.routes())
                self.assertEqual(here.dispatcher.extensions.extensions, ())
                await until(lambda: not os.path.exists(file.options["control"]))
                file.off = False
                hup()
                await until(lambda: first.levels(ME) == second.levels(ME) == {True})
                self.assertGreater(advertiser_of(here).peer_connections["p0"].primary.session.since, since)

        anyio.run(run)

    def test_a_cold_start_under_load(self) -> None:
        async def run() -> None:
            peer = BgpPeer()
            cold = {"settings__contract__cold_us": 1_500_000}
            began = time.time()
            async with server_with_peers(
                ServiceFile(), peer, processor=Processor(0.05, cold=True), **cold
            ) as here:
                router = await here.router()
                while peer.levels(ME) != {True}:
                    await router.ask("look")
                    await anyio.sleep(0.02)
                self.assertGreater(peer.log[2].at - began, 1.4)
                self.assertEqual([seen.full for seen in peer.log], [False, False, True, True])

        anyio.run(run)

    def test_a_passive_peer(self) -> None:
        """A passive peer is never connected to, and connections of others are rejected."""

        async def run() -> None:
            peer, file = BgpPeer(), ServiceFile(listen=f"127.0.0.1:{free_port()}")
            file.peers["p0"] = {"passive": "true"}
            async with server_with_peers(file, peer) as here:
                await until(
                    lambda: advertiser_of(here).peer_connections["p0"].primary.session.state == State.ACTIVE
                )
                await anyio.sleep(0.3)
                self.assertEqual(
                    (peer.connections, advertiser_of(here).peer_connections["p0"].primary.session.state),
                    (0, State.ACTIVE),
                )
                for _ in range(2):  # the second time after a lost session
                    peer.tasks.start_soon(peer._serve, await connected(file.options["listen"]))
                    await until(lambda: peer.levels(ME) == {True})
                    extra = await connected(file.options["listen"])  # not needed
                    with self.assertRaises((anyio.EndOfStream, anyio.BrokenResourceError)):
                        await extra.receive()
                    await extra.aclose()
                    await peer.cut()
                    await until(
                        lambda: (
                            advertiser_of(here).peer_connections["p0"].primary.session.state == State.ACTIVE
                        )
                    )
                self.assertEqual(logs.counters["announce_strangers"], 2)

        anyio.run(run)

    def test_both_connect_at_once(self) -> None:
        """RFC 4271 section 6.8: one of two connections remains, whichever identifier is higher and whenever
        it is known."""

        async def run(id_: str, early: bool) -> None:
            peer, file = BgpPeer(id_=id_), ServiceFile(listen=f"127.0.0.1:{free_port()}")
            peer.gates["open"] = anyio.Event()
            if not early:  # both OPENs arrive before either KEEPALIVE
                peer.gates["keepalive"] = anyio.Event()
            async with server_with_peers(file, peer) as here:
                peer_connection = advertiser_of(here).peer_connections["p0"]
                await until(lambda: peer_connection.primary.session.state == State.OPEN_SENT)
                peer.tasks.start_soon(peer._serve, await connected(file.options["listen"]))
                wanted = State.ESTABLISHED if early else State.OPEN_CONFIRM
                await until(
                    lambda: any(
                        connection.session.state == wanted for connection in peer_connection.connections()
                    )
                )
                peer.gates["open"].set()
                await until(lambda: len(peer_connection.connections()) == 1)
                for gate in peer.gates.values():
                    gate.set()
                await until(lambda: peer.levels(ME) == {True})
                self.assertEqual((len(peer_connection.connections()), len(peer.clients)), (1, 1))
                if not early:
                    self.assertEqual(peer_connection.primary.opened_locally, id_ < ME)
                self.assertIn("connection collision resolution", {note.name for note in peer.notes})

        for id_ in ("10.0.0.1", "192.0.2.9"):
            for early in (True, False):
                with self.subTest(id=id_, early=early):
                    anyio.run(run, id_, early)

    def test_show_and_why(self) -> None:
        async def run() -> None:
            peer, hung = BgpPeer(), BgpPeer(fault="wrong-as")
            file = ServiceFile()
            async with server_with_peers(file, peer, hung) as here:
                await until(lambda: peer.levels(ME) == {True})
                await until(lambda: advertiser_of(here).peer_connections["p1"].primary.session.error)

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
        """RFC 2385, between two sockets of ours: only the right password connects."""

        async def run() -> None:
            where = HostPort.parse(f"127.0.0.1:{free_port()}")
            waits = Peer("a", where, 1, password="right", passive=True)
            try:
                tcp.check_options(Announce(1, ip_address(ME), (), (), (waits,)))
            except (
                HostConfigurationError
            ) as error:  # not supported by this machine: a clear error at the start
                return self.assertIn("[announce.peer a] password: this machine refuses it", str(error))
            with tcp.listen(where, (waits,)):
                for password, good in (("right", True), ("wrong", False), ("", False)):
                    advertised = False
                    with anyio.move_on_after(20.0 if good else 0.4):
                        stream = await tcp.connect(Peer("b", where, 1, password=password))
                        advertised = True
                        await stream.aclose()
                    self.assertEqual(advertised, good, password)

        anyio.run(run)

    def test_options_of_the_socket(self) -> None:
        """MD5 and minimum TTL are used where the machine supports them; otherwise the start fails with a
        clear error."""

        async def run() -> None:
            peer = BgpPeer()
            file = ServiceFile()
            file.peers["p0"] = {"min_ttl": 255, "source": "127.0.0.1"}
            async with server_with_peers(file, peer):
                # The fake's packets have the default TTL, as from further away, and are dropped.
                await anyio.sleep(0.5)
                self.assertEqual(peer.routes(), {})
                file.peers["p0"]["min_ttl"] = 1
                hup()
                await until(lambda: peer.levels(ME) == {True})

        anyio.run(run)
        bad = Peer("x", HostPort.parse("127.0.0.1:1"), 1, source=ip_address("192.0.2.77"))
        announce = Announce(1, ip_address(ME), (), (), (bad,))
        with self.assertRaisesRegex(
            HostConfigurationError, r"\[announce.peer x\] source: this machine refuses it"
        ):
            tcp.check_options(announce)


async def connected(where: str) -> Any:
    host, _, port = where.rpartition(":")
    return await anyio.connect_tcp(host, int(port))


def nlri_of(at: int) -> wire.Nlri:
    return wire.Nlri(32, bytes((10, 0, at >> 8, at & 255)), at)
