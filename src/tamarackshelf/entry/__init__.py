"""Forwarding of callers' requests and streams to the targets of a route."""

from __future__ import annotations
