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

# The settings may change without a signal; a list of readers that is out of
# date for some seconds costs only reads of this host's own.
SETTINGS_CHECK_S = 3.0


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
    return asyncio.run(_run(pathlib.Path(path), loaded.ok_value, log))


async def _run(
    path: pathlib.Path,
    settings: settings_lib.HostSettings,
    log: logs.BoundedHandler,
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
    watcher = loop.create_task(_watch_settings(path, running))
    await running.wait_closed()
    watcher.cancel()
    logs.logger.info("gate host stopped", code="stopped")
    return status.SUCCESS


async def _watch_settings(
    path: pathlib.Path, running: host_lib.PlatformHost
) -> None:
    """Reads the settings again when they change, with or without SIGHUP."""
    told = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGHUP, told.set)
    former = _modified(path)
    while True:
        try:
            async with asyncio.timeout(SETTINGS_CHECK_S):
                await told.wait()
        except TimeoutError:
            pass
        newest = _modified(path)
        if newest == former and not told.is_set():
            continue
        told.clear()
        former = newest
        loaded = settings_lib.load(path)
        if isinstance(loaded, result.Err):
            logs.logger.error(
                f"the changed settings are not used: {loaded.err_value}",
                code="reload_failed",
            )
            continue
        logs.logger.info(
            "settings were read again; addresses and names are those of the"
            " start",
            code="reload",
            readers=list(loaded.ok_value.readers),
        )
        running.take_settings(loaded.ok_value)


def _modified(path: pathlib.Path) -> int | None:
    try:
        return path.stat().st_mtime_ns
    except OSError:
        # The file is being replaced; the next look finds it.
        return None
