"""Which weight versions produced the tokens of one answer."""

from __future__ import annotations

from tamarackshelf.contracts import Chunk, StreamEnd
from tamarackshelf.errors import Unattributable
from tamarackshelf.world import Segment


class AnswerBuilder:
    """Collects the chunks of one answer over one or several attempts."""

    def __init__(self) -> None:
        self.tokens: list[str] = []
        self._segments: list[Segment] = []
        self._attempt_version: int | None = None
        self._chunks = 0

    @property
    def is_single_chunk(self) -> bool:
        """Tells whether exactly one chunk has come so far."""
        return self._chunks == 1

    @property
    def segments(self) -> tuple[Segment, ...]:
        """Returns the token ranges with their versions."""
        return tuple(self._segments)

    @property
    def oldest_version(self) -> int | None:
        """Returns the lowest version so far."""
        return min((s.version for s in self._segments), default=None)

    def clear(self) -> None:
        """Throws all tokens away."""
        self.tokens.clear()
        self._segments.clear()
        self._chunks = 0

    def start_attempt(self) -> None:
        """Begins a stream of another engine after the tokens so far."""
        self._attempt_version = None

    def add(self, chunk: Chunk) -> None:
        """Adds a chunk; raises Unattributable when it proves nothing."""
        if chunk.index != len(self.tokens):
            raise Unattributable(
                f"a chunk starts at token {chunk.index}, not {len(self.tokens)}; "
                "run the request again"
            )
        if chunk.version is None:
            raise Unattributable("a chunk names no version; run the request again")
        before = self._attempt_version
        if before is not None and chunk.version < before:
            raise Unattributable(
                f"the version went back from {before} to {chunk.version}; "
                "run the request again"
            )
        self._attempt_version = chunk.version
        self._extend(len(chunk.tokens), chunk.version)
        self.tokens += chunk.tokens
        self._chunks += 1

    def finish(self, end: StreamEnd) -> None:
        """Checks the end marker; raises Unattributable when tokens are missing."""
        if end.length != len(self.tokens):
            raise Unattributable(
                f"the end marker counts {end.length} tokens, {len(self.tokens)} "
                "came; run the request again"
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
