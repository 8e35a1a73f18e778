"""The operators' file: INI, one typed value a section.

Read with `configparser`, each option checked by msgspec against the type that its section's own module
states. A section's module is imported only where the file has that section. What can't be taken is one
sentence that names file, section and option, and what would do.
"""

from __future__ import annotations

from configparser import (
    ConfigParser,
    DuplicateOptionError,
    DuplicateSectionError,
    MissingSectionHeaderError,
    ParsingError,
)
from importlib import import_module
from ipaddress import IPv4Address, IPv6Address, ip_address
from pathlib import Path
from typing import Any, TypeVar, get_args, get_origin, get_type_hints

import msgspec

# Each has `gather`: the section and those under it.
SECTIONS = {
    "announce": "thymeyoke.bgp.configuration",
    "ledger": "thymeyoke.ledger.configuration",
    "members": "thymeyoke.membership.configuration",
    "moves": "thymeyoke.migration.configuration",
    "node": "thymeyoke.proxy.configuration",
}

SECRET = ("password", "key")  # not told in errors
Section = TypeVar("Section", bound=msgspec.Struct)
Orders = dict[str, Any]  # by the section's name, what its module made of it


Ip = IPv4Address | IPv6Address
PORT = "an IP address and a port, as 192.0.2.9:179 or [2001:db8::9]:179"


class BadOrders(Exception):
    """The operators' file can't be taken; the text is for them."""


class HostPort:
    """An IP address and a port; no name is looked up."""

    def __init__(self, ip: Ip, port: int) -> None:
        self.ip, self.port = ip, port

    @classmethod
    def parse(cls, text: str) -> HostPort:
        host, _, port = text.rpartition(":")
        if not 0 < int(port) < 65536:
            raise ValueError(text)
        return cls(ip_address(host.strip("[]")), int(port))

    def __eq__(self, other: object) -> bool:
        return isinstance(other, HostPort) and (self.ip, self.port) == (other.ip, other.port)

    def __hash__(self) -> int:
        return hash((self.ip, self.port))

    def __str__(self) -> str:
        return f"[{self.ip}]:{self.port}" if self.ip.version == 6 else f"{self.ip}:{self.port}"


class Raw:
    """The sections of a file as text, and who they belong to in an error."""

    def __init__(self, path: Path, text: str) -> None:
        self.path = path
        parser = ConfigParser(interpolation=None, default_section="\0")
        try:
            parser.read_string(text)
        except DuplicateSectionError as error:
            raise self.bad(error.section, None, "stands twice; give each its own name") from None
        except DuplicateOptionError as error:
            raise self.bad(error.section, error.option, "stands twice; keep one") from None
        except (MissingSectionHeaderError, ParsingError) as error:
            line = getattr(error, "lineno", None) or error.errors[0][0]
            raise BadOrders(
                f"{path}: line {line} can't be read; write [section] lines, and option = value under them"
            ) from None
        self.sections: dict[str, dict[str, str]] = {}
        for name in parser.sections():
            plain = " ".join(name.split())
            if plain in self.sections:
                raise self.bad(plain, None, "stands twice; give each its own name")
            self.sections[plain] = dict(parser[name])

    def bad(self, section: str, option: str | None, what: str) -> BadOrders:
        return BadOrders(f"{self.path}: [{section}] " + (f"{option}: {what}" if option else what))

    def take(self, section: str, type_: type[Section], **given: Any) -> Section:
        """One section as a typed value. `given` are fields that no option sets."""
        options = self.sections[section]
        hints = get_type_hints(type_, include_extras=True)
        every = msgspec.structs.fields(type_)
        fields = {field.encode_name: field for field in every if field.name not in given}
        for option in options:
            if option not in fields:
                raise self.bad(section, option, f"no such option; there are {', '.join(sorted(fields))}")
        values = dict(given)
        for option, field in fields.items():
            if option in options:
                values[field.name] = self._value(section, option, options[option], hints[field.name])
            elif field.required:
                raise self.bad(section, option, f"is missing; give {_would_do(hints[field.name])}")
        return type_(**values)

    def _value(self, section: str, option: str, text: str, hint: Any) -> Any:
        plain = get_args(hint)[0] if hasattr(hint, "__metadata__") else hint
        many = get_origin(plain) is tuple
        value: Any = [part for word in text.split(",") if (part := word.strip())] if many else text.strip()
        try:
            return msgspec.convert(value, hint, strict=False, dec_hook=_own)
        except (msgspec.ValidationError, ValueError):
            said = "what is given" if option in SECRET else repr(text)
            raise self.bad(section, option, f"{said} can't be used; give {_would_do(hint)}") from None


def _own(kind: Any, value: Any) -> Any:
    """Types that msgspec does not know read themselves; what they can't read is a ValueError."""
    return kind.parse(value) if hasattr(kind, "parse") else kind(value)


def _would_do(hint: Any) -> str:
    metas = [meta for meta in getattr(hint, "__metadata__", ()) if isinstance(meta, msgspec.Meta)]
    return next((meta.description for meta in metas if meta.description), "a value of its type")


def read(path: Path) -> Orders:
    """A whole file, or `BadOrders`: nothing of a bad file is taken."""
    try:
        raw = Raw(path, path.read_text())
    except OSError as error:
        raise BadOrders(f"{path}: cannot be read: {error.strerror}") from None
    except UnicodeDecodeError:
        raise BadOrders(f"{path}: is not UTF-8 text") from None
    for name in raw.sections:
        head = name.partition(".")[0]
        if head not in SECTIONS:
            raise raw.bad(name, None, f"no such section; there are {', '.join(sorted(SECTIONS))}")
        if head not in raw.sections:
            raise raw.bad(name, None, f"stands without [{head}]; add that section")
    return {
        name: import_module(module).gather(raw) for name, module in SECTIONS.items() if name in raw.sections
    }
