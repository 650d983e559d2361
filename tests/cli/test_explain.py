"""The merged timeline and its description by the explain command."""

from __future__ import annotations

import json
import logging

import pytest

from tamarackshelf.cli.explain import explain_subject
from tamarackshelf.cli.timeline import format_events
from tamarackshelf.errors import Unauthorised
from tamarackshelf.observe import Metrics, Timeline, merge_pages
from tamarackshelf.observe.logs import set_up_logs
from tamarackshelf.organisations import KeyAuthenticator
from tamarackshelf.world.route import RoutingConfiguration


def build_pages():
    first, second = Timeline("gateway@a", lambda: 1000), Timeline("runner@b", lambda: 1)
    first.record("request_dispatched", "r1", "lower load", target="e1")
    second.update_clock(first.now_ms())
    second.record("sample_produced", "c.s1.4.0", version=3)
    first.record("order_sent", "e1", "m version 3 is the newest")
    second.record("samples_handed_over", "c.s1", "", pull="p9", slots="1,4")
    second.record("samples_handed_over", "c.s1", "", pull="p8", slots="14")
    return [first.page(), second.page()]


def test_event_of_a_process_with_a_slow_clock_follows_the_event_it_received():
    kinds = [event.kind for event in merge_pages(build_pages())]
    assert kinds.index("request_dispatched") < kinds.index("sample_produced")


def test_explain_describes_one_subject_and_lists_the_gaps():
    lines = explain_subject("sample", "c.s1.4", build_pages(), ["runner@dead"])
    text = "\n".join(lines)
    assert "sample c.s1.4.0 was produced on version 3" in text
    assert "c.s1 delivered slots 1,4 to pull p9" in text
    assert "p8" not in text
    assert "gap: runner@dead does not respond" in text
    assert "r1" not in text


def test_explain_finds_a_subject_in_the_fields_of_other_events():
    lines = explain_subject("target", "e1", build_pages(), [])
    assert any("r1 was sent to e1, because of lower load" in line for line in lines)


def test_overwritten_events_are_reported_as_a_gap():
    timeline = Timeline("p", lambda: 1, size=2)
    for i in range(5):
        timeline.record("kind", f"s{i}")
    lines = explain_subject("request", "s4", [timeline.page()], [])
    assert "gap: p has overwritten 3 events" in lines


def test_html_page_holds_events_that_contain_markup():
    timeline = Timeline("p", lambda: 1)
    timeline.record("kind", "</script><b>")
    page = format_events(list(timeline.page().events), "html")
    start = page.index('type="application/json">') + len('type="application/json">')
    data = page[start : page.index("</script>", start)]
    assert json.loads(data)[0]["subject"] == "</script><b>"
    assert "http" not in page.replace("http-equiv", "")


@pytest.mark.parametrize("log_format", ["text", "json"])
def test_each_event_is_one_log_line(capsys, log_format):
    set_up_logs(log_format)
    Timeline("p", lambda: 1).record("kind", "s 1", "be\ncause", target="e1")
    logging.getLogger("tamarackshelf").handlers = []
    lines = capsys.readouterr().err.splitlines()
    assert len(lines) == 1
    if log_format == "json":
        assert json.loads(lines[0])["event"]["target"] == "e1"
    else:
        assert 'event=kind process=p subject="s 1"' in lines[0]
        assert "target=e1" in lines[0]


# An operator who is told of a 401 sees which configuration of which node refused it.
def test_explain_tells_why_a_request_got_401(run):
    async def scenario():
        timeline = Timeline("n1", lambda: 1000)
        authenticator = KeyAuthenticator(timeline, Metrics())
        configuration = RoutingConfiguration(7, (), organisations=())
        with pytest.raises(Unauthorised):
            authenticator.identify(configuration, "secret-key", "r1")
        return explain_subject("request", "r1", [timeline.page()], [])

    text = "\n".join(run(scenario()))
    assert "n1: r1 was refused with 401: no organisation has this API key" in text
    assert "configuration 7" in text
    assert "secret-key" not in text
