"""Strict conversion of decoded JSON into frozen data classes."""

import dataclasses
import functools
import types
import typing

import msgspec

from ._errors import WaxwingError


class ConversionError(WaxwingError):
    """A value that does not match its data class.

    Attributes:
        path: The path to the value, such as ``targets[3].ranks``.
        expected: What was expected at the path.
    """

    code = "conversion"

    def __init__(self, *, path, expected):
        super().__init__(f'key "{path}": expected {expected}')
        self.path = path
        self.expected = expected


def convert(value, kind):
    """Convert decoded JSON to the data class ``kind``.

    Unlike ``msgspec.convert``, this rejects unknown keys at every level.

    Args:
        value: The decoded JSON.
        kind: The data class.

    Raises:
        ConversionError: A key is unknown or missing, or a value has the wrong type.
    """
    _check_keys(value, kind, path="")
    try:
        return msgspec.convert(value, kind)
    except msgspec.ValidationError as error:
        reason, _, path = str(error).partition(" - at ")
        path = path.strip("`").removeprefix("$").removeprefix(".")
        # msgspec writes "Expected ..." or, for a missing field, "Object ...".
        expected = reason.removeprefix("Expected ").replace(
            "Object missing required field", "the required field"
        )
        raise ConversionError(path=path or "(top)", expected=expected) from error


def _check_keys(value, kind, *, path):
    check = _key_check(kind)
    if check is not None:
        check(value, path)


@functools.cache
def _key_check(kind):
    """Return a function that rejects unknown keys in a value of type ``kind``.

    ``None`` means that ``kind`` contains no data class, so there are no keys to
    check.
    """
    if dataclasses.is_dataclass(kind):
        return _object_check(kind)
    origin = typing.get_origin(kind)
    checks = [_key_check(argument) for argument in typing.get_args(kind)]
    if not any(checks):
        return None
    if origin in (typing.Union, types.UnionType):
        return _union_check([check for check in checks if check])
    if origin in (tuple, list):
        return _list_check(checks[0])
    return None


def _object_check(kind):
    hints = typing.get_type_hints(kind)
    names = ", ".join(sorted(hints))
    checks = {key: _key_check(hint) for key, hint in hints.items()}
    checks = {key: check for key, check in checks.items() if check}

    def check(value, path):
        if not isinstance(value, dict):
            return
        prefix = f"{path}." if path else ""
        if not value.keys() <= hints.keys():
            key = next(key for key in value if key not in hints)
            raise ConversionError(path=f"{prefix}{key}", expected=f"one of {names}")
        for key, check_value in checks.items():
            if key in value:
                check_value(value[key], f"{prefix}{key}")

    return check


def _union_check(member_checks):
    def check(value, path):
        for check_member in member_checks:
            check_member(value, path)

    return check


def _list_check(check_item):
    def check(value, path):
        if isinstance(value, list):
            for index, item in enumerate(value):
                check_item(item, f"{path}[{index}]")

    return check
