"""Data classes of the sheet, the configuration that operators publish daily.

Every table is a tuple of rows. Each row has a name that is unique in its table.
"""

import enum
from dataclasses import dataclass


class Kind(enum.StrEnum):
    """The kind of a service: a model, or a plain service."""

    MODEL = "model"
    PLAIN = "plain"


class Repeat(enum.StrEnum):
    """How often a call may run.

    ``IDEMPOTENT`` calls may be retried on any target. ``ONCE`` calls need an
    issued key and run at most once. ``SINGLE`` calls have no key and are never
    retried.
    """

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    SINGLE = "single"


class TargetState(enum.StrEnum):
    """Whether a target takes new requests, as set by operators."""

    SERVING = "serving"
    LEAVING = "leaving"


@dataclass(frozen=True, kw_only=True)
class Call:
    """One call of a service.

    Args:
        name: The call's name, unique in its service.
        repeat: How often the call may run.
        streamed: Whether the answer is a stream of events; model services only.
        priority: From 0, the most urgent, to 9, the least urgent.
        deadline_ms: Longest time that a caller waits for the complete answer.
    """

    name: str
    repeat: Repeat
    streamed: bool = False
    priority: int = 1
    deadline_ms: int = 30_000


@dataclass(frozen=True, kw_only=True)
class VersionShare:
    """The share of a service's unpinned traffic that one version gets.

    Args:
        version: The version; for a model service, a version of its model.
        share_percent: The share; the shares of a service add up to 100. A
            version with share 0 serves only requests that ask for it.
    """

    version: str
    share_percent: float


@dataclass(frozen=True, kw_only=True)
class PlacementWeights:
    """The cost weights of expert placement.

    Args:
        skew_weight: Cost of the busiest rank's excess load over the mean.
        move_weight: Cost of moving one expert.
        skew_limit: Highest ratio of the busiest rank's load to the mean that a
            plan should have.
    """

    skew_weight: float = 1.0
    move_weight: float = 1.0
    skew_limit: float = 1.25


@dataclass(frozen=True, kw_only=True)
class Service:
    """A service that callers can use.

    Args:
        name: The service's name.
        kind: Whether the service is a model or a plain service.
        calls: The calls that the service answers.
        versions: The versions in use and their shares.
        model: The model's name; empty for a plain service.
        placement: The cost weights of expert placement.
    """

    name: str
    kind: Kind
    calls: tuple[Call, ...]
    versions: tuple[VersionShare, ...]
    model: str = ""
    placement: PlacementWeights = PlacementWeights()


@dataclass(frozen=True, kw_only=True)
class ModelVersion:
    """One version of a model's weights, and the adapters made for it.

    Args:
        version: The version's name, unique in its model.
        weights_bytes: Size of one rank's weights.
        adapters: Names of the adapters made for the version.
    """

    version: str
    weights_bytes: int
    adapters: tuple[str, ...] = ()


@dataclass(frozen=True, kw_only=True)
class Model:
    """A model that engines can load.

    Args:
        name: The model's name.
        versions: The versions of its weights.
        experts_count: Experts in a layer; 0 for a dense model.
        layers_count: Layers with experts; 0 for a dense model.
        expert_bytes: Size of one expert's weights in one layer.
    """

    name: str
    versions: tuple[ModelVersion, ...]
    experts_count: int = 0
    layers_count: int = 0
    expert_bytes: int = 0


@dataclass(frozen=True, kw_only=True)
class Group:
    """Ranks that run in lock-step on one expert map.

    Args:
        name: The group's name.
        service: The service that the group serves.
        ranks_count: Number of ranks of the group, over all of its targets.
        spare_places_count: Expert slots on each rank for extra copies of experts.
    """

    name: str
    service: str
    ranks_count: int
    spare_places_count: int = 1


@dataclass(frozen=True, kw_only=True)
class Target:
    """One worker of a service, with the agent beside it.

    Args:
        name: The target's name, which is also the name of its agent.
        service: The service that the target serves.
        data_centre: The data centre of the target.
        version: The version that the target runs.
        agent_address: The agent's link address, as ``tcp://IP:PORT``.
        agent_public_key: The agent's CURVE public key in Z85.
        group: The group that the target's ranks belong to; empty for none.
        ranks: Numbers of the group's ranks that the target runs.
        adapters: Adapters that the target should have loaded.
        checks_orders: Whether the target rejects orders with an outdated fencing
            number.
        slots_count: Requests that the target can run at once.
        state: Whether the target takes new requests.
    """

    name: str
    service: str
    data_centre: str
    version: str
    agent_address: str
    agent_public_key: str
    group: str = ""
    ranks: tuple[int, ...] = ()
    adapters: tuple[str, ...] = ()
    checks_orders: bool = True
    slots_count: int = 8
    state: TargetState = TargetState.SERVING


@dataclass(frozen=True, kw_only=True)
class Customer:
    """A customer whose callers may use services.

    Args:
        name: The customer's name.
        token_sha256: SHA-256 of the customer's bearer token, in hexadecimal.
        services: Names of the services that the customer may use.
        share: Weight of the customer when a busy target is shared.
        priority_floor: The most urgent priority that the customer may use.
        versions: The version for this customer's unpinned calls, by service; for
            trying a version with selected customers.
    """

    name: str
    token_sha256: str
    services: tuple[str, ...]
    share: float = 1.0
    priority_floor: int = 0
    versions: dict[str, str] | None = None


@dataclass(frozen=True, kw_only=True)
class Sheet:
    """The complete published configuration. Higher versions replace lower ones.

    Args:
        version: A whole number that increases with each published sheet.
        issued_by: Who published the sheet, for the audit trail.
        services: Services that callers can use.
        models: Models that engines can load.
        groups: Groups of ranks that run in lock-step.
        targets: Workers that serve the services.
        customers: Customers that may use services.
    """

    version: int
    issued_by: str
    services: tuple[Service, ...] = ()
    models: tuple[Model, ...] = ()
    groups: tuple[Group, ...] = ()
    targets: tuple[Target, ...] = ()
    customers: tuple[Customer, ...] = ()
