"""`rollout`, `version` and `upstream`: changes of a single field."""

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
      name: Its name.
      stable: Version in service.
      candidate: Version rolled out.
      share: Share of new sessions that get the candidate, 0 to 1.
      max_share: Share that evidence may widen to without an operator.
      url: Operators' address of a control process.
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
      name: Its name.
      share: Share of new sessions that get the candidate, 0 to 1.
      url: Operators' address of a control process.
    """
    path = f"rollouts/{quote_segment(name)}/widen"
    fields = {"share": validate_share(share)}
    return send(url, path, f"Widen roll-out {name}", fields)


def halt(name: str, url: str = "") -> Result:
    """Halts a roll-out; its candidate gets no new work as of now.

    Args:
      name: Its name.
      url: Operators' address of a control process.
    """
    path = f"rollouts/{quote_segment(name)}/halt"
    return send(url, path, f"Halt roll-out {name}")


def status(name: str, url: str = "") -> Result:
    """Shows where a roll-out stands.

    Args:
      name: Its name.
      url: Operators' address of a control process.
    """
    found = connect(url).get(f"rollouts/{quote_segment(name)}")
    table = make_table(f"Roll-out {name}", ("what", "value"))
    for key, value in found.items():
        table.add_row(key, str(value))
    return Result(found, [table])


def withdraw(version: str, url: str = "") -> Result:
    """Withdraws a version; it gets no new work as of now.

    Args:
      version: Its name.
      url: Operators' address of a control process.
    """
    path = f"versions/{quote_segment(version)}/withdraw"
    return send(url, path, f"Withdraw {version}")


def drain(upstream: str, url: str = "") -> Result:
    """Stops new work for an upstream.

    Args:
      upstream: Its name.
      url: Operators' address of a control process.
    """
    path = f"upstreams/{quote_segment(upstream)}/drain"
    return send(url, path, f"Drain {upstream}")


def send(
    url: str,
    path: str,
    action: str,
    fields: Mapping[str, str | float] | None = None,
) -> Result:
    """Sends a change and returns what became of it.

    Args:
      url: Operators' address of a control process, or empty.
      path: Path of the call.
      action: What is done, for people.
      fields: Fields of the body, or None for no body.
    """
    data = "" if fields is None else json.dumps(fields)
    return submit_change(Change(connect(url), path, data), action)


def quote_segment(name: str) -> str:
    """Returns a name as a part of a path.

    >>> quote_segment("a/b@1"), quote_segment(3)
    ('a%2Fb%401', '3')
    """
    return quote(str(name), safe="")


def validate_share(share: float) -> float:
    """Returns a share.

    Raises:
      CommandError: It is not a number from 0 to 1.
    """
    wrong = isinstance(share, bool) or not isinstance(share, int | float)
    if wrong or not 0 <= share <= 1:
        raise CommandError(f"{share!r} is not a share", "give 0 to 1")
    return float(share)
