"""Opens the listening socket for callers before the entry's modules load.

Imports take most of the startup time. Callers that connect meanwhile wait in
the socket's backlog and are served afterwards. Without a listening socket they
would use up their retries, and after a failure of all entries there is no other
entry to fail over to.

Imports only a few modules of the standard library, so that it runs at once.
"""

from __future__ import annotations

import json
import socket

BACKLOG = 1024


def open_early(path: str) -> socket.socket | None:
    """Returns a listening socket for callers.

    Returns None if the settings don't give an address, or it is in use; the
    regular startup reports the error later.

    Args:
      path: Path of the settings file.
    """
    try:
        with open(path, encoding="utf-8") as file:
            host, _, port = json.load(file)["listen"]["frontend"].rpartition(
                ":"
            )
        address = host, int(port)
    except (OSError, ValueError, KeyError, TypeError, AttributeError):
        return None
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        listener.bind(address)
        listener.listen(BACKLOG)
    except OSError:
        listener.close()
        return None
    listener.setblocking(False)
    return listener
