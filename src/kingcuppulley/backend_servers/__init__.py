"""Meet backend servers: announcements, probes, load, cold start and drain."""
