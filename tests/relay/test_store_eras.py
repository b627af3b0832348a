"""Tests of the store's client when the store is restored from a backup."""

import types

import pytest

from rattanpier._internal.exceptions import (
    HistoryGoneError,
    StoreUnavailableError,
)
from rattanpier._internal.models.feed import RowCheck, RowPut, WrittenAt
from rattanpier._internal.models.outcomes import Conflict, Uncertain
from rattanpier._internal.platform import rows
from rattanpier._internal.relay.history import StoreHistory
from rattanpier._internal.standin.platform_store import PlatformStoreServer
from rattanpier._internal.utils.metrics import Metrics
from tests.lib.clock import ManualClock
from tests.lib.platform_site import platform_site
from tests.lib.relay_parts import at

TABLE, KEY = "entries", "rollout/s"


@pytest.fixture
async def site():
    async with platform_site() as made:
        yield made


@pytest.fixture
def history():
    return StoreHistory(ManualClock(), Metrics())


@pytest.fixture
def client(site, history):
    return rows.PlatformStore(
        site.session,
        f"http://{site.store_address}",
        lambda era: history.record_era(era, "store"),
    )


def write(client, revision, value):
    checks = [RowCheck(TABLE, KEY, revision)]
    return client.transact(checks, [RowPut(TABLE, KEY, value)])


async def test_each_response_reports_its_era_even_on_errors(
    site, client, history
):
    backup = site.store.take_backup()
    site.store.put(TABLE, KEY, "x")
    page = await client.scan(TABLE)
    assert (page.revision.era, history.era) == (1, 1)
    site.store.restore_backup(backup)
    with pytest.raises(HistoryGoneError):
        await client.changes(TABLE, page.revision, 0.0)
    assert history.era == 2
    site.store.restore_backup(backup)
    assert isinstance(await write(client, at(99, 2), b"y"), Conflict)
    assert history.era == 3


async def test_a_check_from_an_earlier_era_fails_without_a_call(site, client):
    written = await write(client, at(0, 0), b"1")
    assert isinstance(written, WrittenAt)
    backup = site.store.take_backup()
    site.store.restore_backup(backup)
    page = await client.scan(TABLE)
    site.store.calls.clear()
    assert isinstance(await write(client, written.revision, b"2"), Conflict)
    assert site.store.calls == []
    (row,) = page.rows
    assert isinstance(await write(client, row.revision, b"2"), WrittenAt)


async def test_a_check_that_matches_another_row_is_uncertain(site, client):
    backup = site.store.take_backup()
    written = await write(client, at(0, 0), b"1")
    site.store.restore_backup(backup)
    # The restored store assigns the same version to another row.
    site.store.put(TABLE, KEY, "other")
    assert site.store.version == written.revision.version
    outcome = await write(client, written.revision, b"2")
    assert isinstance(outcome, Uncertain)


async def test_a_scan_that_spans_two_eras_fails(monkeypatch):
    monkeypatch.setattr(rows, "PAGE_ROWS", 2)
    scan = PlatformStoreServer.scan

    async def scan_and_restore(server, request):
        answer = await scan(server, request)
        await answer.prepare(request)
        server.restore_backup(server.take_backup())
        return answer

    monkeypatch.setattr(PlatformStoreServer, "scan", scan_and_restore)
    async with platform_site() as site:
        for number in range(3):
            site.store.put(TABLE, f"e{number}", "x")
        client = rows.PlatformStore(
            site.session, f"http://{site.store_address}"
        )
        with pytest.raises(StoreUnavailableError):
            await client.scan(TABLE)


def test_a_response_without_an_era_has_the_newest_one(client, history):
    history.record_era(3, "peer")
    for headers in ({}, {rows.ERA: "new"}, {rows.ERA: "-1"}):
        assert client.era_of(types.SimpleNamespace(headers=headers)) == 3
    response = types.SimpleNamespace(headers={rows.ERA: "2"})
    assert client.era_of(response) == 2
    assert history.era == 3
