"""The command that runs a gate host."""

import asyncio
import pathlib
import signal
import sys

import result

from fireflyspindle import garbage_collection
from fireflyspindle import gate as gate_lib
from fireflyspindle import logs
from fireflyspindle import settings as settings_lib
from fireflyspindle.commands import status


def gate(*, settings: pathlib.Path) -> int:
    """Runs a gate host until SIGTERM or SIGINT stops it gracefully.

    Args:
        settings: TOML file with the settings.

    Returns:
        The exit status.
    """
    loaded = settings_lib.load(settings)
    if isinstance(loaded, result.Err):
        for error in loaded.err_value:
            print(f"{settings}: {error}", file=sys.stderr)
        return status.USAGE_ERROR
    logs.set_up(loaded.ok_value.logging.level)
    return asyncio.run(_run(loaded.ok_value))


async def _run(settings: settings_lib.Settings) -> int:
    running = gate_lib.Gate(settings)
    try:
        await running.start()
    except OSError as error:
        print(f"gate host can't listen: {error}", file=sys.stderr)
        return status.FAILURE
    garbage_collection.freeze_existing_objects()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, running.request_stop)
    await running.wait_closed()
    return status.SUCCESS
