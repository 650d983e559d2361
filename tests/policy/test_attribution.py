"""Attribution of tokens to the weight versions that the engine's chunks name.

Streams that leave the version of a token unknown are refused.
"""

from __future__ import annotations

import pytest

from tamarackshelf.contracts import Chunk, StreamEnd
from tamarackshelf.errors import Unattributable
from tamarackshelf.policy.attribution import AnswerBuilder
from tamarackshelf.world import Segment


def build(*attempts):
    builder = AnswerBuilder()
    for chunks in attempts:
        builder.start_attempt()
        for chunk in chunks:
            builder.add(chunk)
    return builder


def test_weight_swap_during_an_answer_makes_two_segments():
    builder = build([Chunk(0, ("a", "b"), 3), Chunk(2, ("c",), 3), Chunk(3, ("d",), 4)])
    builder.finish(StreamEnd(4))
    assert builder.segments == (Segment(0, 3, 3), Segment(3, 4, 4))
    assert builder.oldest_version == 3


def test_resume_on_an_engine_with_older_weights_keeps_both_versions():
    builder = build([Chunk(0, ("a",), 4)], [Chunk(1, ("b",), 3)])
    assert builder.segments == (Segment(0, 1, 4), Segment(1, 2, 3))


@pytest.mark.parametrize(
    "chunks",
    [
        pytest.param([Chunk(0, ("a",), None)], id="no version"),
        pytest.param(
            [Chunk(0, ("a",), 4), Chunk(1, ("b",), 3)], id="version decreases"
        ),
        pytest.param([Chunk(0, ("a",), 4), Chunk(2, ("b",), 4)], id="gap"),
        pytest.param([Chunk(1, ("a",), 4)], id="does not start at the prefix"),
    ],
)
def test_unattributable_stream_is_refused(chunks):
    with pytest.raises(Unattributable):
        build(chunks)


def test_missing_token_before_the_end_marker_is_refused():
    with pytest.raises(Unattributable):
        build([Chunk(0, ("a",), 1)]).finish(StreamEnd(2))
