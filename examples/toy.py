"""A toy to try a server with: what stands around it, and a router that sends a few ops.

    python -m examples.toy try

does all of it, and ends what it started. By hand:

    python -m examples.toy around &
    python -m thymeyoke serve --config examples/start.json &
    python -m examples.toy send --ops 20
"""

from __future__ import annotations

import subprocess
import sys
import time
from contextlib import ExitStack
from pathlib import Path
from secrets import token_hex

import anyio
import click

from examples import children
from examples.fakes import Database, Processor, Roster, Router
from thymeyoke.configuration import start_file

START = Path(__file__).with_name("start.json")
UP = 10.0  # seconds in which the server has to listen


@click.group()
def main() -> None:
    """Try a server on this machine. Start files must name loopback addresses."""


config_option = click.option(
    "--config", default=START, type=click.Path(path_type=Path), help="The start file."
)


@main.command()
@config_option
def around(config: Path) -> None:
    """Stand in for the processor, the database and the list, until interrupted."""

    async def run() -> None:
        station = start_file.read_start_file(config)[0]
        async with anyio.create_task_group() as tasks:
            await tasks.start(Processor(span=0.2).run, station.processor.port)
            await tasks.start(Database().run, station.dependency.port)
            await tasks.start(Roster().run, station.endpoint_registry.port)
            click.echo("processor, database and list are up")

    anyio.run(run)


@main.command()
@config_option
@click.option("--ops", default=10, type=click.IntRange(1, 32), help="How many, all at once.")
def send(config: Path, ops: int) -> None:
    """Send ops of all types by turns and print their answers."""

    async def run() -> int:
        station, names, _ = start_file.read_start_file(config)
        failed = 0
        async with anyio.create_task_group() as tasks:
            router = await Router.connect(tasks, station.listen.host, station.listen.port)
            types = list(names.request_classes)
            tenant = {"project": next(iter(names.tenants))} if names.tenants else {}
            sent = [
                (await router.ask(types[at % len(types)], b"op %d" % at, replay=token_hex(16), **tenant), at)
                for at in range(ops)
            ]
            for number, at in sent:
                error, result = await router.answer(number, 10.0)
                failed += error is not None
                click.echo(f"op {at}: " + (f"{error[0]} {error[1]}" if error else f"{result[0]} {result[1]}"))
            tasks.cancel_scope.cancel()
        return failed

    failed = anyio.run(run)
    click.echo(f"{ops - failed} acked, {failed} nacked or failed")


@main.command("try")
@config_option
@click.option("--ops", default=20, type=click.IntRange(1, 32), help="How many, all at once.")
def try_(config: Path, ops: int) -> None:
    """All of it at once: what stands around, the server, ops with their answers, the notice to leave.

    \b
    Example: python -m examples.toy try --ops 32
    """
    python = [sys.executable, "-m"]
    given = ["--config", str(config)]
    with ExitStack() as stack:

        def begin(*command: str) -> subprocess.Popen[bytes]:
            child = subprocess.Popen([*python, *command, *given])
            stack.callback(children.end, child)
            return child

        begin("examples.toy", "around")
        server = begin("thymeyoke", "serve")
        station = start_file.read_start_file(config)[0]
        if not children.reached(station.listen, [server], time.monotonic() + UP):
            raise click.ClickException(f"no server came up at {station.listen}; is the port taken?")
        time.sleep(0.5)  # until the processor's link is up
        sent = subprocess.run([*python, "examples.toy", "send", "--ops", str(ops), *given]).returncode
        server.terminate()
        code = server.wait(station.stop_timeout + 5)
    click.echo(f"the server left with code {code}")
    sys.exit(sent or code)


if __name__ == "__main__":
    main(prog_name="examples.toy")
