"""Slopes for docs/CAPACITY.md: time, bytes and memory of the parts against their size."""

import dataclasses
import gc
import random
import resource
import statistics
import time
import tracemalloc

import orjson

from flamingofront.decisions.admission import FairAdmission, Ticket, WorkspaceShare
from flamingofront.decisions.choice import CostChoice, WorkEstimate
from flamingofront.decisions.retry import UnlimitedRetryBudget
from flamingofront.process.dissemination import Digest, DigestReply, Dissemination, Push
from flamingofront.process.membership import Fact, Role, VmState
from flamingofront.process.status import StatusRecord
from flamingofront.request.assembly import Assembler
from flamingofront.request.attempts import RequestFacts, RequestMachine
from flamingofront.request.directory import EndpointDirectory
from flamingofront.request.hub import _select_candidates
from flamingofront.request.prefixes import block_hashes
from flamingofront.version.edits import apply_edits
from flamingofront.version.language import parse
from flamingofront.version.model import Configuration, Service, configuration_to_json

ZONES = 10
ENDPOINTS = (6, 60, 600)
MEMBERS = (8, 80, 410)
REPEATS = 5


def _entry(number):
    zone = f"zone-{number % ZONES}"
    return Fact(
        f"entry-{number:04d}", 1, VmState.LIVE, Role.ENTRY, zone, f"10.0.{number // 250}.1:8090"
    )


def _endpoint(number):
    zone = f"zone-{number % ZONES}"
    address = f"10.1.{number // 250}.{number % 250}:8000"
    return Fact(
        f"engine-{number:04d}", 0, VmState.LIVE, Role.ENDPOINT, zone, address, "demo", "south"
    )


def _median_seconds(action, count):
    """Return the median time of one call over several rounds of `count` calls."""
    rounds = []
    for _ in range(REPEATS):
        start = time.perf_counter()
        for _ in range(count):
            action()
        rounds.append((time.perf_counter() - start) / count)
    return statistics.median(rounds)


def _member(number, members, endpoints):
    """Return the gossip state of one member that knows all."""
    rng = random.Random(number)
    sequence = [0]

    def own_record():
        sequence[0] += 1
        demand = {f"workspace-{index}": index for index in range(5)}
        loads = {f"engine-{number:04d}": 3.0, f"engine-{number + 410:04d}": 4.0}
        zone = f"zone-{number % ZONES}"
        return StatusRecord(f"entry-{number:04d}", 1, sequence[0], zone, 7, True, 8, demand, loads)

    gossip = Dissemination(_entry(number), rng, lambda cfg: None, lambda facts: None, own_record)
    gossip.facts.merge(_entry(each) for each in range(members))
    gossip.facts.merge(_endpoint(each) for each in range(endpoints))
    return gossip


def choice_time():
    """Time of one choice of an endpoint against the number of endpoints."""
    print("\nchoice of an endpoint (candidates and score), by endpoints")
    service = Service("demo", model="demo")
    policy, rng = CostChoice(), random.Random(1)
    hashes = block_hashes([f"t{index}" for index in range(512)])
    base = None
    for count in ENDPOINTS:
        gossip = _member(0, 8, count)
        directory = EndpointDirectory(gossip.facts, rng)

        def choose(directory=directory):
            candidates = directory.candidates(service, hashes, 1.0, rng)
            pool = _select_candidates(candidates, None, frozenset())
            return policy.choose(pool, WorkEstimate(512, 200), rng)

        seconds = _median_seconds(choose, max(20, 2000 // count))
        base = base or seconds
        print(f"  {count:4d} endpoints: {seconds * 1e6:8.0f} us  ({seconds / base:.1f} x)")


def admission_time():
    """Time to admit and start one request against the number that wait."""
    print("\nadmission (offer and start), by requests waiting")
    base = None
    for waiting in (10, 100, 400):
        admission = FairAdmission(random.Random(1), slots=0)
        shares = [WorkspaceShare(f"workspace-{index}", limit=10_000) for index in range(5)]
        for index in range(waiting):
            admission.offer(Ticket(f"r{index}", shares[index % 5], 1.0, 1e9), 0.0)

        def cycle(admission=admission, shares=shares):
            admission.set_capacity(0)
            admission.offer(Ticket("x", shares[0], 1.0, 1e9), 0.0)
            admission.set_capacity(1)
            admission.release(admission.start_next(0.0), 0.0)

        seconds = _median_seconds(cycle, 2000)
        base = base or seconds
        print(f"  {waiting:4d} waiting: {seconds * 1e6:8.1f} us  ({seconds / base:.1f} x)")


def digest_cost():
    """Bytes and time of one digest exchange against the number of members."""
    print("\ndigest exchange, by members (bytes both ways; time of both sides, codec included)")
    for members, endpoints in zip(MEMBERS, (10, 100, 600), strict=True):
        one, other = _member(0, members, endpoints), _member(1, members, endpoints)
        records = [_member(each, 1, 0)._own_record() for each in range(members)]
        for gossip in (one, other):
            gossip.statuses.merge(records, 0.0)
        sizes = []

        def exchange(one=one, other=other, sizes=sizes):
            request = orjson.dumps(one.make_digest(0.0).to_json())
            digest = Digest.from_json(orjson.loads(request))
            reply = orjson.dumps(other.answer_digest(digest, 0.0).to_json())
            one.apply_reply(DigestReply.from_json(orjson.loads(reply)), 0.0)
            sizes.append(len(request) + len(reply))

        seconds = _median_seconds(exchange, 200)
        print(
            f"  {members:4d} members: {statistics.median(sizes):6.0f} bytes, "
            f"{seconds * 1e6:6.0f} us"
        )


def spreading():
    """Rounds of digest exchange, and pushes, until all members know a fact."""
    print("\nspreading of one fact, by members (median of 5 seeds)")
    for members in MEMBERS:
        rounds, pushes, steps, repair = [], [], [], []
        for seed in range(5):
            count, depth = _push_spread(members, seed, loss=0.0)
            pushes.append(count / members)
            steps.append(depth)
            rounds.append(_digest_rounds(members, seed))
            repair.append(_digest_rounds(members, seed, _pushed(members, seed, 0.2)))
        print(
            f"  {members:4d} members: pushed in {statistics.median(steps):.0f} hops with "
            f"{statistics.median(pushes):.1f} messages a member; by digests alone "
            f"{statistics.median(rounds):.0f} rounds; after pushes with 20% lost "
            f"{statistics.median(repair):.0f} rounds"
        )


def _group(members, seed):
    group = []
    for number in range(members):
        gossip = _member(number, members, 0)
        gossip._rng = random.Random(f"{seed}/{number}")
        group.append(gossip)
    return {each.own_id: each for each in group}


def _pushed(members, seed, loss):
    """Return the members that know a fact after its pushes, some of them lost."""
    return _push(members, seed, loss)[0]


def _push(members, seed, loss):
    group, rng = _group(members, seed), random.Random(seed)
    fact = dataclasses.replace(_endpoint(1), state=VmState.LEAVING)
    first = group["entry-0000"]
    front = [(first, first.merge_facts([fact]))]
    known, count, depth = {first.own_id}, 0, 0
    while front:
        depth += 1
        following = []
        for gossip, push in front:
            for peer in gossip.pick_peers(4):
                count += 1
                if rng.random() < loss:
                    continue
                target = group[peer.vm_id]
                onward = target.apply_push(Push.from_json(push.to_json()))
                if onward is not None:
                    known.add(target.own_id)
                    following.append((target, onward))
        front = following
    return known, count, depth


def _push_spread(members, seed, loss):
    _, count, depth = _push(members, seed, loss)
    return count, depth


def _digest_rounds(members, seed, known=frozenset({"entry-0000"})):
    """Return the rounds in which each member exchanges with one random peer."""
    group = _group(members, seed)
    fact = dataclasses.replace(_endpoint(1), state=VmState.LEAVING)
    for name in known:
        group[name].facts.merge([fact])
    rounds = 0
    while not all(each.facts.get(fact.vm_id) for each in group.values()):
        rounds += 1
        for gossip in group.values():
            peer = group[gossip.pick_peers(1)[0].vm_id]
            reply = peer.answer_digest(gossip.make_digest(0.0), 0.0)
            to_peer, _ = gossip.apply_reply(reply, 0.0)
            if to_peer is not None:
                peer.apply_push(to_peer)
    return rounds


def memory():
    """Memory of one object of each kind of state."""
    print("\nmemory of one (bytes, by tracemalloc over 1,000)")
    kinds = {
        "endpoint or member fact": _endpoint,
        "status record": lambda n: StatusRecord(
            f"entry-{n}", 1, n, "zone-1", 7, True, 8, {f"w{i}": i for i in range(5)}, {"e": 1.0}
        ),
        "waiting request (machine, ticket)": lambda n: (
            RequestMachine(RequestFacts(f"r{n}", True, 1.0), UnlimitedRetryBudget(), None),
            Ticket(f"r{n}", WorkspaceShare("w"), 1.0, 1.0),
        ),
        "stream of 500 tokens": lambda n: Assembler(
            f"r{n}", tuple(f" t{n}-{i}" for i in range(500))
        ),
        "prompt of 1,000 tokens": lambda n: tuple(f" p{n}-{i}" for i in range(1000)),
    }
    for name, make in kinds.items():
        gc.collect()
        tracemalloc.start()
        kept = [make(number) for number in range(1000)]
        used, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        print(f"  {name:36}{used / len(kept):10.0f}")


def configuration():
    """Size of a configuration and time to change it against its number of objects."""
    print("\nconfiguration, by objects (bytes of its JSON form; time to apply one change)")
    for count in (20, 200, 1000):
        edits = [parse(f"create workspace w{index}").edits[0] for index in range(count)]
        cfg = apply_edits(Configuration(), edits, "ops", "op")
        size = len(orjson.dumps(configuration_to_json(cfg)))
        edit = parse("change workspace w1 weight=2").edits

        def change(cfg=cfg, edit=edit):
            apply_edits(cfg, edit, "ops", "op")

        seconds = _median_seconds(change, 20)
        print(f"  {count:4d} objects: {size:7d} bytes, {seconds * 1e6:7.0f} us")


def resident():
    """Resident memory of a process that has loaded an entry node and its state at full size."""
    gossip = _member(0, 410, 600)
    records = [_member(each, 1, 0)._own_record() for each in range(410)]
    gossip.statuses.merge(records, 0.0)
    import flamingofront.daemon  # noqa: F401 - its memory is what is measured

    peak = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
    print("\nresident memory, daemon loaded, with the state of 410 members and 600 endpoints")
    print(f"  {peak:.0f} MB")


def main():
    """Print all slopes."""
    resident()
    choice_time()
    admission_time()
    digest_cost()
    spreading()
    configuration()
    memory()


if __name__ == "__main__":
    main()
