"""Set up a virtual environment and run one of the project's jobs.

Usage: python3 run.py {demo|test|check|experiment} [ARGUMENT ...]
       python3 run.py script NAME [ARGUMENT ...]

``script`` runs one of the modules under scripts, such as ablation, soak or
bench.peers, in the same environment.

The environment is made in .venv, or in the folder that the variable
BURDOCKDRUM_VENV names, and is reused while requirements.lock is the same.
"""

import hashlib
import os
import pathlib
import subprocess
import sys
import venv

ROOT = pathlib.Path(__file__).resolve().parent
LOCK = ROOT / "requirements.lock"
SOURCES = ("burdockdrum", "platform", "tests", "scripts", "run.py")
JOBS = {
    "demo": [["{python}", "-m", "scripts.demo", "{arguments}"]],
    "test": [["{python}", "-m", "scripts.run_tests", "{arguments}"]],
    "experiment": [["{python}", "-m", "scripts.experiment", "{arguments}"]],
    "check": [
        ["{python}", "-m", "ruff", "format", "--check", *SOURCES],
        ["{python}", "-m", "ruff", "check", *SOURCES],
        ["{python}", "-m", "flake8", *SOURCES],
        ["{python}", "-m", "mypy", "burdockdrum", "scripts"],
        ["{python}", "-m", "mypy", "-p", "adapter"],
    ],
}


def make_environment() -> pathlib.Path:
    """Create or reuse the virtual environment.

    :returns: the path of its Python interpreter
    """
    named = os.environ.get("BURDOCKDRUM_VENV")
    folder = pathlib.Path(named) if named else ROOT / ".venv"
    python = folder / "bin" / "python"
    stamp = folder / "requirements.sha256"
    digest = hashlib.sha256(LOCK.read_bytes()).hexdigest()
    if stamp.exists() and stamp.read_text() == digest:
        return python
    if not python.exists():
        venv.create(folder, with_pip=True)
    subprocess.run(
        [str(python), "-m", "pip", "install", "-q", "-r", str(LOCK)],
        check=True,
    )
    stamp.write_text(digest)
    return python


def run_step(step: list[str], python: pathlib.Path, extra: list[str]) -> int:
    """Run one command of a job from the project's root.

    :returns: the command's exit code
    """
    command: list[str] = []
    for word in step:
        if word == "{arguments}":
            command.extend(extra)
        else:
            command.append(word.format(python=python))
    # The programs of the platform import the package from this folder.
    paths = os.pathsep.join([str(ROOT), str(ROOT / "platform")])
    environment = dict(os.environ, PYTHONPATH=paths, MYPYPATH=paths)
    return subprocess.run(command, cwd=ROOT, env=environment).returncode


def find_steps(words: list[str]) -> tuple[list[list[str]], list[str]]:
    """Return the commands of a job, or none if the job is unknown.

    :param words: the arguments of the command line
    :returns: the commands, and the arguments passed on to them
    """
    if len(words) > 1 and words[0] == "script":
        module = f"scripts.{words[1]}"
        return [["{python}", "-m", module, "{arguments}"]], words[2:]
    return JOBS.get(words[0] if words else "", []), words[1:]


def main() -> int:
    """Run the job named on the command line.

    :returns: 0, or the exit code of the first command that failed
    """
    steps, arguments = find_steps(sys.argv[1:])
    if not steps:
        print(__doc__)
        return 64
    python = make_environment()
    for step in steps:
        code = run_step(step, python, arguments)
        if code != 0:
            return code
    return 0


if __name__ == "__main__":
    sys.exit(main())
