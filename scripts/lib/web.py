"""HTTP calls to the stand-ins' control ports and to the proxies."""

import http.client
import json

TIMEOUT_S = 10


def call(port, method, path, body=None, timeout_s=TIMEOUT_S):
    """Returns (status, text); raises OSError or HTTPException."""
    connection = http.client.HTTPConnection("127.0.0.1", port,
                                            timeout=timeout_s)
    try:
        text = None if body is None else json.dumps(body)
        connection.request(method, path, text)
        answer = connection.getresponse()
        return answer.status, answer.read().decode()
    finally:
        connection.close()


def get(port, path):
    status, text = call(port, "GET", path)
    if status != 200:
        raise RuntimeError(f"GET {path} on port {port}: {status} {text}")
    return json.loads(text)


def post(port, path, body):
    status, text = call(port, "POST", path, body)
    if status != 200:
        raise RuntimeError(f"POST {path} on port {port}: {status} {text}")
    return json.loads(text)


def is_ready(port):
    try:
        return call(port, "GET", "/ready", timeout_s=1)[0] == 200
    except (OSError, http.client.HTTPException):
        return False


def read_metrics(port):
    """Returns the samples of a metrics page as {name with labels: value}."""
    try:
        status, text = call(port, "GET", "/metrics", timeout_s=3)
    except (OSError, http.client.HTTPException):
        return {}
    if status != 200:
        return {}
    samples = {}
    for line in text.splitlines():
        if line and not line.startswith("#"):
            name, _, value = line.rpartition(" ")
            samples[name] = float(value)
    return samples
