"""Each checker of the demo detects the violation that it checks for."""

from __future__ import annotations

from dataclasses import replace

import pytest

from tamarackshelf.demo import checkers
from tamarackshelf.demo.observations import (
    Observations,
    ObservedCall,
    ObservedCompletion,
    ObservedSample,
    ObservedStep,
)
from tamarackshelf.standin import (
    compute_answer_length,
    compute_call_answer,
    produce_token,
    score_tokens,
)
from tamarackshelf.world import Sample, Segment

SHARE = 0.0


def build_tokens(version, seed=1):
    length = compute_answer_length("p", seed, 64, SHARE)
    return tuple(produce_token("m", version, "p", seed, i) for i in range(length))


def build_observed(slot=0, version=3, newest=4):
    tokens = build_tokens(version)
    segments = (Segment(0, len(tokens), version),)
    score = score_tokens("p", tokens)
    sample = Sample("c.s1", slot, 0, "p", 1, tokens, segments, score, 0.0)
    return ObservedSample(sample, "m", 64, newest)


def change(observed, **fields):
    return replace(observed, sample=replace(observed.sample, **fields))


GOOD = build_observed()


def test_correct_samples_pass():
    assert checkers.count_misattributed([GOOD], SHARE) == 0
    assert checkers.count_duplicated([GOOD, build_observed(1)]) == 0
    assert checkers.count_stale([GOOD], 1) == 0


@pytest.mark.parametrize(
    "bad",
    [
        pytest.param(
            change(GOOD, segments=(Segment(0, len(GOOD.sample.tokens), 4),)),
            id="another version named",
        ),
        pytest.param(change(GOOD, tokens=GOOD.sample.tokens[:-1]), id="cut short"),
        pytest.param(change(GOOD, score=2.0), id="another sample's score"),
        pytest.param(change(GOOD, prompt="q"), id="another prompt's tokens"),
        pytest.param(change(GOOD, failure="x"), id="failed with tokens"),
    ],
)
def test_incorrect_samples_are_counted(bad):
    assert checkers.count_misattributed([GOOD, bad], SHARE) == 1


def test_duplicates_losses_and_stale_samples_are_counted():
    assert checkers.count_duplicated([GOOD, GOOD, GOOD]) == 2
    steps = [ObservedStep("c.s1", 3, is_complete=False)]
    assert checkers.count_lost(steps, [GOOD, GOOD]) == 2
    assert checkers.count_stale([build_observed(version=1, newest=4)], 2) == 1


def test_wrong_answers_are_counted():
    tokens = build_tokens(3)
    versions = (3,) * len(tokens)
    good = ObservedCompletion("m", "p", 1, 64, tokens, versions)
    crossed = replace(good, seed=2)
    call = ObservedCall("path", "body", "", False, compute_call_answer("path", b"body"))
    wrong_call = replace(call, answer="other")
    count = checkers.count_wrong([good, crossed], [call, wrong_call], SHARE)
    assert count == 2


def test_double_runs_and_runs_after_a_refusal_are_counted():
    assert checkers.count_double_runs({"a": 1, "b": 3}) == 2
    refused = ObservedCall("path", "body", "no_target", True, "")
    assert checkers.count_refused_but_run([refused], {"path body": 1}) == 1
    assert checkers.count_refused_but_run([refused], {}) == 0


def test_counts_name_the_violated_guarantees():
    observations = Observations(
        samples=[GOOD, GOOD], steps=[ObservedStep("c.s1", 1, is_complete=True)]
    )
    counts = checkers.count_all("d", observations, {"x": 2}, 2, SHARE)
    assert counts.violations == ["samples_duplicated", "non_idempotent_double_runs"]
    assert "deployment=d samples_delivered=2 samples_duplicated=1" in counts.format()
