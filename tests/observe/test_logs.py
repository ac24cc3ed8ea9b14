"""Log lines carry the prefix of their part and never contain a key."""

import io
import json

import pytest

from chervilpitch.observe import LogFormat, SecretRegister, configure_logs

KEY = "k-3f9a77"


@pytest.fixture(params=LogFormat)
def log(request):
    stream, secrets = io.StringIO(), SecretRegister()
    secrets.add(KEY)
    return configure_logs(stream, request.param, secrets)("limits"), stream


def test_lines_begin_with_the_name_of_their_part(log):
    logger, stream = log
    logger.info("Tenure lost.", account="fitters")
    assert "limits: Tenure lost." in stream.getvalue()
    assert "fitters" in stream.getvalue()


@pytest.mark.parametrize(
    "fields",
    [
        {"detail": KEY},
        {"detail": f"sent {KEY}!"},
        {"detail": KEY.encode()},
        {"headers": {"X-Other": [KEY, (KEY,)]}},
        {"headers": {KEY: 1}},
        {"error": ValueError(KEY)},
        {"names": {KEY}},
    ],
)
def test_a_presented_key_is_redacted_in_every_field(log, fields):
    logger, stream = log
    logger.warning(f"Refused {KEY}.", **fields)
    assert stream.getvalue() and KEY not in stream.getvalue()


def test_a_key_in_a_traceback_is_redacted(log):
    logger, stream = log
    try:
        raise ValueError(KEY)
    except ValueError:
        logger.exception("Failed.")
    assert "ValueError" in stream.getvalue() and KEY not in stream.getvalue()


@pytest.mark.parametrize(
    "name", ["key", "api_key", "X-Key", "secret", "peer_secret", "Authorization"]
)
def test_fields_with_secret_names_are_redacted(log, name):
    logger, stream = log
    logger.info("Seen.", **{name: "hidden-value"}, outer={name: "hidden-value"})
    assert "hidden-value" not in stream.getvalue()


def test_names_that_merely_contain_key_are_not_redacted(log):
    logger, stream = log
    logger.info("Seen.", monkey="shown-value")
    assert "shown-value" in stream.getvalue()


def test_a_key_is_redacted_until_its_last_request_ends():
    secrets = SecretRegister()
    secrets.add(KEY)
    secrets.add(KEY)
    secrets.discard(KEY)
    assert KEY not in secrets.redact(KEY)
    secrets.discard(KEY)
    assert secrets.redact(KEY) == KEY


def test_json_lines_can_be_parsed():
    stream = io.StringIO()
    logger = configure_logs(stream, LogFormat.JSON, SecretRegister())("health")
    logger.error("Upstream ejected.", upstream="u1")
    assert json.loads(stream.getvalue())["upstream"] == "u1"
