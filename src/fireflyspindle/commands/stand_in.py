"""Commands that run stand-ins for the platform or a target, for manual use."""

import asyncio
from collections.abc import Callable
import signal
import sys

from aiohttp import web

from fireflyspindle import testing
from fireflyspindle.commands import status
from fireflyspindle.core import addresses

LOG_ADDRESS = "127.0.0.1:7001"
HOSTS_ADDRESS = "127.0.0.1:7002"
TARGET_ADDRESS = "127.0.0.1:7101"


def log(*, address: str = LOG_ADDRESS) -> int:
    """Runs a stand-in for the log service that keeps records in memory.

    Args:
        address: IP address and port to listen on.

    Returns:
        The exit status.
    """
    return asyncio.run(_serve(address, _log_application))


def hosts(*, address: str = HOSTS_ADDRESS, lag_s: float = 0.0) -> int:
    """Runs a stand-in for the host list, which is initially empty.

    Args:
        address: IP address and port to listen on.
        lag_s: Seconds until a change becomes visible.

    Returns:
        The exit status.
    """
    return asyncio.run(
        _serve(address, lambda: testing.StandInHosts(lag_s).application())
    )


def target(
    *,
    address: str = TARGET_ADDRESS,
    slots: int = 4,
    mean_service_ms: float = 10.0,
) -> int:
    """Runs a stand-in for a target that echoes each request.

    Args:
        address: IP address and port to listen on.
        slots: Number of requests that run at once.
        mean_service_ms: Mean of the exponential service time.

    Returns:
        The exit status.
    """
    if slots < 1 or mean_service_ms < 0:
        print(
            "--slots must be at least 1, --mean-service-ms at least 0",
            file=sys.stderr,
        )
        return status.USAGE_ERROR
    return asyncio.run(
        _serve(
            address,
            lambda: testing.StandInTarget(
                address, slots, mean_service_ms
            ).application(),
        )
    )


def _log_application() -> web.Application:
    return testing.StandInLog().application()


async def _serve(
    address: str, make_application: Callable[[], web.Application]
) -> int:
    problem = addresses.validation_error(address)
    if problem is not None:
        print(f"--address is {problem}", file=sys.stderr)
        return status.USAGE_ERROR
    server = testing.Server(make_application())
    try:
        bound_address = await server.start(address)
    except OSError as error:
        print(f"can't listen on {address!r}: {error}", file=sys.stderr)
        return status.FAILURE
    print(f"listening on {bound_address}", flush=True)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    await stop.wait()
    await server.close()
    return status.SUCCESS


COMMANDS = {"log": log, "hosts": hosts, "target": target}
