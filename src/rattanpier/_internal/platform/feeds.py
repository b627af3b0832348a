"""Decodes pages of the platform's tables row by row."""

from __future__ import annotations

from collections.abc import Callable, Iterator

import structlog

from rattanpier._internal.exceptions import UnreadableError
from rattanpier._internal.models.domain_order import DomainOrder
from rattanpier._internal.models.feed import FeedRow, Page, UnreadableRow
from rattanpier._internal.models.rollout_order import RolloutOrder
from rattanpier._internal.models.route_table import RouteTable
from rattanpier._internal.models.worker import RegisteredWorker
from rattanpier._internal.platform import (
    drained_domains,
    manifest,
    registrations,
    rollouts,
)
from rattanpier._internal.utils.metrics import Metrics

log = structlog.get_logger(part="platform")

OperatorItem = RouteTable | RolloutOrder | DomainOrder
OperatorRowDecoder = Callable[[Page], Iterator[OperatorItem]]
WorkerRowDecoder = Callable[
    [Page], Iterator[RegisteredWorker | FeedRow | UnreadableRow]
]


def operator_row_decoder(
    metrics: Metrics, table_version: Callable[[], int] = lambda: -1
) -> OperatorRowDecoder:
    """Returns a decoder of operators' rows that skips unreadable rows.

    Args:
      metrics: Counts unreadable rows.
      table_version: Returns the version of the route table in force; tables
        that are not newer are skipped.
    """

    def decode(page: Page) -> Iterator[OperatorItem]:
        for row in page.rows:
            try:
                if drained_domains.is_order(row):
                    yield drained_domains.decode_order(row)
                elif row.deleted:
                    continue
                elif row.key == manifest.KEY:
                    table = manifest.decode_manifest(row.value, table_version())
                    if table is not None:
                        yield table
                elif rollouts.is_order(row):
                    yield rollouts.decode_order(row)
            except UnreadableError as error:
                record_unreadable(metrics, "operators", row, error)

    return decode


def worker_row_decoder(metrics: Metrics) -> WorkerRowDecoder:
    """Returns a decoder of workers' rows; deleted rows are passed through."""

    def decode(
        page: Page,
    ) -> Iterator[RegisteredWorker | FeedRow | UnreadableRow]:
        for row in page.rows:
            if row.deleted:
                yield row
                continue
            try:
                yield registrations.decode_worker(row)
            except UnreadableError as error:
                record_unreadable(metrics, registrations.TABLE, row, error)
                yield UnreadableRow(row.key)

    return decode


def record_unreadable(
    metrics: Metrics, table: str, row: FeedRow, error: UnreadableError
) -> None:
    """Counts and logs a row that can't be decoded."""
    metrics.count("relay.row_unreadable")
    log.error(
        "Row can't be read.",
        table=table,
        row=row.key,
        revision=row.revision.number,
        error=error.message,
    )
