"""The gateway's configuration: routes, services, limits, customers and targets."""

import enum
from dataclasses import dataclass, field


class RequestKind(enum.StrEnum):
    """The kind of requests on a route, which decides what may be sent again.

    ``SAFE`` requests may run more than once, ``UNSAFE`` requests must not. A
    ``STREAM`` request is answered with a stream of events; it may run again, at
    another target, only if its route is resumable.
    """

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


class TargetState(enum.StrEnum):
    """Whether a target accepts new requests."""

    READY = "ready"
    LEAVING = "leaving"


@dataclass(frozen=True, kw_only=True)
class ServiceShare:
    """A service's share of a route's requests.

    Args:
        service: Name of the service.
        weight: Size relative to the other shares of the route; 0 or more.
    """

    service: str
    weight: float = 1.0


@dataclass(frozen=True, kw_only=True)
class Route:
    """Selects requests by host name and path, and sets their services and limits.

    Args:
        host: The host name that callers use, in lower case.
        prefix: Start of the path; it begins and ends with a slash.
        shares: The services that handle the route's requests.
        timeout_ms: Longest time in milliseconds to answer a request.
        latency_goal_ms: Time in milliseconds within which an answer, or a stream's
            first event, is on time.
        gap_goal_ms: Longest pause in milliseconds between two events of a stream
            that is on time.
        attempts_limit_count: Number of targets that may run one request.
        priority: 0 is the most urgent.
        anonymous: Whether requests need no customer's key.
        resumable: Whether a stream may be continued by another target.
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
        """Whether a request may be sent again after it may have run."""
        return self.kind is RequestKind.SAFE or self.resumable


@dataclass(frozen=True, kw_only=True)
class Service:
    """A service and the limits of its targets.

    Args:
        connections_limit_count: Connections that one target accepts from all
            gateways together.
        grouped: Whether its targets are ranks of expert groups.
        cold_ms: How long a target is cold after a start, in milliseconds.
        cold_per_second: Requests a second that a cold target takes from all gateways
            together; 0 if cold targets need no care.
        pass_base_ms: Length of a pass of such a group with hardly any request; 0 if it
            is unknown.
    """

    name: str
    connections_limit_count: int
    grouped: bool = False
    cold_ms: float = 0.0
    cold_per_second: float = 0.0
    pass_base_ms: float = 0.0


@dataclass(frozen=True, kw_only=True)
class CallerLimits:
    """Limits on the size and the duration of callers' requests.

    The defaults apply until the first configuration arrives.
    """

    header_bytes: int = 16 * 1024
    body_bytes: int = 4 * 1024 * 1024
    header_timeout_ms: float = 3000.0
    idle_timeout_ms: float = 15_000.0


@dataclass(frozen=True, kw_only=True)
class Customer:
    """A customer and the keys that it may use.

    Args:
        priority: Replaces the route's priority; ``None`` to keep the route's.
    """

    name: str
    keys: tuple[str, ...]
    priority: int | None = None


@dataclass(frozen=True, kw_only=True)
class Configuration:
    """One version of the configuration that operators publish.

    Args:
        customers: ``None`` if callers need no keys. If there are none, no key is valid.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service] = field(default_factory=dict)
    limits: CallerLimits = field(default_factory=CallerLimits)
    customers: tuple[Customer, ...] | None = None


@dataclass(frozen=True, kw_only=True)
class Target:
    """A target as the platform lists it.

    Args:
        name: Identifies one incarnation; never reused for another address.
        address: ``(ip, port)``.
        slots_count: Requests that it can run at once.
        born_ms: Wall time of its start in milliseconds; a change shows a restart
            under the same name.
        cold_left_ms: How much longer it is cold, by its own word, in milliseconds.
        written: Number of the write of its entry; a change shows a new entry.
    """

    name: str
    service: str
    address: tuple[str, int]
    data_centre: str
    slots_count: int
    state: TargetState = TargetState.READY
    born_ms: int = 0
    cold_left_ms: float = 0.0
    written: int = 0
