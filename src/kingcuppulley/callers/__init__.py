"""Meet callers: admit, send, retry or refuse each of their requests."""
