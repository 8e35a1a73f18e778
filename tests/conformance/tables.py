"""Reads tables from Markdown pages, for tests with one case for each row."""

from __future__ import annotations

import re
import unittest
from collections.abc import Callable, Hashable, Mapping, Sequence
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
NAMES = ("state", "event", "next state", "id")  # columns whose cells are read without backticks
DASH = ("-", "\u2013", "\u2014")  # in the column of the next state: the state does not change

Row = dict[str, str]
Case = Callable[[unittest.TestCase, Row], None]


def cells(line: str) -> list[str]:
    """Split a table line into cells; a bar within a cell is escaped as `\\|`."""
    parts = re.split(r"(?<!\\)\|", line.strip())
    return [part.strip().replace("\\|", "|") for part in parts[1:-1]]


def rows(page: str, section: str) -> list[Row]:
    """The rows of the first table under `## section` of a page, as dictionaries by column title.

    `page` is relative to the repository's root, as in "docs/design.md". Raises LookupError if the page, the
    section or the table is missing, or if a row has more or fewer cells than there are columns.
    """
    path = ROOT / page
    if not path.is_file():
        raise LookupError(f"{page}: there is no such page")
    text = re.split(rf"^## {re.escape(section)}[ \t]*$", path.read_text(), maxsplit=1, flags=re.MULTILINE)
    if len(text) < 2:
        raise LookupError(f"{page}: it has no section '## {section}'")
    under = re.split(r"^##? ", text[1], maxsplit=1, flags=re.MULTILINE)[0]
    table = re.search(r"^\|.*\n\|[-:| ]+\|[ ]*\n(?:\|.*(?:\n|\Z))*", under, flags=re.MULTILINE)
    if table is None:
        raise LookupError(f"{page}: no table under '## {section}'")
    title, _, *lines = table.group().splitlines()
    titles, found = cells(title), [cells(line) for line in lines]
    if not found:
        raise LookupError(f"{page}: the table under '## {section}' has no rows")
    for row in found:
        if len(row) != len(titles):
            raise LookupError(f"{page}: under '## {section}' this row has not {len(titles)} cells: {row}")
    plain = [name in NAMES for name in titles]
    return [
        {name: cell.replace("`", "") if bare else cell
         for name, bare, cell in zip(titles, plain, row, strict=True)}
        for row in found
    ]  # fmt: skip


def named(row: Row, key: str | tuple[str, ...]) -> Hashable:
    """The key of a row: the value of one column, or of several as a tuple."""
    return row[key] if isinstance(key, str) else tuple(row[name] for name in key)


def played(
    case: unittest.TestCase, rows: Sequence[Row], key: str | tuple[str, ...], cases: Mapping[Hashable, Case]
) -> None:
    """Run the test case of every row, each in a subTest: `cases[name](case, row)`.

    The name is the value of the row's `key` column, or a tuple if `key` has several columns. Fails for rows
    without a case, cases without a row and duplicate rows.
    """
    names = [named(row, key) for row in rows]
    twice = sorted({str(name) for name in names if names.count(name) > 1})
    case.assertFalse(twice, "duplicate rows")
    case.assertFalse(sorted(str(name) for name in names if name not in cases), "rows without a case")
    case.assertFalse(sorted(str(name) for name in cases if name not in names), "cases without a row")
    for name, row in zip(names, rows, strict=True):
        with case.subTest(row=name):
            cases[name](case, row)
