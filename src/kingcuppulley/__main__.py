"""Run the command line with `python -m kingcuppulley`."""

from kingcuppulley.operators.command_line import application

if __name__ == "__main__":
    application()
