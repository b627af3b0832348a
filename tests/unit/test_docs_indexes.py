"""The indexes of the documentation list every page."""

import re

import pytest

from tests.lib.counters import ROOT

DOCS = ROOT / "docs"
LINK = re.compile(r"\]\(([^)]+\.md)\)")


@pytest.mark.parametrize(
    ("index", "folder"),
    [("OPERATORS.md", "operators"), ("design/README.md", "design")],
)
def test_each_page_is_in_its_index(index, folder):
    path = DOCS / index
    links = {
        (path.parent / link).resolve()
        for link in LINK.findall(path.read_text())
    }
    pages = {page.resolve() for page in (DOCS / folder).glob("*.md")}
    assert links == pages - {path.resolve()}
