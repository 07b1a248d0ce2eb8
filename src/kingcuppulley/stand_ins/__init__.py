"""Stand-ins for the systems around the load balancer: backend servers and fabric."""
