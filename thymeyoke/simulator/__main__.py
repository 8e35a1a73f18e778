"""`python -m thymeyoke.simulator`: the simulator's wire on standard input and output, until input ends."""

from __future__ import annotations

import sys

from thymeyoke.simulator.adapter import InvalidInputError, serve


def main() -> int:
    """Exit 2 for input that cannot be read."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except InvalidInputError as error:
        print(f"thymeyoke.simulator: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
