"""The users' platform: names, formats and calls, translated into the product's types.

Nothing here decides, and nothing keeps state.  No other module knows these names.
"""
