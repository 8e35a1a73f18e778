"""Typed reading of JSON objects, with errors that name the field and what would do."""

from __future__ import annotations

from typing import Any, TypeVar

from thymeyoke.runtime.errors import ThymeyokeError

INVALID_VALUE = "holds a value that cannot be used"
MAX_QUOTED_LENGTH = 40  # characters of a value that an error shows

Meaning = TypeVar("Meaning")


class StartFileError(ThymeyokeError):
    """A start file cannot be used."""


class FieldReader:
    """One object of a start file. `path` leads to it from the root; `null` counts as absent.

    All methods raise `StartFileError` for a value that cannot be used.
    """

    def __init__(self, value: Any, path: str = "") -> None:
        if not isinstance(value, dict):
            quoted = _shortened(value)
            raise StartFileError(f"{INVALID_VALUE}: {path or 'the whole'} must be an object, not {quoted}")
        self.value, self.path = value, path

    def path_of(self, name: str) -> str:
        """The path of one of its fields."""
        return f"{self.path}.{name}" if self.path else name

    def error(self, name: str, expected: str) -> StartFileError:
        """What to raise for a field that is missing or cannot be used."""
        found = self.value.get(name)
        if found is None:
            return StartFileError(f"lacks '{name}' in {self.path or 'the whole'}; it must be {expected}")
        quoted = _shortened(found)
        return StartFileError(f"{INVALID_VALUE}: {self.path_of(name)} must be {expected}, not {quoted}")

    def number(
        self, name: str, default: float | None = None, *, least: float = 0.0, above: float | None = None
    ) -> float:
        """A number of at least `least`, or of more than `above`. Without a default it must be there."""
        given = self.value.get(name, default)
        value: Any = default if given is None else given
        expected = f"a number of at least {least:g}" if above is None else f"a number above {above:g}"
        if not _is_number(value) or value < least or (above is not None and value <= above):
            raise self.error(name, expected)
        number: float = value
        return number

    def flag(self, name: str) -> bool:
        """True or false; false where it is absent."""
        value = self.value.get(name)
        if value not in (None, False, True):
            raise self.error(name, "true or false")
        return bool(value)

    def text(self, name: str) -> str:
        """A text that is not empty."""
        value = self.value.get(name)
        if not isinstance(value, str) or not value:
            raise self.error(name, "a text")
        return value

    def one_of(self, name: str, meanings: dict[str, Meaning], default: str | None = None) -> Meaning:
        """What one of several words means."""
        value = self.value.get(name)
        value = default if value is None else value
        if not isinstance(value, str) or value not in meanings:
            raise self.error(name, f"one of {', '.join(meanings)}")
        return meanings[value]

    def section(self, name: str, *, optional: bool = False) -> FieldReader:
        """An object within this one; empty where it is optional and absent."""
        value = self.value.get(name)
        if value is None and not optional:
            raise self.error(name, "an object")
        return FieldReader({} if value is None else value, self.path_of(name))

    def entries(self, name: str) -> list[Any]:
        """A list; empty where it is absent."""
        value = self.value.get(name)
        if value is not None and not isinstance(value, list):
            raise self.error(name, "a list")
        return value or []

    def objects(self, name: str) -> list[FieldReader]:
        """A list of objects."""
        return [
            FieldReader(row, self.path_of(f"{name}[{index}]")) for index, row in enumerate(self.entries(name))
        ]

    def entry(self, name: str, index: int) -> FieldReader:
        """One entry of a list that has one for each request class, as a field named by its index.

        The field is absent where the list is shorter.
        """
        entries = self.entries(name)
        return FieldReader({str(index): entries[index] if index < len(entries) else None}, self.path_of(name))


def _is_number(value: Any) -> bool:
    return isinstance(value, int | float) and not isinstance(value, bool)


def _shortened(value: Any) -> str:
    return repr(value) if len(repr(value)) <= MAX_QUOTED_LENGTH else type(value).__name__
