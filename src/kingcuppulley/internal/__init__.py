"""Hold helpers that several packages share; they are not part of the public API."""
