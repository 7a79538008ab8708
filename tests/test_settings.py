"""Settings files are accepted only if every value is valid; otherwise an error of one line names file and key."""

from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner

from driftcleat.cli.commands import main
from driftcleat.settings import SettingsError, Tuning, load_tuning
from driftcleat.settings.platform import parse_platform

from .samples import raw_settings

TOML = """
label = "a"
domain = "north"
bind = "127.0.0.1:18080"
back = "127.0.0.1:18081"
future = 3
[external]
cloud = "127.0.0.1:18443"
state = "127.0.0.1:12379"
[deployment]
zones = ["north"]
[deployment.workers]
report_s = 2.0
lease_s = 10.0
gang_wait_s = 20.0
gang_peer_s = 5.0
cancel_s = 30.0
[deployment.state]
rps = 200.0
write_rps = 50.0
value_kb = 8.0
txn_ops = 24
[deployment.cloud]
rps = 2.0
list_lag_s = 5.0
[deployment.resources]
"""


@pytest.mark.parametrize(
    ("path", "value"),
    [
        (("bind",), "nowhere"),
        (("label",), ""),
        (("external", "state"), 7),
        (("deployment", "zones"), []),
        (("deployment", "workers", "lease_s"), 0),
        (("deployment", "state", "txn_ops"), 2.5),
        (("deployment", "workers", "report_s"), None),
        (("deployment", "teams"), [{"name": "x"}, {"name": "x"}]),
        (("known",), [{"label": "a", "domain": "z", "address": "h:1"}]),
        # Guards against a process that starts but has too few descriptors to keep its lease alive.
        (("deployment", "resources", "fd_limit"), 100),
    ],
)
def test_error_names_the_invalid_platform_setting(path: tuple[str, ...], value: Any) -> None:
    raw = raw_settings()
    table = raw
    for key in path[:-1]:
        table = table[key]
    if value is None:
        del table[path[-1]]
    else:
        table[path[-1]] = value
    with pytest.raises(SettingsError) as caught:
        parse_platform("site.toml", raw)
    assert "site.toml" in str(caught.value) and path[-1] in str(caught.value) and "\n" not in str(caught.value)


@pytest.mark.parametrize(
    ("text", "key"),
    [
        ("[placement]\nsample = many\n", "placement.sample"),
        ("[placement]\nsampel = 3\n", "placement.sampel"),
        ("[leadership]\nttl = 5\n", "leadership.ttl"),
        ("[fleet]\nsample = 3\n", "fleet.sample"),
        ("sample = 3\n", "INI"),
        ("[fleet]\nidle = nan\n", "fleet.idle"),
        ("[fleet]\ncut = 3\npartitioned = 4\n", "fleet.partitioned"),
    ],
)
def test_error_names_the_invalid_operator_setting(tmp_path: Path, text: str, key: str) -> None:
    path = tmp_path / "ops.ini"
    path.write_text(text)
    with pytest.raises(SettingsError) as caught:
        load_tuning(str(path))
    assert str(path) in str(caught.value) and key in str(caught.value) and "\n" not in str(caught.value)


def test_operator_settings_replace_defaults(tmp_path: Path) -> None:
    path = tmp_path / "ops.ini"
    path.write_text("[placement]\nsample = 5\n[fleet]\nidle = 2\n")
    tuning = load_tuning(str(path))
    assert (tuning.placement_sample_machines, tuning.idle_timeout_boot_times, tuning.leader_ttl_leases) == (
        5,
        2,
        Tuning().leader_ttl_leases,
    )


def test_a_renamed_operator_setting_is_accepted_under_its_old_name(tmp_path: Path) -> None:
    path = tmp_path / "ops.ini"
    path.write_text("[leadership]\ndeaf = 0.5\nhold = 3\n[fleet]\nmany = 0.1\ncut = 5\nthin = 7\n")
    tuning = load_tuning(str(path))
    assert (tuning.heartbeat_loss_timeout_leases, tuning.max_unconfirmed_leases) == (0.5, 3)
    assert (
        tuning.correlated_failure_share,
        tuning.partition_timeout_leases,
        tuning.consolidation_quiet_boot_times,
    ) == (0.1, 5, 7)


def test_command_line_exit_codes_and_messages(tmp_path: Path) -> None:
    good, bad = tmp_path / "good.toml", tmp_path / "bad.toml"
    good.write_text(TOML)
    bad.write_text(TOML.replace("lease_s = 10.0", 'lease_s = "long"'))
    runner = CliRunner()
    assert runner.invoke(main, ["check", str(good)]).exit_code == 0
    result = runner.invoke(main, ["check", str(bad)])
    assert result.exit_code == 2 and "deployment.workers.lease_s" in result.output
    assert "Traceback" not in result.output and result.output.count("\n") == 1
    result = runner.invoke(main, ["--config", str(tmp_path / "none.toml")])
    assert result.exit_code == 2 and "none.toml" in result.output
    assert "driftcleat" in runner.invoke(main, ["--version"]).output
    assert "check" in runner.invoke(main, ["--help"]).output
    result = runner.invoke(main, ["status", "127.0.0.1:1"])
    assert result.exit_code == 1 and "cannot be reached" in result.output
