"""The ``waxwing`` command, the operator's tool."""

import sys

import fire

from .._errors import WaxwingError
from .commands import Tool, exit_status


def main():
    """Run the ``waxwing`` command."""
    try:
        result = fire.Fire(Tool, name="waxwing")
    except WaxwingError as error:
        print(f"waxwing: {error}", file=sys.stderr)
        sys.exit(error.exit_status)
    sys.exit(exit_status(result))
