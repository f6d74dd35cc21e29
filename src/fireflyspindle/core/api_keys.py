"""Digests of API keys, which hosts keep in place of the keys themselves."""

import hashlib

DIGEST_BYTES = 16


def digest(key: str) -> str:
    """Returns the hex digest of an API key.

    Lookups compare digests, so that their duration tells nothing about a key.
    """
    encoded = key.encode("utf-8", "surrogateescape")
    return hashlib.blake2b(encoded, digest_size=DIGEST_BYTES).hexdigest()
