"""Cases of the comparison, simulated in parallel."""

import concurrent.futures
from dataclasses import dataclass

from scripts.ablation.variants import list_variants
from scripts.experiment.passed.loads import DAYS
from scripts.experiment.passed.shapes import MIXES
from scripts.experiment.passed.shapes import SHAPES
from scripts.experiment.passed.simulation import Result
from scripts.experiment.passed.simulation import simulate_day
from scripts.experiment.passed.variants import BASELINES
from scripts.experiment.passed.variants import PolicyVariant

# The engine shape of most comparisons.
BASE_SHAPE = "base"


@dataclass(frozen=True, kw_only=True)
class Case:
    """One day under one policy."""

    day: str
    mix: str
    shape: str
    policy: str
    seed: int


def list_policies(*, without: bool) -> dict[str, PolicyVariant]:
    """Return the policies by name, the product's first.

    :param without: also include the variants without one mechanism
    """
    product, *others = list_variants([])
    policies = [
        PolicyVariant(name=product.name, mechanisms=product.mechanisms())
    ]
    policies.append(PolicyVariant(name="waiting line", has_line=True))
    policies += BASELINES
    if without:
        policies += [
            PolicyVariant(name=other.name, mechanisms=other.mechanisms())
            for other in others
        ]
    return {policy.name: policy for policy in policies}


def run_case(case: Case) -> Result:
    """Simulate one case."""
    result, _ = simulate_day(
        day=DAYS[case.day],
        mix=MIXES[case.mix],
        shape=SHAPES[case.shape],
        variant=list_policies(without=True)[case.policy],
        seed=case.seed,
    )
    return result


def run_cases(cases: list[Case], jobs: int) -> dict[Case, Result]:
    """Simulate cases in parallel."""
    with concurrent.futures.ProcessPoolExecutor(jobs) as pool:
        return dict(zip(cases, pool.map(run_case, cases), strict=True))
