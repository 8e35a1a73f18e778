"""Statements over the batches that a receiver stores, and checks of their consistency.

Pure functions of the set of batches: the order and number of deliveries make no difference.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any, NamedTuple

from thymeyoke.ledger import wire
from thymeyoke.ledger.export import StoredPrefix
from thymeyoke.ledger.usage_entries import Amounts, Kind, UsageKey, sum_by_key
from thymeyoke.ledger.wire import Batch, BatchBody


class ReceivedJournal(NamedTuple):
    """The batches of one journal that a receiver stores."""

    journal_id: bytes
    name: str
    batches: Mapping[int, Batch]


def contiguous_batches(journal: ReceivedJournal) -> tuple[StoredPrefix, list[Batch], list[str]]:
    """Return the batches that count, and the problems of the others.

    Batches count from the first one on, up to the first gap or mismatch of hashes.
    """
    high, before, batches, problems = 0, b"", [], []
    while (batch := journal.batches.get(high + 1)) is not None:
        if batch.before != before:
            problems.append(f"{journal.name}: batch {high + 1} does not follow the one before it")
            break
        batches.append(batch)
        high, before = high + 1, batch.hash
    if later := [number for number in journal.batches if number > high + 1]:
        problems.append(f"{journal.name}: batches {high + 1} to {min(later) - 1} are missing")
    return StoredPrefix(high, before), batches, problems


def counted_bodies(received_journals: Iterable[ReceivedJournal]) -> list[tuple[ReceivedJournal, BatchBody]]:
    """Return the decoded batches that count, ordered by journal and number."""
    ordered = sorted(received_journals, key=lambda journal: journal.journal_id)
    return [
        (journal, wire.decode_body(batch.body))
        for journal in ordered
        for batch in contiguous_batches(journal)[1]
    ]


def statement(
    received_journals: Iterable[ReceivedJournal], tenant: str | None = None, period: int | None = None
) -> list[dict[str, Any]]:
    """Sum up usage by period, tenant, request class and kind; corrections are included.

    `whole` is False for a period of which some version is not complete yet.
    """
    totals: dict[tuple[int, str, str, Kind], Amounts] = {}
    versions: dict[int, int] = {}
    parts_seen: dict[tuple[bytes, int, int], list[int]] = {}
    for journal, body in counted_bodies(received_journals):
        versions[body.period] = max(versions.get(body.period, 0), body.version)
        parts_seen.setdefault((journal.journal_id, body.period, body.version), [body.parts]).append(body.part)
        for key, amounts in body.rows:
            if tenant in (None, key.tenant) and period in (None, body.period):
                group = (body.period, key.tenant, key.type, key.kind)
                totals[group] = totals.get(group, Amounts()).plus(amounts)
    incomplete_periods = {at for (_, at, _), parts in parts_seen.items() if len(set(parts[1:])) < parts[0]}
    return [
        {"period": group[0], "version": versions[group[0]], "tenant": group[1], "type": group[2],
         "kind": group[3].name.lower(), **amounts._asdict(), "whole": group[0] not in incomplete_periods}
        for group, amounts in sorted(totals.items())
    ]  # fmt: skip


def charged_totals(received_journals: Iterable[ReceivedJournal]) -> dict[UsageKey, Amounts]:
    """Sum up all usage by tenant, request class and kind."""
    return sum_by_key(
        (UsageKey(*key[:3]), amounts)
        for _, body in counted_bodies(received_journals)
        for key, amounts in body.rows
    )


def reconcile(received_journals: Iterable[ReceivedJournal]) -> list[str]:
    """Return what an operator should look at: gaps, mismatches, duplicate names, late corrections."""
    findings: list[str] = []
    names: dict[str, list[bytes]] = {}
    for journal in sorted(received_journals, key=lambda journal: journal.journal_id):
        names.setdefault(journal.name, []).append(journal.journal_id)
        findings += contiguous_batches(journal)[2]
        for batch in contiguous_batches(journal)[1]:
            body = wire.decode_body(batch.body)
            if body.version > 1:
                findings.append(
                    f"{journal.name}: period {body.period} has version {body.version} (batch {body.number})"
                )
    for name, books in sorted(names.items()):
        if len(books) > 1:
            findings.append(
                f"{name}: {len(books)} journals under one name: {', '.join(b.hex()[:8] for b in books)}"
            )
    return findings


def explain(received_journals: Iterable[ReceivedJournal], tenant: str, period: int) -> list[dict[str, Any]]:
    """Return the rows that make up a tenant's sum in a period, with the reasons of corrections."""
    return [
        {
            "name": journal.name,
            "book": journal.journal_id.hex()[:8],
            "batch": body.number,
            "version": body.version,
            "type": key.type,
            "kind": key.kind.name.lower(),
            **amounts._asdict(),
            "corrects": key.corrects,
            "who": key.who,
            "why": key.why,
        }
        for journal, body in counted_bodies(received_journals)
        if body.period == period
        for key, amounts in body.rows
        if key.tenant == tenant
    ]
