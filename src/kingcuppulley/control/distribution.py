"""Spread chosen registers: a poll names a point, the answer carries what is missing."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable

from kingcuppulley.control.messages import Body, Delta, Poll
from kingcuppulley.control.registers import Register
from kingcuppulley.internal.sender import Sender

POLL_SECONDS = 1.0
POLL_ANSWER_SECONDS = 2.0
DELTA_BYTES = 32_768


class Publisher:
    """Answer polls from the registers that this host knows to be chosen.

    Registers stand in the order of their arrival here, each key at its last place
    only.  A host that was away for hundreds of changes therefore gets each key once:
    the delta after any point is never longer than a snapshot, and is the same code.
    """

    def __init__(self, epoch: str) -> None:
        self._epoch = epoch
        self._sequence = 0
        self._by_key: dict[str, Register] = {}
        self._order: dict[str, int] = {}

    @property
    def registers(self) -> list[Register]:
        """Return every register, withdrawn ones included."""
        return list(self._by_key.values())

    def get(self, key: str) -> Register | None:
        """Return the register of a key, or None."""
        return self._by_key.get(key)

    def publish(self, register: Register) -> bool:
        """Take a chosen register unless an equal or newer one is known."""
        known = self._by_key.get(register.key)
        if known is not None and known.revision >= register.revision:
            return False
        self._sequence += 1
        self._by_key[register.key] = register
        self._order.pop(register.key, None)
        self._order[register.key] = self._sequence
        return True

    def answer(self, poll: Poll) -> Delta:
        """Return what was chosen after the polled point, in bounded pieces."""
        after = poll.sequence if poll.epoch == self._epoch else 0
        missing = self._after(after)
        registers = []
        size = 0
        reached = after
        for key in missing:
            register = self._by_key[key]
            registers.append(register)
            size += len(register.document or b"")
            reached = self._order[key]
            if size >= DELTA_BYTES:
                break
        complete = len(registers) == len(missing)
        sequence = self._sequence if complete else reached
        return Delta(self._epoch, sequence, registers, complete)

    def _after(self, sequence: int) -> list[str]:
        newest_first = []
        for key in reversed(self._order):
            if self._order[key] <= sequence:
                break
            newest_first.append(key)
        return newest_first[::-1]


class Subscriber:
    """Keep a host's registers up to date by polling one source after another.

    A source that does not answer in time is left for another, chosen at random, so
    that a control host that is cut off in silence costs one poll and not the change.
    """

    def __init__(
        self,
        sources: Iterable[str],
        fallbacks: Iterable[str],
        sender: Sender[Body],
        on_register: Callable[[Register], None],
        generator: random.Random,
    ) -> None:
        self._sources = list(sources)
        self._fallbacks = list(fallbacks)
        self._sender = sender
        self._on_register = on_register
        self._generator = generator
        self._source: str | None = None
        self._epoch = ""
        self._sequence = 0
        self._poll_deadline = 0.0
        self._answer_deadline: float | None = None
        self._failures = 0

    def tick(self, now: float) -> None:
        """Poll when it is time, from another source if the last one kept silent."""
        if self._answer_deadline is not None and now >= self._answer_deadline:
            self._failures += 1
            self._source = None
            self._answer_deadline = None
        if now >= self._poll_deadline and self._answer_deadline is None:
            self._poll(now)

    def receive_delta(self, host: str, delta: Delta, now: float) -> None:
        """Take an answer; a register that is not newer changes nothing."""
        if host != self._source:
            return
        self._failures = 0
        self._answer_deadline = None
        self._epoch = delta.epoch
        self._sequence = delta.sequence
        for register in delta.registers:
            self._on_register(register)
        if not delta.complete:
            self._poll(now)

    def _poll(self, now: float) -> None:
        if self._source is None:
            self._source = self._choose()
            self._epoch = ""
            self._sequence = 0
        if self._source is None:
            return
        self._poll_deadline = now + POLL_SECONDS
        self._answer_deadline = now + POLL_ANSWER_SECONDS
        self._sender.send(self._source, Poll(self._epoch, self._sequence))

    def _choose(self) -> str | None:
        # Fallbacks are the other entry hosts of the zone: one that was restarted in a
        # zone without control learns from its neighbours what they still hold.
        if self._failures % 2 == 1 and self._fallbacks:
            return self._generator.choice(self._fallbacks)
        candidates = self._sources or self._fallbacks
        return self._generator.choice(candidates) if candidates else None
