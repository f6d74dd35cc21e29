"""Fingerprints of requests, by which hosts recognize copies of a request.

Copies have the same credentials, method, host name, path, query and body. Their
ids, deadlines and network addresses differ: the load balancer spreads them over
all gate hosts.
"""

import hashlib
import re

from aiohttp import http

DIGEST_BYTES = 16

_FINGERPRINT = re.compile(r"[0-9a-f]{32}")


def compute(message: http.RawRequestMessage, body: bytes) -> str:
    """Returns the fingerprint of a request as hexadecimal digits.

    Args:
        message: Head of the request.
        body: The complete body.
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for text in (
        message.headers.get("Authorization", ""),
        message.method,
        message.headers.get("Host", "").lower(),
        message.path,
    ):
        field = text.encode("utf-8", "surrogateescape")
        digest.update(len(field).to_bytes(4))
        digest.update(field)
    digest.update(body)
    return digest.hexdigest()


def parse(text: str) -> str:
    """Returns a fingerprint that another host stated; "" if it is invalid."""
    return text if _FINGERPRINT.fullmatch(text) else ""
