"""Decodes pages of the platform's tables row by row."""

from __future__ import annotations

import collections
from collections.abc import Callable, Iterator
from typing import TypeVar

import structlog

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

T = TypeVar("T")

MAX_LOGGED_ROWS = 256
MAX_ERROR_LENGTH = 400

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

    def decode_row(row: FeedRow) -> OperatorItem | None:
        if drained_domains.is_order(row):
            return drained_domains.decode_order(row)
        if row.deleted:
            return None
        if row.key == manifest.KEY:
            return manifest.decode_manifest(row.value, table_version())
        return rollouts.decode_order(row) if rollouts.is_order(row) else None

    read = row_reader(metrics, "operators", decode_row)

    def decode(page: Page) -> Iterator[OperatorItem]:
        for row in page.rows:
            item = read(row)
            if item is not None and not isinstance(item, UnreadableRow):
                yield item

    return decode


def worker_row_decoder(metrics: Metrics) -> WorkerRowDecoder:
    """Returns a decoder of workers' rows; deleted rows are passed through."""
    read = row_reader(metrics, registrations.TABLE, registrations.decode_worker)

    def decode(
        page: Page,
    ) -> Iterator[RegisteredWorker | FeedRow | UnreadableRow]:
        return (row if row.deleted else read(row) for row in page.rows)

    return decode


def row_reader(
    metrics: Metrics, table: str, decode_row: Callable[[FeedRow], T]
) -> Callable[[FeedRow], T | UnreadableRow]:
    """Returns a decoder of single rows that never raises.

    An unreadable row is logged once until its error changes.

    Args:
      metrics: Counts unreadable rows.
      table: Name of the table, for the log.
      decode_row: Decodes a row; may raise anything.
    """
    logged: collections.OrderedDict[str, str] = collections.OrderedDict()

    def read(row: FeedRow) -> T | UnreadableRow:
        try:
            return decode_row(row)
        except Exception as error:
            metrics.count("relay.row_unreadable")
            text = str(error)[:MAX_ERROR_LENGTH]
            if logged.get(row.key) != text:
                log.error(
                    "Row can't be read.",
                    table=table,
                    row=row.key,
                    revision=row.revision.number,
                    error=text,
                )
            logged[row.key] = text
            logged.move_to_end(row.key)
            if len(logged) > MAX_LOGGED_ROWS:
                logged.popitem(last=False)
            return UnreadableRow(row.key)

    return read
