"""Locates the settings file that the platform provides to a process."""

from __future__ import annotations

import os

PATH_VARIABLE = "RATTANPIER_BOOT"
DEFAULT_PATH = "/etc/rattanpier/node.json"


def settings_path() -> str:
    """Returns the path of this process's settings file."""
    return os.environ.get(PATH_VARIABLE, DEFAULT_PATH)
