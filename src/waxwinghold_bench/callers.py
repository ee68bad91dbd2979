"""A caller of the system, over HTTP."""

import contextlib
import json
from dataclasses import dataclass

import aiohttp

ANSWER_LIMIT_S = 30


@dataclass(frozen=True, kw_only=True)
class CallAnswer:
    """The answer to a call that is not streamed.

    Args:
        ran: What a refusal says of the request, as in ``Waxwing-Ran``.
        code: The error code of a refusal.
    """

    status: int
    body: bytes
    target: str = ""
    ran: str = ""
    code: str = ""

    @property
    def document(self):
        """The body, read as JSON."""
        return json.loads(self.body)


class AnswerStream:
    """A streamed answer while it arrives.

    Attributes:
        tokens: What has arrived.
        length: The length that the end event named, or ``None``: an answer
            without one is not whole.
        target: The target that the answer began on.
        error: The code of the error event, or an empty text.
        targets_count: How many targets the answer came from, one after another.
    """

    def __init__(self, *, response):
        self._response = response
        self._lines = aiter(response.content)
        self.tokens = []
        self.length = None
        self.status = response.status
        self.error = ""
        self.targets_count = 1
        self.target = response.headers.get("Waxwing-Target", "")

    @property
    def text(self):
        """What has arrived, joined."""
        return "".join(self.tokens)

    @property
    def is_complete(self):
        """Whether the end came and nothing is missing before it."""
        return self.length is not None and self.length == len(self.tokens)

    async def read(self, *, until_count=None):
        """Read to the end, or until ``until_count`` tokens have arrived."""
        event = ""
        with contextlib.suppress(aiohttp.ClientError):
            async for line in self._lines:
                name, _, value = line.decode().strip().partition(": ")
                if not name:
                    event = ""
                elif name == "event":
                    event = value
                elif name == "data":
                    self._take(event, json.loads(value))
                if until_count is not None and len(self.tokens) >= until_count:
                    return

    def _take(self, event, value):
        if event == "end":
            self.length = value["length"]
        elif event == "error":
            self.error = value["error"]["code"]
        elif event == "request":
            self.targets_count += 1
        elif not event:
            self.tokens.append(value)


class Caller:
    """A customer's program.

    Args:
        session: The ``aiohttp.ClientSession`` to call with.
        customer: The customer's name.
        token: The customer's bearer token.
    """

    def __init__(self, *, session, customer, token):
        self._session = session
        self._headers = {
            "Waxwing-Customer": customer,
            "Authorization": f"Bearer {token}",
        }

    async def call(self, entry, service, call, body, *, key=None, version=None):
        """Make a call through ``entry``, an ``Endpoint``, and return its answer."""
        url = f"{entry.http_url}/v1/services/{service}/calls/{call}"
        headers = self._call_headers(key=key, version=version)
        async with self._session.post(url, json=body, headers=headers) as response:
            return CallAnswer(
                status=response.status,
                body=await response.read(),
                target=response.headers.get("Waxwing-Target", ""),
                ran=response.headers.get("Waxwing-Ran", ""),
                code=response.headers.get("Waxwing-Error", ""),
            )

    async def issue_key(self, entry, service):
        """Return a once-only key."""
        url = f"{entry.http_url}/v1/services/{service}/keys"
        async with self._session.post(url, headers=self._headers) as response:
            response.raise_for_status()
            return (await response.json())["key"]

    @contextlib.asynccontextmanager
    async def streaming(self, entry, service, call, body, *, version=None):
        """Make a streamed call; gives its ``AnswerStream``."""
        url = f"{entry.http_url}/v1/services/{service}/calls/{call}"
        headers = self._call_headers(version=version)
        timeout = aiohttp.ClientTimeout(total=ANSWER_LIMIT_S)
        async with self._session.post(
            url, json=body, headers=headers, timeout=timeout
        ) as response:
            yield AnswerStream(response=response)

    def _call_headers(self, *, key=None, version=None):
        headers = dict(self._headers)
        if key:
            headers["Idempotency-Key"] = key
        if version:
            headers["Waxwing-Version"] = version
        return headers
