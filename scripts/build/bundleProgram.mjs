// Bundles programs, only of the packages that package-lock.json names.
import path from 'node:path';
import { build } from 'esbuild';
import { PackagesError } from './installPackages.mjs';

const MODULES = '/node_modules/';

/** Returns whether the bundler failed because of a package. */
const isPackageFailure = ({ text, location }) =>
  /^Could not resolve/.test(text) || `/${location?.file ?? ''}`.includes(MODULES);

/**
 * Bundles a program for Node.js.
 *
 * @param options further options of esbuild
 * @throws PackagesError if a package is missing, damaged or not the one of the lock
 */
export async function bundleProgram({ root, packages, entryPoint, outfile, options }) {
  await build({
    absWorkingDir: root,
    entryPoints: [entryPoint],
    outfile,
    bundle: true,
    platform: 'node',
    format: 'cjs',
    target: 'node20',
    mainFields: ['module', 'main'],
    logLevel: 'silent',
    ...options,
  }).catch((error) => {
    const [first] = error.errors ?? [];
    if (first === undefined) {
      throw new PackagesError(`the bundler does not run: ${error.message}`);
    }
    const { text, location } = first;
    const Failure = isPackageFailure(first) ? PackagesError : Error;
    throw new Failure(location === null ? text : `${location.file}:${location.line}: ${text}`);
  });
}
