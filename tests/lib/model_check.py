"""Checks the specifications under specs/ with stormpy."""

import pathlib
import re
import tempfile

import attrs
import stormpy

SPECS = pathlib.Path(__file__).parents[2] / "specs"
LABEL = re.compile(r"^\s*\[(\w+)\]", re.MULTILINE)


@attrs.frozen
class Checked:
    """What a check found.

    Attributes:
      holds: Whether each property holds, or its probability is 1.
      states: States explored.
      transitions: Transitions explored.
    """

    holds: list[bool]
    states: int
    transitions: int


def read_spec(name):
    """Returns the text of a specification."""
    return (SPECS / f"{name}.prism").read_text()


def fix_constants(text, constants):
    """Returns a specification with values for its open constants."""
    for name, value in constants.items():
        shown = str(value).lower() if isinstance(value, bool) else value
        text, count = re.subn(
            rf"^(const \w+ {name})( = [^;]+)?;",
            rf"\1 = {shown};",
            text,
            flags=re.MULTILINE,
        )
        assert count == 1, f"{name} is not a constant"
    return text


def check(name, constants, *properties):
    """Explores a specification and checks properties from its start.

    Storm stops exploring at the target where one property is given, so a
    weakened specification is quickly found false.
    """
    with tempfile.NamedTemporaryFile("w", suffix=".prism") as file:
        file.write(fix_constants(read_spec(name), constants))
        file.flush()
        program = stormpy.parse_prism_program(file.name)
    formulas = stormpy.parse_properties(";".join(properties), program)
    model = stormpy.build_model(program, formulas)
    start = model.initial_states[0]
    holds = []
    for formula in formulas:
        result = stormpy.model_checking(model, formula)
        if hasattr(result, "forall_true"):
            holds.append(result.forall_true())
        else:
            holds.append(result.get_value(start) == 1)
    return Checked(holds, model.nr_states, model.nr_transitions)


def labels(name):
    """Returns the labels of a specification's commands, renamed ones too."""
    text = re.sub(r"//.*", "", read_spec(name))
    found = set(LABEL.findall(text))
    for renaming in re.findall(r"module \w+ = \w+ \[([^\]]*)\]", text):
        pairs = (pair.split("=") for pair in renaming.split(","))
        found |= {new.strip() for old, new in pairs if old.strip() in found}
    return found


def families(name):
    """Returns labels without the suffix of the process that steps."""
    return {re.sub(r"_?[ab]?[123]?$", "", label) for label in labels(name)}


def fault_constants(all_faults, present):
    """Returns the constants that let only some faults happen."""
    assert set(present) <= set(all_faults)
    return {name: name in present for name in all_faults}
