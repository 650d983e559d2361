"""Duties that one node performs for all: leases, counts of requests, reports."""

from __future__ import annotations
