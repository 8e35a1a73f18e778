"""Tests of the BGP codec: examples from the RFCs, each error it can raise, the rules of RFC 7606, and
fuzzing."""

from __future__ import annotations

import os
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from thymeyoke.bgp import attributes, wire
from thymeyoke.bgp.attributes import (
    AttributeCode,
    ErrorAction,
    Path,
    Route,
    advertisement,
    interpret_update,
    withdrawal,
)
from thymeyoke.bgp.wire import (
    IPV4,
    IPV6,
    Attribute,
    Capability,
    CapabilityCode,
    NegotiatedOptions,
    Nlri,
    ProtocolError,
)

BOTH = NegotiatedOptions(four_byte_as=True, families=frozenset((IPV4, IPV6)))
MARKER = b"\xff" * 16
HOST = Nlri(32, bytes((198, 51, 100, 7)))
HOST6 = Nlri(128, bytes.fromhex("20010db8000000000000000000000007"))
HOP, HOP6 = bytes((192, 0, 2, 1)), bytes.fromhex("20010db8000000000000000000000001")
LONG = int(os.environ.get("THYMEYOKE_FUZZ", "0"))  # examples; without it a short deterministic run
FUZZ = settings(max_examples=LONG or 300, derandomize=not LONG, deadline=None, database=None)


def raw(kind: int, body: bytes, length: int | None = None, marker: bytes = MARKER) -> bytes:
    return marker + (19 + len(body) if length is None else length).to_bytes(2, "big") + bytes((kind,)) + body


def read(data: bytes, negotiated: NegotiatedOptions = BOTH) -> list[wire.Message]:
    reader = wire.MessageReader()
    reader.negotiated = negotiated
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
        ("shutdown", raw(3, b"\6\2\3bye"), wire.shutdown_notification("bye")),
        ("refresh", raw(5, b"\0\2\0\1"), wire.RouteRefresh(IPV6)),
        ("its beginning", raw(5, b"\0\1\1\1"), wire.RouteRefresh(IPV4, 1)),
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
            reader = wire.MessageReader()
            pieces = [data[at : at + size] for at in range(0, len(data), size)]
            self.assertEqual([message for piece in pieces for message in reader.feed(piece)], whole)
            self.assertFalse(reader.has_partial_message())

    def test_extended_optional_parameters(self) -> None:
        """RFC 9072: for more than 255 bytes, and if a peer uses the long form for fewer."""
        many = tuple(Capability(200 + at, bytes(60)) for at in range(5))
        said = wire.Open(65000, 3, bytes((192, 0, 2, 9)), many)
        data = wire.encode(said)
        self.assertEqual(data[28:30], b"\xff\xff")
        self.assertEqual(read(data), [said])
        short = raw(1, OPEN + b"\xff\xff\0\5\2\0\2\2\0")
        self.assertEqual(read(short), [said._replace(capabilities=(Capability(2, b""),))])

    def test_what_an_open_says(self) -> None:
        caps = (
            Capability(CapabilityCode.MULTIPROTOCOL, bytes((0, 2, 0, 1))),
            Capability(CapabilityCode.AS4, (4200000000).to_bytes(4, "big")),
            Capability(CapabilityCode.ADD_PATH, bytes((0, 1, 1, 2, 0, 2, 1, 3))),
        )  # fmt: skip
        said = wire.Open(wire.AS_TRANS, 3, HOP, caps)
        self.assertEqual((said.as_, said.families), (4200000000, frozenset((IPV6,))))
        self.assertEqual(
            (said.add_path_families_of(1), said.add_path_families_of(2)),
            (frozenset((IPV6,)), frozenset((IPV4, IPV6))),
        )
        self.assertEqual(wire.Open(65000, 3, HOP).families, frozenset((IPV4,)))
        ours = wire.Open(1, 3, HOP, (
            Capability(1, bytes((0, 1, 0, 1))), Capability(1, bytes((0, 2, 0, 1))),
            Capability(CapabilityCode.ADD_PATH, bytes((0, 2, 1, 1)))))  # fmt: skip
        negotiated = wire.negotiate(ours, said)
        self.assertEqual(
            (negotiated.families, negotiated.add_path_families, negotiated.four_byte_as),
            (frozenset((IPV6,)), frozenset((IPV6,)), False),
        )

    def test_shutdown_communication(self) -> None:
        """RFC 9003: at most 255 bytes, cut between characters; a truncated text is ignored."""
        self.assertEqual(wire.shutdown_notification("abc").text, "abc")
        self.assertEqual(wire.shutdown_notification("é" * 200).text, "é" * 127)
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
                with self.assertRaises(ProtocolError) as caught:
                    read(data)
                self.assertEqual((caught.exception.code, caught.exception.subcode), code)
                self.assertNotIn("error ", str(caught.exception)[:6])

    def test_lengths_by_what_was_agreed(self) -> None:
        """RFC 8654: long UPDATEs only if both sides support them; an OPEN never."""
        long = raw(
            2, b"\0\0" + (5000).to_bytes(2, "big") + b"\xd0\x20" + (4996).to_bytes(2, "big") + bytes(4996)
        )
        with self.assertRaises(ProtocolError):
            read(long)
        negotiated = BOTH._replace(extended_messages=True)
        self.assertEqual(wire.encode(read(long, negotiated)[0], negotiated), long)
        with self.assertRaises(ProtocolError):
            read(raw(1, bytes(5000)), negotiated)

    def test_path_identifiers(self) -> None:
        data = raw(2, b"\0\0\0\0" + b"\0\0\0\7\x20\xc6\x33\x64\7")
        negotiated = BOTH._replace(add_path_families=frozenset((IPV4,)))
        self.assertEqual(read(data, negotiated), [wire.Update(nlri=(HOST._replace(path_id=7),))])
        with self.assertRaises(ProtocolError):
            read(raw(2, b"\0\0\0\0" + b"\0\0\0\7"), negotiated)


def seen(attributes_: list[Attribute], nlri: tuple[Nlri, ...] = (HOST,), negotiated: NegotiatedOptions = BOTH,
         internal: bool = False) -> attributes.ReceivedUpdate:  # fmt: skip
    return interpret_update(wire.Update((), tuple(attributes_), nlri), negotiated, internal)


ORIGIN, HOPS = Attribute(0x40, AttributeCode.ORIGIN, b"\0"), Attribute(0x40, AttributeCode.NEXT_HOP, HOP)
AS_PATH = Attribute(0x40, AttributeCode.AS_PATH, b"\2\1" + (64500).to_bytes(4, "big"))
NEEDED = [ORIGIN, AS_PATH, HOPS]


class Attributes(unittest.TestCase):
    def test_what_is_sent_is_understood(self) -> None:
        for internal in (False, True):
            for four_byte_as in (False, True):
                for less in (
                    (),
                    ("graceful_shutdown",),
                    ("med",),
                    ("prepend",),
                    ("graceful_shutdown", "med"),
                ):
                    for family, nlri, hop in ((IPV4, HOST, HOP), (IPV6, HOST6, HOP6)):
                        with self.subTest(
                            internal=internal, four_byte_as=four_byte_as, less=less, family=family
                        ):
                            negotiated = BOTH._replace(four_byte_as=four_byte_as)
                            route = Route(4200000000, HOP, internal, hop, less, 1000, 2)
                            data = wire.encode(advertisement(route, (nlri,), family, negotiated), negotiated)
                            heard = interpret_update(read(data, negotiated)[0], negotiated, internal)
                            self.assertEqual(
                                (heard.advertised, heard.withdrawn, heard.faults), (((family, nlri),), (), ())
                            )
                            times = 0 if internal else 3 if "prepend" in less else 1
                            as_path = ((2, (4200000000,) * times),) if times else ()
                            self.assertEqual(
                                heard.path,
                                Path(
                                    0,
                                    as_path,
                                    hop,
                                    1000 if "med" in less else None,
                                    (0 if less else 100) if internal else None,
                                    (0xFFFF0000,) if "graceful_shutdown" in less else (),
                                    (
                                        (
                                            4200000000,
                                            attributes.INSTANCE_COMMUNITY,
                                            int.from_bytes(HOP, "big"),
                                        ),
                                    ),
                                ),
                            )
                            gone = read(wire.encode(withdrawal((nlri,), family), negotiated), negotiated)[0]
                            self.assertEqual(
                                interpret_update(gone, negotiated, internal).withdrawn, ((family, nlri),)
                            )

    def test_rfc_7606(self) -> None:
        """Each attribute with wrong flags or an invalid value, and the resulting action."""
        W, D = ErrorAction.WITHDRAW, ErrorAction.DISCARD
        bad: list[tuple[int, int, bytes, ErrorAction]] = [
            (AttributeCode.ORIGIN, 0x40, b"", W),
            (AttributeCode.ORIGIN, 0x40, b"\3", W),
            (AttributeCode.ORIGIN, 0xC0, b"\0", W),
            (AttributeCode.AS_PATH, 0x40, b"\2\2\0\0\0\1", W),
            (AttributeCode.AS_PATH, 0x40, b"\5\1\0\0\0\1", W),
            (AttributeCode.AS_PATH, 0x40, b"\2\0", W),
            (AttributeCode.AS_PATH, 0x40, b"\2", W),
            (AttributeCode.NEXT_HOP, 0x40, b"\1\2\3", W),
            (AttributeCode.MED, 0x80, b"\0", W),
            (AttributeCode.MED, 0x40, b"\0\0\0\1", W),
            (AttributeCode.LOCAL_PREF, 0x40, b"\0", W),
            (AttributeCode.ATOMIC_AGGREGATE, 0x40, b"\0", D),
            (AttributeCode.AGGREGATOR, 0xC0, bytes(6), D),
            (AttributeCode.COMMUNITIES, 0xC0, b"", W),
            (AttributeCode.COMMUNITIES, 0xC0, bytes(5), W),
            (AttributeCode.ORIGINATOR_ID, 0x80, b"\0", W),
            (AttributeCode.CLUSTER_LIST, 0x80, b"", W),
            (AttributeCode.EXTENDED_COMMUNITIES, 0xC0, bytes(7), W),
            (AttributeCode.AS4_PATH, 0xC0, b"\2\0", D),
            (AttributeCode.AS4_AGGREGATOR, 0xC0, bytes(7), D),
            (AttributeCode.LARGE_COMMUNITIES, 0xC0, bytes(11), W),
        ]
        self.assertEqual(
            {row[0] for row in bad} | {AttributeCode.MP_REACH, AttributeCode.MP_UNREACH},
            set(attributes.ATTRIBUTE_RULES),
        )
        for code, flags, value, way in bad:
            with self.subTest(code=AttributeCode(code).name, value=value):
                others = [one for one in NEEDED if one.code != code]
                heard = seen([*others, Attribute(flags, code, value)], internal=True)
                self.assertEqual([fault[0] for fault in heard.faults], [way])
                gone, kept = (((IPV4, HOST),), ()) if way == W else ((), ((IPV4, HOST),))
                self.assertEqual(
                    (heard.withdrawn, heard.advertised, heard.path is None), (gone, kept, way == W)
                )

    def test_missing_repeated_foreign(self) -> None:
        for at, one in enumerate(NEEDED):
            heard = seen(NEEDED[:at] + NEEDED[at + 1 :])
            self.assertEqual((heard.advertised, heard.withdrawn), ((), ((IPV4, HOST),)))
            self.assertEqual(
                heard.faults, ((ErrorAction.WITHDRAW, f"{AttributeCode(one.code).name} is missing"),)
            )
        twice = seen([*NEEDED, ORIGIN._replace(value=b"\1")])
        self.assertEqual((twice.path and twice.path.origin, twice.faults[0][0]), (0, ErrorAction.DISCARD))
        for code in (
            AttributeCode.LOCAL_PREF,
            AttributeCode.ORIGINATOR_ID,
        ):  # discarded from an external peer
            heard = seen([*NEEDED, Attribute(attributes.ATTRIBUTE_RULES[code].flags, code, b"")])
            self.assertEqual((heard.faults[0][0], heard.advertised), (ErrorAction.DISCARD, ((IPV4, HOST),)))
        self.assertEqual(seen([*NEEDED, Attribute(0xC0, 99, b"?")]).faults, ())
        heard = interpret_update(wire.Update((HOST,), tuple(NEEDED), (), b"\x40"), BOTH, False)
        self.assertEqual(heard.withdrawn, ((IPV4, HOST),))

    def test_what_ends_the_session(self) -> None:
        reach = bytes((0, 2, 1, 16)) + HOP6 + b"\0" + wire.encode_prefix(HOST6)
        R, U = AttributeCode.MP_REACH, AttributeCode.MP_UNREACH
        cases = [
            ((3, 2), [*NEEDED, Attribute(0x40, 99, b"")]), ((3, 1), [Attribute(0x80, R, reach)] * 2),
            ((3, 4), [Attribute(0xC0, R, reach)]), ((3, 9), [Attribute(0x80, R, reach[:3])]),
            ((3, 9), [Attribute(0x80, R, bytes((0, 2, 1, 4)) + HOP + b"\0")]),
            ((3, 10), [Attribute(0x80, R, reach[:-2])]), ((3, 9), [Attribute(0x80, U, b"\0\2")]),
            ((3, 10), [Attribute(0x80, U, b"\0\2\1\xff")]), ((3, 1), [ORIGIN._replace(value=b"")]),
        ]  # fmt: skip
        for code, told in cases:
            with self.subTest(code=code, told=told[-1]), self.assertRaises(ProtocolError) as caught:
                seen(told, ())
            self.assertEqual((caught.exception.code, caught.exception.subcode), code)

    def test_end_of_rib_and_foreign_families(self) -> None:
        self.assertEqual(interpret_update(wire.Update(), BOTH, False).end_of_rib, IPV4)
        self.assertEqual(seen([Attribute(0x80, AttributeCode.MP_UNREACH, b"\0\2\1")], ()).end_of_rib, IPV6)
        odd = Attribute(0x80, AttributeCode.MP_REACH, bytes((0, 25, 65, 4)) + HOP + b"\0junk")
        self.assertEqual(seen([odd, ORIGIN, AS_PATH], ()).advertised, ())

    def test_as4_path_behind_an_old_speaker(self) -> None:
        """RFC 6793 section 4.2.3."""
        old = BOTH._replace(four_byte_as=False)
        short = Attribute(0x40, AttributeCode.AS_PATH, b"\2\3" + b"\xfb\xf4\x5b\xa0\x5b\xa0")
        long = Attribute(
            0xC0, AttributeCode.AS4_PATH, b"\2\2" + (70000).to_bytes(4, "big") + (70001).to_bytes(4, "big")
        )
        heard = seen([ORIGIN, short, HOPS, long], negotiated=old)
        self.assertEqual(heard.path and heard.path.as_path, ((2, (64500,)), (2, (70000, 70001))))
        shorter = short._replace(value=b"\2\1\x5b\xa0")
        heard = seen([ORIGIN, shorter, HOPS, long], negotiated=old)
        self.assertEqual(heard.path and heard.path.as_path, ((2, (23456,)),))


ANY_AGREED = st.sampled_from((
    NegotiatedOptions(), BOTH, BOTH._replace(extended_messages=True),
    BOTH._replace(four_byte_as=False, add_path_families=frozenset((IPV4, IPV6)))))  # fmt: skip
GOOD = st.sampled_from([case[1] for case in Messages.cases])


class Fuzz(unittest.TestCase):
    """Bytes decode to values that encode to the same bytes, or to a known error.

    THYMEYOKE_FUZZ=200000 for a long run.
    """

    def settled(self, data: bytes, negotiated: NegotiatedOptions) -> None:
        try:
            for message in read(data, negotiated):
                again = wire.encode(message, negotiated)
                (same,) = read(again, negotiated)
                self.assertEqual(same, message)
                self.assertEqual(wire.encode(same, negotiated), again)
                if isinstance(message, wire.Update):
                    interpret_update(message, negotiated, False)
        except ProtocolError as error:
            self.assertIn(error.code, wire.CODE_NAMES)
            self.assertLessEqual(
                len(wire.encode(wire.Notification(error.code, error.subcode, error.data))), 4096
            )

    @FUZZ
    @given(kind=st.integers(0, 7), body=st.binary(max_size=200), negotiated=ANY_AGREED)
    def test_any_body(self, kind: int, body: bytes, negotiated: NegotiatedOptions) -> None:
        self.settled(raw(kind, body), negotiated)

    @FUZZ
    @given(data=GOOD, at=st.integers(0, 300), byte=st.integers(0, 255), negotiated=ANY_AGREED)
    def test_one_byte_changed(self, data: bytes, at: int, byte: int, negotiated: NegotiatedOptions) -> None:
        at %= len(data)
        self.settled(data[:at] + bytes((byte,)) + data[at + 1 :], negotiated)

    @FUZZ
    @given(
        rows=st.lists(st.tuples(st.sampled_from((0x40, 0x80, 0xC0, 0xD0, 0x50)),
                                st.sampled_from([*attributes.ATTRIBUTE_RULES, 99]), st.binary(max_size=24)),
                      max_size=6),
        nlri=st.lists(st.integers(0, 32), max_size=3), internal=st.booleans(), negotiated=ANY_AGREED,
    )  # fmt: skip
    def test_any_attributes(
        self,
        rows: list[tuple[int, int, bytes]],
        nlri: list[int],
        internal: bool,
        negotiated: NegotiatedOptions,
    ) -> None:
        told = tuple(Attribute(*row) for row in rows)
        many = tuple(
            Nlri(bits, bytes(4), 1 if IPV4 in negotiated.add_path_families else None) for bits in nlri
        )
        data = wire.encode(wire.Update((), told, many), negotiated)
        self.assertEqual(wire.encode(read(data, negotiated)[0], negotiated), data)
        try:
            heard = interpret_update(read(data, negotiated)[0], negotiated, internal)
        except ProtocolError as error:
            self.assertEqual(error.code, wire.ErrorCode.UPDATE)
            return
        self.assertTrue(heard.path is not None or not heard.advertised)
        self.assertEqual(
            max((way for way, _ in heard.faults), default=0) == ErrorAction.WITHDRAW
            and bool(heard.advertised),
            False,
        )
