"""The text that a stand-in engine generates, as a pure function."""

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
    """Return the token at ``index`` of the answer to ``prompt``.

    It depends on nothing else, so that an answer which moves between engines
    of one version stays the same.
    """
    seed = f"{version}\0{index}\0{prompt}".encode()
    digest = hashlib.blake2b(seed, digest_size=4).digest()
    return f"{_WORDS[digest[0] % len(_WORDS)]}-{digest.hex()} "


def whole_text(prompt, version, length):
    """Return the whole answer of ``length`` tokens as one text."""
    return "".join(token_text(prompt, version, index) for index in range(length))


def prefix_digest(prompt):
    """Return the digest that names the prompt's prefix in caches and events."""
    head = prompt.encode()[:PREFIX_BYTES]
    return hashlib.sha256(head).hexdigest()[:PREFIX_DIGITS_COUNT]
