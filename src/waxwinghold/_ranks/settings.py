"""Settings of the agent beside a rank."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True)
class RankSettings:
    """What the agent beside a rank is told at its start.

    Args:
        name: The process's name, unique in the fleet.
        data_centre: The data centre that the process stands in.
        target_address: The rank on this machine, ``IP:PORT``.
        service: The service of that rank.
        store_address: The platform's store, ``IP:PORT``.
        peers_ip: This machine's address towards other machines.
        peers_port: UDP port of all notices.
        seeds: ``IP:PORT`` of some gateways; the port is of no use here.
        map_policy: Which planner of expert maps is used.
        log_level: A level name of logbook.
        metrics_port: Where metrics are read over HTTP; 0 for nowhere.
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
