"""Stateful fuzzing of a zone's watch of a store that comes back from older copies."""

from asyncio import sleep
from dataclasses import dataclass, field
from random import Random

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from features.support.fuzz import run_machine
from features.support.virtual_time import VirtualLoop
from features.support.watch_fleet import (
    IN_FORCE_S,
    STORE_DELAY_S,
    FakeStore,
    WatchFleet,
)
from lagoonhinge_core.forwarding.site_store import StoreTable, TableRow
from lagoonhinge_node.forwarding.store_watch import NODES_PAUSE_S

NODES = ("n0", "n1", "n2")
UPSTREAMS = ("u0", "u1", "u2")
ZONES = ("east", "south")
MOST_RETURNS = 3
START_S = 3.5
MAX_LATENESS_S = 1.0
LATE_CALL_S = 0.4  # long enough for a return of the store during a call
Rows = dict[tuple[StoreTable, str], TableRow]


@dataclass
class RecordedStore(FakeStore):
    """A store that keeps each of its states.

    Attributes:
        states: All rows by era and version.
        configs: Each time at which the configuration changed, with its version.
    """

    states: dict[tuple[int, int], Rows] = field(default_factory=dict)
    configs: list[tuple[float, int]] = field(default_factory=list)

    def write(self, table: StoreTable, key: str, value: object) -> None:
        """Write a row; `None` removes it."""
        super().write(table, key, value)
        self.record()

    def restore(self, copy: tuple[int, Rows]) -> None:
        """Come back from an older copy."""
        super().restore(copy)
        self.record()

    def record(self) -> None:
        """Keep the present state."""
        self.states[(self.era, self.version)] = dict(self.rows)
        row = self.rows.get((StoreTable.CONFIG, "config"))
        version = 0 if row is None or row.value is None else int(row.value)
        self.configs.append((self.loop.time(), version))

    def oldest_config(self, from_s: float, to_s: float) -> int:
        """Return the least version of the configuration within a time."""
        before = [version for at_s, version in self.configs if at_s <= from_s]
        within = [version for at_s, version in self.configs if from_s < at_s <= to_s]
        return min(before[-1:] + within)


class EraMachine(RuleBasedStateMachine):
    """Nodes of a zone with the product's own watch, whose calls and messages fail."""

    def __init__(self):
        super().__init__()
        self.loop = VirtualLoop()
        self.fleet = WatchFleet(self.loop, Random(1))
        self.store = self.fleet.store = RecordedStore(self.loop)
        self.store.record()
        self.config_version = 0
        self.copies: list[tuple[int, Rows]] = []
        # Latest era of each replica by node, and of the node with `None`.
        self.eras: dict[tuple[str, StoreTable | None], int] = {}
        self.write_config()
        self.store.write(StoreTable.UPSTREAMS, UPSTREAMS[0], False)
        for name in NODES:
            self.run(self.fleet.start_node(name))
        self.pass_time(START_S)
        self.copies = [self.store.copy()]

    def run(self, work) -> None:
        """Run a coroutine."""
        self.loop.run_until_complete(work)

    @rule(seconds=st.sampled_from((0.005, 0.05, 0.3, 0.8, 2.5)))
    def pass_time(self, seconds):
        self.run(sleep(seconds))

    @rule()
    def write_config(self):
        self.copies.append(self.store.copy())
        self.config_version += 1
        self.fleet.put_config(self.config_version)

    @rule(name=st.sampled_from(UPSTREAMS), value=st.sampled_from((False, True, None)))
    def write_upstream(self, name, value):
        self.copies.append(self.store.copy())
        self.store.write(StoreTable.UPSTREAMS, name, value)

    @rule(zone=st.sampled_from(ZONES), is_evacuated=st.booleans())
    def write_evacuation(self, zone, is_evacuated):
        self.copies.append(self.store.copy())
        self.store.write(StoreTable.EVACUATIONS, zone, True if is_evacuated else None)

    @precondition(lambda self: self.store.era < MOST_RETURNS)
    @rule(
        writes=st.lists(st.sampled_from((*UPSTREAMS, "config")), max_size=3),
        age_s=st.sampled_from((0.0, 0.05, 0.3, 2.5)),
        away_s=st.sampled_from((0.0, 0.0, 0.5, 3.5)),
        are_late=st.booleans(),
        data=st.data(),
    )
    def return_from_copy(self, writes, age_s, away_s, are_late, data):
        """Let the store come back without the last writes, or even older."""
        older = self.copies[-4:]
        self.copies.append(self.store.copy())
        delay_s = self.store.delay_s
        # Answers of the old era then arrive after those of the new one.
        self.store.delay_s = LATE_CALL_S if are_late else delay_s
        for name in writes:
            if name == "config":
                self.write_config()
            else:
                self.store.write(StoreTable.UPSTREAMS, name, None)
        self.pass_time(age_s)
        self.store.delay_s = delay_s
        if away_s:
            refused = set(self.store.refused)
            self.store.refused.update(NODES)
            self.store.wake()
            self.pass_time(away_s)
            self.store.refused = refused
        copies = [self.copies[-1 - writes.count("config")], *older]
        self.store.restore(copies[data.draw(st.integers(0, len(copies) - 1))])

    @rule(
        names=st.sets(st.sampled_from(NODES)),
        fault=st.sampled_from(("refused", "silent")),
    )
    def break_calls(self, names, fault):
        getattr(self.store, fault).update(names)
        self.store.wake()

    @rule()
    def mend_calls(self):
        self.store.refused.clear()
        self.store.silent.clear()
        self.store.hanging.clear()
        self.store.delay_s = STORE_DELAY_S
        self.store.forgets = False

    @rule(
        node=st.sampled_from(NODES),
        table=st.sampled_from(tuple(StoreTable)),
    )
    def hang_poll(self, node, table):
        self.store.hanging.add((node, table))
        self.store.wake()

    @rule(delay_s=st.sampled_from((STORE_DELAY_S, LATE_CALL_S)))
    def delay_calls(self, delay_s):
        self.store.delay_s = delay_s

    @rule()
    def forget_history(self):
        self.store.forgets = True

    @rule(
        loss=st.sampled_from((0.0, 0.0, 0.5, 1.0)),
        lateness_s=st.sampled_from((0.0, 0.1, MAX_LATENESS_S)),
    )
    def change_network(self, loss, lateness_s):
        self.fleet.loss, self.fleet.lateness_s = loss, lateness_s

    @rule(name=st.sampled_from(NODES), down_s=st.sampled_from((0.0, 0.5, 3.0)))
    def restart_node(self, name, down_s):
        self.run(self.fleet.stop_node(name))
        self.eras = {key: era for key, era in self.eras.items() if key[0] != name}
        self.pass_time(down_s)
        self.run(self.fleet.start_node(name))

    @rule(data=st.data(), name=st.sampled_from(NODES))
    def repeat_messages(self, data, name):
        recent = self.fleet.sent_messages[-60:]
        if recent:
            for message in data.draw(
                st.lists(st.sampled_from(recent), min_size=1, max_size=4)
            ):
                self.fleet.deliver(name, message)

    @rule()
    def settle(self):
        """Let all faults end; then every node has exactly the store's rows."""
        self.mend_calls()
        self.store.wake()
        self.fleet.loss, self.fleet.lateness_s = 0.0, 0.0
        # A poll that hung may last its wait, and late messages may come.
        self.pass_time(2 * IN_FORCE_S + MAX_LATENESS_S)
        self.check_rows(StoreTable.CONFIG, StoreTable.UPSTREAMS)
        self.pass_time(2 * NODES_PAUSE_S)
        self.check_rows(*StoreTable)
        entries = self.store.row_versions(StoreTable.NODES)
        assert entries.keys() == set(NODES), entries

    def check_rows(self, *tables: StoreTable) -> None:
        """Check that every node has the store's rows and uses them."""
        for name, watch in self.fleet.watches.items():
            for table in tables:
                expected = self.store.row_versions(table)
                actual = watch.replicas[table].row_versions
                assert actual == expected, (name, table, actual, expected)
            listed = watch.serving.directory.by_instance
            expected_upstreams = {
                key: row.value == b"true"
                for (table, key), row in self.store.rows.items()
                if table is StoreTable.UPSTREAMS and row.value is not None
            }
            actual_upstreams = {
                entry.instance: entry.leaving for entry in listed.values()
            }
            assert actual_upstreams == expected_upstreams, (name, actual_upstreams)

    @invariant()
    def replicas_are_states_of_the_store(self):
        for name, watch in self.fleet.watches.items():
            for table, replica in watch.replicas.items():
                if replica.version is None:
                    continue
                rows = self.store.states[(replica.era, replica.version)]
                expected = {
                    key: row.version
                    for (of, key), row in rows.items()
                    if of is table and row.value is not None
                }
                assert replica.row_versions == expected, (name, table, replica.era)

    @invariant()
    def known_evacuations_are_in_force(self):
        for name, watch in self.fleet.watches.items():
            known = watch.replicas[StoreTable.EVACUATIONS].row_versions.keys()
            evacuations = watch.serving.evacuations
            assert evacuations.zones - evacuations.forgotten_until_s.keys() == known, (
                name,
                evacuations,
                known,
            )

    @invariant()
    def eras_never_decrease(self):
        for name, watch in self.fleet.watches.items():
            eras = {table: replica.era for table, replica in watch.replicas.items()}
            for table, era in {**eras, None: watch.store_replicas.era}.items():
                key = (name, table)
                assert era >= self.eras.get(key, 0), (table, era)
                self.eras[key] = era

    @invariant()
    def no_older_configuration_is_confirmed(self):
        for name, watch in self.fleet.watches.items():
            confirmed_s = watch.serving.freshness.confirmed_s
            if confirmed_s is not None:
                version = self.fleet.config_version(name)
                # The store read its clock during a call that began at that time.
                end_s = confirmed_s + LATE_CALL_S
                oldest = self.store.oldest_config(confirmed_s, end_s)
                assert version >= oldest, (name, version, oldest, confirmed_s)

    def teardown(self):
        """Check the end state, and end all nodes."""
        try:
            self.settle()
        finally:
            for name in tuple(self.fleet.watches):
                self.run(self.fleet.stop_node(name))
            self.loop.close()


def run_era_machine(examples: int) -> None:
    """Run the machine with a fixed seed."""
    run_machine(EraMachine, examples, 25)
