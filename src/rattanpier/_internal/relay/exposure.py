"""How late a version that is rolled out has to take over.

Operators bound the requests that a bad version gets between its order and the
order's deadline. Some versions are bad only under a load that never comes in
that time: nothing tells them from good ones. So the bound is kept for every
version, by what is left of it, and not by evidence alone.

Code without a clock or a network: counts go in, a verdict comes out.
"""

from __future__ import annotations

import attrs

# Of the bound's ratio, the share of sessions by which a version is tried. More
# would show a bad version sooner, but what it gets while it is tried is no
# longer there for the take-over, which then comes too late for what still runs
# at old workers. At a ratio of 0.15 and 1,000 requests it leaves 3 s of 24.
TRYING_FRACTION = 0.25
# The same where few answers came by half of the time: among few a version that
# fails a third of its requests may show too few failures by chance.
EXTENDING_FRACTION = 0.75
MIN_TRIAL_ANSWERS = 20
WIDENING_SHARE = 0.4  # Of the sessions: a last look before all move.
WIDENING_DURATION = (
    0.02  # Of the order's time: two rounds of evidence between entries.
)
# Of what is allowed. Counts reach the driver half a second late, and traffic
# may rise by a third after the take-over was decided on.
USABLE_FRACTION = 0.82


@attrs.frozen
class ExposureBound:
    """What operators allow a bad version to get of its service's requests.

    Attributes:
      ratio: Of all requests between an order and its deadline.
      slack: Requests beyond that.
    """

    ratio: float
    slack: float = 0.0

    @property
    def trying_share(self) -> float:
        """Share of sessions while a version is tried."""
        return TRYING_FRACTION * self.ratio

    @property
    def extending_share(self) -> float:
        """The same where few answers came."""
        return EXTENDING_FRACTION * self.ratio


@attrs.frozen
class Exposure:
    """What a version got so far.

    Attributes:
      served: Answers of all versions since the order.
      exposed: Of these, answers of the new version.
    """

    served: int
    exposed: int


def may_widen(bound: ExposureBound, exposure: Exposure, age: float) -> bool:
    """Says whether a version may take over and stay within its bound.

    Args:
      bound: What is allowed.
      exposure: What the version got.
      age: Share of the order's time that has passed, above 0.

    >>> bound, tried = ExposureBound(0.1, 10.0), Exposure(850, 26)
    >>> may_widen(bound, tried, 0.85), may_widen(bound, tried, 0.95)
    (False, True)
    """
    expected_total = exposure.served / age
    allowed = USABLE_FRACTION * (bound.ratio * expected_total + bound.slack)
    widening_part = WIDENING_SHARE * WIDENING_DURATION
    full_part = max(0.0, 1.0 - age - WIDENING_DURATION)
    return (
        exposure.exposed + (widening_part + full_part) * expected_total
        <= allowed
    )
