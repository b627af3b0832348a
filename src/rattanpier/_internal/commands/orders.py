"""`rollout`, `version` and `upstream`: commands that change a single field."""

from __future__ import annotations

import json
from collections.abc import Mapping
from urllib.parse import quote

from rattanpier._internal.commands.api import connect
from rattanpier._internal.commands.changes import Change, submit_change
from rattanpier._internal.commands.result import Result, make_table
from rattanpier._internal.exceptions import CommandError


def start(
    name: str,
    stable: str,
    candidate: str,
    share: float = 0.0,
    max_share: float = 1.0,
    url: str = "",
) -> Result:
    """Starts a roll-out.

    Args:
      name: Name of the roll-out.
      stable: Version in service.
      candidate: Version to roll out.
      share: Share of new sessions that get the candidate, 0 to 1.
      max_share: Maximum share that the roll-out may widen to automatically,
        on evidence and without an operator.
      url: URL of the operator API of a control process.
    """
    fields = {
        "stable": stable,
        "candidate": candidate,
        "share": validate_share(share),
        "max_share": validate_share(max_share),
    }
    path = f"rollouts/{quote_segment(name)}/start"
    return send(url, path, f"Start roll-out {name}", fields)


def widen(name: str, share: float, url: str = "") -> Result:
    """Widens a roll-out.

    Args:
      name: Name of the roll-out.
      share: Share of new sessions that get the candidate, 0 to 1.
      url: URL of the operator API of a control process.
    """
    path = f"rollouts/{quote_segment(name)}/widen"
    fields = {"share": validate_share(share)}
    return send(url, path, f"Widen roll-out {name}", fields)


def halt(name: str, url: str = "") -> Result:
    """Halts a roll-out; its candidate gets no new work from now on.

    Args:
      name: Name of the roll-out.
      url: URL of the operator API of a control process.
    """
    path = f"rollouts/{quote_segment(name)}/halt"
    return send(url, path, f"Halt roll-out {name}")


def status(name: str, url: str = "") -> Result:
    """Shows the state of a roll-out.

    Args:
      name: Name of the roll-out.
      url: URL of the operator API of a control process.
    """
    found = connect(url).get(f"rollouts/{quote_segment(name)}")
    table = make_table(f"Roll-out {name}", ("what", "value"))
    for key, value in found.items():
        table.add_row(key, str(value))
    return Result(found, [table])


def withdraw(version: str, url: str = "") -> Result:
    """Withdraws a version; it gets no new work from now on.

    Args:
      version: Name of the version.
      url: URL of the operator API of a control process.
    """
    path = f"versions/{quote_segment(version)}/withdraw"
    return send(url, path, f"Withdraw {version}")


def drain(upstream: str, url: str = "") -> Result:
    """Stops new work for an upstream.

    Args:
      upstream: Name of the upstream.
      url: URL of the operator API of a control process.
    """
    path = f"upstreams/{quote_segment(upstream)}/drain"
    return send(url, path, f"Drain {upstream}")


def send(
    url: str,
    path: str,
    action: str,
    fields: Mapping[str, str | float] | None = None,
) -> Result:
    """Sends a change and returns its outcome.

    Args:
      url: URL of the operator API of a control process, or empty.
      path: Path of the request.
      action: Human-readable description of the change.
      fields: Fields of the JSON body, or None for no body.
    """
    data = "" if fields is None else json.dumps(fields)
    return submit_change(Change(connect(url), path, data), action)


def quote_segment(name: str) -> str:
    """Returns a name percent-encoded as one segment of a URL path.

    >>> quote_segment("a/b@1"), quote_segment(3)
    ('a%2Fb%401', '3')
    """
    return quote(str(name), safe="")


def validate_share(share: float) -> float:
    """Returns a share as a float.

    Raises:
      CommandError: The share is not a number from 0 to 1.
    """
    wrong = isinstance(share, bool) or not isinstance(share, int | float)
    if wrong or not 0 <= share <= 1:
        raise CommandError(f"{share!r} is not a share", "give 0 to 1")
    return float(share)
