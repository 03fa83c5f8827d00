"""Helpers that several step modules share."""
