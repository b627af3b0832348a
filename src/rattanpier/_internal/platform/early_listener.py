"""Opens the callers' address before the entry's modules are loaded.

Loading them takes most of a start. Callers that come meanwhile wait in the
socket's backlog, and are answered; where no process listens they use up their
retries, and after a loss of all entries there is no other to turn to.

Loads nothing but a few modules of the standard library.
"""

from __future__ import annotations

import json
import socket

BACKLOG = 1024


def open_early(path: str) -> socket.socket | None:
    """Returns a listening socket for callers.

    None if the settings do not say where, or the address is taken: what reads
    them later says what is wrong.

    Args:
      path: Of the settings file.
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
