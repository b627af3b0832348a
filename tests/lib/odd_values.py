"""Values that other programs may write by mistake, well-formed but odd."""

import json

from hypothesis import strategies as st

HUGE = "9" * 5000  # More digits than Python reads.
LARGE = "9" * 401  # Too large for a float.
NUMBERS = (
    *(HUGE, "-" + HUGE, LARGE, "-" + LARGE, "1e400", "-1e400", "NaN"),
    *("Infinity", "1e308", "-1e308", "18446744073709551616", "-0", "0.5"),
    *("9223372036854775808", "9007199254740993", "-1", "1e15", "true", "null"),
)
DEEP = {
    "lists": lambda depth: "[" * depth + "]" * depth,
    "objects": lambda depth: '{"a":' * depth + "1" + "}" * depth,
}
TEXTS = (
    *('"\\ud800"', '"a\\r\\nb"', '"\\u0000"', '""', '"' + "x" * 60000 + '"'),
    *('"10.0.0.1:' + HUGE + '"', '"10.0.0.1:99999"', '"::1:80"', '"\\u00e9"'),
    '"10.0.0.1:-80"',
)


def odd_texts():
    """Returns JSON texts of odd values."""
    nested = [make(depth) for make in DEEP.values() for depth in (900, 3000)]
    return [*NUMBERS, *TEXTS, *nested, DEEP["lists"](30000)]


def with_field(document, name, text):
    """Returns the JSON text of a document with a field given as JSON text."""
    rest = {key: value for key, value in document.items() if key != name}
    return f'{json.dumps(rest)[:-1]},"{name}":{text}}}'.encode()


def drawn_texts():
    """Returns a strategy for JSON texts of odd and of any values."""
    digits = st.integers(1, 6000).map("9".__mul__)
    nested = st.builds(
        lambda make, depth: make(depth),
        st.sampled_from(list(DEEP.values())),
        st.integers(1, 4000),
    )
    plain = st.one_of(st.integers(), st.floats(), st.text(max_size=8))
    return st.one_of(
        st.sampled_from(odd_texts()),
        digits,
        nested,
        plain.map(json.dumps),
    )


def describe(text):
    """Returns a short name of a value for the name of a test."""
    return text if len(text) < 24 else f"{text[:12]}..{len(text)}"
