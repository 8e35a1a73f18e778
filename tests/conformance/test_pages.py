"""Tables in docs/ are complete: each state with each event, no duplicate rules, a test file per page."""

from __future__ import annotations

import itertools
import unittest
from collections import Counter
from pathlib import Path
from tempfile import TemporaryDirectory
from unittest import mock

from tests.conformance import tables
from tests.conformance.tables import DASH, ROOT, Row, played, rows

PAGES = ("slow_start", "membership", "affinity", "migration", "proxy")


def wrong(states: list[Row]) -> list[str]:
    """Missing and duplicate pairs of state and event in a table, and next states that it does not define."""
    pairs = Counter((row["state"], row["event"]) for row in states)
    known, events = ({row[name] for row in states} for name in ("state", "event"))
    all_pairs = itertools.product(known, events)
    found = [f"{pair} stands {pairs[pair]} times" for pair in all_pairs if pairs[pair] != 1]
    ways = {row["next state"] for row in states} - known - set(DASH)
    return sorted([*found, *(f"{state} is no state of it" for state in ways)])


class Pages(unittest.TestCase):
    def test_states_and_rules(self) -> None:
        for name in PAGES:
            page = f"docs/{name}.md"
            with self.subTest(page):
                if "\n## States\n" in (ROOT / page).read_text():
                    self.assertEqual(wrong(rows(page, "States")), [])
                ids = [row["id"] for row in rows(page, "Rules")]
                self.assertEqual(sorted(set(ids)), sorted(ids))

    def test_each_is_played(self) -> None:
        for name in PAGES:
            with self.subTest(name):
                tests = [path.read_text() for path in (ROOT / "tests").glob(f"test_{name}*.py")]
                self.assertTrue(any(f"docs/{name}.md" in test and "played(" in test for test in tests))


class Tables(unittest.TestCase):
    """Tests the functions of `tests.conformance.tables`."""

    PAGE = "# P\n\n## States\n\nWords.\n\n| state | event | next state | what |\n| --- | --- | --- | --- |\n"

    def read(self, text: str, section: str = "States") -> list[Row]:
        with TemporaryDirectory() as folder, mock.patch.object(tables, "ROOT", Path(folder)):
            (Path(folder) / "p.md").write_text(text)
            return rows("p.md", section)

    def test_rows(self) -> None:
        text = self.PAGE + "| `a` | `go` | `b` | `x` \\| y |\n\n| other | table |\n| --- | --- |\n| 1 | 2 |\n"
        expected = [{"state": "a", "event": "go", "next state": "b", "what": "`x` | y"}]
        self.assertEqual(self.read(text), expected)

    def test_what_is_missing_is_said(self) -> None:
        cases = [("no section", self.PAGE, "Rules"), ("no rows", self.PAGE, "States"),
                 ("no table", "# P\n\n## States\n\n## Next\n\n| a |\n| --- |\n| 1 |\n", "States"),
                 ("not 4 cells", self.PAGE + "| a | b |\n", "States")]  # fmt: skip
        for why, text, section in cases:
            with self.assertRaisesRegex(LookupError, why):
                self.read(text, section)
        with self.assertRaisesRegex(LookupError, "no such page"):
            rows("docs/none.md", "States")

    def test_states_that_are_not_whole(self) -> None:
        whole = [("a", "go", "b"), ("a", "stop", "-"), ("b", "go", "-"), ("b", "stop", "a")]
        cases = [(whole, 0), (whole[1:], 1), (whole[:3], 1), ([*whole, whole[0]], 1), ([("a", "go", "c")], 1)]
        for given, faults in cases:
            states = [dict(zip(("state", "event", "next state"), row, strict=True)) for row in given]
            self.assertEqual(len(wrong(states)), faults, given)

    def test_a_row_without_a_case_fails_and_a_case_without_a_row(self) -> None:
        heard: list[str] = []
        given = [{"id": name} for name in "ab"]

        def fails(_: unittest.TestCase, row: Row) -> None:
            raise AssertionError(row["id"])

        cases = {name: lambda _, row: heard.append(row["id"]) for name in "ab"}
        played(self, given, "id", cases)
        self.assertEqual(heard, ["a", "b"])
        for bad_rows, bad in [(given, {"a": cases["a"]}), (given[:1], cases), ([*given, *given], cases),
                              (given, cases | {"b": fails})]:  # fmt: skip
            with self.assertRaises(AssertionError):
                played(unittest.TestCase(), bad_rows, "id", bad)


if __name__ == "__main__":
    unittest.main()
