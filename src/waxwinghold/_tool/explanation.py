"""Explanation of which targets a sheet allows for a call and which it excludes."""

from dataclasses import dataclass

from .._errors import (
    ServiceNotAllowedError,
    UnknownCallError,
    UnknownCustomerError,
    UnknownServiceError,
    UnknownVersionError,
)
from .._sheet.index import index_sheet
from .._sheet.model import Repeat, TargetState

REPEATS = {
    Repeat.IDEMPOTENT: "idempotent: retried on another target after a failure",
    Repeat.ONCE: "needs an issued key; only the target that owns the key runs it",
    Repeat.SINGLE: "sent once, never retried",
}


@dataclass(frozen=True, kw_only=True)
class VersionOption:
    """The share of the call's traffic that a version gets, and the reason."""

    version: str
    share_percent: float
    reason: str


@dataclass(frozen=True, kw_only=True)
class TargetOption:
    """Whether a target can get the call, and the reason."""

    target: str
    data_centre: str
    possible: bool
    reason: str


@dataclass(frozen=True, kw_only=True)
class Explanation:
    """The versions and targets that are possible for one call of one customer.

    Args:
        refusal: Why the call is rejected; empty if it is not.
        priority: The call's priority for this customer.
        deadline_ms: Longest time that the caller waits for the whole answer.
        repeat: Whether the call is retried after a failure.
        versions: The versions that the call can use.
        targets: Every target of the sheet, possible or not.
    """

    refusal: str = ""
    priority: int = 0
    deadline_ms: int = 0
    repeat: str = ""
    versions: tuple[VersionOption, ...] = ()
    targets: tuple[TargetOption, ...] = ()

    @property
    def possible(self):
        """Whether at least one target can get the call."""
        return any(target.possible for target in self.targets)


def explain(sheet, *, service, call, customer, version=""):
    """Return the ``Explanation`` of a call, from the sheet alone.

    Health and load are not considered: they are known only to running processes.

    Args:
        sheet: The sheet.
        service: The service's name.
        call: The call's name.
        customer: The customer's name.
        version: The version that the caller asks for; empty if it asks for none.
    """
    index = index_sheet(sheet)
    try:
        customer_row = _customer(index, customer, service)
        service_row = index.services[service]
        call_row = _call(service_row, call)
        versions = _versions(service_row, customer_row, version)
    except (
        ServiceNotAllowedError,
        UnknownCallError,
        UnknownCustomerError,
        UnknownServiceError,
        UnknownVersionError,
    ) as error:
        return Explanation(refusal=f"{error.code}: {error}")
    return Explanation(
        priority=max(call_row.priority, customer_row.priority_floor),
        deadline_ms=call_row.deadline_ms,
        repeat=REPEATS[call_row.repeat],
        versions=versions,
        targets=tuple(
            _target(target, service, versions)
            for target in sorted(sheet.targets, key=lambda target: target.name)
        ),
    )


def _customer(index, customer, service):
    row = index.customers.get(customer)
    if row is None:
        raise UnknownCustomerError()
    if service not in index.services:
        raise UnknownServiceError(service=service)
    if service not in row.services:
        raise ServiceNotAllowedError(customer=customer, service=service)
    return row


def _call(service, name):
    for call in service.calls:
        if call.name == name:
            return call
    raise UnknownCallError(call=name, service=service.name)


def _versions(service, customer, requested):
    service_versions = {share.version for share in service.versions}
    customer_version = (customer.versions or {}).get(service.name, "")
    for version, reason in (
        (requested, "the caller asks for it"),
        (customer_version, "the sheet sets it for the customer"),
    ):
        if not version:
            continue
        if version not in service_versions:
            raise UnknownVersionError(version=version, service=service.name)
        return (VersionOption(version=version, share_percent=100, reason=reason),)
    return tuple(
        VersionOption(
            version=share.version,
            share_percent=share.share_percent,
            reason="its share of the service",
        )
        for share in service.versions
    )


def _target(target, service, versions):
    reason = _exclusion_reason(target, service, versions)
    return TargetOption(
        target=target.name,
        data_centre=target.data_centre,
        possible=not reason,
        reason=reason or f'serves version "{target.version}"',
    )


def _exclusion_reason(target, service, versions):
    if target.service != service:
        return f'serves service "{target.service}"'
    shares = {option.version: option.share_percent for option in versions}
    if target.version not in shares:
        return f'runs version "{target.version}"'
    if not shares[target.version]:
        return f'runs version "{target.version}", which has share 0'
    if target.state is TargetState.LEAVING:
        return "is leaving"
    return ""
