"""Translate the settings, documents, packets and HTTP API of the users' platform.

Names that only the platform uses stay in this package, and it makes no decisions:
those are made by the packages that it calls.
"""
