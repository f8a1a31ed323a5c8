"""Steps that run `lagoonctl` against real processes."""

from shlex import split
from signal import SIGCONT, SIGSTOP
from time import monotonic

from behave import given, then, when
from msgspec import json

from features.support.callers import Completion, post_completion
from features.support.fleet import ZONES, Fleet, base_text, overlay_text
from features.support.shared_fleets import shared_fleet

NODE_SILENT = 8
STATE_BOUND_S = 3.0
REQUESTS = 6


def build_operated_fleet() -> Fleet:
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


def run_ctl(context, line: str):
    """Run one command line; FOLDER stands for the configuration's folder."""
    folder = str(context.operated.config_folder)
    return context.operated.ctl(*split(line.replace("FOLDER", folder)))


def served_by(context) -> set[int]:
    """Return the engines that ran requests sent now, by their executions."""
    engines = context.operated.engines
    before = [engine.get_json("control/ledger")["accepted"] for engine in engines]
    for number in range(REQUESTS):
        completion = Completion(f"prompt {number}", max_tokens=2)
        answer = post_completion(context.operated.nodes[0], completion)
        assert answer.status == 200, answer
    after = [engine.get_json("control/ledger")["accepted"] for engine in engines]
    return {i for i in range(len(engines)) if after[i] > before[i]}


@given("a fleet that an operator looks after")
def step_operated(context):
    context.operated = shared_fleet("operated", build_operated_fleet)


@when("the operator sets the weight of tube-mills to {weight:f}")
def step_weight(context, weight):
    overlay = context.operated.config_folder / "sites" / "perth.toml"
    head = "[accounts.tube-mills]\n"
    text = overlay.read_text().replace(head, f"{head}weight = {weight}\n")
    overlay.write_text(text)


@then('"{line}" exits with {status:d} and prints "{text}"')
def step_prints(context, line, status, text):
    done = run_ctl(context, line)
    assert done.returncode == status, done
    if text:
        assert text in done.stdout, done
    else:
        assert not done.stdout, done


@then('"{line}" exits with {status:d} and prints ""')
def step_prints_nothing(context, line, status):
    step_prints(context, line, status, "")


@then('"{line}" exits with {status:d} and reports "{error}"')
def step_reports(context, line, status, error):
    done = run_ctl(context, line)
    assert done.returncode == status, done
    assert error in " ".join(done.stderr.split()), done


@then("every request runs on engine-{number:d}")
def step_runs_on(context, number):
    assert served_by(context) == {number}


@when("one of its nodes is frozen")
def step_freeze(context):
    context.frozen = context.operated.nodes[1]
    context.frozen.popen.send_signal(SIGSTOP)


@then('"state" and "nodes" name it within 3 seconds and show the others')
def step_names_frozen(context):
    try:
        for command in ("state", "nodes"):
            start = monotonic()
            done = run_ctl(context, f"{command} --json")
            assert monotonic() - start < STATE_BOUND_S, monotonic() - start
            assert done.returncode == NODE_SILENT, done
            assert context.frozen.control_address in done.stderr, done.stderr
            report = json.decode(done.stdout)
            assert len(report["nodes"]) == 2, report
            assert report["silent"][0]["address"] == context.frozen.control_address
    finally:
        context.frozen.popen.send_signal(SIGCONT)
