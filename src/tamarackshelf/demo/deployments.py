"""The two deployments of the demo, at their present sizes."""

from __future__ import annotations

from dataclasses import dataclass

from tamarackshelf.world import (
    Address,
    Campaign,
    NetworkDelays,
    OrganisationParameters,
    Target,
    TargetKind,
    digest_token,
)

ANY_PORT = Address("127.0.0.1", 0)
ENGINE_CONCURRENCY = 8
SERVICE_CONCURRENCY = 16


@dataclass(frozen=True, slots=True)
class TrainedModel:
    """A model and the campaign that its trainer uses."""

    campaign: str
    model: str


@dataclass(frozen=True, slots=True)
class Deployment:
    """Size and parameters of one fleet, its targets and its organisation.

    `engines`, `plain_targets` and `entry_vms` are numbers of VMs.
    """

    name: str
    data_centres: tuple[str, ...]
    network_delays: NetworkDelays
    engine_service: str
    engines: int
    plain_service: str
    plain_targets: int
    call_path: str
    staleness_weight: float
    idle_weight: float
    trained_models: tuple[TrainedModel, ...]
    entry_vms: int = 12
    staleness_bound_versions: int = 2

    @property
    def token(self) -> str:
        """The organisation's token."""
        return f"token-of-{self.name}"

    @property
    def models(self) -> tuple[str, ...]:
        """Names of the models of all trainers."""
        return tuple(trained_model.model for trained_model in self.trained_models)


TANNFE = Deployment(
    name="tannfe",
    data_centres=("vestland-a", "vestland-b", "vestland-c", "vestland-d"),
    network_delays=NetworkDelays(between_s=0.0015, client_s=0.003),
    engine_service="fevenn-models",
    engines=4,
    plain_service="brevskrin",
    plain_targets=4,
    call_path="letters/dispatch",
    staleness_weight=0.7,
    idle_weight=0.3,
    trained_models=(
        TrainedModel("bokmaal", "fevenn-nb"),
        TrainedModel("nynorsk", "fevenn-nn"),
    ),
)

KALESA = Deployment(
    name="kalesa-ilog",
    data_centres=("pasig-a", "marikina-b", "laguna-c"),
    network_delays=NetworkDelays(between_s=0.0005, client_s=0.001),
    engine_service="horse-llm",
    engines=5,
    plain_service="stable-desk",
    plain_targets=3,
    call_path="ledger/check",
    staleness_weight=0.3,
    idle_weight=0.7,
    trained_models=(TrainedModel("gait", "gait-advice"),),
)

DEPLOYMENTS = (TANNFE, KALESA)


def build_targets(deployment: Deployment) -> tuple[Target, ...]:
    """Return the targets, distributed evenly over the data centres.

    Every second target of a service does not check fencing numbers.
    """
    groups = (
        (deployment.engine_service, TargetKind.ENGINE, deployment.engines),
        (deployment.plain_service, TargetKind.PLAIN, deployment.plain_targets),
        (f"{deployment.name}-scorer", TargetKind.SCORER, 2),
    )
    targets = []
    for service, kind, count in groups:
        is_engine = kind is TargetKind.ENGINE
        concurrency = ENGINE_CONCURRENCY if is_engine else SERVICE_CONCURRENCY
        for i in range(count):
            location = deployment.data_centres[i % len(deployment.data_centres)]
            name = f"{service}-{i}"
            targets.append(
                Target(
                    name=name,
                    service=service,
                    kind=kind,
                    data_centre=location,
                    address=ANY_PORT,
                    incarnation=1,
                    concurrency=concurrency,
                    checks_fencing=i % 2 == 0,
                )
            )
    return tuple(targets)


def build_parameters(deployment: Deployment) -> OrganisationParameters:
    """Return the organisation's parameters for the initial configuration."""
    return OrganisationParameters(
        organisation=deployment.name,
        services=(deployment.engine_service, deployment.plain_service),
        models=deployment.models,
        trainers=tuple(
            trained_model.campaign for trained_model in deployment.trained_models
        ),
        token_digests=(digest_token(deployment.token),),
        staleness_bound_versions=deployment.staleness_bound_versions,
        staleness_weight=deployment.staleness_weight,
        idle_weight=deployment.idle_weight,
        non_idempotent_routes=(f"{deployment.plain_service}/{deployment.call_path}",),
    )


def build_campaigns(deployment: Deployment) -> tuple[Campaign, ...]:
    """Return one campaign for each trainer."""
    return tuple(
        Campaign(
            name=trained_model.campaign,
            organisation=deployment.name,
            service=deployment.engine_service,
            model=trained_model.model,
            scorer=f"{deployment.name}-scorer",
        )
        for trained_model in deployment.trained_models
    )


__all__ = [
    "ANY_PORT",
    "DEPLOYMENTS",
    "KALESA",
    "TANNFE",
    "Deployment",
    "TrainedModel",
    "build_campaigns",
    "build_parameters",
    "build_targets",
]
