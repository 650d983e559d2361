"""Lookup of the owner of an API key or token by its digest."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Generic, TypeVar

from tamarackshelf.world import digest_token

# Below the 8 KiB at which a key must be refused; longer ones are not hashed.
MAX_KEY_CHARACTERS = 4096

T = TypeVar("T")
C = TypeVar("C")


class KeyIndex(Generic[T]):
    """Owners by the digests of their keys; a lookup costs the same for any number.

    The first owner in the list that has a digest gets it. Comparing digests in a dict
    takes a time that depends on the digest, from which a key cannot be inferred.
    """

    def __init__(self, owners: Iterable[tuple[T, Iterable[str]]]) -> None:
        self._owners: dict[str, T] = {}
        for owner, digests in owners:
            for digest in digests:
                self._owners.setdefault(digest, owner)

    def find(self, key: str) -> T | None:
        """Return the owner of the key, or None."""
        return self._owners.get(digest_token(key)) if is_usable_key(key) else None


class ConfigurationKeys(Generic[C, T]):
    """The key index of the newest configuration, built once for each of them.

    `list_owners` returns the owners of a configuration and the digests of their keys.
    """

    def __init__(
        self, list_owners: Callable[[C], Iterable[tuple[T, Iterable[str]]]]
    ) -> None:
        self._list_owners = list_owners
        self._configuration: C | None = None
        self._index: KeyIndex[T] = KeyIndex(())

    def find(self, configuration: C, key: str) -> T | None:
        """Return the owner of the key in a configuration, or None."""
        if configuration is not self._configuration:
            self._index = KeyIndex(self._list_owners(configuration))
            self._configuration = configuration
        return self._index.find(key)


def is_usable_key(key: str) -> bool:
    """Return whether any owner could have this key."""
    return 0 < len(key) <= MAX_KEY_CHARACTERS and key.isascii() and key.isprintable()


__all__ = ["MAX_KEY_CHARACTERS", "ConfigurationKeys", "KeyIndex", "is_usable_key"]
