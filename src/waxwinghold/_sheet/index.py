"""Lookup tables of one sheet, built once for each sheet."""

import collections
from dataclasses import dataclass
from typing import Mapping

from .model import Customer, Group, Model, Service, Sheet, Target
from .tables import ROW_TYPES, rows_by_name


@dataclass(frozen=True, kw_only=True)
class SheetIndex:
    """The rows of a sheet by name, and its targets by service and by group.

    Attributes:
        unchecked: By table, the rows that the single-row rules must check:
            those that are not part of the earlier valid sheet.
    """

    sheet: Sheet
    services: Mapping[str, Service]
    models: Mapping[str, Model]
    groups: Mapping[str, Group]
    targets: Mapping[str, Target]
    customers: Mapping[str, Customer]
    targets_by_service: Mapping[str, tuple[Target, ...]]
    targets_by_group: Mapping[str, tuple[Target, ...]]
    unchecked: Mapping[str, tuple]


def index_sheet(sheet, *, valid=None):
    """Return the ``SheetIndex`` of ``sheet``.

    Args:
        sheet: The sheet to index.
        valid: An earlier valid sheet, or ``None``. Row objects of ``sheet`` that
            are also in it are left out of ``unchecked``.
    """
    return SheetIndex(
        sheet=sheet,
        services=rows_by_name(sheet, "services"),
        models=rows_by_name(sheet, "models"),
        groups=rows_by_name(sheet, "groups"),
        targets=rows_by_name(sheet, "targets"),
        customers=rows_by_name(sheet, "customers"),
        targets_by_service=_targets_by(sheet, "service"),
        targets_by_group=_targets_by(sheet, "group"),
        unchecked={table: _rows_not_in(valid, sheet, table) for table in ROW_TYPES},
    )


def _targets_by(sheet, column):
    grouped = collections.defaultdict(list)
    for target in sheet.targets:
        grouped[getattr(target, column)].append(target)
    return {name: tuple(targets) for name, targets in grouped.items()}


def _rows_not_in(valid, sheet, table):
    rows = getattr(sheet, table)
    if valid is None:
        return rows
    valid_ids = {id(row) for row in getattr(valid, table)}
    return tuple(row for row in rows if id(row) not in valid_ids)
