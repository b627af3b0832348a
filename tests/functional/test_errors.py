"""Each error of a caller is answered with a stable code."""

import json

import aiohttp
import openai
import pytest

from rattanpier._internal.commands.demo import running_demo
from rattanpier._internal.commands.demo_text import DEMO_KEY
from rattanpier._internal.configuration.store import Revision, propose
from rattanpier._internal.store.table import HttpTable
from rattanpier._internal.utils.hashing import sha256_hex
from tests.lib.cluster import wait_for

TRIAL_KEY = "trial-key"
TRIAL = f"""
[workspaces.trial]
key_sha256 = ["{sha256_hex(TRIAL_KEY)}"]
versions = ["small@1"]
[cascades.trial]
steps = ["small@1"]
"""
TRIAL_RULE = """
[[rules]]
name = "trial-refuses"
when.workspaces = ["trial"]
when.labels.kind = "long"
then.refuse = "Trials are short."
[[rules]]
name = "trial"
when.workspaces = ["trial"]
when.models = ["auto"]
then.cascade = "trial"
[[rules]]
name = "everything-else"
when.workspaces = ["demo"]
"""
MESSAGES = [{"role": "user", "content": "hello"}]
CHAT = "/v1/chat/completions"
BODY = {"model": "auto", "messages": MESSAGES}

# Method, path, key, headers and body; expected status and code.
CASES = {
    "wrong key": ("POST", CHAT, "wrong", {}, BODY, 401, "bad_key"),
    "no key": ("POST", CHAT, "", {}, BODY, 401, "bad_key"),
    "wrong key for models": (
        *("GET", "/v1/models", "wrong", {}, None),
        *(401, "bad_key"),
    ),
    "not JSON": ("POST", CHAT, DEMO_KEY, {}, "{", 400, "bad_request"),
    "no messages": (
        *("POST", CHAT, DEMO_KEY, {}, {"model": "auto"}),
        *(400, "bad_request"),
    ),
    "bad timeout": (
        *("POST", CHAT, DEMO_KEY, {"X-Timeout-Ms": "soon"}, BODY),
        *(400, "bad_request"),
    ),
    "long key": (
        *("POST", CHAT, DEMO_KEY, {"Idempotency-Key": "k" * 256}, BODY),
        *(400, "bad_request"),
    ),
    "body over the limit": (
        *("POST", CHAT, DEMO_KEY, {}, {**BODY, "pad": "x" * 3 * 2**20}),
        *(413, "body_too_large"),
    ),
    "model that is not allowed": (
        *("POST", CHAT, TRIAL_KEY, {}, {**BODY, "model": "large"}),
        *(403, "model_not_allowed"),
    ),
    "refused by a rule": (
        *("POST", CHAT, TRIAL_KEY, {}),
        {**BODY, "metadata": {"kind": "long"}},
        *(403, "rule_refused"),
    ),
    "no rule": (
        *("POST", CHAT, TRIAL_KEY, {}, {**BODY, "model": "other"}),
        *(404, "no_rule"),
    ),
    "unknown service": (
        *("GET", "/services/absent/x", DEMO_KEY, {}, None),
        *(404, "unknown_service"),
    ),
    "service that is not allowed": (
        *("GET", "/services/phrases/x", TRIAL_KEY, {}, None),
        *(403, "service_not_allowed"),
    ),
    "unknown request": (
        *("GET", "/v1/requests/absent", DEMO_KEY, {}, None),
        *(404, "unknown_request"),
    ),
    "unknown path": (
        *("GET", "/v2/chat", DEMO_KEY, {}, None),
        *(404, "unknown_path"),
    ),
    "wrong method": (
        *("GET", CHAT, DEMO_KEY, {}, None),
        *(405, "method_not_allowed"),
    ),
}


async def apply_trial(system):
    async with aiohttp.ClientSession() as session:
        table = HttpTable(session, system.platform.table_url)
        row = await table.get("config/revision/000000001")
        text = json.loads(row.value)["text"]
        text = text.replace("[cascades.quick]", f"{TRIAL}[cascades.quick]")
        last = '[[rules]]\nname = "everything-else"\n'
        assert last in text
        text = text.replace(last, TRIAL_RULE)
        await propose(table, Revision(2, text, "test", "trial", 0.0))

        async def in_force():
            async with session.get(f"{system.entry_urls[0]}/readyz") as reply:
                return (await reply.json())["revision"] == 2

        await wait_for(in_force)


async def runs(system):
    """Returns all requests that ran at the stand-ins."""
    found = []
    platform = system.platform
    async with aiohttp.ClientSession() as session:
        for url in (*platform.engine_urls, platform.plain_url):
            async with session.get(f"{url}/standin/runs") as response:
                found += await response.json(content_type=None)
    return found


@pytest.fixture
async def system():
    async with running_demo([0, 0]) as system:
        await apply_trial(system)
        yield system


async def test_each_error_has_its_code_and_runs_nothing(system):
    async with aiohttp.ClientSession(system.entry_urls[0]) as session:
        for name, case in CASES.items():
            method, path, key, headers, body, status, code = case
            if key:
                headers = {**headers, "Authorization": f"Bearer {key}"}
            data = body if isinstance(body, str) else json.dumps(body)
            async with session.request(
                method, path, headers=headers, data=data if body else None
            ) as response:
                error = (await response.json())["error"]
                assert response.headers["X-Request-Id"], name
            assert (response.status, error["code"]) == (status, code), name
            assert error["message"].endswith("."), name
            # An unknown request may have run, and its claim may have expired.
            assert error["not_run"] is (code != "unknown_request"), name
    assert await runs(system) == []


async def test_openai_client_raises_the_matching_exceptions(system):
    def client(key):
        url = f"{system.entry_urls[0]}/v1"
        return openai.AsyncOpenAI(base_url=url, api_key=key, max_retries=0)

    async def ask(key, **changes):
        fields = {"model": "auto", "messages": MESSAGES, **changes}
        async with client(key) as caller:
            return await caller.chat.completions.create(**fields)

    with pytest.raises(openai.AuthenticationError) as raised:
        await ask("wrong")
    assert raised.value.code == "bad_key"
    with pytest.raises(openai.PermissionDeniedError) as raised:
        await ask(TRIAL_KEY, model="large", stream=True)
    assert raised.value.code == "model_not_allowed"
    with pytest.raises(openai.BadRequestError) as raised:
        await ask(DEMO_KEY, messages=[])
    assert raised.value.code == "bad_request"
    with pytest.raises(openai.APIStatusError) as raised:
        await ask(DEMO_KEY, extra_body={"pad": "x" * 3 * 2**20})
    assert (raised.value.status_code, raised.value.code) == (
        413,
        "body_too_large",
    )
    with pytest.raises(openai.NotFoundError) as raised:
        async with client(DEMO_KEY) as caller:
            await caller.embeddings.create(model="m", input="x")
    assert raised.value.code == "unknown_path"


async def test_models_that_a_workspace_may_not_use_are_not_listed(system):
    client = openai.AsyncOpenAI(
        base_url=f"{system.entry_urls[0]}/v1", api_key=TRIAL_KEY
    )
    async with client:
        models = await client.models.list()
    assert [model.id for model in models.data] == ["small@1"]
