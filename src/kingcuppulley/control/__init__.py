"""Replicate operator changes on a quorum of control hosts and distribute them."""
