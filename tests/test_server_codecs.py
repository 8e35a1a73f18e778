"""The protocols of routers, processor and dependency."""

from __future__ import annotations

import logging
import tempfile
import unittest
from pathlib import Path

import msgpack
import orjson

from tests.app_server import every_split, start_file_with
from thymeyoke.admission.events import Outcome
from thymeyoke.configuration import start_file
from thymeyoke.runtime import extensions, logs
from thymeyoke.server import (
    dependency_wire,
    messages,
    processor_wire,
    routers_wire,
)

NAMES = start_file.read_request_names(start_file_with()["settings"])
REF = "9b1f03aa5c7e2d41"
FIELDS = {"ref": REF, "since": "1764576000123", "sender": "4", "project": "south", "allow": "480",
          "room": "24.5", "class_rank": "0.625"}  # fmt: skip
KEY = {"replay": "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"}


class CodecTest(unittest.TestCase):
    def test_frames_in_any_chunks(self) -> None:
        body = bytes(range(256))
        frames = [[0, 7, "buy", [FIELDS | KEY, body]], [0, 8, "alive", [{}]], [2, "cancelRequest", [7]],
                  [0, 9, "look", [FIELDS | {"lookup": "7f3a"}, b""]]]  # fmt: skip
        order = messages.RequestHeader(
            REF, 1, 1, 4, 1764576000.123, 0.48, 24.5, 0.625, KEY["replay"], None, body
        )
        second = order._replace(class_index=0, idempotency_key=None, subject="7f3a", body=b"")
        expected = [
            routers_wire.RequestMessage(7, order),
            routers_wire.HealthCheckMessage(8),
            routers_wire.CancelMessage(7),
            routers_wire.RequestMessage(9, second),
        ]
        for parts in every_split(b"".join(map(msgpack.packb, frames))):
            reader = routers_wire.RequestReader(NAMES)
            self.assertEqual([message for part in parts for message in reader.feed(part)], expected)

    def test_optional_fields(self) -> None:
        """Requests without a timeout, with a work hint, or marked as a retry."""
        fields = {name: text for name, text in FIELDS.items() if name != "allow"}
        cases: list[tuple[dict[str, str], tuple[float, float, bool]]] = [
            ({}, (0.0, 0.0, False)),
            ({"effort": "362.40"}, (0.0, 0.3624, False)),
            ({"dup": "1"}, (0.0, 0.0, True)),
            ({"allow": "480"}, (0.48, 0.0, False)),
        ]
        for more, said in cases:
            (message,) = routers_wire.RequestReader(NAMES).feed(
                msgpack.packb([0, 7, "look", [fields | more, b""]])
            )
            self.assertIsInstance(message, routers_wire.RequestMessage)
            self.assertEqual(
                (message.header.client_timeout, round(message.header.work_hint, 6), message.header.is_retry),
                said,
            )

    def test_idle_connection_holds_no_decoder(self) -> None:
        """A decoder takes some 50 KB, most of the memory with hundreds of open connections."""
        reader, data = routers_wire.RequestReader(NAMES), msgpack.packb([0, 8, "alive", [{}]])
        for _ in range(2):
            self.assertEqual((reader.feed(data[:5]), reader.is_incomplete()), ([], True))
            self.assertIsNotNone(reader.unpacker)
            self.assertEqual(reader.feed(data[5:]), [routers_wire.HealthCheckMessage(8)])
            self.assertEqual((reader.is_incomplete(), reader.unpacker), (False, None))

    def test_malformed_requests_can_be_answered(self) -> None:
        changes = [{"allow": "soon"}, {"allow": "0"}, {"room": "nan"}, {"room": "-1"}, {"room": "2000"},
                   {"class_rank": "1"}, {"since": ""}, {"project": "west"}, {"sender": "x"}, {"ref": "short"},
                   {"since": "9" * 40}, {"since": "9" * 13}, {"ref": 5}, {"sender": "-4"}, {"allow": "4_8"},
                  {"sender": "\u0664"}, {"replay": ""}, {"replay": 7}, {"effort": "nan"},
                   {"effort": "-1"}]  # fmt: skip
        frames = [[0, 3, "look", [FIELDS | changed, b""]] for changed in changes]
        frames += [[0, 3, "sell", [FIELDS, b""]], [0, 3, "look", [{}, b""]], [0, 3, "look", [FIELDS]],
                   [0, 3, "look", []], [0, 3, "look", [FIELDS, "text"]], [0, 3, "alive", []]]  # fmt: skip
        for frame in frames:
            with self.subTest(frame=str(frame)[-60:]):
                (message,) = routers_wire.RequestReader(NAMES).feed(msgpack.packb(frame))
                self.assertEqual((type(message), message[0]), (routers_wire.InvalidRequestMessage, 3))

    def test_invalid_frame_closes_the_connection(self) -> None:
        frames = [5, "text", [], [0, "7", "look", [FIELDS, b""]], [2, "dance", [7]], {"a": 1}, [7, 1, 2, 3],
                  [2, "cancelRequest", []], [0, -1, "look", [FIELDS, b""]],
                  [0, 1, "look", [FIELDS, b"x" * 2049]],
                  [0, 1, "look", [FIELDS | {"ref": "x" * 600}, b""]]]  # fmt: skip
        level = b"\x82\xa1a\xd9\xff" + b"x" * 255 + b"\xa1b"  # a map whose second value is one more such map
        bytes_ = [b"\xc1", b"GET / HTTP/1.1\r\n\r\n", b"\x94\x00\x01\xa1\xff", b"\x94\x00\x01" + level * 70]
        for data in [*map(msgpack.packb, frames), *bytes_]:
            with self.subTest(data=data[:20]), self.assertRaises(routers_wire.InvalidFrameError):
                reader = routers_wire.RequestReader(NAMES)
                for _ in range(40):
                    reader.feed(data)

    def test_answers(self) -> None:
        ack, nack, fail = extensions.Verdict.SERVED, extensions.Verdict.REJECTED, extensions.Verdict.FAILED
        cases = [
            (extensions.Answer(7, ack, b"\xff\x00", 0.25), [1, 7, None, [b"\xff\x00", {"pressure": "0.25"}]]),
            (extensions.Answer(7, ack), [1, 7, None, [b"", {}]]),
            (extensions.Answer(7, nack, retry_after=0.25, is_terminal=True),
             [1, 7, ["Shed", {"cooldown": "250", "nowhere": "1"}], None]),
            (extensions.Answer(7, nack, backpressure=0.0), [1, 7, ["Shed", {"pressure": "0"}], None]),
            (extensions.Answer(7, fail), [1, 7, ["Fault", {}], None]),
            (messages.HealthAnswer(8, True, 1.5), [1, 8, None, [True, {"pressure": "1.5"}]]),
            (messages.ShutdownNotice(), [2, "leaving", []]),
        ]  # fmt: skip
        for what, frame in cases:
            with self.subTest(what=what):
                self.assertEqual(msgpack.unpackb(routers_wire.encode(what)), frame)

    def test_commands_and_notices(self) -> None:
        """Bodies are base64-encoded; `goon` only resumes a paused run."""
        cases = [
            (messages.StartRun("a", 1, b"\x00\xff"),
             {"event": "begin", "handle": "a", "entry": "buy", "arg": "AP8="}),
            (messages.CallResult("a", b""), {"event": "answer", "handle": "a", "arg": ""}),
            (messages.StopRun("a"), {"event": "interrupt", "handle": "a"}),
            (messages.ResumeRun("a"), {"event": "goon", "handle": "a"}),
            (messages.ContinueWithoutCall("a"), {"event": "without", "handle": "a"}),
            (messages.ReadGauges(), {"event": "usage", "ticket": "gauges"}),
            (processor_wire.RequestConfirmation(7), {"event": "usage", "ticket": "confirm7"}),
        ]  # fmt: skip
        for command, said in cases:
            self.assertEqual(orjson.loads(processor_wire.encode(command, ["look", "buy"])), said)
        cases = [
            (b'{"event":"hi","fate":"COLD","lasted":1500}', (0, messages.ProcessorReady(True, 1.5))),
            (
                b'{"event":"complete","cursor":3,"handle":"a","fate":"OK","lasted":1,"arg":"AP8="}',
                (3, messages.RunEnded("a", Outcome.OK, b"\x00\xff", 0.001)),
            ),
            (
                b'{"event":"complete","cursor":4,"handle":"a","fate":"STOPPED","lasted":1}',
                (4, messages.RunEnded("a", Outcome.STOPPED, b"", 0.001)),
            ),
            (
                b'{"event":"ask","cursor":5,"handle":"a","arg":"AP8="}',
                (5, messages.DependencyCallRequested("a", b"\x00\xff")),
            ),
            (b'{"event":"used","ticket":"gauges","figures":[0.5,3]}', (0, messages.GaugesRead((0.5, 3.0)))),
            (b'{"event":"used","ticket":"sync2","figures":[]}', (0, messages.ProcessorSynced(2))),
            (
                b'{"event":"used","ticket":"confirm7","figures":[]}',
                (0, processor_wire.CommandsConfirmed(7)),
            ),
            (
                b'{"event":"reject","fate":"begin","handle":"a"}',
                (0, messages.CommandRejected("a", messages.StartRun)),
            ),
            (b'{"event":"remark","cursor":6,"fate":"hm"}', (6, None)),
        ]
        for line, said in cases:
            self.assertEqual(processor_wire.decode(line, 2), said)
        for line in (b"", b"[]", b"{}", b'{"event":"dance"}', b'{"event":"hi"}', b"\xff", b'{"event":"ask"}',
                     b'{"event":"complete","handle":"a","fate":"WELL"}',
                     b'{"event":"ask","handle":"a","arg":"!"}',
                     b'{"event":"used","ticket":"confirm"}'):  # fmt: skip
            with self.subTest(line=line), self.assertRaises(processor_wire.InvalidLineError):
                processor_wire.decode(line, 1)

    def test_replies_in_any_chunks(self) -> None:
        data = b"a ROWS 6\r\nx\r\nb F\r\nb FULL\r\nc ROWS 0\r\n\r\nd NONE\r\ne FAIL\r\nf TIMEOUT\r\n"
        expected = [
            dependency_wire.Reply("a", Outcome.OK, b"x\r\nb F"),
            dependency_wire.Reply("b", Outcome.REJECTED, b""),
            dependency_wire.Reply("c", Outcome.OK, b""),
            dependency_wire.Reply("d", Outcome.NOT_STARTED, b""),
            dependency_wire.Reply("e", Outcome.ERROR, b""),
            dependency_wire.Reply("f", Outcome.TIMEOUT, b""),
        ]
        for parts in every_split(data):
            reader = dependency_wire.ReplyReader()
            self.assertEqual([back for part in parts for back in reader.feed(part)], expected)
        for bad in (b"a\r\n", b"a WELL\r\n", b"a ROWS x\r\n", b"a ROWS -2\r\n", b"a ROWS 1 2\r\n",
                    b"\xff X\r\n", b"a ROWS 1\r\nxyz", b"a" * 70000):  # fmt: skip
            with self.subTest(bad=bad[:20]), self.assertRaises(dependency_wire.InvalidReplyError):
                dependency_wire.ReplyReader().feed(bad)
        call = messages.StartCall(REF, 10.25, b"a\r\nb")
        self.assertEqual(dependency_wire.encode(call, 10.0), b"Q " + REF.encode() + b" 250 4\r\na\r\nb\r\n")

    def test_log_lines(self) -> None:
        record = logs.logger.makeRecord("t", logging.INFO, "f", 1, "op ended", (), None, extra={
            "fields": {"id": "a1", "took": 0.25, "why": 'two "words"\nand=', "none": ""}})  # fmt: skip
        line = logs.KeyValueFormatter().format(record)
        end = 'level=info event="op ended" id=a1 took=0.25 why="two \'words\'\\nand=" none=""'
        self.assertTrue(line.endswith(end), line)

    def test_start_files(self) -> None:
        cases = [
            ("lacks 'listen'", lambda given: given.pop("listen")),
            ("lacks 'request_classes'", lambda given: given["settings"].pop("request_classes")),
            ("cannot be used", lambda given: given.update(seed="not hex")),
            ("cannot be used", lambda given: given.update(db="nowhere")),
            ("cannot be used", lambda given: given.update(settings=[])),
        ]
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "start.json"
            for why, change in cases:
                change(given := start_file_with())
                path.write_bytes(orjson.dumps(given))
                with self.subTest(why), self.assertRaisesRegex(start_file.StartFileError, why):
                    start_file.read_start_file(path)
            path.write_text("{")
            with self.assertRaisesRegex(start_file.StartFileError, "not JSON"):
                start_file.read_start_file(path)
            with self.assertRaisesRegex(start_file.StartFileError, "cannot be read"):
                start_file.read_start_file(path / "none")
            path.write_bytes(orjson.dumps(start_file_with()))
            server_settings, names, given = start_file.read_start_file(path)
        self.assertEqual((server_settings.stop_timeout, str(server_settings.listen)), (2.0, "127.0.0.1:4100"))
        self.assertEqual((names.request_classes, given.machine.cores), ({"look": 0, "buy": 1}, 2))


if __name__ == "__main__":
    unittest.main()
