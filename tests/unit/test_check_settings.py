"""Settings are checked before a process starts.

Each case replaces a part of valid settings and expects the message and the
line of the error.
"""

import os
import socket
import subprocess
import sys

import pytest

from rattanpier._internal.configuration.parse import load_settings
from rattanpier._internal.exceptions import SettingsError
from tests.lib.cluster import SOURCE
from tests.lib.texts import SETTINGS

CASES = {
    "no file": (
        "port = 8080",
        'port = 8080\ncertificate = "/absent.pem"\nkey = "/absent.key"',
        "there is no readable file '/absent.pem'; give the path",
        "certificate",
    ),
    "certificate without key": (
        "port = 8080",
        'port = 8080\ncertificate = "/absent.pem"',
        "'certificate' and 'key' have to be given together; give both",
        "certificate",
    ),
    "port": ("8080", "80800", "port 80800 does not exist; give 0", "port"),
    "advertised name": (
        "10.0.0.4",
        "entry-1",
        "advertise 'entry-1' is not an IP address",
        "advertise",
    ),
    "advertise nothing": (
        'advertise = "10.0.0.4"\n',
        "",
        "0.0.0.0 can't be advertised to other nodes; give the IP address",
        "[callers]",
    ),
    "table by name": (
        "10.0.0.9",
        "table",
        "has the host name 'table', not an IP address",
        "table_url",
    ),
    "short key": (
        "0123456789abcdef",
        "short",
        "session_key has 5 characters; give at least 16",
        "session_key",
    ),
    "operator key in the clear": (
        "operator_key_sha256 = [",
        'operator_key_sha256 = ["operator", ',
        "a digest is not 64 lowercase hexadecimal digits",
        "operator_key_sha256",
    ),
    "no domain": ('domain = "a"', 'domain = ""', "domain is empty", "domain"),
    "timeout": (
        "max_timeout_s = 300.0",
        "max_timeout_s = 0",
        "max_timeout_s is 0",
        "max_timeout_s",
    ),
    "statsd by name": (
        "[edge]",
        '[metrics]\nhost = "statsd"\n[edge]',
        "host 'statsd' is not an IP address",
        "statsd",
    ),
    "log level": (
        "[edge]",
        '[logs]\nlevel = "warn"\n[edge]',
        "unknown level 'warn'; did you mean 'warning'?",
        "warn",
    ),
    "unknown key": (
        "max_timeout_s = 300.0",
        "max_timeout = 300.0",
        "unknown key 'max_timeout'; did you mean 'max_timeout_s'?",
        "max_timeout",
    ),
}


@pytest.mark.parametrize("case", CASES)
def test_reports_an_invalid_setting(case, tmp_path):
    old, new, what, line = CASES[case]
    assert old in SETTINGS
    text = SETTINGS.replace(old, new, 1)
    path = tmp_path / "s.toml"
    path.write_text(text)
    with pytest.raises(SettingsError) as raised:
        load_settings(str(path))
    assert raised.value.code == "bad_settings"
    first = raised.value.message.splitlines()[0]
    assert what in first
    number = int(first.removeprefix(f"{path}:").split(":")[0])
    assert line in text.splitlines()[number - 1]


def test_accepts_valid_settings(tmp_path):
    path = tmp_path / "s.toml"
    path.write_text(SETTINGS)
    assert load_settings(str(path)).node.name == "entry-1"


def run_entry(path):
    """Runs an entry that is expected to exit during its start."""
    return subprocess.run(
        [
            sys.executable,
            *("-m", "rattanpier._internal.cli.entry"),
            *("--settings", str(path)),
        ],
        capture_output=True,
        text=True,
        env={**os.environ, "PYTHONPATH": SOURCE},
    )


def test_a_process_does_not_start_with_bad_settings(tmp_path):
    path = tmp_path / "s.toml"
    path.write_text(SETTINGS.replace("8080", "80800"))
    result = run_entry(path)
    assert result.returncode == 2
    assert "bad_settings" in result.stderr
    assert "s.toml:10: port 80800 does not exist" in result.stderr


def test_a_process_does_not_start_on_a_port_that_is_taken(tmp_path):
    path = tmp_path / "s.toml"
    with socket.create_server(("127.0.0.1", 0)) as taken:
        port = str(taken.getsockname()[1])
        text = SETTINGS.replace("0.0.0.0", "127.0.0.1").replace("8080", port)
        path.write_text(text.replace("10.0.0.9", "127.0.0.1"))
        result = run_entry(path)
    assert result.returncode == 2
    assert "bad_settings" in result.stderr
    assert "the process can't start" in result.stderr
    assert "Traceback" not in result.stderr
