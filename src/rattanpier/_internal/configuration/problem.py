"""What a check finds: where, what is wrong, and what would be right."""

from __future__ import annotations

import difflib
import ipaddress
import math
import re
from collections.abc import Collection, Iterable, Iterator, Sequence
from urllib.parse import urlsplit

import attrs

from rattanpier._internal.configuration.lines import find_line

MAX_SHOWN_NAMES = 6  # A longer list of known names is cut.
MAX_PORT = 65535
SHA256_HEX = re.compile(r"[0-9a-f]{64}")


@attrs.frozen
class Problem:
    """One error in a file.

    Attributes:
      file: Name of the file.
      line: Line, from 1.
      what: What is wrong.
      right: What would be right.
    """

    file: str
    line: int
    what: str
    right: str

    def __str__(self) -> str:
        """Returns the problem as compilers print theirs."""
        return f"{self.file}:{self.line}: {self.what}; {self.right}"


@attrs.frozen
class Finding:
    """A problem before its line is known.

    Attributes:
      steps: Path to the value, from the root of the file.
      what: What is wrong.
      right: What would be right.
    """

    steps: Sequence[str]
    what: str
    right: str


def locate_findings(
    findings: Iterable[Finding], text: str, file: str
) -> Iterator[Problem]:
    """Yields findings with their lines."""
    for finding in findings:
        line = find_line(text, finding.steps)
        yield Problem(file, line, finding.what, finding.right)


def suggest(name: str, known: Collection[str]) -> str:
    """Returns what would be right in place of an unknown name.

    >>> suggest("smal@1", ["small@1", "large@1"])
    "did you mean 'small@1'?"
    >>> suggest("x", ["small@1", "large@1"])
    "known are 'large@1', 'small@1'"
    >>> suggest("x", [])
    'none is defined'
    """
    close = difflib.get_close_matches(name, known, n=1)
    if close:
        return f"did you mean {close[0]!r}?"
    if not known:
        return "none is defined"
    shown = [repr(item) for item in sorted(known)]
    more = ", …" if len(shown) > MAX_SHOWN_NAMES else ""
    return f"known are {', '.join(shown[:MAX_SHOWN_NAMES])}{more}"


def check_known(
    steps: Sequence[str], kind: str, name: str, known: Collection[str]
) -> Iterator[Finding]:
    """Finds a name that is not defined."""
    if name not in known:
        yield Finding(steps, f"unknown {kind} {name!r}", suggest(name, known))


def check_fraction(steps: Sequence[str], value: float) -> Iterator[Finding]:
    """Finds a share that is not between 0 and 1."""
    if not 0 <= value <= 1:
        yield Finding(steps, f"{steps[-1]} is {value}", "give 0 to 1")


def check_positive(steps: Sequence[str], value: float) -> Iterator[Finding]:
    """Finds a number that is not above zero, or not finite."""
    if not (value > 0 and math.isfinite(value)):
        yield Finding(
            steps, f"{steps[-1]} is {value}", "give a finite number above 0"
        )


def check_not_negative(steps: Sequence[str], value: float) -> Iterator[Finding]:
    """Finds a number below zero, or not finite."""
    if not (value >= 0 and math.isfinite(value)):
        yield Finding(
            steps, f"{steps[-1]} is {value}", "give a finite number from 0 up"
        )


def check_not_empty(steps: Sequence[str], value: str) -> Iterator[Finding]:
    """Finds an empty text."""
    if not value.strip():
        yield Finding(steps, f"{steps[-1]} is empty", "give a name")


def check_digest(steps: Sequence[str], digest: str) -> Iterator[Finding]:
    """Finds what is no SHA-256 digest, such as a key in the clear."""
    if not SHA256_HEX.fullmatch(digest):
        yield Finding(
            steps,
            "a digest is not 64 small hexadecimal digits",
            "give the output of `printf %s KEY | sha256sum`",
        )


def is_ip_address(host: str) -> bool:
    """Says whether a host is an IP number.

    >>> is_ip_address("10.0.0.1"), is_ip_address("localhost")
    (True, False)
    """
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return True


def check_ip(steps: Sequence[str], host: str) -> Iterator[Finding]:
    """Finds a host that is no IP number."""
    if not is_ip_address(host):
        yield Finding(
            steps,
            f"{steps[-1]} {host!r} is not an IP number",
            "give one, such as 10.0.0.1",
        )


def check_port(
    steps: Sequence[str], port: int, min_port: int = 0
) -> Iterator[Finding]:
    """Finds a port that does not exist."""
    if not min_port <= port <= MAX_PORT:
        yield Finding(
            steps, f"port {port} does not exist", f"give {min_port} to 65535"
        )


def check_url(steps: Sequence[str], url: str) -> Iterator[Finding]:
    """Finds an address that is not http or https at an IP number."""
    right = "give one such as http://10.0.0.1:8000"
    try:
        parts = urlsplit(url)
        host, port = parts.hostname or "", parts.port
    except ValueError as error:
        yield Finding(steps, f"{url!r} is not a URL: {error}", right)
        return
    if parts.scheme not in ("http", "https") or not host:
        yield Finding(steps, f"{url!r} is not an HTTP address", right)
    elif not is_ip_address(host):
        yield Finding(
            steps, f"{url!r} has the name {host!r}, not an IP number", right
        )
    elif parts.query or parts.fragment:
        yield Finding(steps, f"{url!r} is not a base address", right)
    elif port == 0:
        yield Finding(steps, f"{url!r} has port 0", right)
