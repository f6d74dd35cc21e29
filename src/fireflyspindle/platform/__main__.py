"""Runs a gate host on the users' platform: `python -m fireflyspindle.platform`.

The command line's `fireflyspindle platform` does the same; this way leaves
out what the command line needs, which would stay in memory.
"""

import sys

from fireflyspindle.platform import daemon

sys.exit(daemon.main())
