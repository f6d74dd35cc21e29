"""Settings of a gate host on the platform that change while it starts."""

import asyncio
import os
import signal
import sys

from fireflyspindle.commands import status
from fireflyspindle.platform import daemon
from fireflyspindle.platform import settings as settings_lib
import wire


async def test_sighup_does_not_end_a_host_that_starts(tmp_path):
    # Until the handler was installed, the signal had its default action.
    path = tmp_path / "settings.toml"
    os.mkfifo(path)
    variables = {settings_lib.SETTINGS_PATH_VARIABLE: str(path)}
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "fireflyspindle.platform",
        env=os.environ | variables,
        stderr=asyncio.subprocess.DEVNULL,
    )

    def reading():
        """Opens the settings for writing, once the process reads them."""
        try:
            opened.append(os.open(path, os.O_WRONLY | os.O_NONBLOCK))
        except OSError:
            return False
        return True

    opened = []
    await wire.until(reading)
    process.send_signal(signal.SIGHUP)
    os.write(opened[0], b"no settings")
    os.close(opened[0])
    async with asyncio.timeout(wire.WAIT_S):
        assert await process.wait() == status.USAGE_ERROR


async def test_nothing_is_imported_before_the_signal_is_ignored():
    # The imports of the package took most of the time without a handler.
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-c",
        "import sys, fireflyspindle.platform; print(*sys.modules)",
        stdout=asyncio.subprocess.PIPE,
    )
    output, _ = await process.communicate()
    imported = set(output.decode().split())
    own = {name for name in imported if name.startswith("fireflyspindle")}
    assert own == {"fireflyspindle", "fireflyspindle.platform"}
    assert "aiohttp" not in imported


async def test_settings_that_changed_during_the_start_are_applied(
    tmp_path, monkeypatch
):
    # The signal is ignored until then, so the time of the file has to tell.
    monkeypatch.setattr(daemon, "SETTINGS_CHECK_INTERVAL_S", 0.01)
    path = tmp_path / "settings.toml"
    path.write_text(SETTINGS)
    applied = []

    class Host:
        apply_settings = applied.append

    file = daemon._SettingsFile(path, path.stat().st_mtime_ns - 1)
    watcher = asyncio.create_task(daemon._watch_settings(file, Host()))
    await wire.until(lambda: applied)
    await asyncio.sleep(0.05)
    watcher.cancel()
    assert [settings.host_id for settings in applied] == ["edge-1"]


SETTINGS = """
[self]
node-name = "edge-1"
zone = "a"
[network.listen-addrs]
front = "127.0.0.1:8641"
ready-addr = "127.0.0.1:8640"
[platform.platform]
address = "127.0.0.1:8642"
"""
