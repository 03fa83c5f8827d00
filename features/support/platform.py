"""The platform's stand-in without a network, with faults scripted call by call."""

import random

import requests
from werkzeug.test import Client

from bramleystair.operators import OperatorSession
from bramleystair.standins._platform import CONNECTION_KEY, PlatformApplication
from bramleystair.store import PlatformClient


class Connection:
    """Connection, and its own socket, that remembers being cut."""

    def __init__(self):
        self.socket = self
        self.is_cut = False

    def shutdown(self, how):
        self.is_cut = True


class FakeSession:
    """Pass calls to the stand-in; `script` holds the faults of the next calls."""

    def __init__(self, application, rival=None):
        self.client = Client(application)
        self.application = application
        self.script = []
        self.rival = rival
        self.count = 0

    def request(self, method, url, *, timeout, params=None, json=None, headers=None):
        self.count += 1
        fault = self.script.pop(0) if self.script else "none"
        if fault == "rival":
            self.rival()
        if fault == "lost_call":
            raise requests.ConnectionError
        response, is_cut = self.call(method, url, params, json, headers)
        if fault == "lost_answer" or is_cut:
            raise requests.ReadTimeout
        if fault == "rubbish":
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
    """Stand-in on a manual clock, with clients that share it."""

    def __init__(self, log_length=100):
        self.now = 0.0
        self.waits = []
        self.pushed = []
        self.application = PlatformApplication(
            log_length=log_length, now=lambda: self.now, wait=self.wait
        )
        self.store = self.application.store
        self.rival = self.create_client()

    def wait(self, seconds):
        self.waits.append(seconds)
        self.now += seconds

    def create_client(self):
        session = FakeSession(self.application, lambda: self.write_as_rival())
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

    def write_as_rival(self, key="table/a", is_conditional=True):
        present = self.rival.get_object(key).ok()
        if present is None or not is_conditional:
            return self.rival.put_object(key, "theirs", nonce="rival")
        return self.rival.put_verified(
            key, "theirs", if_match=present.version, previous=present
        )

    def list_written(self, nonce):
        """Return the versions that the platform ever gave to writes with `nonce`."""
        return [
            entry["version"] for entry in self.store._log if entry.get("nonce") == nonce
        ]
