"""Assignment of engines to models.

Loading the new versions of every model on every engine would cost loads that no trainer
needs. So each engine is assigned to one model and loads only its versions; a model's
number of engines is in proportion to its share of the work.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence

# Each model counts as having at least this share of the models' mean work, because a
# trainer without recent jobs may be late rather than gone.
MIN_WORK_SHARE = 0.3
# An engine is reassigned when its model has this many engines more than its quota and
# another model as many fewer; with a smaller threshold, rounding alone would move
# engines back and forth.
REASSIGN_THRESHOLD = 0.7


def assign_engines(
    engines: Sequence[str],
    models: Sequence[str],
    versions: Mapping[str, Mapping[str, int]],
    previous: Mapping[str, str],
    work: Mapping[str, float],
) -> dict[str, str]:
    """Return the model that each engine is assigned to.

    `versions` holds the loaded version by engine and model, `previous` the last
    assignment, and `work` the recent work of each model's jobs in any unit. An engine
    without a previous assignment goes to the model of which it has loaded the highest
    version, or on a tie to the model that lacks most engines. Engines are reassigned
    only when a model has too many of them, see REASSIGN_THRESHOLD.
    """
    if not models:
        return {}
    engines_by_model: dict[str, list[str]] = {model: [] for model in models}
    unassigned: list[str] = []
    for engine in sorted(engines):
        model = previous.get(engine) or _find_newest(models, versions.get(engine, {}))
        if model in engines_by_model:
            engines_by_model[model].append(engine)
        else:
            unassigned.append(engine)
    quotas = _compute_quotas(len(engines), models, work)
    for engine in unassigned:
        neediest = max(
            engines_by_model,
            key=lambda model: quotas[model] - len(engines_by_model[model]),
        )
        engines_by_model[neediest].append(engine)
    _rebalance(engines_by_model, quotas)
    return {
        engine: model for model, names in engines_by_model.items() for engine in names
    }


def _find_newest(models: Sequence[str], loaded: Mapping[str, int]) -> str:
    """Return the model whose loaded version is the highest, or "" on a tie."""
    ranked = sorted(models, key=lambda model: loaded.get(model, 0), reverse=True)
    if len(ranked) < 2:
        return ranked[0]
    first, second = (loaded.get(model, 0) for model in ranked[:2])
    return ranked[0] if first > second else ""


def _compute_quotas(
    engines: int, models: Sequence[str], work: Mapping[str, float]
) -> dict[str, float]:
    """Return the number of engines in proportion to work by model, unrounded."""
    known = [work.get(model, 0.0) for model in models]
    mean = sum(known) / len(known) or 1.0
    weights = [max(amount, MIN_WORK_SHARE * mean) for amount in known]
    return {
        model: engines * weight / sum(weights)
        for model, weight in zip(models, weights, strict=True)
    }


def _rebalance(
    engines_by_model: dict[str, list[str]], quotas: Mapping[str, float]
) -> None:
    """Reassign engines from the largest to the smallest surplus, in place."""
    while True:
        surplus = {
            model: len(names) - quotas[model]
            for model, names in engines_by_model.items()
        }
        most = max(surplus, key=lambda model: surplus[model])
        least = min(surplus, key=lambda model: surplus[model])
        if surplus[most] < REASSIGN_THRESHOLD or surplus[least] > -REASSIGN_THRESHOLD:
            return
        if len(engines_by_model[most]) < 2:
            return
        engines_by_model[least].append(engines_by_model[most].pop())


__all__ = ["assign_engines"]
