"""Settings of the agent of a rank."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True)
class RankSettings:
    """Settings of the agent of a rank, read when it starts.

    Args:
        name: The process's name, unique in the fleet.
        data_centre: The data centre in which the process runs.
        target_address: The rank on this host, ``IP:PORT``.
        service: The service of that rank.
        store_address: The platform's store, ``IP:PORT``.
        peers_ip: This host's address for notices and metrics.
        peers_port: UDP port on which all processes receive notices.
        seeds: ``IP:PORT`` of the gateways that get notices while no gateway is known;
            the port is not used.
        map_policy: Policy that plans expert maps: ``few_moves`` or ``static``.
        log_level: Name of a logbook level.
        metrics_port: TCP port that serves metrics over HTTP; 0 to serve none.
    """

    name: str
    data_centre: str
    target_address: str
    service: str
    store_address: str
    peers_ip: str
    peers_port: int
    seeds: tuple[str, ...] = ()
    map_policy: str = "few_moves"
    log_level: str = "INFO"
    metrics_port: int = 0
