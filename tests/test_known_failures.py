"""Tests of the expected failures that KNOWN-RED.txt names."""

import pathlib

import pytest

import known_failures

pytest_plugins = "pytester"

_ENTRIES = """\
The first fault (issue 1).
  Test: tests/test_some.py::test_red
  Command: pytest; no seed.
The second fault (issue 2).
  Test: tests/test_some.py::test_green_at_times
  Seen: a line that says Test: nothing.
"""
_MISSING = "KNOWN-RED.txt names tests/test_some.py::test_gone"
_CONFTEST = """\
import sys
sys.path.insert(0, {tests_dir!r})
import known_failures

def pytest_configure(config):
    path = config.rootpath / known_failures.FILE_NAME
    config.pluginmanager.register(known_failures.Plugin(path))
"""
_TESTS = """\
def test_red():
    assert False

def test_red_too():
    assert {other}

def test_green_at_times():
    pass
"""


@pytest.fixture
def project(pytester):
    """A project with a file of known failures, whose tests all pass else."""
    tests_dir = pathlib.Path(known_failures.__file__).parent
    pytester.makepyprojecttoml(
        '[tool.pytest.ini_options]\ntestpaths = ["tests"]\n'
        'asyncio_default_fixture_loop_scope = "function"\n'
        'addopts = "-q -p no:cacheprovider"\n'
    )
    files = {
        known_failures.FILE_NAME: _ENTRIES,
        "tests/conftest.py": _CONFTEST.format(tests_dir=str(tests_dir)),
        "tests/test_some.py": _TESTS.format(other=True),
    }
    pytester.mkdir("tests")
    for name, text in files.items():
        (pytester.path / name).write_text(text)
    return pytester


@pytest.fixture
def misnamed(project):
    """The same project with an entry whose test doesn't exist."""
    path = project.path / known_failures.FILE_NAME
    path.write_text(_ENTRIES.replace("::test_red", "::test_gone"))
    return project


@pytest.fixture(params=[(), ("-n", "2")], ids=["alone", "xdist"])
def run(request, project):
    """Runs the project's tests, in one process and in several."""

    def run_with(*args):
        return project.runpytest_inprocess(*request.param, *args)

    return run_with


def test_entries_are_read_with_the_ids_of_their_tests():
    first, second = known_failures.parse(_ENTRIES)
    assert first.test_ids == ("tests/test_some.py::test_red",)
    assert first.text.startswith("The first fault")
    assert first.text.endswith("no seed.")
    assert second.test_ids == ("tests/test_some.py::test_green_at_times",)


def test_no_file_names_no_test(tmp_path):
    assert known_failures.read(tmp_path / "none") == []


@pytest.mark.parametrize(
    ("node_id", "named"),
    [
        ("t.py::test_x", True),
        ("t.py::test_x[1]", True),
        ("t.py::test_xy", False),
    ],
)
def test_an_id_names_a_function_with_all_its_parameters(node_id, named):
    assert known_failures.names("t.py::test_x", node_id) is named
    assert known_failures.names(node_id, node_id)
    assert not known_failures.names("t.py::test_x[2]", node_id)


def test_named_tests_run_but_do_not_count_and_are_printed(run):
    result = run()
    assert result.ret == pytest.ExitCode.OK
    output = result.stdout.str()
    assert "1 passed, 1 xfailed, 1 xpassed" in output.splitlines()[-1]
    assert all(line in output for line in _ENTRIES.splitlines())
    assert "test_red failed, as expected" in output
    assert "test_green_at_times passed" in output


def test_a_test_whose_name_only_begins_alike_counts(project, run):
    path = project.path / "tests/test_some.py"
    path.write_text(_TESTS.format(other=False))
    result = run()
    assert result.ret == pytest.ExitCode.TESTS_FAILED
    assert "1 failed, 1 xfailed, 1 xpassed" in result.stdout.str()


def test_an_entry_without_its_test_fails_a_run_of_the_whole_suite(
    misnamed, run
):
    result = run()
    assert result.ret == pytest.ExitCode.TESTS_FAILED
    assert _MISSING in result.stdout.str()


@pytest.mark.parametrize(
    ("argument", "fails"),
    [("tests", True), (".", True), ("tests/test_some.py::test_red_too", False)],
)
def test_only_runs_of_the_whole_suite_look_for_every_test(
    misnamed, argument, fails
):
    result = misnamed.runpytest_inprocess(argument)
    assert (result.ret == pytest.ExitCode.TESTS_FAILED) is fails
    assert (_MISSING in result.stdout.str()) is fails
