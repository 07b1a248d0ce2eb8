"""Serve HTTP callers: admit, send, retry or refuse each of their requests."""
