"""`python -m thymeyoke.simulator`: speaks the simulator's protocol on standard input and output."""

from __future__ import annotations

import sys

from thymeyoke.simulator.adapter import InvalidInputError, serve


def main() -> int:
    """Serve until the input ends; returns the exit status, 2 for invalid input."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except InvalidInputError as error:
        print(f"thymeyoke.simulator: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
