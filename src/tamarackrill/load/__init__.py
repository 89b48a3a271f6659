"""Load tool: acts as the callers of several teams and judges what they receive."""
