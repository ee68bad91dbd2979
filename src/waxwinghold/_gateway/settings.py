"""Settings of ``waxwingd gateway``."""

from dataclasses import dataclass

from .._decisions.held_memory import CONNECTIONS_LIMIT_COUNT, LIMIT_BYTES

# Settings that cannot change while the process runs: its sockets and tasks are created
# with them at the start.
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
    "limit_passes",
    "callers_connections_limit_count",
)


@dataclass(frozen=True, kw_only=True)
class GatewaySettings:
    """Settings of a gateway.

    Args:
        name: The process's name, unique in the fleet.
        data_centre: The data centre of the process.
        callers_address: Where callers connect, ``IP:PORT``.
        readiness_address: Where the platform checks whether to send callers,
            ``IP:PORT``.
        store_address: The platform's store, ``IP:PORT``.
        peers_ip: IP address at which the other gateways reach this one.
        peers_port: UDP port of all gateways for their notices.
        seeds: ``IP:PORT`` of some gateways, from which the addresses of the
            others are obtained; the port is ignored.
        strict_keys: Whether callers' keys are rejected while the gateway cannot
            verify that they are still valid.
        freshness_limit_ms: Highest age in milliseconds of the gateway's copy of
            the keys, if ``strict_keys`` is set.
        configuration_limit_ms: Time in milliseconds from the acknowledgement of a
            configuration until it must be in force in every gateway.
        leaving_limit_ms: The same for a target that is leaving or gone.
        evacuation_limit_ms: The same for the evacuation of a data centre.
        stop_limit_s: Seconds from the signal to stop until the process is killed.
        list_grace_ms: How long in milliseconds a target that is missing in the
            store after an outage of the store may still be used.
        retry_ratio: Retries allowed for each first send, over all gateways.
        retry_slack_count: Retries allowed beyond that in one window, over all
            gateways.
        retry_window_s: Length of the window in seconds.
        second_copies_ratio: Slow requests that may be sent to a second target, for
            each first send in a window, over all gateways; from 0 (none) to 1.
        second_copies_window_s: Length of that window in seconds. Each gateway rounds
            down to whole copies in it.
        second_copies_percentile: A request is slow once it is unanswered for longer
            than this percentage of the recent requests of its kind were; from 50 to
            below 100.
        limit_passes: Whether the running requests of a group are limited so that its
            passes stay below the gap goal of the routes.
        log_level: The name of a logbook level.
        metrics_port: TCP port of the metrics over HTTP; 0 for no metrics.
        fair_customers: Whether customers above an equal share of the recent starts
            wait behind the others of the same priority while slots are scarce.
        callers_memory_limit_bytes: Memory for what all callers have sent and not read.
            The connections that hold most of it for longest are reset beyond that.
        callers_connections_limit_count: Largest number of callers' connections, if the
            descriptors allow it. Beyond that a new one replaces the one that has sent
            no whole request for longest.
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
    configuration_limit_ms: float = 2000.0
    leaving_limit_ms: float = 2000.0
    evacuation_limit_ms: float = 5000.0
    stop_limit_s: float = 8.0
    list_grace_ms: float = 2000.0
    retry_ratio: float = 0.2
    retry_slack_count: float = 90.0
    retry_window_s: float = 10.0
    second_copies_ratio: float = 0.0
    second_copies_window_s: float = 60.0
    second_copies_percentile: float = 95.0
    limit_passes: bool = False
    log_level: str = "INFO"
    metrics_port: int = 0
    fair_customers: bool = False
    callers_memory_limit_bytes: int = LIMIT_BYTES
    callers_connections_limit_count: int = CONNECTIONS_LIMIT_COUNT
