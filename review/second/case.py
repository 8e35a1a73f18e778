"""The program's processes, a small deployment's settings, free ports and the record of a case."""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import anyio

ROOT = Path(__file__).resolve().parents[2]
LOOPBACK = "127.0.0.1"
SECONDS_AT_MOST = 115.0  # of one case; the issue allows 120
HELD, BROKEN, NOT_RUN = 0, 1, 2


class CannotRunError(Exception):
    """The case could not run: nothing is said of the rule."""


def free_port() -> int:
    """Return a port of the loopback address that nobody uses."""
    with socket.socket() as probe:
        probe.bind((LOOPBACK, 0))
        return int(probe.getsockname()[1])


def has_trouble() -> bool:
    """Return whether the disruption is to be played; `TROUBLE=0` leaves it out."""
    return os.environ.get("TROUBLE", "1") != "0"


def suva_settings() -> dict[str, Any]:
    """Return settings with the figures of suva-bookings: one app server of six cores."""
    return {
        "request_classes": [
            {"name": "slot-check", "aim_us": 2900000, "deadline_us": 9800000, "effect": "retryable",
             "worth": 1.0, "late_worth": 0.2},
            {"name": "slot-book", "aim_us": 2400000, "deadline_us": 5900000, "effect": "dedup",
             "worth": 1.0, "late_worth": 0.0, "memory_span_us": 17562000},
        ],
        "tenants": [
            {"name": "own-retail", "share": 0.43, "quota_per_s": 400.0},
            {"name": "coral-net", "share": 0.57, "quota_per_s": 600.0},
        ],
        "family_info": {
            "cpus": 6, "memory_kb": 60000.0, "run_factor": 4.0, "kb_per_key": 4.0, "halt": "freeze",
            "gauges": ["cpu_busy", "runnable", "mem_used", "sockets"],
            "below": "one_for_all", "fair_calls": 64.0, "calls_over_us": 5000000, "linger_us": 200000,
            "class_calls": [False, False], "worth_without": [0.0, 0.0],
            "callers": 4, "signal": "floor", "heeded_us": 1000000, "idle_us": 30000000,
        },
        "contract": {"answer_slack_us": 100000, "drain_grace_us": 2000000, "fall_multiple": 8.0,
                     "fall_us": 1500000, "cold_share": 0.5, "cold_us": 10000000},
        "caps": {"retry_after": True, "max_retry_after_us": 1000000},
        "clients": {"marks_retry": False},
        "tick_us": 4000,
    }  # fmt: skip


class Case:
    """One play of a case: its folder for temporary files, its processes and its record."""

    def __init__(self, folder: Path) -> None:
        self.record = (folder / "record.txt").open("w")
        self.began = time.time()
        self.temporary = tempfile.TemporaryDirectory(prefix="case-")
        self.path = Path(self.temporary.name)
        self.children: dict[str, subprocess.Popen[bytes]] = {}
        self.broken: list[str] = []

    @staticmethod
    def now() -> float:
        """Return the time, in seconds."""
        return time.time()

    def say(self, text: str) -> None:
        """Write one line to the record, with the seconds since the start."""
        self.record.write(f"{time.time() - self.began:8.3f} {text}\n")
        self.record.flush()

    def breaks(self, text: str) -> None:
        """Note that the rule was broken."""
        self.broken.append(text)
        self.say(f"BROKEN: {text}")

    def start_file(self, **changed: Any) -> dict[str, Any]:
        """Return a start file with a free port to listen at; `changed` replaces its entries."""
        return {
            "name": "n1", "listen": f"{LOOPBACK}:{free_port()}", "seed": "8c1f30d27a5be964", "stop_ms": 3200,
            "limits": {"cores": 1.0, "memory_mb": 128, "sockets": 512}, "settings": suva_settings(),
        } | changed  # fmt: skip

    def write(self, name: str, content: str | dict[str, Any]) -> Path:
        """Write a file of the case in one step, as a platform replaces it."""
        path = self.path / name
        partial = path.with_suffix(".new")
        partial.write_text(content if isinstance(content, str) else json.dumps(content))
        partial.replace(path)
        return path

    def run(self, name: str, command: str, **variables: str) -> subprocess.Popen[bytes]:
        """Start a process by a shell, from the root; its log is `name`.log."""
        scratch = self.path / f"tmp-{name}"
        scratch.mkdir(exist_ok=True)
        with (self.path / f"{name}.log").open("ab") as log:
            child = subprocess.Popen(
                ["/bin/sh", "-c", command], cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log, stderr=log,
                env={**os.environ, "TMPDIR": str(scratch)} | variables,
            )  # fmt: skip
        self.children[name] = child
        self.say(f"{name}: started")
        return child

    def serve(
        self, name: str, start: dict[str, Any], service: str | None = None, before: str = ""
    ) -> subprocess.Popen[bytes]:
        """Start an app server with the deploy file's `run`; `before` sets its limits."""
        command = before + tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        variables = {"ROUTER_CONFIG": str(self.write(f"{name}.json", start)), "ROUTER_NAME": start["name"],
                     "ROUTER_LISTEN": start["listen"]}  # fmt: skip
        if service is not None:
            variables["THYMEYOKE_SERVICE_CONFIG"] = str(self.write(f"{name}.ini", service))
        return self.run(name, command, **variables)

    def python(self, name: str, arguments: str) -> subprocess.Popen[bytes]:
        """Start another program of the project in the form of the deploy file's `run`."""
        return self.run(name, f"trap '' HUP; exec .venv/bin/python -O -m {arguments}")

    def signal(self, name: str, number: signal.Signals) -> float:
        """Send a signal to a process that this case started; return the moment."""
        if self.children[name].poll() is not None:
            raise CannotRunError(f"{name} has ended with code {self.children[name].returncode}")
        at = time.time()
        os.kill(self.children[name].pid, number)
        self.say(f"{name}: {number.name}")
        return at

    def log(self, name: str) -> str:
        """Return what a process has logged so far."""
        return (self.path / f"{name}.log").read_text(errors="replace")

    async def logged(self, name: str, text: str, within: float = 20.0) -> None:
        """Wait until a process has logged a text."""
        with anyio.move_on_after(within):
            while text not in self.log(name):
                if self.children[name].poll() is not None:
                    raise CannotRunError(f"{name} has ended: {self.log(name)[-800:]}")
                await anyio.sleep(0.02)
            return
        raise CannotRunError(f"{name} did not log {text!r}: {self.log(name)[-800:]}")

    def close(self) -> None:
        """End all processes that this case started."""
        for child in self.children.values():
            if child.poll() is None:
                os.kill(child.pid, signal.SIGCONT)
                child.terminate()
        give_up_at = time.monotonic() + 3
        for name, child in self.children.items():
            try:
                child.wait(max(0.1, give_up_at - time.monotonic()))
            except subprocess.TimeoutExpired:
                child.kill()
                child.wait()
            self.say(f"{name}: ended with code {child.returncode}")
        for log in sorted(self.path.glob("*.log")):
            for line in log.read_text(errors="replace").splitlines()[-40:]:
                self.record.write(f"         log of {log.stem}: {line[:300]}\n")
        self.temporary.cleanup()
        self.record.close()


def play(file: str, scene: Callable[[Case], Awaitable[None]]) -> None:
    """Play a case, and exit with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run."""
    case = Case(Path(file).resolve().parent)
    case.say(f"TROUBLE={int(has_trouble())}")

    async def timed() -> None:
        with anyio.move_on_after(SECONDS_AT_MOST) as limit:
            await scene(case)
        if limit.cancelled_caught:
            raise CannotRunError("the case took too long")

    code = HELD
    try:
        anyio.run(timed)
        code = BROKEN if case.broken else HELD
    except BaseException as error:
        case.say(f"could not run: {error!r} {getattr(error, 'exceptions', '')}")
        code = BROKEN if case.broken else NOT_RUN
    finally:
        case.say(f"exit {code}: " + {HELD: "held", BROKEN: "broken", NOT_RUN: "could not run"}[code])
        case.close()
    sys.exit(code)
