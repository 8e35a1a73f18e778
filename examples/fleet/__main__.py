"""A fleet on one machine: two nodes, three app servers, and customers from several source addresses.

    python -m examples.fleet

does all of it, shows which app server each customer reached through either node, and ends what it started.
By hand, each in a terminal of its own:

    python -m examples.fleet around
    python -m thymeyoke serve --config examples/fleet/app-1.json --service-config examples/fleet/app-1.ini
    python -m thymeyoke node --service-config examples/fleet/node-1.ini
    python -m examples.fleet send

The files in this folder name fixed ports on loopback. docs/fleet-operators.md goes through it.
"""

from __future__ import annotations

import subprocess
import sys
import time
from contextlib import ExitStack, suppress
from pathlib import Path
from secrets import token_hex

import anyio
import click

from examples import children
from examples.fakes import LOST, Database, Processor, Roster, Router
from thymeyoke.configuration import service_config, start_file

HERE = Path(__file__).parent
ROOT = HERE.parent.parent
APPS = ("app-1", "app-2", "app-3")
NODES = ("node-1", "node-2")
TENANTS = ("north", "south")
MEET = 3.0  # seconds in which the members come to know each other
LIMIT = 60.0  # seconds that any of it may take


class Named(Processor):
    """A processor whose results tell its app server's name."""

    def __init__(self, name: str) -> None:
        super().__init__(span=0.02, calls=0)
        self.name = name

    async def _run(self, id: str, body: bytes) -> None:
        await super()._run(id, body + b" at " + self.name.encode())


@click.group(invoke_without_command=True)
@click.option(
    "--customers", default=12, type=click.IntRange(1, 200), help="How many, of both tenants in turn."
)
@click.pass_context
def main(ctx: click.Context, customers: int) -> None:
    """Two nodes, three app servers and their customers on this machine, and an end of all of them.

    \b
    Example: python -m examples.fleet --customers 20
    """
    if ctx.invoked_subcommand is None:
        sys.exit(_all_of_it(customers))


@main.command()
def around() -> None:
    """Stand in for what is around the app servers, until interrupted."""

    async def run() -> None:
        stations = [start_file.read_start_file(HERE / f"{name}.json")[0] for name in APPS]
        async with anyio.create_task_group() as tasks:
            for station in stations:
                await tasks.start(Named(station.name).run, station.processor.port)
            await tasks.start(Database().run, stations[0].dependency.port)
            await tasks.start(Roster().run, stations[0].endpoint_registry.port)
            click.echo("processors, database and list are up")

    anyio.run(run)


@main.command()
@click.option(
    "--customers", default=12, type=click.IntRange(1, 200), help="How many, of both tenants in turn."
)
def send(customers: int) -> None:
    """Send two ops of each customer through each node, each on a connection of its own."""
    sys.exit(anyio.run(_send, customers))


async def _send(customers: int) -> int:
    """The table of who reached what; 1 where a customer met two app servers, or an op was not acked."""
    where = {
        name: {
            one.tenant: one.address
            for one in service_config.read_service_config(HERE / f"{name}.ini")["node"].services
        }
        for name in NODES
    }
    good = 0
    click.echo("CUSTOMER     TENANT  " + "  ".join(f"THROUGH {name.upper()}" for name in NODES))
    for number in range(customers):
        source, tenant = f"127.0.1.{number + 1}", TENANTS[number % len(TENANTS)]
        met = {
            name: [await _op(source, tenant, where[name][tenant].port) for _ in range(2)] for name in NODES
        }
        cells = [", ".join(dict.fromkeys(servers)).ljust(14) for servers in met.values()]
        click.echo(f"{source:11}  {tenant:6}  {'  '.join(cells)}".rstrip())
        every = {server for servers in met.values() for server in servers}
        good += len(every) == 1 and every <= set(APPS)
    click.echo(f"{good} of {customers} customers kept their app server")
    return int(good < customers)


async def _op(source: str, tenant: str, port: int) -> str:
    """One op on a connection of its own: the app server that ran it, or what became of it."""
    async with anyio.create_task_group() as tasks:
        found = "no answer"
        with suppress(OSError, KeyError, TimeoutError, *LOST):
            router = Router(await anyio.connect_tcp("127.0.0.1", port, local_host=source))
            tasks.start_soon(router._read)
            number = await router.ask("look", b"op", project=tenant, replay=token_hex(16))
            error, result = await router.answer(number, 3.0)
            found = error[0] if error else result[0].rpartition(b" at ")[2].decode()
        tasks.cancel_scope.cancel()
    return found


def _all_of_it(customers: int) -> int:
    python = [sys.executable, "-m"]
    ends = time.monotonic() + LIMIT
    with ExitStack() as stack:

        def begin(*command: str) -> subprocess.Popen[bytes]:
            child = subprocess.Popen([*python, *command], cwd=ROOT)
            stack.callback(children.end, child)
            return child

        begin("examples.fleet", "around")
        files = [str(HERE / f"{name}.{end}") for name in APPS for end in ("json", "ini")]
        servers = [
            begin("thymeyoke", "serve", "--log-level", "warning", "--config", config, "--service-config", ini)
            for config, ini in zip(files[::2], files[1::2], strict=True)
        ]
        nodes = [
            begin(
                "thymeyoke", "node", "--log-level", "warning", "--service-config", str(HERE / f"{name}.ini")
            )
            for name in NODES
        ]
        listens = [start_file.read_start_file(HERE / f"{name}.json")[0].listen for name in APPS]
        for name in NODES:
            services = service_config.read_service_config(HERE / f"{name}.ini")["node"].services
            listens += [start_file.Address("127.0.0.1", one.address.port) for one in services]
        if not all(children.reached(where, [*servers, *nodes], ends) for where in listens):
            raise click.ClickException("not all of it came up; is one of its ports taken?")
        time.sleep(MEET)
        bad = anyio.run(_send, customers)
        for name in NODES:
            subprocess.run(
                [*python, "thymeyoke", "moves", "show", "--service-config", str(HERE / f"{name}.ini")],
                cwd=ROOT,
            )
        for child in (*nodes, *servers):
            child.terminate()
        codes = [child.wait(max(1.0, ends - time.monotonic())) for child in (*nodes, *servers)]
    click.echo(f"nodes and app servers left with codes {', '.join(map(str, codes))}")
    return bad or int(any(codes))


if __name__ == "__main__":
    main(prog_name="examples.fleet")
