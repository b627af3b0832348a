"""Command line of the program `rattanpier-control`."""

from __future__ import annotations

from rattanpier._internal.cli.common import run_fire, server_command
from rattanpier._internal.programs.control import build_control


def main() -> None:
    """Runs the program."""
    run_fire(server_command(build_control), "rattanpier-control")


if __name__ == "__main__":
    main()
