"""Name what a decoder raises for bytes from outside."""

from __future__ import annotations

import msgspec

# Values that are nested too deep raise `RecursionError`, also in fields that are not
# read.
DECODING_ERRORS = (msgspec.MsgspecError, UnicodeDecodeError, RecursionError)
