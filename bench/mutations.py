"""Break one mechanism at a time and show that its tests notice: `make mutations`.

Each mutation is made in a copy of the package, never in the checkout.
"""

import os
import shutil
import subprocess
import sys
import tempfile
from pathlib import Path

from bench.answer_mutations import ANSWER_MUTATIONS
from bench.control_mutations import CONTROL_MUTATIONS
from bench.cut_answer_mutations import CUT_ANSWER_MUTATIONS
from bench.departure_mutations import DEPARTURE_MUTATIONS
from bench.knowledge_mutations import KNOWLEDGE_MUTATIONS
from bench.known_failure_mutations import KNOWN_FAILURE_MUTATIONS
from bench.leader_mutations import LEADER_MUTATIONS
from bench.malformed_head_mutations import MALFORMED_HEAD_MUTATIONS
from bench.mutation import Mutation
from bench.path_mutations import PATH_MUTATIONS
from bench.platform_mutations import PLATFORM_MUTATIONS
from bench.promise_mutations import PROMISE_MUTATIONS
from bench.quarantine_mutations import QUARANTINE_MUTATIONS
from bench.restart_mutations import RESTART_MUTATIONS
from bench.silence_mutations import SILENCE_MUTATIONS
from bench.splice_mutations import SPLICE_MUTATIONS

ROOT = Path(__file__).resolve().parent.parent
TIME_LIMIT_SECONDS = 90


MUTATIONS = (
    Mutation(
        "1 one owner extends the text",
        "request/assembly.py",
        "if frame.attempt_id != self._owner:",
        "if False:",
        "request/tests/test_assembly.py",
    ),
    Mutation(
        "1 overlap is cut off",
        "request/assembly.py",
        "self.tokens.extend(frame.tokens[overlap:])",
        "self.tokens.extend(frame.tokens)",
        "request/tests/test_assembly.py",
    ),
    Mutation(
        "2 no retry of work that must not repeat",
        "request/attempts.py",
        "if not self.facts.repeatable and executed is not Executed.NO:",
        "if False:",
        "request/tests/test_at_most_once.py",
    ),
    Mutation(
        "2 written is not 'not run'",
        "request/active.py",
        "executed = Executed.UNKNOWN if event.wrote else Executed.NO",
        "executed = Executed.NO",
        "request/tests/test_at_most_once.py",
    ),
    Mutation(
        "2 claim before the first byte",
        "request/keyed.py",
        "        request.defer_start()\n        self._claiming[key]",
        "        self._claiming[key]",
        "request/tests/test_at_most_once.py",
    ),
    Mutation(
        "3 freeze before the offer",
        "request/attempts.py",
        "        self.phase = Phase.FROZEN\n        self.assembler.freeze()",
        "        pass",
        "request/tests/test_attempts.py",
    ),
    Mutation(
        "3 adoption of jobs",
        "request/jobs.py",
        "        yield from move_job(documents, request_id, old_owner, new_owner)\n\n\ndef list",
        "        yield from ()\n\n\ndef list",
        "request/tests/test_reclaims.py",
    ),
    Mutation(
        "all no retry of work that must not repeat",
        "request/attempts.py",
        "if not self.facts.repeatable and executed is not Executed.NO:",
        "if False:",
        "tests/test_everything_at_once.py",
    ),
    Mutation(
        "4 news is pushed at once",
        "process/peers.py",
        "        for peer in self._gossip.pick_peers(PUSH_FANOUT):",
        "        for peer in ():",
        "process/tests/test_configuration.py",
    ),
    Mutation(
        "4 digests repair",
        "process/peers.py",
        "            self._tasks.start(self._exchange_digests_with(address))",
        "            pass",
        "process/tests/test_configuration.py",
    ),
    Mutation(
        "4 facts only grow",
        "process/membership.py",
        "if current is not None and current.rank >= fact.rank:",
        "if current is not None and current.rank == fact.rank:",
        "process/tests/test_leaving.py",
    ),
    Mutation(
        "5 hand-over at the end of a drain",
        "process/drain.py",
        "            if isinstance(request, ModelRequest) and request.can_hand_over:\n",
        "            if False:\n",
        "process/tests/test_graceful_stop.py",
    ),
    Mutation(
        "5 stable hash for the share",
        "version/routing.py",
        "* _FULL_SHARE < move.share",
        "* (_FULL_SHARE + move.share) < 2 * move.share",
        "process/tests/test_graceful_stop.py",
    ),
    Mutation(
        "6 revisions never go down",
        "process/dissemination.py",
        "if cfg.revision <= self.configuration.revision:",
        "if cfg.revision == self.configuration.revision:",
        "process/tests/test_configuration.py",
    ),
    Mutation(
        "6 operation id in the transaction",
        "version/commit.py",
        "Condition(HEAD_KEY, head.revision), Condition(operation_key, 0)",
        "Condition(HEAD_KEY, head.revision),",
        "version/tests/test_commit.py",
    ),
    Mutation(
        "6 operation id read after the configuration",
        "version/commit.py",
        "read([HEAD_KEY, DOCUMENT_KEY, operation_key])\n        head, document, outcome_row = rows",
        "read([operation_key, HEAD_KEY, DOCUMENT_KEY])\n        outcome_row, head, document = rows",
        "version/tests/test_commit.py",
    ),
    Mutation(
        "6 ready only with a known revision",
        "process/node.py",
        "return self.watch.revision_read_failed and has_exchanged and has_configuration",
        "return self.watch.revision_read_failed",
        "process/tests/test_configuration.py",
    ),
    Mutation(
        "7 lease counts from before the renewal",
        "process/leases.py",
        "if lease is None or self._released or self._now() >= lease.valid_until:",
        "if lease is None or self._released:",
        "process/tests/test_leases.py",
    ),
    Mutation(
        "7 a taker waits the whole duration",
        "process/leases.py",
        "return self._now() - self._unchanged_since >= self._duration + self.takeover_delay",
        "return True",
        "process/tests/test_leases.py",
    ),
    Mutation(
        "8 one request at a time on a connection",
        "connection/caller_connection.py",
        "        if self._is_busy:\n            self._buffer_data(data)\n",
        "        if False:\n            self._buffer_data(data)\n",
        "connection/tests/test_server.py",
    ),
    Mutation(
        "8 ambiguous framing is refused",
        "connection/framing.py",
        '    if "content-length" in head.headers:\n        raise',
        "    if False:\n        raise",
        "connection/tests/test_framing.py",
    ),
)


ALL_MUTATIONS = (
    *MUTATIONS,
    *PLATFORM_MUTATIONS,
    *RESTART_MUTATIONS,
    *SPLICE_MUTATIONS,
    *PATH_MUTATIONS,
    *QUARANTINE_MUTATIONS,
    *KNOWN_FAILURE_MUTATIONS,
    *LEADER_MUTATIONS,
    *CONTROL_MUTATIONS,
    *ANSWER_MUTATIONS,
    *CUT_ANSWER_MUTATIONS,
    *MALFORMED_HEAD_MUTATIONS,
    *KNOWLEDGE_MUTATIONS,
    *DEPARTURE_MUTATIONS,
    *PROMISE_MUTATIONS,
    *SILENCE_MUTATIONS,
)


def _known_red():
    """Return the words that leave out tests which fail without any mutation."""
    path = ROOT / "KNOWN-RED.txt"
    lines = path.read_text().splitlines() if path.exists() else []
    return [word for line in lines for word in ("--deselect", line.split(" ", 1)[0])]


def _survives(mutation):
    """Return whether all tests still pass with the mutation."""
    with tempfile.TemporaryDirectory() as folder:
        copy = Path(folder)
        for name in ("flamingofront", "examples"):
            shutil.copytree(ROOT / name, copy / name)
        shutil.copy(ROOT / "conftest.py", copy)
        shutil.copy(ROOT / "pyproject.toml", copy)
        path = copy / "flamingofront" / mutation.file
        text = path.read_text()
        if text.count(mutation.old) != 1:
            raise SystemExit(f"{mutation.point}: the text to replace is not there exactly once")
        path.write_text(text.replace(mutation.old, mutation.new))
        words = [sys.executable, "-m", "pytest", "-x", "-q", "-p", "no:cacheprovider"]
        try:
            done = subprocess.run(
                [*words, *_known_red(), f"flamingofront/{mutation.tests}"],
                cwd=copy,
                env={**os.environ, "PYTHONPATH": str(copy)},
                capture_output=True,
                timeout=TIME_LIMIT_SECONDS,
            )
        except subprocess.TimeoutExpired:
            return False
        return done.returncode == 0


def main():
    """Print which mutations the tests notice; exit 1 if one is not.

    A word on the command line chooses the points that begin with it.
    """
    begin = sys.argv[1] if len(sys.argv) > 1 else ""
    chosen = [each for each in ALL_MUTATIONS if each.point.startswith(begin)]
    unnoticed = 0
    for mutation in chosen:
        survived = _survives(mutation)
        unnoticed += survived
        print(f"{'NOT NOTICED' if survived else 'noticed':12}{mutation.point}", flush=True)
    print(f"{len(chosen) - unnoticed} of {len(chosen)} noticed")
    sys.exit(1 if unnoticed else 0)


if __name__ == "__main__":
    main()
