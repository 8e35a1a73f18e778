"""Cases against the operators' file: what is taken, what is turned away in which words; the command line."""

from __future__ import annotations

import logging
import subprocess
import sys
import tempfile
import unittest
from ipaddress import ip_address, ip_network
from pathlib import Path

import orjson

from examples.toy import START
from thymeyoke.bgp.configuration import Announce, Peer
from thymeyoke.configuration import service_config
from thymeyoke.configuration.service_config import HostPort
from thymeyoke.ledger.configuration import Export, Ledger
from thymeyoke.membership.configuration import Members
from thymeyoke.migration.configuration import Moves
from thymeyoke.proxy.configuration import Node, Service
from thymeyoke.runtime import logs

GOOD = """
[announce]
as = 64512
id = 192.0.2.1
addresses = 198.51.100.7/32, 2001:db8::7/128
next_hop = 192.0.2.1, 2001:db8::1
least_others = 1
[announce.peer tor-1]
address = 127.0.0.1:1790
as = 64500
hold = 3
"""
PEER = "[announce.peer tor-1]"
BAD = [  # what is changed, into what, and what the one sentence then says behind the file's name
    ("hold = 3", "hold = 2", f"{PEER} hold: '2' can't be used; give whole seconds from 3 to 65535"),
    ("hold = 3", "hold = soon", f"{PEER} hold: 'soon' can't be used; give whole seconds from 3 to 65535"),
    ("hold = 3", "hodl = 3", f"{PEER} hodl: no such option; there are address, as, hold, min_ttl, passive, "
     "password, source"),
    ("hold = 3", "hold = 3\nhold = 4", f"{PEER} hold: stands twice; keep one"),
    ("hold = 3", PEER, f"{PEER} stands twice; give each its own name"),
    ("hold = 3", "[announce.peer  tor-1]", f"{PEER} stands twice; give each its own name"),
    ("hold = 3", "[announce.peer b]\naddress = 127.0.0.1:1790\nas = 1", "[announce.peer b] address: is "
     "that of "
     "peer tor-1 as well; give each peer its own"),
    ("hold = 3", "passive = true", f"{PEER} passive: needs a listener; give [announce] listen, or passive "
     f"= false"),
    ("hold = 3", "passive = maybe", f"{PEER} passive: 'maybe' can't be used; give true or false"),
    ("hold = 3", "source = ::1", f"{PEER} source: is not of the family of 127.0.0.1:1790; give an address "
     f"of that"),
    ("hold = 3", f"password = {'x' * 81}", f"{PEER} password: what is given can't be used; give 1 to 80 "
     f"characters"),
    ("hold = 3", "[ledgre]", "[ledgre] no such section; there are announce, ledger, members, moves, node"),
    ("hold = 3", "[announce.pear x]", "[announce.pear x] no such section; give [announce.peer NAME]"),
    ("as = 64500", "", f"{PEER} as: is missing; give an AS number from 1 to 4294967294"),
    ("as = 64512", "as = 0", "[announce] as: '0' can't be used; give an AS number from 1 to 4294967294"),
    ("127.0.0.1:1790", "localhost:179", f"{PEER} address: 'localhost:179' can't be used; give an IP "
     f"address and "
     "a port, as 192.0.2.9:179 or [2001:db8::9]:179"),
    ("id = 192.0.2.1", "id = 0.0.0.0", "[announce] id: '0.0.0.0' can't be used; give an IPv4 address "
     "other than "
     "0.0.0.0"),
    ("7/32", "7/24", "[announce] addresses: '198.51.100.7/24, 2001:db8::7/128' can't be used; give "
     "prefixes, host "
     "bits zero, separated by commas, as 198.51.100.7/32, 2001:db8::7/128"),
    ("7/32,", "7/32, 198.51.100.7/32,", "[announce] addresses: holds one address twice; keep one"),
    (", 2001:db8::1", "", "[announce] next_hop: has none for 2001:db8::7/128; add an IPv6 address"),
    (", 2001:db8::1", ", 192.0.2.2", "[announce] next_hop: holds two of one family; give one IP address "
     "for each "
     "family announced"),
    ("least_others = 1", "less = luck", "[announce] less: 'luck' can't be used; give one or more of "
     "graceful_shutdown, med, prepend"),
    (GOOD[GOOD.index("[announce.peer"):], "", "[announce] has no peer; add a section [announce.peer NAME]"),
    ("[announce]\n", "", "line 2 is invalid; write [section] lines, and option = value below them"),
    (GOOD[:GOOD.index("[announce.peer")], "", "[announce.peer tor-1] stands without [announce]; add that "
     "section"),
    (PEER, "[announce.peer b]\naddress = 127.0.0.1:2\nas = 1\npassive = yes\n" + PEER + "\npassive = yes",
     "[announce.peer b] passive: 'yes' can't be used; give true or false"),
    (PEER, "listen = 127.0.0.1:1\n[announce.peer b]\naddress = 127.0.0.1:2\nas = 1\npassive = true\n" + PEER
     + "\npassive = true", f"{PEER} passive: is true for peer b at the same IP address; only one can be"),
    ("[announce]\n", "[announc]\n", "[announc] no such section; there are announce, ledger, members, moves, "
     "node"),
]  # fmt: skip


A_NODE = """
[members]
address = 127.0.0.1:6101
others = 127.0.0.1:6102, 127.0.0.1:6103
[node]
name = node-1
connections = 64
[node.service shop]
address = 127.0.0.1:5001
[node.service bank]
address = 127.0.0.1:5002
standby = true
[moves]
act = recommend
"""
FLEET = ("thymeyoke.membership", "thymeyoke.affinity", "thymeyoke.migration", "thymeyoke.proxy")
SHOP, BANK = "[node.service shop]", "[node.service bank]"
BAD_NODES = [  # likewise
    ("connections = 64", "conections = 64", "[node] conections: no such option; there are connections, "
     "control, linger, name"),
    ("[moves]", "[node]", "[node] stands twice; give each its own name"),
    ("address = 127.0.0.1:5001", "", f"{SHOP} address: is missing; give an IP address and a port, as "
     "192.0.2.9:179 or [2001:db8::9]:179"),
    ("127.0.0.1:5001", "127.0.0.1:0", f"{SHOP} address: '127.0.0.1:0' can't be used; give an IP address and "
     "a port, as 192.0.2.9:179 or [2001:db8::9]:179"),
    ("127.0.0.1:5002", "127.0.0.1:5001", f"{BANK} address: is that of shop as well; give each its own"),
    (BANK, SHOP, f"{SHOP} stands twice; give each its own name"),
    (BANK, "[node.service]", "[node.service] no such section; give [node.service TENANT]"),
    (BANK, "[node.tenant x]", "[node.tenant x] no such section; give [node.service TENANT]"),
    (BANK, f"[node.service {'x' * 65}]", f"[node.service {'x' * 65}] names a tenant of over 64 characters; "
     "give a shorter name"),
    ("standby = true", "standby = perhaps", f"{BANK} standby: 'perhaps' can't be used; give true or false"),
    ("name = node-1", "name = node\u00a01", "[node] name: 'node\\xa01' can't be printed; leave such "
     "characters out"),
    (BANK, "[node.service ba\u200bnk]", "[node.service ba\u200bnk] names a tenant 'ba\\u200bnk' that "
     "can't be printed; leave such characters out"),
    (BANK, "".join(f"[node.service t{at}]\naddress = 127.0.0.1:{7000 + at}\n" for at in range(1024)) + BANK,
     "[node] holds 1025 tenants; give at most 1024 services without standby = true"),
    ("name = node-1", "", "[node] name: is missing; give 1 to 64 characters"),
    ("= 64", "= 0", "[node] connections: '0' can't be used; give a whole number from 1 to 1000000"),
    ("= 64", "= 64\nlinger = 0", "[node] linger: '0' can't be used; give seconds, more than 0 and at "
     "most 3600"),
    (A_NODE[:A_NODE.index("[node]")], "", "[node] needs to know who is there; add a section [members]"),
    (A_NODE[A_NODE.index(SHOP):], "", "[node] has no service; add a section [node.service TENANT]"),
    (A_NODE[A_NODE.index("[node]"):A_NODE.index("[moves]")], "",
     "[moves] is for a node; add a section [node]"),
    ("act = recommend", "act = now", "[moves] act: 'now' can't be used; give one of recommend, move"),
    ("act = recommend", "uneven = 1", "[moves] uneven: '1' can't be used; give a ratio, more than 1 and "
     "at most 100"),
    ("[moves]", "[moves.fast]\n[moves]", "[moves.fast] no such section; give [moves] alone"),
    ("[members]", "[members.more]\n[members]", "[members.more] no such section; give [members] alone"),
    ("6102", "6101", "[members] others: holds this process's own address 127.0.0.1:6101; leave it out"),
    ("6103", "6102", "[members] others: holds one address twice; keep one"),
    ("127.0.0.1:6101\n", "localhost:1\n", "[members] address: 'localhost:1' can't be used; give an IP "
     "address and a port, as 192.0.2.9:179 or [2001:db8::9]:179"),
]  # fmt: skip


def written(text: str | bytes) -> Path:
    with tempfile.NamedTemporaryFile("wb", suffix=".ini", delete=False) as file:
        file.write(text if isinstance(text, bytes) else text.encode())
    return Path(file.name)


class Orders(unittest.TestCase):
    def read(self, text: str | bytes) -> service_config.ServiceConfig:
        path = written(text)
        self.addCleanup(path.unlink)
        self.path = path
        return service_config.read_service_config(path)

    def test_a_good_file_is_typed_values(self) -> None:
        peer = Peer("tor-1", HostPort.parse("127.0.0.1:1790"), 64500, 3)
        addresses = (ip_network("198.51.100.7/32"), ip_network("2001:db8::7/128"))
        hops = (ip_address("192.0.2.1"), ip_address("2001:db8::1"))
        self.assertEqual(
            self.read(GOOD), {"announce": Announce(64512, ip_address("192.0.2.1"), addresses, hops, (peer,))}
        )
        self.assertEqual(self.read(""), {})

    def test_the_file_that_is_shipped_is_all_off_and_good_when_on(self) -> None:
        shipped = Path(__file__).parents[1] / "deploy" / "service.ini"
        self.assertEqual(service_config.read_service_config(shipped), {})
        on = "\n".join(line.removeprefix("; ") for line in shipped.read_text().splitlines())
        read = self.read(on)["announce"]
        defaults = {
            name: getattr(read, name) for name in ("least_others", "less", "med", "settle", "changes")
        }
        self.assertEqual(
            defaults,
            {
                "least_others": 1,
                "less": ("graceful_shutdown", "med"),
                "med": 1000,
                "settle": 1.0,
                "changes": 6,
            },
        )
        kinds = (Announce, Peer, Ledger, Export, Members, Node, Service, Moves)
        every = {field for kind in kinds for field in kind.__struct_encode_fields__}
        every -= {"name", "peers", "rise", "services", "tenant"}
        self.assertEqual({name for name in every if f"; {name} = " not in shipped.read_text()}, set())

    def test_a_node_is_typed_values(self) -> None:
        told = self.read(A_NODE)
        at = [HostPort.parse(f"127.0.0.1:{port}") for port in (5001, 5002, 6101, 6102, 6103)]
        services = (Service("shop", at[0]), Service("bank", at[1], True))
        self.assertEqual(told, {
            "members": Members(at[2], (at[3], at[4])), "moves": Moves(),
            "node": Node("node-1", services, 64)})  # fmt: skip

    def test_what_cannot_be_taken_is_one_sentence(self) -> None:
        for good, rows in ((GOOD, BAD), (A_NODE, BAD_NODES)):
            for old, new, said in rows:
                self.assertIn(old, good)
                with self.subTest(new=new[-60:]):
                    with self.assertRaises(service_config.ServiceConfigError) as caught:
                        self.read(good.replace(old, new, 1))
                    self.words(str(caught.exception), said)
        for garbage in (b"\xff\xfe", b"no section\n", b"[announce\n", b"[announce]\nas\n"):
            with self.subTest(garbage=garbage):
                with self.assertRaises(service_config.ServiceConfigError) as caught:
                    self.read(garbage)
                self.words(str(caught.exception))
        with self.assertRaisesRegex(service_config.ServiceConfigError, "cannot be read: No such file"):
            service_config.read_service_config(Path("/nonexistent/service.ini"))

    def words(self, text: str, said: str | None = None) -> None:
        self.assertTrue(text.startswith(f"{self.path}: "), text)
        self.assertNotIn("\n", text)
        if said:
            self.assertEqual(text.removeprefix(f"{self.path}: "), said)

    def run_it(self, *command: str) -> subprocess.CompletedProcess[str]:
        return subprocess.run(
            [sys.executable, "-m", "thymeyoke", *command], capture_output=True, text=True, timeout=20
        )

    def test_the_command_line(self) -> None:
        good, bad = written(GOOD), written(GOOD.replace("hold = 3", "hold = 1"))
        self.addCleanup(good.unlink)
        self.addCleanup(bad.unlink)
        done = self.run_it("check", "--config", str(START), "--service-config", str(good))
        self.assertEqual((done.returncode, done.stderr), (0, ""))
        self.assertIn("announces 198.51.100.7/32, 2001:db8::7/128 as AS 64512, 192.0.2.1\n", done.stdout)
        sentence = f"Error: {bad}: {PEER} hold: '1' can't be used; give whole seconds from 3 to 65535\n"
        for command in ("check", "serve"):
            done = self.run_it(command, "--config", str(START), "--service-config", str(bad))
            self.assertEqual((done.returncode, done.stdout, done.stderr), (2, "", sentence))
        done = self.run_it("announce", "show", "--control", "/nonexistent/socket")
        self.assertEqual((done.returncode, done.stdout), (1, ""))
        self.assertRegex(
            done.stderr, "^Error: no server with .announce. answers at /nonexistent/socket .*\n$"
        )

    def test_a_node_s_file_on_the_command_line(self) -> None:
        good = written(A_NODE)
        self.addCleanup(good.unlink)
        done = self.run_it("check", "--service-config", str(good))
        self.assertEqual((done.returncode, done.stderr), (0, ""))
        self.assertIn("is node node-1, 64 connections, seats outlive them by 17.6 s\n", done.stdout)
        self.assertIn("serves shop at 127.0.0.1:5001, bank at 127.0.0.1:5002 (standby)\n", done.stdout)
        self.assertEqual(self.run_it("check").returncode, 2)
        wrong_use = {  # commands and exit codes: a node's file is none of an app server's
            ("check", "--config", str(START)): 2, ("serve", "--config", str(START)): 2}  # fmt: skip
        for command, code in wrong_use.items():
            done = self.run_it(*command, "--service-config", str(good))
            self.assertEqual((done.returncode, done.stdout), (code, ""))
            self.assertIn("is for a node, started by `thymeyoke node`", done.stderr)
        for text, said in (
            (GOOD, "has no [node]; add it, or start an app server with `thymeyoke serve`"),
            (A_NODE + "[ledger]\npath = /tmp/x", "[ledger] is for an app server, started by `thymeyoke "
             "serve`; a node has none"),
            (A_NODE.replace("= 64", "= 1000000"), None),
            (A_NODE.replace("name", "nmae"), "[node] nmae: no such option; there are connections, control, "
             "linger, name"),
        ):  # fmt: skip
            bad = written(text)
            self.addCleanup(bad.unlink)
            for command in ("node", "check"):
                if command == "check" and text is GOOD:
                    continue
                with self.subTest(command=command, said=said):
                    done = self.run_it(command, "--service-config", str(bad))
                    self.assertEqual((done.returncode, done.stdout), (1, ""))
                    sentence = done.stderr.removeprefix("Error: ")
                    self.path = bad
                    self.words(sentence.rstrip("\n"), said)
                    if said is None:
                        self.assertRegex(
                            sentence, r"connections: 1000000 need \d+ descriptors, and this process may"
                        )

    def test_what_is_off_is_not_imported(self) -> None:
        """Without a file none of it; with one section none of the others."""
        cases = {
            "thymeyoke.__main__, thymeyoke.server.lifecycle": (
                "thymeyoke.bgp",
                "thymeyoke.ledger",
                *FLEET,
                "thymeyoke.configuration.service_config",
                "thymeyoke.runtime.status_socket",
                "sqlite3",
                "google",
                "msgspec",
                "configparser",
            ),
            "thymeyoke.ledger.usage_recorder": ("thymeyoke.bgp", *FLEET),
            "thymeyoke.bgp.advertiser": ("thymeyoke.ledger", *FLEET, "sqlite3", "google"),
            "thymeyoke.membership.extension": ("thymeyoke.bgp", "thymeyoke.ledger", *FLEET[1:], "sqlite3"),
            "thymeyoke.proxy.process": (
                "thymeyoke.bgp",
                "thymeyoke.ledger",
                "thymeyoke.migration",
                "sqlite3",
            ),
        }
        for loaded, off in cases.items():
            code = f"import sys, {loaded}; print([name for name in sys.modules if name.startswith({off})])"
            done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, timeout=20)
            self.assertEqual(done.stdout, "[]\n", (loaded, done.stderr))


class Lines(unittest.TestCase):
    def test_both_forms_say_the_same(self) -> None:
        def line(form: logging.Formatter) -> str:
            record = logging.LogRecord("thymeyoke", logging.INFO, "", 0, "up", None, None)
            record.created, record.fields = 12.5, {"age": 0.25, "name": 'a "b"\nc', "port": 7}
            return form.format(record)

        self.assertEqual(
            line(logs.KeyValueFormatter()), "at=12.500 level=info event=up age=0.25 name=\"a 'b'\\nc\" port=7"
        )
        self.assertEqual(
            orjson.loads(line(logs.JsonFormatter())),
            {"at": 12.5, "level": "info", "event": "up", "age": 0.25, "name": 'a "b"\nc', "port": 7},
        )
