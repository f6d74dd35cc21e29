"""The command that runs the demo."""

import asyncio
import json as json_lib
import sys

import attrs

from fireflyspindle import demo as demo_lib
from fireflyspindle.commands import status

MIN_SECONDS = 1.0
MAX_SECONDS = 600.0


def demo(*, seconds: float = 10.0, json: bool = False) -> int:
    """Runs a complete system in this process and checks its guarantees.

    Under load, one target drains, another slows down, a third refuses every
    request immediately, and a gate host is stopped gracefully.

    Args:
        seconds: Duration of the load, from 1 to 600.
        json: Print the results as one line of JSON instead of a table.

    Returns:
        The exit status: 1 if a guarantee was violated.
    """
    if not MIN_SECONDS <= seconds <= MAX_SECONDS:
        print(
            f"--seconds is {seconds:g}; give {MIN_SECONDS:g} to"
            f" {MAX_SECONDS:g}",
            file=sys.stderr,
        )
        return status.USAGE_ERROR
    figures = asyncio.run(demo_lib.run(seconds, _print_progress))
    if json:
        print(json_lib.dumps(attrs.asdict(figures)))
    else:
        _print_table(figures)
    return status.SUCCESS if figures.promises_kept else status.FAILURE


def _print_progress(line: str) -> None:
    print(line, file=sys.stderr, flush=True)


def _print_table(figures: demo_lib.Figures) -> None:
    for name, value in attrs.asdict(figures).items():
        print(f"{name:<16} {value:>10}")
    verdict = "kept" if figures.promises_kept else "BROKEN"
    print(f"{'promises':<16} {verdict:>10}")
