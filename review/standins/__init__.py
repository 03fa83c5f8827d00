"""Stand-ins for the platform, servers and clients, as the users' pages describe them.

Only the standard library is used, and no module of the project is imported.
"""
