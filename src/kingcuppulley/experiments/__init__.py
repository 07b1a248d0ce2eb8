"""Run deployments under load, record and check the results, and model capacity."""
