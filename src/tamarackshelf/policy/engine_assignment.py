"""Which engines keep up with which model's newest weights.

Loading every version on every engine costs loads that no trainer needs, so each
model has engines of its own, as many as its share of the work asks for.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence

# Counts as this part of the mean work at least: a trainer may be late, not gone.
LEAST_SHARE = 0.3
# An engine changes hands when its model has this much more than its part and another
# as much less; below it rounding alone would move engines to and fro.
MOVE_AT = 0.7


def assign_engines(
    engines: Sequence[str],
    models: Sequence[str],
    versions: Mapping[str, Mapping[str, int]],
    before: Mapping[str, str],
    work: Mapping[str, float],
) -> dict[str, str]:
    """Returns the model of each engine.

    `versions` holds each engine's loaded version by model, `before` the last shares,
    `work` what each model's jobs asked for lately in any unit. An engine without an
    earlier share goes by the model that it has newest of.
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
    parts = _divide(len(engines), models, work)
    for engine in free:
        lacking = max(kept, key=lambda model: parts[model] - len(kept[model]))
        kept[lacking].append(engine)
    _even_out(kept, parts)
    return {engine: model for model, names in kept.items() for engine in names}


def _find_lead(models: Sequence[str], loaded: Mapping[str, int]) -> str:
    """Returns the model that is further on than all others here, or nothing."""
    ranked = sorted(models, key=lambda model: loaded.get(model, 0), reverse=True)
    if len(ranked) < 2:
        return ranked[0]
    first, second = (loaded.get(model, 0) for model in ranked[:2])
    return ranked[0] if first > second else ""


def _divide(
    engines: int, models: Sequence[str], work: Mapping[str, float]
) -> dict[str, float]:
    """Returns each model's part of the engines, not rounded."""
    known = [work.get(model, 0.0) for model in models]
    mean = sum(known) / len(known) or 1.0
    weights = [max(amount, LEAST_SHARE * mean) for amount in known]
    return {
        model: engines * weight / sum(weights)
        for model, weight in zip(models, weights, strict=True)
    }


def _even_out(kept: dict[str, list[str]], parts: Mapping[str, float]) -> None:
    while True:
        surplus = {model: len(names) - parts[model] for model, names in kept.items()}
        most = max(surplus, key=lambda model: surplus[model])
        least = min(surplus, key=lambda model: surplus[model])
        if surplus[most] < MOVE_AT or surplus[least] > -MOVE_AT:
            return
        if len(kept[most]) < 2:
            return
        kept[least].append(kept[most].pop())


__all__ = ["assign_engines"]
