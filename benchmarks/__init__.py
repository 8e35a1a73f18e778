"""Speed and memory, as ratios from one run. No timed test: nothing here runs in CI."""

from __future__ import annotations

from typing import Any

import click
import orjson


def show(rows: list[dict[str, Any]], as_json: bool) -> None:
    """Rows of what, value, unit and ratio, as one table or as JSON lines."""
    for row in rows:
        if as_json:
            click.echo(orjson.dumps(row).decode())
        else:
            ratio = "" if row["ratio"] is None else f"{row['ratio']:8.2f}"
            click.echo(f"{row['what']:48} {row['value']:12.2f} {row['unit']:4} {ratio}")
