"""TOML texts that tests break on purpose."""

from rattanpier._internal.utils.hashing import sha256_hex

CONFIGURATION = f"""\
[fleet]
size = 2

[versions."small@1"]
model = "small"
[versions."small@2"]
model = "small"
[versions."large@1"]
model = "large"

[upstreams.drafting]
kind = "engine"
[upstreams.drafting.workers.d1]
url = "http://10.0.0.1:8000"
domain = "a"
versions = ["small@1", "small@2", "large@1"]
[upstreams.drafting.workers.d2]
url = "http://10.0.0.2:8000"
domain = "b"
versions = ["small@1"]

[upstreams.portal]
kind = "plain"
non_repeatable = ["POST /orders"]
[upstreams.portal.workers.p1]
url = "http://10.0.0.3:8000"
domain = "a"

[workspaces.desk]
key_sha256 = ["{sha256_hex("desk")}"]
versions = ["small@1", "small@2", "large@1"]
services = ["portal"]
[workspaces.notary]
key_sha256 = ["{sha256_hex("notary")}"]
versions = ["small@1"]

[cascades.quick]
steps = ["small@1", "large@1"]
[cascades.cheap]
steps = ["small@1"]

[rollouts.small]
stable = "small@1"
candidate = "small@2"
share = 0.1

[[rules]]
name = "notaries"
when.workspaces = ["notary"]
then.cascade = "cheap"

[[rules]]
name = "portal"
when.services = ["portal"]
then.service = "portal"

[[rules]]
name = "long"
when.min_prompt_tokens = 1000
when.stream = false
then.version = "large@1"

[[rules]]
name = "rest"
then.cascade = "quick"
"""

SETTINGS = f"""\
[node]
name = "entry-1"
domain = "a"

[platform]
table_url = "http://10.0.0.9:9000"

[callers]
host = "0.0.0.0"
port = 8080
advertise = "10.0.0.4"

[secrets]
session_key = "0123456789abcdef"
operator_key_sha256 = ["{sha256_hex("operator")}"]

[edge]
max_timeout_s = 300.0
"""
