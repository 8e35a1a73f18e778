"""Cases against the BGP codec: bytes from the RFCs' figures, every error code it can raise, RFC 7606's
table, fuzzing."""

from __future__ import annotations

import os
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from thymeyoke.bgp import attributes, wire
from thymeyoke.bgp.attributes import At, Path, Route, Way, announcement, understand, withdrawal
from thymeyoke.bgp.wire import IPV4, IPV6, Agreed, Attribute, Cap, Capability, Nlri, Wrong

BOTH = Agreed(as4=True, families=frozenset((IPV4, IPV6)))
MARKER = b"\xff" * 16
HOST = Nlri(32, bytes((198, 51, 100, 7)))
HOST6 = Nlri(128, bytes.fromhex("20010db8000000000000000000000007"))
HOP, HOP6 = bytes((192, 0, 2, 1)), bytes.fromhex("20010db8000000000000000000000001")
LONG = int(os.environ.get("THYMEYOKE_FUZZ", "0"))  # examples; by itself a bounded run, the same each time
FUZZ = settings(max_examples=LONG or 300, derandomize=not LONG, deadline=None, database=None)


def raw(kind: int, body: bytes, length: int | None = None, marker: bytes = MARKER) -> bytes:
    return marker + (19 + len(body) if length is None else length).to_bytes(2, "big") + bytes((kind,)) + body


def read(data: bytes, agreed: Agreed = BOTH) -> list[wire.Message]:
    reader = wire.Reader()
    reader.agreed = agreed
    return list(reader.feed(data))


OPEN = bytes.fromhex("04 fde8 0003 c0000209")  # version 4, AS 65000, hold 3, 192.0.2.9


class Messages(unittest.TestCase):
    cases = (
        ("19 octets", raw(4, b""), wire.Keepalive()),
        ("no parameters", raw(1, OPEN + b"\0"), wire.Open(65000, 3, bytes((192, 0, 2, 9)))),
        ("capabilities", raw(1, OPEN + bytes.fromhex("0e 02 0c 01 04 0002 00 01 41 04 0001 0000")),
         wire.Open(65000, 3, bytes((192, 0, 2, 9)), (
             Capability(1, bytes((0, 2, 0, 1))), Capability(65, bytes((0, 1, 0, 0)))))),
        ("hold timer", raw(3, b"\4\0"), wire.Notification(4)),
        ("shutdown", raw(3, b"\6\2\3bye"), wire.shutdown("bye")),
        ("refresh", raw(5, b"\0\2\0\1"), wire.Refresh(IPV6)),
        ("its beginning", raw(5, b"\0\1\1\1"), wire.Refresh(IPV4, 1)),
        ("end of RIB", raw(2, b"\0\0\0\0"), wire.Update()),
        ("withdrawn", raw(2, b"\0\5\x20\xc6\x33\x64\7\0\0"), wire.Update(withdrawn=(HOST,))),
        ("announced", raw(2, bytes.fromhex("0000 000e 400101 00 400200 400304c0000201 20c6336407")),
         wire.Update((), (Attribute(0x40, 1, b"\0"), Attribute(0x40, 2, b""), Attribute(0x40, 3, HOP)),
                     (HOST,))),
        ("long attribute", raw(2, b"\0\0\1\4\xd0\x20\1\0" + bytes(256)),
         wire.Update((), (Attribute(0xD0, 32, bytes(256)),))),
    )  # fmt: skip

    def test_both_ways(self) -> None:
        for name, data, message in self.cases:
            with self.subTest(name=name):
                self.assertEqual(read(data), [message])
                self.assertEqual(wire.encode(message, BOTH), data)

    def test_cut_anywhere(self) -> None:
        data = b"".join(case[1] for case in self.cases)
        whole = [case[2] for case in self.cases]
        for size in (1, 2, 7, 18, 19, 20, 64):
            reader = wire.Reader()
            pieces = [data[at : at + size] for at in range(0, len(data), size)]
            self.assertEqual([message for piece in pieces for message in reader.feed(piece)], whole)
            self.assertFalse(reader.half())

    def test_extended_optional_parameters(self) -> None:
        """RFC 9072: past 255 octets, and also where a peer uses the long form for few."""
        many = tuple(Capability(200 + at, bytes(60)) for at in range(5))
        said = wire.Open(65000, 3, bytes((192, 0, 2, 9)), many)
        data = wire.encode(said)
        self.assertEqual(data[28:30], b"\xff\xff")
        self.assertEqual(read(data), [said])
        short = raw(1, OPEN + b"\xff\xff\0\5\2\0\2\2\0")
        self.assertEqual(read(short), [said._replace(capabilities=(Capability(2, b""),))])

    def test_what_an_open_says(self) -> None:
        caps = (
            Capability(Cap.MULTIPROTOCOL, bytes((0, 2, 0, 1))),
            Capability(Cap.AS4, (4200000000).to_bytes(4, "big")),
            Capability(Cap.ADD_PATH, bytes((0, 1, 1, 2, 0, 2, 1, 3))),
        )  # fmt: skip
        said = wire.Open(wire.AS_TRANS, 3, HOP, caps)
        self.assertEqual((said.as_, said.families), (4200000000, frozenset((IPV6,))))
        self.assertEqual((said.add_path(1), said.add_path(2)), (frozenset((IPV6,)), frozenset((IPV4, IPV6))))
        self.assertEqual(wire.Open(65000, 3, HOP).families, frozenset((IPV4,)))
        ours = wire.Open(1, 3, HOP, (
            Capability(1, bytes((0, 1, 0, 1))), Capability(1, bytes((0, 2, 0, 1))),
            Capability(Cap.ADD_PATH, bytes((0, 2, 1, 1)))))  # fmt: skip
        agreed = wire.agree(ours, said)
        self.assertEqual(
            (agreed.families, agreed.paths, agreed.as4), (frozenset((IPV6,)), frozenset((IPV6,)), False)
        )

    def test_shutdown_communication(self) -> None:
        """RFC 9003: 255 octets at most, cut between characters; half a text is none."""
        self.assertEqual(wire.shutdown("abc").text, "abc")
        self.assertEqual(wire.shutdown("é" * 200).text, "é" * 127)
        self.assertEqual(
            [wire.Notification(6, 2, data).text for data in (b"", b"\5ab", b"\1\xff")], ["", "", "\ufffd"]
        )
        self.assertEqual(wire.Notification(6, 3, b"\2ab").text, "")

    def test_every_error_that_bytes_can_raise(self) -> None:
        cases = [
            ((1, 1), raw(4, b"", marker=b"\xfe" * 16)), ((1, 2), raw(4, b"", 18)),
            ((1, 2), raw(2, b"", 65535)),
            ((1, 2), raw(4, b"x")), ((1, 2), raw(1, bytes(4100))), ((1, 2), raw(3, b"\1")),
            ((1, 3), raw(6, b"")),
            ((1, 3), raw(0, b"")), ((2, 1), raw(1, b"\3" + OPEN[1:] + b"\0")), ((2, 0), raw(1, OPEN +
             b"\5\2\1")),
            ((2, 0), raw(1, OPEN + b"\3\2\5\1")), ((2, 0), raw(1, OPEN + b"\5\2\3\1\1\0")),
            ((2, 0), raw(1, OPEN + b"\4\2\2\1\1")), ((2, 0), raw(1, OPEN + b"\7\2\5\x45\3\0\1\1")),
            ((2, 4), raw(1, OPEN + b"\3\1\1\0")), ((2, 0), raw(1, OPEN + b"\xff\xff\0")),
            ((3, 1), raw(2, b"\0\5\0\0")), ((3, 1), raw(2, b"\0\0\0\5\0")), ((3, 10), raw(2,
             b"\0\2\x21\1\0\0")),
            ((3, 10), raw(2, b"\0\0\0\0\x18\1\2")), ((7, 1), raw(5, b"\0\1\0\1\0")),
            ((7, 1), raw(5, b"\0\1")),
        ]  # fmt: skip
        for code, data in cases:
            with self.subTest(code=code, data=data[18:40]):
                with self.assertRaises(Wrong) as caught:
                    read(data)
                self.assertEqual((caught.exception.code, caught.exception.subcode), code)
                self.assertNotIn("error ", str(caught.exception)[:6])

    def test_lengths_by_what_was_agreed(self) -> None:
        """RFC 8654: long UPDATEs only where both sides said so; an OPEN never."""
        long = raw(
            2, b"\0\0" + (5000).to_bytes(2, "big") + b"\xd0\x20" + (4996).to_bytes(2, "big") + bytes(4996)
        )
        with self.assertRaises(Wrong):
            read(long)
        agreed = BOTH._replace(extended=True)
        self.assertEqual(wire.encode(read(long, agreed)[0], agreed), long)
        with self.assertRaises(Wrong):
            read(raw(1, bytes(5000)), agreed)

    def test_path_identifiers(self) -> None:
        data = raw(2, b"\0\0\0\0" + b"\0\0\0\7\x20\xc6\x33\x64\7")
        agreed = BOTH._replace(paths=frozenset((IPV4,)))
        self.assertEqual(read(data, agreed), [wire.Update(nlri=(HOST._replace(path=7),))])
        with self.assertRaises(Wrong):
            read(raw(2, b"\0\0\0\0" + b"\0\0\0\7"), agreed)


def seen(attributes_: list[Attribute], nlri: tuple[Nlri, ...] = (HOST,), agreed: Agreed = BOTH,
         internal: bool = False) -> attributes.Heard:  # fmt: skip
    return understand(wire.Update((), tuple(attributes_), nlri), agreed, internal)


ORIGIN, HOPS = Attribute(0x40, At.ORIGIN, b"\0"), Attribute(0x40, At.NEXT_HOP, HOP)
AS_PATH = Attribute(0x40, At.AS_PATH, b"\2\1" + (64500).to_bytes(4, "big"))
NEEDED = [ORIGIN, AS_PATH, HOPS]


class Attributes(unittest.TestCase):
    def test_what_is_sent_is_understood(self) -> None:
        for internal in (False, True):
            for as4 in (False, True):
                for less in (
                    (),
                    ("graceful_shutdown",),
                    ("med",),
                    ("prepend",),
                    ("graceful_shutdown", "med"),
                ):
                    for family, nlri, hop in ((IPV4, HOST, HOP), (IPV6, HOST6, HOP6)):
                        with self.subTest(internal=internal, as4=as4, less=less, family=family):
                            agreed = BOTH._replace(as4=as4)
                            route = Route(4200000000, HOP, internal, hop, less, 1000, 2)
                            data = wire.encode(announcement(route, (nlri,), family, agreed), agreed)
                            heard = understand(read(data, agreed)[0], agreed, internal)
                            self.assertEqual(
                                (heard.reached, heard.withdrawn, heard.faults), (((family, nlri),), (), ())
                            )
                            times = 0 if internal else 3 if "prepend" in less else 1
                            as_path = ((2, (4200000000,) * times),) if times else ()
                            self.assertEqual(heard.path, Path(
                                0, as_path, hop, 1000 if "med" in less else None,
                                (0 if less else 100) if internal else None,
                                (0xFFFF0000,) if "graceful_shutdown" in less else (),
                                ((4200000000, attributes.MARK, int.from_bytes(HOP, "big")),)))  # fmt: skip
                            gone = read(wire.encode(withdrawal((nlri,), family), agreed), agreed)[0]
                            self.assertEqual(understand(gone, agreed, internal).withdrawn, ((family, nlri),))

    def test_rfc_7606(self) -> None:
        """Each attribute: wrong flags, a value that is not sound, and what becomes of the UPDATE."""
        W, D = Way.WITHDRAW, Way.DISCARD
        bad: list[tuple[int, int, bytes, Way]] = [
            (At.ORIGIN, 0x40, b"", W), (At.ORIGIN, 0x40, b"\3", W), (At.ORIGIN, 0xC0, b"\0", W),
            (At.AS_PATH, 0x40, b"\2\2\0\0\0\1", W), (At.AS_PATH, 0x40, b"\5\1\0\0\0\1", W),
            (At.AS_PATH, 0x40, b"\2\0", W), (At.AS_PATH, 0x40, b"\2", W), (At.NEXT_HOP, 0x40, b"\1\2\3", W),
            (At.MED, 0x80, b"\0", W), (At.MED, 0x40, b"\0\0\0\1", W), (At.LOCAL_PREF, 0x40, b"\0", W),
            (At.ATOMIC_AGGREGATE, 0x40, b"\0", D), (At.AGGREGATOR, 0xC0, bytes(6), D),
            (At.COMMUNITIES, 0xC0, b"", W), (At.COMMUNITIES, 0xC0, bytes(5), W),
            (At.ORIGINATOR_ID, 0x80, b"\0", W),
            (At.CLUSTER_LIST, 0x80, b"", W), (At.EXTENDED_COMMUNITIES, 0xC0, bytes(7), W),
            (At.AS4_PATH, 0xC0, b"\2\0", D), (At.AS4_AGGREGATOR, 0xC0, bytes(7), D),
            (At.LARGE_COMMUNITIES, 0xC0, bytes(11), W),
        ]  # fmt: skip
        self.assertEqual({row[0] for row in bad} | {At.MP_REACH, At.MP_UNREACH}, set(attributes.RULES))
        for code, flags, value, way in bad:
            with self.subTest(code=At(code).name, value=value):
                others = [one for one in NEEDED if one.code != code]
                heard = seen([*others, Attribute(flags, code, value)], internal=True)
                self.assertEqual([fault[0] for fault in heard.faults], [way])
                gone, kept = (((IPV4, HOST),), ()) if way == W else ((), ((IPV4, HOST),))
                self.assertEqual((heard.withdrawn, heard.reached, heard.path is None), (gone, kept, way == W))

    def test_missing_repeated_foreign(self) -> None:
        for at, one in enumerate(NEEDED):
            heard = seen(NEEDED[:at] + NEEDED[at + 1 :])
            self.assertEqual((heard.reached, heard.withdrawn), ((), ((IPV4, HOST),)))
            self.assertEqual(heard.faults, ((Way.WITHDRAW, f"{At(one.code).name} is missing"),))
        twice = seen([*NEEDED, ORIGIN._replace(value=b"\1")])
        self.assertEqual((twice.path and twice.path.origin, twice.faults[0][0]), (0, Way.DISCARD))
        for code in (At.LOCAL_PREF, At.ORIGINATOR_ID):  # from an external peer: discarded, whatever it holds
            heard = seen([*NEEDED, Attribute(attributes.RULES[code].flags, code, b"")])
            self.assertEqual((heard.faults[0][0], heard.reached), (Way.DISCARD, ((IPV4, HOST),)))
        self.assertEqual(seen([*NEEDED, Attribute(0xC0, 99, b"?")]).faults, ())
        heard = understand(wire.Update((HOST,), tuple(NEEDED), (), b"\x40"), BOTH, False)
        self.assertEqual(heard.withdrawn, ((IPV4, HOST),))

    def test_what_ends_the_session(self) -> None:
        reach = bytes((0, 2, 1, 16)) + HOP6 + b"\0" + wire.prefix(HOST6)
        R, U = At.MP_REACH, At.MP_UNREACH
        cases = [
            ((3, 2), [*NEEDED, Attribute(0x40, 99, b"")]), ((3, 1), [Attribute(0x80, R, reach)] * 2),
            ((3, 4), [Attribute(0xC0, R, reach)]), ((3, 9), [Attribute(0x80, R, reach[:3])]),
            ((3, 9), [Attribute(0x80, R, bytes((0, 2, 1, 4)) + HOP + b"\0")]),
            ((3, 10), [Attribute(0x80, R, reach[:-2])]), ((3, 9), [Attribute(0x80, U, b"\0\2")]),
            ((3, 10), [Attribute(0x80, U, b"\0\2\1\xff")]), ((3, 1), [ORIGIN._replace(value=b"")]),
        ]  # fmt: skip
        for code, told in cases:
            with self.subTest(code=code, told=told[-1]), self.assertRaises(Wrong) as caught:
                seen(told, ())
            self.assertEqual((caught.exception.code, caught.exception.subcode), code)

    def test_end_of_rib_and_foreign_families(self) -> None:
        self.assertEqual(understand(wire.Update(), BOTH, False).end_of, IPV4)
        self.assertEqual(seen([Attribute(0x80, At.MP_UNREACH, b"\0\2\1")], ()).end_of, IPV6)
        odd = Attribute(0x80, At.MP_REACH, bytes((0, 25, 65, 4)) + HOP + b"\0junk")
        self.assertEqual(seen([odd, ORIGIN, AS_PATH], ()).reached, ())

    def test_as4_path_behind_an_old_speaker(self) -> None:
        """RFC 6793 section 4.2.3."""
        old = BOTH._replace(as4=False)
        short = Attribute(0x40, At.AS_PATH, b"\2\3" + b"\xfb\xf4\x5b\xa0\x5b\xa0")
        long = Attribute(0xC0, At.AS4_PATH, b"\2\2" + (70000).to_bytes(4, "big") + (70001).to_bytes(4, "big"))
        heard = seen([ORIGIN, short, HOPS, long], agreed=old)
        self.assertEqual(heard.path and heard.path.as_path, ((2, (64500,)), (2, (70000, 70001))))
        shorter = short._replace(value=b"\2\1\x5b\xa0")
        heard = seen([ORIGIN, shorter, HOPS, long], agreed=old)
        self.assertEqual(heard.path and heard.path.as_path, ((2, (23456,)),))


ANY_AGREED = st.sampled_from((
    Agreed(), BOTH, BOTH._replace(extended=True),
    BOTH._replace(as4=False, paths=frozenset((IPV4, IPV6)))))  # fmt: skip
GOOD = st.sampled_from([case[1] for case in Messages.cases])


class Fuzz(unittest.TestCase):
    """Bytes are read to values that are written to the same bytes, or to a named error.
    THYMEYOKE_FUZZ=200000 for a long run."""

    def settled(self, data: bytes, agreed: Agreed) -> None:
        try:
            for message in read(data, agreed):
                again = wire.encode(message, agreed)
                (same,) = read(again, agreed)
                self.assertEqual(same, message)
                self.assertEqual(wire.encode(same, agreed), again)
                if isinstance(message, wire.Update):
                    understand(message, agreed, False)
        except Wrong as error:
            self.assertIn(error.code, wire.GENERAL)
            self.assertLessEqual(
                len(wire.encode(wire.Notification(error.code, error.subcode, error.data))), 4096
            )

    @FUZZ
    @given(kind=st.integers(0, 7), body=st.binary(max_size=200), agreed=ANY_AGREED)
    def test_any_body(self, kind: int, body: bytes, agreed: Agreed) -> None:
        self.settled(raw(kind, body), agreed)

    @FUZZ
    @given(data=GOOD, at=st.integers(0, 300), byte=st.integers(0, 255), agreed=ANY_AGREED)
    def test_one_byte_changed(self, data: bytes, at: int, byte: int, agreed: Agreed) -> None:
        at %= len(data)
        self.settled(data[:at] + bytes((byte,)) + data[at + 1 :], agreed)

    @FUZZ
    @given(
        rows=st.lists(st.tuples(st.sampled_from((0x40, 0x80, 0xC0, 0xD0, 0x50)),
                                st.sampled_from([*attributes.RULES, 99]), st.binary(max_size=24)),
                      max_size=6),
        nlri=st.lists(st.integers(0, 32), max_size=3), internal=st.booleans(), agreed=ANY_AGREED,
    )  # fmt: skip
    def test_any_attributes(
        self, rows: list[tuple[int, int, bytes]], nlri: list[int], internal: bool, agreed: Agreed
    ) -> None:
        told = tuple(Attribute(*row) for row in rows)
        many = tuple(Nlri(bits, bytes(4), 1 if IPV4 in agreed.paths else None) for bits in nlri)
        data = wire.encode(wire.Update((), told, many), agreed)
        self.assertEqual(wire.encode(read(data, agreed)[0], agreed), data)
        try:
            heard = understand(read(data, agreed)[0], agreed, internal)
        except Wrong as error:
            self.assertEqual(error.code, wire.Code.UPDATE)
            return
        self.assertTrue(heard.path is not None or not heard.reached)
        self.assertEqual(
            max((way for way, _ in heard.faults), default=0) == Way.WITHDRAW and bool(heard.reached), False
        )
