// Which packages package-lock.json places where, and which of them a program needs. Uses only what
// Node.js provides, as it runs before anything is installed.
import { readFileSync } from 'node:fs';
import path from 'node:path';

const FOLDER = 'node_modules';

/**
 * Reads the entries of package-lock.json, by folder. Folders are relative to the root of the
 * repository, which itself is `''`.
 */
export function readLockedPackages(root) {
  return JSON.parse(readFileSync(path.join(root, 'package-lock.json'), 'utf8')).packages;
}

/** Joins two folders of the lock. */
const join = (parent, child) => (parent === '' ? child : `${parent}/${child}`);

/**
 * Finds the folder of the package that a module in `fromFolder` gets under the name, as Node.js looks
 * it up; undefined if the lock has none. A package of this repository is found where its sources are.
 */
export function findLockedFolder(packages, fromFolder, name) {
  const folder = join(fromFolder, `${FOLDER}/${name}`);
  const locked = packages[folder];
  if (locked !== undefined) {
    return locked.link === true ? locked.resolved : folder;
  }
  const parent = path.posix.dirname(fromFolder);
  return fromFolder === ''
    ? undefined
    : findLockedFolder(packages, parent === '.' ? '' : parent, name);
}

/** Returns whether a package with these `os` or `cpu` entries of its manifest is for the value. */
const allows = (entries, value) =>
  entries === undefined ||
  (!entries.includes(`!${value}`) &&
    (entries.includes(value) || entries.every((entry) => entry.startsWith('!'))));

/**
 * Lists the folders of all packages that the ones in `folders` need on this kind of machine, directly
 * or not, and of `tools`, which the root declares. Packages of this repository are left out.
 */
export function listNeededFolders(packages, folders, tools) {
  const needed = new Set();

  function add(fromFolder, name, isOptional) {
    const folder = findLockedFolder(packages, fromFolder, name);
    const { os, cpu } = packages[folder] ?? {};
    const isForMachine = allows(os, process.platform) && allows(cpu, process.arch);
    if ((folder === undefined || !isForMachine) && isOptional) {
      return;
    }
    const key = folder ?? join(fromFolder, `${FOLDER}/${name}`);
    if (!needed.has(key)) {
      needed.add(key);
      // eslint-disable-next-line no-use-before-define -- mutual recursion
      addDependencies(key);
    }
  }

  function addDependencies(folder) {
    const { dependencies, optionalDependencies, peerDependencies, peerDependenciesMeta } =
      packages[folder] ?? {};
    Object.keys(dependencies ?? {}).forEach((name) => add(folder, name, false));
    Object.keys(optionalDependencies ?? {}).forEach((name) => add(folder, name, true));
    Object.keys(peerDependencies ?? {}).forEach((name) =>
      add(folder, name, peerDependenciesMeta?.[name]?.optional === true),
    );
  }

  folders.forEach(addDependencies);
  tools.forEach((name) => add('', name, false));
  return [...needed].filter((folder) => `/${folder}`.includes(`/${FOLDER}/`));
}
