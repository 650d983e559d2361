"""Listeners that decode changed rows of the operator and of the workers."""

from __future__ import annotations

import logging

from tamarackshelf.contracts.rows import RowChange
from tamarackshelf.node.configuration_view import ConfigurationView
from tamarackshelf.node.program import PlatformTables, RowListener
from tamarackshelf.node.targets import TargetRegistry
from tamarackshelf.node.weights import WeightCoordinator
from tamarackshelf.observe import Metrics
from tamarackshelf.platform.records import (
    CONFIGURATION_KEY,
    OPERATOR_TABLE,
    TARGETS_TABLE,
    VERSION_KEY_PREFIX,
    UnreadableRecord,
    decode_configuration,
    decode_model_version,
    decode_target,
)

log = logging.getLogger("tamarackshelf")


def build_platform_tables(metrics: Metrics, *, checks_fencing: bool) -> PlatformTables:
    """Return the platform's tables and the listeners that decode their row changes.

    `checks_fencing` says whether the workers check fencing numbers of orders.
    """

    def report_unreadable(change: RowChange, error: UnreadableRecord) -> None:
        metrics.count("rows_unreadable")
        event = {"row": f"{change.at.table}/{change.at.key}", "reason": str(error)}
        log.warning("row_unreadable", extra={"event": event})

    def build_target_listener(registry: TargetRegistry) -> RowListener:
        def handle(changes: tuple[RowChange, ...]) -> None:
            for change in changes:
                name = change.at.key
                if change.value is None:
                    registry.remove(name)
                    continue
                try:
                    value = change.value
                    registry.put(
                        decode_target(name, value, checks_fencing=checks_fencing)
                    )
                except UnreadableRecord as error:
                    report_unreadable(change, error)
                    registry.remove(name)

        return handle

    def build_operator_listener(
        view: ConfigurationView, weights: WeightCoordinator
    ) -> RowListener:
        def handle(changes: tuple[RowChange, ...]) -> None:
            for change in changes:
                if change.value is None:
                    continue
                try:
                    if change.at.key == CONFIGURATION_KEY:
                        view.update(decode_configuration(change.value))
                    elif change.at.key.startswith(VERSION_KEY_PREFIX):
                        weights.record_announced_version(
                            *decode_model_version(change.value)
                        )
                except UnreadableRecord as error:
                    report_unreadable(change, error)

        return handle

    return PlatformTables(
        operator_table=OPERATOR_TABLE,
        targets_table=TARGETS_TABLE,
        build_operator_listener=build_operator_listener,
        build_target_listener=build_target_listener,
    )


__all__ = ["build_platform_tables"]
