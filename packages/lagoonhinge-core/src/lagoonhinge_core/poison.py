"""Prompts that kill upstreams: strikes, isolation of suspects, and quarantine.

A death of an upstream strikes every prompt on it. A prompt struck by two deaths is
quarantined if it was alone in one of them, or if no other such prompt was in either; a
third death ends every doubt. A quarantined prompt explains the deaths it was in, so
that the prompts beside it are no longer suspects. A death is judged only once the
strikes of other requests and nodes had time to arrive.
"""

from collections import defaultdict
from dataclasses import dataclass, replace
from hashlib import blake2b
from typing import Any, TypeAlias

from lagoonhinge_core.peer_messages import Quarantine, Strike

FINGERPRINT_BYTES = 16
DEATHS_TO_QUARANTINE = 2
DEATHS_WITHOUT_DOUBT = 3
GATHER_S = 1.5
QUARANTINE_S = 600.0
STRIKE_LIFETIME_S = 600.0
MAX_STRIKES = 1000
MAX_QUARANTINES = 1000
MAX_CLEARED = 1000


@dataclass(frozen=True)
class Death:
    """The end of one run of an upstream."""

    upstream: str
    boot: str


@dataclass(frozen=True)
class Clear:
    """Nothing is held against the prompt."""


@dataclass(frozen=True)
class Suspect:
    """The prompt was on an upstream that died; it may run apart from other suspects.

    Attributes:
        since_wall_s: Its newest strike, in seconds since the epoch.
    """

    since_wall_s: float


@dataclass(frozen=True)
class Quarantined:
    """The prompt is refused.

    Attributes:
        remaining_s: How much longer, in seconds.
    """

    remaining_s: float


Standing: TypeAlias = Clear | Suspect | Quarantined


def fingerprint(model: str, prompt: str) -> str:
    """Return the digest of a prompt, the same at every node and for every account."""
    digest = blake2b(prompt.encode(), digest_size=FINGERPRINT_BYTES)
    digest.update(b"\0" + model.encode())
    return digest.hexdigest()


def _death_of(strike: Strike) -> Death:
    return Death(strike.upstream, strike.boot)


class Evidence:
    """Who was in which death, for the deaths that are due to be judged."""

    def __init__(self) -> None:
        self.deaths_of: dict[str, set[Death]] = defaultdict(set)
        self.prompts_in: dict[Death, set[str]] = defaultdict(set)
        self.newest_s: dict[str, float] = defaultdict(float)

    def add(self, name: str, death: Death, at_wall_s: float) -> None:
        """Take one strike."""
        self.deaths_of[name].add(death)
        self.prompts_in[death].add(name)
        self.newest_s[name] = max(self.newest_s[name], at_wall_s)

    def certain(self) -> list[str]:
        """Return the prompts of three deaths, or of two and alone in one."""
        return [
            name
            for name, deaths in self._repeated()
            if len(deaths) >= DEATHS_WITHOUT_DOUBT
            or any(len(self.prompts_in[death]) == 1 for death in deaths)
        ]

    def undisputed(self) -> list[str]:
        """Return the prompts of two deaths that no other such prompt was in."""
        repeated = {name for name, _ in self._repeated()}
        return [
            name
            for name, deaths in self._repeated()
            if all(self.prompts_in[death] & repeated == {name} for death in deaths)
        ]

    def _repeated(self) -> list[tuple[str, set[Death]]]:
        return [
            (name, deaths)
            for name, deaths in self.deaths_of.items()
            if len(deaths) >= DEATHS_TO_QUARANTINE
        ]


class PoisonLedger:
    """Strikes and quarantines known to one node, bounded in number and time."""

    def __init__(self) -> None:
        self.strikes: dict[tuple[str, Death], Strike] = {}
        self.quarantines: dict[str, Quarantine] = {}
        self.cleared: dict[str, float] = {}
        self.disproved: dict[Death, float] = {}

    def add(self, strikes: tuple[Strike, ...], now_wall_s: float) -> None:
        """Take strikes, own or of peers, and quarantine whoever they convict."""
        for strike in strikes:
            if strike.at_wall_s > now_wall_s:
                # The sender's clock is ahead.
                strike = replace(strike, at_wall_s=now_wall_s)
            if self._is_news(strike, now_wall_s):
                self.strikes[(strike.fingerprint, _death_of(strike))] = strike
        self._convict(now_wall_s)
        _keep_newest(self.strikes, MAX_STRIKES)

    def add_quarantines(
        self, quarantines: tuple[Quarantine, ...], now_wall_s: float
    ) -> None:
        """Take quarantines of peers."""
        for quarantine in quarantines:
            until_s = min(quarantine.until_wall_s, now_wall_s + QUARANTINE_S)
            if until_s > now_wall_s:
                self._quarantine(quarantine.fingerprint, until_s)
        self._drop_explained()

    def complete(self, prompt: str, now_wall_s: float) -> None:
        """Clear a prompt that has run to its end.

        Args:
            prompt: Its fingerprint.
            now_wall_s: Now; strikes up to then are void, also those of peers.
        """
        if not any(name == prompt for name, _ in self.strikes):
            return
        self._drop_strikes({prompt})
        self.cleared[prompt] = now_wall_s
        _keep_newest(self.cleared, MAX_CLEARED)

    def disprove(self, death: Death, now_wall_s: float) -> None:
        """Void the strikes of a death that did not happen: the run still answers."""
        self.disproved[death] = now_wall_s
        _keep_newest(self.disproved, MAX_CLEARED)
        for key in [key for key in self.strikes if key[1] == death]:
            del self.strikes[key]

    def expire(self, now_wall_s: float) -> None:
        """Drop what is past its time, and judge the deaths that are due."""
        oldest_s = now_wall_s - STRIKE_LIFETIME_S
        self.strikes = {
            key: strike
            for key, strike in self.strikes.items()
            if strike.at_wall_s > oldest_s
        }
        self.quarantines = {
            name: quarantine
            for name, quarantine in self.quarantines.items()
            if quarantine.until_wall_s > now_wall_s
        }
        self.cleared = {n: at for n, at in self.cleared.items() if at > oldest_s}
        self.disproved = {d: at for d, at in self.disproved.items() if at > oldest_s}
        self._convict(now_wall_s)

    def standing(self, prompt: str, now_wall_s: float) -> Standing:
        """Return whether a prompt may run, and how."""
        quarantine = self.quarantines.get(prompt)
        if quarantine is not None and quarantine.until_wall_s > now_wall_s:
            return Quarantined(quarantine.until_wall_s - now_wall_s)
        struck = [
            s.at_wall_s for (name, _), s in self.strikes.items() if name == prompt
        ]
        return Suspect(max(struck)) if struck else Clear()

    def deaths(self) -> frozenset[Death]:
        """Return the deaths that any strike names."""
        return frozenset(death for _, death in self.strikes)

    def is_empty(self) -> bool:
        """Return whether nothing is held against any prompt."""
        return not self.strikes and not self.quarantines

    def _is_news(self, strike: Strike, now_wall_s: float) -> bool:
        if strike.at_wall_s <= now_wall_s - STRIKE_LIFETIME_S:
            return False
        if _death_of(strike) in self.disproved:
            return False
        return strike.at_wall_s > self.cleared.get(strike.fingerprint, 0.0)

    def _convict(self, now_wall_s: float) -> None:
        evidence = self._evidence(now_wall_s)
        for name in evidence.certain():
            self._quarantine(name, evidence.newest_s[name] + QUARANTINE_S)
        self._drop_explained()
        evidence = self._evidence(now_wall_s)
        for name in evidence.undisputed():
            self._quarantine(name, evidence.newest_s[name] + QUARANTINE_S)
        self._drop_explained()

    def _evidence(self, now_wall_s: float) -> "Evidence":
        told_s: dict[Death, float] = {}
        for (_, death), strike in self.strikes.items():
            told_s[death] = max(told_s.get(death, 0.0), strike.at_wall_s)
        evidence = Evidence()
        for (name, death), strike in self.strikes.items():
            if told_s[death] <= now_wall_s - GATHER_S:
                evidence.add(name, death, strike.at_wall_s)
        return evidence

    def _quarantine(self, prompt: str, until_wall_s: float) -> None:
        known = self.quarantines.get(prompt)
        if known is None or known.until_wall_s < until_wall_s:
            self.quarantines[prompt] = Quarantine(prompt, until_wall_s)
            _keep_newest(self.quarantines, MAX_QUARANTINES)

    def _drop_explained(self) -> None:
        explained = {death for name, death in self.strikes if name in self.quarantines}
        for key in [
            key
            for key in self.strikes
            if key[1] in explained and key[0] not in self.quarantines
        ]:
            del self.strikes[key]

    def _drop_strikes(self, prompts: set[str]) -> None:
        for key in [key for key in self.strikes if key[0] in prompts]:
            del self.strikes[key]


def _keep_newest(entries: dict[Any, Any], limit: int) -> None:
    while len(entries) > limit:
        del entries[next(iter(entries))]
