"""Drills: noise at the members' ports and at the services, and a bad file. Nobody loses a seat through it."""

from __future__ import annotations

import time
from contextlib import suppress
from random import Random

import anyio

from examples.fakes import LOST
from fakes.processes import AGAIN, TERM, Drill
from tests.fault_injection.play import Drills, fleet
from tests.fault_injection.test_membership import found_dead
from thymeyoke.membership import wire
from thymeyoke.membership.failure_detector import Announcement, SnapshotLayer
from thymeyoke.membership.gossip import Accusation, Message, MessageKind, Verdict
from thymeyoke.membership.view import Load, Snapshot, State

ADDRESS = "127.0.0.1:9"
TOMORROW = int((time.time() + 2 * 86400) * 1000)


def letter(snapshot: Snapshot, about: tuple[Snapshot, ...] = (), fleet: str = "drill", **head: str) -> bytes:
    """A whole message of members; what it says of itself and of others may be anything."""
    said = tuple(Announcement(one, 0.0, SnapshotLayer.FIGURES | SnapshotLayer.DETAIL) for one in about)
    rumours = tuple(Accusation(one.name, one.incarnation, 0, Verdict.DEAD, snapshot.name) for one in about)
    message = Message(
        MessageKind.PUSH,
        Announcement(snapshot, 0.0, SnapshotLayer.FIGURES | SnapshotLayer.DETAIL),
        1.0,
        1,
        "",
        said,
        rumours,
    )
    badge = wire.Credentials(
        fleet, b"", head.get("name", snapshot.name), head.get("address", snapshot.address)
    )
    return wire.encode_notifications(wire.CHANNEL, wire.encode(message), badge)


def noise(rng: Random) -> dict[str, bytes]:
    """What is said at a members' port, each on a connection of its own."""

    def one(name: str = "stranger", **fields: object) -> Snapshot:
        usual = {"node": True, "incarnation": int(time.time() * 1000), "sequence": 1, "state": State.SERVING}
        return Snapshot(name=name, **(usual | {"address": ADDRESS} | fields))  # type: ignore[arg-type]

    return {
        "octets": rng.randbytes(4000),
        "HTTP": b"GET / HTTP/1.1\r\nHost: x\r\n\r\n",
        "a body of 4 GiB": b"\x93\x02\xa7members\x91\xc6\xff\xff\xff\xff" + b"x" * 100,
        "an array of 4 G": b"\xdd\xff\xff\xff\xff",
        "arrays in arrays": b"\x91" * 20_000,
        "half a message": letter(one())[:-7],
        "another fleet": letter(one(), fleet="other"),
        "negative figures": letter(one(connections=-5, room=-1, since=-1.0)),
        "huge figures": letter(one(connections=1 << 62, opened=1e300)),
        "loads that can't be": letter(one(loads=(Load("north", 5, 0.0, 50),), connections=5)),
        "from tomorrow": letter(one(incarnation=TOMORROW)),
        "s1 from tomorrow": letter(one("s1", node=False, incarnation=TOMORROW, serves=ADDRESS)),
        "s1 from elsewhere": letter(one("s1", node=False, serves=ADDRESS)),
        "a sender that is another": letter(one(), name="node-1"),
        "dead by a stranger": letter(one(), (one("s1", incarnation=1), one("s2", sequence=1 << 60))),
        "no address": letter(one(address="nowhere", name="nobody")),
        "seats of a stranger": wire.encode_notifications(
            "seats", rng.randbytes(300), wire.Credentials("drill", b"", "stranger", ADDRESS)),
        "a word that nobody has": wire.encode_notifications(
            "hello", b"", wire.Credentials("drill", b"", "stranger", ADDRESS)),
    }  # fmt: skip


async def say(host: str, port: int, data: bytes, stay: float = 0.0) -> None:
    with suppress(OSError, *LOST):
        async with await anyio.connect_tcp(host, port) as stream:
            await stream.send(data)
            await anyio.sleep(stay)


class BadInput(Drills):
    async def test_noise_takes_no_seat(self) -> None:
        async with fleet(61) as (here, crowd):
            since, rng = time.time(), Random(here.seed)
            for what, data in noise(rng).items():
                here.step(what)
                async with anyio.create_task_group() as tasks:
                    for one in here.all.values():
                        for _ in range(3):
                            tasks.start_soon(say, "127.0.0.1", one.members, data, 0.1)
            here.step("noise at a service")
            for node in here.nodes:
                for tenant, port in node.services.items():
                    for data in (rng.randbytes(4000), b"\xdd\xff\xff\xff\xff", b""):
                        await say(here.address(tenant), port, data)
            await crowd.answered(6)
            self.keeps(crowd, since)
            self.assertEqual([pair for pair in found_dead(here, since) if pair[1] in here.all], [])
            await self.ends(crowd)
            await self.counted(here)

    async def counted(self, here: Drill) -> None:
        """All processes are there, and each counted what it dropped."""
        for one in here.all.values():
            one.signal(TERM)
        for one in here.all.values():
            self.assertEqual(await one.gone(), 0)
            counts = one.said("counters")[-1]
            for name in ("members_bad_frame", "members_other_fleet", "members_snapshots_dropped"):
                self.assertGreater(counts.get(name, 0), 0, f"{one.name}: {name}")
            self.assertEqual([line for line in one.lines() if line.get("level") == "error"], [])

    async def test_a_bad_file_at_sighup_changes_nothing(self) -> None:
        async with fleet(62, customers=12) as (here, crowd):
            since, node = time.time(), here["node-1"]
            orders = here.folder / "node-1.ini"
            good = orders.read_text()
            for bad in (
                good.replace("[node]", "[node]\nlingers = 4"),
                good.replace("address = 127.77", "; address = 127.77"),
                good.replace("name = node-1", "name = node-2"),
                good.replace("connections = 4096", "connections = many"),
            ):
                self.assertNotEqual(bad, good)
                orders.write_text(bad)
                before = len(node.said("service_config_rejected"))
                node.signal(AGAIN)
                await here.until(lambda n=before: len(node.said("service_config_rejected")) == n + 1)
            orders.write_text(good)
            await crowd.answered(4)
            self.keeps(crowd, since)
            await crowd.stop()
            self.answers(crowd)
