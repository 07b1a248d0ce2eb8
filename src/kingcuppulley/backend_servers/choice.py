"""Choose among backend servers that have a free slot."""

from __future__ import annotations

import random
from collections.abc import Sequence
from typing import Protocol

from kingcuppulley.internal.rendezvous import hash_name, weighted_score

DECAY = 0.2


class Candidate(Protocol):
    """Describe one backend server with a free slot."""

    @property
    def name(self) -> str:
        """Return the server's name."""

    @property
    def used_share(self) -> float:
        """Return the used share of the slots that the server bears when warm."""

    @property
    def last_grant(self) -> int:
        """Return the number of the last grant on the server."""


class ChoicePolicy(Protocol):
    """Choose a server, and learn from how long it took."""

    def choose(self, candidates: Sequence[Candidate], lease: str) -> Candidate:
        """Return one of the candidates, of which there is at least one."""

    def record_answer(self, name: str, seconds: float) -> None:
        """Take the service time of one answer."""


class LeastUsed:
    """Take the least used server, and of equals the one granted longest ago."""

    def choose(self, candidates: Sequence[Candidate], lease: str) -> Candidate:
        """Return the least used candidate."""
        return min(candidates, key=lambda c: (c.used_share, c.last_grant))

    def record_answer(self, name: str, seconds: float) -> None:
        """Learn nothing."""


class PowerOfTwoChoices:
    """Take the less used of two servers drawn at random."""

    def __init__(self, generator: random.Random) -> None:
        self._generator = generator

    def choose(self, candidates: Sequence[Candidate], lease: str) -> Candidate:
        """Return the less used of two candidates."""
        drawn = self._generator.sample(candidates, min(2, len(candidates)))
        return min(drawn, key=lambda c: c.used_share)

    def record_answer(self, name: str, seconds: float) -> None:
        """Learn nothing."""


class LeastLoadedWithDecay:
    """Take the server whose recent service time and use promise the earliest end."""

    def __init__(self) -> None:
        self._averages: dict[str, float] = {}

    def choose(self, candidates: Sequence[Candidate], lease: str) -> Candidate:
        """Return the candidate with the smallest product of time and use."""
        return min(candidates, key=self._cost)

    def record_answer(self, name: str, seconds: float) -> None:
        """Move the server's average towards the last service time."""
        average = self._averages.get(name, seconds)
        self._averages[name] = average + DECAY * (seconds - average)

    def _cost(self, candidate: Candidate) -> float:
        return self._averages.get(candidate.name, 0.0) * (1 + candidate.used_share)


class Rendezvous:
    """Take the server that the request's hash names, whatever its use."""

    def choose(self, candidates: Sequence[Candidate], lease: str) -> Candidate:
        """Return the candidate with the highest score for the lease."""
        key = hash_name(lease)
        return max(candidates, key=lambda c: weighted_score(key, hash_name(c.name), 1))

    def record_answer(self, name: str, seconds: float) -> None:
        """Learn nothing."""
