"""Steps with nodes that serve TLS."""

from ssl import SSLError
from time import monotonic, sleep
from urllib.error import URLError

from behave import given, then
from msgspec import json
from trustme import CA

from features.support.callers import SEED, Completion, completion_text
from features.support.fleet import (
    ZONES,
    Fleet,
    HttpAnswer,
    account_key,
    base_text,
    http,
    overlay_text,
)
from stand_ins.answers import whole_answer

MEMBERSHIP_TIMEOUT_S = 15.0
NODE_SILENT = 8
PROMPT = "Winding specification of core 76-12, please."


def https(context, body: bytes, tls_ca: str | None) -> HttpAnswer:
    """Send one completion over TLS and return its answer."""
    url = f"https://127.0.0.1:{context.fleet.nodes[0].port}/v1/completions"
    headers = {"Authorization": f"Bearer {account_key('tube-mills')}"}
    return http("POST", url, body, headers, tls_ca=tls_ca)


def nodes_report(context) -> dict:
    """Return the report of `lagoonctl nodes`."""
    process = context.fleet.ctl("nodes", "--json", "--tls-ca", context.tls_ca)
    assert process.returncode == 0, process
    return json.decode(process.stdout)


@given("two nodes with certificates of a test authority")
def step_tls_nodes(context):
    context.fleet = fleet = Fleet()
    authority = CA()
    context.tls_ca = str(fleet.path / "ca.pem")
    authority.cert_pem.write_to_path(context.tls_ca)
    issued = authority.issue_cert("127.0.0.1")
    issued.private_key_pem.write_to_path(str(fleet.path / "key.pem"))
    issued.cert_chain_pems[0].write_to_path(str(fleet.path / "cert.pem"))
    fleet.tls_ca = context.tls_ca
    fleet.start_platform()
    fleet.start_engine()
    fleet.start_nodes(
        [ZONES[0]] * 2,
        f"--tls-cert={fleet.path / 'cert.pem'}",
        f"--tls-key={fleet.path / 'key.pem'}",
        f"--tls-ca={context.tls_ca}",
    )
    folder = fleet.write_config(base_text(), overlay_text(fleet))
    applied = fleet.ctl("config", "apply", str(folder), "--tls-ca", context.tls_ca)
    assert applied.returncode == 0, applied.stderr


@then("a caller that trusts the authority gets a whole answer")
def step_trusting(context):
    completion = Completion(PROMPT)
    answer = https(context, completion.body(), context.tls_ca)
    expected = whole_answer(PROMPT, completion.max_tokens, SEED)
    assert completion_text(completion, answer) == expected, answer


@then("a caller that does not trust it gets none")
def step_distrusting(context):
    try:
        https(context, Completion(PROMPT).body(), None)
    except URLError as error:
        assert isinstance(error.reason, SSLError), error
        return
    raise AssertionError("an untrusted certificate was accepted")


@then("plain HTTP gets no answer")
def step_plain(context):
    for port in (context.fleet.nodes[0].port, context.fleet.nodes[0].control_port):
        try:
            http("GET", f"http://127.0.0.1:{port}/healthz", timeout_s=5.0)
        except OSError:
            continue
        raise AssertionError(f"port {port} answered plain HTTP")


@then("each node lists the other as alive")
def step_alive(context):
    deadline_s = monotonic() + MEMBERSHIP_TIMEOUT_S
    while monotonic() < deadline_s:
        nodes = nodes_report(context)["nodes"]
        members = [node["sections"]["MembersSection"]["members"] for node in nodes]
        if all(
            any(m["alive"] for m in members_of_node.values())
            for members_of_node in members
        ):
            return
        sleep(0.5)
    raise AssertionError(members)


@then("lagoonctl with --tls-ca shows both nodes, and without it neither")
def step_ctl(context):
    assert len(nodes_report(context)["nodes"]) == 2
    process = context.fleet.ctl("nodes", "--json")
    assert process.returncode == NODE_SILENT, process
    assert json.decode(process.stdout)["nodes"] == [], process
