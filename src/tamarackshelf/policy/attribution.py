"""Attribution of the tokens of one answer to weight versions."""

from __future__ import annotations

from tamarackshelf.contracts import Chunk, StreamEnd
from tamarackshelf.errors import Unattributable
from tamarackshelf.world import Segment


class AnswerBuilder:
    """Answer that is assembled from the chunks of one or several attempts."""

    def __init__(self) -> None:
        self.tokens: list[str] = []
        self._segments: list[Segment] = []
        self._last_attempt_version: int | None = None
        self._chunk_count = 0

    @property
    def is_single_chunk(self) -> bool:
        """Whether exactly one chunk was added so far."""
        return self._chunk_count == 1

    @property
    def segments(self) -> tuple[Segment, ...]:
        """The token ranges with the weight version that produced each."""
        return tuple(self._segments)

    @property
    def oldest_version(self) -> int | None:
        """The lowest weight version so far, or None before the first token."""
        return min((s.version for s in self._segments), default=None)

    def clear(self) -> None:
        """Discard all tokens and segments."""
        self.tokens.clear()
        self._segments.clear()
        self._chunk_count = 0

    def start_attempt(self) -> None:
        """Start the stream of another engine that continues after the tokens so far.

        The new engine may have older weights than the previous one.
        """
        self._last_attempt_version = None

    def add(self, chunk: Chunk) -> None:
        """Add a chunk.

        Raise Unattributable when the chunk does not follow the tokens so far, names
        no weight version, or names a lower one than the chunk before it in the same
        attempt.
        """
        if chunk.index != len(self.tokens):
            raise Unattributable(
                f"a chunk starts at token {chunk.index} instead of {len(self.tokens)}; "
                "run the request again"
            )
        if chunk.version is None:
            raise Unattributable(
                "a chunk names no weight version; run the request again"
            )
        before = self._last_attempt_version
        if before is not None and chunk.version < before:
            raise Unattributable(
                f"the weight version decreased from {before} to {chunk.version}; "
                "run the request again"
            )
        self._last_attempt_version = chunk.version
        self._extend(len(chunk.tokens), chunk.version)
        self.tokens += chunk.tokens
        self._chunk_count += 1

    def finish(self, end: StreamEnd) -> None:
        """Check the end marker; raise Unattributable when its token count differs."""
        if end.length != len(self.tokens):
            raise Unattributable(
                f"the end marker counts {end.length} tokens, but {len(self.tokens)} "
                "were received; run the request again"
            )

    def _extend(self, count: int, version: int) -> None:
        if count == 0:
            return
        start = len(self.tokens)
        last = self._segments[-1] if self._segments else None
        if last is not None and last.version == version:
            self._segments[-1] = Segment(last.start, start + count, version)
        else:
            self._segments.append(Segment(start, start + count, version))


__all__ = ["AnswerBuilder"]
