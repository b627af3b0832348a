"""Shared parts of the command lines of all programs."""

from __future__ import annotations

import asyncio
import os
import sys
from collections.abc import Callable

import fire

from rattanpier._internal.commands.result import ExitCode
from rattanpier._internal.configuration.parse import load_settings
from rattanpier._internal.exceptions import RattanpierError, SettingsError
from rattanpier._internal.programs.common import Build, run_until_signal
from rattanpier._internal.utils.logs import configure_logs

EXIT_INTERRUPTED = 130  # 128 + SIGINT, as shells report it.


def run_fire(component: object, name: str) -> None:
    """Runs a fire command line and maps errors to exit codes."""
    os.environ.setdefault("PAGER", "cat")  # Print help without a pager.
    try:
        fire.Fire(component, name=name)
        sys.stdout.flush()
    except BrokenPipeError:
        # The reader, such as `head`, closed the pipe early.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
    except KeyboardInterrupt:
        sys.exit(EXIT_INTERRUPTED)
    except RattanpierError as error:
        print(f"{name}: {error.code}: {error.message}", file=sys.stderr)
        if error.hint:
            print(f"{name}: hint: {error.hint}", file=sys.stderr)
        sys.exit(getattr(error, "exit_code", ExitCode.BAD_INPUT))


def server_command(build: Build) -> Callable[[str], None]:
    """Returns a command that runs a program with a settings file."""

    def serve(settings: str) -> None:
        """Runs until SIGTERM.

        Args:
          settings: Path of the settings file.
        """
        loaded = load_settings(settings)
        configure_logs(loaded.logs.json, loaded.logs.level)
        try:
            asyncio.run(run_until_signal(build, loaded))
        except OSError as error:
            raise SettingsError(
                f"{settings}: the process can't start: {error}",
                "give an address of this VM and a port that is free",
            ) from error

    return serve
