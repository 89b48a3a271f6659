"""Stand-ins for engine, service and platform, shipped for users' own tests."""
