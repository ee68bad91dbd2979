"""Addresses, keys and settings of the processes of a fleet."""

import itertools
import random
import socket
from dataclasses import dataclass

import zmq

LOOPBACK = "127.0.0.1"
# Below the kernel's ephemeral ports: an outgoing connection could take an ephemeral
# port after it was found free and before a process listens on it.
PORTS = range(20_000, 32_000)
TOKEN_SECRET = "a-secret-of-the-bench-and-of-nothing-else"


@dataclass(frozen=True, kw_only=True)
class Endpoint:
    """The name, addresses and keys of one process.

    Args:
        name: Name of the process.
        role: ``entry``, ``agent`` or ``operator``.
        data_centre: Its data centre.
        link_address: Where it listens for links, as ``tcp://IP:PORT``.
        http_address: Where an entry serves callers, or where the target of an
            agent listens, as ``IP:PORT``.
        public_key: Public key of its links.
        secret_key: Secret key of its links.
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
        """``http_address`` as a URL."""
        return f"http://{self.http_address}"

    def known_key_row(self):
        """Return the row of this endpoint for the setting ``known_keys``."""
        return {"name": self.name, "role": self.role, "public_key": self.public_key}

    def peer_row(self):
        """Return the row of this endpoint for the setting ``peers``."""
        return {
            "name": self.name,
            "data_centre": self.data_centre,
            "address": self.link_address,
            "public_key": self.public_key,
        }

    def host_row(self):
        """Return the row of this endpoint for the host list of the platform."""
        return self.peer_row() | {"role": self.role, "state": "live"}


def _cycle_ports():
    """Yield ports endlessly, in sequence from a random start.

    Several benchmarks can run at the same time. Their ports collide less often
    if each takes consecutive ports than if it draws every port at random.
    """
    start = random.choice(PORTS)
    yield from itertools.cycle([*range(start, PORTS.stop), *PORTS])


_ports = _cycle_ports()


def free_addresses(count):
    """Return ``count`` free loopback addresses as ``IP:PORT``.

    A port is returned again only after all other ports have been tried.
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
    """Return an ``Endpoint`` with new addresses and keys for each name.

    Args:
        role: ``entry``, ``agent`` or ``operator``.
        names: Names of the processes, each mapped to its data centre.

    Returns:
        The endpoints by name.
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
    """Return the settings that entries and agents have in common.

    Args:
        endpoint: The process to configure.
        platform_url: URL of the platform.
        known_endpoints: Endpoints that are allowed to connect.
    """
    return {
        "name": endpoint.name,
        "data_centre": endpoint.data_centre,
        "link_address": endpoint.link_address,
        "link_public_key": endpoint.public_key,
        "link_secret_key": endpoint.secret_key,
        "platform_url": platform_url,
        "token_secrets": [TOKEN_SECRET],
        "known_keys": [peer.known_key_row() for peer in known_endpoints],
    }
