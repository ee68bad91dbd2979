"""Settings of the operator's tool."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True)
class KnownProcess:
    """A process that the tool can ask.

    Args:
        name: The process's name.
        address: Its link, as ``tcp://IP:PORT``.
        public_key: Its CURVE public key in Z85.
    """

    name: str
    address: str
    public_key: str


@dataclass(frozen=True, kw_only=True)
class OperatorSettings:
    """Settings of ``waxwing``.

    Args:
        name: The operator's name, as the audit trails will show it.
        link_secret_key: The operator's CURVE secret key in Z85.
        link_public_key: The operator's CURVE public key in Z85; processes
            must know it in role ``operator``.
        processes: The processes that can be asked.
        answer_limit_ms: How long the tool waits for a process's answer.
        heartbeat_interval_ms: Time between heartbeats.
        silence_limit_ms: Silence after which a connection is replaced.
    """

    name: str
    link_secret_key: str
    link_public_key: str
    processes: tuple[KnownProcess, ...]
    answer_limit_ms: int = 3000
    heartbeat_interval_ms: int = 1000
    silence_limit_ms: int = 3000
