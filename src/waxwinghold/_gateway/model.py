"""What the gateway is told: routes, services, limits, customers and targets."""

import enum
from dataclasses import dataclass, field


class RequestKind(enum.StrEnum):
    """What a route carries, and so what may be repeated."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


class TargetState(enum.StrEnum):
    """Whether a target takes new requests."""

    READY = "ready"
    LEAVING = "leaving"


@dataclass(frozen=True, kw_only=True)
class ServiceShare:
    """A service's part of a route's requests.

    Args:
        weight: Relative to the other shares of the route; 0 or more.
    """

    service: str
    weight: float = 1.0


@dataclass(frozen=True, kw_only=True)
class Route:
    """Says which requests go where, and under which bounds.

    Args:
        host: The host name that callers use, in lower case.
        prefix: Begins the path; begins and ends with a slash.
        shares: The services that take the route's requests.
        timeout_ms: Longest time that a request may be kept.
        latency_goal_ms: Time to the answer, or to a stream's first event, that is
            on time.
        gap_goal_ms: Longest pause between a stream's events that is on time.
        attempts_limit_count: Targets that one request may be sent to.
        priority: 0 is the most urgent.
        anonymous: Whether requests need no customer's key.
        resumable: Whether a stream may go on at another target.
    """

    name: str
    host: str
    prefix: str
    kind: RequestKind
    shares: tuple[ServiceShare, ...]
    timeout_ms: float
    latency_goal_ms: float
    gap_goal_ms: float = 0.0
    attempts_limit_count: int = 1
    priority: int = 0
    anonymous: bool = False
    resumable: bool = False

    @property
    def repeatable(self):
        """Whether a request may be sent again once it may have run."""
        return self.kind is RequestKind.SAFE or self.resumable


@dataclass(frozen=True, kw_only=True)
class Service:
    """A service and what its targets bear.

    Args:
        connections_limit_count: Connections that one target accepts from all
            gateways together.
        grouped: Whether its targets are ranks of expert groups.
    """

    name: str
    connections_limit_count: int
    grouped: bool = False


@dataclass(frozen=True, kw_only=True)
class CallerLimits:
    """Bounds on what a caller may send and how long it may take.

    The defaults hold until the first configuration.
    """

    header_bytes: int = 16 * 1024
    body_bytes: int = 4 * 1024 * 1024
    header_timeout_ms: float = 3000.0
    idle_timeout_ms: float = 15_000.0


@dataclass(frozen=True, kw_only=True)
class Customer:
    """A customer and the keys that it may use.

    Args:
        priority: Goes before the priority of the route; ``None`` for the route's.
    """

    name: str
    keys: tuple[str, ...]
    priority: int | None = None


@dataclass(frozen=True, kw_only=True)
class Configuration:
    """One version of all that operators publish."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service] = field(default_factory=dict)
    limits: CallerLimits = field(default_factory=CallerLimits)
    customers: tuple[Customer, ...] = ()


@dataclass(frozen=True, kw_only=True)
class Target:
    """A target as the platform lists it.

    Args:
        name: Identifies one incarnation; never used again for another address.
        address: ``(ip, port)``.
        slots_count: Requests that it runs at once.
        born_ms: Wall time of its start; tells a restart under the same name.
    """

    name: str
    service: str
    address: tuple[str, int]
    data_centre: str
    slots_count: int
    state: TargetState = TargetState.READY
    born_ms: int = 0
