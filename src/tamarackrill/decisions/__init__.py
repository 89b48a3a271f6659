"""Decisions of the fleet, as pure functions and state.

No module here touches network, clock or randomness.  State goes in, a message
goes in, the present time ``now_s`` goes in; actions come out.  The daemon, the
tests and the benchmarks drive the same functions.
"""
