"""No bytes from outside make a decoder raise: an exception would end the process.

Runners, callers, the store and other writers in it send these bytes.
"""

from __future__ import annotations

import json
from typing import Any

import cbor2
import gevent
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from godwitrudder import codec
from godwitrudder.codec import Malformed
from godwitrudder.connection.body import ChatModel, parse_body
from godwitrudder.connection.loans import SEAL_BYTES, Message, unseal
from godwitrudder.connection.messages import CallerRequest, ResponseHead
from godwitrudder.ctl.decision_log import LineCounts, read_decisions
from godwitrudder.platform import documents, engine_report, headers, names
from godwitrudder.platform.store import (
    Answer,
    AppendedModel,
    KeyedRecord,
    NewestModel,
    _decode_era,
    _decode_forgotten,
    _decode_keyed,
    _decode_page,
    _decode_rejected,
)
from godwitrudder.request.event_stream import EventReader
from godwitrudder.validation import Problem, parse, parse_address
from godwitrudder.version.statement_table import StatementTable
from godwitrudder.version.statements import Statement
from tests.entry_setup import EntrySetup, configuration, good, run_entry, status_of

FUZZ = settings(max_examples=150, deadline=None, derandomize=True, database=None)
NESTED = b"[" * 100_000 + b"]" * 100_000
DIGITS = "9" * 5000

RECORD: dict[str, Any] = {
    "service": "s",
    "address": "127.0.0.1:80",
    "state": "ready",
    "slots": 4,
    "born": 1,
    "seq": 1,
}


def with_raw(fields: dict[str, Any], name: str, raw: bytes) -> bytes:
    """Return fields as JSON, with raw bytes as the value of one field."""
    text = json.dumps({**fields, name: "@raw@"}).encode()
    return text.replace(b'"@raw@"', raw)


NUMBERS = st.sampled_from(
    [DIGITS, "-" + DIGITS, "1e999", "-1", "0", "1e308", "9" * 400, "1.5", "-0.0", "2e9"]
).map(str.encode)
TEXTS = st.one_of(
    st.text(max_size=30),
    st.sampled_from(
        [
            "0.0.0.0:80",
            "::1:80",
            "[::1]:80",
            "[::]:80",
            "fe80::1%eth0:80",
            "[fe80::1%eth0]:80",
            "127.0.0.1:\u0663\u0663",
            f"127.0.0.1:{DIGITS}",
            "127.0.0.1:99999",
            "127.0.0.1:0",
            "224.0.0.1:80",
            "nan",
            "inf",
            DIGITS,
        ]
    ),
).map(lambda text: json.dumps(text).encode())
RAW = st.one_of(
    NUMBERS,
    TEXTS,
    st.sampled_from([NESTED, b'{"a":' * 50_000 + b"1" + b"}" * 50_000, b"null", b"[]"]),
    st.sampled_from([b"\xff", b'"\xff\xfe"', b'"\\ud800"', b"tru", b""]),
)


@given(name=st.sampled_from([*RECORD, "unknown"]), raw=RAW)
@FUZZ
def test_no_runner_entry_makes_the_decoder_raise(name: str, raw: bytes) -> None:
    """One deeply nested entry ended every host, again after each restart."""
    entry = documents.entry("i-1", with_raw(RECORD, name, raw))
    if not isinstance(entry, Malformed):
        assert 0 < entry.address.port < 65536
        assert 0 < entry.slots < 2**60


@given(key=st.text(max_size=300))
@FUZZ
def test_an_id_of_a_runner_can_stand_in_a_header(key: str) -> None:
    entry = documents.entry(key, json.dumps(RECORD).encode())
    if not isinstance(entry, Malformed):
        assert key.isascii() and key.isprintable() and " " not in key


@given(
    part=st.sampled_from(["version", "routes", "services", "tenants", "limits", "x"]),
    field=st.sampled_from(["", "timeout_ms", "priority", "slots", "prepaid", "weight"]),
    raw=RAW,
)
@FUZZ
def test_no_configuration_makes_the_decoder_raise(
    part: str, field: str, raw: bytes
) -> None:
    fields = configuration()
    if not field:
        documents.catalogue(with_raw(fields, part, raw))
        return
    for row in fields["routes"], fields["services"], fields["tenants"]:
        assert isinstance(row, list)
        row[0] = {**row[0], field: "@raw@"}
    data = json.dumps(fields).encode().replace(b'"@raw@"', raw)
    documents.catalogue(data)


JSON_TYPES = [
    ChatModel,
    engine_report.ReportModel,
    AppendedModel,
    NewestModel,
    dict[str, Any],
]


@given(
    expected=st.sampled_from(JSON_TYPES),
    data=st.one_of(RAW, st.binary(max_size=60)),
    field=st.sampled_from(["items", "end", "offset", "models", "messages", "n", "seq"]),
)
@FUZZ
def test_no_json_makes_a_decoder_raise(expected: Any, data: bytes, field: str) -> None:
    for body in (data, with_raw({}, field, data)):
        codec.decode_json(body, expected)
        codec.decode_json(body, expected, strict=False)
        parse_body(body, True)
        parse_body(body, False)
        list(read_decisions([body], LineCounts()))
        _decode_rejected(Answer(409, body, 1))
        _decode_forgotten(Answer(410, body, 1))
        _decode_page(0, Answer(200, body, 1))
        _decode_keyed(body)
        parse("settings", body.decode("latin-1"), dict[str, Any])


CBOR = st.recursive(
    st.one_of(
        st.none(),
        st.integers(-(2**70), 2**70),
        st.floats(),
        st.text(max_size=9),
        st.binary(max_size=9),
    ),
    lambda inner: st.one_of(
        st.lists(inner, max_size=9), st.dictionaries(st.text(max_size=3), inner)
    ),
    max_leaves=20,
).map(cbor2.dumps)
CBOR_BYTES = st.one_of(
    CBOR,
    st.binary(max_size=80),
    st.sampled_from(
        [
            b"\x81" * 100_000 + b"\x00",
            b"\xa1\x61a" * 50_000 + b"\x00",
            b"\xc0\x60",  # a date without text
            b"\xc4\x82\x1b" + b"\xff" * 8 + b"\x01",  # a decimal with a huge exponent
            b"\xd8\x1e\x82\x01\x00",  # a fraction with a denominator of zero
            b"\xd8\x23\x61(",  # a regular expression that doesn't compile
            b"\xd8\x25\x41x",  # a UUID that is too short
            b"\x9b" + b"\xff" * 8,  # an array that claims 2**64 - 1 elements
            b"\x5b" + b"\xff" * 8,
        ]
    ),
)


@given(data=CBOR_BYTES, cut=st.integers(0, 30))
@FUZZ
def test_no_statement_or_message_makes_a_decoder_raise(data: bytes, cut: int) -> None:
    statement = codec.encode(Statement(1, 0.0, 0.0, {}))
    for body in (data, statement[:cut] + data):
        codec.decode(body, Statement)
        codec.decode(body, Message)
        StatementTable().put("h", body, 0.0)
        unseal(b"x" * SEAL_BYTES + body, b"key")


HEADER_VALUES = st.one_of(
    st.binary(max_size=30),
    NUMBERS,
    st.sampled_from([b"nan", b"inf", b"-inf", b"1e-310", b"1_0", b"1,2", b",", b"a:9"]),
)
CALLER_HEADERS = [
    names.DEADLINE_MS,
    names.TOKENS,
    names.PREFIX,
    names.LAST_EVENT_ID,
    b"authorization",
    b"host",
]


@given(name=st.sampled_from(CALLER_HEADERS), value=HEADER_VALUES)
@FUZZ
def test_no_header_of_a_caller_makes_the_parser_raise(
    name: bytes, value: bytes
) -> None:
    request = CallerRequest(
        b"GET", b"/", [(names.REQUEST_ID, b"r"), (name, value)], b"", False
    )
    parsed = headers.parse_caller_headers(request)
    if not isinstance(parsed, str):
        assert parsed.prompt_tokens + parsed.output_tokens < 2**60
        assert parsed.deadline_seconds is None or abs(parsed.deadline_seconds) <= 1e9


RUNNER_HEADERS = [
    names.SERVER_LOAD,
    names.SERVER_LIMIT,
    names.RETRY_AFTER,
    b"keep-alive",
]


@given(name=st.sampled_from(RUNNER_HEADERS), value=HEADER_VALUES)
@FUZZ
def test_no_header_of_a_runner_makes_a_parser_raise(name: bytes, value: bytes) -> None:
    head = ResponseHead(503, [(name, value), (b"keep-alive", b"timeout=" + value)])
    headers.load(head)
    headers.idle_seconds(head)
    headers.backoff_seconds(head)
    limit = headers.rate_limit(head)
    if isinstance(limit, float) and limit:
        assert 1e-9 <= 1 / limit <= 1e6


@given(value=HEADER_VALUES)
@FUZZ
def test_no_era_makes_the_client_raise(value: bytes) -> None:
    assert 0 <= _decode_era(value.decode("latin-1")) < 10**18
    assert _decode_era(None) == 0


def test_an_event_id_of_thousands_of_digits_is_none() -> None:
    event = b"id: " + DIGITS.encode() + b"\ndata: x\n\n"
    assert [each.id for each in EventReader().feed(event)] == [None]


@pytest.mark.parametrize(
    "text",
    ["127.0.0.1:\u0663", f"127.0.0.1:{DIGITS}", "::1:80", "[fe80::1%eth0]:80", ":80"],
)
def test_an_address_that_is_none_is_a_problem(text: str) -> None:
    assert isinstance(parse_address("test", "address", text), Problem)


ODD_RECORDS = [
    with_raw(RECORD, "unknown", NESTED),
    with_raw(RECORD, "address", f'"127.0.0.1:{DIGITS}"'.encode()),
    with_raw(RECORD, "slots", b"9" * 400),
    with_raw(RECORD, "address", b'"127.0.0.1:99999"'),
]


def put_raw(setup: EntrySetup, topic: str, record: KeyedRecord) -> None:
    key = record.key.encode()
    data = bytes([len(key)]) + key + (record.value or b"")
    setup.store._topic(topic).add(data)


@pytest.mark.parametrize("value", ODD_RECORDS)
def test_a_host_outlives_an_odd_entry_and_follows_later_ones(value: bytes) -> None:
    with run_entry(good, good) as setup:
        put_raw(setup, names.RUNNERS_TOPIC, KeyedRecord("i-9", value))
        put_raw(setup, names.RUNNERS_TOPIC, KeyedRecord("a\r\nb: c", value))
        put_raw(
            setup,
            names.OPERATOR_TOPIC,
            KeyedRecord("config", with_raw(configuration(2), "unknown", NESTED)),
        )
        setup.store.put(names.RUNNERS_TOPIC, "i-1", None)
        setup.store.put(names.OPERATOR_TOPIC, "config", configuration(3))
        gevent.sleep(3.0)
        listed = [each.entry.id for each in setup.entry.directory.candidates("s")]
        assert listed == ["i-0"]
        catalogue = setup.entry.directory.catalogue
        assert catalogue is not None
        assert catalogue.version == 3
        assert status_of(setup.ask()) == 200
