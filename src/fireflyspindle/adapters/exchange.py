"""One caller's request on its way through a gate host."""

import asyncio

import aiohttp
from aiohttp import web
import attrs

from fireflyspindle.core import effects


@attrs.define(eq=False)
class Exchange:
    """What the shell holds for one call.

    Attributes:
        call_id: Number of the call.
        request_id: Id sent to the target and in log lines.
        request: The caller's request.
        body: The body when it is held whole, otherwise None.
        verdict: Resolves to the decision on the caller's answer.
        answers: Answers of targets whose headers arrived, by attempt.
        tasks: Running attempts by number.
    """

    call_id: int
    request_id: str
    request: web.BaseRequest
    body: bytes | None
    verdict: asyncio.Future[effects.ForwardAnswer | effects.AnswerCaller]
    answers: dict[int, aiohttp.ClientResponse] = attrs.field(factory=dict)
    tasks: dict[int, asyncio.Task[None]] = attrs.field(factory=dict)

    def decide(
        self, verdict: effects.ForwardAnswer | effects.AnswerCaller
    ) -> None:
        """Hands the decision to the caller's task, if it still waits."""
        if not self.verdict.done():
            self.verdict.set_result(verdict)

    def drop_answer(self, attempt: int) -> None:
        """Closes the connection of an answer that nobody wants."""
        answer = self.answers.pop(attempt, None)
        if answer is not None:
            answer.close()
