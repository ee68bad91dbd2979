"""CURVE authentication: only known keys may connect, each in its role."""

import zmq.auth.asyncio

from .._settings import KnownKey

DOMAIN = "waxwinghold"


class KeyRing:
    """The public keys that may connect, as a credentials provider for ZAP.

    Args:
        known_keys: The ``KnownKey`` of each peer, with its role.
    """

    def __init__(self, *, known_keys):
        self._known_keys = {key.public_key.encode(): key for key in known_keys}
        self.refused_count = 0

    def callback(self, domain, key):
        """Return whether a client's public key is known; count it if not.

        The authenticator calls this method by its name.
        """
        known = key in self._known_keys
        if not known:
            self.refused_count += 1
        return known

    def find_key(self, user_id) -> KnownKey | None:
        """Return the known key with the Z85 public key ``user_id``, or ``None``."""
        return self._known_keys.get(user_id.encode())


def start_authenticator(context, key_ring):
    """Start the ZAP handler of ``context`` and return it."""
    authenticator = zmq.auth.asyncio.AsyncioAuthenticator(context)
    authenticator.start()
    authenticator.configure_curve_callback(DOMAIN, credentials_provider=key_ring)
    return authenticator


def secure_server(socket, settings):
    """Make ``socket`` a CURVE server with this process's keys."""
    socket.curve_server = True
    socket.curve_secretkey = settings.link_secret_key.encode()
    socket.curve_publickey = settings.link_public_key.encode()
    socket.zap_domain = DOMAIN.encode()


def secure_client(socket, settings, server_public_key):
    """Make ``socket`` a CURVE client that accepts only the server with that key."""
    socket.curve_secretkey = settings.link_secret_key.encode()
    socket.curve_publickey = settings.link_public_key.encode()
    socket.curve_serverkey = server_public_key.encode()
