"""Who calls, with which key and until when; anything else is a typed refusal."""

from __future__ import annotations

import asyncio

import pytest

from tamarackshelf.errors import BadRequest, Unauthorised
from tamarackshelf.gateway.caller import DEFAULT_DEADLINE_S, identify_caller
from tamarackshelf.net import Request
from tamarackshelf.world import Configuration, OrganisationParameters, digest_token

CONFIGURATION = Configuration(
    organisations={
        "org": OrganisationParameters(
            "org", (), token_digests=(digest_token("old"), digest_token("new"))
        ),
        "other": OrganisationParameters(
            "other", (), token_digests=(digest_token("theirs"),)
        ),
    }
)


def identify(token="new", **headers):
    async def run():
        sent = {"authorization": f"Bearer {token}", **headers}
        caller = identify_caller(Request("POST", "/", headers=sent), CONFIGURATION)
        return caller, caller.deadline_s - asyncio.get_running_loop().time()

    return asyncio.run(run())


@pytest.mark.parametrize(
    ("token", "organisation"), [("old", "org"), ("new", "org"), ("theirs", "other")]
)
def test_a_token_names_one_organisation_and_two_may_be_valid(token, organisation):
    caller, _ = identify(token)
    assert caller.organisation.organisation == organisation


@pytest.mark.parametrize("token", ["", "unknown", digest_token("new")])
def test_an_unknown_token_is_refused(token):
    with pytest.raises(Unauthorised):
        identify(token)


@pytest.mark.parametrize("text", ["0", "-5", "nan", "soon", "1e9"])
def test_a_deadline_that_cannot_be_met_is_refused(text):
    with pytest.raises(BadRequest):
        identify(**{"x-deadline-ms": text})


@pytest.mark.parametrize("key", ["a/b", "x" * 201, "tab\there"])
def test_a_key_that_cannot_be_kept_is_refused(key):
    with pytest.raises(BadRequest):
        identify(**{"idempotency-key": key})


def test_some_of_the_time_is_kept_for_the_answer():
    _, budget_s = identify(**{"x-deadline-ms": "1000"})
    assert 0.85 <= budget_s <= 0.91
    _, budget_s = identify()
    assert budget_s < DEFAULT_DEADLINE_S
