"""Text templates of the demo: its configuration and usage message."""

from __future__ import annotations

from collections.abc import Sequence

import attrs

from rattanpier._internal.utils.hashing import sha256_hex

DEMO_KEY = "demo-key"
OPERATOR_KEY = "demo-operator-key"

CONFIGURATION = """\
[fleet]
size = {size}
claim_shards = 4
store_writes_per_s = 200.0

[versions."small@1"]
model = "small"
input_price = 1.0
output_price = 2.0
quality = 0.7

[versions."large@1"]
model = "large"
input_price = 10.0
output_price = 20.0
quality = 0.98

[upstreams.drafting]
kind = "engine"
{engines}
[upstreams.phrases]
kind = "plain"
non_repeatable = ["POST /orders"]
{plain}
[workspaces.demo]
key_sha256 = ["{key}"]
versions = ["small@1", "large@1"]
services = ["phrases"]
quality_target = 0.9

[cascades.quick]
steps = ["small@1", "large@1"]

[[rules]]
name = "large-by-name"
when.models = ["large", "large@1"]
then.version = "large@1"

[[rules]]
name = "phrases"
when.services = ["phrases"]
then.service = "phrases"

[[rules]]
name = "everything-else"
then.cascade = "quick"
"""

USAGE = """\
rattanpier runs on loopback; Ctrl-C ends it.

Entries:        {entries}
Operators:      {operators}
Engine workers: {engines}
Table service:  {table}

Try it:

{curl}

Look at it as an operator:

{orders}
Or, with the openai package (`make run` installed it in .venv):

{snippet}"""

CURL = """\
curl -s {url}/v1/chat/completions \\
  -H 'Authorization: Bearer {key}' -H 'Content-Type: application/json' \\
  -d '{{"model": "auto", "messages": [{{"role": "user", "content": "hello"}}]}}'
"""

ORDERS = """\
export RATTANPIER_URL={url} RATTANPIER_OPERATOR_KEY={key}
.venv/bin/rattanpier status
"""

SNIPPET = """\
import openai

client = openai.OpenAI(base_url="{url}/v1", api_key="{key}")
stream = client.chat.completions.create(
    model="auto",
    messages=[{{"role": "user", "content": "hello"}}],
    stream=True,
)
for chunk in stream:
    print(chunk.choices[0].delta.content, end="", flush=True)
print()
"""


def worker_text(
    upstream: str, number: int, url: str, domains: Sequence[str], more: str = ""
) -> str:
    """Returns the TOML table of one worker."""
    return (
        f"\n[upstreams.{upstream}.workers.{upstream}-{number + 1}]\n"
        f'url = "{url}"\n'
        f'domain = "{domains[number % len(domains)]}"\n{more}'
    )


def configuration_text(
    engine_urls: Sequence[str],
    plain_url: str,
    domains: Sequence[str],
    entries: int,
) -> str:
    """Returns the TOML text of the demo's configuration."""
    versions = 'versions = ["small@1", "large@1"]\n'
    engines = "".join(
        worker_text("drafting", number, url, domains, versions)
        for number, url in enumerate(engine_urls)
    )
    return CONFIGURATION.format(
        size=entries,
        engines=engines,
        plain=worker_text("phrases", 0, plain_url, domains),
        key=sha256_hex(DEMO_KEY),
    )


@attrs.frozen
class Addresses:
    """URLs that the demo prints."""

    entries: Sequence[str]
    operators: Sequence[str]
    engines: Sequence[str]
    table: str


def usage_text(addresses: Addresses) -> str:
    """Returns the usage message that the demo prints once it is ready."""
    first = addresses.entries[0]
    return USAGE.format(
        entries="  ".join(addresses.entries),
        operators="  ".join(addresses.operators),
        engines="  ".join(addresses.engines),
        table=addresses.table,
        orders=ORDERS.format(url=addresses.operators[0], key=OPERATOR_KEY),
        curl=CURL.format(url=first, key=DEMO_KEY),
        snippet=SNIPPET.format(url=first, key=DEMO_KEY),
    )
