"""A plot page of a run: answers per second and the faults beside them."""

import html

WIDTH, HEIGHT, LEFT, LANE = 1100, 220, 60, 12
COLOURS = {"whole": "#2a7", "refused": "#e90", "other": "#c33"}


def page(title, series, steps, seconds, broken):
    """`series` maps a user to a list of {result: count} per second."""
    body = [f"<h1>{html.escape(title)}</h1>"]
    verdict = ("every promise was kept" if not broken else "; ".join(
        f"{name}: {count}" for name, count in broken.items()))
    body.append(f"<p>{html.escape(verdict)}</p>")
    for user, bins in series.items():
        body.append(f"<h2>{html.escape(user)}</h2>")
        body.append(_plot(bins, steps[user], seconds))
    style = "body{font-family:sans-serif} text{font-size:10px}"
    return (f"<!doctype html><meta charset=utf-8><title>{html.escape(title)}"
            f"</title><style>{style}</style>" + "".join(body))


def _plot(bins, steps, seconds):
    lanes = HEIGHT + 20 + LANE * len(steps)
    top = max([sum(one.values()) for one in bins] or [1]) or 1
    scale = (WIDTH - LEFT - 160) / max(seconds, len(bins), 1)
    parts = [f'<svg width="{WIDTH}" height="{lanes}">',
             f'<text x="0" y="10">{top} answers/s</text>']
    for second, one in enumerate(bins):
        base = HEIGHT
        for kind, colour in COLOURS.items():
            tall = one.get(kind, 0) * (HEIGHT - 15) / top
            base -= tall
            parts.append(
                f'<rect x="{LEFT + second * scale:.1f}" y="{base:.1f}" '
                f'width="{scale:.1f}" height="{tall:.1f}" fill="{colour}"/>')
    for lane, step in enumerate(steps):
        y = HEIGHT + 16 + LANE * lane
        x = LEFT + step.at * scale
        wide = max(3.0, (step.until - step.at) * scale)
        where = f" {step.service}-{step.instance}" if step.service else ""
        parts.append(
            f'<rect x="{x:.1f}" y="{y}" width="{wide:.1f}" height="8" '
            f'fill="#88a"/><text x="{x + wide + 4:.1f}" y="{y + 8}">'
            f'{html.escape(step.name + where)}</text>')
    for kind, colour in COLOURS.items():
        at = 120 + 80 * list(COLOURS).index(kind)
        parts.append(f'<text x="{at}" y="10" fill="{colour}">{kind}</text>')
    return "".join(parts) + "</svg>"
