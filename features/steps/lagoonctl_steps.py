"""Steps that run `lagoonctl` against real processes."""

from shlex import split
from signal import SIGCONT, SIGSTOP

from behave import given, then, when
from msgspec import json

from features.support.callers import Completion, post_completion
from features.support.fleet import ZONES, Fleet, base_text, overlay_text
from features.support.shared_fleets import shared_fleet

NODE_SILENT = 8
REPORT_TIMEOUT_S = 3.0
# Start of the interpreter and its imports, part of the 3 s. It is not measured, as it
# grows with the load of the machine.
START_S = 1.0
REQUEST_COUNT = 6


def build_configured_fleet() -> Fleet:
    """Return three nodes and two engines with a configuration in force."""
    fleet = Fleet()
    fleet.start_platform()
    fleet.start_engine()
    fleet.start_engine()
    fleet.start_nodes([ZONES[0]] * 3)
    fleet.config_folder = fleet.write_config(base_text(), overlay_text(fleet))
    applied = fleet.ctl("config", "apply", str(fleet.config_folder))
    assert applied.returncode == 0, applied.stderr
    return fleet


def run_ctl(context, command_line: str):
    """Run `lagoonctl`; FOLDER stands for the configuration's folder."""
    folder = str(context.ctl_fleet.config_folder)
    return context.ctl_fleet.ctl(*split(command_line.replace("FOLDER", folder)))


def find_serving_engines(context) -> set[int]:
    """Send requests and return the numbers of the engines that ran them."""
    engines = context.ctl_fleet.engines
    before = [engine.get_json("control/ledger")["accepted"] for engine in engines]
    for number in range(REQUEST_COUNT):
        completion = Completion(f"prompt {number}", max_tokens=2)
        answer = post_completion(context.ctl_fleet.nodes[0], completion)
        assert answer.status == 200, answer
    after = [engine.get_json("control/ledger")["accepted"] for engine in engines]
    return {i for i in range(len(engines)) if after[i] > before[i]}


@given("a fleet with a configuration in force")
def step_configured_fleet(context):
    context.ctl_fleet = shared_fleet("lagoonctl", build_configured_fleet)


@when("the operator sets the weight of tube-mills to {weight:f}")
def step_weight(context, weight):
    overlay = context.ctl_fleet.config_folder / "sites" / "perth.toml"
    header = "[accounts.tube-mills]\n"
    text = overlay.read_text().replace(header, f"{header}weight = {weight}\n")
    overlay.write_text(text)


@then('"{command_line}" exits with {status:d} and prints "{text}"')
def step_prints(context, command_line, status, text):
    completed = run_ctl(context, command_line)
    assert completed.returncode == status, completed
    if text:
        assert text in completed.stdout, completed
    else:
        assert not completed.stdout, completed


@then('"{command_line}" exits with {status:d} and prints ""')
def step_prints_nothing(context, command_line, status):
    step_prints(context, command_line, status, "")


@then('"{command_line}" exits with {status:d} and reports "{error}"')
def step_reports(context, command_line, status, error):
    completed = run_ctl(context, command_line)
    assert completed.returncode == status, completed
    assert error in " ".join(completed.stderr.split()), completed


@then("every request runs on engine-{number:d}")
def step_runs_on(context, number):
    assert find_serving_engines(context) == {number}


@when("one of its nodes is frozen")
def step_freeze(context):
    context.frozen = context.ctl_fleet.nodes[1]
    context.frozen.popen.send_signal(SIGSTOP)


@then(
    '"state" and "nodes" report it within 2 seconds of their start and show the others'
)
def step_reports_frozen(context):
    try:
        for command in ("state", "nodes"):
            completed = run_ctl(context, f"{command} --json")
            assert completed.returncode == NODE_SILENT, completed
            assert context.frozen.control_address in completed.stderr, completed.stderr
            report = json.decode(completed.stdout)
            assert len(report["nodes"]) == 2, report
            assert report["took_s"] < REPORT_TIMEOUT_S - START_S, report["took_s"]
            assert report["silent"][0]["address"] == context.frozen.control_address
    finally:
        context.frozen.popen.send_signal(SIGCONT)
