"""Callers that send requests over keep-alive connections, each in a task of its own."""

import asyncio
import itertools
import random

import aiohttp

from .checker import CALL_LIMIT_S, DISTURBANCE_EXCUSE_S, Call

HOST_HEADER = "shop.example"
KINDS = ("safe", "unsafe", "stream", "once")
METHODS = {"unsafe": "POST", "once": "POST"}
CALLER_LIMIT_S = 6.0


class Caller:
    """Sends requests to one gateway, one after another, over a keep-alive connection.

    Args:
        program: The ``Program`` of that gateway.
        operator: The ``Operator``, for the keys in use and the configuration that
            was acknowledged last.
        checker: The ``GuaranteeChecker`` that gets every finished call.
        seed: Seed of the requests and of the pauses between them.
    """

    _numbers = itertools.count(1)

    def __init__(self, *, program, operator, checker, seed):
        self._program = program
        self._operator = operator
        self._checker = checker
        self._random = random.Random(seed)

    async def run(self):
        """Send requests until cancelled."""
        connector = aiohttp.TCPConnector(limit=1, keepalive_timeout=30)
        timeout = aiohttp.ClientTimeout(total=CALLER_LIMIT_S)
        async with aiohttp.ClientSession(
            connector=connector, timeout=timeout, auto_decompress=False
        ) as session:
            while True:
                await asyncio.sleep(self._random.uniform(0.02, 0.12))
                if self._program.running:
                    await self._call(session, self._next_call())

    def _next_call(self):
        number = next(self._numbers)
        kind = self._random.choice(KINDS)
        version = None
        if self._random.random() < 0.15:
            kind, version = "safe", self._operator.version
        path = f"/v{version}/{number}" if version else f"/{kind}/{number}"
        return Call(
            request_id=f"r-{number}",
            kind=kind,
            path=path,
            key=self._random.choice(self._operator.keys_in_use),
            gateway=self._program,
            incarnation=self._program.starts_count,
            sent_at=asyncio.get_running_loop().time(),
            version=version,
        )

    async def _call(self, session, call):
        ip, port = self._program.settings["callers_address"].split(":")
        headers = {
            "Host": HOST_HEADER,
            "Attempt-Id": call.request_id,
            "Credential": call.key,
            "Deadline-Ms": str(int(CALL_LIMIT_S * 1000)),
        }
        method = METHODS.get(call.kind, "GET")
        url = f"http://{ip}:{port}{call.path}"
        loop = asyncio.get_running_loop()
        try:
            async with session.request(method, url, headers=headers) as answer:
                call.status = answer.status
                seal = answer.headers.get("Server-Seal", "")
                call.sealed = bool(seal)
                if "Server-Leaving" in answer.headers:
                    call.leaving_worker = seal.partition(".")[2]
                call.body = await answer.read()
                call.complete = True
        except (aiohttp.ClientConnectorError, TimeoutError):
            # Either no connection was established, or the caller timed out.
            call.is_excused = True
        except aiohttp.ClientError:
            call.complete = False
        call.ended_at = loop.time()
        program = self._program
        is_same = not program.paused and program.starts_count == call.incarnation
        calm_until = call.sent_at - DISTURBANCE_EXCUSE_S
        call.undisturbed = is_same and program.disturbed_at < calm_until
        call.links_calm = self._checker.timeline.link_fault_until < call.sent_at
        call.unharmed = is_same and program.unplanned_at < calm_until
        self._checker.check_call(call)
