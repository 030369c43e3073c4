// Generates src/index.ts of each package: one `export *` line per file. With --check, only compares
// it with the existing file.
import { readFileSync, readdirSync, writeFileSync } from 'node:fs';
import path from 'node:path';

const packages = [
  'packages/core',
  'packages/adapters',
  'packages/gateway',
  'packages/standins',
  'packages/scenarios',
  'packages/bench',
  'packages/soak',
  'platform',
];
const check = process.argv.includes('--check');

/** Entry points of programs and the generated files, which are not re-exported. */
const excludedNames = new Set(['main.ts', 'index.ts']);

function indexOf(directory) {
  const files = readdirSync(directory, { recursive: true })
    .map((file) => file.split(path.sep).join('/'))
    .filter((file) => file.endsWith('.ts') && !excludedNames.has(path.basename(file)))
    .sort();
  return files.map((file) => `export * from './${file.replace(/\.ts$/, '.js')}';\n`).join('');
}

let stale = 0;
packages.forEach((name) => {
  const directory = path.join(name, 'src');
  const file = path.join(directory, 'index.ts');
  const text = indexOf(directory);
  if (check) {
    const current = readFileSync(file, 'utf8');
    if (current !== text) {
      stale += 1;
      process.stderr.write(`${file} is stale; run "npm run generate".\n`);
    }
  } else {
    writeFileSync(file, text);
  }
});
process.exitCode = stale > 0 ? 1 : 0;
