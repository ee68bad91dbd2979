"""The text that a stand-in engine generates, as pure functions of the request."""

import hashlib

PREFIX_BYTES = 256
PREFIX_DIGITS_COUNT = 16
_WORDS = (
    "jacket",
    "sleeve",
    "warm",
    "layer",
    "glove",
    "thread",
    "counsel",
    "draft",
    "notice",
    "letter",
    "archive",
    "reply",
    "size",
    "medium",
    "boot",
    "lining",
)


def token_text(prompt, version, index):
    """Return one token of the answer to ``prompt``.

    It depends only on the arguments, so that an answer that moves to another engine
    with the same model version stays the same.

    Args:
        prompt: The text to answer.
        version: The model version.
        index: Index of the token in the answer.
    """
    seed = f"{version}\0{index}\0{prompt}".encode()
    digest = hashlib.blake2b(seed, digest_size=4).digest()
    return f"{_WORDS[digest[0] % len(_WORDS)]}-{digest.hex()} "


def whole_text(prompt, version, length):
    """Return the whole answer of ``length`` tokens as one string."""
    return "".join(token_text(prompt, version, index) for index in range(length))


def prefix_digest(prompt):
    """Return the digest that identifies the prompt's prefix in caches and events."""
    prefix = prompt.encode()[:PREFIX_BYTES]
    return hashlib.sha256(prefix).hexdigest()[:PREFIX_DIGITS_COUNT]
