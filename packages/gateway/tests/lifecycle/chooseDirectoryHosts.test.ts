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

function choose(
  region: string,
  hosts = ready,
  homeRegions: readonly string[][] = [],
  drainingHosts: readonly HostRegistration[] = [],
) {
  return chooseDirectoryHosts({
    callerRegion: asId(region),
    readyHosts: hosts,
    drainingHosts,
    ownRegion: asId('south'),
    homeRegions: homeRegions.map((homes) => homes.map((home) => asId<RegionId>(home))),
  }).map(({ id }) => String(id));
}

test('callers get all hosts of their region and no others', (t) => {
  t.deepEqual(choose('north'), ['n1', 'n2']);
});

test('callers in a region without hosts get the region of the responding host', (t) => {
  t.deepEqual(choose('west'), ['s1']);
});

// During a rolling restart of a region, its callers got the region of the host that responded, and
// sent bound requests to hosts in a region that was not one of their home regions.
test('callers in a region without hosts get a home region of the bound routes', (t) => {
  t.deepEqual(choose('west', ready, [['west', 'north'], ['north']]), ['n1', 'n2']);
  t.deepEqual(choose('west', ready, [['south', 'north']]), ['s1']);
});

test('callers of a name without bound routes get hosts of any region rather than none', (t) => {
  t.deepEqual(choose('west', ready.slice(0, 2)), ['n1', 'n2']);
  t.deepEqual(choose('west', ready.slice(0, 2), [], [host('w1', 'west')]), ['n1', 'n2']);
});

// While all hosts of the home regions restarted, callers got the hosts of another region and sent
// them bound requests: 85 of 692 in a run of the bench.
test('callers of a name with bound routes never get hosts of a region that is no home', (t) => {
  t.deepEqual(choose('north', ready.slice(2), [['north', 'west']]), []);
  t.deepEqual(choose('west', ready.slice(2), [['north']]), []);
});

test('callers get draining hosts of their region or a home rather than none', (t) => {
  const draining = [host('s2', 'south'), host('w1', 'west'), host('n3', 'north')];
  t.deepEqual(choose('north', ready.slice(2), [['north', 'west']], draining), ['n3']);
  t.deepEqual(choose('south', [], [['north']], draining), ['s2']);
  t.deepEqual(choose('east', [], [['west']], draining), ['w1']);
  t.deepEqual(choose('north', ready, [['north']], draining), ['n1', 'n2']);
});
