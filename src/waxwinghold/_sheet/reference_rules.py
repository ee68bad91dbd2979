"""Rules between rows: references, ranks of groups, targets of versions."""

import collections

from .model import Kind
from .row_rules import RANKS_MAX
from .rules import duplicates, row_rule


@row_rule("services")
def services_refer_to_models(service, index):
    """A model service names a model and versions that exist."""
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


@row_rule("groups")
def groups_refer_to_services(group, index):
    """A group belongs to a service whose model has experts."""
    service = index.services.get(group.service)
    if service is None:
        yield f'service "{group.service}" does not exist'
        return
    model = index.models.get(service.model)
    if model is None or not model.experts_count:
        yield f'service "{service.name}" has no model with experts'


@row_rule("groups")
def ranks_are_covered_once(group, index):
    """Each rank of a group is held by exactly one target."""
    targets = index.targets_by_group.get(group.name, ())
    counts = collections.Counter(rank for target in targets for rank in target.ranks)
    for rank in range(min(group.ranks_count, RANKS_MAX)):
        if counts[rank] != 1:
            yield f"rank {rank} is held by {counts[rank]} targets, not by 1"


@row_rule("groups")
def groups_run_one_version(group, index):
    """All targets of a group hold the same version."""
    targets = index.targets_by_group.get(group.name, ())
    versions = sorted({target.version for target in targets})
    if len(versions) > 1:
        yield f"its targets hold different versions: {', '.join(versions)}"


@row_rule("targets")
def targets_refer_to_versions(target, index):
    """A target's service, version and adapters exist."""
    service = index.services.get(target.service)
    if service is None:
        yield f'service "{target.service}" does not exist'
        return
    if target.version not in {share.version for share in service.versions}:
        yield f'version "{target.version}" of service "{service.name}" does not exist'
    known = _adapters(service, target.version, index)
    for adapter in target.adapters:
        if adapter not in known:
            yield f'adapter "{adapter}" does not exist for its version'


@row_rule("targets")
def targets_refer_to_groups(target, index):
    """A target's group and ranks exist, and belong to its service."""
    if not target.group:
        if target.ranks:
            yield "holds ranks but names no group"
        return
    group = index.groups.get(target.group)
    if group is None:
        yield f'group "{target.group}" does not exist'
        return
    if group.service != target.service:
        yield f'group "{group.name}" belongs to service "{group.service}"'
    if not target.ranks:
        yield f'is in group "{group.name}" but holds no rank'
    for rank in target.ranks:
        if not 0 <= rank < group.ranks_count:
            yield f"rank {rank} is outside its group's {group.ranks_count} ranks"


@row_rule("customers")
def customers_refer_to_rows(customer, index):
    """A customer's services and chosen versions exist and have targets."""
    for name in duplicates(customer.services):
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


@row_rule("services")
def versions_have_targets(service, index):
    """A version that gets traffic has targets, leaving ones included."""
    targets = index.targets_by_service.get(service.name, ())
    held = {target.version for target in targets}
    for share in service.versions:
        if share.share_percent > 0 and share.version not in held:
            yield f'version "{share.version}" has a share but no target'


def _adapters(service, version, index):
    model = index.models.get(service.model)
    if model is None:
        return frozenset()
    rows = [row for row in model.versions if row.version == version]
    return frozenset(rows[0].adapters) if rows else frozenset()
