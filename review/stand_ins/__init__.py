"""Stand-ins of the platform, clients, targets and operator for the review's scripts."""
