"""Checks a configuration before it is put in force."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence

from rattanpier._internal.configuration.check_rules import (
    check_rules,
    plain_services,
)
from rattanpier._internal.configuration.parse import parse_configuration
from rattanpier._internal.configuration.problem import (
    Finding,
    Problem,
    check_digest,
    check_fraction,
    check_known,
    check_not_empty,
    check_not_negative,
    check_positive,
    check_url,
    locate_findings,
)
from rattanpier._internal.exceptions import ConfigurationError
from rattanpier._internal.models.configuration import (
    Configuration,
    Rollout,
    RolloutState,
    Upstream,
    UpstreamKind,
    VersionState,
    Worker,
    Workspace,
)

HTTP_METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS", "*")
POSITIVE_FLEET_FIELDS = (
    "size",
    "claim_shards",
    "store_writes_per_s",
    "retention_s",
    "validity_s",
    "entries_ttl_s",
)


def check_configuration(
    configuration: Configuration, text: str, file: str = "configuration"
) -> list[Problem]:
    """Returns the problems of a configuration; it may be used if none.

    Args:
      configuration: The configuration as parsed.
      text: Its TOML text, to find the lines.
      file: Name of the file, for the messages.
    """
    findings = (finding for check in CHECKS for finding in check(configuration))
    return list(locate_findings(findings, text, file))


def require_valid(
    configuration: Configuration, text: str, file: str = "configuration"
) -> None:
    """Raises an error if a configuration has problems.

    Raises:
      ConfigurationError: There are problems; the message has a line for each.
    """
    problems = check_configuration(configuration, text, file)
    if problems:
        raise ConfigurationError(
            "\n".join(str(problem) for problem in problems),
            "correct the named lines",
        )


def check_fleet(configuration: Configuration) -> Iterator[Finding]:
    """Yields findings for sizes and rates that are not positive."""
    for name in POSITIVE_FLEET_FIELDS:
        value = getattr(configuration.fleet, name)
        yield from check_positive(("fleet", name), value)


def check_versions(configuration: Configuration) -> Iterator[Finding]:
    """Yields findings for unserved versions and invalid prices or quality."""
    served = {
        version
        for upstream in configuration.upstreams.values()
        for worker in upstream.workers.values()
        for version in worker.versions
    }
    for name, version in configuration.versions.items():
        steps = ("versions", name)
        yield from check_not_empty((*steps, "model"), version.model)
        yield from check_fraction((*steps, "quality"), version.quality)
        for price in ("input_price", "output_price"):
            value = getattr(version, price)
            yield from check_not_negative((*steps, price), value)
        withdrawn = version.state is VersionState.WITHDRAWN
        if name not in served and not withdrawn:
            yield Finding(
                steps,
                f"version {name!r} is on no worker",
                "name it in the versions of a worker, or withdraw it",
            )


def check_upstreams(configuration: Configuration) -> Iterator[Finding]:
    """Yields findings for upstreams and their workers."""
    owners: dict[str, str] = {}
    for name, upstream in configuration.upstreams.items():
        steps = ("upstreams", name)
        if not upstream.workers:
            yield Finding(
                steps,
                f"upstream {name!r} has no workers",
                f"add one as [upstreams.{name}.workers.NAME]",
            )
        yield from check_non_repeatable(steps, upstream)
        for worker_name, worker in upstream.workers.items():
            path = (*steps, "workers", worker_name)
            if worker_name in owners:
                yield Finding(
                    path,
                    f"worker {worker_name!r} is in upstream "
                    f"{owners[worker_name]!r} too",
                    "give each worker its own name",
                )
            owners.setdefault(worker_name, name)
            yield from check_worker(configuration, path, upstream, worker)


def check_non_repeatable(
    steps: Sequence[str], upstream: Upstream
) -> Iterator[Finding]:
    """Yields a finding for each call that is not a method and a path."""
    for call in upstream.non_repeatable:
        method, _, path = call.partition(" ")
        if method not in HTTP_METHODS or not path.startswith("/"):
            yield Finding(
                (*steps, "non_repeatable"),
                f"{call!r} is not a method and a path",
                "give one such as 'POST /orders'",
            )


def check_worker(
    configuration: Configuration,
    steps: Sequence[str],
    upstream: Upstream,
    worker: Worker,
) -> Iterator[Finding]:
    """Yields the findings for one worker."""
    yield from check_url((*steps, "url"), worker.url)
    yield from check_not_empty((*steps, "domain"), worker.domain)
    yield from check_positive((*steps, "slots"), worker.slots)
    if worker.versions and upstream.kind is UpstreamKind.PLAIN:
        yield Finding(
            (*steps, "versions"),
            "a worker of a plain service has versions",
            "take them out, or make the upstream's kind 'engine'",
        )
    for version in worker.versions:
        yield from check_known(
            (*steps, "versions"), "version", version, configuration.versions
        )


def check_workspaces(configuration: Configuration) -> Iterator[Finding]:
    """Yields findings for workspaces, including keys that are shared."""
    owners: dict[str, str] = {}
    for name, workspace in configuration.workspaces.items():
        steps = ("workspaces", name)
        for digest in workspace.key_sha256:
            path = (*steps, "key_sha256")
            yield from check_digest(path, digest)
            if digest in owners:
                yield Finding(
                    path,
                    f"a key of workspace {name!r} is one of "
                    f"{owners[digest]!r} already",
                    "give each workspace keys of its own, each once",
                )
            owners.setdefault(digest, name)
        yield from check_workspace(configuration, steps, workspace)


def check_workspace(
    configuration: Configuration, steps: Sequence[str], workspace: Workspace
) -> Iterator[Finding]:
    """Yields the findings for one workspace, except for its keys."""
    for version in workspace.versions:
        yield from check_known(
            (*steps, "versions"), "version", version, configuration.versions
        )
    for service in workspace.services:
        yield from check_known(
            (*steps, "services"),
            "plain service",
            service,
            plain_services(configuration),
        )
    yield from check_positive((*steps, "share"), workspace.share)
    yield from check_fraction(
        (*steps, "quality_target"), workspace.quality_target
    )
    yield from check_positive((*steps, "max_queued"), workspace.max_queued)
    yield from check_not_negative(
        (*steps, "rating_budget"), workspace.rating_budget
    )


def check_cascades(configuration: Configuration) -> Iterator[Finding]:
    """Yields findings for empty cascades and unknown or repeated steps."""
    for name, cascade in configuration.cascades.items():
        steps = ("cascades", name, "steps")
        if not cascade.steps:
            yield Finding(
                steps, f"cascade {name!r} has no steps", "name its versions"
            )
        for number, version in enumerate(cascade.steps):
            yield from check_known(
                steps, "version", version, configuration.versions
            )
            if version in cascade.steps[:number]:
                yield Finding(
                    steps,
                    f"cascade {name!r} goes through {version!r} twice",
                    "name each version once",
                )


def check_rollouts(configuration: Configuration) -> Iterator[Finding]:
    """Yields findings for roll-outs, including two from one version."""
    running: dict[str, str] = {}
    for name, rollout in configuration.rollouts.items():
        steps = ("rollouts", name)
        yield from check_rollout(configuration, steps, rollout)
        if rollout.state is not RolloutState.RUNNING:
            continue
        if rollout.stable in running:
            yield Finding(
                (*steps, "stable"),
                f"roll-out {running[rollout.stable]!r} moves traffic from "
                f"{rollout.stable!r} too",
                "halt one, or set its state to 'done'",
            )
        running.setdefault(rollout.stable, name)


def check_rollout(
    configuration: Configuration, steps: Sequence[str], rollout: Rollout
) -> Iterator[Finding]:
    """Yields the findings for one roll-out."""
    for field in ("stable", "candidate"):
        yield from check_known(
            (*steps, field),
            "version",
            getattr(rollout, field),
            configuration.versions,
        )
    if rollout.stable == rollout.candidate:
        yield Finding(
            (*steps, "candidate"),
            f"stable and candidate are both {rollout.stable!r}",
            "name two versions",
        )
    yield from check_fraction((*steps, "share"), rollout.share)
    yield from check_fraction((*steps, "max_share"), rollout.max_share)


Check = Callable[[Configuration], Iterator[Finding]]
CHECKS: tuple[Check, ...] = (
    check_fleet,
    check_versions,
    check_upstreams,
    check_workspaces,
    check_cascades,
    check_rollouts,
    check_rules,
)


def parse_and_check(text: str, file: str = "configuration") -> Configuration:
    """Parses and checks the TOML text of a configuration.

    Raises:
      ConfigurationError: The text is invalid. The message has a line for each
        error.
    """
    configuration = parse_configuration(text, file)
    require_valid(configuration, text, file)
    return configuration
