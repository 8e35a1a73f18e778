"""`python -m thymeyoke`: the command line, with signals blocked until a server can handle them."""

from __future__ import annotations

import sys

from thymeyoke.runtime import early_signals

LONG_RUNNING_COMMANDS = ("serve", "node")

if __name__ == "__main__" and sys.argv[1:2] in ([command] for command in LONG_RUNNING_COMMANDS):
    early_signals.block()  # before the imports, which take time

from thymeyoke.cli import main  # noqa: E402

if __name__ == "__main__":
    main(prog_name="thymeyoke")
