"""A simple relay for comparison: forwards requests to the engines in turn."""

import itertools

import aiohttp
import fire
from aiohttp import web

from waxwinghold._settings import split_ip_port

ENGINES = web.AppKey("engines", itertools.cycle)
SESSION = web.AppKey("session", aiohttp.ClientSession)
UNLIMITED_CONNECTIONS = 0


def serve(*, address, engines):
    """Serve until a SIGTERM arrives.

    Args:
        address: ``IP:PORT`` to listen on.
        engines: URLs of the engines, separated by commas.
    """
    urls = engines.split(",") if isinstance(engines, str) else engines
    app = web.Application()
    app[ENGINES] = itertools.cycle(urls)
    app.cleanup_ctx.append(_session)
    app.router.add_post("/generate", _relay)
    app.router.add_get("/health", _health)
    host, port = split_ip_port(address)
    web.run_app(app, host=host, port=port, print=None, access_log=None)


async def _session(app):
    connector = aiohttp.TCPConnector(limit=UNLIMITED_CONNECTIONS)
    async with aiohttp.ClientSession(connector=connector) as session:
        app[SESSION] = session
        yield


async def _relay(request):
    url = f"{next(request.app[ENGINES])}/generate"
    body = await request.read()
    headers = {"Content-Type": request.content_type}
    async with request.app[SESSION].post(url, data=body, headers=headers) as answer:
        response = web.StreamResponse(status=answer.status)
        response.content_type = answer.content_type
        await response.prepare(request)
        async for chunk in answer.content.iter_any():
            await response.write(chunk)
        await response.write_eof()
        return response


async def _health(request):
    return web.Response()


if __name__ == "__main__":
    fire.Fire(serve)
