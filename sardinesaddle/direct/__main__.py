"""``python3 -m sardinesaddle.direct ROLE``: the command that the platform runs.

The platform may send SIGHUP for changed settings while a process is still starting, and
by default the signal ends the process. It is therefore ignored before anything else is
imported; the settings are read later.
"""

import importlib
import signal

if __name__ == "__main__":
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    importlib.import_module("sardinesaddle.direct.start").main()
