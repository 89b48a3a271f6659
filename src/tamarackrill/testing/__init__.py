"""Stand-ins for engine, service and platform, for use in users' own tests."""
