"""Small stand-ins for tests and the demonstration."""
