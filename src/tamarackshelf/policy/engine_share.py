"""Which engines keep up with which model's newest weights.

Loading every version on every engine costs loads that no trainer needs, so each
model has engines of its own; they change hands only when the shares differ by two.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence


def share_engines(
    engines: Sequence[str],
    models: Sequence[str],
    versions: Mapping[str, Mapping[str, int]],
    before: Mapping[str, str],
) -> dict[str, str]:
    """Returns the model of each engine.

    `versions` holds each engine's loaded version by model, `before` the last shares.
    An engine without an earlier share goes by the model that it has newest of.
    """
    if not models:
        return {}
    kept: dict[str, list[str]] = {model: [] for model in models}
    free: list[str] = []
    for engine in sorted(engines):
        model = before.get(engine) or _find_lead(models, versions.get(engine, {}))
        if model in kept:
            kept[model].append(engine)
        else:
            free.append(engine)
    for engine in free:
        min(kept.values(), key=len).append(engine)
    _even_out(kept)
    return {engine: model for model, names in kept.items() for engine in names}


def _find_lead(models: Sequence[str], loaded: Mapping[str, int]) -> str:
    """Returns the model that is further on than all others here, or nothing."""
    ranked = sorted(models, key=lambda model: loaded.get(model, 0), reverse=True)
    if len(ranked) < 2:
        return ranked[0]
    first, second = (loaded.get(model, 0) for model in ranked[:2])
    return ranked[0] if first > second else ""


def _even_out(kept: dict[str, list[str]]) -> None:
    while True:
        most = max(kept, key=lambda model: len(kept[model]))
        least = min(kept, key=lambda model: len(kept[model]))
        if len(kept[most]) - len(kept[least]) < 2:
            return
        kept[least].append(kept[most].pop())


__all__ = ["share_engines"]
