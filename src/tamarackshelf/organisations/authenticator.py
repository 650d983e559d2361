"""Validation of callers' API keys against the newest configuration of a node."""

from __future__ import annotations

import asyncio
import enum

from tamarackshelf.errors import Unauthorised
from tamarackshelf.observe import Metrics, Timeline
from tamarackshelf.organisations.key_index import (
    MAX_KEY_CHARACTERS,
    ConfigurationKeys,
    is_usable_key,
)
from tamarackshelf.world import Organisation
from tamarackshelf.world.route import RoutingConfiguration

# Refusals are caused by anyone who can connect; more events would displace the others
# in the timeline and the log.
MAX_EVENTS_PER_S = 5
MAX_SUBJECT_CHARACTERS = 100
# Metric series for organisations; the requests of further ones are counted together.
MAX_ORGANISATION_SERIES = 100
OTHER_ORGANISATIONS = "other"


class KeyRefusal(enum.StrEnum):
    """Why a key is refused."""

    MISSING = "missing"
    EMPTY = "empty"
    TOO_LONG = "too_long"
    NOT_PLAIN_TEXT = "not_plain_text"
    UNKNOWN = "unknown"


_REASONS = {
    KeyRefusal.MISSING: "the request has no API key",
    KeyRefusal.EMPTY: "the API key is empty",
    KeyRefusal.TOO_LONG: f"the API key exceeds {MAX_KEY_CHARACTERS} characters",
    KeyRefusal.NOT_PLAIN_TEXT: "the API key is not printable ASCII",
    KeyRefusal.UNKNOWN: "no organisation has this API key, or it was sent twice",
}


class KeyAuthenticator:
    """Finds the organisation of a caller's key, and counts requests and refusals."""

    def __init__(self, timeline: Timeline, metrics: Metrics) -> None:
        self._timeline = timeline
        self._metrics = metrics
        self._keys = ConfigurationKeys(_list_owners)
        self._named: set[str] = set()
        self._window_s = float("-inf")
        self._events = 0
        self._omitted = 0

    def identify(
        self, configuration: RoutingConfiguration, key: str | None, request_id: str
    ) -> Organisation:
        """Return the organisation that has the key; raise Unauthorised if none has.

        `key` is None if the request has none. The error, the log and the timeline do
        not contain the key.
        """
        found = None if key is None else self._keys.find(configuration, key)
        if found is None:
            raise self._refuse(_find_refusal(key), configuration.version, request_id)
        self._count_request(found.name)
        return found

    def _count_request(self, name: str) -> None:
        if name not in self._named:
            if len(self._named) >= MAX_ORGANISATION_SERIES:
                name = OTHER_ORGANISATIONS
            self._named.add(name)
        self._metrics.count("organisation_requests", organisation=name)

    def _refuse(
        self, refusal: KeyRefusal, version: int, request_id: str
    ) -> Unauthorised:
        reason = _REASONS[refusal]
        self._metrics.count("caller_keys_refused", reason=refusal.value)
        now_s = asyncio.get_running_loop().time()
        if now_s - self._window_s >= 1.0:
            self._window_s, self._events = now_s, 0
        if self._events < MAX_EVENTS_PER_S:
            self._events += 1
            self._timeline.record(
                "key_refused",
                request_id[:MAX_SUBJECT_CHARACTERS],
                reason,
                configuration=version,
                omitted=self._omitted,
            )
            self._omitted = 0
        else:
            self._omitted += 1
        return Unauthorised(
            f"{reason} (configuration {version}); send a key of your organisation "
            "once, without a prefix"
        )


def _list_owners(
    configuration: RoutingConfiguration,
) -> list[tuple[Organisation, tuple[str, ...]]]:
    return [(each, each.key_digests) for each in configuration.organisations or ()]


def _find_refusal(key: str | None) -> KeyRefusal:
    if key is None:
        return KeyRefusal.MISSING
    if not key:
        return KeyRefusal.EMPTY
    if len(key) > MAX_KEY_CHARACTERS:
        return KeyRefusal.TOO_LONG
    return KeyRefusal.UNKNOWN if is_usable_key(key) else KeyRefusal.NOT_PLAIN_TEXT


__all__ = ["KeyAuthenticator", "KeyRefusal"]
