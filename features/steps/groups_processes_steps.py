"""Steps of requests by groups of engines, with real processes."""

from concurrent.futures import ThreadPoolExecutor
from time import monotonic, sleep

from behave import given, then, when

from features.support.callers import SEED, Completion, completion_text, post_completion
from features.support.fleet import ZONES, Fleet, base_text, http, overlay_text
from stand_ins.answers import BYTES_PER_TOKEN, whole_answer

ANSWER_TIMEOUT_S = 90.0
START_TIMEOUT_S = 30.0
CONFIG_WITH_LONG_TIME_BOUND = base_text().replace("base_s = 30.0", "base_s = 300.0")


@given("{nodes:d} running nodes and {engines:d} engines of {tokens:d} tokens")
def step_fleet(context, nodes, engines, tokens):
    fleet = context.fleet = Fleet()
    fleet.start_platform()
    for _ in range(engines):
        fleet.start_engine(f"--kv-tokens={tokens}")
    fleet.start_nodes(ZONES[:1] * nodes)
    folder = fleet.write_config(CONFIG_WITH_LONG_TIME_BOUND, overlay_text(fleet))
    applied = fleet.ctl("config", "apply", str(folder))
    assert applied.returncode == 0, applied.stderr
    context.pool = ThreadPoolExecutor(nodes)
    context.add_cleanup(context.pool.shutdown)


def _send_prompts(context, tokens):
    context.prompts = []
    context.answers = []
    for number, node in enumerate(context.fleet.nodes):
        prompt = f"{number} é " + "z" * (tokens * BYTES_PER_TOKEN - 100)
        completion = Completion(prompt)
        context.prompts.append(completion)
        context.answers.append(
            context.pool.submit(
                post_completion, node, completion, timeout_s=ANSWER_TIMEOUT_S
            )
        )


@when("prompts of {tokens:d} tokens are sent to the nodes at once")
def step_send(context, tokens):
    _send_prompts(context, tokens)


@when(
    "a prompt of {tokens:d} tokens has memory on every engine and its node is {event}"
)
def step_send_and_stop(context, tokens, event):
    _send_prompts(context, tokens)
    deadline_s = monotonic() + START_TIMEOUT_S
    while not all(_used_tokens(engine) > 0 for engine in context.fleet.engines):
        assert monotonic() < deadline_s
        sleep(0.02)
    node = context.fleet.nodes[0]
    if event == "stopped":
        assert node.terminate() == 0
        return
    node.kill()
    context.fleet.nodes = []
    context.fleet.start_node(
        ZONES[0], node.port, node.control_port, node.control_address
    )
    context.fleet.wait_started()


def _used_tokens(engine) -> int:
    return http("GET", f"{engine.url}/control/ledger").json()["used_tokens"]


@then("each long prompt receives its whole answer")
def step_whole(context):
    for completion, answer in zip(context.prompts, context.answers, strict=True):
        received = answer.result(ANSWER_TIMEOUT_S)
        assert received.status == 200, received.body[:500]
        expected = whole_answer(completion.prompt, completion.max_tokens, SEED)
        assert completion_text(completion, received) == expected
