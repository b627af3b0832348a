"""Judge of repeats: whether a service got more of them than operators allow."""

import bisect

import attrs

# Just after a time: windows begin after it, or include it.
JUST_AFTER_S = 1e-7


@attrs.frozen
class RepeatBound:
    """In each window, a service gets `ratio` repeats a request and `slack`."""

    ratio: float
    slack: float
    window_s: float


@attrs.frozen
class RepeatWindow:
    """Repeats in the window from `start`, and what was allowed there."""

    start: float
    repeats: int
    requests: int
    allowed: float

    @property
    def excess(self):
        return self.repeats - self.allowed


def worst_window(sent, arrived, bound):
    """Returns the window with repeats in which they exceed the bound by most.

    Args:
      sent: When callers sent each request for the service, whether it arrived
        or not: pairs of an id and a time in seconds.
      arrived: When each upstream request reached a worker, whether it was run
        or refused: pairs of the id and a time on the same clock.
      bound: The bound. Requests are counted in the window of the repeats, in
        the one before, or in the one that begins half a window before,
        whichever has most.
    """
    requests = sorted(first_times(sent).values())
    firsts = first_times(arrived)
    repeats = sorted(at for id, at in arrived if at != firsts[id])
    repeats += extra_at_first_times(arrived, firsts)
    repeats.sort()
    if not repeats:
        return RepeatWindow(0.0, 0, 0, bound.slack)
    starts = window_starts(requests, repeats, bound.window_s)
    windows = (make_window(at, requests, repeats, bound) for at in starts)
    return max(
        (window for window in windows if window.repeats),
        key=lambda window: window.excess,
    )


def first_times(pairs):
    times = {}
    for id, at in pairs:
        times[id] = min(at, times.get(id, at))
    return times


def extra_at_first_times(arrived, firsts):
    """Returns the times of arrivals beside the first one at its very time."""
    seen, extra = set(), []
    for id, at in arrived:
        if at == firsts[id]:
            if id in seen:
                extra.append(at)
            seen.add(id)
    return extra


def window_starts(requests, repeats, window_s):
    """Returns where a window begins whose counts differ from its neighbours."""
    offsets = (-window_s, -window_s / 2, 0.0, window_s / 2, window_s)
    starts = {at + offset for at in requests for offset in offsets}
    starts.update(at + offset for at in repeats for offset in (-window_s, 0.0))
    return starts | {at + JUST_AFTER_S for at in starts}


def make_window(start, requests, repeats, bound):
    half_s = bound.window_s / 2
    counted = max(
        count(requests, at, bound.window_s)
        for at in (start, start - half_s, start - bound.window_s)
    )
    return RepeatWindow(
        start,
        count(repeats, start, bound.window_s),
        counted,
        bound.ratio * counted + bound.slack,
    )


def count(times, start, window_s):
    """Returns how many sorted times lie in a window; its end does not."""
    return bisect.bisect_left(times, start + window_s) - bisect.bisect_left(
        times, start
    )
