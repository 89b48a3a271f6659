"""Load tool: simulates clients of several teams and checks the responses."""
