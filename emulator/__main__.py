"""Entry point of `python -m emulator`."""

from emulator.cli import main

if __name__ == "__main__":
    main()
