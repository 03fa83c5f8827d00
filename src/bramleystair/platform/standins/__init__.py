"""Stand-ins for the platform's store, backend servers and callers in soak tests."""
