"""Once-only keys and request tokens, signed with a message authentication code."""

import base64
import binascii
import hashlib
import hmac
import secrets
from dataclasses import dataclass

import msgspec

from ._errors import WaxwingError

MAC_BYTES = 16
TOKEN_LIMIT_CHARACTERS = 1024
RANDOM_ID_BYTES = 12


class BadTokenError(WaxwingError):
    """A token that is malformed, of the wrong type, or signed by an unknown secret."""

    code = "bad_token"


class OnceKey(msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag=True):
    """A key that allows one target to run a call at most once.

    Fields:
        service: The service that the key was issued for.
        version: The version that the key was issued for.
        target: The target that owns the key; only it may run the call.
        incarnation: The incarnation of the target's agent when the key was issued;
            no other incarnation runs the call.
        customer: The customer that the key was issued to.
        expiry_ms: Wall time when the key expires, by the agent's clock.
        nonce: A random value that distinguishes the keys of one agent.
    """

    service: str
    version: str
    target: str
    incarnation: str
    customer: str
    expiry_ms: int
    nonce: str


class RequestToken(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag=True
):
    """Identifies a request and the agent that runs it, for resume and cancel."""

    service: str
    target: str
    incarnation: str
    customer: str
    request_id: str


_decoder = msgspec.msgpack.Decoder(OnceKey | RequestToken)


def random_id():
    """Return a random identifier that is unique across processes and requests."""
    return secrets.token_hex(RANDOM_ID_BYTES)


def content_digest(*, service, call, body):
    """Return a hexadecimal digest that is equal for requests with equal content.

    Args:
        service: The service's name.
        call: The call's name.
        body: The request's body, bytes.
    """
    hasher = hashlib.sha256()
    for part in (service.encode(), call.encode(), body):
        hasher.update(len(part).to_bytes(8, "big"))
        hasher.update(part)
    return hasher.hexdigest()[:32]


@dataclass(frozen=True, kw_only=True)
class TokenSigner:
    """Signs and verifies once-only keys and request tokens.

    Args:
        secrets: The secrets; the first one signs, all are accepted, for rotation.
    """

    secrets: tuple[str, ...]

    def sign(self, value):
        """Return ``value`` as signed text that is safe in headers and URLs."""
        payload = msgspec.msgpack.encode(value)
        mac = self._mac(self.secrets[0], payload)
        return base64.urlsafe_b64encode(mac + payload).decode().rstrip("=")

    def read(self, text, kind):
        """Verify a signed text and return its value.

        Args:
            text: What ``sign`` returned.
            kind: ``OnceKey`` or ``RequestToken``.

        Raises:
            BadTokenError: The text is malformed, altered, signed by an unknown
                secret or of another type.
        """
        raw = _decode_base64(text)
        mac, payload = raw[:MAC_BYTES], raw[MAC_BYTES:]
        # Compare with every secret: stopping at a match would leak by its timing
        # which secret signed.
        matches = [
            hmac.compare_digest(mac, self._mac(secret, payload))
            for secret in self.secrets
        ]
        if not any(matches):
            raise BadTokenError("the token was not signed by this system")
        try:
            value = _decoder.decode(payload)
        except msgspec.DecodeError as error:
            raise BadTokenError(f"the token cannot be decoded: {error}") from error
        if not isinstance(value, kind):
            raise BadTokenError(f"the token is not a {kind.__name__}")
        return value

    def _mac(self, secret, payload):
        return hmac.digest(secret.encode(), payload, "sha256")[:MAC_BYTES]


def _decode_base64(text):
    if len(text) > TOKEN_LIMIT_CHARACTERS:
        raise BadTokenError("the token is too long")
    try:
        padded = text + "=" * (-len(text) % 4)
        return base64.b64decode(padded.encode("ascii"), altchars=b"-_", validate=True)
    except (UnicodeEncodeError, binascii.Error) as error:
        raise BadTokenError(f"the token is not base64: {error}") from error
