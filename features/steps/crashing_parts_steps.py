"""Steps about parts of prompts that crash upstreams."""

from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, replace
from random import Random
from threading import Event, Thread
from time import monotonic, sleep

from behave import given, then, when

from features.steps.platform_node_steps import start_fleet
from features.support.crash_fleet import CrashFleet
from features.support.crash_truth import CrashTruth, check_run, check_truth
from features.support.fleet import Process
from features.support.fuzz import run_examples
from features.support.platform_fleet import PlatformFleet, send
from features.support.waiting import eventually
from lagoonhinge_platform.names import ATTEMPT_ID, PROMPT_PARTS

BAD_PART = "bad0"
PROMPTS_PER_S = 9
BAD_PROMPT_EVERY = 3  # prompts
SENDERS = 16
STABLE_S = 3.0
CRASHES_TO_STABLE = 5
EXIT_POLL_S = 0.02
RESTART_S = 1.0  # until another worker is started in place of one that crashed


@dataclass(frozen=True)
class SentPrompt:
    """A prompt that a client sent.

    Attributes:
        sent_s: When, in seconds of the steady clock.
        is_bad: Whether it has the part that crashes workers.
        status: Status of the answer; `None` without a complete answer.
    """

    sent_s: float
    is_bad: bool
    status: int | None


@given("{nodes:d} nodes on the platform with {workers:d} workers for models")
def step_nodes_and_workers(context, nodes, workers):
    start_fleet(context, {f"m{number}": "models" for number in range(workers)})
    for _ in range(nodes - 1):
        context.fleet.start_platform_node()
    for node in context.fleet.nodes:
        context.fleet.wait_ready(node)


def _running_workers(fleet: PlatformFleet) -> dict[str, Process]:
    return {
        name: worker
        for name, worker in fleet.workers.items()
        if worker.popen.poll() is None
    }


class CrashRecorder:
    """Records when workers crash, and starts others in their place.

    Args:
        fleet: The fleet of the scenario.
    """

    def __init__(self, fleet: PlatformFleet):
        self.fleet = fleet
        self.exits_s: list[float] = []
        self.running = set(_running_workers(fleet))
        self.restarts_s: dict[str, float] = {}  # by the worker that crashed
        self.starting: set[str] = set()

    def run(self, stopped: Event) -> None:
        """Run until stopped."""
        while not stopped.wait(EXIT_POLL_S):
            for name in tuple(self.running):
                self._record_exit(name)
            for name, at_s in tuple(self.restarts_s.items()):
                if monotonic() >= at_s:
                    self._start_in_place_of(name)
            for name in tuple(self.starting):
                self._list_if_started(name)

    def _record_exit(self, name: str) -> None:
        if self.fleet.workers[name].popen.poll() is not None:
            self.running.remove(name)
            self.exits_s.append(monotonic())
            self.restarts_s[name] = monotonic() + RESTART_S

    def _start_in_place_of(self, name: str) -> None:
        del self.restarts_s[name]
        self.fleet.drop_row("servers", name)
        self.fleet.start_worker(f"{name}+")
        self.starting.add(f"{name}+")

    def _list_if_started(self, name: str) -> None:
        try:
            self.fleet.workers[name].put_faults(crashing_part=BAD_PART)
        except OSError:
            return
        self.starting.remove(name)
        self.fleet.list_worker(name, "models")
        self.running.add(name)


def _prompt_parts(number: int, is_bad: bool, place: str) -> str:
    """Return the parts of a prompt; all prompts share the part `base`."""
    first, later = "base", f"topic{number % 3}"
    if is_bad and place == "first":
        first = BAD_PART
    if is_bad and place == "later":
        later = BAD_PART
    return f"{first}:40,{later}:800,own{number}:250"


@when(
    "sound prompts and ones with a {place} part that crashes workers are sent for "
    "{duration:d} s"
)
def step_send_prompts(context, place, duration):
    fleet = context.fleet

    def send_one(number: int, due_s: float) -> SentPrompt:
        is_bad = number % BAD_PROMPT_EVERY == 0
        parts = _prompt_parts(number, is_bad, place)
        node = fleet.nodes[number % len(fleet.nodes)]
        return _send_prompt(node, number, number, parts, is_bad, due_s)

    _send_while_recorded(context, send_one, duration * PROMPTS_PER_S, PROMPTS_PER_S)


@when(
    "the same request that crashes workers and the same sound one are sent together "
    "each second for {duration:d} s"
)
def step_send_pairs(context, duration):
    fleet = context.fleet

    def send_one(number: int, due_s: float) -> SentPrompt:
        pair, is_sound = divmod(number, 2)
        parts = "topic1:40,own1:250" if is_sound else f"{BAD_PART}:40,own0:250"
        node = fleet.nodes[pair % len(fleet.nodes)]
        return _send_prompt(
            node, number, is_sound, parts, not is_sound, due_s - is_sound / 2
        )

    _send_while_recorded(context, send_one, duration * 2, 2)


def _send_while_recorded(
    context, send_one: Callable[[int, float], SentPrompt], count: int, per_s: float
) -> None:
    """Send prompts, each given its number and when it is due, and record crashes."""
    for worker in _running_workers(context.fleet).values():
        worker.put_faults(crashing_part=BAD_PART)
    context.recorder = CrashRecorder(context.fleet)
    stopped = Event()
    thread = Thread(target=context.recorder.run, args=(stopped,))
    thread.start()
    started_s = monotonic()
    with ThreadPoolExecutor(SENDERS) as pool:
        due_s = [started_s + number / per_s for number in range(count)]
        context.sent = list(pool.map(send_one, range(count), due_s))
    stopped.set()
    thread.join()


def _send_prompt(
    node: Process, number: int, content: int, parts: str, is_bad: bool, due_s: float
) -> SentPrompt:
    """Send a prompt when it is due; those with the same content are the same."""
    sleep(max(0.0, due_s - monotonic()))
    sent_s = monotonic()
    answer = send(
        node,
        "POST",
        f"/stream/{content}",
        f"prompt {content}".encode(),
        {ATTEMPT_ID: f"attempt-{number}", PROMPT_PARTS: parts},
    )
    return SentPrompt(sent_s, is_bad, None if answer is None else answer.status)


@when("all nodes are killed, and others are in touch in place of them")
def step_nodes_replaced(context):
    fleet = context.fleet
    killed, fleet.nodes = fleet.nodes, []
    for node in killed:
        node.kill()
    for node in [fleet.start_platform_node() for _ in killed]:
        eventually(lambda node=node: _check_ready(fleet, node))
    sleep(STABLE_S)


def _check_ready(fleet: PlatformFleet, node: Process) -> None:
    assert fleet.is_ready(node), node.log.read_text()[-2000:]


@then("at most {most:d} workers crash since then")
def step_crashes_since(context, most):
    exits_s = context.recorder.exits_s
    assert len(exits_s) <= most, len(exits_s)


def _stable_s(context, crashes: int = CRASHES_TO_STABLE) -> float:
    """Return when crashes have to stop; with fewer than so many, the last counts."""
    return context.recorder.exits_s[:crashes][-1] + STABLE_S


@then("from 3 s after the {nth} crash on, at most {most:d} workers crash")
def step_crashes_stop(context, nth, most):
    from_s = _stable_s(context, {"third": 3, "fifth": CRASHES_TO_STABLE}[nth])
    exits_s = context.recorder.exits_s
    late = [at_s for at_s in exits_s if at_s > from_s]
    assert len(late) <= most, (len(late), len(exits_s))


@then("from 13 s after it on, the sound request is answered")
def step_sound_request_answered(context):
    _check_sound_answered(context, _stable_s(context, 3) + 10.0)


@then("from 6 s after it on, every sound prompt is answered")
def step_sound_answered(context):
    _check_sound_answered(context, _stable_s(context) + STABLE_S)


def _check_sound_answered(context, from_s: float) -> None:
    sound = [
        prompt
        for prompt in context.sent
        if prompt.sent_s > from_s and not prompt.is_bad
    ]
    assert sound
    others = [prompt for prompt in sound if prompt.status != 200]
    assert not others, (len(others), len(sound), others[:3])


SHARES = {"a tenth": 0.1, "a third": 1 / 3, "half": 0.5, "all": 1.0}


@given(
    "a fleet of {nodes:d} nodes and {engines:d} engines, of whose messages {loss:d} of "
    "100 are lost"
)
def step_fleet(context, nodes, engines, loss):
    context.size = (nodes, engines, loss / 100)


@when(
    "{sound:d} sound and {bad:d} bad prompts a second come for {duration:d} s, "
    "{event}, with {seeds:d} seeds"
)
def step_fleet_runs(context, sound, bad, duration, event, seeds):
    nodes, engines, loss = context.size
    context.restarted_s = []
    context.fleets = []
    for seed in range(seeds):
        fleet = CrashFleet(nodes, engines, sound, bad, loss, Random(seed))
        context.fleets.append(fleet)
        match event.split(" of the "):
            case ["nothing else happens"]:
                fleet.run(duration)
            case [event] if event.startswith("answers take"):
                fleet.answer_s = float(event.split()[-2])
                fleet.run(duration)
            case ["engines keep their names"]:
                fleet.keeps_names = True
                fleet.run(duration)
            case [share, restart] if restart.startswith("nodes restart at"):
                at_s = float(restart.split()[-2])
                fleet.run(at_s)
                fleet.restart_nodes(SHARES[share])
                context.restarted_s = [fleet.now_s]
                fleet.run(duration - at_s)
            case [burst] if burst.endswith("together each 6 s"):
                while fleet.now_s < duration:
                    fleet.receive_bad(int(burst.split()[0]))
                    fleet.run(6.0)
            case [share, ends] if ends.startswith("engines ends each"):
                each_s = float(ends.split()[-2])
                while fleet.now_s < duration:
                    fleet.run(each_s)
                    fleet.end_engines(SHARES[share])
            case _:
                raise AssertionError(event)


@when(
    "{sound:d} sound prompts a second come for {duration:d} s, and each 3 s {guilty:d} "
    "that crash engines and {companions:d} others together, with {seeds:d} seeds"
)
def step_groups(context, sound, duration, guilty, companions, seeds):
    nodes, engines, loss = context.size
    context.fleets = [
        CrashFleet(nodes, engines, sound, 0, loss, Random(seed), guilty, companions)
        for seed in range(seeds)
    ]
    for fleet in context.fleets:
        fleet.run(duration)


@then(
    "each that crashes engines reaches them at most {most:d} times later than 3 s "
    "after its third crash"
)
def step_late_guilty(context, most):
    late = [fleet.late_sends(()) for fleet in context.fleets]
    assert max(late) <= most, late


@then("none of the others is refused for more than {most_s:d} s")
def step_companions(context, most_s):
    longest_s = [fleet.longest_refusal_s() for fleet in context.fleets]
    assert max(longest_s) <= most_s, longest_s


@then("later than 3 s after the fifth crash at most {most:d} bad prompts reach engines")
def step_fleet_late(context, most):
    late = [fleet.late_sends(context.restarted_s) for fleet in context.fleets]
    assert max(late) <= most, (late, [len(f.crashes_s) for f in context.fleets])


@then("no sound prompt is refused later than 6 s after it")
def step_fleet_sound(context):
    shares = [f.refused_share(f.stable_s() + STABLE_S) for f in context.fleets]
    assert max(shares) == 0, shares


@then("no sound prompt is refused")
def step_fleet_all_sound(context):
    shares = [fleet.refused_share(0.0) for fleet in context.fleets]
    assert max(shares) == 0, shares


@when("fleets whose truth is known run with {examples:d} examples")
def step_truths(context, examples):
    run_examples(check_truth, examples)


@when(
    "a fleet of {nodes:d} nodes and {engines:d} engines runs with {sound:d} sound and "
    "{bad:d} bad prompts a second, {lost:d} of 100 messages lost, half of the nodes "
    "restarting at {restart:d} s, seed {seed:d}"
)
def step_drawn_fleet(context, nodes, engines, sound, bad, lost, restart, seed):
    context.truth = CrashTruth(
        nodes, engines, sound, bad, 0, 0, 0, 0, lost, restart, seed
    )


@then(
    "{parts:d} guilty parts and {guilty:d} requests beside {beside:d} others are held "
    "back, and what is sound is served"
)
def step_drawn_fleet_checked(context, parts, guilty, beside):
    truth = replace(context.truth, bad_parts=parts, guilty=guilty, companions=beside)
    check_run(truth)
