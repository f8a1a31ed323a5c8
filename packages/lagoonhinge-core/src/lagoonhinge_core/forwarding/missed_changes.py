"""Detects changes of the store that the poll of a table has not delivered.

A poll whose answer is lost looks like one of a table without changes. But each answer
of the store, of any table, has its newest version, and each transaction has a version
of its own. A version after a table's state that belongs to no known row may be a change
of that table, and its poll should have delivered it within milliseconds.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from lagoonhinge_core.forwarding.site_store import StoreTable, TableRow


@dataclass
class MissedChanges:
    """Tables that may have changed although their polls delivered nothing.

    Attributes:
        known_versions: Versions of the rows that were read.
        suspected: Version of the state of each table that seemed out of date at the
            last answer of another table.
    """

    known_versions: set[int] = field(default_factory=set)
    suspected: dict[StoreTable, int] = field(default_factory=dict)

    def record_rows(self, rows: Iterable[TableRow]) -> None:
        """Record rows that were read from any table."""
        self.known_versions.update(row.version for row in rows)

    def tables(
        self, states: Mapping[StoreTable, int], newest: int
    ) -> tuple[StoreTable, ...]:
        """Return the tables to read again.

        A table is returned if it seemed out of date at the answer before as well, so
        that an answer may overtake one of another table.

        Args:
            states: Version up to which each polled table is known.
            newest: Newest version, from an answer of the store.
        """
        self._forget_before(min(states.values(), default=newest))
        outdated = {
            table: version
            for table, version in states.items()
            if self._has_unknown(version, newest)
        }
        missed = tuple(
            table
            for table, version in outdated.items()
            if self.suspected.get(table) == version
        )
        self.suspected = outdated
        return missed

    def _has_unknown(self, after: int, newest: int) -> bool:
        """Return whether a version after a state belongs to no known row."""
        # Most such ranges are short; a range longer than the set has unknown ones.
        if newest - after > len(self.known_versions):
            return True
        return any(
            version not in self.known_versions
            for version in range(after + 1, newest + 1)
        )

    def _forget_before(self, version: int) -> None:
        self.known_versions = {v for v in self.known_versions if v > version}
