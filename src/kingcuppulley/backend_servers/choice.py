"""Choose among backend servers that have a free slot.

Slot coordinators use `LeastUsed`; `experiments.choice` compares it with the others.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from typing import Protocol

from kingcuppulley.internal.rendezvous import hash_name, weighted_score

# Weight of a new service time in the moving average.
AVERAGE_WEIGHT = 0.2


class Candidate(Protocol):
    """Describe one backend server with a free slot."""

    @property
    def name(self) -> str:
        """Return the server's name."""

    @property
    def used_share(self) -> float:
        """Return the leased share of the slots that the server has when warm."""

    @property
    def last_grant(self) -> int:
        """Return the number of the last grant on the server, 0 for none."""


class ChoicePolicy(Protocol):
    """Choose a server for each request, possibly by earlier service times."""

    def choose(self, candidates: Sequence[Candidate], lease: str) -> Candidate:
        """Return one of the candidates, of which there is at least one."""

    def record_answer(self, name: str, seconds: float) -> None:
        """Record the service time of one answer in seconds."""


class LeastUsed:
    """Choose the least used server; of equals, the least recently granted one."""

    def choose(self, candidates: Sequence[Candidate], lease: str) -> Candidate:
        """Return the candidate with the smallest used share."""
        return min(candidates, key=lambda c: (c.used_share, c.last_grant))

    def record_answer(self, name: str, seconds: float) -> None:
        """Do nothing: the policy ignores service times."""


class PowerOfTwoChoices:
    """Choose the less used of two servers drawn at random."""

    def __init__(self, generator: random.Random) -> None:
        self._generator = generator

    def choose(self, candidates: Sequence[Candidate], lease: str) -> Candidate:
        """Return the less used of two candidates."""
        drawn = self._generator.sample(candidates, min(2, len(candidates)))
        return min(drawn, key=lambda c: c.used_share)

    def record_answer(self, name: str, seconds: float) -> None:
        """Do nothing: the policy ignores service times."""


class LeastLoadedWithDecay:
    """Choose the server expected to finish first, by recent service time and use."""

    def __init__(self) -> None:
        self._averages: dict[str, float] = {}

    def choose(self, candidates: Sequence[Candidate], lease: str) -> Candidate:
        """Return the candidate with the smallest product of average time and use."""
        return min(candidates, key=self._cost)

    def record_answer(self, name: str, seconds: float) -> None:
        """Update the server's moving average of service times."""
        average = self._averages.get(name, seconds)
        self._averages[name] = average + AVERAGE_WEIGHT * (seconds - average)

    def _cost(self, candidate: Candidate) -> float:
        return self._averages.get(candidate.name, 0.0) * (1 + candidate.used_share)


class Rendezvous:
    """Choose the server by rendezvous hashing of the lease, regardless of its use."""

    def choose(self, candidates: Sequence[Candidate], lease: str) -> Candidate:
        """Return the candidate with the highest rendezvous score for the lease."""
        key = hash_name(lease)
        return max(candidates, key=lambda c: weighted_score(key, hash_name(c.name), 1))

    def record_answer(self, name: str, seconds: float) -> None:
        """Do nothing: the policy ignores service times."""
