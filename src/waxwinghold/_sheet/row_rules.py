"""Rules about single rows and unique values: names, numbers, addresses, keys."""

import dataclasses
import functools
import math
import re
import typing

from .._errors import SheetError
from .._settings import Z85_KEY_LENGTH, is_link_address
from .model import Kind
from .rules import duplicates, rule, single_row_rule
from .tables import ROW_TYPES

NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
TOKEN_PATTERN = re.compile(r"[0-9a-f]{64}")
Z85_PATTERN = re.compile(r"[0-9a-zA-Z.\-:+=^!/*?&<>()\[\]{}@%$#]+")
INTEGER_MAX = 2**53  # Larger integers lose digits in programs that read JSON.
PRIORITY_MAX = 9
RANKS_MAX = 4096
SHARES_TOTAL_PERCENT = 100
SHARES_TOLERANCE_PERCENT = 1e-6

# Columns where 0 is valid and means that there is none.
ZERO_ALLOWED = frozenset(
    {"experts_count", "layers_count", "expert_bytes", "spare_places_count"}
)


@rule
def version_is_a_positive_integer(index):
    """Check that the version is positive and exact in every JSON reader."""
    if not 0 < index.sheet.version < INTEGER_MAX:
        reason = f"version must be between 1 and {INTEGER_MAX - 1}"
        yield SheetError(table="(sheet)", row=str(index.sheet.version), reason=reason)


@rule
def names_are_unique(index):
    """Check that each name occurs once in its table."""
    for table in ROW_TYPES:
        names = [row.name for row in getattr(index.sheet, table)]
        for name in duplicates(names):
            yield SheetError(table=table, row=name, reason="the name occurs twice")


@single_row_rule(*ROW_TYPES)
def names_are_plain(row):
    """Check that names are safe in log lines, paths and message fields."""
    if not NAME_PATTERN.fullmatch(row.name):
        yield "the name may only contain letters, digits, '.', '_' and '-'"


@single_row_rule(*ROW_TYPES)
def numbers_are_in_range(row):
    """Check durations, sizes, counts, weights and priorities against bounds."""
    for column, value in _numbers(row):
        reason = _number_problem(column, value)
        if reason:
            yield f'column "{column}": {reason}'


def _numbers(row):
    """Yield name and value of each number in ``row`` and its nested rows."""
    numbers, nested = _number_columns(type(row))
    for column in numbers:
        yield column, getattr(row, column)
    for column in nested:
        value = getattr(row, column)
        for inner in value if isinstance(value, tuple) else (value,):
            yield from _numbers(inner)


@functools.cache
def _number_columns(row_type):
    """Return the names of the number columns and of the nested-row columns."""
    hints = typing.get_type_hints(row_type)
    numbers = [name for name, hint in hints.items() if hint in (int, float)]
    nested = [
        name
        for name, hint in hints.items()
        if any(map(dataclasses.is_dataclass, (hint, *typing.get_args(hint))))
    ]
    return numbers, nested


def _number_problem(column, value):
    if not math.isfinite(value) or abs(value) >= INTEGER_MAX:
        return "the number is too large"
    if column in ("priority", "priority_floor"):
        is_valid = 0 <= value <= PRIORITY_MAX
        return None if is_valid else f"must be between 0 and {PRIORITY_MAX}"
    if column == "ranks_count":
        return None if 0 < value <= RANKS_MAX else f"must be between 1 and {RANKS_MAX}"
    if column == "skew_limit":
        return None if value >= 1 else "must be 1 or more"
    if column in ZERO_ALLOWED or column.endswith(("_weight", "_percent")):
        return None if value >= 0 else "must be 0 or more"
    return None if value > 0 else "must be above 0"


@single_row_rule("services")
def calls_are_valid(service):
    """Check that a service has calls with unique names; only models stream."""
    if not service.calls:
        yield "has no calls"
    for name in duplicates(call.name for call in service.calls):
        yield f'call "{name}" occurs twice'
    for call in service.calls:
        if not NAME_PATTERN.fullmatch(call.name):
            yield (
                f'the name of call "{call.name}" may only contain letters, digits, '
                "'.', '_' and '-'"
            )
        if call.streamed and service.kind is Kind.PLAIN:
            yield f'call "{call.name}" of a plain service cannot be streamed'


@single_row_rule("services")
def shares_add_up(service):
    """Check that the shares of a service's versions add up to 100 percent."""
    for version in duplicates(share.version for share in service.versions):
        yield f'version "{version}" occurs twice'
    total = sum(share.share_percent for share in service.versions)
    if abs(total - SHARES_TOTAL_PERCENT) > SHARES_TOLERANCE_PERCENT:
        yield f"the shares of its versions add up to {total:g} instead of 100"


@single_row_rule("models")
def models_are_valid(model):
    """Check that a model has versions, and layers and a size for its experts."""
    if not model.versions:
        yield "has no versions"
    for version in duplicates(version.version for version in model.versions):
        yield f'version "{version}" occurs twice'
    for version in model.versions:
        for adapter in duplicates(version.adapters):
            yield f'adapter "{adapter}" of version "{version.version}" occurs twice'
    if model.experts_count and not (model.layers_count and model.expert_bytes):
        yield "has experts but layers_count or expert_bytes is 0"


@single_row_rule("targets")
def addresses_and_keys_are_valid(target):
    """Check that each target has a valid link address and CURVE key."""
    if not is_link_address(target.agent_address):
        yield f'agent_address "{target.agent_address}" is not tcp://IP:PORT'
    key = target.agent_public_key
    if len(key) != Z85_KEY_LENGTH or not Z85_PATTERN.fullmatch(key):
        yield f"agent_public_key is not {Z85_KEY_LENGTH} characters of Z85"


@single_row_rule("customers")
def tokens_are_hashed(customer):
    """Check that a customer's token is given as its SHA-256 digest."""
    if not TOKEN_PATTERN.fullmatch(customer.token_sha256):
        yield "token_sha256 is not 64 lower-case hexadecimal digits"


@rule
def addresses_are_not_shared(index):
    """Check that no two targets have the same address."""
    return _shared_values(index.sheet, "targets", "agent_address")


@rule
def tokens_are_not_shared(index):
    """Check that no two customers share a token, which identifies a customer."""
    return _shared_values(index.sheet, "customers", "token_sha256")


def _shared_values(sheet, table, column):
    first_rows = {}
    for row in getattr(sheet, table):
        first = first_rows.setdefault(getattr(row, column), row)
        if first is not row:
            reason = f'{column} is also that of "{first.name}"'
            yield SheetError(table=table, row=row.name, reason=reason)
