"""Decoding of organisations: what is readable holds, and errors name the rest."""

from __future__ import annotations

import json

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from tamarackshelf.organisations import KeyIndex
from tamarackshelf.platform.organisation_records import decode_organisations
from tamarackshelf.platform.records import decode_configuration
from tamarackshelf.world import digest_token
from tests.support.keyed import TENANTS, build_row
from tests.support.odd_input import ODD_VALUES, list_edited


def decode(tenants):
    errors = []
    found = decode_organisations(tenants, errors)
    return found, [error.field for error in errors]


def test_organisations_are_decoded_with_their_keys_as_digests():
    configuration = decode_configuration(build_row())
    north, south = configuration.organisations
    assert (north.name, north.priority) == ("north", 1)
    assert north.key_digests == (digest_token("key-n1"), digest_token("key-n2"))
    assert (south.name, south.priority) == ("south", None)
    assert [route.name for route in configuration.routes if route.is_public] == ["open"]
    assert "key-n1" not in repr(configuration)


def test_row_without_tenants_has_no_organisations():
    assert decode_configuration(build_row(tenants=None)).organisations is None
    row = json.loads(build_row(tenants=None)) | {"tenants": None}
    assert decode_configuration(json.dumps(row).encode()).organisations is None


# The row was refused as a whole, so a node that started with it answered 503 for ever.
@pytest.mark.parametrize("value", [5, "north", "key-n1", {"name": "north"}, {}, True])
def test_tenants_that_are_no_list_admit_nobody_and_cost_no_route(value, caplog):
    configuration = decode_configuration(build_row(tenants=value))
    assert configuration.organisations == ()
    assert len(configuration.routes) == 5
    (record,) = caplog.records
    assert record.getMessage() == "row_fields_unreadable"
    assert record.event["reason"] == "op/config: tenants: not a list"


@pytest.mark.parametrize(
    ("entry", "field"),
    [
        (5, "tenants[1]"),
        ({"apiKeys": ["k"]}, "tenants[1].name"),
        ({"name": "", "apiKeys": ["k"]}, "tenants[1].name"),
        ({"name": "a\r\nx: y", "apiKeys": ["k"]}, "tenants[1].name"),
        ({"name": "n" * 201, "apiKeys": ["k"]}, "tenants[1].name"),
    ],
)
def test_unreadable_organisation_costs_only_itself(entry, field):
    found, fields = decode([TENANTS[0], entry, TENANTS[1]])
    assert [each.name for each in found] == ["north", "south"]
    assert fields == [field]


@pytest.mark.parametrize("key", [5, None, "", "é", "k" * 8192, "a\nb", ["k"], True])
def test_unreadable_key_costs_only_itself(key):
    found, fields = decode([{"name": "a", "apiKeys": ["k1", key, "k2"]}])
    assert found[0].key_digests == (digest_token("k1"), digest_token("k2"))
    assert fields == ["tenants[0].apiKeys[1]"]


def test_key_of_two_organisations_belongs_to_the_first():
    a, b = {"name": "a", "apiKeys": ["k"]}, {"name": "b", "apiKeys": ["k", "l"]}
    found, fields = decode([a, b])
    index = KeyIndex((each, each.key_digests) for each in found)
    assert (index.find("k").name, index.find("l").name) == ("a", "b")
    assert fields == ["tenants[1].apiKeys[0]"]


@pytest.mark.parametrize("value", ["1", 1.5, True, 2**64, [1]])
def test_unreadable_priority_leaves_that_of_the_route(value):
    found, fields = decode([{"name": "a", "apiKeys": ["k"], "priority": value}])
    assert found[0].priority is None and found[0].key_digests
    assert fields == ["tenants[0].priority"]


@pytest.mark.parametrize("value", ["true", 1, [], {}])
def test_unreadable_public_flag_leaves_the_route_closed(value):
    row = build_row().replace(
        b'"public":true', b'"public":' + msgspec.json.encode(value)
    )
    assert not any(route.is_public for route in decode_configuration(row).routes)


def test_log_names_row_and_field_on_one_line_of_bounded_length(caplog):
    keys = [f"é{number}" for number in range(5000)]
    decode_configuration(build_row(tenants=[{"name": "a", "apiKeys": keys}]))
    (record,) = caplog.records
    assert "op/config: tenants[0].apiKeys[0]" in record.event["reason"]
    assert record.event["count"] == 5000
    assert len(str(record.event)) < 4000


def test_lookup_hashes_once_among_10_000_keys_of_100_organisations():
    tenants = [
        {"name": f"o{n}", "apiKeys": [f"k{n}-{m}" for m in range(100)]}
        for n in range(100)
    ]
    found, fields = decode(tenants)
    assert fields == []
    index = KeyIndex((each, each.key_digests) for each in found)
    assert index.find("k99-99").name == "o99"
    assert index.find("k100-0") is None


JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text(),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(
            st.sampled_from(["name", "apiKeys", "priority", "x"]), inner, max_size=4
        )
    ),
    max_leaves=20,
)


# Rows come from other programs; none may end the task that follows the table.
@given(st.lists(JSON))
def test_any_json_is_decoded_to_sendable_names_and_digests(tenants):
    found, _ = decode(tenants)
    assert len(found) <= len(tenants)
    for each in found:
        assert each.name and each.name.isprintable() and each.name == each.name.strip()
        assert all(len(digest) == 64 for digest in each.key_digests)
        assert each.priority is None or -(2**63) <= each.priority < 2**63


def test_odd_organisations_cost_no_route():
    lists = [*list_edited(TENANTS), *([value] for value in ODD_VALUES)]
    for tenants in [*lists, *ODD_VALUES]:
        # As the store delivers it: not every value is text that UTF-8 can encode.
        row = json.loads(build_row()) | {"tenants": tenants}
        configuration = decode_configuration(json.dumps(row).encode())
        assert len(configuration.routes) == 5
