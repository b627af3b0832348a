"""The program `rattanpier`: the operators' command line."""

from __future__ import annotations

import functools
import inspect
import json as json_module
import sys
from collections.abc import Callable
from typing import Any

from rich.console import Console

from rattanpier._internal.cli.common import run_fire
from rattanpier._internal.commands import cluster, config, orders
from rattanpier._internal.commands.billing import bills
from rattanpier._internal.commands.demo import demo
from rattanpier._internal.commands.explain import explain
from rattanpier._internal.commands.losses import losses
from rattanpier._internal.commands.replay import replay
from rattanpier._internal.commands.result import ExitCode, Result
from rattanpier._internal.commands.trace_request import trace_request, why

JSON_HELP = "  json: Print JSON for programs.\n"


def printed(function: Callable[..., Result]) -> Callable[..., None]:
    """Returns a command that prints its result and exits with its code.

    The command gets the option `--json` besides its own.
    """

    @functools.wraps(function)
    def command(*arguments: Any, json: bool = False, **options: Any) -> None:
        result = function(*arguments, **options)
        print_result(result, json)
        if result.code is not ExitCode.DONE:
            sys.exit(result.code)

    signature = inspect.signature(function)
    option = inspect.Parameter(
        "json", inspect.Parameter.KEYWORD_ONLY, default=False, annotation=bool
    )
    command.__signature__ = signature.replace(  # type: ignore[attr-defined]
        parameters=[*signature.parameters.values(), option],
        return_annotation=None,
    )
    text = (function.__doc__ or "").rstrip() + "\n"
    command.__doc__ = f"{text}    {JSON_HELP}"
    return command


def print_result(result: Result, as_json: bool) -> None:
    """Prints tables for people, or JSON for programs."""
    if as_json:
        print(json_module.dumps(result.data, indent=2))
        return
    console = Console(highlight=False)
    for item in result.shown:
        # A sentence with a file and a line stays on one line, for `grep`.
        console.print(item, markup=False, soft_wrap=isinstance(item, str))


COMMANDS: dict[str, Any] = {
    "config": {
        "check": printed(config.check),
        "apply": printed(config.apply),
        "show": printed(config.show),
        "diff": printed(config.diff),
        "history": printed(config.history),
        "outcome": printed(config.outcome),
    },
    "explain": printed(explain),
    "replay": printed(replay),
    "rollout": {
        "start": printed(orders.start),
        "widen": printed(orders.widen),
        "halt": printed(orders.halt),
        "status": printed(orders.status),
    },
    "version": {"withdraw": printed(orders.withdraw)},
    "upstream": {"drain": printed(orders.drain)},
    "entries": printed(cluster.entries),
    "status": printed(cluster.status),
    "bills": printed(bills),
    "trace-request": printed(trace_request),
    "why": printed(why),
    "losses": printed(losses),
    "demo": demo,
}


def main() -> None:
    """Runs the program."""
    run_fire(COMMANDS, "rattanpier")


if __name__ == "__main__":
    main()
