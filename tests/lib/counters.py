"""Metric names in the code, and in the operators' list."""

import ast
import pathlib
import re

ROOT = pathlib.Path(__file__).parents[2]
KINDS = ("count", "gauge", "timing")
ROW = re.compile(r"^\| `([^`]+\.[^`]+)` \|", re.MULTILINE)
PLACEHOLDER = re.compile(r"\b[A-Z][A-Z_]+\b")


def names_in_code():
    """Each metric name with the file that has it; `*` for what varies."""
    return {
        name: path.relative_to(ROOT).as_posix()
        for path in sorted((ROOT / "src").rglob("*.py"))
        for call in metric_calls(ast.parse(path.read_text()))
        for name in names_of(call.args[0])
    }


def metric_calls(tree):
    for node in ast.walk(tree):
        if not isinstance(node, ast.Call) or not node.args:
            continue
        function = node.func
        if isinstance(function, ast.Attribute) and function.attr in KINDS:
            receiver = ast.unparse(function.value)
            if receiver.split(".")[-1] == "metrics":
                yield node


def names_of(argument):
    match argument:
        case ast.Constant(value=name):
            yield name
        case ast.JoinedStr(values=parts):
            yield "".join(
                part.value if isinstance(part, ast.Constant) else "*"
                for part in parts
            )
        case ast.IfExp(body=body, orelse=other):
            yield from names_of(body)
            yield from names_of(other)
        case _:
            raise ValueError(f"not a metric name: {ast.unparse(argument)}")


def names_in_docs():
    """Each listed name with its page; `*` for a word in capitals."""
    pages = [ROOT / "docs" / "METRICS.md", *(ROOT / "docs/metrics").glob("*")]
    return {
        PLACEHOLDER.sub("*", name): page.relative_to(ROOT).as_posix()
        for page in pages
        for name in ROW.findall(page.read_text())
    }
