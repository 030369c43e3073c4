import test from 'ava';
import { asId } from '@camphorbarrow/core';
import type { RegionId } from '@camphorbarrow/core';
import { chooseDirectoryHosts } from '../../src/index.js';
import type { HostRegistration } from '../../src/index.js';

const host = (id: string, region: string): HostRegistration => ({
  id: asId(id),
  region: asId(region),
  zone: asId(`${region}-a`),
  callers: { host: '10.0.0.1', port: 1 },
  peers: { host: '10.0.0.1', port: 2 },
});
const ready = [host('n1', 'north'), host('n2', 'north'), host('s1', 'south')];

function choose(region: string, hosts = ready, homeRegions: readonly string[][] = []) {
  return chooseDirectoryHosts({
    callerRegion: asId(region),
    readyHosts: hosts,
    ownRegion: asId('south'),
    homeRegions: homeRegions.map((homes) => homes.map((home) => asId<RegionId>(home))),
  }).map(({ id }) => String(id));
}

test('callers are sent to all hosts of their region and to no other', (t) => {
  t.deepEqual(choose('north'), ['n1', 'n2']);
});

test('callers of a region without hosts are sent to the region that answers', (t) => {
  t.deepEqual(choose('west'), ['s1']);
});

// While the hosts of a region restarted by turns, its callers were sent to the region of the host
// that answered, and their bound requests to hosts in a region that was no home of them.
test('callers of a region without hosts are sent to a home of the bound routes', (t) => {
  t.deepEqual(choose('west', ready, [['west', 'north'], ['north']]), ['n1', 'n2']);
  t.deepEqual(choose('west', ready, [['south', 'north']]), ['s1']);
});

test('any host is better than none', (t) => {
  t.deepEqual(choose('west', ready.slice(0, 2)), ['n1', 'n2']);
  t.deepEqual(choose('west', ready.slice(2), [['north']]), ['s1']);
});
