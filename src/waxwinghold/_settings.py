"""Settings of the processes: data classes read from files of JSON with comments."""

import difflib
import ipaddress
import re
import urllib.parse
from dataclasses import dataclass, fields, is_dataclass
from pathlib import Path

import json5

from ._convert import ConversionError, convert
from ._decisions.held_memory import CONNECTIONS_LIMIT_COUNT, LIMIT_BYTES
from ._errors import SettingsError

PORT_PATTERN = re.compile("[0-9]{1,5}")
Z85_KEY_LENGTH = 40
SECRET_LENGTH_MIN = 32
# Settings of earlier versions, with what to expect in their place.
REMOVED_SETTINGS = {
    "pause_limit_ms": "no such key any more: it never had an effect; remove it",
}
IP_PORT_SETTINGS = frozenset(
    {
        "http_address",
        "metrics_address",
        "callers_address",
        "readiness_address",
        "store_address",
        "target_address",
    }
)


@dataclass(frozen=True, kw_only=True)
class KnownKey:
    """A CURVE public key that may connect, and the role of its owner.

    Args:
        name: Name of the key in logs and in the audit trail.
        role: ``entry``, ``agent`` or ``operator``.
        public_key: The key in Z85, 40 characters.
    """

    name: str
    role: str
    public_key: str


@dataclass(frozen=True, kw_only=True)
class Peer:
    """Another entry that this process keeps a link to.

    Args:
        name: The entry's name.
        data_centre: The data centre of the entry.
        address: The entry's link address, as ``tcp://IP:PORT``.
        public_key: The entry's CURVE public key in Z85.
    """

    name: str
    data_centre: str
    address: str
    public_key: str


@dataclass(frozen=True, kw_only=True)
class ProcessSettings:
    """Settings that entries and agents have in common.

    Args:
        name: The process's name, unique in the fleet.
        data_centre: The data centre of the process.
        link_address: Address where other processes connect, ``tcp://IP:PORT``.
        link_secret_key: This process's CURVE secret key in Z85.
        link_public_key: This process's CURVE public key in Z85.
        known_keys: Public keys that may connect.
        peers: Entries to keep links to.
        platform_url: The platform's configuration service, ``http://IP:PORT``.
        token_secrets: Secrets that sign once-only keys and request tokens. The
            first one signs; all of them are accepted, for rotation.
        heartbeat_interval_ms: Time between heartbeats.
        silence_limit_ms: Time without a message after which a connection is
            replaced.
        drain_limit_ms: Longest time that a stopping process waits for requests in
            flight.
        watch_wait_ms: Longest time that the platform may wait for a new sheet
            before it answers a read. A longer time also delays the detection of a
            silent connection to the platform.
        readers_count: Number of processes in a data centre that read from the
            platform.
        audit_limit_count: Number of entries that the audit trail keeps.
        log_level: Lowest level that is logged, by its name in logbook.
        metrics_address: Address of the HTTP endpoint for metrics, ``IP:PORT``;
            empty for none.
    """

    name: str
    data_centre: str
    link_address: str
    link_secret_key: str
    link_public_key: str
    platform_url: str
    token_secrets: tuple[str, ...]
    known_keys: tuple[KnownKey, ...] = ()
    peers: tuple[Peer, ...] = ()
    heartbeat_interval_ms: int = 1000
    silence_limit_ms: int = 3000
    drain_limit_ms: int = 60_000
    watch_wait_ms: int = 3000
    readers_count: int = 2
    audit_limit_count: int = 10_000
    log_level: str = "INFO"
    metrics_address: str = ""


@dataclass(frozen=True, kw_only=True)
class EntrySettings(ProcessSettings):
    """Settings of ``waxwingd entry``.

    Args:
        http_address: Address where callers connect, ``IP:PORT``.
        body_limit_bytes: Largest request body.
        key_lifetime_ms: Time for which an issued key can be used.
        targets_limit_count: Largest number of targets that the entry keeps links
            to.
        peers_limit_count: Largest number of other entries that the entry keeps
            links to.
        in_flight_limit_count: Largest number of callers' requests in flight.
        header_timeout_ms: Time from the first byte of a caller's request until its
            whole header has arrived.
        idle_timeout_ms: Time after which a caller's idle connection is closed.
        keepalive_interval_ms: Time between keep-alive comments on an idle stream.
        drain_notice_ms: Time for which a stopping entry still takes new requests
            while its health check already fails.
        retry_budget_ratio: Retries allowed per first attempt.
        callers_memory_limit_bytes: Memory for what all callers have sent and not read.
            The connections that hold most of it for longest are reset beyond that.
        callers_connections_limit_count: Largest number of callers' connections, if the
            descriptors allow it. Beyond that a new one replaces the one that has sent
            no whole request for longest.
    """

    http_address: str
    body_limit_bytes: int = 1024 * 1024
    key_lifetime_ms: int = 600_000
    targets_limit_count: int = 128
    peers_limit_count: int = 8
    in_flight_limit_count: int = 4096
    header_timeout_ms: int = 10_000
    idle_timeout_ms: int = 75_000
    keepalive_interval_ms: int = 10_000
    drain_notice_ms: int = 2000
    retry_budget_ratio: float = 0.1
    callers_memory_limit_bytes: int = LIMIT_BYTES
    callers_connections_limit_count: int = CONNECTIONS_LIMIT_COUNT


@dataclass(frozen=True, kw_only=True)
class AgentSettings(ProcessSettings):
    """Settings of ``waxwingd agent``; ``name`` is its target's name in the sheet.

    Args:
        target_url: The engine or plain service, ``http://IP:PORT``.
        queue_limit_count: Largest number of requests that wait for the target.
        ledger_limit_bytes: Memory for recorded answers of once-only calls.
        answer_retention_ms: Time for which a finished stream can be resumed.
        health_interval_ms: Time between the target's health checks.
        target_silence_ms: Time without data on a connection to the target after
            which the target is probed.
    """

    target_url: str
    queue_limit_count: int = 1024
    ledger_limit_bytes: int = 32 * 1024 * 1024
    answer_retention_ms: int = 30_000
    health_interval_ms: int = 500
    target_silence_ms: int = 2000


def load_settings(path, kind):
    """Read and validate a settings file.

    Args:
        path: The file, JSON with comments.
        kind: The data class of the settings, such as ``EntrySettings``.

    Raises:
        SettingsError: The file cannot be read, or a key is unknown, missing or
            invalid.
    """
    try:
        document = json5.loads(Path(path).read_text())
    except OSError as error:
        reason = f"a readable file ({error.strerror})"
        raise SettingsError(file=path, key="(file)", expected=reason) from error
    except ValueError as error:
        reason = f"JSON with comments ({error})"
        raise SettingsError(file=path, key="(file)", expected=reason) from error
    if not isinstance(document, dict):
        raise SettingsError(file=path, key="(top)", expected="an object")
    _reject_unknown_keys(path, document, kind)
    try:
        settings = convert(document, kind)
    except ConversionError as error:
        raise SettingsError(
            file=path, key=error.path, expected=error.expected
        ) from error
    _check_values(path, settings)
    return settings


def _reject_unknown_keys(path, document, kind):
    names = [field.name for field in fields(kind)]
    for key in document:
        if key in names:
            continue
        if key in REMOVED_SETTINGS:
            raise SettingsError(file=path, key=key, expected=REMOVED_SETTINGS[key])
        matches = difflib.get_close_matches(key, names, n=1)
        expected = f'"{matches[0]}"' if matches else "a known key"
        raise SettingsError(file=path, key=key, expected=expected)


def _check_values(path, settings):
    for field in fields(settings):
        value = getattr(settings, field.name)
        problem = _problem(field.name, value)
        if problem:
            raise SettingsError(file=path, key=field.name, expected=problem)
        if isinstance(value, tuple):
            _check_rows(path, field.name, value)


def _check_rows(path, setting, rows):
    for index, row in enumerate(rows):
        if not is_dataclass(row):
            return
        for field in fields(row):
            problem = _problem(field.name, getattr(row, field.name))
            if problem:
                key = f"{setting}[{index}].{field.name}"
                raise SettingsError(file=path, key=key, expected=problem)


def _problem(name, value):
    """Return the expectation that ``value`` does not meet, or ``None``."""
    if name in ("link_address", "address"):
        return None if is_link_address(value) else "tcp://IP:PORT with a numeric IP"
    if name == "metrics_address" and not value:
        return None
    if name in IP_PORT_SETTINGS:
        return None if is_ip_port(value) else "IP:PORT with a numeric IP"
    if name in ("platform_url", "target_url"):
        return None if is_ip_url(value) else "http://IP:PORT with a numeric IP"
    if name.endswith(("public_key", "secret_key")):
        return None if len(value) == Z85_KEY_LENGTH else "40 characters of Z85"
    if name == "token_secrets":
        is_valid = value and all(len(secret) >= SECRET_LENGTH_MIN for secret in value)
        return (
            None if is_valid else f"secrets of {SECRET_LENGTH_MIN} characters or more"
        )
    if name == "seeds":
        is_valid = all(is_ip_port(seed) for seed in value)
        return None if is_valid else "a list of IP:PORT with numeric IPs"
    if name == "role":
        return None if value in ("entry", "agent", "operator") else "a known role"
    if name == "metrics_port" and not value:
        return None
    if name.endswith("_port"):
        return None if 0 < value < 65536 else "a port number"
    if name in ("name", "data_centre"):
        is_valid = re.fullmatch(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}", value)
        return None if is_valid else "a name of letters, digits, '.', '_' and '-'"
    if name == "second_copies_ratio":
        return None if 0 <= value <= 1 else "a number from 0 to 1"
    if name == "second_copies_window_s":
        return None if 1 <= value <= 3600 else "a number from 1 to 3600"
    if name == "second_copies_percentile":
        return None if 50 <= value < 100 else "a number from 50 to below 100"
    if name.endswith(("_ms", "_count", "_bytes")) and value <= 0:
        return "a number above 0"
    return None


def is_link_address(text):
    """Return whether ``text`` is ``tcp://IP:PORT`` with a numeric IP address."""
    return text.startswith("tcp://") and is_ip_port(text.removeprefix("tcp://"))


def is_ip_url(text):
    """Return whether ``text`` is an HTTP(S) URL with a numeric IP address and port."""
    parts = urllib.parse.urlsplit(text)
    return parts.scheme in ("http", "https") and is_ip_port(parts.netloc)


def split_ip_port(text):
    """Return the host and the port number of ``IP:PORT``."""
    host, _, port = text.rpartition(":")
    return host.strip("[]"), int(port)


def is_ip_port(text):
    """Return whether a text is ``IP:PORT`` with a port that can be connected to."""
    host, _, port = text.rpartition(":")
    # ``int`` also accepts signs, separators and the digits of other scripts.
    if PORT_PATTERN.fullmatch(port) is None:
        return False
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        return False
    return 0 < int(port) < 65536
