import { readFileSync } from 'node:fs';

const DEPLOY_FILE = 'deploy/system.toml';

/** Arguments of Node.js in the run command of the deploy file, without the program. */
export function readRunArguments(): readonly string[] {
  const [, words = ''] =
    /^run = "node (.*)target\/entry-host\.cjs"$/m.exec(readFileSync(DEPLOY_FILE, 'utf8')) ?? [];
  return words.split(' ').filter((word) => word !== '');
}
