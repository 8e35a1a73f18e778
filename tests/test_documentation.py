"""The pages that newcomers read first: their modules exist, and their example runs."""

from __future__ import annotations

import re
import subprocess
import sys
import unittest

from tests.conformance.tables import ROOT, rows

PACKAGE = ROOT / "thymeyoke"


def modules_of_page() -> set[str]:
    """The modules that docs/architecture.md lists, as paths without suffix below the package."""
    found: set[str] = set()
    package = ""
    for row in rows("docs/architecture.md", "Packages and who owns which state"):
        if name := re.search(r"`(\w+/)`", row["package"]):
            package = name.group(1)
        prefix = "" if "beside the packages" in row["module"] else package
        found |= {prefix + module for module in re.findall(r"`(\w+)`", row["module"])}
    return found


def modules_of_tree() -> set[str]:
    """The modules of the package, without what Python wants in each one."""
    paths = (path.relative_to(PACKAGE).with_suffix("") for path in PACKAGE.rglob("*.py"))
    return {path.as_posix() for path in paths if not path.name.startswith("__")}


class Documentation(unittest.TestCase):
    def test_architecture_lists_each_module(self) -> None:
        self.assertEqual(modules_of_page(), modules_of_tree())

    def test_modules_named_in_the_text_exist(self) -> None:
        text = (ROOT / "docs/architecture.md").read_text().split("## A request", 1)[1]
        named = set(re.findall(r"`(\w+/\w+)`", text))
        self.assertLessEqual(named, modules_of_tree())
        self.assertTrue(named)

    def test_links_of_the_pages_lead_somewhere(self) -> None:
        for page in (ROOT / "README.md", *sorted((ROOT / "docs").glob("*.md"))):
            for link in re.findall(r"\]\(([^)#]+)(?:#[^)]*)?\)", page.read_text()):
                if "://" not in link:
                    with self.subTest(page=page.name, link=link):
                        self.assertTrue((page.parent / link).exists())

    def test_library_example_runs(self) -> None:
        (example,) = re.findall(r"```python\n(.*?)```", (ROOT / "README.md").read_text(), flags=re.DOTALL)
        ran = subprocess.run(
            [sys.executable, "-c", example], cwd=ROOT, capture_output=True, text=True, timeout=60, check=False
        )
        self.assertEqual((ran.stdout, ran.returncode), ("run r1\n", 0), ran.stderr)


if __name__ == "__main__":
    unittest.main()
