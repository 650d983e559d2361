"""The one rule for finding the organisation of a key, and how refusals are counted."""

from __future__ import annotations

import pytest

from tamarackshelf.errors import Unauthorised
from tamarackshelf.observe import Metrics, Timeline
from tamarackshelf.organisations import ConfigurationKeys, KeyAuthenticator, KeyIndex
from tamarackshelf.organisations.authenticator import (
    MAX_EVENTS_PER_S,
    MAX_ORGANISATION_SERIES,
)
from tamarackshelf.world import Organisation, digest_token
from tamarackshelf.world.route import RoutingConfiguration


def build_configuration(version, *organisations):
    return RoutingConfiguration(version, (), organisations=organisations)


def build_organisation(name, *keys):
    return Organisation(name, tuple(digest_token(key) for key in keys))


def count_series(metrics, name):
    lines = metrics.render().decode().splitlines()
    return sum(line.startswith(f"tamarackshelf_{name}_total{{") for line in lines)


# An empty token must not match a digest of the empty text, nor a digest itself.
@pytest.mark.parametrize("key", ["", digest_token("k"), "K", "k ", "é", "k" * 4097])
def test_key_that_no_owner_has_is_not_found(key):
    digests = [digest_token("k"), digest_token(""), digest_token("é")]
    assert KeyIndex([("a", digests)]).find(key) is None


# A lookup that lists the owners each time would cost more with each key.
def test_index_is_built_once_for_each_configuration():
    built = []

    def list_owners(configuration):
        built.append(configuration)
        return [(configuration, [digest_token("k")])]

    keys = ConfigurationKeys(list_owners)
    for configuration in ("c1", "c2"):
        for _ in range(100):
            assert keys.find(configuration, "k") == configuration
    assert built == ["c1", "c2"]


def test_metric_series_stay_bounded_with_more_organisations(run):
    async def scenario():
        metrics = Metrics()
        authenticator = KeyAuthenticator(Timeline("n", lambda: 0), metrics)
        for version in range(3 * MAX_ORGANISATION_SERIES):
            organisation = build_organisation(f"o{version}", "k")
            configuration = build_configuration(version, organisation)
            found = authenticator.identify(configuration, "k", "r")
            assert found is organisation
        return metrics

    metrics = run(scenario())
    count = count_series(metrics, "organisation_requests")
    assert count == MAX_ORGANISATION_SERIES + 1
    other = f'organisation="other"}} {2.0 * MAX_ORGANISATION_SERIES}'
    assert other in metrics.render().decode()


def test_refusals_are_counted_by_reason_and_recorded_within_a_bound(run):
    async def scenario():
        timeline, metrics = Timeline("n", lambda: 0), Metrics()
        authenticator = KeyAuthenticator(timeline, metrics)
        configuration = build_configuration(4, build_organisation("a", "k"))
        for number in range(1000):
            for key in (None, "", f"u{number}", "é", "k" * 8192):
                with pytest.raises(Unauthorised):
                    authenticator.identify(configuration, key, f"r{number}")
        return timeline, metrics

    timeline, metrics = run(scenario())
    assert count_series(metrics, "caller_keys_refused") == 5
    assert 'reason="unknown"} 1000.0' in metrics.render().decode()
    events = timeline.page().events
    assert len(events) == MAX_EVENTS_PER_S
    assert events[0].kind == "key_refused"
    assert events[0].fields["configuration"] == "4"
