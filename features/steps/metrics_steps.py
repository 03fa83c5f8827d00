from concurrent.futures import ThreadPoolExecutor

import cattrs
import requests
from behave import given, then, when

from bramleystair.metrics import Metrics, MetricsServer, NodeStatus

TIMEOUT_S = 30


@given("a metrics server")
def start_server(context):
    context.metrics = Metrics({"node": "balancer-1"})
    context.health = {"ready": True}
    context.server = MetricsServer(
        "127.0.0.1",
        0,
        context.metrics,
        lambda: context.health,
        lambda: NodeStatus("balancer-1", "balancer", "zone-1", {"table/feed": 3}),
    )
    context.server.start()
    context.add_cleanup(context.server.close)


def get(context, path):
    url = f"http://127.0.0.1:{context.server.port}{path}"
    return requests.get(url, timeout=TIMEOUT_S)


@when(
    '{threads:d} threads count "{name}" with the reason "{reason}" {times:d} times each'
)
def count(context, threads, name, reason, times):
    def run(_):
        for _ in range(times):
            context.metrics.count(name, reason)

    with ThreadPoolExecutor(threads) as pool:
        list(pool.map(run, range(threads)))


@when('the gauge "{name}" is set to {value:d} for "{subject}"')
def set_gauge(context, name, value, subject):
    context.metrics.set_gauge(name, value, subject)


@when('the durations 0.002, 0.002, 0.3 and 9 s of "{name}" are observed')
def observe(context, name):
    for seconds in (0.002, 0.002, 0.3, 9):
        context.metrics.observe(name, seconds)


@then('each of {times:d} responses to "/metrics" has these values')
def check_values(context, times):
    for _ in range(times):
        response = get(context, "/metrics")
        assert response.status_code == 200
        for row in context.table:
            line = f"{row['name']} {row['value']}"
            assert line in response.text.splitlines(), response.text


@when("the process is not ready")
def set_not_ready(context):
    context.health = {"ready": False}


@then('"/healthz" answers {status:d}')
def check_health(context, status):
    assert get(context, "/healthz").status_code == status


@then('"/status" reports version {version:d} of "{key}" and {count:d} of "{counter}"')
def check_status(context, version, key, count, counter):
    status = get(context, "/status").json()
    assert status["versions"] == {key: version}
    assert status["counters"] == {counter: count}
    read = cattrs.structure(status, NodeStatus)
    assert (read.node, read.kind, read.zone) == ("balancer-1", "balancer", "zone-1")
    assert read.list_refusals() == {counter: count}
