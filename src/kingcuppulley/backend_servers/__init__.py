"""Track backend servers, grant their slots and send requests to them."""
