"""The process of a gate host on the platform."""

import asyncio
import os
import pathlib
import signal
import sys

import attrs
import result

from fireflyspindle import garbage_collection
from fireflyspindle import logs
from fireflyspindle.commands import status
from fireflyspindle.platform import hedge_variables
from fireflyspindle.platform import host as host_lib
from fireflyspindle.platform import settings as settings_lib

# The settings may change without a signal. A list of readers that is a few
# seconds out of date only costs additional reads of the store by this host.
SETTINGS_CHECK_INTERVAL_S = 3.0


def main() -> int:
    """Runs a gate host until SIGTERM or SIGINT, then shuts it down gracefully.

    The environment variable `FIREFLYSPINDLE_BOOT` gives the path of the
    settings file; those of `hedge_variables` limit hedged requests.

    Returns:
        The exit status.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    path = os.environ.get(settings_lib.SETTINGS_PATH_VARIABLE)
    if not path:
        print(
            f"{settings_lib.SETTINGS_PATH_VARIABLE} is not set; give the path"
            " of the settings file",
            file=sys.stderr,
        )
        return status.USAGE_ERROR
    modified_ns = _modified_ns(pathlib.Path(path))
    loaded = settings_lib.load(pathlib.Path(path))
    if isinstance(loaded, result.Err):
        for error in loaded.err_value:
            print(f"{path}: {error}", file=sys.stderr)
        return status.USAGE_ERROR
    hedges = hedge_variables.parse(os.environ)
    if isinstance(hedges, result.Err):
        for error in hedges.err_value:
            print(error, file=sys.stderr)
        return status.USAGE_ERROR
    settings = attrs.evolve(loaded.ok_value, hedges=hedges.ok_value)
    log = logs.set_up_bounded("INFO", sys.stdout)
    file = _SettingsFile(pathlib.Path(path), modified_ns)
    return asyncio.run(_run(file, settings, log))


@attrs.define
class _SettingsFile:
    """The settings file.

    Attributes:
        path: Path of the file.
        modified_ns: When the file was modified, as of the last load; None if
            there was no file.
    """

    path: pathlib.Path
    modified_ns: int | None


async def _run(
    file: _SettingsFile,
    settings: settings_lib.HostSettings,
    log: logs.BoundedHandler,
) -> int:
    gate_host = host_lib.PlatformHost(settings, log)
    try:
        await gate_host.start()
    except OSError as error:
        print(f"gate host can't listen: {error}", file=sys.stderr)
        return status.FAILURE
    logs.logger.info("gate host started", code="started", host=settings.host_id)
    _log_hedges(settings.hedges)
    garbage_collection.freeze_existing_objects()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, gate_host.request_stop)
    watcher = loop.create_task(_watch_settings(file, gate_host))
    await gate_host.wait_closed()
    watcher.cancel()
    logs.logger.info("gate host stopped", code="stopped")
    return status.SUCCESS


def _log_hedges(hedges: hedge_variables.HedgeSettings) -> None:
    if not hedges.share:
        return
    logs.logger.info(
        "hedged requests have a limit of the operator",
        code="hedge_limit",
        percent=hedges.share * 100,
        routes=sorted(hedges.routes),
    )


async def _watch_settings(
    file: _SettingsFile, gate_host: host_lib.PlatformHost
) -> None:
    """Reloads the settings on SIGHUP or when the file has changed."""
    reload_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGHUP, reload_requested.set)
    while True:
        try:
            async with asyncio.timeout(SETTINGS_CHECK_INTERVAL_S):
                await reload_requested.wait()
        except TimeoutError:
            pass
        modified_ns = _modified_ns(file.path)
        if modified_ns == file.modified_ns and not reload_requested.is_set():
            continue
        reload_requested.clear()
        file.modified_ns = modified_ns
        loaded = settings_lib.load(file.path)
        if isinstance(loaded, result.Err):
            logs.logger.error(
                "the changed settings file is invalid; keeping the previous"
                f" settings: {loaded.err_value}",
                code="reload_failed",
            )
            continue
        logs.logger.info(
            "settings reloaded; only the list of readers can change without"
            " a restart",
            code="reload",
            readers=list(loaded.ok_value.reader_addresses),
        )
        gate_host.apply_settings(loaded.ok_value)


def _modified_ns(path: pathlib.Path) -> int | None:
    try:
        return path.stat().st_mtime_ns
    except OSError:
        # The file is being replaced; the next check finds it.
        return None
