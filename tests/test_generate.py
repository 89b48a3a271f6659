import pytest

from tamarackrill.protocol import structs
from tamarackrill.protocol.generate import IDL_NAMES, load_structs


def describe(spec):
    """Return the specification of fields, with structs by their names."""
    if isinstance(spec, dict):
        return {number: describe(field) for number, field in spec.items()}
    if isinstance(spec, tuple):
        return tuple(describe(item) for item in spec)
    return spec.__name__ if isinstance(spec, type) else spec


@pytest.mark.parametrize("file", IDL_NAMES)
def test_committed_structs_are_those_of_the_idl(file):
    # A field is added to an IDL file and the module that is generated from it is not
    # written anew: routers would go on without the field, and never say so.
    for parsed in load_structs(file):
        committed = getattr(structs, parsed.__name__)
        assert describe(committed.thrift_spec) == describe(parsed.thrift_spec)
        assert vars(committed()) == vars(parsed())
