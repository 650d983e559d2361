"""Decoding of the organisations in the operator's configuration."""

from __future__ import annotations

import logging
from typing import TypeGuard

from tamarackshelf.decoding import InvalidInput
from tamarackshelf.organisations import is_usable_key
from tamarackshelf.world import Organisation, digest_token

CONFIGURATION_ROW = "op/config"
MAX_NAME_CHARACTERS = 200
MIN_PRIORITY, MAX_PRIORITY = -(2**63), 2**63 - 1
# Fields named in the log line about one row; the others are only counted.
MAX_NAMED_FIELDS = 10

log = logging.getLogger("tamarackshelf")


class UnreadableField(InvalidInput):
    """A field of a row is invalid and has no effect; the rest of the row holds.

    The message names the row and the field, and contains no value of the field, which
    may be an API key.
    """

    def __init__(self, field: str, reason: str) -> None:
        super().__init__(f"{CONFIGURATION_ROW}: {field}: {reason}")
        self.field = field


def decode_organisations(
    value: object, errors: list[UnreadableField]
) -> tuple[Organisation, ...]:
    """Decode what is readable of a list of organisations, and add errors for the rest.

    A key of several organisations belongs to the first of them. A value that is not a
    list contains no organisation, so that no key is accepted.
    """
    if not isinstance(value, list):
        errors.append(UnreadableField("tenants", "not a list"))
        return ()
    owners: dict[str, str] = {}
    found = []
    for number, entry in enumerate(value):
        field = f"tenants[{number}]"
        if not isinstance(entry, dict):
            errors.append(UnreadableField(field, "not an object"))
            continue
        name = entry.get("name")
        if not _is_sendable_name(name):
            reason = (
                f"not a text of 1 to {MAX_NAME_CHARACTERS} characters that a header "
                "can carry"
            )
            errors.append(UnreadableField(f"{field}.name", reason))
            continue
        digests = _digest_keys(field, name, entry.get("apiKeys"), owners, errors)
        priority = _decode_priority(field, entry.get("priority"), errors)
        found.append(Organisation(name, digests, priority))
    return tuple(found)


def decode_is_public(route: int, value: object, errors: list[UnreadableField]) -> bool:
    """Decode whether a route is public; it is not if the field is invalid."""
    if isinstance(value, bool) or value is None:
        return bool(value)
    errors.append(UnreadableField(f"routes[{route}].public", "not true or false"))
    return False


def log_unreadable_fields(errors: list[UnreadableField]) -> None:
    """Log the invalid fields of a row on one line, if there are any."""
    if errors:
        event = {
            "row": CONFIGURATION_ROW,
            "count": len(errors),
            "reason": "; ".join(str(error) for error in errors[:MAX_NAMED_FIELDS]),
        }
        log.warning("row_fields_unreadable", extra={"event": event})


def _digest_keys(
    field: str,
    name: str,
    keys: object,
    owners: dict[str, str],
    errors: list[UnreadableField],
) -> tuple[str, ...]:
    if keys is None:
        return ()
    if not isinstance(keys, list):
        errors.append(UnreadableField(f"{field}.apiKeys", "not a list"))
        return ()
    digests = []
    for number, key in enumerate(keys):
        if not isinstance(key, str) or not is_usable_key(key):
            reason = "not a text of printable ASCII of a permitted length"
            errors.append(UnreadableField(f"{field}.apiKeys[{number}]", reason))
            continue
        digest = digest_token(key)
        if owners.setdefault(digest, name) != name:
            reason = f"also a key of {owners[digest]!r}, to which it belongs"
            errors.append(UnreadableField(f"{field}.apiKeys[{number}]", reason))
            continue
        digests.append(digest)
    return tuple(digests)


def _decode_priority(
    field: str, value: object, errors: list[UnreadableField]
) -> int | None:
    if value is None:
        return None
    is_number = isinstance(value, int) and not isinstance(value, bool)
    if isinstance(value, int) and is_number and MIN_PRIORITY <= value <= MAX_PRIORITY:
        return value
    errors.append(UnreadableField(f"{field}.priority", "not a whole number"))
    return None


def _is_sendable_name(name: object) -> TypeGuard[str]:
    """Return whether a header can carry the name, so that targets get it unchanged."""
    if not isinstance(name, str) or not 0 < len(name) <= MAX_NAME_CHARACTERS:
        return False
    try:
        name.encode()
    except UnicodeEncodeError:
        return False
    return name.isprintable() and name == name.strip()


__all__ = [
    "UnreadableField",
    "decode_is_public",
    "decode_organisations",
    "log_unreadable_fields",
]
