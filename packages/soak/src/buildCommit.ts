import { execFile } from 'node:child_process';
import { mkdir, rm } from 'node:fs/promises';
import path from 'node:path';
import { promisify } from 'node:util';

const execute = promisify(execFile);
/** Builds of earlier versions, below the folder of the current build. */
const BUILDS_FOLDER = 'target/commits';

/** Takes the sources and links this checkout's packages, which fit unless a version needs others. */
const BUILD_SCRIPT = `
  set -e
  git archive "$1" | tar -x -C "$2"
  cp -al node_modules "$2"
  cd "$2"
  touch node_modules
  eval "$(sed -n 's/^build = "\\(.*\\)"$/\\1/p' deploy/system.toml)"
`;

/**
 * Builds the entry host of a commit from the history of the repository, as its deploy file says.
 * Resolves with the path of the program.
 */
export async function buildCommit(commit: string): Promise<string> {
  const { stdout } = await execute('git', ['rev-parse', '--short', commit]);
  const folder = path.join(BUILDS_FOLDER, stdout.trim());
  await rm(folder, { recursive: true, force: true });
  await mkdir(folder, { recursive: true });
  await execute('sh', ['-c', BUILD_SCRIPT, 'build', commit, folder]);
  return path.join(folder, 'target/entry-host.cjs');
}
