"""Tells other gate hosts how old this host's proof of its configuration is.

See `core.organisations.proof`.
"""

from typing import Protocol

import aiohttp
from aiohttp import web
import attrs

from fireflyspindle.core import json_documents
from fireflyspindle.core import state as state_lib
from fireflyspindle.core.organisations import proof

PATH = "/configuration-proof"


class Gate(Protocol):
    """The part of a gate that the handler uses."""

    state: state_lib.GateState

    def now_us(self) -> int:
        """Returns the monotonic time."""


@attrs.define(frozen=True)
class Answer:
    """The answer of a reader.

    Attributes:
        version: Version in force there, or None.
        age_us: Age of its proof; None if it has none or did not answer.
        unsupported: Whether the reader does not know the path.
    """

    version: int | None = None
    age_us: int | None = None
    unsupported: bool = False


def routes(gate: Gate) -> list[web.RouteDef]:
    """Returns the route that answers other gate hosts."""

    async def answer(_request: web.Request) -> web.Response:
        age_us = proof.age_us(gate.state, gate.now_us())
        return web.json_response(
            {
                "version": gate.state.rule_table.version,
                # Rounded up: a proof must not look newer than it is.
                "age-ms": None if age_us is None else -(-age_us // 1000),
            }
        )

    return [web.get(PATH, answer)]


class ProofClient:
    """Asks readers for their proofs, over connections that stay open."""

    def __init__(self) -> None:
        self._session: aiohttp.ClientSession | None = None

    async def ask(self, reader: str, limit_s: float) -> Answer:
        """Returns the answer of the reader at a control address."""
        if self._session is None:
            self._session = aiohttp.ClientSession(
                cookie_jar=aiohttp.DummyCookieJar(),
                skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding"),
            )
        try:
            async with self._session.get(
                f"http://{reader}{PATH}",
                timeout=aiohttp.ClientTimeout(total=limit_s),
            ) as response:
                if response.status == 404:
                    return Answer(unsupported=True)
                response.raise_for_status()
                content = await response.json()
                version, age_ms = content["version"], content["age-ms"]
                if type(version) is not int or type(age_ms) is not int:
                    return Answer()
                if age_ms < 0:
                    return Answer()
                return Answer(version, age_ms * 1000)
        except (aiohttp.ClientError, OSError, *json_documents.DECODE_ERRORS):
            return Answer()

    async def close(self) -> None:
        """Closes every connection."""
        if self._session is not None:
            await self._session.close()
