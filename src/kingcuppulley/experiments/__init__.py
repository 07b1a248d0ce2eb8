"""Run deployments, put load on them, record what happens, and judge it."""
