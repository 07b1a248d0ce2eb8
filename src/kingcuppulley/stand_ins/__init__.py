"""Stand in for the systems around: backend servers and the fabric."""
