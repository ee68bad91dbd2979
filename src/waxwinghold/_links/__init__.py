"""Links between processes over CURVE-secured ZeroMQ sockets."""

from .client import Link
from .curve import KeyRing, start_authenticator
from .errors import LinkDownError
from .presence import Presence
from .server import Connection, LinkServer

__all__ = [
    "Connection",
    "KeyRing",
    "Link",
    "LinkDownError",
    "LinkServer",
    "Presence",
    "start_authenticator",
]
