// Tells whether the packages that a program needs are installed as package-lock.json says, and installs
// them if they are not. The age of node_modules says neither: it may be a copy, a part of one, that of
// another kind of machine, or what an installation that was ended has left. Uses only what Node.js
// provides.
import { spawnSync } from 'node:child_process';
import {
  existsSync,
  lstatSync,
  mkdirSync,
  readFileSync,
  rmSync,
  unlinkSync,
  writeFileSync,
} from 'node:fs';
import path from 'node:path';
import { setTimeout } from 'node:timers/promises';

/** npm writes this file last. */
const COMPLETION_FILE = 'node_modules/.package-lock.json';
/** Named with every option on which the layout and completeness of the installation depend. */
const INSTALL_COMMAND = [
  'ci',
  '--no-audit',
  '--no-fund',
  '--include=dev',
  '--include=optional',
  '--include=peer',
  '--install-strategy=hoisted',
  '--prefer-offline',
];
const MUTEX_FILE = 'target/install.pid';
const MUTEX_POLL_MS = 200;
/** The users' limit on a build: an older file is of a process whose id another one has now. */
const MAX_INSTALL_MS = 15 * 60 * 1_000;

/** A package is missing, of another version than the lock says, or damaged. */
export class PackagesError extends Error {
  name = 'PackagesError';
}

function readVersion(folder) {
  try {
    return JSON.parse(readFileSync(path.join(folder, 'package.json'), 'utf8')).version;
  } catch {
    return undefined;
  }
}

/** Returns what is wrong with the installation, or undefined if it has the packages in `folders`. */
export function findInstallationProblem(root, packages, folders) {
  if (!existsSync(path.join(root, COMPLETION_FILE))) {
    return 'node_modules is missing or was not installed to its end';
  }
  const problems = folders.flatMap((folder) => {
    const expected = packages[folder]?.version;
    const version = readVersion(path.join(root, folder));
    if (version !== undefined && version === expected) {
      return [];
    }
    return [`${folder} is ${version ?? 'missing'}, not ${expected ?? 'in package-lock.json'}`];
  });
  const [first, ...others] = problems;
  return others.length === 0 ? first : `${first}, and ${others.length} more`;
}

function isRunning(pid) {
  try {
    process.kill(pid, 0);
    return true;
  } catch (error) {
    return error.code === 'EPERM';
  }
}

/** Returns whether the process that holds the mutex has ended. */
function isAbandoned(file) {
  try {
    const pid = Number(readFileSync(file, 'utf8'));
    const ageMs = Date.now() - lstatSync(file).mtimeMs;
    // The file is empty for a moment after its creation.
    return ageMs > MAX_INSTALL_MS || (pid > 0 && !isRunning(pid));
  } catch {
    return false;
  }
}

/** Runs the function while no other build of this checkout installs packages. */
async function runExclusively(root, run) {
  const file = path.join(root, MUTEX_FILE);
  mkdirSync(path.dirname(file), { recursive: true });
  for (;;) {
    try {
      writeFileSync(file, String(process.pid), { flag: 'wx' });
      break;
    } catch (error) {
      if (error.code !== 'EEXIST') {
        throw error;
      }
    }
    if (isAbandoned(file)) {
      rmSync(file, { force: true });
    } else {
      await setTimeout(MUTEX_POLL_MS);
    }
  }
  try {
    return run();
  } finally {
    rmSync(file, { force: true });
  }
}

/** PATH without the programs of packages: npm would run with a Node.js that it replaces. */
const pathWithoutPackages = () =>
  (process.env.PATH ?? '')
    .split(path.delimiter)
    .filter((folder) => !folder.endsWith('node_modules/.bin'))
    .join(path.delimiter);

function runInstall(root) {
  const folder = path.join(root, 'node_modules');
  // npm would empty the folder of another checkout.
  if (lstatSync(folder, { throwIfNoEntry: false })?.isSymbolicLink() === true) {
    unlinkSync(folder);
  }
  const { status, error, stderr } = spawnSync('npm', INSTALL_COMMAND, {
    cwd: root,
    env: { ...process.env, PATH: pathWithoutPackages() },
    encoding: 'utf8',
    stdio: ['ignore', 'ignore', 'pipe'],
  });
  if (status !== 0) {
    const lines = (stderr ?? '').split('\n').filter((line) => /^npm (error|ERR!)/.test(line));
    const reason = error?.message ?? (lines.slice(0, 2).join('; ') || `code ${status}`);
    throw new PackagesError(`npm ${INSTALL_COMMAND[0]} failed: ${reason}`);
  }
}

/** Time at which the last installation was completed, in milliseconds since the epoch; 0 if none was. */
export const readInstallTimeMs = (root) =>
  lstatSync(path.join(root, COMPLETION_FILE), { throwIfNoEntry: false })?.mtimeMs ?? 0;

/**
 * Installs the packages of the lock, one build at a time.
 *
 * @param findProblem returns what is wrong with the installation, or undefined
 * @param isNeeded tells whether no other build has installed them meanwhile
 * @throws PackagesError if something is still wrong afterwards
 */
export async function installPackages(root, findProblem, isNeeded) {
  await runExclusively(root, () => {
    if (isNeeded()) {
      runInstall(root);
    }
    const problem = findProblem();
    if (problem !== undefined) {
      throw new PackagesError(problem);
    }
  });
}
