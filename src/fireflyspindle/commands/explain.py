"""The command that explains a request's outcome from log lines."""

from collections.abc import Iterable, Iterator
import json
import pathlib
import sys
from typing import Any, TextIO

import attrs

from fireflyspindle.commands import status


@attrs.define(frozen=True)
class LogLine:
    """One log line.

    Attributes:
        source: File name, and any text before the JSON.
        fields: The line's fields.
    """

    source: str
    fields: dict[str, Any]


def explain(request_id: str, *files: pathlib.Path) -> int:
    """Explains the outcome of a request from the logs of gate hosts.

    Args:
        request_id: Id of the request.
        files: Log files of any number of gate hosts; standard input if none
            is given.

    Returns:
        The exit status: 1 if no log line refers to the request.
    """
    lines = list(_read_files(files))
    calls = _lines_of_request(lines, request_id, "call")
    undelivered = _lines_of_request(lines, request_id, "answer_undelivered")
    if not calls and not undelivered:
        print(
            f"no log line refers to request {request_id!r}; calls answered"
            " in time by their first target are not logged",
            file=sys.stderr,
        )
        return status.FAILURE
    for call in calls:
        for text in format_call(call, lines):
            print(text)
    for line in undelivered:
        fields = line.fields
        print(
            f"{fields['time']} {line.source}: the response to request"
            f" {request_id} was ready, but the caller disconnected while"
            f" request {fields['behind']}, sent earlier on the same"
            " connection, was still unanswered"
        )
    return status.SUCCESS


def _read_files(files: tuple[pathlib.Path, ...]) -> Iterator[LogLine]:
    if not files:
        yield from parse_lines(sys.stdin, "")
    for path in files:
        with path.open(encoding="utf-8", errors="replace") as stream:
            yield from parse_lines(stream, path.name)


def parse_lines(
    stream: TextIO | Iterable[str], source: str
) -> Iterator[LogLine]:
    """Yields the log lines of a stream, with the text before their JSON."""
    for text in stream:
        prefix, brace, rest = text.partition("{")
        if not brace:
            continue
        try:
            fields = json.loads(brace + rest)
        except ValueError:
            continue
        yield LogLine(f"{source} {prefix}".strip(), fields)


def _lines_of_request(
    lines: list[LogLine], request_id: str, code: str
) -> list[LogLine]:
    """Returns the lines with a code that refer to a request."""
    return [
        line
        for line in lines
        if line.fields.get("code") == code
        and line.fields.get("request_id") == request_id
    ]


def format_call(call: LogLine, lines: list[LogLine]) -> Iterator[str]:
    """Yields the steps of a call and the state of its targets as logged."""
    fields = call.fields
    configuration = ""
    if fields.get("configuration_version"):
        configuration = f", by version {fields['configuration_version']}"
        if fields.get("configuration_unproven"):
            configuration += " (perhaps not the newest)"
    yield (
        f"{fields['time']} {call.source}: request {fields['request_id']} on"
        f" route {fields.get('route')!r} ended {fields['outcome']}"
        f"{' late' if fields.get('late') else ''} after"
        f" {fields['total_us'] / 1000:.0f} ms and {fields['attempts']} sends"
        f"{configuration}"
    )
    targets = set()
    for step in fields.get("steps", ()):
        inputs = {
            name: value
            for name, value in step.items()
            if name not in ("ms", "what")
        }
        targets.add(step.get("target"))
        formatted = ", ".join(
            f"{name} {value}" for name, value in inputs.items()
        )
        yield f"  {step['ms']:>8.1f} ms  {step['what']:<12} {formatted}"
    if fields.get("steps_left_out"):
        yield f"  {fields['steps_left_out']} more steps were not recorded"
    if fields.get("fingerprint"):
        # Lines on crashes name the requests that were in progress.
        targets.add(fields["fingerprint"])
    for line in _related_lines(call, lines, targets - {None}):
        yield f"  {line.fields['time']}  believed: {line.fields['message']}"


def _related_lines(
    call: LogLine, lines: list[LogLine], targets: set[str | None]
) -> Iterator[LogLine]:
    """Yields earlier lines of the host on the call's targets or the store."""
    ended_at = call.fields["time"]
    for line in lines:
        if line.fields.get("code") == "call" or not _same_host(call, line):
            continue
        if line.fields.get("time", "") > ended_at:
            continue
        message = str(line.fields.get("message", ""))
        names_target = any(target and target in message for target in targets)
        if names_target or line.fields.get("code") in (
            "store_lost",
            "store_regained",
            "targets_lost",
            "targets_regained",
            "key_proof_lost",
            "key_proof_regained",
            "configuration_unproven",
            "configuration_proven",
            "calls_held",
        ):
            yield line


def _same_host(call: LogLine, line: LogLine) -> bool:
    # A test bench prefixes each line with the time and the host's name.
    return call.source.split(" ")[-1:] == line.source.split(" ")[-1:]
