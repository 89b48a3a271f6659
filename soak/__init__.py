"""Randomized soak of router processes on the platform's interface."""
