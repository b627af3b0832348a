"""Starts an entry from a checkout; the libraries lie in target/deps.

A start is short of time when all entries were killed: nothing is collected
while modules load, no command line library and no certificate is loaded, and
callers may connect before all that is loaded.
"""

import gc
import os
import signal
import sys

# Until the entry takes it, a reload would end the process. The settings are
# read in any case.
signal.signal(signal.SIGHUP, signal.SIG_IGN)
gc.disable()
# Entries speak plain HTTP here; aiohttp reads all root certificates as soon as
# it is imported, which takes a seventh of a start.
os.environ["SSL_CERT_FILE"] = os.devnull
ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path.insert(0, os.path.join(ROOT, "src"))
sys.path.append(os.path.join(ROOT, "target", "deps"))

from rattanpier._internal.platform.early_listener import (  # noqa: E402
    open_early,
)
from rattanpier._internal.platform.settings_path import (  # noqa: E402
    settings_path,
)

listener = open_early(settings_path())

from rattanpier._internal.cli.relay import serve_on  # noqa: E402

gc.enable()
gc.freeze()
serve_on(
    listener,
    settings_path(),
    metrics_port=int(sys.argv[1]),
    policy=sys.argv[2] if len(sys.argv) > 2 else "",
)
