"""Seeded workloads shaped like those of the two users.

Whether a version answers a request well depends on a difficulty that nobody
sees. Callers' labels and the prompt's length tell only a part of it, some
labels are wrong, the engine's confidence is noisy, and so is the rating: a
share of ratings says the opposite of what is true, and the rating is what
counts. Ratings arrive late.
"""

from __future__ import annotations

import attrs
import numpy as np

HOUR_S = 3600.0
HOURS = 8.0
SHARPNESS = 5.0  # How fast the chance falls around a version's skill.
CONFIDENCE_NOISE = 0.8  # Standard deviation, in log-odds.
SHARED_NOISE = 0.5  # Part of the difficulty that all versions share.
WRONG_LABELS = 0.05
RATING_NOISE = 0.02
RATING_DELAY_S = 120.0  # Median.
SHIFT_AT = 0.4  # Part of the run after which a shift sets in.


@attrs.frozen
class Task:
    """A kind of request.

    Attributes:
      label: What callers put into the label `task`.
      prompt_tokens: Median.
      output_tokens: Mean.
      difficulty: Mean, on the scale of skills.
      spread: Standard deviation of the difficulty.
      stream: Whether callers stream.
    """

    label: str
    prompt_tokens: int
    output_tokens: int
    difficulty: float
    spread: float
    stream: bool = False


@attrs.frozen
class Model:
    """A version with its prices and its skill."""

    name: str
    input_price: float
    output_price: float
    skill: float
    quality: float


@attrs.frozen
class Customer:
    """A workspace.

    Attributes:
      rate: Requests a second.
      target: Share of answers that must be rated good.
      budget: Ratings an hour.
      mix: Share of each task.
      harder: Added to every difficulty.
    """

    name: str
    rate: float
    target: float
    budget: int
    mix: tuple[float, ...]
    harder: float = 0.0


@attrs.frozen
class Shift:
    """What changes in the middle of a run.

    Attributes:
      mix: True if each workspace's shares move to the next task by a half.
      cheap_loss: Skill that the cheapest version loses.
      only: Workspace that the loss is limited to, or empty.
    """

    mix: bool = False
    cheap_loss: float = 0.0
    only: str = ""


@attrs.frozen
class Workload:
    """All that a run is drawn from."""

    name: str
    models: tuple[Model, ...]
    tasks: tuple[Task, ...]
    customers: tuple[Customer, ...]


@attrs.frozen
class Trace:
    """A drawn run, in order of time; arrays over requests.

    Attributes:
      at: Seconds.
      customer: Index of the workspace.
      label: Index of the label, which is mostly the task's.
      prompt_tokens: Of the prompt.
      output_tokens: Of any version's answer.
      good: [request, version] what a rating says.
      confidence: [request, version] of the engine.
      delay: [request, version] seconds until a rating arrives.
    """

    workload: Workload
    at: np.ndarray
    customer: np.ndarray
    label: np.ndarray
    prompt_tokens: np.ndarray
    output_tokens: np.ndarray
    good: np.ndarray
    confidence: np.ndarray
    delay: np.ndarray

    def costs(self) -> np.ndarray:
        """Returns credits, [request, version]."""
        prices = np.array(
            [[m.input_price, m.output_price] for m in self.workload.models]
        )
        tokens = np.stack([self.prompt_tokens, self.output_tokens], axis=1)
        return tokens @ prices.T / 1e6


def sizes(names: list[str], mixes: list[tuple[float, ...]]) -> list[Customer]:
    """Returns ten workspaces, three of them large."""
    rates = [0.5, 0.4, 0.3] + [0.1] * 7
    targets = [0.90, 0.90, 0.92, 0.90, 0.88, 0.90, 0.85, 0.90, 0.92, 0.90]
    budgets = [60, 60, 60] + [30] * 7
    return [
        Customer(name, rate, target, budget, mixes[number % len(mixes)])
        for number, (name, rate, target, budget) in enumerate(
            zip(names, rates, targets, budgets, strict=True)
        )
    ]


def federation() -> Workload:
    """Reports, summaries and questions of house inspectors."""
    return Workload(
        "federation",
        (
            Model("small@1", 0.3, 1.2, 0.50, 0.70),
            Model("large@1", 3.0, 12.0, 1.25, 0.95),
        ),
        (
            Task("draft", 1500, 900, 0.55, 0.20),
            Task("summarise", 2000, 200, 0.25, 0.20),
            Task("question", 300, 150, 0.00, 0.20, True),
        ),
        tuple(
            sizes(
                [f"inspectors-{n}" for n in range(10)],
                [(0.25, 0.25, 0.5), (0.4, 0.2, 0.4), (0.1, 0.6, 0.3)],
            )
        ),
    )


def tuakana() -> Workload:
    """Phrase packs, photographed signs and quick replies of travellers."""
    return Workload(
        "tuakana",
        (
            Model("phrase-small@1", 0.2, 0.8, 0.45, 0.70),
            Model("phrase-medium@1", 0.8, 3.2, 0.85, 0.85),
            Model("phrase-large@1", 2.5, 10.0, 1.25, 0.95),
        ),
        (
            Task("pack", 200, 700, 0.45, 0.25),
            Task("sign", 800, 100, 0.30, 0.25),
            Task("reply", 60, 30, -0.05, 0.20, True),
        ),
        tuple(
            sizes(
                [f"app-{n}" for n in range(10)],
                [(0.1, 0.2, 0.7), (0.2, 0.3, 0.5), (0.05, 0.45, 0.5)],
            )
        ),
    )


SHIFTS = {
    "steady": Shift(),
    "mix": Shift(mix=True),
    "cheap worse": Shift(cheap_loss=0.3),
    "one differs": Shift(),
    "one turns": Shift(cheap_loss=0.4, only="1"),
}


def with_one_harder(workload: Workload) -> Workload:
    """Makes everything harder for one workspace, from the start."""
    customers = list(workload.customers)
    customers[4] = attrs.evolve(customers[4], harder=0.25)
    return attrs.evolve(workload, customers=tuple(customers))


def draw(workload: Workload, shift_name: str, seed: int) -> Trace:
    """Draws a run; the same seed gives the same run."""
    if shift_name == "one differs":
        workload = with_one_harder(workload)
    shift = SHIFTS[shift_name]
    rng = np.random.default_rng([seed, *map(ord, workload.name + shift_name)])
    rates = np.array([c.rate for c in workload.customers])
    count = rng.poisson(rates.sum() * HOURS * HOUR_S)
    at = np.sort(rng.uniform(0, HOURS * HOUR_S, count))
    customer = rng.choice(len(rates), count, p=rates / rates.sum())
    late = at > SHIFT_AT * HOURS * HOUR_S
    task = draw_tasks(workload, shift, customer, late, rng)
    wrong = rng.random(count) < WRONG_LABELS
    label = np.where(wrong, rng.integers(len(workload.tasks), size=count), task)
    length = rng.normal(0, 0.5, count)
    tasks = workload.tasks
    median = np.array([t.prompt_tokens for t in tasks])[task]
    harder = np.array([c.harder for c in workload.customers])[customer]
    difficulty = (
        np.array([t.difficulty for t in tasks])[task]
        + np.array([t.spread for t in tasks])[task]
        * (0.5 * length / 0.5 + np.sqrt(0.75) * rng.normal(0, 1, count))
        + harder
    )
    mean_output = np.array([t.output_tokens for t in tasks])[task]
    output = np.maximum(1, rng.gamma(4, mean_output / 4))
    good, confidence = draw_answers(
        workload, shift, customer, late, difficulty, rng
    )
    return Trace(
        workload,
        at,
        customer,
        label,
        np.maximum(1, median * np.exp(length)).astype(int),
        output.astype(int) + 1,
        good,
        confidence,
        RATING_DELAY_S * np.exp(rng.normal(0, 1, good.shape)),
    )


def draw_tasks(
    workload: Workload,
    shift: Shift,
    customer: np.ndarray,
    late: np.ndarray,
    rng: np.random.Generator,
) -> np.ndarray:
    """Returns the index of each request's task."""
    mixes = np.array([c.mix for c in workload.customers])[customer]
    if shift.mix:
        moved = (mixes + np.roll(mixes, 1, axis=1)) / 2
        mixes = np.where(late[:, None], moved, mixes)
    edges = np.cumsum(mixes, axis=1)
    drawn = rng.random(len(customer))[:, None] > edges
    return np.minimum(drawn.sum(axis=1), len(workload.tasks) - 1)


def draw_answers(
    workload: Workload,
    shift: Shift,
    customer: np.ndarray,
    late: np.ndarray,
    difficulty: np.ndarray,
    rng: np.random.Generator,
) -> tuple[np.ndarray, np.ndarray]:
    """Returns ratings and confidences, [request, version]."""
    shape = (len(customer), len(workload.models))
    skills = np.tile([m.skill for m in workload.models], (shape[0], 1))
    hit = late
    if shift.only:
        hit = late & (customer == int(shift.only))
    skills[:, 0] -= shift.cheap_loss * hit
    margin = SHARPNESS * (skills - difficulty[:, None])
    margin += SHARED_NOISE * rng.normal(0, 1, (shape[0], 1))
    good = rng.random(shape) < 1 / (1 + np.exp(-margin))
    told = margin / 2 + (good - 0.5) + rng.normal(0, CONFIDENCE_NOISE, shape)
    confidence = 1 / (1 + np.exp(-told))
    return good ^ (rng.random(shape) < RATING_NOISE), confidence
