"""Steps about the watch of the store within a zone."""

from asyncio import sleep
from random import Random
from zlib import compress

from behave import given, then, when

from features.support.era_machine import run_era_machine
from features.support.virtual_time import VirtualLoop
from features.support.watch_fleet import (
    DRAIN_S,
    IN_FORCE_S,
    UNTRANSLATABLE,
    ZONE,
    WatchFleet,
)
from lagoonhinge_core.forwarding.crash_causes import PART_PREFIX, PossibleCauses
from lagoonhinge_core.forwarding.missed_changes import MissedChanges
from lagoonhinge_core.forwarding.site_store import (
    MAX_QUARANTINE_BYTES,
    StoreTable,
    TableRow,
)
from lagoonhinge_core.forwarding.store_clock import StoreClock
from lagoonhinge_core.forwarding.store_contact import StoreContact
from lagoonhinge_core.forwarding.upstreams import UpstreamRun
from lagoonhinge_node.forwarding.forwarding_metrics import ForwardingMetrics
from lagoonhinge_node.forwarding.peer_messages import (
    PeerMessage,
    StoreCallFailed,
    decode_message,
    encode_message,
)
from lagoonhinge_node.forwarding.site_controllers import UpstreamController
from lagoonhinge_node.forwarding.store_watch import NODES_PAUSE_S

START_S = 3.5
CRASHING_PART = f"{PART_PREFIX}bad"
# A few crashes with it are more than a row of the store takes.
LONG_PART = PART_PREFIX + "x" * (MAX_QUARANTINE_BYTES // 4)
CRASH_INTERVAL_S = 0.5
# Until a crash counts, all nodes know it and it is stored, or stored after a failure.
QUARANTINES_STORED_S = 4.5
CHECK_INTERVAL_S = 0.1
OUTAGE_S = 8.0
EVACUATED = "east"
NESTING_DEPTH = 100_000
SLOW_CALL_S = 0.3  # as long as the interval of updates, and below the takeover age


def _new_fleet(context, seed: int, keeps_quarantines: bool = False) -> WatchFleet:
    if hasattr(context, "loop"):
        context.loop.close()
    context.loop = loop = VirtualLoop()
    context.zone = fleet = WatchFleet(
        loop, Random(seed), keeps_quarantines=keeps_quarantines
    )

    async def start() -> None:
        fleet.put_config(1)
        fleet.store.write(StoreTable.UPSTREAMS, "u1", False)
        for number in range(context.node_count):
            await fleet.start_node(f"n{number:02}")
            await sleep(fleet.random.random() * 0.3 / context.node_count)
        await sleep(START_S)

    loop.run_until_complete(start())
    return fleet


async def _pass_time(fleet: WatchFleet, seconds: float) -> None:
    end_s = fleet.loop.time() + seconds
    while fleet.loop.time() < end_s:
        await sleep(CHECK_INTERVAL_S)
        fleet.check_confirmations()


@given("a zone of {count:d} nodes that have started")
def step_zone(context, count):
    context.node_count = count
    _new_fleet(context, 1)


@given("a zone of {count:d} nodes that keep quarantines")
def step_zone_with_quarantines(context, count):
    context.node_count = count
    _new_fleet(context, 1, keeps_quarantines=True)


@when("{seconds:d} seconds pass with a change of the configuration each {gap:d} s")
def step_pass(context, seconds, gap):
    fleet = context.zone
    context.calls_before = len(fleet.store.calls)
    context.seconds = seconds

    async def run() -> None:
        for number in range(seconds // gap):
            await _pass_time(fleet, gap)
            fleet.put_config(number + 2)
            # Changes within the pause after a change are not seen at once.
            await _pass_time(fleet, 0.01)

    context.loop.run_until_complete(run())


@when("{crashes:d} upstreams end under prompts with a part, {event}, and all nodes end")
def step_crashes_and_end(context, crashes, event):
    fleet = context.zone
    copy = fleet.store.copy()

    async def run() -> None:
        parts = [CRASHING_PART] * crashes
        if event == "others under a part with a long name":
            parts = [LONG_PART] * crashes + parts
        for number, part in enumerate(parts):
            name = f"n{number % context.node_count:02}"
            _crash(fleet, name, PossibleCauses(f"bad{number}", (part,)))
            await sleep(CRASH_INTERVAL_S)
        if event == "the store is away for 2 s":
            fleet.store.refused.update(fleet.watches)
            await sleep(2.0)
            fleet.store.refused.clear()
        await sleep(QUARANTINES_STORED_S)
        match event:
            case "one with the part is answered":
                serving = fleet.watches["n00"].serving
                serving.crashes.record_answer((CRASHING_PART,), serving.clock())
            case "the store has an older copy":
                fleet.store.restore(copy)
            case "the stored values are overwritten":
                fleet.store.quarantines[ZONE] = b"\xc1"
        await sleep(QUARANTINES_STORED_S)
        for name in tuple(fleet.watches):
            await fleet.stop_node(name)

    context.loop.run_until_complete(run())


def _crash(fleet: WatchFleet, node: str, causes: PossibleCauses) -> None:
    """Let an upstream end under a request at a node."""
    serving = fleet.watches[node].serving
    run = UpstreamRun(f"ended by {causes.digest}", 1)
    serving.crashes.add_suspect(causes, run, serving.clock())
    serving.crashes.confirm_crashes(run.instance, serving.clock())


@when("they start again after {down:d} s")
def step_start_again(context, down):
    async def run() -> None:
        await sleep(down)
        for number in range(context.node_count):
            await context.zone.start_node(f"n{number:02}")

    context.loop.run_until_complete(run())


@then("3 s later the part is {state} at every node")
def step_part_state(context, state):
    context.loop.run_until_complete(sleep(3.0))
    prompt = PossibleCauses("another", (CRASHING_PART,))
    for name, watch in context.zone.watches.items():
        crashes, now_s = watch.serving.crashes, context.loop.time()
        remaining_s = crashes.remaining_quarantine_s(prompt, now_s)
        assert (remaining_s > 0) == (state == "refused"), (name, remaining_s)


@then("each value in the store has at most half the size of a row")
def step_value_sizes(context):
    sizes = [len(value) for value in context.zone.store.quarantines.values()]
    assert all(size <= MAX_QUARANTINE_BYTES for size in sizes), sizes


@then("the store was called at most {most:d} times for quarantines")
def step_quarantine_calls(context, most):
    assert context.zone.store.quarantine_calls <= most, (
        context.zone.store.quarantine_calls
    )


@then("the zone made at most {most:d} calls a second, and one node watches the store")
def step_call_rate(context, most):
    calls = len(context.zone.store.calls) - context.calls_before
    assert calls <= most * context.seconds, calls / context.seconds
    assert len(context.zone.watchers()) == 1, context.zone.watchers()


@given("{loss:d} of 100 messages are lost, and others are late by up to {lateness:g} s")
def step_network(context, loss, lateness):
    context.loss, context.lateness_s = loss / 100, lateness


async def _apply_fault(fleet: WatchFleet, fault: str) -> None:
    watchers = fleet.watchers()
    match fault.split():
        case [*_, "silent", "for", "the", "watching", "node"]:
            fleet.store.silent.update(watchers)
        case ["the", "store", "refuses", "the", *_]:
            fleet.store.refused.update(watchers)
        case [*_, "all", "nodes", "but", "one"]:
            names = sorted(set(fleet.watches) - set(watchers))
            fleet.store.refused.update(fleet.watches)
            fleet.store.refused.discard(fleet.random.choice(names))
            # Single nodes are refused for a while before the change, as on some days.
            await _pass_time(fleet, IN_FORCE_S / 8)
        case ["the", "store", "refuses", "half", *_]:
            names = sorted(fleet.watches)
            fleet.store.refused.update(fleet.random.sample(names, len(names) // 2))
            fleet.store.refused.update(watchers)
        case ["the", "store", "loses", *_]:
            fleet.store.forgets = True
        case [*_, "stops", "just", _]:
            for name in watchers:
                await fleet.stop_node(name)


@when("a configuration is written at a random moment and {fault}, for {seeds:d} seeds")
def step_change(context, fault, seeds):
    context.late = []
    for seed in range(seeds):
        fleet = _new_fleet(context, seed)
        fleet.loss, fleet.lateness_s = context.loss, context.lateness_s

        async def run(fleet=fleet, seed=seed) -> None:
            await _pass_time(fleet, fleet.random.random() * IN_FORCE_S)
            if not fault.endswith("after"):
                await _apply_fault(fleet, fault)
            fleet.put_config(2)
            if fault.endswith("after"):
                await _apply_fault(fleet, fault)
            await _pass_time(fleet, IN_FORCE_S)
            cut_off = fleet.store.refused | fleet.store.silent
            context.late += [
                (seed, name)
                for name in fleet.watches
                if fleet.config_version(name) != 2 and name not in cut_off
            ]
            await _pass_time(fleet, IN_FORCE_S)

        context.loop.run_until_complete(run())


@when(
    "the store loses its history, and {seconds:d} seconds pass with a change each "
    "second"
)
def step_history(context, seconds):
    fleet = context.zone
    context.update_count = 0

    async def run() -> None:
        fleet.store.forgets = True
        fleet.store.delay_s = SLOW_CALL_S
        for number in range(seconds):
            fleet.put_config(number + 2)
            for _ in range(100):
                await sleep(0.01)
                for name in fleet.watchers():
                    fleet.watches[name].send_update()
                    context.update_count += 1

    context.loop.run_until_complete(run())


@then("every node that watched the store could send updates at any time")
def step_could_send(context):
    # A node that can't raises an error in the step before.
    assert context.update_count > 100, context.update_count


@then("it is in force within two seconds at every node that reaches the store")
def step_in_force(context):
    assert not context.late, context.late


@then("no node ever confirmed an older configuration after the change")
def step_confirmations(context):
    # Checked at each step of the virtual time.
    context.zone.check_confirmations()


@when(
    "{fault}, an upstream begins to drain {after:g} s later, and configurations are "
    "written {changes}, for {seeds:d} seeds"
)
def step_drain(context, fault, after, changes, seeds):
    context.late = []
    for seed in range(seeds):
        fleet = _new_fleet(context, seed)
        fleet.loss = context.loss

        async def run(fleet=fleet, seed=seed) -> None:
            await _pass_time(fleet, fleet.random.random() * IN_FORCE_S)
            await _disturb_polls(fleet, fault)
            await _pass_time(fleet, after)
            fleet.store.write(StoreTable.UPSTREAMS, "u1", True)
            drained_s = fleet.loop.time()
            version = 2
            while fleet.loop.time() - drained_s < DRAIN_S:
                if changes == "meanwhile":
                    fleet.put_config(version)
                    version += 1
                await _pass_time(fleet, DRAIN_S / 10)
            context.late += [
                (seed, name)
                for name, watch in fleet.watches.items()
                if not watch.serving.directory.by_instance["u1"].leaving
            ]

        context.loop.run_until_complete(run())


def _fail_to_apply(upstreams: UpstreamController, count: int) -> None:
    apply = upstreams.apply
    failures = iter(range(count))

    def fail_first(rows: tuple[TableRow, ...], is_complete: bool) -> None:
        if rows and next(failures, None) is not None:
            raise RuntimeError("an error of a test")
        apply(rows, is_complete)

    upstreams.apply = fail_first


async def _disturb_polls(fleet: WatchFleet, fault: str) -> None:
    match fault.split():
        case ["the", "store", "is", "silent", "for", duration, "s"]:
            fleet.store.silent.update(fleet.watches)
            fleet.store.wake()
            await _pass_time(fleet, float(duration))
            fleet.store.silent.clear()
        case [*_, "hangs"]:
            tables = {StoreTable.UPSTREAMS}
            if "every" in fault:
                tables = set(StoreTable)
            fleet.store.hanging.update(
                (name, table) for name in fleet.watchers() for table in tables
            )
            fleet.store.wake()
        case [*_, "translated"]:
            fleet.store.write(StoreTable.UPSTREAMS, UNTRANSLATABLE, False)
        case ["each", "node", "fails", count, *_]:
            for upstreams in fleet.upstreams.values():
                _fail_to_apply(upstreams, int(count))
        case ["the", "store", "loses", *_]:
            fleet.store.forgets = True
        case [*_, "stops"]:
            for name in fleet.watchers():
                await fleet.stop_node(name)


@when("{fault}, a zone is evacuated {after:g} s later, and {then}, for {seeds:d} seeds")
def step_evacuate(context, fault, after, then, seeds):
    context.late = []
    for seed in range(seeds):
        fleet = _new_fleet(context, seed)
        fleet.loss = context.loss

        async def run(fleet=fleet, seed=seed) -> None:
            await _pass_time(fleet, fleet.random.random() * IN_FORCE_S)
            copy = fleet.store.copy()
            await _disturb_polls(fleet, fault)
            await _pass_time(fleet, after)
            fleet.store.write(StoreTable.EVACUATIONS, EVACUATED, True)
            await _pass_time(fleet, IN_FORCE_S)
            context.late += _nodes_without(fleet, {EVACUATED}, seed)
            match then.split():
                case ["the", "store", "comes", "back", *_]:
                    # The operator writes it again later.
                    fleet.store.restore(copy)
                    for _ in range(4):
                        await _pass_time(fleet, IN_FORCE_S / 4)
                        context.late += _nodes_without(fleet, {EVACUATED}, seed)
                    fleet.store.write(StoreTable.EVACUATIONS, EVACUATED, True)
                case ["a", "node", "starts"]:
                    await fleet.start_node("n99")
            await _pass_time(fleet, IN_FORCE_S)
            context.late += _nodes_without(fleet, {EVACUATED}, seed)
            fleet.store.write(StoreTable.EVACUATIONS, EVACUATED, None)
            await _pass_time(fleet, IN_FORCE_S)
            context.late += _nodes_without(fleet, set(), seed)

        context.loop.run_until_complete(run())


def _nodes_without(
    fleet: WatchFleet, zones: set[str], seed: int
) -> list[tuple[int, str, set[str]]]:
    """Return the nodes whose evacuated zones are others."""
    return [
        (seed, name, watch.serving.evacuations.zones)
        for name, watch in fleet.watches.items()
        if watch.serving.evacuations.zones != zones
    ]


@then("every node knows the evacuation within two seconds, until it is taken back")
def step_evacuation_known(context):
    assert not context.late, context.late


@then("every node knows within two seconds that it is leaving")
def step_drain_known(context):
    assert not context.late, context.late


@when(
    "the store is {away} for 1 s and comes back from a copy that is {old:g} s old, "
    "{times:d} times"
)
def step_restore(context, away, old, times):
    context.restore = (away, old, times)


@when("what the operator and the upstreams wrote since is written again after {s:g} s")
def step_write_again(context, s):
    away, old_s, times = context.restore
    context.went_back = []
    context.extra_calls = 0.0
    context.restored = []
    for seed in range(4):
        fleet = _new_fleet(context, seed)
        fleet.loss, fleet.lateness_s = context.loss, context.lateness_s
        fleet.store.write(StoreTable.UPSTREAMS, "u2", False)
        context.loop.run_until_complete(
            _restore_repeatedly(context, fleet, away, old_s, times, s)
        )
        context.restored.append(fleet)
        _check_rows(fleet, StoreTable.CONFIG, StoreTable.UPSTREAMS)
        context.loop.run_until_complete(_pass_time(fleet, 2 * NODES_PAUSE_S))
        _check_rows(fleet, *StoreTable)
        entries = fleet.store.row_versions(StoreTable.NODES)
        assert entries.keys() == fleet.watches.keys(), entries


def _check_rows(fleet: WatchFleet, *tables: StoreTable) -> None:
    """Check that every node has the store's rows."""
    late = [
        (name, table.value)
        for name, watch in fleet.watches.items()
        for table in tables
        if watch.replicas[table].row_versions != fleet.store.row_versions(table)
    ]
    assert not late, late


async def _restore_repeatedly(context, fleet, away, old_s, times, again_s) -> None:
    version = 1
    faulty = fleet.store.refused if away == "refused" else fleet.store.silent
    for number in range(times):
        await _pass_time(fleet, old_s)
        copy = fleet.store.copy()
        await _pass_time(fleet, old_s / 2)
        version += 1
        fleet.put_config(version)
        # The entries of a new node and of an upstream, and a state, are lost.
        await fleet.start_node(f"new{number}")
        fleet.store.write(StoreTable.UPSTREAMS, f"later{number}", False)
        fleet.store.write(StoreTable.UPSTREAMS, "u1", True)
        await _pass_time(fleet, max(IN_FORCE_S, old_s / 2))
        faulty.update(fleet.watches)
        fleet.store.wake()
        await _pass_time(fleet, 1.0)
        fleet.store.restore(copy)
        faulty.clear()
        returned_s, calls = fleet.loop.time(), len(fleet.store.calls)
        before_s = returned_s - 1.0  # the outage; the steady rate is of the time before
        steady = sum(before_s - old_s <= at_s < before_s for at_s in fleet.store.calls)
        while fleet.loop.time() - returned_s < again_s:
            await _check_restored(context, fleet, version)
        fleet.put_config(version)
        fleet.store.write(StoreTable.UPSTREAMS, f"later{number}", False)
        fleet.store.write(StoreTable.UPSTREAMS, "u1", True)
        written_s = fleet.loop.time()
        while fleet.loop.time() - written_s < IN_FORCE_S:
            await _check_restored(context, fleet, version)
        calls = len(fleet.store.calls) - calls
        steady_calls = steady / old_s * (fleet.loop.time() - returned_s)
        extra = (calls - steady_calls) / len(fleet.watches)
        context.extra_calls = max(context.extra_calls, extra)


async def _check_restored(context, fleet, version: int) -> None:
    await sleep(CHECK_INTERVAL_S)
    for name, watch in fleet.watches.items():
        usable = {entry.instance for entry in watch.serving.usable("desk")}
        if fleet.config_version(name) < version or "u1" in usable:
            context.went_back.append((name, fleet.config_version(name), usable))


@then(
    "every node has configuration and upstreams within two seconds, and the store the "
    "entries of all nodes"
)
def step_restored(context):
    # Checked for each seed in the step before.
    assert len(context.restored) == 4


@then(
    "no node went back to an older configuration, and none sent to an upstream that "
    "had drained"
)
def step_not_back(context):
    assert not context.went_back, context.went_back


@then("each node made at most {most:d} calls more than before")
def step_extra_calls(context, most):
    assert context.extra_calls <= most, context.extra_calls


@when("the store comes back from a copy of now, and {seconds:g} s pass")
def step_return(context, seconds):
    fleet = context.zone
    fleet.store.restore(fleet.store.copy())
    context.loop.run_until_complete(_pass_time(fleet, seconds))


@then("the metrics of every node have the store's era {era:d}")
def step_era_metric(context, era):
    for watch in context.zone.watches.values():
        metrics = ForwardingMetrics()
        metrics.add_store_gauges(watch)
        assert metrics.registry.get_sample_value("lagoonhinge_store_era") == era


@then("the state machine of the store's eras holds for {examples:d} examples")
def step_era_machine(context, examples):
    run_era_machine(examples)


@given(
    "the upstreams are known up to version {upstreams:d}, and the nodes up to version "
    "{nodes:d}"
)
def step_known_versions(context, upstreams, nodes):
    context.states = {StoreTable.UPSTREAMS: upstreams, StoreTable.NODES: nodes}


@when(
    "rows of versions {rows} are known, and answers have the newest versions {newest}"
)
def step_newest_versions(context, rows, newest):
    missed_changes = MissedChanges()
    if rows != "none":
        missed_changes.record_rows(
            TableRow(f"row {version}", b"", int(version)) for version in rows.split(",")
        )
    for version in newest.split(","):
        context.tables = missed_changes.tables(context.states, int(version))


@then("the tables to read again after the last answer are {tables}")
def step_tables_to_read(context, tables):
    expected = [] if tables == "none" else tables.split(" and ")
    assert [table.value for table in context.tables] == expected, context.tables


@when("the calls of all nodes are {fault} for 8 seconds")
def step_outage(context, fault):
    fleet = context.zone
    faulty = fleet.store.refused if fault == "refused" else fleet.store.silent
    context.calls_before = len(fleet.store.calls)

    async def run() -> None:
        faulty.update(fleet.watches)
        fleet.store.wake()
        await _pass_time(fleet, OUTAGE_S)
        faulty.clear()

    context.loop.run_until_complete(run())
    context.calls_after = len(fleet.store.calls)


@then("the zone made at most {most:d} calls a second meanwhile")
def step_failed_call_rate(context, most):
    calls = context.calls_after - context.calls_before
    assert calls <= most * OUTAGE_S, calls / OUTAGE_S


@then("every node has a confirmation within a second of its return")
def step_back(context):
    fleet = context.zone
    returned_s = fleet.loop.time()
    context.loop.run_until_complete(_pass_time(fleet, 1.0))
    late = [
        name
        for name, watch in fleet.watches.items()
        if watch.serving.freshness.confirmed_s < returned_s
    ]
    assert not late, late


@given("configurations 2, 3 and 4 are written, and an upstream is removed")
def step_changes(context):
    fleet = context.zone

    async def run() -> None:
        for version in (2, 3, 4):
            fleet.put_config(version)
            await _pass_time(fleet, 1.0)
        fleet.store.write(StoreTable.UPSTREAMS, "u1", None)
        await _pass_time(fleet, 2.0)

    context.loop.run_until_complete(run())


@when("every message so far is delivered again {order}")
def step_replay(context, order):
    fleet = context.zone
    messages = list(fleet.sent_messages)
    match order:
        case "in reverse order":
            messages.reverse()
        case "in random order":
            Random(1).shuffle(messages)
    for data in messages:
        for name in fleet.watches:
            fleet.deliver(name, data)


@then("every node has configuration {version:d} and not the upstream")
def step_newest(context, version):
    for name, watch in context.zone.watches.items():
        assert context.zone.config_version(name) == version, name
        assert not watch.serving.directory.by_instance, name


@when("a datagram {content} is decoded")
def step_decode(context, content):
    message = PeerMessage(call_failed=StoreCallFailed("n" * 2000))
    data = encode_message(message)
    assert decode_message(data) == message
    match content.split():
        case ["of", "random", "bytes"]:
            data = b"\xc1\x00\x17"
        case ["of", "a", "number"]:
            data = b"\x07"
        case ["of", "deeply", "nested", "lists"]:
            # A map of a field that no message has; 0x91 begins a list of one entry.
            data = compress(b"\x81\xa1x" + b"\x91" * NESTING_DEPTH)
        case [*_, "truncated"]:
            data = data[:-6]
        case [*_, "damaged"]:
            data = data[:-1] + bytes((data[-1] ^ 1,))
        case _:
            data = compress(bytes(5 << 20), 1)
    context.error = None
    try:
        decode_message(data)
    except ValueError as error:
        context.error = str(error)


@then('the datagram is refused with "{reason}"')
def step_decode_error(context, reason):
    assert context.error is not None and reason in context.error, context.error


@given("calls to the store that took {calls}")
def step_calls(context, calls):
    context.clock = StoreClock()
    if calls == "none":
        return
    for call in calls.split(", "):
        times, _, store_s = call.partition(":")
        requested_s, _, received_s = times.partition("-")
        context.clock.observe(float(requested_s), float(received_s), float(store_s))


@then("the store's time {store:g} is the node's time {local} at time {now:g}")
def step_local(context, store, local, now):
    expected = None if local == "unknown" else float(local)
    assert context.clock.local_s(store, now) == expected, context.clock


@given("the store answered {answers}")
def step_answered(context, answers):
    context.contact = StoreContact()
    if answers != "not yet":
        context.contact.record_answer(float(answers.split()[1]))


@when("a call {failure}, and the store answers again at {again:g} s")
def step_answers_again(context, failure, again):
    if failure == "fails":
        context.contact.record_failure()
    context.again_s = again
    context.contact.record_answer(again)


@then("missing entries are kept for {grace:g} s from then on")
def step_grace(context, grace):
    kept_s = max(0.0, context.contact.grace_end_s - context.again_s)
    assert round(kept_s, 6) == grace, kept_s
