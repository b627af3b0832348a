"""Texts that don't match the schema: line, message and correction."""

import pytest

from rattanpier._internal.configuration.parse import parse_configuration
from rattanpier._internal.exceptions import ConfigurationError

CASES = {
    "no TOML": ("[fleet]\nsize =\n", "c.toml:2: Invalid value"),
    "unknown key": (
        '[versions.a]\nmodel = "m"\nsate = "paused"\n',
        "c.toml:3: unknown key 'sate'; did you mean 'state'?",
    ),
    "unknown table": (
        "[worksapces.a]\n",
        "c.toml:1: unknown key 'worksapces'; did you mean 'workspaces'?",
    ),
    "missing key": ("[versions.a]\n", "c.toml:1: 'model' is missing; add it"),
    "unknown state": (
        '[versions.a]\nmodel = "m"\nstate = "gone"\n',
        "c.toml:3: 'gone' is not a valid VersionState; known are 'paused'",
    ),
    "number as a text": (
        '[fleet]\nsize = "8"\n',
        "c.toml:2: '8' is wrong; give a whole number",
    ),
    "flag as a text, which would be true": (
        '[upstreams.a]\nkind = "plain"\nworkers = {}\ndraining = "false"\n',
        "c.toml:4: 'false' is wrong; give true or false",
    ),
    "fraction that would be cut": (
        "[fleet]\nclaim_shards = 4.7\n",
        "c.toml:2: 4.7 is wrong; give a whole number",
    ),
    "text as a list, which would be its letters": (
        '[cascades.a]\nsteps = "small"\n',
        "c.toml:2: 'small' is wrong; give a list",
    ),
    "value as a table": (
        '[[rules]]\nname = "x"\nthen = "refuse"\n',
        "c.toml:3: 'refuse' is wrong; give a table",
    ),
    "in the second of two rules": (
        '[[rules]]\nname = "x"\n[rules.then]\nversion = "v"\n'
        '[[rules]]\nname = "y"\n[rules.then]\nversion = 1\n',
        "c.toml:8: 1 is wrong; give a text in quotes",
    ),
}


@pytest.mark.parametrize("case", CASES)
def test_error_names_the_line_and_the_correction(case):
    text, report = CASES[case]
    with pytest.raises(ConfigurationError) as raised:
        parse_configuration(text, "c.toml")
    assert raised.value.message.startswith(report)
    assert raised.value.code == "bad_configuration"
