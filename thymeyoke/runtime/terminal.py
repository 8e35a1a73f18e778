"""Output of the commands that show tables."""

from __future__ import annotations

import click


def print_table(rows: list[list[str]]) -> None:
    """Print rows of cells with aligned columns."""
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    for row in rows:
        click.echo("  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip())
