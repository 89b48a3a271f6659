import pytest

from tamarackrill.protocol import structs
from tamarackrill.protocol.generate import IDL_NAMES, load_structs


def describe(spec):
    """Return a field specification in which structs are replaced by their names."""
    if isinstance(spec, dict):
        return {number: describe(field) for number, field in spec.items()}
    if isinstance(spec, tuple):
        return tuple(describe(item) for item in spec)
    return spec.__name__ if isinstance(spec, type) else spec


@pytest.mark.parametrize("file", IDL_NAMES)
def test_committed_structs_match_the_idl(file):
    # If a field is added to an IDL file and structs.py is not regenerated, routers
    # silently ignore the field.
    for parsed in load_structs(file):
        committed = getattr(structs, parsed.__name__)
        assert describe(committed.thrift_spec) == describe(parsed.thrift_spec)
        assert vars(committed()) == vars(parsed())
