"""Typed access to JSON objects, with errors that name the field and the expected value."""

from __future__ import annotations

from typing import Any, TypeVar

from thymeyoke.runtime.errors import ThymeyokeError

INVALID_VALUE = "holds a value that cannot be used"
MAX_QUOTED_LENGTH = 40  # characters of a value in an error message

Meaning = TypeVar("Meaning")


class StartFileError(ThymeyokeError):
    """A start file cannot be used."""


class FieldReader:
    """Reads the fields of one object of a start file; `null` counts as absent.

    `path`: the object's path from the root. All methods raise `StartFileError` for invalid values.
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
        """The error for a field that is missing or invalid."""
        found = self.value.get(name)
        if found is None:
            return StartFileError(f"lacks '{name}' in {self.path or 'the whole'}; it must be {expected}")
        quoted = _shortened(found)
        return StartFileError(f"{INVALID_VALUE}: {self.path_of(name)} must be {expected}, not {quoted}")

    def number(
        self, name: str, default: float | None = None, *, least: float = 0.0, above: float | None = None
    ) -> float:
        """A number of at least `least`, or more than `above` if given. Required unless there is a default."""
        given = self.value.get(name, default)
        value: Any = default if given is None else given
        expected = f"a number of at least {least:g}" if above is None else f"a number above {above:g}"
        if not _is_number(value) or value < least or (above is not None and value <= above):
            raise self.error(name, expected)
        number: float = value
        return number

    def flag(self, name: str) -> bool:
        """A boolean; False if absent."""
        value = self.value.get(name)
        if value not in (None, False, True):
            raise self.error(name, "true or false")
        return bool(value)

    def text(self, name: str) -> str:
        """A non-empty text."""
        value = self.value.get(name)
        if not isinstance(value, str) or not value:
            raise self.error(name, "a non-empty text")
        return value

    def one_of(self, name: str, meanings: dict[str, Meaning], default: str | None = None) -> Meaning:
        """The meaning of a text that must be one of the keys of `meanings`."""
        value = self.value.get(name)
        value = default if value is None else value
        if not isinstance(value, str) or value not in meanings:
            raise self.error(name, f"one of {', '.join(meanings)}")
        return meanings[value]

    def section(self, name: str, *, optional: bool = False) -> FieldReader:
        """A reader of a nested object; an empty one if it is optional and absent."""
        value = self.value.get(name)
        if value is None and not optional:
            raise self.error(name, "an object")
        return FieldReader({} if value is None else value, self.path_of(name))

    def entries(self, name: str) -> list[Any]:
        """A list; empty if absent."""
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
        """One entry of a list with an entry for each request class, as a field named by its index.

        The field is absent if the list is shorter.
        """
        entries = self.entries(name)
        return FieldReader({str(index): entries[index] if index < len(entries) else None}, self.path_of(name))


def _is_number(value: Any) -> bool:
    return isinstance(value, int | float) and not isinstance(value, bool)


def _shortened(value: Any) -> str:
    return repr(value) if len(repr(value)) <= MAX_QUOTED_LENGTH else type(value).__name__
