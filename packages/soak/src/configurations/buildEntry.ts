import { buildConfiguration } from '@camphorbarrow/platform/testing';
import type { EntryKind } from './ConfigurationStep.js';

/** Larger than the whole numbers of JavaScript; versions from here on differ in their last digit. */
const FAR_AHEAD = 9_007_199_254_740_993n;
const LONG_DURATION_MS = 1e12;
const MANY_ROUTES = 1_400;
const UNREADABLE: readonly EntryKind[] = ['cut', 'other-shape', 'no-version'];

export interface Entry {
  readonly text: string;
  /** Path of a route that only this and later configurations have; undefined if it cannot be read. */
  readonly path: string | undefined;
}

/** @param number of the entry, from 1 on */
export function buildEntry(kind: EntryKind, number: number): Entry {
  const configuration = buildConfiguration(0) as { routes: readonly object[] };
  const [first] = configuration.routes;
  const route = (name: string, changes: object = {}): object => ({
    ...first,
    name,
    path_prefix: `/${name}/`,
    ...changes,
  });
  const name = `added-${number}`;
  const changes = kind === 'long-duration' ? { timeout_ms: LONG_DURATION_MS } : {};
  const routes = [
    ...configuration.routes,
    route(name, changes),
    ...Array.from({ length: kind === 'many-routes' ? MANY_ROUTES : 0 }, (_, index) =>
      route(`many-${number}-${index}`),
    ),
  ];
  const version = kind === 'version-far-ahead' ? FAR_AHEAD + BigInt(number) : BigInt(30 + number);
  const text = JSON.stringify({
    ...configuration,
    routes: kind === 'other-shape' ? routes.length : routes,
  }).replace('"version":0', kind === 'no-version' ? '"version":null' : `"version":${version}`);
  return {
    text: kind === 'cut' ? text.slice(0, text.length / 2) : text,
    path: UNREADABLE.includes(kind) ? undefined : `/${name}/1`,
  };
}
