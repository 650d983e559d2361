"""Callers' API keys: who gets 401, and what targets are told about the caller."""

from __future__ import annotations

import asyncio
import logging

import msgspec
import pytest

from tamarackshelf.contracts.targets import ForwardedRequest, ItemRun
from tamarackshelf.jobs.reader import ResultPage
from tamarackshelf.net import ConnectFailed, ConnectionLost, Request
from tamarackshelf.platform.records import decode_configuration
from tamarackshelf.policy.route_table import RouteTable
from tamarackshelf.world.job import JobItem
from tests.support.cut_off import CutOffCluster
from tests.support.keyed import EVENT_COUNT, TENANTS, KeyedNode, build_row
from tests.support.node import HOST, build_configuration, build_target

KEY = {"x-credential": "key-n1"}
FORGED = {"x-tenant": "south"}
PATHS = ["/score/x", "/once/x", "/stream/x"]


# The key was forwarded to targets, and no organisation was named.
@pytest.mark.parametrize("path", PATHS)
def test_target_gets_the_name_of_the_organisation_and_never_the_key(run, path):
    node = KeyedNode(build_row())
    assert run(node.send(path, KEY | FORGED)).status == 200
    (headers,) = node.list_sent_headers()
    assert headers["x-tenant"] == "north"
    assert "x-credential" not in headers


# Headers are written as latin-1, which replaced the characters by question marks.
def test_name_beyond_ascii_is_sent_as_utf_8(run):
    node = KeyedNode(build_row(tenants=[{"name": "modèle 模型", "apiKeys": ["k"]}]))
    assert run(node.send("/score/x", {"x-credential": "k"})).status == 200
    (headers,) = node.list_sent_headers()
    assert headers["x-tenant"].encode("latin-1").decode() == "modèle 模型"


@pytest.mark.parametrize(
    "headers",
    [
        {},
        {"x-credential": ""},
        {"x-credential": "unknown"},
        {"x-credential": "key-n1, key-n1"},
        {"x-credential": ", key-n1"},
        {"x-credential": "k" * 8192},
        {"x-credential": "key-n1é"},
        {"x-credential": "é" * 8192},
        {"x-credential": "Bearer key-n1"},
        {"authorization": "Bearer key-n1"},
    ],
)
@pytest.mark.parametrize(
    ("method", "path"),
    [
        ("POST", "/score/x"),
        ("POST", "/once/x"),
        ("POST", "/stream/x"),
        ("POST", "/jobs/1"),
        ("GET", "/v1/lots/j1"),
        ("DELETE", "/v1/lots/j1"),
        ("GET", "/v1/items/j1"),
    ],
)
def test_caller_without_a_key_that_fits_gets_401(run, method, path, headers):
    node = KeyedNode(build_row())
    response = run(node.send(path, headers, method))
    assert response.status == 401
    assert node.transport.calls == []
    assert b"key-n1" not in response.body and b"kkkk" not in response.body


@pytest.mark.parametrize("path", ["/score/x", "/v1/lots/j1", "/open/x", "/none/x"])
def test_node_without_a_configuration_answers_503(run, path):
    response = run(KeyedNode().send(path, {"x-credential": "unknown"}))
    assert response.status == 503
    assert "retry-after" in response.headers


def test_path_without_a_route_is_404_with_and_without_a_key(run):
    node = KeyedNode(build_row())
    assert run(node.send("/none/x")).status == 404
    assert run(node.send("/none/x", KEY)).status == 404


@pytest.mark.parametrize("key", ["", "unknown", "key-n1", "k" * 8192])
def test_public_route_needs_no_key_and_names_nobody(run, key):
    node = KeyedNode(build_row())
    assert run(node.send("/open/x", FORGED | {"x-credential": key})).status == 200
    (headers,) = node.list_sent_headers()
    assert not {"x-tenant", "x-credential"} & headers.keys()


def test_job_submission_needs_a_key_on_a_public_route_too(run):
    node = KeyedNode(build_row())
    row = build_row(version=2).replace(b'"dueMs":7500', b'"dueMs":7500,"public":true')
    node.configure(row)
    assert run(node.send("/jobs/1")).status == 401


# Without organisations the bytes on the wire stay as they were.
def test_without_organisations_the_headers_are_forwarded_unchanged(run):
    node = KeyedNode(build_row(tenants=None))
    sent = {"x-credential": "k", "x-tenant": "t", "authorization": "a"}
    assert run(node.send("/score/x", sent)).status == 200
    (headers,) = node.list_sent_headers()
    assert sent.items() <= headers.items()


@pytest.mark.parametrize("tenants", [[], [{"name": "a", "apiKeys": []}]])
def test_organisations_without_keys_admit_nobody(run, tenants):
    node = KeyedNode(build_row(tenants=tenants))
    assert run(node.send("/score/x", KEY)).status == 401
    assert run(node.send("/open/x")).status == 200


def test_key_is_judged_by_the_newest_configuration(run):
    node = KeyedNode(build_row(1))
    assert run(node.send("/score/x", KEY)).status == 200
    changed = [{"name": "north", "apiKeys": ["key-n2", "key-n3"]}]
    node.configure(build_row(2, changed))
    assert run(node.send("/score/x", KEY)).status == 401
    assert run(node.send("/score/x", {"x-credential": "key-n3"})).status == 200
    node.configure(build_row(1))
    assert run(node.send("/score/x", KEY)).status == 401


def test_retry_names_the_organisation_although_its_key_was_removed(run):
    node = KeyedNode(build_row(1))

    class RemovesKey(ConnectionLost):
        pass

    async def scenario():
        node.transport.failures = [ConnectFailed("x"), RemovesKey("x")]
        sending = asyncio.ensure_future(node.send("/score/x", KEY | FORGED))
        while not node.transport.calls:
            await asyncio.sleep(0)
        node.configure(build_row(2, TENANTS[1:]))
        return await sending

    assert run(scenario()).status == 200
    sent = node.list_sent_headers()
    assert len(sent) == 3
    assert {headers["x-tenant"] for headers in sent} == {"north"}
    assert not any("x-credential" in headers for headers in sent)


def test_hedge_names_the_organisation_too(run):
    node = KeyedNode(build_row())
    node.transport.failures = ["slow"]
    assert run(node.send("/score/x", KEY | FORGED)).status == 200
    sent = node.list_sent_headers()
    assert len(sent) == 2
    assert {headers["x-tenant"] for headers in sent} == {"north"}
    assert not any("x-credential" in headers for headers in sent)


# The peer has no key to look at: the call that it relays names the organisation.
def test_call_that_a_peer_relays_names_the_organisation(run):
    async def scenario():
        cluster = CutOffCluster(nodes="ab", refuses=True)
        await cluster.start()
        seen = []
        for record in cluster.targets.values():
            address = record.target.address
            handler = cluster.network.handlers[address]

            async def serve(request, handler=handler):
                seen.append(request.headers)
                return await handler(request)

            cluster.network.handlers[address] = serve
        await asyncio.sleep(1.0)
        cluster.cut.add("a")
        route = RouteTable(build_configuration()).find(HOST, "/score/x")
        http = Request("POST", "/score/x", "", {"x-request-id": "r"}, b"")
        request = ForwardedRequest("r", HOST, http, "north", None, "north")
        response = await cluster.nodes["a"].forwarder.forward(request, route, 1.5)
        await cluster.stop()
        assert response.http.status == 200
        assert [headers["x-tenant"] for headers in seen] == ["north"]

    run(scenario())


def test_resumed_stream_names_the_organisation_at_each_target(run):
    node = KeyedNode(build_row())
    node.transport.failures = [2, 3]
    assert run(node.send("/stream/x", KEY | FORGED)).status == 200
    sent = node.list_sent_headers()
    assert [headers.get("last-event-id") for headers in sent] == [None, "1", "2"]
    assert {headers["x-tenant"] for headers in sent} == {"north"}
    assert not any("x-credential" in headers for headers in sent)


# A caller who varies other headers must not escape the quarantine, nor may one
# organisation's crashing request stop the same request of another one.
def test_identity_for_the_quarantine_is_the_organisation_and_not_the_key(run):
    node = KeyedNode(build_row())
    seen = []
    forward = node.client.forward

    async def record(target, request, timeout_s, *, at_most_once):
        seen.append(request)
        return await forward(target, request, timeout_s, at_most_once=at_most_once)

    node.client.forward = record
    for key in ("key-n1", "key-n2", "key-s1"):
        headers = {"x-credential": key, "authorization": f"a-{key}"}
        run(node.send("/score/x", headers))
    first, second, other = [request.compute_fingerprint() for request in seen]
    assert first == second != other
    assert "key-" not in "".join(request.caller for request in seen)


# The key must reach no log line, whatever becomes of the request.
def test_key_appears_in_no_log_line_event_or_metric(run, caplog):
    caplog.set_level(logging.DEBUG)
    node = KeyedNode(build_row())
    for key in ("key-n1", "wrong-key", "key-n1, key-n1"):
        for path in (*PATHS, "/open/x", "/none/x", "/jobs/1"):
            run(node.send(path, {"x-credential": key}, "GET"))
    node.configure(build_row(2, [{"name": "x", "apiKeys": ["key-n1", 5, "key-é"]}]))
    texts = [str(record.__dict__) for record in caplog.records]
    texts += [str(event) for event in node.timeline.page().events]
    texts.append(node.metrics.render().decode())
    assert len(texts) > 10
    assert not [text for text in texts if "key-n1" in text or "wrong-key" in text]


# One line and one event for each refusal would let callers displace all others.
def test_refusals_of_many_callers_are_recorded_within_a_bound(run, caplog):
    caplog.set_level(logging.INFO)
    node = KeyedNode(build_row())

    async def scenario():
        for number in range(500):
            headers = {"x-credential": f"k{number}", "x-request-id": f"r{number}" * 99}
            assert (await node.send("/score/x", headers)).status == 401

    run(scenario())
    assert len(node.timeline.page().events) < 30
    assert len(caplog.records) < 30
    assert max(len(event.subject) for event in node.timeline.page().events) <= 100
    assert b"500.0" in node.metrics.render()


@pytest.mark.parametrize(
    ("organisation", "has_organisations"),
    [("north", False), ("north", True), ("", True)],
)
def test_item_names_the_organisation_of_its_job_only(
    run, organisation, has_organisations
):
    node = KeyedNode()
    node.client.has_organisations = lambda: has_organisations
    # As an earlier release stored it.
    own = {"X-Credential": "key-n1", "X-TENANT": "south", "X-Model": "m"}
    item = JobItem("i1", "/stream/i", own, b"", "g", 9)
    item_run = ItemRun(item, HOST, -1, 1.0, 1.0, organisation)

    async def scenario():
        target = build_target("t1", "app").target
        return [event async for event in node.client.run_item(target, item_run)]

    assert len(run(scenario())) == EVENT_COUNT
    (headers,) = node.list_sent_headers()
    assert headers.get("x-tenant", "") == organisation
    assert "x-credential" not in headers
    assert headers["x-model"] == "m"


def test_job_is_stored_without_the_keys_and_names_in_its_items(run):
    submitted = []

    class Manager:
        fleet = object()

        async def submit(self, job, due_s):
            submitted.append(job)

    item = {"id": "i", "path": "/i", "headers": {"X-Credential": "k", "x-TENANT": "s"}}
    body = msgspec.json.encode({"requests": [item | {"body": ""}]})
    for tenants in (TENANTS, None):
        node = KeyedNode(build_row(tenants=tenants), Manager())
        assert run(node.send("/jobs/1", KEY | FORGED, body=body)).status == 202
    keyed, plain = submitted
    assert (keyed.organisation, keyed.items[0].headers) == ("north", {})
    assert (plain.organisation, plain.items[0].headers) == ("", item["headers"])


@pytest.mark.parametrize(
    ("method", "path", "expected"),
    [
        ("GET", "/v1/lots/j%2F1", ("read", "j/1", "south")),
        ("DELETE", "/v1/lots/j1", ("end", "j1", "south")),
        ("GET", "/v1/items/j1", ("read_body", "j1", "south")),
    ],
)
def test_calls_about_a_job_are_made_for_the_organisation(run, method, path, expected):
    calls = []

    class Manager:
        fleet = object()

        def __init__(self):
            self.reader = self

        async def read(self, job_id, after, wait_s, organisation):
            calls.append(("read", job_id, organisation))
            return ResultPage(0, 0, ())

        async def read_body(self, job_id, item_id, organisation):
            calls.append(("read_body", job_id, organisation))
            return b""

        async def end(self, job_id, organisation):
            calls.append(("end", job_id, organisation))

    node = KeyedNode(build_row(), Manager())
    assert run(node.send(path, {"x-credential": "key-s1"}, method)).status == 200
    assert calls == [expected]


def test_priority_of_the_organisation_goes_before_that_of_the_route():
    table = RouteTable(decode_configuration(build_row()))
    route = table.find(HOST, "/score/x")
    assert route.priority == 5
    priorities = [table.get_priority(route, n) for n in ("north", "south", "", "gone")]
    assert priorities == [1, 5, 5, 5]
