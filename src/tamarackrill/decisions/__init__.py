"""Decision logic of the fleet, as pure functions and state.

No module here uses the network, a clock or randomness.  State, messages and the
current time ``now_s`` are passed in; actions are returned.  The daemon, the tests
and the benchmarks call the same functions.
"""
