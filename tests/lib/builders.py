"""Builders of test data."""

from rattanpier._internal.models.configuration import (
    Cascade,
    Configuration,
    Fleet,
    Rule,
    Then,
    Upstream,
    UpstreamKind,
    Version,
    Worker,
    Workspace,
)
from rattanpier._internal.models.request import RouteRequest
from rattanpier._internal.utils.hashing import sha256_hex

DESK_KEY = "desk-key"
OPERATOR_KEY = "operator-key"
SMALL = "small@1"
LARGE = "large@1"
PHRASES_RULE = """
[[rules]]
name = "phrases"
when.services = ["phrases"]
then.service = "phrases"
"""


def build_configuration(**changes):
    """A configuration with one workspace, two versions and one pool."""
    fields = {
        "revision": 1,
        "fleet": Fleet(size=2, claim_shards=4, store_writes_per_s=200.0),
        "versions": {
            SMALL: Version("small", input_price=1.0, output_price=2.0),
            LARGE: Version("large", input_price=10.0, output_price=20.0),
        },
        "upstreams": {
            "pool": Upstream(
                UpstreamKind.ENGINE,
                {"w1": Worker("http://127.0.0.1:1", "a", [SMALL, LARGE])},
            )
        },
        "workspaces": {
            "desk": Workspace([sha256_hex(DESK_KEY)], [SMALL, LARGE])
        },
        "cascades": {"quick": Cascade([SMALL, LARGE])},
        "rules": [Rule("all", Then(cascade="quick"))],
    }
    return Configuration(**{**fields, **changes})


def build_request(**changes):
    """A request of the workspace `desk`."""
    fields = {"workspace": "desk", "key": "k1", "model": "auto"}
    return RouteRequest(**{**fields, **changes})


def configuration_text(engine_urls, plain_url="", fleet_size=2):
    """TOML text of a configuration over running stand-ins."""
    workers = "\n".join(
        f"""[upstreams.pool.workers.w{number}]
url = "{url}"
domain = "a"
versions = ["{SMALL}", "{LARGE}"]
"""
        for number, url in enumerate(engine_urls)
    )
    plain_urls = [plain_url] if isinstance(plain_url, str) else plain_url
    plain = """
[upstreams.phrases]
kind = "plain"
non_repeatable = ["POST /orders"]
""" + "\n".join(
        f"""[upstreams.phrases.workers.p{number}]
url = "{url}"
domain = "a"
"""
        for number, url in enumerate(plain_urls)
    )
    return f"""
[fleet]
size = {fleet_size}
claim_shards = 4
store_writes_per_s = 200.0
[versions."{SMALL}"]
model = "small"
input_price = 1.0
output_price = 2.0
[versions."{LARGE}"]
model = "large"
input_price = 10.0
output_price = 20.0
[upstreams.pool]
kind = "engine"
{workers}
{plain if plain_url else ""}
[workspaces.desk]
key_sha256 = ["{sha256_hex(DESK_KEY)}"]
versions = ["{SMALL}", "{LARGE}"]
services = [{'"phrases"' if plain_url else ""}]
[cascades.quick]
steps = ["{SMALL}"]
{PHRASES_RULE if plain_url else ""}
[[rules]]
name = "all"
then.cascade = "quick"
"""
