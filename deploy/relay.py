"""Starts an entry from a checkout; the libraries lie in target/deps."""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).parents[1] / "src"))

from rattanpier._internal.cli.relay import main  # noqa: E402

main()
