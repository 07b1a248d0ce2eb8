"""Bound the fields of what is decoded, so that no accepted value fails later.

Numbers that are sent on must fit 64 bits after some arithmetic, durations must give
finite deadlines, and sockets take only certain addresses and ports.
"""

from __future__ import annotations

from typing import Annotated

import msgspec

MAXIMUM_PORT = 65_535
# One more still fits the 64 bits of an encoded number.
MAXIMUM_COUNT = (1 << 63) - 1
MAXIMUM_SLOTS = 1_000_000
MAXIMUM_DURATION_SECONDS = 366 * 86_400
MAXIMUM_DURATION_MS = 1000 * MAXIMUM_DURATION_SECONDS
# The servers of an update must fit one datagram.
MAXIMUM_NAME_BYTES = 64
_OCTET = r"(25[0-5]|2[0-4][0-9]|1[0-9]{2}|[1-9]?[0-9])"
_IPV4 = rf"{_OCTET}(\.{_OCTET}){{3}}"
_PORT = (
    r"(6553[0-5]|655[0-2][0-9]|65[0-4][0-9]{2}|6[0-4][0-9]{3}|[1-5][0-9]{4}"
    r"|[1-9][0-9]{0,3})"
)

Count = Annotated[int, msgspec.Meta(ge=0, le=MAXIMUM_COUNT)]
# -1 stands for a revision that is not known.
Revision = Annotated[int, msgspec.Meta(ge=-1, le=MAXIMUM_COUNT)]
Slots = Annotated[int, msgspec.Meta(ge=1, le=MAXIMUM_SLOTS)]
Port = Annotated[int, msgspec.Meta(ge=1, le=MAXIMUM_PORT)]
Milliseconds = Annotated[int, msgspec.Meta(ge=0, le=MAXIMUM_DURATION_MS)]
PositiveMilliseconds = Annotated[int, msgspec.Meta(ge=1, le=MAXIMUM_DURATION_MS)]
Seconds = Annotated[float, msgspec.Meta(ge=0, le=MAXIMUM_DURATION_SECONDS)]
Cookie = Annotated[int, msgspec.Meta(ge=0, le=(1 << 32) - 1)]
Name = Annotated[str, msgspec.Meta(max_length=MAXIMUM_NAME_BYTES)]
# A service of a client account is named by both.
LongName = Annotated[str, msgspec.Meta(min_length=1, max_length=255)]
IPv4Address = Annotated[str, msgspec.Meta(pattern=rf"\A{_IPV4}\Z")]
# IPv4 address and port of another process.
PeerAddress = Annotated[str, msgspec.Meta(pattern=rf"\A{_IPV4}:{_PORT}\Z")]
