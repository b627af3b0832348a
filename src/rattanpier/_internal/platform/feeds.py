"""Pages of the platform's tables, decoded row by row."""

from __future__ import annotations

from collections.abc import Iterator

import structlog

from rattanpier._internal.exceptions import ConfigurationError
from rattanpier._internal.models.feed import FeedRow, Page
from rattanpier._internal.models.rollout_order import RolloutOrder
from rattanpier._internal.models.route_table import RouteTable
from rattanpier._internal.models.worker import RegisteredWorker
from rattanpier._internal.platform import (
    manifest,
    registrations,
    rollouts,
)

log = structlog.get_logger(part="platform")


def operator_news(page: Page) -> Iterator[RouteTable | RolloutOrder]:
    """Yields what operators wrote; a row that can't be read is left out."""
    for row in page.rows:
        if row.deleted:
            continue
        try:
            if row.key == manifest.KEY:
                yield manifest.decode_manifest(row.value)
            elif rollouts.is_order(row):
                yield rollouts.decode_order(row)
        except ConfigurationError as error:
            log.error("Row can't be read.", row=row.key, error=error.message)


def worker_news(page: Page) -> Iterator[RegisteredWorker | FeedRow]:
    """Yields registrations; the row itself where one was removed."""
    for row in page.rows:
        if row.deleted:
            yield row
            continue
        try:
            yield registrations.decode_worker(row)
        except ConfigurationError as error:
            log.error("Row can't be read.", row=row.key, error=error.message)
