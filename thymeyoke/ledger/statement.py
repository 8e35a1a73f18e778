"""What a receiver makes of the batches it holds: statements, reconciliation, and the way from a sum down to
its parts.

Pure: a function of the set of batches, whatever order they came in, however often.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any, NamedTuple

from thymeyoke.ledger import wire
from thymeyoke.ledger.export import Held
from thymeyoke.ledger.usage_entries import Amounts, Kind, Line, sums
from thymeyoke.ledger.wire import Batch, Body


class Stream(NamedTuple):
    """One book as a receiver holds it."""

    book: bytes
    name: str
    batches: Mapping[int, Batch]


def prefix(stream: Stream) -> tuple[Held, list[Batch], list[str]]:
    """What counts: from batch 1 on without a gap, as far as the chain fits. And what does not."""
    high, before, found, wrong = 0, b"", [], []
    while (batch := stream.batches.get(high + 1)) is not None:
        if batch.before != before:
            wrong.append(f"{stream.name}: batch {high + 1} does not fit the one before it")
            break
        found.append(batch)
        high, before = high + 1, batch.hash
    if later := [number for number in stream.batches if number > high + 1]:
        wrong.append(f"{stream.name}: batches {high + 1} to {min(later) - 1} are missing")
    return Held(high, before), found, wrong


def bodies(streams: Iterable[Stream]) -> list[tuple[Stream, Body]]:
    """All that counts, in an order of its own: by book, then number."""
    ordered = sorted(streams, key=lambda stream: stream.book)
    return [(stream, wire.read_body(batch.body)) for stream in ordered for batch in prefix(stream)[1]]


def statement(
    streams: Iterable[Stream], tenant: str | None = None, period: int | None = None
) -> list[dict[str, Any]]:
    """Sums by period, tenant, op type and kind, corrections beside what they correct. A period that lacks a
    part of a version is told as not whole."""
    found: dict[tuple[int, str, str, Kind], Amounts] = {}
    versions: dict[int, int] = {}
    there: dict[tuple[bytes, int, int], list[int]] = {}
    for stream, body in bodies(streams):
        versions[body.period] = max(versions.get(body.period, 0), body.version)
        there.setdefault((stream.book, body.period, body.version), [body.parts]).append(body.part)
        for line, amounts in body.rows:
            if tenant in (None, line.tenant) and period in (None, body.period):
                key = (body.period, line.tenant, line.type, line.kind)
                found[key] = found.get(key, Amounts()).plus(amounts)
    open_ = {at for (_, at, _), parts in there.items() if len(set(parts[1:])) < parts[0]}
    return [
        {"period": key[0], "version": versions[key[0]], "tenant": key[1], "type": key[2],
         "kind": key[3].name.lower(), **amounts._asdict(), "whole": key[0] not in open_}
        for key, amounts in sorted(found.items())
    ]  # fmt: skip


def charged(streams: Iterable[Stream]) -> dict[Line, Amounts]:
    """Everything, by tenant, type and kind."""
    return sums((Line(*line[:3]), amounts) for _, body in bodies(streams) for line, amounts in body.rows)


def reconcile(streams: Iterable[Stream]) -> list[str]:
    """What a person should look at: gaps, chains that do not fit, two books under one name, late
    corrections."""
    found: list[str] = []
    names: dict[str, list[bytes]] = {}
    for stream in sorted(streams, key=lambda stream: stream.book):
        names.setdefault(stream.name, []).append(stream.book)
        found += prefix(stream)[2]
        for batch in prefix(stream)[1]:
            body = wire.read_body(batch.body)
            if body.version > 1:
                found.append(
                    f"{stream.name}: period {body.period} has version {body.version} (batch {body.number})"
                )
    for name, books in sorted(names.items()):
        if len(books) > 1:
            found.append(
                f"{name}: {len(books)} books under one name: {', '.join(b.hex()[:8] for b in books)}"
            )
    return found


def explain(streams: Iterable[Stream], tenant: str, period: int) -> list[dict[str, Any]]:
    """From a tenant's sum in a period down to the rows of each instance's batches, corrections with their
    reasons."""
    return [
        {"name": stream.name, "book": stream.book.hex()[:8], "batch": body.number, "version": body.version,
         "type": line.type, "kind": line.kind.name.lower(), **amounts._asdict(), "corrects": line.corrects,
         "who": line.who, "why": line.why}
        for stream, body in bodies(streams) if body.period == period
        for line, amounts in body.rows if line.tenant == tenant
    ]  # fmt: skip
