"""Reads the resource usage of a process: CPU time, memory and TCP bytes."""

import pathlib
import re
import subprocess
import time
from dataclasses import dataclass

NS_PER_MS = 1_000_000
BYTES_PER_KIB = 1024
# Ethernet, IPv4 and TCP headers of a segment, with TCP timestamps.
SEGMENT_OVERHEAD_BYTES = 66


@dataclass(frozen=True, kw_only=True)
class Usage:
    """Cumulative resource usage of a process at one time.

    Args:
        at_ms: Time of the reading on a monotonic clock.
        cpu_ms: CPU time of all threads since the process started.
        resident_bytes: Resident memory at that time.
        wire_bytes: Bytes sent and received on the selected connections,
            including an estimate of the packet headers.
    """

    at_ms: float
    cpu_ms: float
    resident_bytes: int
    wire_bytes: int = 0


@dataclass(frozen=True, kw_only=True)
class Rates:
    """Resource usage of a process between two readings.

    Args:
        core_percent: CPU time in percent of one core.
        resident_bytes: Resident memory at the second reading.
        wire_bytes_per_second: Bytes per second on the selected connections.
    """

    core_percent: float
    resident_bytes: int
    wire_bytes_per_second: float


def read_usage(pid, *, ports=()):
    """Return the ``Usage`` of a process on this host.

    Args:
        pid: Process id.
        ports: Listening ports whose established connections are counted.
    """
    return Usage(
        at_ms=time.monotonic_ns() / NS_PER_MS,
        cpu_ms=_cpu_ms(pid),
        resident_bytes=_resident_bytes(pid),
        wire_bytes=_wire_bytes(frozenset(ports)) if ports else 0,
    )


def rates_between(before, after):
    """Return the ``Rates`` between two readings of one process."""
    elapsed_ms = after.at_ms - before.at_ms
    return Rates(
        core_percent=100 * (after.cpu_ms - before.cpu_ms) / elapsed_ms,
        resident_bytes=after.resident_bytes,
        wire_bytes_per_second=1000
        * (after.wire_bytes - before.wire_bytes)
        / elapsed_ms,
    )


def _cpu_ms(pid):
    total_ns = 0
    for path in pathlib.Path(f"/proc/{pid}/task").glob("*/schedstat"):
        total_ns += int(path.read_text().split()[0])
    return total_ns / NS_PER_MS


def _resident_bytes(pid):
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    return int(re.search(r"VmRSS:\s+(\d+)", status)[1]) * BYTES_PER_KIB


def _wire_bytes(ports):
    """Return the bytes of all connections to the listening ``ports``.

    Both ends of a connection can be on this host; only the listening end is
    counted.
    """
    command = ["ss", "--tcp", "--info", "--no-header", "--numeric", "--oneline"]
    listing = subprocess.run(command, capture_output=True, text=True, check=True)
    total = 0
    for line in listing.stdout.splitlines():
        local = line.split()[3]
        if int(local.rpartition(":")[2]) in ports:
            total += _counter(line, "bytes_sent") + _counter(line, "bytes_received")
            segments = _counter(line, "segs_out") + _counter(line, "segs_in")
            total += segments * SEGMENT_OVERHEAD_BYTES
    return total


def _counter(line, name):
    match = re.search(rf"\b{name}:(\d+)", line)
    return int(match[1]) if match else 0
