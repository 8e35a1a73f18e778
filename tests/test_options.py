"""The option for the service configuration file, and its former names."""

from __future__ import annotations

import tempfile
import unittest
from pathlib import Path

from click.testing import CliRunner, Result

from thymeyoke.cli import main

OPTION_WARNING = "Warning: --orders is now --service-config.\n"
VARIABLE_WARNING = "Warning: THYMEYOKE_ORDERS is now THYMEYOKE_SERVICE_CONFIG.\n"


class ServiceConfigOption(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.good, self.bad = Path(folder.name) / "good.ini", Path(folder.name) / "bad.ini"
        self.good.write_text("")
        self.bad.write_text("[nowhere]\n")

    def check(self, *arguments: str, **environment: str) -> Result:
        return CliRunner().invoke(main, ["check", *arguments], env=environment)

    def test_present_spellings_warn_of_nothing(self) -> None:
        for result in (
            self.check("--service-config", str(self.good)),
            self.check(THYMEYOKE_SERVICE_CONFIG=str(self.good)),
        ):
            self.assertEqual((result.exit_code, result.stderr), (0, ""))

    def test_former_option_warns_once(self) -> None:
        result = self.check("--orders", str(self.good))
        self.assertEqual((result.exit_code, result.stderr), (0, OPTION_WARNING))

    def test_former_variable_warns_once(self) -> None:
        result = self.check(THYMEYOKE_ORDERS=str(self.good))
        self.assertEqual((result.exit_code, result.stderr), (0, VARIABLE_WARNING))

    def test_former_spellings_are_read(self) -> None:
        for result in (
            self.check("--orders", str(self.bad)),
            self.check(THYMEYOKE_ORDERS=str(self.bad)),
        ):
            self.assertEqual(result.exit_code, 1)
            self.assertIn("[nowhere] no such section", result.stderr)

    def test_present_spelling_comes_first(self) -> None:
        for arguments in ((), ("--orders", str(self.bad))):
            result = self.check(
                "--service-config", str(self.good), *arguments, THYMEYOKE_ORDERS=str(self.bad)
            )
            self.assertEqual((result.exit_code, result.stderr), (0, ""))

    def test_node_without_one_is_a_usage_error(self) -> None:
        result = CliRunner().invoke(main, ["node"])
        self.assertEqual(result.exit_code, 2)
        self.assertIn("Missing option '--service-config'", result.stderr)

    def test_former_option_is_not_in_the_help(self) -> None:
        result = CliRunner().invoke(main, ["check", "--help"])
        self.assertIn("--service-config", result.stdout)
        self.assertNotIn("--orders", result.stdout)


if __name__ == "__main__":
    unittest.main()
