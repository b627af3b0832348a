"""Command line of the program `rattanpier`, for operators."""

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


def result_command(function: Callable[..., Result]) -> Callable[..., None]:
    """Returns a command that prints its result and exits with its code.

    The command accepts `--json` in addition to its own options.
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
    """Prints a result as tables for people or as JSON for programs."""
    if as_json:
        print(json_module.dumps(result.data, indent=2))
        return
    console = Console(highlight=False)
    for item in result.shown:
        # Sentences that name a file and a line are not wrapped, for `grep`.
        console.print(item, markup=False, soft_wrap=isinstance(item, str))


COMMANDS: dict[str, Any] = {
    "config": {
        "check": result_command(config.check),
        "apply": result_command(config.apply),
        "show": result_command(config.show),
        "diff": result_command(config.diff),
        "history": result_command(config.history),
        "outcome": result_command(config.outcome),
    },
    "explain": result_command(explain),
    "replay": result_command(replay),
    "rollout": {
        "start": result_command(orders.start),
        "widen": result_command(orders.widen),
        "halt": result_command(orders.halt),
        "status": result_command(orders.status),
    },
    "version": {"withdraw": result_command(orders.withdraw)},
    "upstream": {"drain": result_command(orders.drain)},
    "entries": result_command(cluster.entries),
    "status": result_command(cluster.status),
    "bills": result_command(bills),
    "trace-request": result_command(trace_request),
    "why": result_command(why),
    "losses": result_command(losses),
    "demo": demo,
}


def main() -> None:
    """Runs the program."""
    run_fire(COMMANDS, "rattanpier")


if __name__ == "__main__":
    main()
