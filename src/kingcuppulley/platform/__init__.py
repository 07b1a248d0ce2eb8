"""Translate the settings, documents, packets and HTTP API of the users' platform.

Names that only the platform uses stay in this package.  The package makes no decisions;
the packages that it calls make them.
"""
