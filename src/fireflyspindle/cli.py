"""The command line."""

import asyncio
import json
import pathlib
import signal
import sys

import defopt
import result

from fireflyspindle import demo as demo_lib
from fireflyspindle import gate as gate_lib
from fireflyspindle import logs
from fireflyspindle import settings as settings_lib
from fireflyspindle.bench import commands as bench_commands


def gate(*, settings: pathlib.Path) -> int:
    """Runs a gate host until it is told to stop.

    Args:
        settings: TOML file with the settings.

    Returns:
        The exit status.
    """
    match settings_lib.load(settings):
        case result.Err(errors):
            for error in errors:
                print(f"{settings}: {error}", file=sys.stderr)
            return 2
        case result.Ok(loaded):
            logs.set_up(loaded.logging.level)
            asyncio.run(_run_gate(loaded))
    return 0


async def _run_gate(settings: settings_lib.Settings) -> None:
    running = gate_lib.Gate(settings)
    await running.start()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, running.request_stop)
    await running.wait_closed()


def demo(*, seconds: float = 10.0, json_output: bool = False) -> int:
    """Runs a whole system in this process and checks its promises.

    Args:
        seconds: How long load is sent.
        json_output: End with one line of JSON.

    Returns:
        The exit status: 1 when a promise was broken.
    """
    figures = asyncio.run(demo_lib.run(seconds))
    print(json.dumps(figures) if json_output else figures)
    return 1 if figures["ran_twice"] or figures["wrong_answers"] else 0


def main() -> None:
    """Runs the command that the arguments name."""
    sys.exit(
        defopt.run(
            {"gate": gate, "demo": demo, "bench": bench_commands.COMMANDS}
        )
    )
