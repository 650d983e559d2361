"""Identification of callers; invalid tokens, keys and deadlines raise typed errors."""

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
        request_headers = {"authorization": f"Bearer {token}", **headers}
        caller = identify_caller(
            Request("POST", "/", headers=request_headers), CONFIGURATION
        )
        return caller, caller.deadline_s - asyncio.get_running_loop().time()

    return asyncio.run(run())


@pytest.mark.parametrize(
    ("token", "organisation"), [("old", "org"), ("new", "org"), ("theirs", "other")]
)
def test_each_valid_token_identifies_its_organisation(token, organisation):
    caller, _ = identify(token)
    assert caller.organisation.organisation == organisation


@pytest.mark.parametrize("token", ["", "unknown", digest_token("new")])
def test_unknown_token_is_rejected(token):
    with pytest.raises(Unauthorised):
        identify(token)


@pytest.mark.parametrize("text", ["0", "-5", "nan", "soon", "1e9"])
def test_invalid_deadline_is_rejected(text):
    with pytest.raises(BadRequest):
        identify(**{"x-deadline-ms": text})


@pytest.mark.parametrize("key", ["a/b", "x" * 201, "tab\there"])
def test_invalid_idempotency_key_is_rejected(key):
    with pytest.raises(BadRequest):
        identify(**{"idempotency-key": key})


def test_deadline_leaves_a_margin_for_the_response():
    _, remaining_s = identify(**{"x-deadline-ms": "1000"})
    assert 0.85 <= remaining_s <= 0.91
    _, remaining_s = identify()
    assert remaining_s < DEFAULT_DEADLINE_S
