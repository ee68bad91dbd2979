"""Where the processes of a fleet stand: addresses, keys and settings."""

import itertools
import random
import socket
from dataclasses import dataclass

import zmq

LOOPBACK = "127.0.0.1"
# Below the ports that the kernel gives to outgoing connections, which could
# take one between its choice and its use.
PORTS = range(20_000, 32_000)
TOKEN_SECRET = "a-secret-of-the-bench-and-of-nothing-else"


@dataclass(frozen=True, kw_only=True)
class Endpoint:
    """One process of the system.

    Args:
        http_address: Where an entry serves callers, or where an agent's
            target is, as ``IP:PORT``.
    """

    name: str
    role: str
    data_centre: str
    link_address: str
    http_address: str
    public_key: str
    secret_key: str

    @property
    def http_url(self):
        """The URL of ``http_address``."""
        return f"http://{self.http_address}"

    def known_key(self):
        """Return this place as a row of ``known_keys``."""
        return {"name": self.name, "role": self.role, "public_key": self.public_key}

    def peer(self):
        """Return this place as a row of ``peers``."""
        return {
            "name": self.name,
            "data_centre": self.data_centre,
            "address": self.link_address,
            "public_key": self.public_key,
        }

    def host(self):
        """Return this place as a row of the platform's host list."""
        return self.peer() | {"role": self.role, "state": "live"}


def _ports_in_turn():
    """Yield ports for ever, from a random one on.

    One run of neighbours meets that of another bench less often than ports
    drawn one by one would.
    """
    begin = random.choice(PORTS)
    yield from itertools.cycle([*range(begin, PORTS.stop), *PORTS])


_ports = _ports_in_turn()


def free_addresses(count):
    """Return ``count`` free loopback addresses as ``IP:PORT``.

    No later call returns them again before all other ports had their turn.
    """
    free = (port for port in _ports if _is_free(port))
    return [f"{LOOPBACK}:{port}" for port in itertools.islice(free, count)]


def _is_free(port):
    with socket.socket() as probe:
        try:
            probe.bind((LOOPBACK, port))
        except OSError:
            return False
    return True


def make_endpoints(*, role, names):
    """Return a new ``Endpoint`` for each name.

    Args:
        role: ``entry``, ``agent`` or ``operator``.
        names: The data centre of each name.
    """
    addresses = iter(free_addresses(2 * len(names)))
    endpoints = {}
    for name, data_centre in names.items():
        public_key, secret_key = zmq.curve_keypair()
        endpoints[name] = Endpoint(
            name=name,
            role=role,
            data_centre=data_centre,
            link_address=f"tcp://{next(addresses)}",
            http_address=next(addresses),
            public_key=public_key.decode(),
            secret_key=secret_key.decode(),
        )
    return endpoints


def process_settings(endpoint, *, platform_url, known_endpoints):
    """Return the settings that both roles have.

    Args:
        known_endpoints: Endpoints whose keys may connect.
    """
    return {
        "name": endpoint.name,
        "data_centre": endpoint.data_centre,
        "link_address": endpoint.link_address,
        "link_public_key": endpoint.public_key,
        "link_secret_key": endpoint.secret_key,
        "platform_url": platform_url,
        "token_secrets": [TOKEN_SECRET],
        "known_keys": [other.known_key() for other in known_endpoints],
    }
