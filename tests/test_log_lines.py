"""Every log line has a code that docs/OPERATIONS.md explains."""

import ast
import json
import os
import pathlib

from fireflyspindle import logs

ROOT = pathlib.Path(__file__).parents[1]
SOURCES = ROOT / "src" / "fireflyspindle"
# Packages for developers, whose output is not a log.
EXCLUDED_PACKAGES = {"bench", "testing"}
LEVELS = {"info", "warning", "error", "debug", "critical"}


def logging_calls():
    """Yields file name, level and code of each call that writes a line."""
    for path in SOURCES.rglob("*.py"):
        if EXCLUDED_PACKAGES & set(path.relative_to(SOURCES).parts):
            continue
        for node in ast.walk(ast.parse(path.read_text())):
            if not isinstance(node, ast.Call):
                continue
            name = ast.unparse(node.func)
            if name == "effects.WriteLogLine":
                level, code = node.args[:2]
                yield path.name, ast.literal_eval(level), code
            elif name.rpartition(".")[0] == "logs.logger":
                keywords = {
                    keyword.arg: keyword.value for keyword in node.keywords
                }
                yield path.name, name.rpartition(".")[2], keywords.get("code")


def test_every_line_has_a_documented_code():
    documentation = (ROOT / "docs" / "OPERATIONS.md").read_text()
    found = list(logging_calls())
    assert len(found) > 30
    for file_name, level, code in found:
        assert code is not None, f"{file_name}: a line without a code"
        if level == "log":
            # The shell logs `WriteLogLine` effects, yielded above.
            continue
        assert level in LEVELS, f"{file_name}: level {level}"
        assert f"`{ast.literal_eval(code)}`" in documentation, (
            f"{file_name}: OPERATIONS.md does not explain {ast.unparse(code)}"
        )


def test_line_is_one_json_object_with_time_level_message_and_code():
    read_end, write_end = os.pipe()
    with os.fdopen(write_end, "w") as stream:
        handler = logs.set_up_bounded("INFO", stream)
        try:
            logs.logger.warning('a "quoted"\nmessage', code="kind", number=3)
        finally:
            handler.pop_application()
    with os.fdopen(read_end) as output:
        (line,) = output.read().splitlines()
    fields = json.loads(line)
    assert list(fields)[:4] == ["time", "level", "message", "code"]
    assert fields["message"] == 'a "quoted"\nmessage'
    assert (fields["level"], fields["code"], fields["number"]) == (
        "warning",
        "kind",
        3,
    )
