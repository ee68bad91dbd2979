"""Decodes values of the platform's store into the project's types.

Other programs may write to the store too. An entry that cannot be decoded is logged
and ignored; it does not affect other entries.
"""

import math
from typing import Annotated, Any

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
from .._gateway.notices import Count
from .._settings import is_ip_port, split_ip_port
from .cold_values import ColdValues

log = logbook.Logger("entries")

MS_PER_SECOND = 1000
SLOTS_LIMIT_COUNT = 1_000_000  # Above it, the sums over all targets lose precision.

# The decoder raises ``RecursionError`` for values that are nested too deeply.
UNREADABLE_ERRORS = (msgspec.MsgspecError, RecursionError)

_KINDS = {
    "safe": RequestKind.SAFE,
    "unsafe": RequestKind.UNSAFE,
    "stream": RequestKind.STREAM,
}
_STATES = {"ready": TargetState.READY, "draining": TargetState.LEAVING}


class _Entry(msgspec.Struct, rename="kebab"):
    """Base of the platform's messages; unknown fields are ignored."""


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


class _Engine(msgspec.Struct):
    sets: int = 0
    step_ms: Any = 0
    stride: Any = 0


class _Service(_Entry):
    name: str
    max_conns: int = 0
    engine: _Engine | None = None
    cold_s: msgspec.Raw = msgspec.Raw()
    cold_per_s: msgspec.Raw = msgspec.Raw()


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
    version: Count
    routes: list[_Route]
    services: list[_Service] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Tenant] | None = None


class _Worker(_Entry):
    service: str
    address: str
    zone: str
    state: str
    slots: Annotated[int, msgspec.Meta(ge=1, le=SLOTS_LIMIT_COUNT)] = 1
    born: Count = 0
    cold_left_ms: msgspec.Raw = msgspec.Raw()


_configuration_decoder = msgspec.json.Decoder(_Configuration)
_worker_decoder = msgspec.json.Decoder(_Worker)
_cold_values = ColdValues()


def read_configuration(data):
    """Return the ``Configuration`` that the operator stored.

    Args:
        data: The item's value, as bytes.

    Returns:
        The configuration, or ``None`` if the value cannot be decoded.
    """
    try:
        document = _configuration_decoder.decode(data)
        customers = None
        if document.tenants is not None:
            customers = tuple(_customer(tenant) for tenant in document.tenants)
        return Configuration(
            version=document.version,
            routes=tuple(_route(route) for route in document.routes),
            services={service.name: _service(service) for service in document.services},
            limits=_limits(document.limits),
            customers=customers,
        )
    except (*UNREADABLE_ERRORS, KeyError, UnicodeDecodeError) as error:
        log.error("unreadable configuration ignored", extra={"reason": repr(error)})
        return None


def read_target(name, data, *, written=0):
    """Return the ``Target`` of a worker's entry.

    Args:
        name: The worker's id, from the item's key.
        data: The item's value, as bytes.
        written: The item's revision.

    Returns:
        The target, or ``None`` if the value cannot be decoded.
    """
    try:
        worker = _worker_decoder.decode(data)
        # Names are sent in headers, and datagrams to the hosts: a null would end the
        # socket, and a scope means nothing on this machine.
        if not name.isprintable() or " " in name or not name:
            raise ValueError(f"invalid name {name!r}")
        if "%" in worker.address or not is_ip_port(worker.address):
            raise ValueError(f"invalid address {worker.address!r}")
        return Target(
            name=name,
            service=worker.service,
            address=split_ip_port(worker.address),
            data_centre=worker.zone,
            slots_count=worker.slots,
            state=_STATES[worker.state],
            born_ms=worker.born,
            cold_left_ms=_cold_values.read(
                worker.cold_left_ms, field="cold-left-ms", owner=name
            ),
            written=written,
        )
    except (*UNREADABLE_ERRORS, KeyError, ValueError) as error:
        log.warn(
            "unreadable entry ignored", extra={"target": name, "reason": repr(error)}
        )
        return None


def _route(route):
    shares = tuple(
        ServiceShare(service=share.service, weight=share.weight)
        for share in route.split
    )
    return Route(
        name=route.name,
        host=route.host.lower(),
        prefix=route.prefix,
        kind=_KINDS[route.route_kind],
        shares=shares or (ServiceShare(service=route.service),),
        timeout_ms=route.timeout_ms,
        latency_goal_ms=route.goal_ms or route.timeout_ms,
        gap_goal_ms=route.gap_goal_ms,
        attempts_limit_count=max(1, route.max_attempts),
        priority=route.priority,
        anonymous=route.anonymous,
        resumable=route.resumable,
    )


def _service(service):
    cold_s = _cold_values.read(service.cold_s, field="cold-s", owner=service.name)
    cold_per_second = _cold_values.read(
        service.cold_per_s, field="cold-per-s", owner=service.name
    )
    return Service(
        name=service.name,
        connections_limit_count=service.max_conns,
        grouped=service.engine is not None and service.engine.sets > 0,
        cold_ms=cold_s * MS_PER_SECOND,
        cold_per_second=cold_per_second,
        pass_base_ms=_pass_base_ms(service),
    )


def _pass_base_ms(service):
    if service.engine is None:
        return 0.0
    values = (service.engine.step_ms, service.engine.stride)
    if all(type(value) in (int, float) and 0 <= value <= 1e6 for value in values):
        return float(math.prod(values))
    log.warn(
        "implausible step_ms or stride ignored",
        extra={
            "service": service.name,
            "step_ms": service.engine.step_ms,
            "stride": service.engine.stride,
        },
    )
    return 0.0


def _limits(limits):
    return CallerLimits(
        header_bytes=limits.max_header_bytes,
        body_bytes=limits.max_body_bytes,
        header_timeout_ms=limits.header_timeout_ms,
        idle_timeout_ms=limits.idle_timeout_ms,
    )


def _customer(tenant):
    return Customer(
        name=tenant.name, keys=tuple(tenant.api_keys), priority=tenant.priority
    )
