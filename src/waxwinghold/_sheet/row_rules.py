"""Rules on single rows: names, numbers, addresses and keys."""

import dataclasses
import math
import re

from .._errors import SheetError
from .._settings import Z85_KEY_LENGTH, is_link_address
from .model import Kind
from .rules import repeated, rule
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
        for name in repeated(names):
            yield SheetError(table=table, row=name, reason="the name occurs twice")


@rule
def names_are_plain(index):
    """Names fit into log lines, paths and message fields."""
    for table in ROW_TYPES:
        for row in getattr(index.sheet, table):
            if not NAME_PATTERN.fullmatch(row.name):
                reason = "the name must be letters, digits, '.', '_' and '-'"
                yield SheetError(table=table, row=row.name, reason=reason)


@rule
def numbers_are_in_range(index):
    """Durations, sizes and counts are above 0 and priorities within bounds."""
    for table in ROW_TYPES:
        for row in getattr(index.sheet, table):
            for column, value in _numbers(row):
                reason = _number_problem(column, value)
                if reason:
                    reason = f'column "{column}": {reason}'
                    yield SheetError(table=table, row=row.name, reason=reason)


def _numbers(row):
    """Yield the columns of ``row`` and its nested rows that hold numbers."""
    for field in dataclasses.fields(row):
        value = getattr(row, field.name)
        if isinstance(value, (int, float)) and not isinstance(value, bool):
            yield field.name, value
        elif dataclasses.is_dataclass(value):
            yield from _numbers(value)
        elif isinstance(value, tuple) and value and dataclasses.is_dataclass(value[0]):
            for inner in value:
                yield from _numbers(inner)


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


@rule
def calls_are_sound(index):
    """A service has calls, each named once; only models stream."""
    for service in index.sheet.services:
        for reason in _call_problems(service):
            yield SheetError(table="services", row=service.name, reason=reason)


def _call_problems(service):
    if not service.calls:
        yield "has no calls"
    for name in repeated(call.name for call in service.calls):
        yield f'call "{name}" occurs twice'
    for call in service.calls:
        if not NAME_PATTERN.fullmatch(call.name):
            yield f'call "{call.name}" is no plain name'
        if call.streamed and service.kind is Kind.PLAIN:
            yield f'call "{call.name}" of a plain service cannot be streamed'


@rule
def shares_add_up(index):
    """The shares of a service's versions make 100 percent."""
    for service in index.sheet.services:
        for version in repeated(share.version for share in service.versions):
            reason = f'version "{version}" occurs twice'
            yield SheetError(table="services", row=service.name, reason=reason)
        total = sum(share.share_percent for share in service.versions)
        if abs(total - SHARES_TOTAL_PERCENT) > SHARES_TOLERANCE_PERCENT:
            reason = f"the shares of its versions add up to {total:g}, not to 100"
            yield SheetError(table="services", row=service.name, reason=reason)


@rule
def models_are_sound(index):
    """A model has versions, and experts come with layers and a size."""
    for model in index.sheet.models:
        for reason in _model_problems(model):
            yield SheetError(table="models", row=model.name, reason=reason)


def _model_problems(model):
    if not model.versions:
        yield "has no versions"
    for version in repeated(version.version for version in model.versions):
        yield f'version "{version}" occurs twice'
    for version in model.versions:
        for adapter in repeated(version.adapters):
            yield f'adapter "{adapter}" of version "{version.version}" occurs twice'
    if model.experts_count and not (model.layers_count and model.expert_bytes):
        yield "has experts but no layers_count or no expert_bytes"


@rule
def addresses_and_keys_are_valid(index):
    """Each target has a link address of its own and a CURVE key."""
    for target in index.sheet.targets:
        if not is_link_address(target.agent_address):
            reason = f'agent_address "{target.agent_address}" is not tcp://IP:PORT'
            yield SheetError(table="targets", row=target.name, reason=reason)
        if not _is_z85_key(target.agent_public_key):
            reason = f"agent_public_key is not {Z85_KEY_LENGTH} characters of Z85"
            yield SheetError(table="targets", row=target.name, reason=reason)
    for address in repeated(target.agent_address for target in index.sheet.targets):
        rows = [row for row in index.sheet.targets if row.agent_address == address]
        reason = f'agent_address "{address}" is that of "{rows[0].name}" too'
        yield SheetError(table="targets", row=rows[-1].name, reason=reason)


def _is_z85_key(text):
    return len(text) == Z85_KEY_LENGTH and Z85_PATTERN.fullmatch(text) is not None


@rule
def tokens_tell_customers_apart(index):
    """Each customer's token is a SHA-256 that no other customer has."""
    for customer in index.sheet.customers:
        if not TOKEN_PATTERN.fullmatch(customer.token_sha256):
            reason = "token_sha256 is not 64 lower-case hexadecimal digits"
            yield SheetError(table="customers", row=customer.name, reason=reason)
    for token in repeated(row.token_sha256 for row in index.sheet.customers):
        rows = [row for row in index.sheet.customers if row.token_sha256 == token]
        reason = f'token_sha256 is that of "{rows[0].name}" too'
        yield SheetError(table="customers", row=rows[-1].name, reason=reason)
