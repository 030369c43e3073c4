// Bundles programs, only of the packages that package-lock.json names.
import { readFileSync, realpathSync } from 'node:fs';
import path from 'node:path';
import { build } from 'esbuild';
import { PackagesError } from './installPackages.mjs';
import { findLockedFolder } from './packageLock.mjs';

/** Name of the package in an import such as `zod` or `@trpc/client/links`. */
const PACKAGE_NAME = /^(@[^/]+\/)?[^./#][^/]*/;
const MODULES = '/node_modules/';

/** Maps the packages of this repository to their sources, whatever node_modules links to. */
const buildAliases = (root, packages) =>
  Object.fromEntries(
    Object.entries(packages)
      .filter(([, { link }]) => link === true)
      .map(([folder, { resolved }]) => {
        const manifest = JSON.parse(
          readFileSync(path.join(root, resolved, 'package.json'), 'utf8'),
        );
        return [
          folder.replace('node_modules/', ''),
          path.join(root, resolved, manifest.exports?.['.'] ?? ''),
        ];
      }),
  );

/** Creates a function that returns the folder of a bundled file relative to the root. */
function createFolderOf(root) {
  const modules = realpathSync(path.join(root, 'node_modules'));
  return (file) => {
    const absolute = realpathSync(path.resolve(root, file));
    // node_modules may be a link.
    const relative = absolute.startsWith(`${modules}/`)
      ? path.join('node_modules', path.relative(modules, absolute))
      : path.relative(realpathSync(root), absolute);
    return path.dirname(relative);
  };
}

/**
 * Checks that every import has found the package that the lock places there, and that no file of a
 * package is empty, as an interrupted copy or a full disk leaves it.
 *
 * @throws PackagesError
 */
export function checkInputs(root, packages, inputs) {
  const folderOf = createFolderOf(root);
  Object.entries(inputs).forEach(([file, { bytes, imports }]) => {
    if (bytes === 0 && `/${file}`.includes(MODULES)) {
      throw new PackagesError(`${file} is empty`);
    }
    imports.forEach(({ path: importedFile, original = '', external }) => {
      const [name] = PACKAGE_NAME.exec(original) ?? [];
      if (external === true || name === undefined) {
        return;
      }
      const expected = findLockedFolder(packages, folderOf(file), name);
      const folder = folderOf(importedFile);
      if (expected === undefined || !`${folder}/`.startsWith(`${expected}/`)) {
        throw new PackagesError(
          `${file} gets ${name} from ${folder}, and package-lock.json places it in ${expected ?? 'none'}`,
        );
      }
    });
  });
}

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
  const { metafile } = await build({
    absWorkingDir: root,
    entryPoints: [entryPoint],
    outfile,
    bundle: true,
    platform: 'node',
    format: 'cjs',
    target: 'node20',
    mainFields: ['module', 'main'],
    alias: buildAliases(root, packages),
    metafile: true,
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
  checkInputs(root, packages, metafile.inputs);
}
