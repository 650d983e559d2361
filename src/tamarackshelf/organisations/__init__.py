"""Organisations of callers: finding them by API key, and refusing unknown keys."""

from __future__ import annotations

from tamarackshelf.organisations.authenticator import KeyAuthenticator
from tamarackshelf.organisations.key_index import (
    ConfigurationKeys,
    KeyIndex,
    is_usable_key,
)

__all__ = ["ConfigurationKeys", "KeyAuthenticator", "KeyIndex", "is_usable_key"]
