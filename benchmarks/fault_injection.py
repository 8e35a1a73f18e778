"""Drills that are longer, with faults drawn by seed. `python -m benchmarks.fault_injection --seeds 5`: one
table, or JSON lines with `--json`.

Each seed is one play: app servers, nodes and customers, and for `--span` seconds processes that are killed,
stopped, told to leave and started again, and links that go wrong. Then all is healed, and what is counted is
told: ops and their fates, keyed ops that ran again within their window, customers that changed their server,
and of these the ones that no promise of docs/affinity.md has; seconds until all customers keep their servers
again. Each keyed op and each change that is left is followed through all processes, on standard error. A seed
replays its faults, not the machine's turns: counts differ a little from run to run.
"""

from __future__ import annotations

import sys
import time
from collections import Counter
from itertools import pairwise
from random import Random
from typing import Any, NamedTuple

import anyio
import click
import orjson

from fakes.clients import Crowd, Moved, source
from fakes.faulty_link import ONCE, drawn
from fakes.processes import (
    GO_ON,
    KILL,
    LINKED,
    MARGIN,
    STOP,
    TERM,
    Drill,
    Node,
    Run,
    drill,
    first,
    in_text,
    peak,
)
from thymeyoke.affinity.clients import client_key as numbered

EACH = 6.0  # seconds between the beginnings of two faults
LINKS = 3  # that go wrong at a time
HURTS = 6.0  # seconds behind a fault in which ops may still be late
AWAY, BACK = 2, 1  # moves of one customer that one fault explains: from the app server, and to it
REST = 30.0  # seconds within which all customers keep their servers again
BEFORE, AFTER = 3.0, 0.5  # seconds around a change that its evidence covers
NOISE = ("counts", "op")


class Hurt(NamedTuple):
    """A process, or a link, that something was done to: until it listens again, goes on, or is healed."""

    kind: str  # killed, left, stopped; or link
    name: str  # of a link: who connects
    since: float
    until: float
    to: str = ""  # of a link: what is connected to


class Play:
    """The faults of one seed, one after the other."""

    def __init__(self, here: Drill, span: float) -> None:
        self.here, self.span, self.rng = here, span, Random(here.seed)
        self.hurts: list[Hurt] = []
        self.begun = float("inf")

    async def run(self) -> None:
        begun, self.begun = time.monotonic(), time.time()
        kinds = {"killed": self._killed, "stopped": self._stopped, "left": self._left, "links": self._links}
        while time.monotonic() < begun + self.span:
            kind, one = self.rng.choice(list(kinds)), self.rng.choice(list(self.here.all))
            lasts = self.rng.uniform(0.3, 0.8) * EACH
            since = time.time()
            self.here.step(f"{kind}: {one}, {lasts:.1f} s")
            await kinds[kind](one, lasts)
            if kind != "links":
                self.hurts.append(Hurt(kind, one, since, time.time()))
            await anyio.sleep(EACH - lasts)

    async def _killed(self, name: str, lasts: float) -> None:
        self.here[name].signal(KILL)
        await self.here[name].gone()
        await self._again(name, lasts)

    async def _left(self, name: str, lasts: float) -> None:
        self.here[name].signal(TERM)
        await self.here[name].gone()
        await self._again(name, lasts)

    async def _again(self, name: str, lasts: float) -> None:
        await anyio.sleep(lasts)
        self.here.start(name)
        await self.here.listening(name)

    async def _stopped(self, name: str, lasts: float) -> None:
        self.here[name].signal(STOP)
        await anyio.sleep(lasts)
        self.here[name].signal(GO_ON)

    async def _links(self, _: str, lasts: float) -> None:
        some = self.rng.sample(sorted(self.here.links), LINKS)
        async with anyio.create_task_group() as tasks:
            for who, to in some:
                script = drawn(self.rng, lasts, 2)
                tasks.start_soon(self.here.links[who, to].play, script)

    def wrong(self) -> list[Hurt]:
        """All that was done, to processes and to links, once links are healed."""
        found, begun = list(self.hurts), dict[tuple[str, str], float]()
        for line in self.here.timeline.own:
            at, link = line["at"], line.get("link", "")
            who, _, to = link.partition(" > ")
            if line["event"] == "fault":
                begun.setdefault((link, line["fault"]), at)
                if line["fault"] in ONCE:
                    found.append(Hurt("link", who, begun.pop((link, line["fault"])), at, to))
            elif line["event"] == "healed":
                for fault in line["fault"].split(","):
                    found.append(Hurt("link", who, begun.pop((link, fault), at), at, to))
        return found

    def for_nothing(self, crowd: Crowd) -> list[Moved]:
        """Changes of a customer's server that no sentence of "Promises, fault by fault" (docs/affinity.md)
        has, and not of one that no node had seen for a linger. A fault explains so many of a customer's as
        the sentence does, and no more."""
        wrong, used = self.wrong(), Counter[tuple[Hurt, int, str]]()
        found = []
        for moved in crowd.moved:
            if moved.unseen >= self.here.linger:
                continue
            for hurt in wrong:
                way = self._explains(hurt, moved)
                if way and used[hurt, moved.customer, way] < {"away": AWAY, "back": BACK}.get(way, 1):
                    used[hurt, moved.customer, way] += 1
                    break
            else:
                found.append(moved)
        return found

    def _explains(self, hurt: Hurt, moved: Moved) -> str:
        """How a fault may have moved a customer: `away` from the app server that it is at, `back` to it, or
        `apart`, as a node had not heard another's words; or not at all."""
        name, came, soon = hurt.name, moved.came, hurt.until + MARGIN
        if not hurt.since <= moved.at:
            return ""
        if hurt.kind == "link":
            if name == moved.before and hurt.to == moved.node:  # exceptions wait for its healing
                return "apart" if came <= soon else ""
            name, _, kind = hurt.to.partition(" ")
            if kind != "ops" or came > soon:
                return ""
            return "away" if name == moved.was else "back" if name == moved.now else ""
        if name in (moved.was, moved.now) and hurt.kind == "stopped":  # found dead and was not
            found = came <= soon + MARGIN
            return "" if not found else "away" if name == moved.was else "back"
        # Ended, it is a join when it comes back. Who has not heard of either names it as ever: whoever came
        # by such a node moves once that one has heard.
        if name == moved.was:
            heard = self._heard(moved.before, hurt)
            return "away" if came <= soon or hurt.since <= moved.before_came <= heard else ""
        if name == moved.now:
            return "back" if came <= self._heard(moved.node, hurt) else ""
        # What it told nobody dies with it, or is told once it wakes: a word, a lost one, and an op's pause.
        last = moved.asked - moved.unseen
        alone = name == moved.before != moved.node and hurt.kind != "left"
        return "apart" if alone and hurt.since - MARGIN <= last and came <= soon else ""

    def _heard(self, node: str, hurt: Hurt) -> float:
        """When a node first heard what became of an app server."""
        lines = self.here[node].said("server_state_changed", hurt.since, server=hurt.name)
        return lines[0]["at"] if lines else float("inf")

    def twice(self, crowd: Crowd) -> list[bytes]:
        """Keyed ops that ran again within their window, though their app server went on with what it kept,
        and no fault explains that their customer came to another one."""
        runs: dict[bytes, list[Run]] = {}
        for run in (run for server in self.here.servers for run in server.processor.ran):
            if run.at >= self.begun and crowd.bodies.get(run.body):
                runs.setdefault(run.body, []).append(run)
        wrong = self.wrong()
        return [body for body, some in runs.items() for one, two in pairwise(sorted(some))
                if two.at < one.at + self.here.window and not self._lost(crowd, wrong, one, two)]  # fmt: skip

    def _lost(self, crowd: Crowd, wrong: list[Hurt], one: Run, two: Run) -> bool:
        tries = [each for each in crowd.tries if each.body == one.body]
        last = [each for each in tries if each.at <= two.at][-1]
        moved = Moved(two.at, last.customer, one.server, two.server, last.node, last.came, last.at,
                      last.at - one.at, tries[0].node, tries[0].came)  # fmt: skip
        if one.server == two.server:
            return any(hurt.name == one.server and hurt.kind in ("killed", "left")
                       and hurt.since <= two.at and one.at <= hurt.until for hurt in wrong)  # fmt: skip
        return any(self._explains(hurt, moved) for hurt in wrong)


class Evidence:
    """What all processes said around one customer, and what was wrong meanwhile, in one order."""

    def __init__(self, here: Drill, crowd: Crowd) -> None:
        self.here, self.crowd = here, crowd
        self.lines = here.timeline.merged(here.all.values())
        for one in crowd.tries:
            self.lines.append({
                "at": one.at, "who": "customer", "event": "asks", "customer": source(one.customer),
                "node": one.node, "server": one.server, "fate": one.fate, "took": round(one.took, 3),
                "body": one.body.decode()})  # fmt: skip
        for server in here.servers:
            self.lines += [{"at": run.at, "who": server.name, "event": "runs", "body": run.body.decode()}
                           for run in server.processor.ran]  # fmt: skip
        self.lines.sort(key=lambda line: line["at"])

    def wrong(self, at: float) -> list[str]:
        """Faults that are in force at a moment, and who is down or stopped."""
        links: dict[str, set[str]] = {}
        ill: dict[str, str] = {}
        for line in self.here.timeline.own:
            if line["at"] > at:
                break
            match line["event"]:
                case "fault":
                    links.setdefault(line["link"], set()).add(line["fault"])
                case "healed":
                    links.get(line["link"], set()).difference_update(line["fault"].split(","))
                case "signal" if line["number"] == "SIGCONT":
                    ill.pop(line["name"], None)
                case "signal":
                    ill[line["name"]] = line["number"]
                case "started":
                    ill.pop(line["name"], None)
        return [*(f"{name} {what}" for name, what in ill.items()),
                *(f"{name}: {','.join(sorted(some))}" for name, some in links.items() if some)]  # fmt: skip

    def around(self, customer: int, since: float, until: float, body: str = "") -> list[str]:
        """The lines of this customer, of servers and nodes as such, and of the drill."""
        address = source(customer)
        names = {address, numbered(self.crowd.all[customer - 1].tenant, address)}
        found = [f"in force {since - self.here.begun:.3f}: {self.wrong(since)}"]
        for line in self.lines:
            if not since <= line["at"] <= until or line["event"] in NOISE:
                continue
            whose = line.get("customer")
            if (whose is None or whose in names) and (line["event"] != "runs" or line["body"] == body):
                found.append(in_text(line, self.here.begun))
        return [*found, f"in force {until - self.here.begun:.3f}: {self.wrong(until)}"]

    def moved(self, one: Moved) -> list[str]:
        return [f"changed for nothing: {source(one.customer)} from {one.was} to {one.now} by {one.node}, "
                f"unseen for {one.unseen:.3f} s",
                *self.around(one.customer, one.at - one.unseen - BEFORE, one.at + AFTER)]  # fmt: skip

    def twice(self, body: bytes) -> list[str]:
        """A keyed op that ran twice."""
        runs = sorted(run for server in self.here.servers for run in server.processor.ran if run.body == body)
        customer = next(one.customer for one in self.crowd.tries if one.body == body)
        return [f"ran twice: {body.decode()}",
                *self.around(customer, runs[0].at - BEFORE, runs[-1].at + AFTER, body.decode())]  # fmt: skip


def loud(node: Node) -> None:
    """Have it log what it believes of seats."""
    files = node.files
    node.files = lambda: [*files(), "--log-level", "debug"]  # type: ignore[method-assign]


async def one(seed: int, span: float, customers: int) -> dict[str, Any]:
    told: dict[str, Any] = {"seed": seed}
    async with drill(seed, span * 3 + 90, servers=4, nodes=3, linked=LINKED) as here:
        for node in here.nodes:
            loud(node)
        await here.up()
        crowd = Crowd(here)
        crowd.add(customers)
        await crowd.at_ease(REST)
        crowd.moved.clear()
        begun = time.time()
        steady = peak(here.roster.moments, 1.0)
        play = Play(here, span)
        await play.run()
        here.heal()
        healed = time.time()
        rest = await crowd.at_ease(REST)
        await crowd.stop()
        reports = [at for at in here.roster.moments if at >= begun]
        twice, for_nothing = play.twice(crowd), play.for_nothing(crowd)
        if twice or for_nothing:
            shown = Evidence(here, crowd)
            for lines in [*map(shown.moved, for_nothing), *map(shown.twice, twice)]:
                click.echo("\n".join(["", f"seed {seed}", *lines]), err=True)
        told |= {
            "customers": customers, "faults": len(play.hurts), "ops": len(crowd.tries), **crowd.fates,
            "late after healing": sum(one.fate == "late" and one.at > healed + HURTS for one in crowd.tries),
            "twice": len(twice), "changed": len(crowd.moved),
            "for nothing": len(for_nothing),
            "rest after": round(rest - healed - 2 * here.linger, 2),
            "reports, peak over steady": round(peak(reports, 1.0) / max(1.0, steady), 2),
        }  # fmt: skip
    return told


@click.command()
@click.option("--seeds", default=3, type=click.IntRange(1, 1000), help="How many plays.")
@click.option("--first", "first_seed", default=1, type=click.IntRange(0), help="The first seed.")
@click.option("--span", default=30.0, type=click.FloatRange(5, 600), help="Seconds of faults in each.")
@click.option("--customers", default=32, type=click.IntRange(4, 200))
@click.option("--json", "as_json", is_flag=True, help="JSON lines instead of a table.")
def main(seeds: int, first_seed: int, span: float, customers: int, as_json: bool) -> None:
    """Exit 1 where a keyed op ran twice, a customer changed its server for nothing, or a play did not end."""
    failed = False
    for seed in range(first_seed, first_seed + seeds):
        try:
            told = anyio.run(one, seed, span, customers)
        except Exception as error:
            told = {"seed": seed, "error": f"{type(first(error)).__name__}: {first(error)}"}
        failed |= bool(told.get("twice") or told.get("for nothing") or "error" in told)
        if as_json:
            click.echo(orjson.dumps(told).decode())
        else:
            click.echo("  ".join(f"{name} {value}" for name, value in told.items()))
    sys.exit(failed)


if __name__ == "__main__":
    main()
