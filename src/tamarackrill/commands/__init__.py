"""Operator commands that change the fleet's configuration."""
