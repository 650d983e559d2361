"""Verdicts on a node's own paths to the targets of a service."""

from __future__ import annotations

from tamarackshelf.policy.reachability import SOUND_ROUNDS, ServicePaths


def apply(paths, *rounds, probed=3):
    return [paths.record_round(reached, probed, 1.0) for reached in rounds]


def test_one_reached_target_shows_that_the_node_is_not_cut_off():
    paths = ServicePaths()
    assert apply(paths, 1) == [False]
    assert not paths.is_cut_off


def test_node_that_reaches_no_probed_target_is_cut_off():
    paths = ServicePaths()
    assert apply(paths, 0, 0) == [True, False]
    assert paths.is_cut_off


def test_round_without_targets_changes_nothing():
    paths = ServicePaths()
    assert not paths.record_round(0, 0, 1.0)
    assert not paths.is_cut_off


# A node on a link that recovered halfway would change its paths again and again.
def test_cut_that_peers_confirmed_ends_after_sound_rounds_in_a_row():
    paths = ServicePaths()
    apply(paths, 0)
    paths.is_confirmed = True
    assert apply(paths, 3, 1, 3, 0, 2) == [False] * 5
    assert apply(paths, 3) == [True]
    assert SOUND_ROUNDS == 2
    assert not paths.is_cut_off


def test_cut_that_no_peer_confirmed_ends_with_the_first_sound_round():
    paths = ServicePaths()
    assert apply(paths, 0, 1, 2) == [True, False, True]


def test_cut_is_refused_only_while_all_probes_are_refused():
    paths = ServicePaths()
    paths.record_round(0, 3, 1.0, refused=3)
    assert paths.is_refused
    paths.record_round(0, 3, 2.0, refused=2)
    assert not paths.is_refused
