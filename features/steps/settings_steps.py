"""Steps that check the node's settings."""

from dataclasses import fields, replace
from os import environ
from subprocess import run
from sys import executable

from behave import then, when
from returns.result import Failure

from lagoonhinge_node.settings import RawSettings

EXIT_BAD_SETTINGS = 2
EMPTY = "{empty}"
VALID_SETTINGS = RawSettings(
    listen="127.0.0.1:8100",
    control_listen="127.0.0.1:8101",
    site="perth",
    zone="perth-north",
    vm="entry-1",
    platform_url="http://127.0.0.1:1",
    peer="",
    operator_token="x" * 16,
    peer_secret="y" * 16,
    balancer_lag_s="2",
    config_poll_s="2",
    gossip_interval_s="1",
    log_json="false",
    log_level="info",
    tls_cert="",
    tls_key="",
    tls_ca="",
)


def run_node(flags, variables):
    """Run a node that is expected to exit and return the finished process."""
    return run(
        (executable, "-m", "lagoonhinge_node.main", *flags),
        env={**environ, **variables},
        capture_output=True,
        text=True,
        timeout=30,
        check=False,
    )


@when('the node\'s settings have {flag} set to "{value}"')
def step_setting(context, flag, value):
    field = flag.removeprefix("--").replace("-", "_")
    assert field in {f.name for f in fields(RawSettings)}, field
    raw = replace(VALID_SETTINGS, **{field: "" if value == EMPTY else value})
    context.result = raw.check()


@then('the errors name {flag}, "{shown}" and "{reason}"')
def step_errors(context, flag, shown, reason):
    assert isinstance(context.result, Failure), context.result
    error = context.result.failure()[0]
    variable = "LAGOONHINGE_" + flag.removeprefix("--").replace("-", "_").upper()
    assert error.flag == f"{flag} ({variable})", error
    assert error.value == ("" if shown == EMPTY else shown), error
    assert reason in error.reason, error


@when("a node process is started with three bad settings")
def step_bad_settings(context):
    context.process = run_node(
        ("--listen=nowhere", "--site=perth", "--zone=perth-north", "--vm=entry-1"),
        {"LAGOONHINGE_PEER_SECRET": "short", "LAGOONHINGE_OPERATOR_TOKEN": "x" * 16},
    )


@then("it exits with status 2 and names all three on standard error")
def step_exit(context):
    process = context.process
    assert process.returncode == EXIT_BAD_SETTINGS, process
    lines = process.stderr.strip().splitlines()
    assert len(lines) == 3, lines
    for flag in ("--listen", "--platform-url", "--peer-secret"):
        assert any(line.startswith(flag) for line in lines), lines


@when("a node process is started with a bad variable and a good flag")
def step_flag_first(context):
    context.process = run_node(
        ("--log-level=error",), {"LAGOONHINGE_LOG_LEVEL": "loud"}
    )


@then("standard error does not name that setting")
def step_not_named(context):
    assert context.process.returncode == EXIT_BAD_SETTINGS, context.process
    assert "--log-level" not in context.process.stderr, context.process.stderr
