"""The service configuration: an INI file, read into one typed value for each section.

msgspec converts each option to the type that the section's module declares. A section's module is imported
only if the file has the section. Errors name the file, the section and the option, and say what to write
instead.
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

# Each module has a function `read_settings` for its section and subsections.
SECTION_MODULES = {
    "announce": "thymeyoke.bgp.configuration",
    "ledger": "thymeyoke.ledger.configuration",
    "members": "thymeyoke.membership.configuration",
    "moves": "thymeyoke.migration.configuration",
    "node": "thymeyoke.proxy.configuration",
}

SECRET_OPTIONS = ("password", "key")  # their values are never quoted in errors
SectionType = TypeVar("SectionType", bound=msgspec.Struct)
ServiceConfig = dict[str, Any]  # settings by the section's name
IpAddress = IPv4Address | IPv6Address
HOST_PORT_DESCRIPTION = "an IP address and a port, as 192.0.2.9:179 or [2001:db8::9]:179"


class ServiceConfigError(Exception):
    """The file cannot be used; the message tells the operator why."""


class HostPort:
    """An IP address and a port; host names are not resolved."""

    def __init__(self, ip: IpAddress, port: int) -> None:
        self.ip, self.port = ip, port

    @classmethod
    def parse(cls, text: str) -> HostPort:
        """Parse `address:port`, with an IPv6 address in brackets; raises ValueError."""
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


class ConfigFile:
    """The sections of one file as texts, with methods to convert them."""

    def __init__(self, path: Path, text: str) -> None:
        self.path = path
        parser = ConfigParser(interpolation=None, default_section="\0")
        try:
            parser.read_string(text)
        except DuplicateSectionError as error:
            raise self.error(error.section, None, "stands twice; give each its own name") from None
        except DuplicateOptionError as error:
            raise self.error(error.section, error.option, "stands twice; keep one") from None
        except (MissingSectionHeaderError, ParsingError) as error:
            line = getattr(error, "lineno", None) or error.errors[0][0]
            raise ServiceConfigError(
                f"{path}: line {line} is invalid; write [section] lines, and option = value below them"
            ) from None
        self.sections: dict[str, dict[str, str]] = {}
        for raw_name in parser.sections():
            name = " ".join(raw_name.split())
            if name in self.sections:
                raise self.error(name, None, "stands twice; give each its own name")
            self.sections[name] = dict(parser[raw_name])

    def error(self, section: str, option: str | None, problem: str) -> ServiceConfigError:
        """An error that names the file, the section and, if given, the option."""
        text = f"{option}: {problem}" if option else problem
        return ServiceConfigError(f"{self.path}: [{section}] {text}")

    def read_section(self, section: str, type_: type[SectionType], **given: Any) -> SectionType:
        """Convert one section to a typed value; `given`: fields that are not options."""
        options = self.sections[section]
        hints = get_type_hints(type_, include_extras=True)
        all_fields = msgspec.structs.fields(type_)
        fields = {field.encode_name: field for field in all_fields if field.name not in given}
        for option in options:
            if option not in fields:
                raise self.error(section, option, f"no such option; there are {', '.join(sorted(fields))}")
        values = dict(given)
        for option, field in fields.items():
            if option in options:
                values[field.name] = self._convert(section, option, options[option], hints[field.name])
            elif field.required:
                raise self.error(section, option, f"is missing; give {_describe(hints[field.name])}")
        return type_(**values)

    def _convert(self, section: str, option: str, text: str, hint: Any) -> Any:
        """Convert an option's text to the type of its hint; the items of a tuple are separated by commas."""
        plain_type = get_args(hint)[0] if hasattr(hint, "__metadata__") else hint
        is_tuple = get_origin(plain_type) is tuple
        value: Any = _split_list(text) if is_tuple else text.strip()
        try:
            return msgspec.convert(value, hint, strict=False, dec_hook=_decode_custom_type)
        except (msgspec.ValidationError, ValueError):
            quoted = "what is given" if option in SECRET_OPTIONS else repr(text)
            raise self.error(section, option, f"{quoted} can't be used; give {_describe(hint)}") from None


def _split_list(text: str) -> list[str]:
    return [part for word in text.split(",") if (part := word.strip())]


def _decode_custom_type(type_: Any, value: Any) -> Any:
    """Create a value of a type unknown to msgspec, with its `parse` method or its constructor."""
    return type_.parse(value) if hasattr(type_, "parse") else type_(value)


def _describe(hint: Any) -> str:
    """Description of the values that an option accepts, for error messages."""
    metadata = [meta for meta in getattr(hint, "__metadata__", ()) if isinstance(meta, msgspec.Meta)]
    return next((meta.description for meta in metadata if meta.description), "a value of its type")


def read_service_config(path: Path) -> ServiceConfig:
    """Read a complete file; raises `ServiceConfigError` if any part of it is invalid."""
    try:
        config_file = ConfigFile(path, path.read_text())
    except OSError as error:
        raise ServiceConfigError(f"{path}: cannot be read: {error.strerror}") from None
    except UnicodeDecodeError:
        raise ServiceConfigError(f"{path}: is not UTF-8 text") from None
    for name in config_file.sections:
        parent = name.partition(".")[0]
        if parent not in SECTION_MODULES:
            known = ", ".join(sorted(SECTION_MODULES))
            raise config_file.error(name, None, f"no such section; there are {known}")
        if parent not in config_file.sections:
            raise config_file.error(name, None, f"stands without [{parent}]; add that section")
    return {
        name: import_module(module).read_settings(config_file)
        for name, module in SECTION_MODULES.items()
        if name in config_file.sections
    }
