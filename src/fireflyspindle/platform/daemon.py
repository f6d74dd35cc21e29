"""The process of a gate host on the users' platform."""

import asyncio
import os
import pathlib
import signal
import sys

import result

from fireflyspindle import garbage
from fireflyspindle import logs
from fireflyspindle.commands import status
from fireflyspindle.platform import host as host_lib
from fireflyspindle.platform import settings as settings_lib


def main() -> int:
    """Runs a gate host until SIGTERM or SIGINT stops it as planned.

    The settings come from the file that the variable `FIREFLYSPINDLE_BOOT`
    names.

    Returns:
        The exit status.
    """
    path = os.environ.get(settings_lib.PATH_VARIABLE)
    if not path:
        print(
            f"{settings_lib.PATH_VARIABLE} is not set; give the path of the"
            " settings file",
            file=sys.stderr,
        )
        return status.BAD_USE
    loaded = settings_lib.load(pathlib.Path(path))
    if isinstance(loaded, result.Err):
        for error in loaded.err_value:
            print(f"{path}: {error}", file=sys.stderr)
        return status.BAD_USE
    log = logs.set_up_bounded("INFO", sys.stdout)
    return asyncio.run(_run(loaded.ok_value, log))


async def _run(
    settings: settings_lib.HostSettings, log: logs.BoundedHandler
) -> int:
    running = host_lib.PlatformHost(settings, log)
    try:
        await running.start()
    except OSError as error:
        print(f"gate host can't listen: {error}", file=sys.stderr)
        return status.FAILURE
    logs.logger.info("gate host started", code="started", host=settings.host_id)
    garbage.exempt_started()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, running.request_stop)
    loop.add_signal_handler(signal.SIGHUP, _on_reload)
    await running.wait_closed()
    logs.logger.info("gate host stopped", code="stopped")
    return status.SUCCESS


def _on_reload() -> None:
    # Addresses and names of a running process do not change; what changes
    # while it runs comes from the store.
    logs.logger.info(
        "settings are read at the start only; nothing was changed",
        code="reload",
    )
