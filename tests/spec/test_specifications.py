import pytest

from spec.checks import SPECIFICATIONS, check_variant, check_whole

VARIANTS = [
    (name, variant_name)
    for name, module in SPECIFICATIONS.items()
    for variant_name in module.BROKEN
]


@pytest.mark.parametrize("name", SPECIFICATIONS)
def test_every_property_holds_in_the_whole_state_space(name):
    results = check_whole(SPECIFICATIONS[name])
    assert [r.property_name for r in results if r.holds is not True] == []


@pytest.mark.parametrize(("name", "variant_name"), VARIANTS)
def test_the_checker_catches_each_deliberate_fault(name, variant_name):
    module = SPECIFICATIONS[name]
    variant, property_name = module.BROKEN[variant_name]
    assert check_variant(module, variant, property_name).holds is False
