import test from 'ava';
import { findRequestsOutsideHome } from '../../src/checker/findRequestsOutsideHome.js';
import type { History } from '../../src/history/History.js';

function run(homeRegion: string | undefined, region: string): History {
  const common = { call: 'a', atMs: 1 };
  const hosts = ['sul-1'];
  return [
    { ...common, kind: 'invoked', attempt: 1, hosts, repeatable: true, homeRegion },
    { ...common, kind: 'arrived', server: `${region}-engine-1`, region },
  ];
}

test('a request that reached a server outside its home region is found', (t) => {
  t.is(findRequestsOutsideHome(run('sul', 'norte')).length, 1);
});

test('a request served at home, and one bound to no region, are accepted', (t) => {
  t.deepEqual(findRequestsOutsideHome(run('sul', 'sul')), []);
  t.deepEqual(findRequestsOutsideHome(run(undefined, 'norte')), []);
});
