"""Runs the command line with `python -m tanagerport`."""

from tanagerport.cli import run

if __name__ == "__main__":
    run()
