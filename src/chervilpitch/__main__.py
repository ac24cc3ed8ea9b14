"""Run the program as ``python -m chervilpitch``."""

from chervilpitch.cli import main

if __name__ == "__main__":
    main()
