import tempfile
from pathlib import Path

from behave import then, when

from bramleystair.operators._config import check_settings_file
from bramleystair.steering import read_options

DEPLOYED = Path(__file__).resolve().parents[2] / "deploy" / "steering.json"


def write_options(context, text):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    path = Path(folder.name) / "steering.json"
    path.write_text(text, encoding="utf-8")
    return path


@when("options are read from {text}")
def read_text(context, text):
    context.result = read_options(str(write_options(context, text)))


@then("they are refused: {error}")
def check_error(context, error):
    assert context.result.unwrap_err().detail == error, context.result


@when("the deployed options are checked by the command line")
def check_deployed(context):
    context.report = check_settings_file(DEPLOYED)


@then("it reports that the options of steering have no errors")
def check_no_errors(context):
    assert context.report.kind == "steering"
    assert not context.report.errors, context.report.errors


@when("options with a negative limit are checked by the command line")
def check_wrong(context):
    path = write_options(context, '{\n// a comment\n"pace": {"max_slots": -1}}')
    context.report = check_settings_file(path)


@then("it reports option {name}, its value {value} and what is allowed")
def check_report(context, name, value):
    (error,) = context.report.errors
    assert (error.option, error.value) == (name, value), error
    assert error.allowed == "an integer from 0 to 65535"
