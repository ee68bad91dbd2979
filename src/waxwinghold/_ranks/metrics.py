"""Counters of an agent, read over HTTP as text.

The product's ``Metrics`` and a web framework would double the memory of the many
agents of a fleet; what is served here is one short text.
"""

import asyncio
from collections import Counter

import logbook

log = logbook.Logger("metrics")

PATH = "/metrics"
HEAD_LIMIT_BYTES = 4096  # Of a request; longer ones are no question for metrics.
READ_LIMIT_S = 2.0


class AgentMetrics:
    """Counts events by name.

    Args:
        gauges: Returns numbers of this moment by name.
    """

    def __init__(self, *, gauges):
        self._gauges = gauges
        self._counts = Counter()
        self._server = None

    def count(self, name):
        """Count one event."""
        self._counts[name] += 1

    def render(self):
        """Return all figures in the text format of Prometheus, as bytes."""
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
        """Answer questions at ``http://IP:PORT/metrics`` until closed."""
        self._server = await asyncio.start_server(
            self._answer, ip, port, limit=HEAD_LIMIT_BYTES
        )

    def close(self):
        """Stop serving."""
        if self._server is not None:
            self._server.close()

    async def _answer(self, reader, writer):
        try:
            async with asyncio.timeout(READ_LIMIT_S):
                head = await reader.readuntil(b"\r\n\r\n")
                found = head.split(b" ", 2)[1:2] == [PATH.encode()]
                status, body = (
                    (b"200 OK", self.render()) if found else (b"404 Not Found", b"")
                )
                writer.write(
                    b"HTTP/1.1 %b\r\nContent-Type: text/plain; version=0.0.4\r\n"
                    b"Content-Length: %d\r\nConnection: close\r\n\r\n%b"
                    % (status, len(body), body)
                )
                await writer.drain()
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            log.debug("no question for metrics", extra={"reason": repr(error)})
        except asyncio.LimitOverrunError as error:
            log.info("a question for metrics is too long", extra={"reason": str(error)})
        finally:
            writer.close()
