"""Rules that involve several rows: references, ranks of groups, versions."""

import collections

from .model import Kind
from .row_rules import RANKS_MAX
from .rules import duplicates, row_rule


@row_rule("services")
def services_refer_to_models(service, index):
    """Check that a model service names an existing model and versions."""
    if service.kind is Kind.PLAIN:
        if service.model:
            yield "is plain and must not name a model"
        return
    model = index.models.get(service.model)
    if model is None:
        yield f'model "{service.model}" does not exist'
        return
    model_versions = {version.version for version in model.versions}
    for share in service.versions:
        if share.version not in model_versions:
            yield f'version "{share.version}" of model "{model.name}" does not exist'


@row_rule("groups")
def groups_refer_to_services(group, index):
    """Check that a group belongs to a service whose model has experts."""
    service = index.services.get(group.service)
    if service is None:
        yield f'service "{group.service}" does not exist'
        return
    model = index.models.get(service.model)
    if model is None or not model.experts_count:
        yield f'service "{service.name}" has no model with experts'


@row_rule("groups")
def ranks_are_covered_once(group, index):
    """Check that each rank of a group belongs to exactly one target."""
    targets = index.targets_by_group.get(group.name, ())
    counts = collections.Counter(rank for target in targets for rank in target.ranks)
    for rank in range(min(group.ranks_count, RANKS_MAX)):
        if counts[rank] != 1:
            yield f"rank {rank} belongs to {counts[rank]} targets instead of 1"


@row_rule("groups")
def groups_run_one_version(group, index):
    """Check that all targets of a group run the same version."""
    targets = index.targets_by_group.get(group.name, ())
    versions = sorted({target.version for target in targets})
    if len(versions) > 1:
        yield f"its targets run different versions: {', '.join(versions)}"


@row_rule("targets")
def targets_refer_to_versions(target, index):
    """Check that a target's service, version and adapters exist."""
    service = index.services.get(target.service)
    if service is None:
        yield f'service "{target.service}" does not exist'
        return
    if target.version not in {share.version for share in service.versions}:
        yield f'version "{target.version}" of service "{service.name}" does not exist'
    version_adapters = _adapters(service, target.version, index)
    for adapter in target.adapters:
        if adapter not in version_adapters:
            yield f'adapter "{adapter}" does not exist for its version'


@row_rule("targets")
def targets_refer_to_groups(target, index):
    """Check that a target's group and ranks exist and belong to its service."""
    if not target.group:
        if target.ranks:
            yield "has ranks but no group"
        return
    group = index.groups.get(target.group)
    if group is None:
        yield f'group "{target.group}" does not exist'
        return
    if group.service != target.service:
        yield f'group "{group.name}" belongs to service "{group.service}"'
    if not target.ranks:
        yield f'is in group "{group.name}" but has no rank'
    for rank in target.ranks:
        if not 0 <= rank < group.ranks_count:
            yield f"rank {rank} is outside its group's {group.ranks_count} ranks"


@row_rule("customers")
def customers_refer_to_services(customer, index):
    """Check that a customer's services exist and its versions have targets."""
    for name in duplicates(customer.services):
        yield f'service "{name}" occurs twice'
    for name in customer.services:
        if name not in index.services:
            yield f'service "{name}" does not exist'
    for name, version in (customer.versions or {}).items():
        if name not in customer.services:
            yield f'has a version for service "{name}", which it may not use'
        targets = index.targets_by_service.get(name, ())
        if version not in {target.version for target in targets}:
            yield f'version "{version}" of service "{name}" has no target'


@row_rule("services")
def versions_have_targets(service, index):
    """Check that a version with traffic has targets, which may be leaving."""
    targets = index.targets_by_service.get(service.name, ())
    target_versions = {target.version for target in targets}
    for share in service.versions:
        if share.share_percent > 0 and share.version not in target_versions:
            yield f'version "{share.version}" has a share but no target'


def _adapters(service, version, index):
    model = index.models.get(service.model)
    if model is None:
        return frozenset()
    rows = [row for row in model.versions if row.version == version]
    return frozenset(rows[0].adapters) if rows else frozenset()
