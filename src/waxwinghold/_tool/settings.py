"""Settings of the ``waxwing`` command."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True)
class KnownProcess:
    """A process that the tool can query.

    Args:
        name: The process's name.
        address: The process's link address, as ``tcp://IP:PORT``.
        public_key: The process's CURVE public key in Z85.
    """

    name: str
    address: str
    public_key: str


@dataclass(frozen=True, kw_only=True)
class OperatorSettings:
    """Settings of ``waxwing``.

    Args:
        name: The operator's name, shown in the audit trails.
        link_secret_key: The operator's CURVE secret key in Z85.
        link_public_key: The operator's CURVE public key in Z85; it must be in the
            ``known_keys`` of the processes with role ``operator``.
        processes: The processes that the tool can query.
        answer_limit_ms: Longest time that the tool waits for a process's answer.
        heartbeat_interval_ms: Time between heartbeats.
        silence_limit_ms: Time without a message after which a connection is
            replaced.
    """

    name: str
    link_secret_key: str
    link_public_key: str
    processes: tuple[KnownProcess, ...]
    answer_limit_ms: int = 3000
    heartbeat_interval_ms: int = 1000
    silence_limit_ms: int = 3000
