"""Builder of configurations with large pools."""

from rattanpier._internal.models.configuration import (
    Fleet,
    Upstream,
    UpstreamKind,
    Worker,
)
from tests.lib.builders import LARGE, SMALL, build_configuration

DOMAINS = ("a", "b", "c", "d")


def pool_configuration(workers, entries, kind=UpstreamKind.ENGINE, **changes):
    """Returns a configuration with one pool, over four failure domains."""
    pool = Upstream(
        kind,
        {
            f"w{number}": Worker(
                f"http://10.0.{number // 250}.{number % 250}:1",
                DOMAINS[number % len(DOMAINS)],
                [SMALL, LARGE],
            )
            for number in range(workers)
        },
    )
    return build_configuration(
        upstreams={"pool": pool},
        fleet=Fleet(entries, 16, 200.0),
        **changes,
    )
