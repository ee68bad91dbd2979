"""Errors of the links between processes."""

from .._errors import WaxwingError


class LinkDownError(WaxwingError):
    """A message was not sent because no connection is up."""

    code = "link_down"

    def __init__(self, *, name):
        super().__init__(f'the link to "{name}" is down')
