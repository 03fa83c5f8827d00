"""Data files of measurements, and the pages rendered from them."""

import json
from pathlib import Path
from string import Template

TEMPLATES = Path(__file__).with_name("templates")


def write_data(path: Path, data: dict) -> None:
    """Write `data` as JSON, creating the directory if needed."""
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(json.dumps(data, indent=1, sort_keys=True) + "\n")


def format_table(rows: list[dict], columns: dict[str, str]) -> str:
    """Return a Markdown table.

    Parameters
    ----------
    rows : list of dict
        Table rows.
    columns : dict of str to str
        Column headings by key of a row.
    """
    lines = [
        "| " + " | ".join(columns.values()) + " |",
        "|" + "---|" * len(columns),
    ]
    for row in rows:
        lines.append("| " + " | ".join(str(row[key]) for key in columns) + " |")
    return "\n".join(lines)


def fill_template(name: str, values: dict[str, str]) -> str:
    """Return the template `name` with its `${placeholders}` substituted."""
    return Template((TEMPLATES / name).read_text()).substitute(values)


def render_spread(data_path: Path) -> str:
    """Render docs/spread.md from its data."""
    data = json.loads((data_path / "spread.json").read_text())
    columns = {
        "strategy": "strategy",
        "loss": "loss",
        "held": "nodes reached",
        "median_s": "median s",
        "worst_s": "worst s",
        "messages": "messages per node",
        "bytes": "bytes per node",
    }
    values = {"command": data["command"], "seeds": str(data["seeds"])}
    for count in (10, 100, 1200):
        rows = [row for row in data["rows"] if row["nodes"] == count]
        values[f"table_{count}"] = format_table(rows, columns)
    return fill_template("spread.md", values)


def write_spread_page(data_path: Path) -> None:
    """Write spread.md to the parent of the data directory."""
    (data_path.parent / "spread.md").write_text(render_spread(data_path))
