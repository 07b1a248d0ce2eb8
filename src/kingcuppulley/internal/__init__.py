"""Hold helpers that several packages share and that promise nothing to users."""
