"""Strict conversion of decoded JSON into frozen data classes."""

import dataclasses
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
    if dataclasses.is_dataclass(kind) and isinstance(value, dict):
        hints = typing.get_type_hints(kind)
        for key, inner in value.items():
            inner_path = f"{path}.{key}" if path else key
            if key not in hints:
                names = ", ".join(sorted(hints))
                raise ConversionError(path=inner_path, expected=f"one of {names}")
            _check_keys(inner, hints[key], path=inner_path)
        return
    origin = typing.get_origin(kind)
    arguments = typing.get_args(kind)
    if origin in (typing.Union, types.UnionType):
        for option in arguments:
            _check_keys(value, option, path=path)
    elif origin in (tuple, list) and isinstance(value, list):
        for index, inner in enumerate(value):
            _check_keys(inner, arguments[0], path=f"{path}[{index}]")
