"""The page of log lines and the code agree."""

import ast
import re

from tests.lib.counters import ROOT

PAGE = (ROOT / "docs" / "LOGS.md").read_text()
SOURCES = [
    *(ROOT / "src/rattanpier/_internal/relay").glob("*.py"),
    *(ROOT / "src/rattanpier/_internal/platform").glob("*.py"),
    *(ROOT / "src/rattanpier/_internal/retries").glob("*.py"),
    *(ROOT / "src/rattanpier/_internal/placement").glob("*.py"),
    *(ROOT / "src/rattanpier/_internal/programs").glob("relay*.py"),
    ROOT / "src/rattanpier/_internal/cli/relay.py",
]
ROW = re.compile(r"^\| `(\w+: [^`]+)` \| (.*?) ?\|$", re.MULTILINE)
LEVELS = {"info", "warning", "error"}


def lines_in_code():
    """Each event with its part, and the names of its fields."""
    found = {}
    for path in SOURCES:
        tree = ast.parse(path.read_text())
        part = ""
        for node in ast.walk(tree):
            if not isinstance(node, ast.Call):
                continue
            name = ast.unparse(node.func)
            if name == "structlog.get_logger":
                part = node.keywords[0].value.value
        for node in ast.walk(tree):
            if not isinstance(node, ast.Call):
                continue
            name = ast.unparse(node.func)
            if name.startswith("log.") and name[4:] in LEVELS:
                event = f"{part}: {node.args[0].value}"
                fields = {keyword.arg for keyword in node.keywords}
                found.setdefault(event, set()).update(fields)
    return found


def test_each_line_is_listed_with_its_fields():
    listed = {
        event: {name.strip() for name in fields.split(",") if name.strip()}
        for event, fields in ROW.findall(PAGE)
    }
    assert listed == lines_in_code()
