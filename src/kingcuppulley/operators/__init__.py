"""Interfaces for operators: templates, the administration API and the commands."""
