"""Decoders of input from outside, fuzzed: a usable value or the one typed error."""

from __future__ import annotations

import json

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tamarackshelf.decoding import (
    InvalidInput,
    decode_json,
    decode_msgpack,
    parse_number,
)
from tamarackshelf.gossip.link import decode_signed, encode_signed
from tamarackshelf.node.peer_jobs import JobHandover
from tamarackshelf.node.peer_store import RelayAnswer
from tamarackshelf.platform.records import (
    UnreadableRecord,
    decode_configuration,
    decode_model_version,
    decode_target,
)
from tamarackshelf.policy.quarantine import Crash
from tamarackshelf.policy.rumours import Rumour
from tamarackshelf.store.crash_rows import decode_crash
from tamarackshelf.store.fleet_rows import decode_node
from tamarackshelf.store.job_store import decode_head
from tests.platform.test_records import CONFIGURATION, WORKER
from tests.support.odd_input import ODD_BYTES, list_edited

EXAMPLES = 200
VERSION = {"model": "m", "version": 4}


def decode_worker(value):
    return decode_target("i-1", value, checks_fencing=True)


ROW_DECODERS = [
    (decode_worker, WORKER),
    (decode_configuration, CONFIGURATION),
    (decode_model_version, VERSION),
]
OWN_DECODERS = [
    decode_node,
    decode_crash,
    decode_head,
    lambda value: decode_msgpack(value, JobHandover),
    lambda value: decode_msgpack(value, RelayAnswer),
    lambda value: decode_json(value, tuple[Rumour, ...]),
]

ODD_JSON = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text()
    | st.sampled_from([2**63, 2**64, -(2**63) - 1, 10**400]),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
)


def decode_or_reject(decode, value, error):
    """Decode a value to something that a peer can be told, or raise `error`."""
    try:
        msgspec.msgpack.encode(decode(value))
    except error:
        return


@pytest.mark.parametrize(("decode", "good"), ROW_DECODERS)
def test_each_edited_row_is_usable_or_rejected(decode, good):
    for value in [*ODD_BYTES, *map(encode_json, list_edited(good))]:
        decode_or_reject(decode, value, UnreadableRecord)


@pytest.mark.parametrize(("decode", "good"), ROW_DECODERS)
@settings(max_examples=EXAMPLES, deadline=None)
@given(data=st.data())
def test_random_rows_are_usable_or_rejected(decode, good, data):
    field = data.draw(st.sampled_from(sorted(good)))
    row = {**good, field: data.draw(ODD_JSON)}
    decode_or_reject(decode, encode_json(row), UnreadableRecord)
    decode_or_reject(decode, data.draw(st.binary()), UnreadableRecord)


@pytest.mark.parametrize("decode", OWN_DECODERS)
@settings(max_examples=EXAMPLES, deadline=None)
@given(value=st.binary())
def test_random_messages_are_usable_or_rejected(decode, value):
    decode_or_reject(decode, value, InvalidInput)


@pytest.mark.parametrize("decode", OWN_DECODERS)
@pytest.mark.parametrize("value", ODD_BYTES)
def test_odd_messages_are_usable_or_rejected(decode, value):
    decode_or_reject(decode, value, InvalidInput)


# A rumour with a larger number ended the task that gossips at each datagram with it.
def test_rumours_with_numbers_that_cannot_be_told_on_are_rejected():
    value = encode_json([{"subject": "s", "version": 2**64, "value": ""}])
    with pytest.raises(InvalidInput):
        decode_json(value, tuple[Rumour, ...])


@settings(max_examples=EXAMPLES, deadline=None)
@given(body=st.binary())
def test_datagrams_that_are_no_messages_are_dropped(body):
    crash = Crash("f", "t", 1)
    signed = encode_signed(b"k" * 16, 1000, crash)
    assert decode_signed(b"k" * 16, 1000, signed) is None
    assert decode_signed(b"k" * 16, 1000, body) is None


@pytest.mark.parametrize("text", ["", "-1", "1.5", "²", "1_0", "9" * 19, "9" * 5000])
def test_text_that_is_no_whole_number_of_63_bits_is_rejected(text):
    with pytest.raises(InvalidInput):
        parse_number(text)
    assert parse_number("9" * 18) == 10**18 - 1


def test_reasons_are_short_enough_for_a_log_line():
    with pytest.raises(UnreadableRecord) as raised:
        decode_worker(encode_json({**WORKER, "state": "x" * 70_000}))
    assert len(str(raised.value)) <= 250


def encode_json(value):
    """Encode JSON as other writers do, with numbers of any size."""
    return json.dumps(value).encode()
