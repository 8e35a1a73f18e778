"""The bytes of every message of every codec, and what each codec reads from bytes, as they were recorded."""

from __future__ import annotations

import random
import socket
import threading
import unittest
from collections.abc import Callable, Iterable
from typing import Any
from unittest import mock

import anyio
import msgpack
import orjson

from benchmarks.simulated import Size, members, moves, seats
from tests.characterization.recording import compare, plain
from thymeyoke.affinity import wire as affinity_wire
from thymeyoke.bgp import attributes
from thymeyoke.bgp import wire as bgp
from thymeyoke.configuration.start_file import Address, RequestNames
from thymeyoke.ledger import wire as ledger
from thymeyoke.ledger.usage_entries import Amounts, Kind, UsageKey
from thymeyoke.membership import wire as membership_wire
from thymeyoke.migration import wire as migration_wire
from thymeyoke.runtime import extensions
from thymeyoke.server import dependency_wire, endpoint_registry, messages, processor_wire, routers_wire

CODES: dict[type, str | None] = {
    routers_wire.RequestMessage: "request",
    routers_wire.HealthCheckMessage: "check",
    routers_wire.CancelMessage: "cancel",
    routers_wire.InvalidRequestMessage: "unclear",
    messages.ProcessorReady: "up",
    messages.RunEnded: "ended",
    messages.DependencyCallRequested: "call",
    messages.ProcessorSynced: "synced",
    messages.GaugesRead: "gauges",
    messages.CommandRejected: "refused",
    messages.StartRun: "begin",
    messages.StopRun: "interrupt",
    messages.ResumeRun: "resume",
    messages.ContinueWithoutCall: "without",
    messages.CallResult: "reply",
    messages.ReadGauges: "gauge",
    bgp.Open: "open",
    bgp.Update: "update",
    bgp.Notification: "notification",
    bgp.Keepalive: "keepalive",
    bgp.RouteRefresh: "refresh",
    ledger.Hello: "hello",
    ledger.Welcome: "welcome",
    ledger.Batch: "batch",
    ledger.Acknowledgement: "taken",
    ledger.Rejection: "refused",
}
COMMANDS = {
    messages.StartRun: "begin",
    messages.StopRun: "interrupt",
    messages.ResumeRun: "resume",
    messages.ContinueWithoutCall: "without",
    messages.CallResult: "reply",
    messages.ReadGauges: "gauge",
}
NAMES = RequestNames({"look": 0, "buy": 1}, {"north": 0, "south": 1})
FIELDS = {
    "since": "1000000",
    "allow": "250",
    "room": "24.5",
    "class_rank": "0.625",
    "sender": "7",
    "ref": "91f03b7c55d20a64",
    "project": "south",
    "replay": "k1",
    "lookup": "user-1",
    "effort": "12.5",
    "dup": "1",
    "unheard": "of",
}
MOST = 400  # recorded calls of one codec function


def shown(value: Any) -> Any:
    if isinstance(value, type):
        return COMMANDS[value]
    return plain(value, CODES)


def attempt(do: Callable[[], Any]) -> Any:
    """What a call returns; for an error only that there was one."""
    try:
        return shown(do())
    except Exception as error:
        return ["error", isinstance(error, AssertionError)]


def lines(rows: Iterable[Any]) -> list[bytes]:
    return [orjson.dumps(row) for row in rows]


class RouterWire(unittest.TestCase):
    """MessagePack-RPC between routers and an app server."""

    def test_reading(self) -> None:
        def without(*names: str, **other: Any) -> dict[str, Any]:
            return {name: text for name, text in (FIELDS | other).items() if name not in names}

        asks = [
            FIELDS,
            without("allow", "effort", "dup", "replay", "lookup"),
            without("project"),
            without("ref"),
            without(ref="short"),
            without(since="-1"),
            without(room="0"),
            without(class_rank="1"),
            without(dup="0"),
            without(dup=""),
            without(replay=""),
            without(effort="x"),
            without(allow="0"),
            without(project="west"),
            without(sender="1_0"),
        ]
        frames: list[Any] = [[0, 5, "buy", [ask, b"body"]] for ask in asks]
        frames += [
            [0, 6, "look", [FIELDS, b""]],
            [0, 6, "sell", [FIELDS, b""]],
            [0, 7, "alive", [{}]],
            [0, 8, "look", [{}]],
            [0, 8, "look", []],
            [2, "cancelRequest", [9]],
            [2, "cancelRequest", ["9"]],
            [1, 2, None, None],
            [0, True, "alive", [{}]],
            [0, -1, "alive", [{}]],
            "text",
            7,
            [],
        ]
        found = []
        for frame in frames:
            data = msgpack.packb(frame)
            reader = routers_wire.RequestReader(NAMES)
            found.append([data.hex(), attempt(lambda r=reader, d=data: r.feed(d)), reader.is_incomplete()])
        for data in (msgpack.packb(frames[0])[:20], b"\xc1", msgpack.packb([0, 7, "alive", [{}]]) * 2):
            reader = routers_wire.RequestReader(NAMES)
            found.append([data.hex(), attempt(lambda r=reader, d=data: r.feed(d)), reader.is_incomplete()])
        # An unclear request is told by its number; the reason is a text for people.
        for row in found:
            if row[1] and isinstance(row[1], list):
                row[1] = [
                    one[:2] if one[0] == "unclear" else one for one in row[1] if isinstance(one, list)
                ] or row[1]
        compare(self, "codecs/router_reading", lines(found))

    def test_writing(self) -> None:
        verdicts = {
            "ack": extensions.Verdict.SERVED,
            "nack": extensions.Verdict.REJECTED,
            "fail": extensions.Verdict.FAILED,
        }
        found = []
        for name, verdict in verdicts.items():
            for value in (None, 0.0, 0.35, 12.0):
                for wait, nowhere in ((0.0, False), (0.25, True), (1.0, False)):
                    answer = extensions.Answer(17, verdict, b"result", value, wait, nowhere)
                    found.append([name, value, wait, nowhere, routers_wire.encode(answer).hex()])
        for fit in (True, False):
            for value in (None, 0.5):
                found.append(
                    ["check", fit, value, routers_wire.encode(messages.HealthAnswer(18, fit, value)).hex()]
                )
        found.append(["leaving", routers_wire.encode(messages.ShutdownNotice()).hex()])
        compare(self, "codecs/router_writing", lines(found))


class ProcessorWire(unittest.TestCase):
    def test_writing(self) -> None:
        commands: list[Any] = [
            messages.StartRun("a1", 1, b"\0body"),
            messages.CallResult("a1", b"rows"),
            messages.StopRun("a1"),
            messages.ResumeRun("a1"),
            messages.ContinueWithoutCall("a1"),
            messages.ReadGauges(),
            processor_wire.RequestSync(3),
        ]
        found = [processor_wire.encode(command, ["look", "buy"]) for command in commands]
        compare(self, "codecs/processor_writing", [line.rstrip(b"\n") for line in found])

    def test_reading(self) -> None:
        said: list[Any] = [
            {"event": "hi", "fate": "COLD", "lasted": 250},
            {"event": "hi", "fate": "WARM", "lasted": 0},
            {"event": "complete", "handle": "a1", "fate": "OK", "arg": "cm93cw==", "lasted": 12, "cursor": 4},
            {"event": "complete", "handle": "a1", "fate": "ERROR", "cursor": "5"},
            {"event": "complete", "handle": "a1", "fate": "STOPPED"},
            {"event": "complete", "handle": "a1", "fate": "MOOT"},
            {"event": "complete", "handle": "a1", "fate": "WHAT"},
            {"event": "complete", "handle": "a1", "fate": "OK", "arg": "*"},
            {"event": "ask", "handle": "a1", "arg": "Ym9keQ==", "cursor": 6},
            {"event": "ask", "handle": "a1"},
            {"event": "used", "ticket": "sync3"},
            {"event": "used", "ticket": "sync2", "figures": [1]},
            {"event": "used", "ticket": "gauges", "figures": [0.5, 3]},
            {"event": "used", "ticket": "gauges"},
            *(
                {"event": "reject", "handle": "a1", "fate": name}
                for name in ("begin", "interrupt", "goon", "without", "answer", "usage", "dance")
            ),
            {"event": "reject"},
            {"event": "remark", "cursor": 9},
            {"event": "dance"},
            {"cursor": 1},
            [],
            7,
        ]
        found = []
        for one in said:
            data = orjson.dumps(one)
            try:
                cursor, event = processor_wire.decode(data, 3)
                told = [shown(field) for field in event] if event is not None else None
                found.append([data.decode(), cursor, CODES[type(event)] if event is not None else None, told])
            except Exception:
                found.append([data.decode(), "error"])
        compare(self, "codecs/processor_reading", lines(found))


class DatabaseWire(unittest.TestCase):
    def test_writing(self) -> None:
        for_now = [
            dependency_wire.encode(messages.StartCall("a1", 10.0 + span, b"q\r\n"), 10.0)
            for span in (0.0, 0.0012, 2.5)
        ]
        found = [*for_now, dependency_wire.encode(messages.AbandonCall("a1"), 10.0)]
        compare(self, "codecs/database_writing", [data.hex().encode() for data in found])

    def test_reading(self) -> None:
        cases = [
            b"a1 ROWS 4\r\nrows\r\n",
            b"a1 ROWS 0\r\n\r\n",
            b"a1 ROWS\r\n",
            b"a1 FULL\r\na2 FAIL\r\n",
            b"a1 TIMEOUT\r\na1 NONE\r\n",
            b"a1 WHAT\r\n",
            b"a1 ROWS 4\r\nro",
            b"a1 RO",
            b"a1 ROWS 4\r\nrowsxx",
            b"a1 ROWS x\r\n",
            b"a1 ROWS 4 4\r\nrows\r\n",
            b"a1 ROWS 70000\r\n",
            b"x" * 300,
            b"\xff ROWS\r\n",
        ]
        found = []
        for data in cases:
            reader = dependency_wire.ReplyReader()
            found.append([data.hex(), attempt(lambda r=reader, d=data: r.feed(d)), reader.incomplete.hex()])
        compare(self, "codecs/database_reading", lines(found))


class EndpointListWire(unittest.TestCase):
    def test_a_report(self) -> None:
        """The octets of two reports on one connection."""
        received: list[bytes] = []
        with socket.create_server(("127.0.0.1", 0)) as listener:
            port = listener.getsockname()[1]

            def answer() -> None:
                stream, _ = listener.accept()
                with stream:
                    for _ in range(2):
                        received.append(stream.recv(4096))
                        stream.sendall(b"HTTP/1.1 204 No Content\r\n\r\n")

            thread = threading.Thread(target=answer)
            thread.start()

            async def report() -> None:
                client = endpoint_registry.EndpointRegistryClient(Address("127.0.0.1", port), "app/1 a")
                await client._send_report()
                client.is_healthy = False
                await client._send_report()
                await client._close()

            anyio.run(report)
            thread.join(5)
        fixed = [data.replace(str(port).encode(), b"PORT") for data in received]
        compare(self, "codecs/endpoint_list", [data.hex().encode() for data in fixed])


class BgpWire(unittest.TestCase):
    agreed = bgp.NegotiatedOptions(
        four_byte_as=True,
        extended_messages=True,
        families=frozenset((bgp.IPV4, bgp.IPV6)),
        add_path_families=frozenset((bgp.IPV4,)),
    )

    def messages(self) -> list[Any]:
        capabilities = (
            bgp.Capability(1, b"\0\1\0\1"),
            bgp.Capability(65, (70000).to_bytes(4, "big")),
            bgp.Capability(69, b"\0\1\1\3"),
        )
        net4, net6 = bytes((198, 51, 100, 7)), bytes.fromhex("20010db8") + bytes(11) + b"\7"
        routes = [
            attributes.Route(as_, b"\xc0\0\2\1", internal, hop, less, 1000, 3)
            for as_ in (64512, 70000)
            for internal in (False, True)
            for hop in (b"\xc0\0\2\1",)
            for less in ((), ("med",), ("graceful_shutdown", "prepend"))
        ]
        told: list[Any] = [
            bgp.Open(23456, 90, b"\xc0\0\2\1", capabilities),
            bgp.Open(64512, 3, b"\xc0\0\2\1"),
            bgp.Open(64512, 3, b"\xc0\0\2\1", tuple(bgp.Capability(200, bytes(100)) for _ in range(3))),
            bgp.Keepalive(),
            bgp.RouteRefresh(bgp.IPV6, 1),
            bgp.Notification(6, 2, b"\3bye"),
            bgp.shutdown_notification("wartung " * 40),
            bgp.Update(),
        ]
        for agreed in (bgp.NegotiatedOptions(), self.agreed):
            for route in routes:
                told.append(attributes.advertisement(route, (bgp.Nlri(32, net4),), bgp.IPV4, agreed))
            told.append(
                attributes.advertisement(
                    routes[0]._replace(next_hop=net6), (bgp.Nlri(128, net6),), bgp.IPV6, agreed
                )
            )
        told.append(attributes.withdrawal((bgp.Nlri(32, net4), bgp.Nlri(24, net4)), bgp.IPV4))
        told.append(attributes.withdrawal((bgp.Nlri(128, net6),), bgp.IPV6))
        told.append(bgp.Update(nlri=(bgp.Nlri(32, net4, 9),)))
        return told

    def test_writing_and_reading(self) -> None:
        found = []
        for message in self.messages():
            data = bgp.encode(message, self.agreed)
            for agreed in (bgp.NegotiatedOptions(), self.agreed):
                reader = bgp.MessageReader()
                reader.negotiated = agreed
                read = attempt(lambda r=reader, d=data: list(r.feed(d)))
                found.append([shown(message), data.hex(), read])
        compare(self, "codecs/bgp", lines(found))

    def test_damaged(self) -> None:
        """Every octet of a few messages changed: what is read, and the NOTIFICATION where it is none."""
        found = []
        for message in (self.messages()[0], self.messages()[8], self.messages()[14]):
            data = bgp.encode(message)
            for at in range(len(data)):
                damaged = data[:at] + bytes((data[at] ^ 0x55,)) + data[at + 1 :]
                reader = bgp.MessageReader()
                try:
                    said = list(reader.feed(damaged))
                    heard = [
                        shown(attributes.interpret_update(one, bgp.NegotiatedOptions(), False))
                        for one in said
                        if isinstance(one, bgp.Update)
                    ]
                    found.append([shown(said), heard])
                except bgp.ProtocolError as error:
                    found.append(["error", error.code, error.subcode, error.data.hex()])
                except IndexError:
                    found.append(["index"])
        compare(self, "codecs/bgp_damaged", lines(found))


class LedgerWire(unittest.TestCase):
    def test_writing_and_reading(self) -> None:
        rows = (
            (UsageKey("north", "look", Kind.ACKED), Amounts(3, 250_000, 2, 1_500_000, 4096)),
            (UsageKey("south", "buy", Kind.CORRECTION, "1.7", "ann", "twice"), Amounts(0, -5, 0, 0, 0)),
        )
        body = ledger.encode_body(ledger.BatchBody(4, 17, 2, 1, 3, 60, rows))
        said: list[Any] = [
            ledger.Hello("app-1", b"\1" * 16, 4),
            ledger.Welcome(b"\2" * 16, 3, b"\3" * 32),
            ledger.Batch(4, b"\3" * 32, body),
            ledger.Acknowledgement(4, b"\4" * 32),
            ledger.Rejection("a gap"),
        ]
        found: list[Any] = [[body.hex(), shown(ledger.decode_body(body))], shown(said[2].hash)]
        for one in said:
            data = ledger.encode(one)
            found.append([shown(one), data.hex(), shown(list(ledger.FrameReader().feed(data)))])
        found += [attempt(lambda d=data: ledger.decode(d)) for data in (b"", b"\xff\xff", b"\x0a\x01")]
        compare(self, "codecs/ledger", lines(found))


class PlayedWires(unittest.TestCase):
    """Messages between members and nodes, as plays in simulated time make them."""

    def played(self, name: str, module: Any, encoders: dict[str, bool], play: Callable[[], Any]) -> None:
        """`encoders`: functions of the codec, and whether the first argument is octets."""
        found: dict[bytes, None] = {}
        many = dict.fromkeys(encoders, 0)

        def wrap(function: str) -> Callable[..., Any]:
            original = getattr(module, function)

            def call(given: Any) -> Any:
                result = original(given)
                if many[function] < MOST:
                    many[function] += 1
                    found[orjson.dumps([encoders[function], shown(given), shown(result)])] = None
                return result

            return call

        with mock.patch.multiple(module, **{function: wrap(function) for function in encoders}):
            play()
        compare(self, name, list(found))

    def test_membership(self) -> None:
        size = Size(seed=7, servers=7, nodes=3, tenants=4, customers=1)
        self.played(
            "codecs/membership",
            membership_wire,
            {"encode": False, "decode": True},
            lambda: members("members", size),
        )

    def test_membership_frames(self) -> None:
        draw = random.Random(5)
        found = []
        for key in (b"", membership_wire.derive_key("a word")):
            badge = membership_wire.Credentials("fleet", key, "n1", "127.0.0.1:6001")
            for size in (0, 10, 2048, 2049, 9000):
                body = draw.randbytes(size)
                data = membership_wire.encode_notifications("members", body, badge)
                reader = membership_wire.MessageReader(badge, membership_wire.BufferPool())
                found.append([size, data.hex()[:6000], attempt(lambda r=reader, d=data: r.feed(d))])
        compare(self, "codecs/membership_frames", lines(found))

    def test_affinity(self) -> None:
        size = Size(seed=7, servers=6, nodes=3, tenants=12, customers=60)
        self.played(
            "codecs/affinity",
            affinity_wire,
            {"encode": False, "decode": True},
            lambda: seats("tenth-joins", size, coded=True),
        )

    def test_migration(self) -> None:
        size = Size(seed=7, servers=5, nodes=3, tenants=8, customers=20)
        self.played(
            "codecs/migration",
            migration_wire,
            {"encode": False, "decode": True},
            lambda: moves("moves-heavy", size),
        )


if __name__ == "__main__":
    unittest.main()
