"""`rattanpier entries` and `rattanpier status`: running processes."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

from rich.console import RenderableType

from rattanpier._internal.commands.api import connect
from rattanpier._internal.commands.result import Result, make_table
from rattanpier._internal.models.member import Role


def entries(url: str = "") -> Result:
    """Lists the entries as callers see them.

    Args:
      url: URL of the operator API of a control process.
    """
    members = connect(url).get("status")["members"]
    found = [one for one in members if one["role"] == Role.ENTRY]
    names = ("name", "domain", "state", "caller_url")
    return Result(found, [table_of("Entries", names, found)])


def status(url: str = "") -> Result:
    """Shows the revision in force, brakes, and every process.

    Args:
      url: URL of the operator API of a control process.
    """
    found = connect(url).get("status")
    return Result(found, list(show_status(found)))


def show_status(found: dict[str, Any]) -> Iterator[RenderableType]:
    """Yields the human-readable form of the status."""
    where = "everywhere" if found["in_force"] else "not known everywhere"
    store = "answers" if found["store_reachable"] else "DOES NOT ANSWER"
    yield f"Revision {found['revision']}, in force {where}; the store {store}."
    if found["waiting"]:
        yield f"Waiting for: {', '.join(found['waiting'])}"
    names = ("name", "role", "domain", "state")
    yield table_of("Processes", names, found["members"])
    if found["brakes"]:
        names = ("version", "reason", "origin")
        yield table_of("Brakes", names, found["brakes"])


def table_of(
    title: str, names: tuple[str, ...], items: list[dict[str, Any]]
) -> RenderableType:
    """Returns a table with the named fields of each item."""
    table = make_table(title, names)
    for item in items:
        table.add_row(*(str(item.get(name, "")) for name in names))
    return table
