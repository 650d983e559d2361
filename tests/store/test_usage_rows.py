"""Rows of usage reports: one report per window, written by the lease's holder only."""

from __future__ import annotations

import pytest

from tamarackshelf.contracts.rows import StoreOutcomeUnknown
from tamarackshelf.standin.row_store import MemoryRowStore
from tamarackshelf.store.fleet_rows import acquire_lease, read_lease
from tamarackshelf.store.usage_rows import (
    LeaseChanged,
    UsageReport,
    delete_reports,
    mark_answered,
    read_reports,
    store_report,
)

SUBJECT = "usage"


@pytest.fixture
def run_with_lease(run):
    def run_scenario(scenario):
        async def acquire_and_run():
            client = MemoryRowStore().connect()
            free = await read_lease(client, SUBJECT)
            lease = await acquire_lease(client, SUBJECT, free, "a", 1)
            await scenario(client, lease)

        run(acquire_and_run())

    return run_scenario


# Two different reports on one window violate the platform's rules.
def test_second_report_on_a_window_is_not_stored(run_with_lease):
    async def scenario(client, lease):
        first = await store_report(client, UsageReport(7, b"first"), SUBJECT, lease)
        second = await store_report(client, UsageReport(7, b"second"), SUBJECT, lease)
        assert second == first
        assert (await read_reports(client, 0))[7].report.body == b"first"

    run_with_lease(scenario)


# A holder that was frozen may write after its successor has read the reports.
def test_earlier_holder_stores_and_marks_nothing(run_with_lease):
    async def scenario(client, lease):
        stored = await store_report(client, UsageReport(7, b"a"), SUBJECT, lease)
        await acquire_lease(client, SUBJECT, lease, "b", 1)
        with pytest.raises(LeaseChanged):
            await store_report(client, UsageReport(8, b"a"), SUBJECT, lease)
        with pytest.raises(LeaseChanged):
            await mark_answered(client, stored, SUBJECT, lease)
        assert (await read_reports(client, 0)).keys() == {7}

    run_with_lease(scenario)


def test_mark_whose_answer_was_lost_is_found_again(run_with_lease):
    async def scenario(client, lease):
        stored = await store_report(client, UsageReport(7, b"a"), SUBJECT, lease)
        client.lose_answers = 1
        with pytest.raises(StoreOutcomeUnknown):
            await mark_answered(client, stored, SUBJECT, lease)
        marked = await mark_answered(client, stored, SUBJECT, lease)
        assert marked.report.is_answered
        assert marked.version > stored.version

    run_with_lease(scenario)


def test_old_reports_are_deleted(run_with_lease):
    async def scenario(client, lease):
        for window in range(5):
            await store_report(client, UsageReport(window, b"a"), SUBJECT, lease)
        assert await delete_reports(client, before_window=3) == 3
        assert (await read_reports(client, 0)).keys() == {3, 4}
        assert await delete_reports(client, before_window=3) == 0

    run_with_lease(scenario)
