"""Take packets from the fabric and carry each to a target of its own service."""
