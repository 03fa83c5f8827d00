"""Daemon beside each backend server."""
