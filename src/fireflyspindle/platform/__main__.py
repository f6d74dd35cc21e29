"""Runs a gate host on the platform: `python -m fireflyspindle.platform`.

Does the same as `fireflyspindle platform`, without importing the modules of
the command line, which would stay in memory.
"""

import os
import signal
import sys

# The default action would end the process during the imports, which take a
# while. The settings are read after them.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

# On import, aiohttp loads the system's certificate authorities, which take two
# megabytes of memory; the gate host doesn't use TLS.
os.environ.setdefault("SSL_CERT_FILE", os.devnull)

from fireflyspindle.platform import daemon  # noqa: E402

sys.exit(daemon.main())
