"""Strict conversion of decoded JSON into frozen data classes."""

import dataclasses
import functools
import types
import typing

import msgspec

from ._errors import WaxwingError


class ConversionError(WaxwingError):
    """A value that does not fit its data class.

    Attributes:
        path: The place of the value, such as ``targets[3].ranks``.
        expected: What was expected there.
    """

    code = "conversion"

    def __init__(self, *, path, expected):
        super().__init__(f'key "{path}": expected {expected}')
        self.path = path
        self.expected = expected


def convert(value, kind):
    """Return ``value`` as ``kind``, a data class.

    Unlike msgspec alone, unknown keys are errors.

    Raises:
        ConversionError: A key is unknown or missing, or a value does not fit.
    """
    _check_keys(value, kind, path="")
    try:
        return msgspec.convert(value, kind)
    except msgspec.ValidationError as error:
        expected, _, path = str(error).partition(" - at ")
        path = path.strip("`").removeprefix("$").removeprefix(".")
        raise ConversionError(path=path or "(top)", expected=expected) from error


def _check_keys(value, kind, *, path):
    check = _key_check(kind)
    if check is not None:
        check(value, path)


@functools.cache
def _key_check(kind):
    """Return a function that refuses unknown keys within a value of ``kind``.

    ``None`` stands for a kind that holds no data class, so nothing to look at.
    """
    if dataclasses.is_dataclass(kind):
        return _object_check(kind)
    origin = typing.get_origin(kind)
    inner = [_key_check(argument) for argument in typing.get_args(kind)]
    if not any(inner):
        return None
    if origin in (typing.Union, types.UnionType):
        return _union_check([check for check in inner if check])
    if origin in (tuple, list):
        return _list_check(inner[0])
    return None


def _object_check(kind):
    hints = typing.get_type_hints(kind)
    names = ", ".join(sorted(hints))
    inner = {key: _key_check(hint) for key, hint in hints.items()}
    inner = {key: check for key, check in inner.items() if check}

    def check(value, path):
        if not isinstance(value, dict):
            return
        prefix = f"{path}." if path else ""
        if not value.keys() <= hints.keys():
            key = next(key for key in value if key not in hints)
            raise ConversionError(path=f"{prefix}{key}", expected=f"one of {names}")
        for key, check_inner in inner.items():
            if key in value:
                check_inner(value[key], f"{prefix}{key}")

    return check


def _union_check(options):
    def check(value, path):
        for option in options:
            option(value, path)

    return check


def _list_check(check_item):
    def check(value, path):
        if isinstance(value, list):
            for index, item in enumerate(value):
                check_item(item, f"{path}[{index}]")

    return check
