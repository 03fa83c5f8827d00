"""In-process stand-in of the platform with faults that are scripted per call."""

import random

import requests
from werkzeug.test import Client

from bramleystair.operators import OperatorSession
from bramleystair.standins._platform import CONNECTION_KEY, PlatformApplication
from bramleystair.store import PlatformClient


class Connection:
    """Fake connection, which is its own socket and records whether it was closed."""

    def __init__(self):
        self.socket = self
        self.is_cut = False

    def shutdown(self, how):
        self.is_cut = True


class FakeSession:
    """HTTP session that calls the stand-in; `script` holds the next calls' faults."""

    def __init__(self, application, concurrent_write=None):
        self.client = Client(application)
        self.application = application
        self.script = []
        self.concurrent_write = concurrent_write
        self.count = 0

    def request(self, method, url, *, timeout, params=None, json=None, headers=None):
        self.count += 1
        fault = self.script.pop(0) if self.script else "none"
        if fault == "concurrent_write":
            self.concurrent_write()
        if fault == "lost_request":
            raise requests.ConnectionError
        response, is_cut = self.call(method, url, params, json, headers)
        if fault == "lost_response" or is_cut:
            raise requests.ReadTimeout
        if fault == "malformed_response":
            response._content = b'{"version": "1"}'
        return response

    def call(self, method, url, params, json, headers):
        connection = Connection()
        path = "/" + url.split("/", 3)[3]
        answer = self.client.open(
            path,
            method=method,
            query_string=params,
            json=json,
            headers=headers,
            environ_overrides={CONNECTION_KEY: connection},
        )
        response = requests.Response()
        response.status_code = answer.status_code
        response.headers.update(answer.headers)
        response._content = answer.data
        return response, connection.is_cut


class FakePlatform:
    """Stand-in on a manual clock and the clients that use it."""

    def __init__(self, log_length=100):
        self.now = 0.0
        self.waits = []
        self.pushed = []
        self.application = PlatformApplication(
            log_length=log_length, now=lambda: self.now, wait=self.wait
        )
        self.store = self.application.store
        self.other_client = self.create_client()

    def wait(self, seconds):
        self.waits.append(seconds)
        self.now += seconds

    def create_client(self):
        session = FakeSession(self.application, lambda: self.write_concurrently())
        client = PlatformClient(
            "http://platform",
            session=session,
            wait=self.wait,
            source=random.Random(1),
        )
        client.session = session
        return client

    def create_operator(self, name):
        return OperatorSession(
            self.create_client(), name, lambda: "2026-01-01T00:00:00+00:00", self.push
        )

    def push(self, item, balancers):
        self.pushed.append((item.key, item.version))
        return tuple(balancer.node for balancer in balancers)

    def write_concurrently(self, key="table/a", is_conditional=True):
        present = self.other_client.get_object(key).ok()
        if present is None or not is_conditional:
            return self.other_client.put_object(key, "theirs", nonce="other")
        return self.other_client.put_verified(
            key, "theirs", if_match=present.version, previous=present
        )

    def list_written(self, nonce):
        """Return the versions that the platform assigned to writes with `nonce`."""
        return [
            entry["version"] for entry in self.store._log if entry.get("nonce") == nonce
        ]
