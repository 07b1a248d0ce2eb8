"""Limit what a host sends to the rate of its link."""

from __future__ import annotations

# What a datagram takes on the link besides its payload: the IP and UDP headers.
DATAGRAM_HEADERS_BYTES = 28
# A full packet of the platform, with the identity of its target and all headers.
FULL_PACKET_BYTES = 1_270
# The rest is left for what is not charged: probes, metrics and link-layer headers.
USABLE_SHARE_OF_RATE = 0.95
# The queue of a slow link holds only a few packets: of 16 packets of 1.2 kB sent
# within 3 ms on a 2 Mbit/s link, most were lost.
BURST_SECONDS = 0.015
MINIMUM_BURST_PACKETS = 4
# Bytes for this time are prepaid, so that few datagrams need to know the time.
PREPAID_SECONDS = 0.004
# Bounds how long datagrams that are sent at once can delay the next queued packet.
MAXIMUM_DEBT_SECONDS = 0.1


class LinkBudget:
    """Keep a token bucket for everything that a host sends over its link.

    The bucket is stored as the time until which the link is paid for: bytes are left
    while it is in the past, and it never lies further back than a full bucket.  A
    packet may be sent while the budget is not in debt, and may put it into debt.  The
    sender may prepay `prepaid_bytes` and then send them without asking.  A burst is at
    most `burst_bytes` in all, if no packet exceeds `FULL_PACKET_BYTES`.
    """

    __slots__ = (
        "_bytes_per_second",
        "_burst_bytes",
        "_prepaid_bytes",
        "_seconds_per_byte",
        "_depth_seconds",
        "_maximum_debt_seconds",
        "_paid_until",
    )

    def __init__(self, bytes_per_second: float, now: float) -> None:
        rate = bytes_per_second * USABLE_SHARE_OF_RATE
        self._bytes_per_second = rate
        self._burst_bytes = max(
            rate * BURST_SECONDS, MINIMUM_BURST_PACKETS * FULL_PACKET_BYTES
        )
        self._seconds_per_byte = 1 / rate
        self._prepaid_bytes = int(rate * PREPAID_SECONDS)
        depth_bytes = self._burst_bytes - FULL_PACKET_BYTES - self._prepaid_bytes
        self._depth_seconds = depth_bytes / rate
        # At least the burst, so that a slow link stays within its rate.
        self._maximum_debt_seconds = max(MAXIMUM_DEBT_SECONDS, self._burst_bytes / rate)
        self._paid_until = now - self._depth_seconds

    @property
    def bytes_per_second(self) -> float:
        """Return the rate of the budget, which is a little below the link's."""
        return self._bytes_per_second

    @property
    def burst_bytes(self) -> float:
        """Return how many bytes may be sent at once after a pause."""
        return self._burst_bytes

    @property
    def prepaid_bytes(self) -> int:
        """Return how many bytes may be charged before they are sent."""
        return self._prepaid_bytes

    def charge(self, size: int, now: float) -> None:
        """Take `size` bytes from the budget, whether or not it has them.

        A negative size returns prepaid bytes.
        """
        paid_until = self._paid_until
        if paid_until < now - self._depth_seconds:
            paid_until = now - self._depth_seconds
        paid_until += size * self._seconds_per_byte
        if paid_until > now + self._maximum_debt_seconds:
            paid_until = now + self._maximum_debt_seconds
        self._paid_until = paid_until

    def may_send(self, now: float) -> bool:
        """Return whether the budget is not in debt."""
        return self._paid_until <= now

    def ready_at(self, now: float) -> float:
        """Return when the next packet may be sent if nothing is charged until then."""
        return max(self._paid_until, now)
