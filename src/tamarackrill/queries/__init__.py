"""Read-only operator commands."""
