"""Replicate operator changes on a quorum of control hosts and distribute them.

There are two implementations.  `replica` agrees on one register per key, among the
control hosts that the settings name; `kingcuppulley.composition` runs it.
`ensemble_host` agrees on one routing state, among voters that it replaces when they
fail; `kingcuppulley.seeded.control` runs it.
"""
