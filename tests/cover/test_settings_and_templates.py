"""Check the validation of settings, templates and accounts, and the samples."""

import tomllib
from pathlib import Path

import msgspec
import pytest
from typer.testing import CliRunner

from kingcuppulley import ClientAccount, Template
from kingcuppulley.control.registers import Register
from kingcuppulley.operators.command_line import ExitCode, application
from kingcuppulley.operators.configuration import check_change, render_configuration
from kingcuppulley.operators.templates import (
    TemplateFaults,
    check_template,
    render_account,
)
from kingcuppulley.settings import (
    MAXIMUM_CONTROL_HOSTS,
    SettingsFaults,
    load_control_settings,
    load_entry_settings,
)

SAMPLES = Path(__file__).parents[2] / "samples"


def sample_template_and_account():
    template = tomllib.loads((SAMPLES / "template-order-desk.toml").read_text())
    account = tomllib.loads((SAMPLES / "account-veriga.toml").read_text())
    return template, account


def convert(template, account):
    return (
        msgspec.convert(template, Template),
        msgspec.convert(account, ClientAccount),
    )


@pytest.mark.parametrize("sample", ["entry-1.toml", "control-1.toml"])
def test_every_sample_of_settings_has_no_faults(sample):
    result = CliRunner().invoke(application, ["check", str(SAMPLES / sample)])
    assert result.exit_code == ExitCode.OK


def test_the_sample_account_fills_in_the_sample_template():
    template, account = convert(*sample_template_and_account())
    check_template(template)
    (service,) = render_account(template, account)
    assert (service.identity, service.port, service.slots) == (
        "veriga/order-desk",
        8081,
        2,
    )


def test_all_faults_of_a_settings_file_are_reported_at_once(tmp_path):
    text = (SAMPLES / "entry-1.toml").read_text()
    text = text.replace("listen_port = 6080", "listen_port = 99999")
    text = text.replace('name = "entry-1"\nleave', 'name = "entry-9"\nspeed = 3\nleave')
    text = text.replace("idle_seconds = 60.0", "idle_seconds = -1.0")
    file = tmp_path / "entry.toml"
    file.write_text(text)
    with pytest.raises(SettingsFaults) as error_info:
        load_entry_settings(file)
    keys = {fault.key for fault in error_info.value.exceptions}
    # The name "entry-9" is missing here: names are compared with the listed hosts only
    # once every value is valid.
    assert keys == {"speed", "fabric.listen_port", "callers.idle_seconds"}
    assert all(str(file) in str(fault) for fault in error_info.value.exceptions)
    result = CliRunner().invoke(application, ["check", str(file)])
    assert result.exit_code == ExitCode.FAULTY_SETTINGS


@pytest.mark.parametrize("text", ["name = ", "", "[[entry_hosts]]\nname = 1"])
def test_an_invalid_settings_file_is_refused(tmp_path, text):
    file = tmp_path / "entry.toml"
    file.write_text(text)
    with pytest.raises(SettingsFaults):
        load_entry_settings(file)


def test_two_control_hosts_with_one_name_are_refused(tmp_path):
    text = (SAMPLES / "control-1.toml").read_text().replace("control-3", "control-2")
    file = tmp_path / "control.toml"
    file.write_text(text)
    with pytest.raises(SettingsFaults, match="faults"):
        load_control_settings(file)


def test_an_even_number_of_control_hosts_is_refused(tmp_path):
    text = (SAMPLES / "control-1.toml").read_text()
    third_host = (
        '[[control_hosts]]\nname = "control-3"\nhost = "127.1.0.13"\nport = 7100\n'
    )
    assert third_host in text
    file = tmp_path / "control.toml"
    file.write_text(text.replace(third_host, ""))
    with pytest.raises(SettingsFaults, match="faults") as error_info:
        load_control_settings(file)
    (fault,) = error_info.value.exceptions
    assert fault.key == "control_hosts" and "odd number" in str(fault)


def test_more_control_hosts_than_the_maximum_are_refused(tmp_path):
    text = (SAMPLES / "control-1.toml").read_text()
    for number in range(4, MAXIMUM_CONTROL_HOSTS + 3):
        text += f'\n[[control_hosts]]\nname = "control-{number}"\n'
        text += f'host = "127.1.0.{number + 10}"\nport = 7100\n'
    file = tmp_path / "control.toml"
    file.write_text(text)
    with pytest.raises(SettingsFaults) as error_info:
        load_control_settings(file)
    (fault,) = error_info.value.exceptions
    assert fault.key == "control_hosts" and "at most 7" in str(fault)


def test_a_settings_file_that_is_not_utf_8_is_refused(tmp_path):
    file = tmp_path / "control.toml"
    file.write_bytes(b'name = "\xff"')
    with pytest.raises(SettingsFaults) as error_info:
        load_control_settings(file)
    (fault,) = error_info.value.exceptions
    assert "UTF-8" in str(fault)


@pytest.mark.parametrize(
    ("parameter", "value", "remedy"),
    [
        ("address", "desk.example", "IPv4"),
        ("slots", 0, "at least 1"),
        ("slots", 65, "at most 64"),
        ("slots", "two", "whole number"),
        ("zones", "west-a", "list of zone names"),
        ("colour", "red", "no such parameter"),
    ],
)
def test_an_invalid_parameter_is_reported_with_its_remedy(parameter, value, remedy):
    template, account = sample_template_and_account()
    account["parameters"][parameter] = value
    with pytest.raises(TemplateFaults) as error_info:
        render_account(*convert(template, account))
    assert any(remedy in str(fault) for fault in error_info.value.exceptions)


def test_a_missing_parameter_without_default_is_reported():
    template, account = sample_template_and_account()
    del account["parameters"]["address"]
    with pytest.raises(TemplateFaults):
        render_account(*convert(template, account))


def test_a_template_that_uses_an_undeclared_parameter_is_refused():
    template, _ = sample_template_and_account()
    template["services"][0]["slots"] = "${places}"
    with pytest.raises(TemplateFaults, match="faults"):
        check_template(msgspec.convert(template, Template))


def make_registers(*documents):
    return [
        Register(key, 1, 1, msgspec.json.encode(document), [])
        for key, document in documents
    ]


def test_two_accounts_cannot_use_one_address():
    template, account = convert(*sample_template_and_account())
    second_account = msgspec.structs.replace(account, name="zlodej")
    configuration = render_configuration(
        make_registers(("template/order-desk", template), ("account/veriga", account))
    )
    with pytest.raises(TemplateFaults, match="already in use"):
        check_change(configuration, second_account)


def test_of_two_concurrent_accounts_with_one_address_the_first_by_name_keeps_it():
    template, account = convert(*sample_template_and_account())
    second_account = msgspec.structs.replace(account, name="zlodej")
    configuration = render_configuration(
        make_registers(
            ("account/zlodej", second_account),
            ("account/veriga", account),
            ("template/order-desk", template),
        )
    )
    assert list(configuration.services) == ["veriga/order-desk"]
    assert "zlodej" in configuration.faults[0]


def test_a_template_change_that_would_break_an_account_is_refused():
    template, account = convert(*sample_template_and_account())
    configuration = render_configuration(
        make_registers(("template/order-desk", template), ("account/veriga", account))
    )
    remaining_parameters = [
        parameter for parameter in template.parameters if parameter.name != "zones"
    ]
    broken_template = msgspec.structs.replace(template, parameters=remaining_parameters)
    with pytest.raises(TemplateFaults):
        check_change(configuration, broken_template)
