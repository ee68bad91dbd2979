"""An HTTP client that calls entries as a customer."""

import contextlib
import json
from dataclasses import dataclass

import aiohttp

ANSWER_LIMIT_S = 30


@dataclass(frozen=True, kw_only=True)
class CallAnswer:
    """The answer to a call that is not streamed.

    Args:
        status: HTTP status.
        body: Body of the answer.
        target: Name of the target, from ``Waxwing-Target``.
        ran: Whether the rejected request has run, from ``Waxwing-Ran``.
        code: Error code of a rejection, from ``Waxwing-Error``.
    """

    status: int
    body: bytes
    target: str = ""
    ran: str = ""
    code: str = ""

    @property
    def document(self):
        """The body, decoded from JSON."""
        return json.loads(self.body)


class AnswerStream:
    """A streamed answer that is being received.

    Args:
        response: The ``aiohttp.ClientResponse``.

    Attributes:
        tokens: The tokens received so far.
        length: Number of tokens according to the end event, or ``None`` before
            it. An answer without an end event is incomplete.
        status: HTTP status.
        target: Name of the target on which the answer started.
        error: Code of the error event, or an empty string.
        targets_count: Number of targets that produced the answer; a request
            that moves to another target adds one.
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
        """The received tokens as one string."""
        return "".join(self.tokens)

    @property
    def is_complete(self):
        """Whether the end event and all tokens before it were received."""
        return self.length is not None and self.length == len(self.tokens)

    async def read(self, *, until_count=None):
        """Read to the end, or until ``until_count`` tokens are received."""
        event = ""
        with contextlib.suppress(aiohttp.ClientError):
            async for line in self._lines:
                name, _, value = line.decode().strip().partition(": ")
                if not name:
                    event = ""
                elif name == "event":
                    event = value
                elif name == "data":
                    self._handle_event(event, json.loads(value))
                if until_count is not None and len(self.tokens) >= until_count:
                    return

    def _handle_event(self, event, value):
        if event == "end":
            self.length = value["length"]
        elif event == "error":
            self.error = value["error"]["code"]
        elif event == "request":
            self.targets_count += 1
        elif not event:
            self.tokens.append(value)


class Caller:
    """A program of a customer that calls services.

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
        """Make a call that is not streamed.

        Args:
            entry: The ``Endpoint`` of the entry.
            service: Name of the service.
            call: Name of the call.
            body: JSON body as plain types.
            key: Once-only key, or ``None``.
            version: Version to require, or ``None``.

        Returns:
            The ``CallAnswer``.
        """
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
        """Return a new once-only key for ``service``."""
        url = f"{entry.http_url}/v1/services/{service}/keys"
        async with self._session.post(url, headers=self._headers) as response:
            response.raise_for_status()
            return (await response.json())["key"]

    @contextlib.asynccontextmanager
    async def streaming(self, entry, service, call, body, *, version=None):
        """Make a streamed call and yield its ``AnswerStream``."""
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
