"""Tests of decoding valid and invalid rows of the operator and the workers."""

from __future__ import annotations

import logging
import random

import msgspec
import pytest

from tamarackshelf.platform.records import (
    UnreadableRecord,
    decode_configuration,
    decode_model_version,
    decode_target,
)
from tamarackshelf.policy.route_table import RouteTable, pick_service
from tamarackshelf.world.route import RouteKind, Scaling

WORKER = {
    "upstream": "models",
    "address": "10.128.0.9:8080",
    "zone": "vestland-a",
    "version": "v1",
    "capacity": 8,
    "state": "ready",
    "coldLeftMs": 0,
    "models": [{"name": "m", "version": 3, "adapters": []}],
    "sequence": 4,
    "born": 1700000000000,
}
CONFIGURATION = {
    "version": 7,
    "routes": [
        {
            "name": "r1",
            "host": "A.example",
            "pathPrefix": "/a/",
            "routeType": "idempotent",
            "timeoutMs": 1500,
            "targetLatencyMs": 191,
            "priority": 2,
            "trafficSplit": [
                {"upstream": "app", "weight": 90},
                {"upstream": "old", "weight": 0},
            ],
            "maxAttempts": 2,
        },
        {
            "name": "r2",
            "host": "a.example",
            "pathPrefix": "/a/b/",
            "routeType": "rollout",
            "upstream": "models",
            "dueMs": 7500,
            "maxWaitS": 20,
            "newField": [1, 2],
        },
        {
            "name": "r3",
            "host": "a.example",
            "pathPrefix": "/c/",
            "routeType": "not-known-yet",
            "upstream": "app",
        },
    ],
    "upstreams": [
        {"name": "app", "maxConnections": 110},
        {"name": "models", "backend": {"models": [{"name": "m"}]}},
    ],
    "limits": {"maxHeaderBytes": 16384, "idleTimeoutMs": 9000},
}


def decode_worker(**changes):
    row = {**WORKER, **changes}
    return decode_target("i-1", msgspec.json.encode(row), checks_fencing=True)


def test_worker_row_is_decoded():
    record = decode_worker()
    assert record.target.service == "models"
    assert record.target.incarnation == 1700000000000
    assert record.versions == {"m": 3}
    assert not record.is_leaving
    assert decode_worker(state="draining").is_leaving


@pytest.mark.parametrize(
    "changes",
    [
        {"state": "resting"},
        {"capacity": "eight"},
        {"capacity": 0},
        {"address": "nowhere"},
        {"address": "10.0.0.1:99999"},
        {"models": 5},
        {"born": 1.5},
        {"upstream": None},
    ],
)
def test_invalid_worker_row_is_rejected(changes):
    with pytest.raises(UnreadableRecord):
        decode_worker(**changes)


@pytest.mark.parametrize("value", [b"", b"\xff\xfe", b"[]", b"{", b"null"])
def test_undecodable_row_is_rejected(value):
    with pytest.raises(UnreadableRecord):
        decode_target("i-1", value, checks_fencing=True)
    with pytest.raises(UnreadableRecord):
        decode_configuration(value)
    with pytest.raises(UnreadableRecord):
        decode_model_version(value)


def test_configuration_is_decoded_and_the_longest_path_prefix_matches():
    configuration = decode_configuration(msgspec.json.encode(CONFIGURATION))
    table = RouteTable(configuration)
    assert configuration.version == 7
    assert table.find("a.example", "/a/x").name == "r1"
    assert table.find("A.EXAMPLE", "/a/b/x").name == "r2"
    assert table.find("a.example", "/ab/x") is None
    assert table.find("b.example", "/a/x") is None
    job = table.find("a.example", "/a/b/x")
    assert job.kind is RouteKind.JOB
    assert job.job_due_s == 7.5
    assert configuration.services["models"].models == ("m",)
    assert configuration.limits.idle_timeout_s == 9.0


def test_route_of_an_unknown_kind_is_treated_as_non_idempotent():
    configuration = decode_configuration(msgspec.json.encode(CONFIGURATION))
    found = RouteTable(configuration).find("a.example", "/c/x")
    assert found.kind is RouteKind.NON_IDEMPOTENT


def test_service_with_weight_zero_gets_no_requests():
    configuration = decode_configuration(msgspec.json.encode(CONFIGURATION))
    shares = configuration.routes[0].shares
    picked = {pick_service(shares, random.Random(n)) for n in range(50)}
    assert picked == {"app"}


SCALING = {
    "minReplicas": 1,
    "maxReplicas": 8,
    "startupS": 4,
    "spotBid": 0.18,
    "zonePrices": {"vestland-a": 0.002, "vestland-d": 0.003},
}


def decode_service(scaling):
    upstreams = [{"name": "models", "maxConnections": 9, "scaling": scaling}]
    row = {**CONFIGURATION, "upstreams": upstreams}
    configuration = decode_configuration(msgspec.json.encode(row))
    assert configuration.services["models"].max_connections == 9
    return configuration.services["models"].scaling


def list_invalid_fields(caplog):
    """Return row and field of each log line about an invalid field."""
    events = [r.event for r in caplog.records if r.message == "field_unreadable"]
    return [(event["row"], event["field"], event["reason"]) for event in events]


def test_bounds_and_prices_of_ordered_workers_are_decoded(caplog):
    assert decode_service(SCALING) == Scaling(
        1, 8, 4.0, 0.18, {"vestland-a": 0.002, "vestland-d": 0.003}
    )
    smallest = {"maxReplicas": 8, "startupS": 4, "newField": [1]}
    assert decode_service(smallest) == Scaling(0, 8, 4.0)
    assert decode_service(None) is None
    assert "scaling" not in caplog.text
    configuration = decode_configuration(msgspec.json.encode(CONFIGURATION))
    assert configuration.services["models"].scaling is None


@pytest.mark.parametrize(
    ("changes", "named"),
    [
        ({"maxReplicas": "eight"}, "maxReplicas"),
        ({"maxReplicas": None}, "maxReplicas"),
        ({"maxReplicas": 10**9}, "maxReplicas"),
        ({"minReplicas": -1}, "minReplicas"),
        ({"minReplicas": 9}, "minReplicas"),
        ({"startupS": -4}, "startupS"),
        ({"spotBid": -0.1}, "spotBid"),
        ({"spotBid": "low"}, "spotBid"),
        ({"zonePrices": ["vestland-a"]}, "zonePrices"),
        ({"zonePrices": {"vestland-a": -1}}, "zonePrices"),
        ({"zonePrices": {str(n): 1 for n in range(101)}}, "zonePrices"),
    ],
)
def test_invalid_scaling_costs_only_itself_and_is_named(changes, named, caplog):
    """Guards against a lost configuration, and against orders by wrong bounds."""
    with caplog.at_level(logging.WARNING, "tamarackshelf"):
        assert decode_service({**SCALING, **changes}) is None
    ((row, field, reason),) = list_invalid_fields(caplog)
    assert row == "op/config"
    assert field.startswith("upstreams[models].scaling")
    assert named in field + reason


@pytest.mark.parametrize("scaling", [5, "x", [], True])
def test_scaling_of_another_type_costs_only_itself(scaling, caplog):
    with caplog.at_level(logging.WARNING, "tamarackshelf"):
        assert decode_service(scaling) is None
    assert len(list_invalid_fields(caplog)) == 1


def test_preemptible_worker_and_its_remaining_time_are_decoded():
    regular = decode_worker()
    assert not regular.is_preemptible
    assert regular.leaves_in_s is None
    leaving = decode_worker(preemptible=True, state="draining", leaves_ms=2500)
    assert leaving.is_preemptible
    assert leaving.is_leaving
    assert leaving.leaves_in_s == 2.5


@pytest.mark.parametrize(
    "changes", [{"preemptible": "yes"}, {"leaves_ms": -1}, {"leaves_ms": [2500]}]
)
def test_invalid_hint_of_a_worker_does_not_cost_the_worker(changes, caplog):
    """Earlier releases ignored these fields, whatever they contained."""
    with caplog.at_level(logging.WARNING, "tamarackshelf"):
        record = decode_worker(**changes)
    assert record.target.name == "i-1"
    assert not record.is_preemptible
    assert record.leaves_in_s is None
    ((row, field, _),) = list_invalid_fields(caplog)
    assert (row, field) == ("servers/i-1", next(iter(changes)))
