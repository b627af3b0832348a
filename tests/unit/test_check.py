"""The check of a configuration: which ones it refuses and accepts."""

import pytest

from rattanpier._internal.configuration.check import (
    check_configuration,
    require_valid,
)
from rattanpier._internal.configuration.parse import parse_configuration
from rattanpier._internal.exceptions import ConfigurationError
from rattanpier._internal.utils.hashing import sha256_hex
from tests.lib.texts import CONFIGURATION

NOTARY_KEY = sha256_hex("notary")
DESK_KEY = sha256_hex("desk")


def check(text):
    return check_configuration(parse_configuration(text), text, "c.toml")


def replace_once(old, new):
    assert old in CONFIGURATION
    return CONFIGURATION.replace(old, new, 1)


def build_rule(conditions, name="late", action='then.cascade = "cheap"'):
    lines = "\n".join(f"when.{condition}" for condition in conditions)
    return f'[[rules]]\nname = "{name}"\n{lines}\n{action}\n'


# Replaced text, replacement, expected message, expected correction, and a part
# of the line that the problem names.
INVALID_CASES = {
    "unknown version in a cascade": (
        'steps = ["small@1", "large@1"]',
        'steps = ["small@1", "lrge@1"]',
        "unknown version 'lrge@1'",
        "did you mean 'large@1'?",
        '"lrge@1"]',
    ),
    "unknown version on a worker": (
        'domain = "b"\nversions = ["small@1"]',
        'domain = "b"\nversions = ["smal@1"]',
        "unknown version 'smal@1'",
        "did you mean 'small@1'?",
        '"smal@1"]',
    ),
    "unknown version in a workspace": (
        'versions = ["small@1"]\n\n[cascades',
        'versions = ["small@1", "x"]\n\n[cascades',
        "unknown version 'x'",
        "known are 'large@1', 'small@1', 'small@2'",
        '"x"]',
    ),
    "unknown version in a rule": (
        'then.version = "large@1"',
        'then.version = "large@11"',
        "unknown version 'large@11'",
        "did you mean 'large@1'?",
        "then.version",
    ),
    "unknown cascade": (
        'then.cascade = "quick"',
        'then.cascade = "quik"',
        "unknown cascade 'quik'",
        "did you mean 'quick'?",
        '"quik"',
    ),
    "unknown workspace": (
        'when.workspaces = ["notary"]',
        'when.workspaces = ["notary", "notry"]',
        "unknown workspace 'notry'",
        "did you mean 'notary'?",
        "when.workspaces",
    ),
    "unknown service in a condition": (
        'when.services = ["portal"]',
        'when.services = ["portal", "door"]',
        "unknown plain service 'door'",
        "known are 'portal'",
        "when.services",
    ),
    "a pool of engines is no plain service": (
        'then.service = "portal"',
        'then.service = "drafting"',
        "unknown plain service 'drafting'",
        "known are 'portal'",
        "then.service",
    ),
    "unknown service of a workspace": (
        'services = ["portal"]\n[workspaces',
        'services = ["portla"]\n[workspaces',
        "unknown plain service 'portla'",
        "did you mean 'portal'?",
        'services = ["portla"]',
    ),
    "unknown candidate": (
        'candidate = "small@2"',
        'candidate = "small@3"',
        "unknown version 'small@3'",
        "did you mean 'small@",
        "candidate",
    ),
    "candidate is the stable version": (
        'candidate = "small@2"',
        'candidate = "small@1"',
        "stable and candidate are both 'small@1'",
        "name two versions",
        "candidate",
    ),
    "share above 1": (
        "share = 0.1",
        "share = 10",
        "share is 10",
        "give 0 to 1",
        "share = 10",
    ),
    "share that is no number": (
        "share = 0.1",
        "share = nan",
        "share is nan",
        "give 0 to 1",
        "share = nan",
    ),
    "two roll-outs from one version": (
        "share = 0.1\n",
        'share = 0.1\n[rollouts.more]\nstable = "small@1"\n'
        'candidate = "large@1"\n',
        "roll-out 'small' moves traffic from 'small@1' too",
        "halt one",
        'stable = "small@1"',
    ),
    "rule without an action": (
        'name = "rest"\nthen.cascade = "quick"',
        'name = "rest"\nthen = {}',
        "the rule has no action",
        "give exactly one of cascade, version, service, refuse",
        "then = {}",
    ),
    "rule with two actions": (
        'name = "rest"\n',
        'name = "rest"\nthen.refuse = "No."\n',
        "the rule has the actions cascade, refuse",
        "give exactly one of",
        "then.refuse",
    ),
    "empty refusal": (
        'name = "rest"\nthen.cascade = "quick"',
        'name = "rest"\nthen.refuse = " "',
        "refuse is empty",
        "the sentence that callers get",
        "then.refuse",
    ),
    "rule behind one that matches everything": (
        'then.cascade = "quick"\n',
        'then.cascade = "quick"\n' + build_rule(['models = ["x"]']),
        "rule 'late' is never reached: rule 'rest' before it",
        "move it before 'rest', or take it out",
        "[[rules]]",
    ),
    "rule behind a wider one": (
        'name = "rest"\n',
        'name = "longer"\nwhen.min_prompt_tokens = 2000\n'
        'when.stream = false\nwhen.labels.kind = "x"\n'
        'then.version = "large@1"\n[[rules]]\nname = "rest"\n',
        "rule 'longer' is never reached: rule 'long' before it",
        "move it before 'long'",
        "[[rules]]",
    ),
    "empty condition": (
        "when.stream = false",
        "when.stream = false\nwhen.models = []",
        "models is empty, so that the rule never matches",
        "leave the condition out",
        "when.models",
    ),
    "empty range of tokens": (
        "when.stream = false",
        "when.max_prompt_tokens = 10",
        "min_prompt_tokens 1000 is above max_prompt_tokens 10",
        "give a range that is not empty",
        "when.min_prompt_tokens",
    ),
    "two rules of one name": (
        'name = "long"',
        'name = "portal"',
        "rule 'portal' has the name of rule 2",
        "give each rule its own name",
        'name = "portal"',
    ),
    "cascade through a version that is not allowed": (
        'then.cascade = "cheap"',
        'then.cascade = "quick"',
        "cascade 'quick' goes through version 'large@1', which workspace "
        "'notary' may not use",
        "allow it there",
        'then.cascade = "quick"',
    ),
    "version that the named workspace may not use": (
        'then.cascade = "cheap"',
        'then.version = "large@1"',
        "version 'large@1', which workspace 'notary' may not use",
        "allow it there",
        "then.version",
    ),
    "version on no worker": (
        '[versions."large@1"]',
        '[versions."large@2"]\nmodel = "large"\n[versions."large@1"]',
        "version 'large@2' is on no worker",
        "name it in the versions of a worker",
        '[versions."large@2"]',
    ),
    "cascade without steps": (
        'steps = ["small@1"]',
        "steps = []",
        "cascade 'cheap' has no steps",
        "name its versions",
        "steps = []",
    ),
    "cascade with a step twice": (
        'steps = ["small@1"]',
        'steps = ["small@1", "small@1"]',
        "goes through 'small@1' twice",
        "name each version once",
        '"small@1", "small@1"',
    ),
    "host name instead of an IP address": (
        "http://10.0.0.2:8000",
        "http://d2.example:8000",
        "has the host name 'd2.example', not an IP address",
        "http://10.0.0.1:8000",
        "d2.example",
    ),
    "invalid IP address": (
        "http://10.0.0.2:8000",
        "http://10.0.0.256:8000",
        "has the host name '10.0.0.256', not an IP address",
        "http://10.0.0.1:8000",
        "10.0.0.256",
    ),
    "address without a scheme": (
        "http://10.0.0.2:8000",
        "10.0.0.2:8000",
        "is not an HTTP address",
        "http://10.0.0.1:8000",
        '"10.0.0.2:8000"',
    ),
    "port that does not exist": (
        "http://10.0.0.2:8000",
        "http://10.0.0.2:80000",
        "is not a URL",
        "http://10.0.0.1:8000",
        "10.0.0.2:80000",
    ),
    "worker name used twice": (
        "[upstreams.portal.workers.p1]",
        "[upstreams.portal.workers.d1]",
        "worker 'd1' is in upstream 'drafting' too",
        "give each worker its own name",
        "[upstreams.portal.workers.d1]",
    ),
    "versions of a plain service": (
        'url = "http://10.0.0.3:8000"',
        'url = "http://10.0.0.3:8000"\nversions = ["small@1"]',
        "a worker of a plain service has versions",
        "take them out",
        'versions = ["small@1"]',
    ),
    "call without a method": (
        "POST /orders",
        "/orders",
        "'/orders' is not a method and a path",
        "'POST /orders'",
        "non_repeatable",
    ),
    "key of another workspace": (
        NOTARY_KEY,
        DESK_KEY,
        "a key of workspace 'notary' is one of 'desk' already",
        "keys of its own",
        "key_sha256",
    ),
    "key in the clear": (
        NOTARY_KEY,
        "notary",
        "a digest is not 64 lowercase hexadecimal digits",
        "sha256sum",
        '["notary"]',
    ),
    "no claim shards": (
        "size = 2",
        "size = 2\nclaim_shards = 0",
        "claim_shards is 0",
        "a finite number above 0",
        "claim_shards",
    ),
}


@pytest.mark.parametrize("case", INVALID_CASES)
def test_reports_an_invalid_configuration(case):
    old, new, what, right, line = INVALID_CASES[case]
    text = replace_once(old, new)
    problems = check(text)
    assert len(problems) == 1, problems
    assert what in problems[0].what
    assert right in problems[0].right
    assert line in text.splitlines()[problems[0].line - 1]


def test_names_the_line_of_the_rule_that_is_wrong():
    text = replace_once(
        'then.cascade = "quick"\n',
        'then.cascade = "quick"\n' + build_rule(['models = ["x"]']),
    )
    (problem,) = check(text)
    assert text.splitlines()[problem.line] == 'name = "late"'
    assert str(problem).startswith(f"c.toml:{problem.line}: rule 'late'")


VALID_CASES = {
    "as it is": ("", ""),
    "withdrawn version on no worker": (
        '[versions."large@1"]',
        '[versions."large@2"]\nmodel = "large"\nstate = "withdrawn"\n'
        '[versions."large@1"]',
    ),
    "withdrawn version in a cascade": (
        'model = "large"',
        'model = "large"\nstate = "withdrawn"',
    ),
    "draining upstream": (
        'kind = "engine"',
        'kind = "engine"\ndraining = true',
    ),
    "rule behind a narrower one": (
        'name = "rest"\n',
        'name = "longish"\nwhen.min_prompt_tokens = 999\n'
        'when.stream = false\nthen.version = "large@1"\n'
        '[[rules]]\nname = "rest"\n',
    ),
    "rule behind one for another label": (
        'name = "rest"\n',
        'name = "x"\nwhen.labels.kind = "x"\nthen.version = "small@1"\n'
        '[[rules]]\nname = "y"\nwhen.labels.kind = "y"\n'
        'then.version = "small@1"\n[[rules]]\nname = "rest"\n',
    ),
    "a finished roll-out beside a running one": (
        "share = 0.1\n",
        'share = 0.1\n[rollouts.old]\nstable = "small@1"\n'
        'candidate = "large@1"\nstate = "done"\n',
    ),
    "model that no version has": (
        "when.stream = false",
        'when.models = ["auto"]',
    ),
    "version for all, that some may not use": (
        "when.stream = false",
        "when.stream = true",
    ),
}


@pytest.mark.parametrize("case", VALID_CASES)
def test_accepts_a_valid_configuration(case):
    assert check(replace_once(*VALID_CASES[case])) == []


def test_a_workspace_may_be_matched_by_an_earlier_rule():
    old = 'name = "notaries"\nwhen.workspaces = ["notary"]\n'
    assert check(CONFIGURATION) == []
    problems = check(replace_once(old, f"{old}when.stream = true\n"))
    assert [problem.what for problem in problems] == [
        "cascade 'quick' goes through version 'large@1', which workspace "
        "'notary' may not use"
    ]


def test_naming_all_workspaces_equals_naming_none():
    problems = check(
        replace_once(
            'name = "rest"\n',
            'name = "desk"\nwhen.workspaces = ["desk"]\n'
            'then.cascade = "quick"\n[[rules]]\nname = "rest"\n'
            'when.workspaces = ["desk", "notary"]\n',
        ).replace('then.cascade = "quick"\n', 'then.cascade = "cheap"\n')
    )
    assert problems == []


def test_require_valid_raises_all_problems_at_once():
    text = replace_once("share = 0.1", "share = 2").replace(
        "size = 2", "size = 0"
    )
    with pytest.raises(ConfigurationError) as raised:
        require_valid(parse_configuration(text), text, "c.toml")
    assert raised.value.code == "bad_configuration"
    assert len(raised.value.message.splitlines()) == 2
    assert "c.toml:2: size is 0" in raised.value.message
