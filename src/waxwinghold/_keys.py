"""Once-only keys and request tokens: typed values that carry a MAC."""

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
RANDOM_NAME_BYTES = 12


class BadTokenError(WaxwingError):
    """A token that no accepted secret signed, or of another kind."""

    code = "bad_token"


class OnceKey(msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag=True):
    """Names the one place that may run a call.

    Fields:
        incarnation: The agent's incarnation; no other one runs the key.
        expiry_ms: The end of its use, by that agent's clock.
        nonce: Tells the keys of one agent apart.
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
    """Names a request and the agent that runs it, for resume and cancel."""

    service: str
    target: str
    incarnation: str
    customer: str
    request_id: str


_decoder = msgspec.msgpack.Decoder(OnceKey | RequestToken)


def random_id():
    """Return a random name that no two processes or requests share."""
    return secrets.token_hex(RANDOM_NAME_BYTES)


def content_digest(*, service, call, body):
    """Return the name of a request's content; equal contents have equal names."""
    hasher = hashlib.sha256()
    for part in (service.encode(), call.encode(), body):
        hasher.update(len(part).to_bytes(8, "big"))
        hasher.update(part)
    return hasher.hexdigest()[:32]


@dataclass(frozen=True, kw_only=True)
class TokenSigner:
    """Signs and reads keys and tokens.

    Args:
        secrets: The first one signs; all are accepted, for rotation.
    """

    secrets: tuple[str, ...]

    def sign(self, value):
        """Return ``value`` as a text that can be put in a header or an URL."""
        payload = msgspec.msgpack.encode(value)
        mac = self._mac(self.secrets[0], payload)
        return base64.urlsafe_b64encode(mac + payload).decode().rstrip("=")

    def read(self, text, kind):
        """Return the value of a signed text.

        Args:
            text: What ``sign`` returned.
            kind: ``OnceKey`` or ``RequestToken``.

        Raises:
            BadTokenError: The text is malformed, altered, signed by an unknown
                secret or of another kind.
        """
        raw = _decode_base64(text)
        mac, payload = raw[:MAC_BYTES], raw[MAC_BYTES:]
        # Compare against every secret, so that the time taken tells nothing.
        matches = [
            hmac.compare_digest(mac, self._mac(s, payload)) for s in self.secrets
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
