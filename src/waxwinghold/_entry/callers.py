"""Admission of callers' requests: who calls, what, and whether it is allowed."""

import hashlib
import hmac
import random
from dataclasses import dataclass

import msgspec

from .._errors import (
    BadRequestError,
    KeyMismatchError,
    KeyRequiredError,
    MalformedKeyError,
    NoTargetError,
    ServiceNotAllowedError,
    UnknownAdapterError,
    UnknownCallError,
    UnknownCustomerError,
    UnknownServiceError,
    UnknownVersionError,
)
from .._keys import BadTokenError, OnceKey, content_digest, random_id
from .._sheet.model import Call, Customer, Kind, Repeat, Service

PREFIX_BYTES = 256
PREFIX_LENGTH = 16
DEADLINE_MIN_MS = 1
VERDICT_MARGIN_MS = 20
STEPS_DEFAULT_COUNT = 64


@dataclass(frozen=True, kw_only=True)
class CallerHeaders:
    """What a caller says beside the body."""

    customer: str
    authorization: str
    version: str = ""
    adapter: str = ""
    deadline_ms: str = ""
    key: str | None = None
    content_type: str = ""


@dataclass(frozen=True, kw_only=True)
class CallRequest:
    """A caller's request that was let in.

    Args:
        deadline_ms: Monotonic time at which the caller must have its answer.
        key: The once-only key, read; ``key_text`` is it as issued.
        prefix: Digest of the prompt's beginning; empty for a plain call.
        steps_count: Engine steps that the request is expected to take.
    """

    request_id: str
    service: Service
    call: Call
    version: str
    customer: Customer
    body: bytes
    content_type: str
    digest: str
    deadline_ms: float
    adapter: str = ""
    key: OnceKey | None = None
    key_text: str | None = None
    prefix: str = ""
    steps_count: int = 0

    @property
    def priority(self):
        """The call's priority, no more urgent than the customer may have."""
        return max(self.call.priority, self.customer.priority_floor)

    @property
    def idempotent(self):
        """Whether the call may be run more than once."""
        return self.call.repeat == Repeat.IDEMPOTENT


class Admission:
    """Checks callers against the sheet in force.

    Args:
        token_signer: Reads once-only keys.
        rng: Draws versions by their shares.
    """

    def __init__(self, *, clock, token_signer, rng=None):
        self._clock = clock
        self._token_signer = token_signer
        self._rng = rng or random.Random()

    def customer(self, index, headers):
        """Return the customer that the caller proves to be.

        Raises:
            UnknownCustomerError: No such customer, or another token.
        """
        customer = index.customers.get(headers.customer)
        token = headers.authorization.removeprefix("Bearer ")
        given = hashlib.sha256(token.encode(errors="surrogateescape")).hexdigest()
        known = customer.token_sha256 if customer else "-" * len(given)
        if not hmac.compare_digest(given, known.lower()) or customer is None:
            raise UnknownCustomerError()
        return customer

    def service(self, index, customer, name):
        """Return the service if the customer may use it."""
        service = index.services.get(name)
        if service is None:
            raise UnknownServiceError(service=name)
        if name not in customer.services:
            raise ServiceNotAllowedError(customer=customer.name, service=name)
        return service

    def version(self, service, customer, wanted):
        """Return the version that a request goes to.

        A version that the caller names goes first, then the customer's own,
        then a draw by the versions' shares.
        """
        names = [share.version for share in service.versions]
        wanted = wanted or (customer.versions or {}).get(service.name, "")
        if wanted:
            if wanted not in names:
                raise UnknownVersionError(version=wanted, service=service.name)
            return wanted
        weights = [share.share_percent for share in service.versions]
        if not any(weights):
            raise NoTargetError(service=service.name, version="")
        return self._rng.choices(names, weights)[0]

    def check(self, index, *, service_name, call_name, headers):
        """Check everything that needs no body; return customer, service, call."""
        customer = self.customer(index, headers)
        service = self.service(index, customer, service_name)
        call = next((one for one in service.calls if one.name == call_name), None)
        if call is None:
            raise UnknownCallError(call=call_name, service=service_name)
        return customer, service, call

    def admit(self, *, index, customer, service, call, headers, body):
        """Return the ``CallRequest`` of a checked caller.

        Raises:
            RequestError: The key, the version, the deadline or the body is not
                what it must be; nothing has been sent on.
        """
        key = self._key(service, call, customer, headers)
        wanted = key.version if key else headers.version
        version = self.version(service, customer, wanted)
        _check_adapter(index, service, version, headers.adapter)
        document = _prompt_document(service, body)
        prompt = document.get("prompt", "")
        return CallRequest(
            request_id=random_id(),
            service=service,
            call=call,
            version=version,
            customer=customer,
            body=body,
            content_type=headers.content_type,
            digest=content_digest(service=service.name, call=call.name, body=body),
            deadline_ms=self._deadline_ms(call, headers),
            adapter=headers.adapter,
            key=key,
            key_text=headers.key if key else None,
            prefix=prompt_prefix(prompt) if prompt else "",
            steps_count=document.get("max_tokens", STEPS_DEFAULT_COUNT),
        )

    def _deadline_ms(self, call, headers):
        """Return when the request ends, so that its verdict is there in time."""
        wait_ms = _longest_wait_ms(call, headers) - VERDICT_MARGIN_MS
        return self._clock.now_ms() + max(0, wait_ms)

    def _key(self, service, call, customer, headers):
        if call.repeat != Repeat.ONCE:
            return None
        if not headers.key:
            raise KeyRequiredError(call=call.name, service=service.name)
        try:
            key = self._token_signer.read(headers.key, OnceKey)
        except BadTokenError as error:
            raise MalformedKeyError(service=service.name) from error
        if key.customer != customer.name:
            raise KeyMismatchError(what="customer")
        if key.service != service.name:
            raise KeyMismatchError(what="service")
        return key


def prompt_prefix(prompt):
    """Return the digest by which engines name a prompt's cached prefix."""
    return hashlib.sha256(prompt.encode()[:PREFIX_BYTES]).hexdigest()[:PREFIX_LENGTH]


def _check_adapter(index, service, version, adapter):
    if not adapter:
        return
    model = index.models.get(service.model)
    versions = model.versions if model else ()
    known = [one.adapters for one in versions if one.version == version]
    if not known or adapter not in known[0]:
        raise UnknownAdapterError(
            adapter=adapter, service=service.name, version=version
        )


def _prompt_document(service, body):
    """Return the body of a model call; a plain call's body is not read."""
    if service.kind == Kind.PLAIN:
        return {}
    try:
        document = msgspec.json.decode(body, type=dict)
    except (msgspec.DecodeError, RecursionError) as error:
        raise BadRequestError(f"the body is not a JSON object: {error}") from error
    prompt = document.get("prompt")
    if not isinstance(prompt, str) or not prompt:
        raise BadRequestError('key "prompt" of the body: expected a text')
    tokens = document.get("max_tokens", STEPS_DEFAULT_COUNT)
    if not isinstance(tokens, int) or isinstance(tokens, bool) or tokens < 1:
        raise BadRequestError('key "max_tokens" of the body: expected a number above 0')
    return document


def _longest_wait_ms(call, headers):
    if not headers.deadline_ms:
        return call.deadline_ms
    try:
        wanted_ms = int(headers.deadline_ms)
    except ValueError:
        wanted_ms = 0
    if wanted_ms < DEADLINE_MIN_MS:
        raise BadRequestError(
            f'header "Waxwing-Deadline-Ms": expected a number above 0, '
            f'got "{headers.deadline_ms[:32]}"'
        )
    return min(wanted_ms, call.deadline_ms)
