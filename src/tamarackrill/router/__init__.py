"""The router daemons: application objects and their background tasks."""
