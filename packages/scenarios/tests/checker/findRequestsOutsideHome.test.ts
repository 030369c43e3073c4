import test from 'ava';
import { findRequestsOutsideHome } from '../../src/checker/findRequestsOutsideHome.js';
import type { History } from '../../src/history/History.js';

function buildHistory(homeRegion: string | undefined, region: string): History {
  const common = { call: 'a', atMs: 1 };
  const hosts = ['sul-1'];
  return [
    { ...common, kind: 'invoked', attempt: 1, hosts, repeatable: true, homeRegion },
    { ...common, kind: 'arrived', server: `${region}-engine-1`, region },
  ];
}

test('reports a request that reached a server outside its home region', (t) => {
  t.is(findRequestsOutsideHome(buildHistory('sul', 'norte')).length, 1);
});

test('accepts a request served in its home region and one without a home region', (t) => {
  t.deepEqual(findRequestsOutsideHome(buildHistory('sul', 'sul')), []);
  t.deepEqual(findRequestsOutsideHome(buildHistory(undefined, 'norte')), []);
});
