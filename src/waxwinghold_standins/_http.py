"""HTTP server that the stand-ins share; it can be silenced and crashed."""

import abc
import asyncio
import contextlib
import os
import signal

from aiohttp import web

from waxwinghold import Clock
from waxwinghold._keys import random_id
from waxwinghold._settings import split_ip_port

CONTROL_PATH = "/_control/"
BODY_LIMIT_BYTES = 64 * 1024 * 1024
SHUTDOWN_LIMIT_S = 0.2
SILENCE_POLL_MS = 50
CRASH_EXIT_STATUS = 70


class HttpStandIn(abc.ABC):
    """Base class of stand-ins that serve HTTP.

    Subclasses return their routes from ``routes`` and may extend ``start``
    and ``stop``.

    Args:
        clock: Clock of the stand-in; by default the system's.
        exits_on_crash: Whether a crash ends the whole process.

    Attributes:
        incarnation: Differs after each start; each answer names it.
        rejected_count: Requests rejected because of the fault ``pause_ms``.
        url: URL of the server once it was started.
        crashes_count: Number of crashes that did not end the process.
    """

    def __init__(self, *, clock=None, exits_on_crash=False):
        self.clock = clock or Clock()
        self.url = None
        self.incarnation = random_id()
        self.rejected_count = 0
        self.crashes_count = 0
        self._exits_on_crash = exits_on_crash
        self._silenced = set()
        self._runner = None

    @abc.abstractmethod
    def routes(self):
        """Return the aiohttp routes of this stand-in."""

    async def start(self, *, host="127.0.0.1", port=0):
        """Start serving on ``host`` and ``port``; port 0 selects a free port."""
        app = web.Application(
            middlewares=[self._guard], client_max_size=BODY_LIMIT_BYTES
        )
        app.add_routes(self.routes())
        app.on_response_prepare.append(self._add_signals)
        self._runner = web.AppRunner(
            app, access_log=None, shutdown_timeout=SHUTDOWN_LIMIT_S
        )
        await self._runner.setup()
        await web.TCPSite(self._runner, host, port).start()
        address = self._runner.addresses[0]
        self.url = f"http://{address[0]}:{address[1]}"

    async def stop(self):
        """Stop serving and close every connection."""
        runner, self._runner = self._runner, None
        if runner is not None:
            await runner.cleanup()

    @contextlib.asynccontextmanager
    async def serving(self, *, host="127.0.0.1", port=0):
        """Serve during an ``async with`` block; yield the URL."""
        await self.start(host=host, port=port)
        try:
            yield self.url
        finally:
            await self.stop()

    def silence(self):
        """Stop serving the connections that are open now, without closing them.

        Requests to control paths are still answered, and new connections are not
        affected.
        """
        self._silenced.update(self._connections())
        # Closed connections are dropped from the set.
        self._silenced = {
            connection for connection in self._silenced if connection.transport
        }

    async def crash(self):
        """Crash as a killed process does: abort all connections, send nothing more."""
        if self._exits_on_crash:
            os._exit(CRASH_EXIT_STATUS)
        self.crashes_count += 1
        if self._runner is None:
            return
        for site in list(self._runner.sites):
            await site.stop()
        for connection in self._connections():
            if connection.transport is not None:
                connection.transport.abort()

    async def block_while_silenced(self, request):
        """Block while the request's connection is silenced and open.

        Raises:
            ConnectionResetError: The connection was silenced, and the caller has now
                closed it.
        """
        if request.protocol not in self._silenced:
            return
        if request.path.startswith(CONTROL_PATH):
            return
        while is_open(request):
            await self.clock.sleep_ms(SILENCE_POLL_MS)
        raise ConnectionResetError("the silenced connection was closed")

    def current_faults(self):
        """Return the ``TargetFaults``, or ``None`` if the stand-in is no target."""
        return None

    def rejection(self):
        """Return the rejection of a new request, or ``None`` if it may run."""
        faults = self.current_faults()
        if faults.refuse:
            return _rejection("refused by a fault")
        if faults.pause_ms is not None:
            self.rejected_count += 1
            headers = {"Waxwing-Pause-Ms": str(faults.pause_ms)}
            return _rejection("asks for a pause", headers=headers)
        return None

    async def _add_signals(self, request, response):
        faults = self.current_faults()
        if faults is None:
            return
        response.headers["Waxwing-Incarnation"] = self.incarnation
        if faults.leaving:
            response.headers["Waxwing-Leaving"] = "1"
        if faults.limit_per_second is not None:
            response.headers["Waxwing-Limit"] = str(faults.limit_per_second)

    def _connections(self):
        if self._runner is None or self._runner.server is None:
            return []
        return self._runner.server.connections

    @web.middleware
    async def _guard(self, request, handler):
        """Apply silence to a request; abort its connection on a connection error."""
        try:
            await self.block_while_silenced(request)
            response = await handler(request)
            await self.block_while_silenced(request)
        except ConnectionError:
            abort(request)
            return web.Response()
        return response


def _rejection(reason, *, headers=None):
    return web.json_response({"reason": reason}, status=503, headers=headers)


def is_open(request):
    """Return whether the request's connection is open."""
    return request.transport is not None and not request.transport.is_closing()


def abort(request):
    """Abort the request's connection, so that the caller sees an incomplete answer."""
    if request.transport is not None:
        request.transport.abort()


def run_until_ended(standin, address):
    """Serve ``standin`` on ``IP:PORT`` until SIGTERM or SIGINT.

    Prints one line with the URL when it is ready.

    Args:
        standin: The ``HttpStandIn`` to serve.
        address: ``IP:PORT`` to serve on.
    """
    asyncio.run(_serve_until_ended(standin, address))


async def _serve_until_ended(standin, address):
    host, port = split_ip_port(address)
    async with standin.serving(host=host, port=port) as url:
        await report_ready_and_wait(url)


async def report_ready_and_wait(*urls):
    """Print one line, ``ready`` and the URLs, and wait for SIGTERM or SIGINT."""
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop_requested.set)
    print("ready", *urls, flush=True)
    await stop_requested.wait()
