"""The sheet: what operators publish each morning.

Every table is a tuple of rows, and each row has a name that is unique in its
table.
"""

import enum
from dataclasses import dataclass


class Kind(enum.StrEnum):
    """What stands behind a service."""

    MODEL = "model"
    PLAIN = "plain"


class Repeat(enum.StrEnum):
    """How often a call may run.

    ``IDEMPOTENT`` calls may be retried anywhere, ``ONCE`` calls need an issued
    key and run at most once, ``SINGLE`` calls carry no key and are never sent
    again.
    """

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    SINGLE = "single"


class TargetState(enum.StrEnum):
    """Whether operators want a target to serve."""

    SERVING = "serving"
    LEAVING = "leaving"


@dataclass(frozen=True, kw_only=True)
class Call:
    """One call of a service.

    Args:
        name: The call's name, unique in its service.
        repeat: How often the call may run.
        streamed: Whether the answer is a stream of events; models only.
        priority: 0 is the most urgent, 9 the least.
        deadline_ms: The longest that a caller waits for the whole answer.
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
        version: The version; for a model service one of its model's.
        share_percent: The share; all shares of a service make 100. A version
            with share 0 serves only those who ask for it.
    """

    version: str
    share_percent: float


@dataclass(frozen=True, kw_only=True)
class PlacementWeights:
    """The prices of expert placement.

    Args:
        skew_weight: Price of the busiest rank's excess over the mean.
        move_weight: Price of moving one expert.
        skew_limit: Busiest over mean that a plan should keep within.
    """

    skew_weight: float = 1.0
    move_weight: float = 1.0
    skew_limit: float = 1.25


@dataclass(frozen=True, kw_only=True)
class Service:
    """What callers call.

    Args:
        name: The service's name.
        kind: What stands behind the service.
        calls: The calls that the service answers.
        versions: The versions in use and their shares.
        model: The model's name; empty for a plain service.
        placement: The prices of expert placement.
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
        weights_bytes: Size of the weights of one rank.
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
        ranks_count: Ranks of the group over all of its targets.
        spare_places_count: Places for extra expert copies on each rank.
    """

    name: str
    service: str
    ranks_count: int
    spare_places_count: int = 1


@dataclass(frozen=True, kw_only=True)
class Target:
    """One worker of a service, with the agent beside it.

    Args:
        name: The target's name, which is also its agent's.
        service: The service that it serves.
        data_centre: The data centre that it stands in.
        version: The version that it runs.
        agent_address: The agent's link, as ``tcp://IP:PORT``.
        agent_public_key: The agent's CURVE key, in Z85.
        group: The group whose ranks the target holds; empty for none.
        ranks: Numbers of the group's ranks that this target holds.
        adapters: Adapters that the target should have loaded.
        checks_orders: Whether the target refuses orders with an old number.
        slots_count: Requests that the target may run at once.
        state: Whether operators want the target to serve.
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
    """Who calls.

    Args:
        name: The customer's name.
        token_sha256: The caller's bearer token, hashed, in hexadecimal.
        services: Names of the services that the customer may use.
        share: Weight in the division of a busy target.
        priority_floor: The most urgent priority that the customer may have.
        versions: Versions that this customer's unpinned calls go to, by
            service; for trying a version with chosen customers.
    """

    name: str
    token_sha256: str
    services: tuple[str, ...]
    share: float = 1.0
    priority_floor: int = 0
    versions: dict[str, str] | None = None


@dataclass(frozen=True, kw_only=True)
class Sheet:
    """The whole published configuration. Higher versions replace lower ones.

    Args:
        version: A whole number that grows with each published sheet.
        issued_by: Who published the sheet, for the audit trail.
        services: What callers call.
        models: What engines load.
        groups: Groups of ranks that run in lock-step.
        targets: The workers.
        customers: Who calls.
    """

    version: int
    issued_by: str
    services: tuple[Service, ...] = ()
    models: tuple[Model, ...] = ()
    groups: tuple[Group, ...] = ()
    targets: tuple[Target, ...] = ()
    customers: tuple[Customer, ...] = ()
