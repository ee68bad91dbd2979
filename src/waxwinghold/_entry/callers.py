"""Authentication and admission of callers' requests."""

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
DIGEST_LENGTH = 16
DEADLINE_MIN_MS = 1
VERDICT_MARGIN_MS = 20
STEPS_DEFAULT_COUNT = 64
STEPS_LIMIT_COUNT = 10**9  # Far above any answer; JSON allows what no float can hold.


@dataclass(frozen=True, kw_only=True)
class CallerHeaders:
    """The headers of a caller's request that the entry uses."""

    customer: str
    authorization: str
    version: str = ""
    adapter: str = ""
    deadline_ms: str = ""
    key: str | None = None
    content_type: str = ""


@dataclass(frozen=True, kw_only=True)
class CallRequest:
    """An admitted request of a caller.

    Args:
        request_id: Identifies the request.
        digest: Digest of the service, the call and the body.
        deadline_ms: Monotonic time by which the caller must have its answer,
            in milliseconds.
        key: The decoded once-only key, or ``None``.
        key_text: The once-only key as issued, or ``None``.
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
        """The call's priority, limited by the customer's ``priority_floor``."""
        return max(self.call.priority, self.customer.priority_floor)

    @property
    def idempotent(self):
        """Whether the call may be run more than once."""
        return self.call.repeat == Repeat.IDEMPOTENT


class Admission:
    """Checks callers' requests against the current sheet.

    Args:
        token_signer: Verifies and decodes once-only keys.
        rng: Source of the random choice among versions.
    """

    def __init__(self, *, clock, token_signer, rng=None):
        self._clock = clock
        self._token_signer = token_signer
        self._rng = rng or random.Random()

    def customer(self, index, headers):
        """Return the customer that the caller authenticates as.

        Raises:
            UnknownCustomerError: No such customer, or the token is wrong.
        """
        customer = index.customers.get(headers.customer)
        token = headers.authorization.removeprefix("Bearer ")
        given_digest = hashlib.sha256(
            token.encode(errors="surrogateescape")
        ).hexdigest()
        expected_digest = customer.token_sha256 if customer else "-" * len(given_digest)
        if (
            not hmac.compare_digest(given_digest, expected_digest.lower())
            or customer is None
        ):
            raise UnknownCustomerError()
        return customer

    def service(self, index, customer, name):
        """Return the service named ``name``, if the customer may use it.

        Raises:
            UnknownServiceError: No such service.
            ServiceNotAllowedError: The customer may not use it.
        """
        service = index.services.get(name)
        if service is None:
            raise UnknownServiceError(service=name)
        if name not in customer.services:
            raise ServiceNotAllowedError(customer=customer.name, service=name)
        return service

    def version(self, service, customer, requested):
        """Return the version that a request goes to.

        The version that the caller requests takes precedence, then the one that
        the sheet sets for the customer. Otherwise a version is drawn at random,
        weighted by the versions' shares.

        Raises:
            UnknownVersionError: The service does not offer the version.
            NoTargetError: No version of the service has a share.
        """
        names = [share.version for share in service.versions]
        requested = requested or (customer.versions or {}).get(service.name, "")
        if requested:
            if requested not in names:
                raise UnknownVersionError(version=requested, service=service.name)
            return requested
        weights = [share.share_percent for share in service.versions]
        if not any(weights):
            raise NoTargetError(service=service.name, version="")
        return self._rng.choices(names, weights)[0]

    def check(self, index, *, service_name, call_name, headers):
        """Check what does not need the body; return the customer, service and call."""
        customer = self.customer(index, headers)
        service = self.service(index, customer, service_name)
        call = next((item for item in service.calls if item.name == call_name), None)
        if call is None:
            raise UnknownCallError(call=call_name, service=service_name)
        return customer, service, call

    def admit(self, *, index, customer, service, call, headers, body):
        """Return the ``CallRequest`` of a caller that passed ``check``.

        Raises:
            RequestError: The key, the version, the adapter, the deadline or
                the body is invalid.
        """
        key = self._key(service, call, customer, headers)
        requested = key.version if key else headers.version
        version = self.version(service, customer, requested)
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
        """Return the request's deadline, early enough for its verdict to arrive."""
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
    """Return the digest by which engines identify a prompt's cached prefix."""
    return hashlib.sha256(prompt.encode()[:PREFIX_BYTES]).hexdigest()[:DIGEST_LENGTH]


def _check_adapter(index, service, version, adapter):
    if not adapter:
        return
    model = index.models.get(service.model)
    versions = model.versions if model else ()
    adapters = [item.adapters for item in versions if item.version == version]
    if not adapters or adapter not in adapters[0]:
        raise UnknownAdapterError(
            adapter=adapter, service=service.name, version=version
        )


def _prompt_document(service, body):
    """Return the decoded body of a model call; ``{}`` for a plain service."""
    if service.kind == Kind.PLAIN:
        return {}
    try:
        document = msgspec.json.decode(body, type=dict)
    except (msgspec.DecodeError, RecursionError) as error:
        raise BadRequestError(f"the body is not a JSON object: {error}") from error
    prompt = document.get("prompt")
    if not isinstance(prompt, str) or not prompt:
        raise BadRequestError('key "prompt" of the body: expected a non-empty string')
    tokens = document.get("max_tokens", STEPS_DEFAULT_COUNT)
    is_number = isinstance(tokens, int) and not isinstance(tokens, bool)
    if not is_number or not 0 < tokens <= STEPS_LIMIT_COUNT:
        raise BadRequestError(
            'key "max_tokens" of the body: expected a number above 0 and at most '
            f"{STEPS_LIMIT_COUNT}"
        )
    return document


def _longest_wait_ms(call, headers):
    if not headers.deadline_ms:
        return call.deadline_ms
    try:
        requested_ms = int(headers.deadline_ms)
    except ValueError:
        requested_ms = 0
    if requested_ms < DEADLINE_MIN_MS:
        raise BadRequestError(
            f'header "Waxwing-Deadline-Ms": expected a number above 0, '
            f'got "{headers.deadline_ms[:32]}"'
        )
    return min(requested_ms, call.deadline_ms)
