"""Building of the leader tasks, which one entry process at a time does for all."""

from typing import TYPE_CHECKING

from flamingofront.decisions.fleet_plan import CheapestSafeFleet
from flamingofront.process.forwarding.rollouts import RolloutController
from flamingofront.process.forwarding.scaling import ScalingController
from flamingofront.process.forwarding.usage import UsageCoverage, UsageReporter
from flamingofront.process.forwarding.whole_load import ClusterLoad
from flamingofront.process.store import Cloud

if TYPE_CHECKING:
    from flamingofront.process.forwarding.node import Dependencies, ForwardingNode

__all__ = ["LeaderTask", "build_leader_tasks"]

LeaderTask = UsageReporter | ScalingController | RolloutController
USAGE = "usage"
SCALING = "scaling"


def build_leader_tasks(node: "ForwardingNode", dependencies: "Dependencies") -> list[LeaderTask]:
    """Return the leader tasks that a deployment needs; none without a cloud."""
    cloud = dependencies.cloud
    if cloud is None:
        return []
    load = ClusterLoad(node.hub, node.peers, node.facts, node.timers)
    tasks: list[LeaderTask] = []
    if USAGE in node.settings.duties:
        tasks.append(_build_usage_reporter(node, cloud))
    if SCALING in node.settings.duties:
        tasks.append(_build_scaling_controller(node, cloud, load))
    return [*tasks, _build_rollout_controller(node, dependencies, load)]


def _build_usage_reporter(node: "ForwardingNode", cloud: Cloud) -> UsageReporter:
    peers = node.peers
    return UsageReporter(
        node.lease,
        cloud,
        node.usage,
        node.settings.rules,
        node.settings.vm_id,
        UsageCoverage(peers.cluster_time, peers.usage_sync_delay, peers.member_count),
        node.timers.now,
        node.metrics,
        node.log,
    )


def _build_scaling_controller(
    node: "ForwardingNode", cloud: Cloud, load: ClusterLoad
) -> ScalingController:
    return ScalingController(
        node.lease,
        cloud,
        CheapestSafeFleet(),
        node.settings.vm_id,
        node.timers.now,
        lambda: node.configuration,
        node.store_view.endpoints.rows,
        load.compute_demand,
        node.metrics,
        node.log,
        node.settings.first_start,
    )


def _build_rollout_controller(
    node: "ForwardingNode", dependencies: "Dependencies", load: ClusterLoad
) -> RolloutController:
    controller = RolloutController(
        node.lease,
        dependencies.store,
        dependencies.tables.rollouts,
        node.rollouts,
        load.count_at_other_versions,
        node.timers.now,
        node.peers.cluster_time,
        node.log,
    )
    node.rollouts.on_verdict = node.peers.broadcast_report
    node.rollouts.on_order = lambda: node.tasks.start(controller.load_status())
    node.store.add_restore_listener(controller.invalidate_rows)
    return controller
