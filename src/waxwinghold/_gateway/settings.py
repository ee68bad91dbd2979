"""Settings of ``waxwingd gateway``."""

from dataclasses import dataclass

# What sockets and tasks were made with at the start.
FIXED_SETTINGS = (
    "name",
    "data_centre",
    "callers_address",
    "readiness_address",
    "store_address",
    "peers_ip",
    "peers_port",
    "log_level",
    "metrics_port",
)


@dataclass(frozen=True, kw_only=True)
class GatewaySettings:
    """What a gateway is told at its start.

    Args:
        name: The process's name, unique in the fleet.
        data_centre: The data centre that the process stands in.
        callers_address: Where callers connect, ``IP:PORT``.
        readiness_address: Where the platform asks whether to send callers.
        store_address: The platform's store, ``IP:PORT``.
        peers_ip: This machine's address towards other gateways.
        peers_port: UDP port of all gateways for their notices.
        seeds: ``IP:PORT`` of some gateways, from which the others are learnt;
            the port is of no use here.
        strict_keys: Whether keys are refused while this gateway cannot know
            that they still hold.
        freshness_limit_ms: How old what the gateway knows of the keys may be.
        stop_limit_s: Seconds between the order to stop and the kill.
        list_grace_ms: How long a target that the store no longer lists after
            an outage of the store may still be used.
        retry_ratio: Second sends for each first one, over all gateways.
        retry_slack_count: Second sends beyond that in a window, over all
            gateways.
        retry_window_s: Length of the window in seconds.
        log_level: A level name of logbook.
        metrics_port: Where metrics are read over HTTP; 0 for nowhere.
    """

    name: str
    data_centre: str
    callers_address: str
    readiness_address: str
    store_address: str
    peers_ip: str
    peers_port: int
    seeds: tuple[str, ...] = ()
    strict_keys: bool = False
    freshness_limit_ms: float = 5000.0
    stop_limit_s: float = 8.0
    list_grace_ms: float = 2000.0
    retry_ratio: float = 0.2
    retry_slack_count: float = 90.0
    retry_window_s: float = 10.0
    log_level: str = "INFO"
    metrics_port: int = 0
