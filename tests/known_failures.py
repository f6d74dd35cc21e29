"""Expected failures: the tests that KNOWN-RED.txt names.

An entry starts at an unindented line; its indented lines belong to it. A line
`  Test: ID` names one test by its whole id; without a parameter in brackets it
names the function with all its parameters. The named tests run as non-strict
expected failures, so that they don't count for the verdict, and are printed
with their entries at the end. An entry whose test doesn't exist fails the run
when the whole suite is collected.
"""

import pathlib
import re

import attrs
import pytest

FILE_NAME = "KNOWN-RED.txt"
_TEST_LINE = re.compile(r"^ *Test: *(.*\S)", re.MULTILINE)
_OUTCOMES = {
    "xfailed": "failed, as expected",
    "xpassed": "passed",
    "failed": "failed",
    "error": "failed outside of its own code",
    "passed": "passed",
    "skipped": "skipped",
}


@attrs.frozen
class Entry:
    """One known fault and the ids of the tests that show it."""

    text: str
    test_ids: tuple[str, ...]


def parse(text: str) -> list[Entry]:
    """Returns the entries of a file of known failures."""
    parts = re.split(r"^(?=\S)", text, flags=re.MULTILINE)
    return [
        Entry(part.rstrip(), tuple(_TEST_LINE.findall(part)))
        for part in parts
        if part.strip()
    ]


def read(path: pathlib.Path) -> list[Entry]:
    """Returns the entries of `path`; none if there is no such file."""
    return parse(path.read_text()) if path.exists() else []


def names(test_id: str, node_id: str) -> bool:
    """Returns whether the id of an entry names the test `node_id`."""
    return test_id in (node_id, node_id.partition("[")[0])


class _MissingTest(pytest.Item):
    """Fails in place of a test that an entry names and nobody finds."""

    def runtest(self):
        pytest.fail(
            f"{FILE_NAME} names {self.name}, which is not a test of the"
            " suite. Correct the entry or delete it.",
            pytrace=False,
        )

    def reportinfo(self):
        return self.path, None, f"{FILE_NAME}: {self.name}"


class Plugin:
    """Marks the named tests and prints their entries after the run."""

    def __init__(self, path: pathlib.Path):
        self._path = path
        self._entries = read(path)

    # First, so that -k and --deselect haven't taken tests away yet.
    @pytest.hookimpl(tryfirst=True)
    def pytest_collection_modifyitems(self, session, config, items):
        """Marks the named tests, and adds a failure for each missing one."""
        collected = list(items)
        for entry in self._entries:
            for test_id in entry.test_ids:
                named = [
                    item for item in collected if names(test_id, item.nodeid)
                ]
                for item in named:
                    reason = f"{FILE_NAME}: {entry.text.splitlines()[0]}"
                    item.add_marker(
                        pytest.mark.xfail(strict=False, reason=reason)
                    )
                if not named and _collects_whole_suite(config):
                    items.append(
                        _MissingTest.from_parent(session, name=test_id)
                    )

    def pytest_terminal_summary(self, terminalreporter):
        """Prints each entry and how its tests ended."""
        if not self._entries:
            return
        outcomes = {
            report.nodeid: outcome
            for key, outcome in _OUTCOMES.items()
            for report in terminalreporter.stats.get(key, ())
        }
        terminalreporter.section(f"{FILE_NAME}: not part of the verdict")
        for entry in self._entries:
            terminalreporter.write_line(entry.text)
            for test_id in entry.test_ids:
                ended = [
                    f"{node_id} {outcome}"
                    for node_id, outcome in sorted(outcomes.items())
                    if names(test_id, node_id)
                ]
                for line in ended or [f"{test_id} not run"]:
                    terminalreporter.write_line(f"  This run: {line}")


def _collects_whole_suite(config) -> bool:
    if config.getoption("ignore") or config.getoption("ignore_glob"):
        return False
    start = config.invocation_params.dir
    roots = [(start / arg).resolve() for arg in config.args]
    wanted = [
        (config.rootpath / path).resolve()
        for path in config.getini("testpaths")
    ]
    return all(
        any(path.is_relative_to(root) for root in roots) for path in wanted
    )
