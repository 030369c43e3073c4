// Runs a build with the packages that it needs, and says in one line why it failed. Uses only what
// Node.js provides, as it runs before anything is installed.
import { spawnSync } from 'node:child_process';
import { readFileSync } from 'node:fs';
import path from 'node:path';
import {
  findInstallationProblem,
  installPackages,
  PackagesError,
  readInstallTimeMs,
} from './installPackages.mjs';
import { listNeededFolders, readLockedPackages } from './packageLock.mjs';

/** Argument of the second run of a build, after an installation of its own. */
const SECOND_RUN = '--packages-installed';

function checkNodeVersion(root) {
  const { engines } = JSON.parse(readFileSync(path.join(root, 'package.json'), 'utf8'));
  const [, major, minor] = /^>=(\d+)\.(\d+)$/.exec(engines.node).map(Number);
  const [ownMajor, ownMinor] = process.versions.node.split('.').map(Number);
  if (ownMajor < major || (ownMajor === major && ownMinor < minor)) {
    throw new Error(`Node.js ${process.versions.node} is too old: ${engines.node} is needed`);
  }
}

/** Loads the bundler only here: it is a package, and may be missing until the installation. */
async function loadBundler() {
  const { bundleProgram } = await import('./bundleProgram.mjs').catch((error) => {
    throw new PackagesError(`the bundler cannot be loaded: ${error.message}`);
  });
  return bundleProgram;
}

/** Runs this program again: what it has loaded may come from a package that was replaced. */
function runAgain() {
  const { status } = spawnSync(process.execPath, [...process.argv.slice(1), SECOND_RUN], {
    stdio: 'inherit',
  });
  process.exitCode = status ?? 1;
}

/**
 * Runs a build. If the installation lacks what the build needs, or if the build fails because of a
 * package, installs the packages of the lock first. Ends with code 1 and one line if that does not help.
 *
 * @param folders folders of the programs whose packages are needed
 * @param tools packages of the root that the build itself uses
 * @param build receives the entries of the lock and `bundleProgram`; may throw a PackagesError
 */
export async function runBuild({ root, folders, tools, build }) {
  const startedAtMs = Date.now();
  const write = (line) => process.stderr.write(`${line}\n`);

  function findProblem() {
    const packages = readLockedPackages(root);
    return findInstallationProblem(root, packages, listNeededFolders(packages, folders, tools));
  }

  async function install(problem, isNeeded) {
    write(`Installing the packages of package-lock.json: ${problem}.`);
    await installPackages(root, findProblem, isNeeded);
  }

  try {
    checkNodeVersion(root);
    const problem = findProblem();
    if (problem !== undefined) {
      await install(problem, () => findProblem() !== undefined);
    }
    try {
      await build(readLockedPackages(root), await loadBundler());
    } catch (error) {
      if (!(error instanceof PackagesError) || process.argv.includes(SECOND_RUN)) {
        throw error;
      }
      await install(error.message, () => readInstallTimeMs(root) < startedAtMs);
      runAgain();
    }
  } catch (error) {
    const [reason] = error.message.split('\n');
    write(`Build failed: ${reason}`);
    process.exitCode = 1;
  }
}
