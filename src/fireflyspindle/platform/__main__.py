"""Runs a gate host on the users' platform: `python -m fireflyspindle.platform`.

The command line's `fireflyspindle platform` does the same; this way leaves
out what the command line needs, which would stay in memory.
"""

import os
import sys

# aiohttp reads every certificate authority of the system when it is imported,
# two megabytes of memory; nothing here speaks TLS.
os.environ.setdefault("SSL_CERT_FILE", os.devnull)

from fireflyspindle.platform import daemon

sys.exit(daemon.main())
