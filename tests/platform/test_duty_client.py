"""Duty calls to the platform over real sockets: headers, bodies and refusals."""

from __future__ import annotations

import asyncio
import json

import pytest

from tamarackshelf.contracts.duties import (
    DutyCallFailed,
    DutyFenced,
    DutyStamp,
    OrderUnavailable,
)
from tamarackshelf.net import HttpClient, HttpServer, Response
from tamarackshelf.platform.duty_client import PlatformDutyClient
from tests.conftest import find_free_address

STAMP = DutyStamp("vm-1", 7)


async def call(answer, act, timeout_s=2.0):
    """Act on a client whose server gives this answer; return the requests."""
    requests, address = [], find_free_address()

    async def handle(request):
        requests.append(request)
        if answer is None:
            await asyncio.sleep(3600)
        return Response(answer)

    server, http = HttpServer(handle), HttpClient()
    await server.start(address)
    try:
        await act(PlatformDutyClient(http, address), timeout_s)
    finally:
        await http.close()
        await server.abort()
    return requests


async def report(client, timeout_s):
    body = client.encode_usage(12, {"a": 3, "b": 1})
    await client.report_usage(body, STAMP, timeout_s)


async def test_report_names_its_holder_number_window_and_counts():
    (request,) = await call(200, report)
    assert (request.method, request.path) == ("POST", "/usage")
    assert request.headers["x-duty-holder"] == "vm-1"
    assert request.headers["x-fence-token"] == "7"
    counts = {"window": 12, "replicaCounts": {"a": 3, "b": 1}}
    assert json.loads(request.body) == counts


async def test_refusal_of_the_number_differs_from_other_failures():
    with pytest.raises(DutyFenced):
        await call(409, report)
    for status in (429, 500, 503):
        with pytest.raises(DutyCallFailed) as failed:
            await call(status, report)
        assert not failed.value.may_execute


@pytest.mark.parametrize("is_preemptible", [True, False])
async def test_order_names_service_data_centre_count_and_kind(is_preemptible):
    async def order(client, timeout_s):
        await client.order_workers(
            "models", "dc-1", 4, STAMP, timeout_s, is_preemptible=is_preemptible
        )

    (request,) = await call(200, order)
    body = {"upstream": "models", "zone": "dc-1", "groupCount": 4}
    if is_preemptible:
        body["preemptible"] = True
    assert request.path == "/scale"
    assert json.loads(request.body) == body
    with pytest.raises(OrderUnavailable):
        await call(409, order)
    with pytest.raises(DutyCallFailed):
        await call(429, order)


# The platform may execute a call without a response seconds later.
async def test_call_without_a_response_may_still_be_executed():
    with pytest.raises(DutyCallFailed) as failed:
        await call(None, report, timeout_s=0.2)
    assert failed.value.may_execute
    closed = PlatformDutyClient(HttpClient(), find_free_address())
    with pytest.raises(DutyCallFailed) as failed:
        await report(closed, 0.2)
    assert not failed.value.may_execute
