"""Implement entry hosts: membership, hand-over, slot leases, claims and flows."""
