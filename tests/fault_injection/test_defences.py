"""Each defence that can be taken out still stands where its row says, and its drill is there."""

from __future__ import annotations

import unittest

from fakes.processes import ROOT
from tests.fault_injection.defences import DEFENCES


class Defences(unittest.TestCase):
    def test_each_change_finds_its_place_once(self) -> None:
        for defence in DEFENCES:
            for file, old, new in defence.changes:
                with self.subTest(defence=defence.what, file=file):
                    self.assertEqual((ROOT / file).read_text().count(old), 1)
                    self.assertNotEqual(old, new)

    def test_each_drill_is_there(self) -> None:
        for defence in DEFENCES:
            with self.subTest(drill=defence.drill):
                loaded = unittest.defaultTestLoader.loadTestsFromName(
                    f"tests.fault_injection.{defence.drill}"
                )
                self.assertEqual(loaded.countTestCases(), 1)
                self.assertNotIn("_FailedTest", repr(loaded))
