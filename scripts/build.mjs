// Bundles the programs into dist/. With --binary, also builds the single-executable application.
// Installs the packages that are missing.
import { execFileSync } from 'node:child_process';
import { chmodSync, copyFileSync, mkdirSync, readFileSync, writeFileSync } from 'node:fs';
import { createRequire } from 'node:module';
import path from 'node:path';
import { fileURLToPath } from 'node:url';
import { PackagesError } from './build/installPackages.mjs';
import { runBuild } from './build/runBuild.mjs';

const ROOT = path.join(path.dirname(fileURLToPath(import.meta.url)), '..');
const require = createRequire(import.meta.url);
const SEA_FUSE = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2';
const NODE_PACKAGE = `node-linux-${process.arch}`;
const PROGRAM = 'dist/camphorbarrow.cjs';
const BINARY = 'dist/camphorbarrow';
const ENTRY_POINTS = {
  [PROGRAM]: 'packages/daemon/src/main.ts',
  'dist/standin.cjs': 'packages/standins/src/main.ts',
};
const isBinary = process.argv.includes('--binary');

/** Runs a built program once: the bundler does not notice all that ends a program at its start. */
function checkRuns(command, ...commandArguments) {
  try {
    execFileSync(command, commandArguments, { stdio: 'pipe' });
  } catch (error) {
    const reason = String(error.stderr ?? error.message)
      .split('\n')
      .find((line) => /Error/.test(line));
    throw new PackagesError(
      `${[command, ...commandArguments].join(' ')} does not run: ${reason ?? error.message}`,
    );
  }
}

async function makeBinary() {
  const { inject } = require('postject');
  const node = path.join(path.dirname(require.resolve(`${NODE_PACKAGE}/package.json`)), 'bin/node');
  writeFileSync(
    'dist/sea.json',
    JSON.stringify({
      main: PROGRAM,
      output: 'dist/camphorbarrow.blob',
      disableExperimentalSEAWarning: true,
    }),
  );
  execFileSync(node, ['--experimental-sea-config', 'dist/sea.json'], { stdio: 'inherit' });
  copyFileSync(node, BINARY);
  chmodSync(BINARY, 0o755);
  await inject(BINARY, 'NODE_SEA_BLOB', readFileSync('dist/camphorbarrow.blob'), {
    sentinelFuse: SEA_FUSE,
  });
}

await runBuild({
  root: ROOT,
  folders: ['packages/daemon', 'packages/standins'],
  tools: ['esbuild', ...(isBinary ? ['postject', NODE_PACKAGE] : [])],
  async build(packages, bundleProgram) {
    mkdirSync('dist', { recursive: true });
    await Promise.all(
      Object.entries(ENTRY_POINTS).map(([outfile, entryPoint]) =>
        bundleProgram({
          root: ROOT,
          packages,
          entryPoint,
          outfile,
          // Optional native dependency of hot-shots, used only for Unix domain sockets.
          options: { external: ['unix-dgram'] },
        }),
      ),
    );
    checkRuns(process.execPath, PROGRAM, '--version');
    if (isBinary) {
      await makeBinary();
      checkRuns(BINARY, '--version');
    }
  },
});
