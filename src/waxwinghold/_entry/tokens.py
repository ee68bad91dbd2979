"""Reading of the request tokens that callers send."""

from .._errors import KeyMismatchError, UnknownRequestError
from .._keys import BadTokenError, RequestToken


def read_token(process, text, customer):
    """Return the ``RequestToken`` in ``text`` after checking its customer.

    Raises:
        UnknownRequestError: The token is invalid or not issued by this system.
        KeyMismatchError: It was issued to another customer.
    """
    try:
        token = process.token_signer.read(text, RequestToken)
    except BadTokenError as error:
        raise UnknownRequestError(f"no such request: {error}") from error
    if token.customer != customer.name:
        raise KeyMismatchError(what="customer")
    return token
