"""Mutations of what keeps an answer that stops early from looking whole."""

from bench.mutation import Mutation

__all__ = ["CUT_ANSWER_MUTATIONS"]

ANSWERS = "tests/test_answers_cut_short.py"
PROCESSES = "tests/test_processes_cut_short.py"
ENGINES = "tests/test_engines_cut_short.py"
EARLY = "tests/test_early_answers.py"
CLIENT = "connection/client.py"
PEER_CLOSE = """        if not self._is_complete_at_close():
            self.fail("reset")
"""
END_OF_HEAD = """        if self._call is not None and self._head is None:
            self._parse_response(b"\\r\\n\\r\\n")
"""

CUT_ANSWER_MUTATIONS = (
    *(
        Mutation(
            f"Cut: the end of the connection is not the end of a head ({name})",
            CLIENT,
            PEER_CLOSE,
            END_OF_HEAD + PEER_CLOSE,
            tests,
        )
        for name, tests in (
            ("calls", f"{ANSWERS}::TestCalls"),
            ("store", f"{ANSWERS}::TestStore"),
            ("peers", f"{ANSWERS}::TestPeers"),
            ("entry process", f"{PROCESSES}::TestEntryProcess"),
            ("plain service", f"{ENGINES}::TestPlainServices"),
        )
    ),
    Mutation(
        "Cut: a body with a length needs all of it",
        CLIENT,
        "self._call is not None and self._head is not None and self._decoder.can_end_at_close()",
        "self._call is not None and self._head is not None",
        f"{ANSWERS}::TestCalls",
    ),
    Mutation(
        "Cut: a reset ends no answer",
        CLIENT,
        """            data = self.sock.recv(READ_BYTES)
        except BlockingIOError:
            return
        except OSError:
            self.fail("reset")
            return
""",
        """            data = self.sock.recv(READ_BYTES)
        except BlockingIOError:
            return
        except OSError:
            data = b""
""",
        f"{ANSWERS}::TestCalls::test_unframed_answer_that_is_reset_fails",
    ),
    Mutation(
        "Cut: a success without a length waits until its request is taken",
        CLIENT,
        "elif self._head.status in SUCCESS_STATUSES:",
        "elif False:",
        f"{EARLY}::TestCloses",
    ),
    Mutation(
        "Cut: a request that is not taken is reset",
        "connection/upload_watch.py",
        "elif self._has_unsent() or read_send_state(self._sock).queued:",
        "elif False:",
        f"{EARLY}::TestCloses",
    ),
    Mutation(
        "Cut: a proxy breaks off what its endpoint breaks off",
        "process/forwarding/proxy.py",
        """        if self._has_begun:
            self._exchange.abort()
""",
        """        if self._has_begun:
            self._exchange.finish()
""",
        f"{PROCESSES}::TestEntryProcess",
    ),
    Mutation(
        "Cut: an event stream without framing is not empty",
        "connection/framing.py",
        "UntilCloseDecoder(may_be_empty=not _is_event_stream(head))",
        "UntilCloseDecoder()",
        f"{PROCESSES}::TestResumedStream",
    ),
    Mutation(
        "Cut: an unreadable answer to a write leaves its outcome open",
        "platform/store.py",
        "maybe_applied=is_ok) from exc",
        "maybe_applied=False) from exc",
        f"{ANSWERS}::TestStore",
    ),
    Mutation(
        "Cut: an answer to the command line that is no JSON is lost",
        "cli.py",
        "http.client.HTTPException, orjson.JSONDecodeError)",
        "http.client.HTTPException)",
        f"{ANSWERS}::TestCommandLine",
    ),
)
