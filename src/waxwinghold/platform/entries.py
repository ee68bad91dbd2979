"""Decodes what lies in the platform's store into the product's types.

An entry may come from another writer: whatever cannot be read names nothing to
use, is logged, and harms no other entry.
"""

import logbook
import msgspec

from .._gateway.model import (
    CallerLimits,
    Configuration,
    Customer,
    RequestKind,
    Route,
    Service,
    ServiceShare,
    Target,
    TargetState,
)
from .._settings import split_ip_port

log = logbook.Logger("entries")

_KINDS = {
    "safe": RequestKind.SAFE,
    "unsafe": RequestKind.UNSAFE,
    "stream": RequestKind.STREAM,
}
_STATES = {"ready": TargetState.READY, "draining": TargetState.LEAVING}


class _Entry(msgspec.Struct, rename="kebab"):
    """Base of the messages; fields that are not named here are passed over."""


class _Share(_Entry):
    service: str
    weight: float = 1.0


class _Route(_Entry):
    name: str
    host: str
    prefix: str
    route_kind: str
    timeout_ms: float
    goal_ms: float = 0.0
    gap_goal_ms: float = 0.0
    max_attempts: int = 1
    priority: int = 0
    anonymous: bool = False
    resumable: bool = False
    service: str = ""
    split: list[_Share] = []


class _Engine(_Entry):
    sets: int = 0


class _Service(_Entry):
    name: str
    max_conns: int = 0
    engine: _Engine | None = None


class _Limits(_Entry):
    max_header_bytes: int = CallerLimits.header_bytes
    max_body_bytes: int = CallerLimits.body_bytes
    header_timeout_ms: float = CallerLimits.header_timeout_ms
    idle_timeout_ms: float = CallerLimits.idle_timeout_ms


class _Tenant(_Entry):
    name: str
    api_keys: list[str] = []
    priority: int | None = None


class _Configuration(_Entry):
    version: int
    routes: list[_Route]
    services: list[_Service] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Tenant] = []


class _Worker(_Entry):
    service: str
    address: str
    zone: str
    state: str
    slots: int = 1
    born: int = 0


_configuration_decoder = msgspec.json.Decoder(_Configuration)
_worker_decoder = msgspec.json.Decoder(_Worker)


def read_configuration(data):
    """Return a ``Configuration`` from the operator's item.

    Args:
        data: The item's value.

    Returns:
        The configuration, or ``None`` if the value cannot be read.
    """
    try:
        found = _configuration_decoder.decode(data)
        return Configuration(
            version=found.version,
            routes=tuple(_route(route) for route in found.routes),
            services={one.name: _service(one) for one in found.services},
            limits=_limits(found.limits),
            customers=tuple(_customer(one) for one in found.tenants),
        )
    except (msgspec.MsgspecError, KeyError, UnicodeDecodeError) as error:
        log.error("unreadable configuration set aside", extra={"reason": repr(error)})
        return None


def read_target(name, data):
    """Return a ``Target`` from a worker's entry, or ``None`` if it names none.

    Args:
        name: The worker's id, from the item's key.
        data: The item's value.
    """
    try:
        found = _worker_decoder.decode(data)
        address = split_ip_port(found.address)
        if found.slots <= 0 or not address[0]:
            raise ValueError(f'slots "{found.slots}" at "{found.address}"')
        return Target(
            name=name,
            service=found.service,
            address=address,
            data_centre=found.zone,
            slots_count=found.slots,
            state=_STATES[found.state],
            born_ms=found.born,
        )
    except (msgspec.MsgspecError, KeyError, ValueError) as error:
        log.warn("entry set aside", extra={"target": name, "reason": repr(error)})
        return None


def _route(found):
    shares = tuple(
        ServiceShare(service=share.service, weight=share.weight)
        for share in found.split
    )
    return Route(
        name=found.name,
        host=found.host.lower(),
        prefix=found.prefix,
        kind=_KINDS[found.route_kind],
        shares=shares or (ServiceShare(service=found.service),),
        timeout_ms=found.timeout_ms,
        latency_goal_ms=found.goal_ms or found.timeout_ms,
        gap_goal_ms=found.gap_goal_ms,
        attempts_limit_count=max(1, found.max_attempts),
        priority=found.priority,
        anonymous=found.anonymous,
        resumable=found.resumable,
    )


def _service(found):
    return Service(
        name=found.name,
        connections_limit_count=found.max_conns,
        grouped=found.engine is not None and found.engine.sets > 0,
    )


def _limits(found):
    return CallerLimits(
        header_bytes=found.max_header_bytes,
        body_bytes=found.max_body_bytes,
        header_timeout_ms=found.header_timeout_ms,
        idle_timeout_ms=found.idle_timeout_ms,
    )


def _customer(found):
    return Customer(
        name=found.name, keys=tuple(found.api_keys), priority=found.priority
    )
