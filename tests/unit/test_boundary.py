"""The platform's names stand in the folder that translates, and nowhere else.

The stand-ins speak that dialect too, as does the page of their settings.
"""

import re

from tests.lib.counters import ROOT

SOURCE = ROOT / "src" / "rattanpier"
ALLOWED = ("platform", "standin")
NAMES = re.compile(
    r"X-(Token-Usage|Attempt-Id|Expected-|Prefix-Hash|Deadline-Ms|"
    r"Tenant|Response-Signature|Instance-Load|Not-Executed|Confidence)"
    r"|rows-(tx|feed|get)|coldRemainingMs|routeType|maxAttempts"
    r"|sinceRevision|expectedRevision|apiKeys|/rattanpier/",
    re.IGNORECASE,
)


def test_nothing_else_knows_the_platform_s_names():
    found = [
        f"{path.relative_to(ROOT)}:{number}"
        for path in SOURCE.rglob("*.py")
        if not any(part in ALLOWED for part in path.parts)
        for number, line in enumerate(path.read_text().splitlines(), 1)
        if NAMES.search(line)
    ]
    assert not found
