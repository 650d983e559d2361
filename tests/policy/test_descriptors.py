"""Division of descriptors: callers never take what calls to targets need."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from tamarackshelf.policy.descriptors import FILE_DESCRIPTORS, share_descriptors

MB = 1024 * 1024


@given(st.integers(400, 100_000), st.none() | st.integers(50 * MB, 64_000 * MB))
def test_accepted_connections_leave_a_reserve_for_calls(descriptors, memory_bytes):
    bounds = share_descriptors(descriptors, memory_bytes)
    accepted = bounds.callers + bounds.peers + bounds.readiness + bounds.metrics
    usable = descriptors - FILE_DESCRIPTORS
    assert usable - accepted >= usable // 4
    assert min(bounds.callers, bounds.peers, bounds.readiness, bounds.metrics) >= 1


def test_smallest_deployment_has_room_for_callers():
    """The lowest limits.maxFds of a deployment, on a VM of 200 MB."""
    bounds = share_descriptors(4_100, 200 * MB)
    # A tenth of the memory at 11 KB each; the descriptors alone would allow 1,950.
    assert bounds.callers == 1_861
    assert bounds.peers == 487


def test_setting_only_lowers_the_bound_of_callers():
    assert share_descriptors(4_100, None, 100).callers == 100
    assert share_descriptors(4_100, None, 10_000).callers == 1_950


def test_little_memory_lowers_the_bound_of_callers():
    assert share_descriptors(100_000, 100 * MB).callers == 930
