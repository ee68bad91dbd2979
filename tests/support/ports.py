"""Free ports for tests."""

import random
import socket

# Below the kernel's ephemeral ports, which it gives to outgoing connections and to
# other processes that look for a free port, and below the ports of the bench.
PORTS = range(10_000, 20_000)
_returned_ports = set()


def free_port(kind=socket.SOCK_STREAM):
    """Return a free port of the loopback that was not returned before.

    Args:
        kind: ``SOCK_STREAM`` for TCP, ``SOCK_DGRAM`` for UDP.
    """
    while True:
        port = random.choice(PORTS)
        if port in _returned_ports:
            continue
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        _returned_ports.add(port)
        return port
