"""Which bench plays a site: the one that the page beside the site names.

A folder of sites may hold a page LATER.md that says which bench plays it "from now on"; the page
BENCH.md one folder up names the first bench, for folders whose page is silent. Benches are named by
paths that end in the folder of the pages and what is below it.
"""
import os
import re

LATER_PAGE = "LATER.md"
FIRST_PAGE = "BENCH.md"
NAMED = re.compile(r"From now on the bench is `([^`]+)`")
FIRST_NAMED = re.compile(r"^`([^`]+/fleetbench)`", re.M)


class SiteError(Exception):
    """A site, a page or a bench that isn't there, or a page that names none."""


def read_page(path):
    with open(path, encoding="utf-8") as file:
        return file.read()


def find_named(site):
    """The bench as the pages spell it, and the page that names it."""
    folder = os.path.dirname(os.path.abspath(site))
    for path, pattern in ((os.path.join(folder, LATER_PAGE), NAMED),
                          (os.path.join(os.path.dirname(folder), FIRST_PAGE), FIRST_NAMED)):
        match = pattern.search(read_page(path)) if os.path.exists(path) else None
        if match:
            return match[1], path
    raise SiteError(f"{site}: no page names its bench")


def find_bench(site):
    """The path of the bench that plays `site`; raises SiteError if the site or the bench is missing."""
    if not os.path.isfile(site):
        raise SiteError(f"{site}: no such site")
    named, page = find_named(site)
    pages = os.path.dirname(os.path.dirname(os.path.abspath(site)))
    _, found, below = named.rpartition(f"/{os.path.basename(pages)}/")
    bench = os.path.join(pages, below) if found else named
    if not os.access(bench, os.X_OK):
        raise SiteError(f"{site}: {page} names {named}, which isn't there or can't be run")
    return bench
