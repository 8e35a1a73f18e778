"""Names that leave the process stay in the code: other programs, stored data and operators depend on them."""

from __future__ import annotations

import ast
import re
import unittest
from collections.abc import Iterator
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
NAME_LIST = ROOT / "tests/data/outer_names.txt"
SOURCES = sorted((ROOT / "thymeyoke").rglob("*.py"))
WORD = re.compile(r"[A-Za-z_][\w-]*")


def outer_names(text: str) -> list[str]:
    """The names of a list with one name a line; the rest of a line after `#` is a comment."""
    return [name for line in text.splitlines() if (name := line.partition("#")[0].strip())]


def words_of_code(source: str) -> Iterator[str]:
    """All identifiers, and all words in strings that are not docstrings."""
    tree = ast.parse(source)
    statements = [node for node in ast.walk(tree) if isinstance(node, ast.Expr)]
    docstrings = {id(statement.value) for statement in statements}
    for node in ast.walk(tree):
        if isinstance(node, ast.Constant) and isinstance(node.value, str | bytes):
            if id(node) not in docstrings:
                text = node.value if isinstance(node.value, str) else node.value.decode("latin-1")
                yield from WORD.findall(text)
        elif isinstance(node, ast.Name):
            yield node.id
        elif isinstance(node, ast.Attribute):
            yield node.attr
        elif isinstance(node, ast.keyword) and node.arg:
            yield node.arg


class OuterNames(unittest.TestCase):
    def test_each_stands_in_the_code(self) -> None:
        names = outer_names(NAME_LIST.read_text())
        known = {word for path in SOURCES for word in words_of_code(path.read_text())}
        self.assertGreater(len(names), 800)
        self.assertEqual([name for name in names if name not in known], [])

    def test_each_stands_in_the_list_once(self) -> None:
        names = outer_names(NAME_LIST.read_text())
        self.assertEqual(sorted(set(names)), sorted(names))

    def test_comments_and_docstrings_do_not_count(self) -> None:
        source = '"""first"""\nvalue = "second"  # third\n'
        self.assertEqual(list(words_of_code(source)), ["value", "second"])
        self.assertEqual(outer_names("# heading\nfirst  # why\n\nsecond\n"), ["first", "second"])


if __name__ == "__main__":
    unittest.main()
