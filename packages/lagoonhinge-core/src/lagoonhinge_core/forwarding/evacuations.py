"""Zones that the operator evacuates: their upstreams get nothing new.

An evacuation is in force from the moment at which its row is known until the row is
removed. It ends no request that runs.

Load pattern: a zone is emptied under load, and taken back with upstreams that are cold.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from lagoonhinge_core.forwarding.site_store import TableRow

# For how long an evacuation that an older copy of the store lacks stays in force; the
# operator writes it again in that time.
FORGOTTEN_S = 10.0


@dataclass(frozen=True)
class ZoneChanges:
    """Zones whose evacuation began or ended."""

    evacuated: tuple[str, ...] = ()
    taken_back: tuple[str, ...] = ()


@dataclass
class Evacuations:
    """Evacuated zones.

    Attributes:
        zones: The zones.
        forgotten_until_s: Until when evacuations that an older copy of the store lacks
            stay in force, in seconds, by zone.
    """

    zones: set[str] = field(default_factory=set)
    forgotten_until_s: dict[str, float] = field(default_factory=dict)

    def apply(self, rows: Iterable[TableRow]) -> ZoneChanges:
        """Apply changes of evacuations.

        Args:
            rows: The changed rows; each has a zone as its key.
        """
        states = {row.key: row.value is not None for row in rows}
        for zone in states:
            self.forgotten_until_s.pop(zone, None)
        return self._replace(
            (self.zones | {zone for zone, is_present in states.items() if is_present})
            - {zone for zone, is_present in states.items() if not is_present}
        )

    def apply_all(
        self, rows: Iterable[TableRow], is_later_era: bool, now_s: float
    ) -> ZoneChanges:
        """Apply all evacuations that the store has.

        Args:
            rows: Their rows.
            is_later_era: Whether the store came back from an older copy, which may lack
                some of them.
            now_s: The time, in seconds.
        """
        present = {row.key for row in rows if row.value is not None}
        if is_later_era:
            for zone in self.zones - present:
                self.forgotten_until_s.setdefault(zone, now_s + FORGOTTEN_S)
        for zone in present:
            self.forgotten_until_s.pop(zone, None)
        return self._replace(present | self.forgotten_until_s.keys())

    def end_forgotten(self, now_s: float) -> ZoneChanges:
        """End evacuations that were not written again in time."""
        ended = {z for z, end_s in self.forgotten_until_s.items() if end_s <= now_s}
        for zone in ended:
            del self.forgotten_until_s[zone]
        return self._replace(self.zones - ended)

    def _replace(self, zones: set[str]) -> ZoneChanges:
        changes = ZoneChanges(
            tuple(sorted(zones - self.zones)), tuple(sorted(self.zones - zones))
        )
        self.zones = zones
        return changes
