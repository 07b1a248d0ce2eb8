"""Receive packets from the fabric and forward each to a target of its service."""
