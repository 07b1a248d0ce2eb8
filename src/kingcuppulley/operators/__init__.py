"""Serve operators: templates, the administration API and the command line."""
