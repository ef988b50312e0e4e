"""Mutations of what rejects heads that break the protocol."""

from bench.mutation import Mutation

__all__ = ["MALFORMED_HEAD_MUTATIONS"]

ANSWERS = "tests/test_malformed_answers.py"
FRAMING = "connection/framing.py"

MALFORMED_HEAD_MUTATIONS = (
    Mutation(
        "Malformed: a status is within its range",
        FRAMING,
        "[1-5][0-9]{2} )",
        "[0-9]{3} )",
        f"{ANSWERS}::TestStatus",
    ),
    Mutation(
        "Malformed: a name has no blanks or control bytes",
        FRAMING,
        "if not colon or not _FIELD_NAME.fullmatch(name):",
        "if not colon:",
        f"{ANSWERS}::TestFieldNames",
    ),
    Mutation(
        "Malformed: nobody asked for another protocol",
        "connection/client.py",
        "if head.status == STATUS_SWITCHING_PROTOCOLS:",
        "if False:",
        f"{ANSWERS}::TestStatus",
    ),
    Mutation(
        "Malformed: any reason is accepted",
        FRAMING,
        'return line[1] + b"\\r\\n" + raw[line.end() :]',
        "return raw",
        f"{ANSWERS}::TestStatus",
    ),
    Mutation(
        "Malformed: a request line has single spaces",
        FRAMING,
        "if is_request and not _REQUEST_LINE.match(raw):",
        "if False:",
        "tests/test_odd_first_lines.py",
    ),
    Mutation(
        "Malformed: values keep blanks that the protocol does not have",
        FRAMING,
        'value.strip(b" \\t").decode("latin-1")',
        'value.decode("latin-1").strip()',
        "connection/tests/test_framing.py",
    ),
    Mutation(
        "Malformed: the log tells what is malformed",
        "connection/client.py",
        'self.fail("framing", exc.detail)',
        'self.fail("framing")',
        f"{ANSWERS}::TestLogs",
    ),
)
