"""Finds the fleetbench program ("the bench") of a site, named by the page in the folder of the site.

A folder of sites may have a page LATER.md that names the bench of the folder ("From now on the bench
is ..."). For folders whose page names none, BENCH.md one folder up names the default bench. The pages
give the path of a bench from elsewhere; only its part below the folder of BENCH.md is used.
"""
import os
import re

FOLDER_PAGE = "LATER.md"
DEFAULT_PAGE = "BENCH.md"
BENCH_PATTERN = re.compile(r"From now on the bench is `([^`]+)`")
DEFAULT_BENCH_PATTERN = re.compile(r"^`([^`]+/fleetbench)`", re.M)


class SiteError(Exception):
    """A site or a bench is missing, or no page names the bench."""


def read_page(path):
    with open(path, encoding="utf-8") as file:
        return file.read()


def read_bench_name(site):
    """Returns the path of the bench as written on the page, and the path of the page."""
    folder = os.path.dirname(os.path.abspath(site))
    for path, pattern in ((os.path.join(folder, FOLDER_PAGE), BENCH_PATTERN),
                          (os.path.join(os.path.dirname(folder), DEFAULT_PAGE), DEFAULT_BENCH_PATTERN)):
        match = pattern.search(read_page(path)) if os.path.exists(path) else None
        if match:
            return match[1], path
    raise SiteError(f"{site}: no page names its bench")


def find_bench(site):
    """Returns the path of the bench of `site`; raises SiteError if the site or the bench is missing."""
    if not os.path.isfile(site):
        raise SiteError(f"{site}: no such site")
    named, page = read_bench_name(site)
    pages = os.path.dirname(os.path.dirname(os.path.abspath(site)))
    _, found, below = named.rpartition(f"/{os.path.basename(pages)}/")
    bench = os.path.join(pages, below) if found else named
    if not os.access(bench, os.X_OK):
        raise SiteError(f"{site}: {page} names {named}, which isn't there or can't be run")
    return bench
