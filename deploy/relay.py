"""Starts an entry from a checkout; the libraries lie in target/deps.

A start is short of time when all entries were killed: nothing is collected
while modules load, and no command line library is loaded.
"""

import gc
import pathlib
import sys

gc.disable()
sys.path.insert(0, str(pathlib.Path(__file__).parents[1] / "src"))

from rattanpier._internal.cli.relay import serve  # noqa: E402

gc.enable()
gc.freeze()
serve(metrics_port=int(sys.argv[1]))
