"""Short soak test run of workers that fall silent."""

from soak import silences


def test_answers_survive_silences_while_others_refuse():
    # Guards against answers that are ended for silence although nobody else has them.
    assert silences.run_seed(3) == []
