"""Adapter to the users' platform: translates its names, formats and API calls.

Stateless and free of policy.  No other package knows the names of the platform.
"""
