"""Command line of the program `rattanpier-entry`."""

from __future__ import annotations

from rattanpier._internal.cli.common import run_fire, server_command
from rattanpier._internal.programs.entry import build_entry


def main() -> None:
    """Runs the program."""
    run_fire(server_command(build_entry), "rattanpier-entry")


if __name__ == "__main__":
    main()
