"""Stand-ins of the platform's store, backend servers and callers, for the soak."""
