"""Sets up the cascade services of an entry."""

from __future__ import annotations

import random

from rattanpier._internal.cascade.budget import entry_share
from rattanpier._internal.cascade.learned_policy import Sampler, learned_policy
from rattanpier._internal.cascade.learner import Learner
from rattanpier._internal.cascade.policy import CascadePolicy
from rattanpier._internal.cascade.ratings import RatingLoop
from rattanpier._internal.cascade.sharing import RatingSharing, neighbour_sender
from rattanpier._internal.kernel import Kernel
from rattanpier._internal.models.configuration import Version, Workspace
from rattanpier._internal.store.ratings import HttpRatings


def add_cascade(kernel: Kernel) -> CascadePolicy:
    """Adds the learner and, if a rating service is configured, its loop.

    Returns the policy.
    """
    follower = kernel.find("follower")
    members = kernel.find("members")
    settings = kernel.find("settings")
    url = settings.platform.ratings_url

    def version(name: str) -> Version | None:
        return follower.configuration.versions.get(name)

    def workspace(name: str) -> Workspace | None:
        return follower.configuration.workspaces.get(name)

    def is_rated() -> bool:
        return bool(url) and kernel.find("ratings").available

    def share(name: str) -> int:
        known = workspace(name)
        if known is None or not is_rated():
            return 0
        me = members.me.name
        names = {member.name for member in members.entries()} | {me}
        return entry_share(known.rating_budget, name, me, names)

    learner = Learner(version, workspace, kernel.find("clock"))
    kernel.add("cascade_learner", learner)
    rng = random.Random(settings.node.name)
    sampler = Sampler(learner, rng, share)
    if not url:
        return learned_policy(learner, sampler, lambda sample: None)
    loop = RatingLoop(
        HttpRatings(kernel.find("http"), url, settings.platform.timeout_s),
        learner,
        kernel.find("clock"),
        kernel.find("metrics"),
        f"{members.me.name}/{members.me.incarnation}",
        version,
    )
    kernel.add("ratings", loop)
    share_ratings(kernel, loop)
    kernel.spawn(loop.run(kernel))
    return learned_policy(learner, sampler, loop.enqueue)


def share_ratings(kernel: Kernel, loop: RatingLoop) -> None:
    """Exchanges ratings with the other entries."""
    members = kernel.find("members")
    sharing = RatingSharing(
        members.me.incarnation,
        loop.learner,
        neighbour_sender(
            members.me.name, members.entries, kernel.find("links")
        ),
        loop.clock,
        loop.metrics,
    )
    loop.updates.subscribe(sharing.publish)
    kernel.find("peer_server").on_notice("rated", sharing.receive)
    kernel.add("rating_sharing", sharing)
