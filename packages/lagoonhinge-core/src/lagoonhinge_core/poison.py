"""Prompts that crash upstreams: strikes, isolation of suspects, and quarantine.

A crash of an upstream adds a strike to every prompt running on it. A prompt with
strikes of two crashes is quarantined if it ran alone in one of them, or if no other
prompt with two strikes ran in either; three crashes are always enough. A quarantined
prompt explains the crashes it ran in, so that the strikes of the prompts beside it are
dropped. A crash is evaluated only after the strikes of other requests and nodes have
had time to arrive.
"""

from collections import defaultdict
from dataclasses import dataclass, replace
from hashlib import blake2b
from typing import Any, TypeAlias

from lagoonhinge_core.peer_messages import Quarantine, Strike

FINGERPRINT_BYTES = 16
MIN_CRASHES_TO_QUARANTINE = 2
CONCLUSIVE_CRASHES = 3  # quarantined whatever other prompts ran
STRIKE_COLLECTION_S = 1.5  # time for the strikes of one crash to arrive
QUARANTINE_S = 600.0
STRIKE_LIFETIME_S = 600.0
MAX_STRIKES = 1000
MAX_QUARANTINES = 1000
MAX_CLEARED_ENTRIES = 1000


@dataclass(frozen=True)
class UpstreamCrash:
    """The crash of one boot of an upstream."""

    upstream: str
    boot: str


@dataclass(frozen=True)
class Clear:
    """The prompt has no strikes."""


@dataclass(frozen=True)
class Suspect:
    """The prompt ran on an upstream that crashed; it may run apart from other suspects.

    Attributes:
        since_wall_s: Time of its newest strike, in seconds since the epoch.
    """

    since_wall_s: float


@dataclass(frozen=True)
class Quarantined:
    """The prompt is refused.

    Attributes:
        remaining_s: Time left in quarantine, in seconds.
    """

    remaining_s: float


PromptStatus: TypeAlias = Clear | Suspect | Quarantined


def fingerprint(model: str, prompt: str) -> str:
    """Return the digest of a prompt, the same at every node and for every account."""
    digest = blake2b(prompt.encode(), digest_size=FINGERPRINT_BYTES)
    digest.update(b"\0" + model.encode())
    return digest.hexdigest()


def _crash_of(strike: Strike) -> UpstreamCrash:
    return UpstreamCrash(strike.upstream, strike.boot)


class Evidence:
    """Which prompts ran in which crash, for the crashes that are due for evaluation."""

    def __init__(self) -> None:
        self.crashes_by_prompt: dict[str, set[UpstreamCrash]] = defaultdict(set)
        self.prompts_by_crash: dict[UpstreamCrash, set[str]] = defaultdict(set)
        self.newest_strike_wall_s: dict[str, float] = defaultdict(float)

    def add(self, prompt: str, crash: UpstreamCrash, at_wall_s: float) -> None:
        """Add one strike."""
        self.crashes_by_prompt[prompt].add(crash)
        self.prompts_by_crash[crash].add(prompt)
        self.newest_strike_wall_s[prompt] = max(
            self.newest_strike_wall_s[prompt], at_wall_s
        )

    def conclusive(self) -> list[str]:
        """Return the prompts of three crashes, or of two and alone in one."""
        return [
            prompt
            for prompt, crashes in self._repeat_suspects()
            if len(crashes) >= CONCLUSIVE_CRASHES
            or any(len(self.prompts_by_crash[crash]) == 1 for crash in crashes)
        ]

    def unambiguous(self) -> list[str]:
        """Return the prompts of two crashes that no other such prompt ran in."""
        repeated = {prompt for prompt, _ in self._repeat_suspects()}
        return [
            prompt
            for prompt, crashes in self._repeat_suspects()
            if all(
                self.prompts_by_crash[crash] & repeated == {prompt} for crash in crashes
            )
        ]

    def _repeat_suspects(self) -> list[tuple[str, set[UpstreamCrash]]]:
        return [
            (prompt, crashes)
            for prompt, crashes in self.crashes_by_prompt.items()
            if len(crashes) >= MIN_CRASHES_TO_QUARANTINE
        ]


class PoisonLedger:
    """Strikes and quarantines known to one node, bounded in number and time."""

    def __init__(self) -> None:
        self.strikes: dict[tuple[str, UpstreamCrash], Strike] = {}
        self.quarantines: dict[str, Quarantine] = {}
        self.cleared: dict[str, float] = {}
        self.retracted: dict[UpstreamCrash, float] = {}

    def add(self, strikes: tuple[Strike, ...], now_wall_s: float) -> None:
        """Add strikes, own or of peers, and update the quarantines."""
        for strike in strikes:
            if strike.at_wall_s > now_wall_s:
                # The sender's clock is ahead.
                strike = replace(strike, at_wall_s=now_wall_s)
            if self._is_current(strike, now_wall_s):
                self.strikes[(strike.fingerprint, _crash_of(strike))] = strike
        self._update_quarantines(now_wall_s)
        _keep_newest(self.strikes, MAX_STRIKES)

    def add_quarantines(
        self, quarantines: tuple[Quarantine, ...], now_wall_s: float
    ) -> None:
        """Add quarantines of peers."""
        for quarantine in quarantines:
            until_s = min(quarantine.until_wall_s, now_wall_s + QUARANTINE_S)
            if until_s > now_wall_s:
                self._quarantine(quarantine.fingerprint, until_s)
        self._drop_explained_strikes()

    def complete(self, prompt: str, now_wall_s: float) -> None:
        """Clear a prompt that has completed.

        Args:
            prompt: Its fingerprint.
            now_wall_s: Time of completion, in seconds since the epoch; strikes up to
                then are void, including those of peers.
        """
        if not any(other == prompt for other, _ in self.strikes):
            return
        self._drop_strikes({prompt})
        self.cleared[prompt] = now_wall_s
        _keep_newest(self.cleared, MAX_CLEARED_ENTRIES)

    def retract_crash(self, crash: UpstreamCrash, now_wall_s: float) -> None:
        """Drop the strikes of a crash whose boot still answers."""
        self.retracted[crash] = now_wall_s
        _keep_newest(self.retracted, MAX_CLEARED_ENTRIES)
        for key in [key for key in self.strikes if key[1] == crash]:
            del self.strikes[key]

    def expire(self, now_wall_s: float) -> None:
        """Drop expired entries, and evaluate the crashes that are due."""
        oldest_wall_s = now_wall_s - STRIKE_LIFETIME_S
        self.strikes = {
            key: strike
            for key, strike in self.strikes.items()
            if strike.at_wall_s > oldest_wall_s
        }
        self.quarantines = {
            prompt: quarantine
            for prompt, quarantine in self.quarantines.items()
            if quarantine.until_wall_s > now_wall_s
        }
        self.cleared = {
            prompt: at for prompt, at in self.cleared.items() if at > oldest_wall_s
        }
        self.retracted = {
            crash: at for crash, at in self.retracted.items() if at > oldest_wall_s
        }
        self._update_quarantines(now_wall_s)

    def prompt_status(self, prompt: str, now_wall_s: float) -> PromptStatus:
        """Return whether a prompt may run, and under which restriction."""
        quarantine = self.quarantines.get(prompt)
        if quarantine is not None and quarantine.until_wall_s > now_wall_s:
            return Quarantined(quarantine.until_wall_s - now_wall_s)
        strike_times_wall_s = [
            s.at_wall_s for (other, _), s in self.strikes.items() if other == prompt
        ]
        return Suspect(max(strike_times_wall_s)) if strike_times_wall_s else Clear()

    def crashes(self) -> frozenset[UpstreamCrash]:
        """Return the crashes that have strikes."""
        return frozenset(crash for _, crash in self.strikes)

    def is_empty(self) -> bool:
        """Return whether there are no strikes and no quarantines."""
        return not self.strikes and not self.quarantines

    def _is_current(self, strike: Strike, now_wall_s: float) -> bool:
        if strike.at_wall_s <= now_wall_s - STRIKE_LIFETIME_S:
            return False
        if _crash_of(strike) in self.retracted:
            return False
        return strike.at_wall_s > self.cleared.get(strike.fingerprint, 0.0)

    def _update_quarantines(self, now_wall_s: float) -> None:
        evidence = self._evidence(now_wall_s)
        for prompt in evidence.conclusive():
            self._quarantine(
                prompt, evidence.newest_strike_wall_s[prompt] + QUARANTINE_S
            )
        self._drop_explained_strikes()
        evidence = self._evidence(now_wall_s)
        for prompt in evidence.unambiguous():
            self._quarantine(
                prompt, evidence.newest_strike_wall_s[prompt] + QUARANTINE_S
            )
        self._drop_explained_strikes()

    def _evidence(self, now_wall_s: float) -> "Evidence":
        newest_strike_wall_s: dict[UpstreamCrash, float] = {}
        for (_, crash), strike in self.strikes.items():
            newest_strike_wall_s[crash] = max(
                newest_strike_wall_s.get(crash, 0.0), strike.at_wall_s
            )
        evidence = Evidence()
        for (prompt, crash), strike in self.strikes.items():
            if newest_strike_wall_s[crash] <= now_wall_s - STRIKE_COLLECTION_S:
                evidence.add(prompt, crash, strike.at_wall_s)
        return evidence

    def _quarantine(self, prompt: str, until_wall_s: float) -> None:
        current = self.quarantines.get(prompt)
        if current is None or current.until_wall_s < until_wall_s:
            self.quarantines[prompt] = Quarantine(prompt, until_wall_s)
            _keep_newest(self.quarantines, MAX_QUARANTINES)

    def _drop_explained_strikes(self) -> None:
        explained = {
            crash for prompt, crash in self.strikes if prompt in self.quarantines
        }
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
