"""Rules between rows: references, ranks of groups, targets of versions."""

import collections

from .._errors import SheetError
from .model import Kind
from .row_rules import RANKS_MAX
from .rules import repeated, rule


@rule
def services_refer_to_models(index):
    """A model service names a model and versions that exist."""
    for service in index.sheet.services:
        for reason in _service_problems(service, index):
            yield SheetError(table="services", row=service.name, reason=reason)


def _service_problems(service, index):
    if service.kind is Kind.PLAIN:
        if service.model:
            yield "is plain and must not name a model"
        return
    model = index.models.get(service.model)
    if model is None:
        yield f'model "{service.model}" does not exist'
        return
    known = {version.version for version in model.versions}
    for share in service.versions:
        if share.version not in known:
            yield f'version "{share.version}" of model "{model.name}" does not exist'


@rule
def groups_refer_to_services(index):
    """A group belongs to a service whose model has experts."""
    for group in index.sheet.groups:
        service = index.services.get(group.service)
        if service is None:
            reason = f'service "{group.service}" does not exist'
            yield SheetError(table="groups", row=group.name, reason=reason)
            continue
        model = index.models.get(service.model)
        if model is None or not model.experts_count:
            reason = f'service "{service.name}" has no model with experts'
            yield SheetError(table="groups", row=group.name, reason=reason)


@rule
def ranks_are_covered_once(index):
    """Each rank of a group is held by exactly one target."""
    for group in index.sheet.groups:
        targets = index.targets_by_group.get(group.name, ())
        counts = collections.Counter(rank for row in targets for rank in row.ranks)
        for rank in range(min(group.ranks_count, RANKS_MAX)):
            if counts[rank] != 1:
                reason = f"rank {rank} is held by {counts[rank]} targets, not by 1"
                yield SheetError(table="groups", row=group.name, reason=reason)


@rule
def groups_run_one_version(index):
    """All targets of a group hold the same version."""
    for group in index.sheet.groups:
        targets = index.targets_by_group.get(group.name, ())
        versions = sorted({target.version for target in targets})
        if len(versions) > 1:
            reason = f"its targets hold different versions: {', '.join(versions)}"
            yield SheetError(table="groups", row=group.name, reason=reason)


@rule
def targets_refer_to_rows(index):
    """A target's service, version, group, ranks and adapters exist."""
    for target in index.sheet.targets:
        service = index.services.get(target.service)
        if service is None:
            reason = f'service "{target.service}" does not exist'
            yield SheetError(table="targets", row=target.name, reason=reason)
            continue
        for reason in _target_problems(target, service, index):
            yield SheetError(table="targets", row=target.name, reason=reason)


def _target_problems(target, service, index):
    if target.version not in {share.version for share in service.versions}:
        yield f'version "{target.version}" of service "{service.name}" does not exist'
    known = _adapters(service, target.version, index)
    for adapter in target.adapters:
        if adapter not in known:
            yield f'adapter "{adapter}" does not exist for its version'
    if not target.group:
        if target.ranks:
            yield "holds ranks but names no group"
        return
    group = index.groups.get(target.group)
    if group is None:
        yield f'group "{target.group}" does not exist'
        return
    yield from _rank_problems(target, group)


def _rank_problems(target, group):
    if group.service != target.service:
        yield f'group "{group.name}" belongs to service "{group.service}"'
    if not target.ranks:
        yield f'is in group "{group.name}" but holds no rank'
    for rank in target.ranks:
        if not 0 <= rank < group.ranks_count:
            yield f"rank {rank} is outside its group's {group.ranks_count} ranks"


def _adapters(service, version, index):
    model = index.models.get(service.model)
    if model is None:
        return frozenset()
    rows = [row for row in model.versions if row.version == version]
    return frozenset(rows[0].adapters) if rows else frozenset()


@rule
def versions_have_targets(index):
    """A version that gets traffic has targets, leaving ones included."""
    for service in index.sheet.services:
        targets = index.targets_by_service.get(service.name, ())
        held = {target.version for target in targets}
        for share in service.versions:
            if share.share_percent > 0 and share.version not in held:
                reason = f'version "{share.version}" has a share but no target'
                yield SheetError(table="services", row=service.name, reason=reason)


@rule
def customers_refer_to_rows(index):
    """A customer's services and chosen versions exist and have targets."""
    for customer in index.sheet.customers:
        for reason in _customer_problems(customer, index):
            yield SheetError(table="customers", row=customer.name, reason=reason)


def _customer_problems(customer, index):
    for name in repeated(customer.services):
        yield f'service "{name}" occurs twice'
    for name in customer.services:
        if name not in index.services:
            yield f'service "{name}" does not exist'
    for name, version in (customer.versions or {}).items():
        if name not in customer.services:
            yield f'chooses a version of service "{name}", which it may not use'
        targets = index.targets_by_service.get(name, ())
        if version not in {target.version for target in targets}:
            yield f'version "{version}" of service "{name}" has no target'
