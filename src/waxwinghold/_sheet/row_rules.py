"""Rules on single rows: names, numbers, addresses and keys."""

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

# Columns in which 0 means that there is none.
ZERO_ALLOWED = frozenset(
    {"experts_count", "layers_count", "expert_bytes", "spare_places_count"}
)


@rule
def version_is_a_positive_integer(index):
    """The sheet's version is comparable in every program."""
    if not 0 < index.sheet.version < INTEGER_MAX:
        reason = f"version must lie between 1 and {INTEGER_MAX - 1}"
        yield SheetError(table="(sheet)", row=str(index.sheet.version), reason=reason)


@rule
def names_are_unique(index):
    """Each row's name occurs once in its table."""
    for table in ROW_TYPES:
        names = [row.name for row in getattr(index.sheet, table)]
        for name in duplicates(names):
            yield SheetError(table=table, row=name, reason="the name occurs twice")


@single_row_rule(*ROW_TYPES)
def names_are_plain(row):
    """Names fit into log lines, paths and message fields."""
    if not NAME_PATTERN.fullmatch(row.name):
        yield "the name must be letters, digits, '.', '_' and '-'"


@single_row_rule(*ROW_TYPES)
def numbers_are_in_range(row):
    """Durations, sizes and counts are above 0 and priorities within bounds."""
    for column, value in _numbers(row):
        reason = _number_problem(column, value)
        if reason:
            yield f'column "{column}": {reason}'


def _numbers(row):
    """Yield the columns of ``row`` and its nested rows that hold numbers."""
    numbers, nested = _number_columns(type(row))
    for column in numbers:
        yield column, getattr(row, column)
    for column in nested:
        value = getattr(row, column)
        for inner in value if isinstance(value, tuple) else (value,):
            yield from _numbers(inner)


@functools.cache
def _number_columns(row_type):
    """Return the columns of numbers, and those of nested rows."""
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
        good = 0 <= value <= PRIORITY_MAX
        return None if good else f"must lie between 0 and {PRIORITY_MAX}"
    if column == "ranks_count":
        return None if 0 < value <= RANKS_MAX else f"must lie between 1 and {RANKS_MAX}"
    if column == "skew_limit":
        return None if value >= 1 else "must be 1 or more"
    if column in ZERO_ALLOWED or column.endswith(("_weight", "_percent")):
        return None if value >= 0 else "must be 0 or more"
    return None if value > 0 else "must be above 0"


@single_row_rule("services")
def calls_are_sound(service):
    """A service has calls, each named once; only models stream."""
    if not service.calls:
        yield "has no calls"
    for name in duplicates(call.name for call in service.calls):
        yield f'call "{name}" occurs twice'
    for call in service.calls:
        if not NAME_PATTERN.fullmatch(call.name):
            yield f'call "{call.name}" is no plain name'
        if call.streamed and service.kind is Kind.PLAIN:
            yield f'call "{call.name}" of a plain service cannot be streamed'


@single_row_rule("services")
def shares_add_up(service):
    """The shares of a service's versions make 100 percent."""
    for version in duplicates(share.version for share in service.versions):
        yield f'version "{version}" occurs twice'
    total = sum(share.share_percent for share in service.versions)
    if abs(total - SHARES_TOTAL_PERCENT) > SHARES_TOLERANCE_PERCENT:
        yield f"the shares of its versions add up to {total:g}, not to 100"


@single_row_rule("models")
def models_are_sound(model):
    """A model has versions, and experts come with layers and a size."""
    if not model.versions:
        yield "has no versions"
    for version in duplicates(version.version for version in model.versions):
        yield f'version "{version}" occurs twice'
    for version in model.versions:
        for adapter in duplicates(version.adapters):
            yield f'adapter "{adapter}" of version "{version.version}" occurs twice'
    if model.experts_count and not (model.layers_count and model.expert_bytes):
        yield "has experts but no layers_count or no expert_bytes"


@single_row_rule("targets")
def addresses_and_keys_are_valid(target):
    """Each target has a link address and a CURVE key."""
    if not is_link_address(target.agent_address):
        yield f'agent_address "{target.agent_address}" is not tcp://IP:PORT'
    key = target.agent_public_key
    if len(key) != Z85_KEY_LENGTH or not Z85_PATTERN.fullmatch(key):
        yield f"agent_public_key is not {Z85_KEY_LENGTH} characters of Z85"


@single_row_rule("customers")
def tokens_are_hashed(customer):
    """A customer's token is given as its SHA-256 only."""
    if not TOKEN_PATTERN.fullmatch(customer.token_sha256):
        yield "token_sha256 is not 64 lower-case hexadecimal digits"


@rule
def addresses_are_not_shared(index):
    """No two targets have one address."""
    return _shared_values(index.sheet, "targets", "agent_address")


@rule
def tokens_are_not_shared(index):
    """No two customers have one token, which is what tells them apart."""
    return _shared_values(index.sheet, "customers", "token_sha256")


def _shared_values(sheet, table, column):
    first_rows = {}
    for row in getattr(sheet, table):
        first = first_rows.setdefault(getattr(row, column), row)
        if first is not row:
            reason = f'{column} is that of "{first.name}" too'
            yield SheetError(table=table, row=row.name, reason=reason)
