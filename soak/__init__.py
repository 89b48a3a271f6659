"""Randomized soak tests of router processes."""
