"""The command that tells a request's story from log lines."""

from collections.abc import Iterable, Iterator
import json
import pathlib
import sys
from typing import Any, TextIO

import attrs

from fireflyspindle.commands import status


@attrs.define(frozen=True)
class Line:
    """One log line.

    Attributes:
        source: Where the line stands: a file, or what came before its JSON.
        fields: The line's fields.
    """

    source: str
    fields: dict[str, Any]


def explain(request_id: str, *files: pathlib.Path) -> int:
    """Tells what became of a request, and why, from gate hosts' logs.

    Args:
        request_id: Id of the request.
        files: Files with log lines of any number of gate hosts; standard
            input without any.

    Returns:
        The exit status: 1 if no line names the request.
    """
    lines = list(_read_all(files))
    calls = _of_request(lines, request_id, "call")
    undelivered = _of_request(lines, request_id, "answer_undelivered")
    if not calls and not undelivered:
        print(
            f"no line names request {request_id!r}; calls that were answered"
            " in time by their first target leave none",
            file=sys.stderr,
        )
        return status.FAILURE
    for call in calls:
        for text in story(call, lines):
            print(text)
    for line in undelivered:
        fields = line.fields
        print(
            f"{fields['time']} {line.source}: the answer to request"
            f" {request_id} was ready; the caller left while request"
            f" {fields['behind']}, sent before it on the same connection, was"
            " not answered"
        )
    return status.SUCCESS


def _read_all(files: tuple[pathlib.Path, ...]) -> Iterator[Line]:
    if not files:
        yield from read(sys.stdin, "")
    for path in files:
        with path.open(encoding="utf-8", errors="replace") as stream:
            yield from read(stream, path.name)


def read(stream: TextIO | Iterable[str], source: str) -> Iterator[Line]:
    """Yields the log lines of a stream; text before the JSON is kept."""
    for text in stream:
        before, brace, rest = text.partition("{")
        if not brace:
            continue
        try:
            fields = json.loads(brace + rest)
        except ValueError:
            continue
        yield Line(f"{source} {before}".strip(), fields)


def _of_request(lines: list[Line], request_id: str, code: str) -> list[Line]:
    """Returns the lines of one kind that name a request."""
    return [
        line
        for line in lines
        if line.fields.get("code") == code
        and line.fields.get("request_id") == request_id
    ]


def story(call: Line, lines: list[Line]) -> Iterator[str]:
    """Yields the story of a call, and what its host believed of its targets."""
    fields = call.fields
    yield (
        f"{fields['time']} {call.source}: request {fields['request_id']} on"
        f" route {fields.get('route')!r} ended {fields['outcome']}"
        f"{' late' if fields.get('late') else ''} after"
        f" {fields['total_us'] / 1000:.0f} ms and {fields['attempts']} sends"
    )
    targets = set()
    for step in fields.get("steps", ()):
        inputs = {
            name: value
            for name, value in step.items()
            if name not in ("ms", "what")
        }
        targets.add(step.get("target"))
        shown = ", ".join(f"{name} {value}" for name, value in inputs.items())
        yield f"  {step['ms']:>8.1f} ms  {step['what']:<12} {shown}"
    if fields.get("steps_left_out"):
        yield f"  {fields['steps_left_out']} more steps were not kept"
    for line in _context(call, lines, targets - {None}):
        yield f"  {line.fields['time']}  believed: {line.fields['message']}"


def _context(
    call: Line, lines: list[Line], targets: set[str | None]
) -> Iterator[Line]:
    """Yields earlier lines of the same host that name one of the targets."""
    end = call.fields["time"]
    for line in lines:
        if line.fields.get("code") == "call" or not _same_host(call, line):
            continue
        if line.fields.get("time", "") > end:
            continue
        message = str(line.fields.get("message", ""))
        known = any(target and target in message for target in targets)
        if known or line.fields.get("code") in ("store_lost", "store_regained"):
            yield line


def _same_host(call: Line, line: Line) -> bool:
    # A bench puts the time and the host's name before each line.
    return call.source.split(" ")[-1:] == line.source.split(" ")[-1:]
