"""The program `rattanpier`: the operators' command line."""

from __future__ import annotations

from rattanpier._internal.cli.common import run_fire
from rattanpier._internal.commands.demo import demo

COMMANDS = {
    "demo": demo,
}


def main() -> None:
    """Runs the program."""
    run_fire(COMMANDS, "rattanpier")


if __name__ == "__main__":
    main()
