"""A client that stops its parent process while its request arrives.

Arguments: the port of the listener, and how many bytes of the request are
sent before the pause. Writes the response to standard output.
"""

import os
import signal
import socket
import sys
import time

REQUEST = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"
BEFORE_SECONDS = 0.2
HALF_PAUSE_SECONDS = 0.5


def main(port, begun):
    """Send a request, in a pause of the parent; return the response."""
    with socket.create_connection(("127.0.0.1", port)) as client:
        client.sendall(REQUEST[:begun])
        time.sleep(BEFORE_SECONDS)
        os.kill(os.getppid(), signal.SIGSTOP)
        time.sleep(HALF_PAUSE_SECONDS)
        client.sendall(REQUEST[begun:])
        time.sleep(HALF_PAUSE_SECONDS)
        os.kill(os.getppid(), signal.SIGCONT)
        return client.recv(4096)


if __name__ == "__main__":
    sys.stdout.buffer.write(main(int(sys.argv[1]), int(sys.argv[2])))
