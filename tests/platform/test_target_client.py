"""Tests of calls to workers over real sockets.

The workers' responses are complete, truncated, meant for another request, rejected or
streamed.
"""

from __future__ import annotations

import asyncio
import contextlib
from types import SimpleNamespace

import pytest

from tamarackshelf.contracts.targets import (
    CallKind,
    ForwardedRequest,
    ItemFailed,
    ItemRejected,
    ItemRun,
    NamedLimit,
    NotRun,
    OrderRefused,
    OutcomeUnknown,
    TargetBusy,
    TargetChanged,
    TargetLoad,
    VersionOrder,
)
from tamarackshelf.net import HttpClient, HttpServer, Request
from tamarackshelf.node.target_relay import open_relayed
from tamarackshelf.platform.target_client import PlatformTargetClient
from tamarackshelf.world import Target, TargetKind
from tamarackshelf.world.job import JobItem, ScoreCall
from tests.conftest import find_free_address
from tests.node.test_target_relay import build_relay
from tests.support.node import build_paths

SIGNED = b"X-Request-Id: r1\r\nX-Server-Stamp: s.1\r\n"
JSON = b"Content-Type: application/json\r\n"
ERROR_TEXT = b'{"error": "the worker failed"}'
EVENTS = b"id: 0\ndata: a\n\nid: 1\ndata: b\n\nx-weight-versions: 6\nid: 2\ndata: c\n\n"


def build_response(status, headers, body, length=None):
    size = len(body) if length is None else length
    head = f"HTTP/1.1 {status} X\r\ncontent-length: {size}\r\n".encode()
    return head + headers + b"\r\n" + body


FRAMING = {"Content-Length": "1", "Transfer-Encoding": "chunked", "Connection": "close"}


class FakeGate:
    """Records the calls sent and the limits named in their responses."""

    def __init__(self):
        self.calls = []
        self.limits = []

    def is_limited(self, target):
        return False

    async def admit(self, target, kind):
        self.calls.append(kind)
        return 0.0

    def record_response(self, target, limit, sent_at_s):
        self.limits.append(limit)


async def call(raw, use, gate=None):
    """Call a worker that sends `raw` as response to each request and then closes."""
    seen = []

    async def serve(reader, writer):
        seen.append(await reader.readuntil(b"\r\n\r\n"))
        writer.write(raw)
        await writer.drain()
        writer.close()

    address = find_free_address()
    server = await asyncio.start_server(serve, address.host, address.port)
    target = Target("i-1", "app", TargetKind.PLAIN, "dc", address, 1, 8)
    http = HttpClient()
    try:
        return await use(
            PlatformTargetClient(build_paths(http), gate or FakeGate()), target
        ), seen
    finally:
        await http.close()
        server.close()


def forward(raw, gate=None):
    request = Request("POST", "/a/b", "q=1", {"x-request-id": "r1", "x-own": "1"}, b"z")

    async def use(calls, target):
        forwarded = ForwardedRequest("r1", "h.example", request)
        return await calls.forward(target, forwarded, 2.0, at_most_once=False)

    return asyncio.run(call(raw, use, gate))


def run_item(raw, after=-1):
    item = JobItem("r1", "/i/1", {"X-Model": "m"}, b"body", "g", 100)

    async def use(calls, target):
        run = ItemRun(item, "h.example", after, 2.0, 1.0)
        return [event async for event in calls.run_item(target, run)]

    return asyncio.run(call(raw, use))


def test_request_is_forwarded_unchanged_with_the_headers_for_the_worker():
    got, seen = forward(build_response(200, SIGNED, b"ok"))
    head = seen[0].decode().lower()
    assert head.startswith("post /a/b?q=1 http/1.1")
    for line in (
        "host: h.example",
        "x-request-id: r1",
        "x-own: 1",
        "x-expect-instance: i-1",
        "x-deadline-ms: 2000",
    ):
        assert line in head
    assert got.is_signed
    assert got.http.body == b"ok"


@pytest.mark.parametrize(
    ("raw", "error"),
    [
        (build_response(200, SIGNED, b"ok", length=9), OutcomeUnknown),
        (b"", OutcomeUnknown),
        (b"nonsense\r\n\r\n", OutcomeUnknown),
        (
            build_response(200, b"X-Request-Id: other\r\nX-Server-Stamp: s\r\n", b"ok"),
            None,
        ),
        (build_response(503, b"X-Not-Run: 1\r\n", b""), TargetBusy),
        (build_response(421, b"X-Instance-Id: i-2\r\n", b""), TargetChanged),
    ],
    ids=["short", "empty", "nonsense", "crossed", "full", "another worker"],
)
def test_incomplete_or_foreign_response_raises_an_error(raw, error):
    with pytest.raises(error or OutcomeUnknown):
        forward(raw)


def test_each_event_carries_the_weight_version_that_generated_it():
    raw = build_response(200, SIGNED + b"X-Weight-Versions: 5\r\n", EVENTS)
    events, seen = run_item(raw, after=-1)
    assert [(e.event_id, e.data, e.version) for e in events] == [
        (0, "a", 5),
        (1, "b", 5),
        (2, "c", 6),
    ]
    assert b"last-event-id" not in seen[0].lower()


def test_item_run_is_resumed_after_its_last_event():
    _, seen = run_item(build_response(200, SIGNED, EVENTS), after=7)
    assert b"last-event-id: 7" in seen[0].lower()


@pytest.mark.parametrize(
    ("raw", "error"),
    [
        (build_response(200, SIGNED, EVENTS[:-4], length=len(EVENTS)), OutcomeUnknown),
        (build_response(200, SIGNED, EVENTS[:-2]), OutcomeUnknown),
        (build_response(200, b"X-Request-Id: r1\r\n", EVENTS), OutcomeUnknown),
        (build_response(200, SIGNED + JSON, EVENTS), OutcomeUnknown),
        (build_response(200, SIGNED, ERROR_TEXT + b"\n\n"), OutcomeUnknown),
        (build_response(200, SIGNED, b"data: " + ERROR_TEXT + b"\n\n"), OutcomeUnknown),
        (build_response(500, SIGNED, b""), ItemFailed),
        (build_response(422, SIGNED, b""), ItemRejected),
        (build_response(503, SIGNED + b"X-Not-Run: 1\r\n", b""), TargetBusy),
    ],
    ids=[
        "cut",
        "ends in an event",
        "unsigned",
        "another content type",
        "error text",
        "error text as data",
        "failed",
        "impossible",
        "full",
    ],
)
def test_failed_item_run_raises_the_error_of_its_kind(raw, error):
    with pytest.raises(error):
        run_item(raw)


@pytest.mark.parametrize(
    ("status", "is_fenced"), [(409, False), (412, True), (400, False)]
)
def test_rejected_order_reports_whether_it_was_fenced(status, is_fenced):
    async def use(calls, target):
        order = VersionOrder("m", 2, "n", 1, 0)
        return await calls.order_version(target, order, 1.0)

    with pytest.raises(OrderRefused) as caught:
        asyncio.run(call(build_response(status, b"", b""), use))
    assert caught.value.is_fenced is is_fenced


@pytest.mark.parametrize(("status", "accepted"), [(202, True), (200, False)])
def test_order_reports_whether_the_worker_accepted_it(status, accepted):
    async def use(calls, target):
        order = VersionOrder("m", 2, "n", 1, 0)
        return await calls.order_version(target, order, 1.0)

    got, seen = asyncio.run(call(build_response(status, b"", b""), use))
    assert got is accepted
    assert b"x-expect-instance: i-1" in seen[0].lower()


@pytest.mark.parametrize(
    ("headers", "limit"),
    [
        (b"", None),
        (b"Server-Limit: 1.5\r\n", NamedLimit("1.5", 1.5)),
        (b"Server-Limit: 0\r\n", NamedLimit("0", 0.0)),
        (b"Server-Limit: 3\r\nServer-Limit: 2\r\n", NamedLimit("3, 2", 2.0)),
        (b"Server-Limit: -1\r\n", NamedLimit("-1", None)),
        (b"Server-Limit: nan\r\n", NamedLimit("nan", None)),
        (b"Server-Limit: 1_0\r\n", NamedLimit("1_0", None)),
        (b"Server-Limit: \xb2\r\n", NamedLimit("\xb2", None)),
        (b"Server-Limit:\r\n", NamedLimit("", None)),
        (b"Server-Limit: 9" + b"9" * 200 + b"\r\n", NamedLimit("9" * 201, 1e201)),
    ],
    ids=lambda value: str(value)[:30],
)
def test_limit_of_a_response_is_read_whatever_its_form(headers, limit):
    gate = FakeGate()
    forward(build_response(200, SIGNED + headers, b"ok"), gate)
    assert gate.calls == [CallKind.REQUEST]
    assert gate.limits == [limit]


@pytest.mark.parametrize(
    "raw",
    [
        build_response(421, b"Server-Limit: 1\r\n", b""),
        build_response(200, b"X-Request-Id: other\r\nServer-Limit: 1\r\n", b"ok"),
    ],
    ids=["another worker", "crossed"],
)
def test_limit_in_the_response_of_another_worker_or_request_is_ignored(raw):
    gate = FakeGate()
    with pytest.raises((TargetChanged, OutcomeUnknown)):
        forward(raw, gate)
    assert gate.limits == []


async def _forward(calls, target):
    http = Request("POST", "/a", "", {"x-request-id": "r1"}, b"")
    request = ForwardedRequest("r1", "h.example", http)
    await calls.forward(target, request, 2.0, at_most_once=False)


async def _stream(calls, target):
    http = Request("POST", "/a", "", {"x-request-id": "r1"}, b"")
    request = ForwardedRequest("r1", "h.example", http)
    events = calls.stream(target, request, 2.0, after_event_id=None, at_most_once=True)
    async for _ in events:
        pass


async def _run_item(calls, target):
    item = JobItem("r1", "/i/1", {"X-Model": "m"}, b"body", "g", 100)
    async for _ in calls.run_item(target, ItemRun(item, "h.example", -1, 2.0, 1.0)):
        pass


async def _score(calls, target):
    await calls.score(target, ScoreCall("r1", "h.example", "/s", b""), 2.0)


async def _order(calls, target):
    await calls.order_version(target, VersionOrder("m", 2, "n", 1, 0), 1.0)


async def _report(calls, target):
    await calls.read_report(target, 1.0)


# A target that leaves says so in any response, and it was noticed in none.
@pytest.mark.parametrize("use", [_forward, _stream, _run_item, _score, _order, _report])
@pytest.mark.parametrize("status", [200, 500, 503])
def test_any_response_may_say_that_its_worker_leaves(use, status):
    not_run = b"X-Not-Run: 1\r\n" if status == 503 else b""
    head = SIGNED + b"Server-Leaving: 1\r\n" + not_run
    assert find_leaving(use, build_response(status, head, EVENTS)) == ["i-1"]


@pytest.mark.parametrize(
    ("status", "header"),
    [(200, b""), (200, b"Server-Leaving: 0\r\n"), (421, b"Server-Leaving: 1\r\n")],
    ids=["without", "zero", "another worker"],
)
def test_worker_that_stays_is_not_taken_for_one_that_leaves(status, header):
    assert find_leaving(_forward, build_response(status, SIGNED + header, b"")) == []


# Reports with four figures were discarded, and only those of complete responses to
# plain requests and of running items were read: a full target looked idle.
@pytest.mark.parametrize("use", [_forward, _stream, _run_item, _score, _order, _report])
@pytest.mark.parametrize("status", [200, 404, 500, 503])
def test_any_response_reports_the_load(use, status):
    not_run = b"X-Not-Run: 1\r\n" if status == 503 else b""
    head = b"X-Server-Stamp: s.1\r\nX-Worker-Load: 6,18,6,250\r\n" + not_run
    assert find_loads(use, build_response(status, head, EVENTS)) == [
        TargetLoad(6, 18, 6, 2.5)
    ]


@pytest.mark.parametrize(
    ("text", "load"),
    [
        ("3,1,8", TargetLoad(3, 1, 8)),
        ("3,1,8,100", TargetLoad(3, 1, 8, 1.0)),
        (" 3 , 1, 8 ,90.5", TargetLoad(3, 1, 8, 0.905)),
        ("3,1", TargetLoad(3, 1, None)),
        ("3", TargetLoad(3, None, None)),
        ("3,1,8,150,9", TargetLoad(3, 1, 8, 1.5)),
        ("3,1,0,0", TargetLoad(3, 1, None)),
        ("-1,1,8,-100", TargetLoad(None, 1, 8)),
        ("1000000000,1,8,1000000000", TargetLoad(None, 1, 8)),
        ("a,b,,130", TargetLoad(None, None, None, 1.3)),
        ("3,1,8,nan", TargetLoad(3, 1, 8)),
        (f"{'9' * 400},1,8,{'9' * 300}", TargetLoad(None, 1, 8)),
        ("", None),
        (",,,", None),
        ("none", None),
    ],
)
def test_readable_figures_of_an_odd_report_are_kept(text, load):
    head = SIGNED + f"X-Worker-Load: {text}\r\n".encode()
    found = find_loads(_forward, build_response(200, head, b"ok"))
    assert found == ([] if load is None else [load])


@pytest.mark.parametrize(
    "raw",
    [
        build_response(421, SIGNED + b"X-Worker-Load: 6,0,6\r\n", b""),
        build_response(200, b"X-Request-Id: r0\r\nX-Worker-Load: 6,0,6\r\n", b""),
    ],
    ids=["another worker", "late copy"],
)
def test_load_in_a_response_that_is_not_the_answer_is_ignored(raw):
    assert find_loads(_forward, raw) == []


def find_loads(use, raw):
    loads = []

    async def use_and_observe(calls, target):
        calls.on_load = lambda each, load, has_ended: loads.append(load)
        with contextlib.suppress(
            NotRun, OutcomeUnknown, OrderRefused, ItemFailed, ItemRejected
        ):
            await use(calls, target)

    asyncio.run(call(raw, use_and_observe))
    return loads


def find_leaving(use, raw):
    leaving = []

    async def use_and_observe(calls, target):
        calls.on_leaving = lambda each: leaving.append(each.name)
        with contextlib.suppress(NotRun, OutcomeUnknown, OrderRefused, ItemFailed):
            await use(calls, target)

    asyncio.run(call(raw, use_and_observe))
    return leaving


REPORT = b'{"models": [{"name": "m", "version": 1}], "busy": false, "sequence": 4}'


async def call_kind(calls, target, kind):
    """Make a call of one kind; return what the worker is taken to have said."""
    if kind == "report":
        return (await calls.read_report(target, 1.0)).versions["m"]
    if kind == "order":
        return await calls.order_version(target, VersionOrder("m", 2, "n", 7, 4), 1.0)
    request = Request("POST", "/a", "", {"x-request-id": kind}, b"")
    forwarded = ForwardedRequest(kind, "h.example", request)
    response = await calls.forward(target, forwarded, 1.0, at_most_once=False)
    return response.http.body


def answer_kind(request, number):
    """Return a worker's answer to a request, with its id if it has one."""
    head = request.decode().lower()
    echo = b"".join(
        line.encode() + b"\r\n"
        for line in head.split("\r\n")
        if line.startswith("x-request-id:")
    )
    if "/v1/report" in head:
        return build_response(200, echo + JSON, REPORT.replace(b"1}", b"%d}" % number))
    if "/v1/order" in head:
        return build_response(202, echo, b"")
    body = f"answer {number}".encode()
    return build_response(200, echo + b"X-Server-Stamp: s\r\n", body)


# A second copy of an answer came late, on a connection that was in use again; the next
# caller got an answer that was not its own.
@pytest.mark.parametrize("first", ["r1", "report"])
@pytest.mark.parametrize("second", ["r2", "report", "order"])
def test_late_second_copy_of_an_answer_is_no_answer_to_the_next_request(first, second):
    async def serve(reader, writer):
        earlier = b""
        for number in range(1, 3):
            try:
                request = await reader.readuntil(b"\r\n\r\n")
            except asyncio.IncompleteReadError:
                break
            if b"/v1/order" in request:
                await reader.readuntil(b"}")
            own = answer_kind(request, number)
            writer.write(earlier + own)
            earlier = own
            await writer.drain()
        writer.close()

    async def scenario():
        address = find_free_address()
        server = await asyncio.start_server(serve, address.host, address.port)
        target = Target("i-1", "app", TargetKind.ENGINE, "dc", address, 0, 8)
        http = HttpClient()
        calls = PlatformTargetClient(build_paths(http), FakeGate())
        try:
            await call_kind(calls, target, first)
            try:
                return await call_kind(calls, target, second)
            except (OutcomeUnknown, NotRun, OrderRefused):
                return None
        finally:
            await http.close()
            server.close()

    own = {"r2": b"answer 2", "report": 2, "order": True}[second]
    assert asyncio.run(scenario()) in (None, own)


async def try_again(calls, target, kind):
    """Make the same call twice, as after a failure; return what the second one got."""
    outcome = None
    for _ in range(2):
        try:
            if kind == "item":
                outcome = await collect_text(calls, target)
            elif kind == "score":
                call = ScoreCall("r1", "h.example", "/s", b"")
                outcome = await calls.score(target, call, 1.0)
            elif kind == "request without id":
                forwarded = ForwardedRequest("", "h.example", Request("POST", "/a"))
                response = await calls.forward(
                    target, forwarded, 1.0, at_most_once=False
                )
                outcome = response.http.body
            else:
                outcome = await call_kind(calls, target, "r1")
        except ItemFailed:
            outcome = "failed"
        # A copy may come while the connection is idle.
        await asyncio.sleep(0.1)
    return outcome


async def collect_text(calls, target):
    run = ItemRun(JobItem("r1", "/a", {}, b"", "g", 500), "h", -1, 1.0, 1.0)
    return [event.data async for event in calls.run_item(target, run)]


@contextlib.asynccontextmanager
async def relay_calls(http, target):
    """Yield a transport whose calls a peer makes with the client `http`."""
    relay, peer, client = build_relay(http, target), find_free_address(), HttpClient()
    server = HttpServer(relay.answer)
    await server.start(peer)
    transport = SimpleNamespace(
        stream=lambda target, call: open_relayed(client, peer, target, call)
    )
    try:
        yield transport
    finally:
        await server.abort()
        await client.close()


class CopyingWorker:
    """Answers a first try with 500 and later ones with success, and copies the 500.

    The copy comes `when` the connection is idle, with the next request or during it.
    """

    def __init__(self, kind, when):
        self._when = when
        signed = SIGNED if kind != "request without id" else b"X-Server-Stamp: s.1\r\n"
        head = signed + (b"Content-Type: text/event-stream\r\n" * (kind == "item"))
        self._answers = [
            build_response(500, signed, ERROR_TEXT),
            build_response(200, head, EVENTS if kind == "item" else b"whole"),
        ]
        self._tries = 0

    async def serve(self, reader, writer):
        try:
            await self._serve(reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def _serve(self, reader, writer):
        copy = b""
        while True:
            await reader.readuntil(b"\r\n\r\n")
            if copy and self._when == "during the next":
                await asyncio.sleep(0.05)
            writer.write(copy)
            await asyncio.sleep(0.05 * bool(copy))
            answer = self._answers[min(self._tries, 1)]
            self._tries += 1
            writer.write(answer)
            copy = answer if self._tries == 1 else b""
            if self._when == "idle":
                await asyncio.sleep(0.05)
                writer.write(copy)
                copy = b""


@pytest.mark.parametrize("is_relayed", [False, True], ids=["direct", "relayed"])
@pytest.mark.parametrize("when", ["idle", "before the next", "during the next"])
@pytest.mark.parametrize("kind", ["item", "score", "request", "request without id"])
def test_late_copy_of_a_failure_is_no_answer_to_the_next_try(kind, when, is_relayed):
    """An item was given up after two answers of 500 and a copy of one of them.

    All tries of an item bear its id, so the id does not tell a copy from an answer.
    """

    async def scenario():
        address = find_free_address()
        server = await asyncio.start_server(
            CopyingWorker(kind, when).serve, address.host, address.port
        )
        target = Target("i-1", "app", TargetKind.ENGINE, "dc", address, 0, 8)
        http = HttpClient()
        async with contextlib.AsyncExitStack() as stack:
            paths = build_paths(http)
            if is_relayed:
                paths = await stack.enter_async_context(relay_calls(http, target))
            calls = PlatformTargetClient(paths, FakeGate())
            try:
                return await try_again(calls, target, kind)
            finally:
                await http.close()
                server.close()

    expected = {"item": ["a", "b", "c"], "score": "s.1"}
    assert asyncio.run(scenario()) == expected.get(kind, b"whole")


def test_headers_of_an_item_do_not_frame_its_request():
    """A length among an item's headers replaced that of the request's body."""
    item = JobItem("r1", "/i/1", FRAMING, b"body", "g", 100)
    run = ItemRun(item, "h.example", -1, 2.0, 1.0)

    async def use(calls, target):
        return [event.data async for event in calls.run_item(target, run)]

    text, seen = asyncio.run(call(build_response(200, SIGNED, EVENTS), use))
    assert text == ["a", "b", "c"]
    assert seen[0].lower().count(b"content-length: 4") == 1
    assert b"chunked" not in seen[0]
