"""Limits the requests that a new version gets before an order's deadline.

Operators limit the requests that a bad version may get between its order and
the order's deadline. Some versions are bad only under a load that doesn't occur
in that time, and can't be distinguished from good ones. Therefore the limit is
kept for every version: it takes over only when the rest of the limit covers the
remaining requests, however good the evidence is.

Pure functions of request counts, without a clock or a network.
"""

from __future__ import annotations

import attrs

from rattanpier._internal.utils.record import Record

# Share of sessions in the trying phase, as a fraction of the bound's ratio. A
# larger share would show a bad version sooner, but would use up more of the
# bound before the take-over, which would then come too late for requests still
# in progress at old workers. At a ratio of 0.15 and 1,000 requests, this
# fraction leaves 3 s of 24 s.
TRYING_FRACTION = 0.25
# The least share in the extending phase, for orders whose version is not known
# to be no worse after half of the time, or has fewer than `MIN_TRIAL_ANSWERS`
# answers: among so few, a version that fails a third of its requests may show
# too few failures by chance.
EXTENDING_FRACTION = 0.75
MIN_TRIAL_ANSWERS = 20
# Share of sessions in the widening phase, the last check before all move.
WIDENING_SHARE = 0.4
# Fraction of the time until the deadline: two rounds of evidence between
# entries.
WIDENING_DURATION = 0.02
# Age at which a version should widen, so that it completes in time.
PLANNED_WIDENING_AGE = 0.88
# Fraction of the bound that may be planned for: counts reach the driver half a
# second late, and traffic may rise after the decision to widen.
USABLE_FRACTION = 0.86


@attrs.frozen(eq=False, repr=False)
class ExposureBound(Record):
    """Limit on the requests of a service that a bad version may get.

    Attributes:
      ratio: Allowed fraction of all requests between an order and its deadline.
      slack: Number of requests allowed in addition.
    """

    ratio: float
    slack: float = 0.0

    @property
    def trying_share(self) -> float:
        """Share of sessions for the new version in the trying phase."""
        return TRYING_FRACTION * self.ratio

    @property
    def extending_share(self) -> float:
        """Share of sessions for the new version in the extending phase."""
        return EXTENDING_FRACTION * self.ratio


@attrs.frozen(eq=False, repr=False)
class Exposure(Record):
    """Upstream requests since an order, whether they were answered or not.

    Attributes:
      sent: Requests to all versions.
      exposed: Requests to the new version among them.
    """

    sent: int
    exposed: int


def may_widen(
    bound: ExposureBound,
    exposure: Exposure,
    age: float,
    recent_rate: float = 0.0,
) -> bool:
    """Returns whether a version that widens now stays within its bound.

    The rest of the time is reckoned at the mean rate or the recent one,
    whichever is higher.

    Args:
      bound: Limit on the requests of a bad version.
      exposure: Requests counted so far.
      age: Time since the order as a fraction of its deadline, above 0.
      recent_rate: Requests in the time until the deadline, if they came at the
        recent rate.

    >>> bound, tried = ExposureBound(0.1, 10.0), Exposure(850, 26)
    >>> may_widen(bound, tried, 0.85), may_widen(bound, tried, 0.95)
    (False, True)
    """
    rate = max(exposure.sent / age, recent_rate)
    expected_total = exposure.sent + rate * max(0.0, 1.0 - age)
    allowed = USABLE_FRACTION * (bound.ratio * expected_total + bound.slack)
    take_over = take_over_requests(age, rate)
    return exposure.exposed + take_over <= allowed


def take_over_requests(age: float, rate: float) -> float:
    """Returns the requests to a version that widens, until the deadline.

    Args:
      age: Time since the order as a fraction of its deadline, when it widens.
      rate: Requests in the time until the deadline.
    """
    widening_part = WIDENING_SHARE * WIDENING_DURATION
    full_part = max(0.0, 1.0 - age - WIDENING_DURATION)
    return (widening_part + full_part) * rate


def extended_share(
    bound: ExposureBound, exposure: Exposure, age: float
) -> float:
    """Returns the share of sessions for the new version in an extended trial.

    Few requests are left for the trial of a service with much traffic. With
    little traffic, the slack allows a larger share, up to that of the widening
    phase, so that the version gives enough answers before its deadline.

    Args:
      bound: Limit on the requests of a bad version.
      exposure: Requests counted so far.
      age: Time since the order as a fraction of its deadline, above 0.

    >>> bound = ExposureBound(0.15, 30.0)
    >>> round(extended_share(bound, Exposure(90, 4), 0.5), 2)
    0.37
    >>> round(extended_share(bound, Exposure(4000, 150), 0.5), 4)
    0.1125
    """
    least = bound.extending_share
    rate = exposure.sent / age
    time_left = PLANNED_WIDENING_AGE - age
    if time_left <= 0.0 or rate <= 0.0:
        return least
    allowed = USABLE_FRACTION * (bound.ratio * rate + bound.slack)
    planned = take_over_requests(PLANNED_WIDENING_AGE, rate)
    share = (allowed - exposure.exposed - planned) / (rate * time_left)
    return max(least, min(share, WIDENING_SHARE))
