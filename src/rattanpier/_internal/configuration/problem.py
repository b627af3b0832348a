"""Problems that checks find, and checks of single values.

A problem has a location, a message and a correction.
"""

from __future__ import annotations

import difflib
import ipaddress
import math
import re
from collections.abc import Collection, Iterable, Iterator, Sequence
from urllib.parse import urlsplit

import attrs

from rattanpier._internal.configuration.lines import find_line

MAX_SHOWN_NAMES = 6  # Longer lists of known names are truncated.
MAX_PORT = 65535
SHA256_HEX = re.compile(r"[0-9a-f]{64}")


@attrs.frozen
class Problem:
    """One error in a file.

    Attributes:
      file: Name of the file.
      line: Line number, from 1.
      what: Description of the error.
      right: How to correct it.
    """

    file: str
    line: int
    what: str
    right: str

    def __str__(self) -> str:
        """Returns the problem in the format of compiler messages."""
        return f"{self.file}:{self.line}: {self.what}; {self.right}"


@attrs.frozen
class Finding:
    """A problem whose line is not determined yet.

    Attributes:
      steps: Path to the value, from the root of the file.
      what: Description of the error.
      right: How to correct it.
    """

    steps: Sequence[str]
    what: str
    right: str


def locate_findings(
    findings: Iterable[Finding], text: str, file: str
) -> Iterator[Problem]:
    """Yields the problem for each finding, with its line."""
    for finding in findings:
        line = find_line(text, finding.steps)
        yield Problem(file, line, finding.what, finding.right)


def suggest(name: str, known: Collection[str]) -> str:
    """Returns a correction for an unknown name.

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
    """Yields a finding if a name is not defined."""
    if name not in known:
        yield Finding(steps, f"unknown {kind} {name!r}", suggest(name, known))


def check_fraction(steps: Sequence[str], value: float) -> Iterator[Finding]:
    """Yields a finding if a number is not from 0 to 1."""
    if not 0 <= value <= 1:
        yield Finding(steps, f"{steps[-1]} is {value}", "give 0 to 1")


def check_positive(steps: Sequence[str], value: float) -> Iterator[Finding]:
    """Yields a finding if a number is not positive or not finite."""
    if not (value > 0 and math.isfinite(value)):
        yield Finding(
            steps, f"{steps[-1]} is {value}", "give a finite number above 0"
        )


def check_not_negative(steps: Sequence[str], value: float) -> Iterator[Finding]:
    """Yields a finding if a number is negative or not finite."""
    if not (value >= 0 and math.isfinite(value)):
        yield Finding(
            steps, f"{steps[-1]} is {value}", "give a finite number from 0 up"
        )


def check_not_empty(steps: Sequence[str], value: str) -> Iterator[Finding]:
    """Yields a finding if a string is empty or only whitespace."""
    if not value.strip():
        yield Finding(steps, f"{steps[-1]} is empty", "give a name")


def check_digest(steps: Sequence[str], digest: str) -> Iterator[Finding]:
    """Yields a finding if a string is no SHA-256 digest.

    This detects keys that were given in plain text.
    """
    if not SHA256_HEX.fullmatch(digest):
        yield Finding(
            steps,
            "a digest is not 64 lowercase hexadecimal digits",
            "give the output of `printf %s KEY | sha256sum`",
        )


def is_ip_address(host: str) -> bool:
    """Returns whether a host is an IP address rather than a name.

    >>> is_ip_address("10.0.0.1"), is_ip_address("localhost")
    (True, False)
    """
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return True


def check_ip(steps: Sequence[str], host: str) -> Iterator[Finding]:
    """Yields a finding if a host is not an IP address."""
    if not is_ip_address(host):
        yield Finding(
            steps,
            f"{steps[-1]} {host!r} is not an IP address",
            "give one, such as 10.0.0.1",
        )


def check_port(
    steps: Sequence[str], port: int, min_port: int = 0
) -> Iterator[Finding]:
    """Yields a finding if a port is out of range."""
    if not min_port <= port <= MAX_PORT:
        yield Finding(
            steps, f"port {port} does not exist", f"give {min_port} to 65535"
        )


def check_url(steps: Sequence[str], url: str) -> Iterator[Finding]:
    """Yields a finding unless a URL is HTTP or HTTPS at an IP address."""
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
            steps,
            f"{url!r} has the host name {host!r}, not an IP address",
            right,
        )
    elif parts.query or parts.fragment:
        yield Finding(steps, f"{url!r} is not a base address", right)
    elif port == 0:
        yield Finding(steps, f"{url!r} has port 0", right)
