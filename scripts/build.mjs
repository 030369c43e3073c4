// Bundles the programs into dist/. With --binary, also builds the single-executable application.
import { execFileSync } from 'node:child_process';
import { chmodSync, copyFileSync, mkdirSync, writeFileSync } from 'node:fs';
import { createRequire } from 'node:module';
import path from 'node:path';
import { build } from 'esbuild';

const require = createRequire(import.meta.url);
const SEA_FUSE = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2';

mkdirSync('dist', { recursive: true });

async function bundle(entry, outfile) {
  await build({
    entryPoints: [entry],
    outfile,
    bundle: true,
    platform: 'node',
    format: 'cjs',
    target: 'node20',
    mainFields: ['module', 'main'],
    // Optional native dependency of hot-shots, used only for Unix domain sockets.
    external: ['unix-dgram'],
    logLevel: 'warning',
  });
}

async function makeBinary() {
  const { inject } = require('postject');
  const { readFileSync } = await import('node:fs');
  const nodePackage = `node-linux-${process.arch}`;
  const node = path.join(path.dirname(require.resolve(`${nodePackage}/package.json`)), 'bin/node');
  writeFileSync(
    'dist/sea.json',
    JSON.stringify({
      main: 'dist/camphorbarrow.cjs',
      output: 'dist/camphorbarrow.blob',
      disableExperimentalSEAWarning: true,
    }),
  );
  execFileSync(node, ['--experimental-sea-config', 'dist/sea.json'], { stdio: 'inherit' });
  copyFileSync(node, 'dist/camphorbarrow');
  chmodSync('dist/camphorbarrow', 0o755);
  await inject('dist/camphorbarrow', 'NODE_SEA_BLOB', readFileSync('dist/camphorbarrow.blob'), {
    sentinelFuse: SEA_FUSE,
  });
}

await Promise.all([
  bundle('packages/daemon/src/main.ts', 'dist/camphorbarrow.cjs'),
  bundle('packages/standins/src/main.ts', 'dist/standin.cjs'),
]);
if (process.argv.includes('--binary')) {
  await makeBinary();
}
