"""Submitted jobs whose items could never be sent to a target."""

from __future__ import annotations

import base64

import msgspec
import pytest

from tamarackshelf.errors import BadRequest
from tamarackshelf.net import Request
from tamarackshelf.platform.caller_api import decode_job


def submit(**changes):
    body = base64.b64encode(b"body").decode()
    call = {"id": "s1", "host": "h", "path": "/score", "body": body}
    item = {"id": "i1", "path": "/i", "headers": {}, "body": body, "tokens": 9}
    item |= {"group": "g", "scorerUrl": call | changes.pop("call", {})} | changes
    text = msgspec.json.encode({"requests": [item], "model": "m"})
    return decode_job(Request("POST", "/j", "", {"x-request-id": "j1"}, text), "h")


# Such an item was tried at each turn of the event loop, and each try failed.
@pytest.mark.parametrize(
    "changes",
    [
        {"path": "/a b"},
        {"path": "/a\r\nx: y"},
        {"headers": {"X-Model": "m\r\nX-Model: n"}},
        {"headers": {"X Model": "m"}},
        {"headers": {"X-Model": "m\x00"}},
        {"id": "i\n1"},
        {"call": {"path": "/ score"}},
        {"call": {"id": "s\n"}},
        {"call": {"host": "h\r\n"}},
    ],
)
def test_job_with_an_item_that_cannot_be_sent_is_refused(changes):
    with pytest.raises(BadRequest):
        submit(**changes)


def test_job_with_header_values_beyond_ascii_is_accepted():
    (item,) = submit(headers={"X-Model": "modèle 模型"}).items
    assert item.headers == {"X-Model": "modèle 模型"}
