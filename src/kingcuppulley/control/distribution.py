"""Distribute chosen registers to hosts that poll for those they do not have yet."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable

from kingcuppulley.control.messages import Body, Delta, Poll
from kingcuppulley.control.registers import Register
from kingcuppulley.internal.sender import Sender

POLL_INTERVAL_SECONDS = 1.0
# Time after which a poll without an answer is sent to another source.
POLL_TIMEOUT_SECONDS = 2.0
# Time after which a host that polls a fallback tries a source again.
FALLBACK_VALIDITY_SECONDS = 5.0
# Total size of documents at which a delta ends; the last one may exceed it.
DELTA_FULL_BYTES = 32_768


class Publisher:
    """Answer polls from the registers that this host knows to be chosen.

    Registers are ordered by their latest publication here, each key once.  A host that
    missed hundreds of changes therefore gets each key once: the delta after any point
    is never longer than a snapshot, and the same code produces both.

    `epoch` identifies the sequence of one process, since a restart numbers the
    registers anew.
    """

    def __init__(self, epoch: str) -> None:
        self._epoch = epoch
        self._sequence = 0
        self._registers: dict[str, Register] = {}
        self._sequence_by_key: dict[str, int] = {}

    @property
    def registers(self) -> list[Register]:
        """Return every register, withdrawn ones included."""
        return list(self._registers.values())

    def get(self, key: str) -> Register | None:
        """Return the register of a key, or None."""
        return self._registers.get(key)

    def publish(self, register: Register) -> bool:
        """Add a chosen register and return True; return False if it is not newer."""
        known = self._registers.get(register.key)
        if known is not None and known.revision >= register.revision:
            return False
        self._sequence += 1
        self._registers[register.key] = register
        self._sequence_by_key.pop(register.key, None)
        self._sequence_by_key[register.key] = self._sequence
        return True

    def answer(self, poll: Poll) -> Delta:
        """Return the next registers after the polled point, up to a full delta."""
        after = poll.sequence if poll.epoch == self._epoch else 0
        missing_keys = self._keys_after(after)
        registers = []
        size_bytes = 0
        last_sequence = after
        for key in missing_keys:
            register = self._registers[key]
            registers.append(register)
            size_bytes += len(register.document or b"")
            last_sequence = self._sequence_by_key[key]
            if size_bytes >= DELTA_FULL_BYTES:
                break
        complete = len(registers) == len(missing_keys)
        sequence = self._sequence if complete else last_sequence
        return Delta(self._epoch, sequence, registers, complete)

    def _keys_after(self, sequence: int) -> list[str]:
        newest_first = []
        for key in reversed(self._sequence_by_key):
            if self._sequence_by_key[key] <= sequence:
                break
            newest_first.append(key)
        return newest_first[::-1]


class Subscriber:
    """Keep the registers of a host up to date by polling one source at a time.

    After a poll that was not answered in time, another source is chosen at random.  A
    control host that became unreachable without notice therefore costs one poll that
    is not answered, and the change still arrives.  A fallback is left again after
    `FALLBACK_VALIDITY_SECONDS`: two hosts that poll only each other get no change.
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
        # Epoch and sequence of the last delta of each source.
        self._positions: dict[str, tuple[str, int]] = {}
        self._fallback_deadline = 0.0
        self._poll_deadline = 0.0
        self._answer_deadline: float | None = None
        self._failed_polls = 0

    def tick(self, now: float) -> None:
        """Poll when due; choose another source if the last poll was not answered."""
        if self._answer_deadline is not None and now >= self._answer_deadline:
            self._failed_polls += 1
            self._source = None
            self._answer_deadline = None
        if (
            self._source not in self._sources
            and self._sources
            and self._answer_deadline is None
            and now >= self._fallback_deadline
        ):
            self._source = None
            self._failed_polls = 0
        if now >= self._poll_deadline and self._answer_deadline is None:
            self._poll(now)

    def receive_delta(self, host: str, delta: Delta, now: float) -> None:
        """Handle the answer to a poll, and poll again at once if it is incomplete.

        Repeated registers are harmless: the callback ignores one that is not newer.
        """
        if host != self._source:
            return
        self._failed_polls = 0
        self._answer_deadline = None
        self._positions[host] = (delta.epoch, delta.sequence)
        for register in delta.registers:
            self._on_register(register)
        if not delta.complete:
            self._poll(now)

    def _poll(self, now: float) -> None:
        if self._source is None:
            self._source = self._choose_source()
            self._fallback_deadline = now + FALLBACK_VALIDITY_SECONDS
        if self._source is None:
            return
        self._poll_deadline = now + POLL_INTERVAL_SECONDS
        self._answer_deadline = now + POLL_TIMEOUT_SECONDS
        position = self._positions.get(self._source, ("", 0))
        self._sender.send(self._source, Poll(*position))

    def _choose_source(self) -> str | None:
        # Fallbacks are the other entry hosts of the zone: an entry host that restarts
        # while its zone reaches no control host gets the registers from them.
        if self._failed_polls % 2 == 1 and self._fallbacks:
            return self._generator.choice(self._fallbacks)
        candidates = self._sources or self._fallbacks
        return self._generator.choice(candidates) if candidates else None
