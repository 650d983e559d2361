"""Input that no program of this project writes, for tests of decoders."""

from __future__ import annotations

import copy

DEPTH = 100_000
NESTED_JSON = b'{"x":' + b"[" * DEPTH + b"]" * DEPTH + b"}"
NESTED_MSGPACK = b"\x81\xa1x" + b"\x91" * DEPTH + b"\x00"
ODD_BYTES = [
    b"",
    b"null",
    b"[]",
    b"{",
    b"\xff\xfe",
    b"\xc1",
    b'{"\xff":1}',
    b'{"upstream":"\\ud800"}',
    NESTED_JSON,
    NESTED_MSGPACK,
]

ODD_VALUES = [
    None,
    True,
    -1,
    0,
    1.5,
    2**31,
    2**63,
    2**64,
    10**100,
    1e300,
    -1e300,
    "",
    "x" * 70_000,
    "\x00",
    "a\r\nx-injected: 1",
    "ü",
    [],
    {},
    ["x"],
    {"x": 1},
    "10.0.0.1:0",
    "10.0.0.1:-1",
    "10.0.0.1:99999",
    "10.0.0.1:" + "9" * 5000,
    "0.0.0.0:80",
    "255.255.255.255:80",
    "224.0.0.1:80",
    "[::1%25x]:80",
    "10.0.0.1",
]


def list_edited(good):
    """Return copies of a value of JSON with each field removed or replaced."""
    edited = []
    for path in _list_paths(good):
        edited += [_replace(good, path, value) for value in ODD_VALUES]
        edited.append(_remove(good, path))
    return edited


def _list_paths(value, path=()):
    items = []
    if isinstance(value, dict):
        items = list(value.items())
    elif isinstance(value, list):
        items = list(enumerate(value))
    for key, inner in items:
        yield (*path, key)
        yield from _list_paths(inner, (*path, key))


def _replace(good, path, value):
    edited = copy.deepcopy(good)
    _find_parent(edited, path)[path[-1]] = value
    return edited


def _remove(good, path):
    edited = copy.deepcopy(good)
    del _find_parent(edited, path)[path[-1]]
    return edited


def _find_parent(value, path):
    for key in path[:-1]:
        value = value[key]
    return value
