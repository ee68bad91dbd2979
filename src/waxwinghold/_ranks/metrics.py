"""Metrics of an agent, served over HTTP as text.

The project's ``Metrics`` class and a web framework would double the memory of each
of the many agents of a fleet. This module serves a single short page instead.
"""

import asyncio
from collections import Counter

import logbook

log = logbook.Logger("metrics")

PATH = "/metrics"
HEAD_LIMIT_BYTES = 4096  # Of a request; a scraper sends far less.
READ_LIMIT_S = 2.0


class AgentMetrics:
    """Counts events by name and serves the counters and gauges.

    Args:
        gauges: Returns the current gauge values by name.
    """

    def __init__(self, *, gauges):
        self._gauges = gauges
        self._counts = Counter()
        self._server = None

    def count(self, name):
        """Count one event."""
        self._counts[name] += 1

    def render(self):
        """Return all metrics in the Prometheus text format, as bytes."""
        lines = [
            f"waxwinghold_agent_{name}_total {self._counts[name]}"
            for name in self._counts
        ]
        lines += [
            f"waxwinghold_agent_{name} {value}"
            for name, value in self._gauges().items()
        ]
        return ("\n".join(sorted(lines)) + "\n").encode()

    async def serve(self, ip, port):
        """Serve the metrics at ``http://IP:PORT/metrics`` until ``close``."""
        self._server = await asyncio.start_server(
            self._respond, ip, port, limit=HEAD_LIMIT_BYTES
        )

    def close(self):
        """Stop serving."""
        if self._server is not None:
            self._server.close()

    async def _respond(self, reader, writer):
        try:
            async with asyncio.timeout(READ_LIMIT_S):
                head = await reader.readuntil(b"\r\n\r\n")
                is_found = head.split(b" ", 2)[1:2] == [PATH.encode()]
                status, body = (
                    (b"200 OK", self.render()) if is_found else (b"404 Not Found", b"")
                )
                writer.write(
                    b"HTTP/1.1 %b\r\nContent-Type: text/plain; version=0.0.4\r\n"
                    b"Content-Length: %d\r\nConnection: close\r\n\r\n%b"
                    % (status, len(body), body)
                )
                await writer.drain()
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            log.debug("metrics request failed", extra={"reason": repr(error)})
        except asyncio.LimitOverrunError as error:
            log.info("metrics request too long", extra={"reason": str(error)})
        finally:
            writer.close()
