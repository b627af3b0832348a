"""Judge of prompt parts that crash workers.

Few requests with such a part, new ones or repeats, reach workers later than
the contact time after the fifth crash under it.
"""

CRASHES = 5
CONTACT_S = 3.0
ALLOWED_SENDS = 3


def late_sends(crashes, sends):
    """Returns the times at which requests with a part came too late.

    Args:
      crashes: Times of the crashes under the part, one for each worker.
      sends: Times at which requests with it reached workers.
    """
    crashes = sorted(crashes)
    if len(crashes) < CRASHES:
        return []
    since = crashes[CRASHES - 1] + CONTACT_S
    return [at for at in sends if at > since]
