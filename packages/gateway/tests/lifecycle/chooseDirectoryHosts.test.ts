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
    callerAddress: '10.9.0.1',
    readyHosts: hosts,
    drainingHosts,
    ownRegion: asId('south'),
    homeRegions: homeRegions.map((homes) => homes.map((home) => asId<RegionId>(home))),
  })
    .map(({ id }) => String(id))
    .sort();
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

// Three of 32 hosts of a zone had four times the cores of the others, and callers spread their
// requests evenly: the small hosts ran out of processor time while the large ones were idle.
test('callers are spread over the hosts of a region by their cores', (t) => {
  const hosts = Array.from({ length: 65 }, (_, index) => ({
    ...host(`n${index}`, 'north'),
    cores: index < 6 ? 1.35 : 0.324,
  }));
  const loads = new Map<string, number>();
  const callers = 84;
  for (let caller = 0; caller < callers; caller += 1) {
    const listed = chooseDirectoryHosts({
      callerRegion: asId('north'),
      callerAddress: `100.64.0.${caller}`,
      readyHosts: hosts,
      drainingHosts: [],
      ownRegion: asId('north'),
      homeRegions: [],
    });
    t.true(listed.length >= 8 && listed.length <= 64);
    listed.forEach(({ id }) => loads.set(id, (loads.get(id) ?? 0) + 1 / listed.length));
  }
  const perCore = hosts.map(({ id, cores }) => (loads.get(id) ?? 0) / cores);
  const meanPerCore = callers / (6 * 1.35 + 59 * 0.324);
  t.is(loads.size, hosts.length, 'every host gets callers');
  t.true(Math.max(...perCore) < 2 * meanPerCore);
});

test('a caller gets the same hosts each time, also beside a host that does not tell its cores', (t) => {
  const hosts = Array.from({ length: 30 }, (_, index) => ({
    ...host(`n${index}`, 'north'),
    ...(index === 0 ? {} : { cores: index % 2 === 0 ? 1 : 4 }),
  }));
  const listed = choose('north', hosts);
  t.deepEqual(choose('north', [...hosts].reverse()), listed);
  t.true(listed.includes('n0'));
});

test('of hosts that do not tell their cores, a caller gets as many as a response holds', (t) => {
  const hosts = Array.from({ length: 65 }, (_, index) => host(`n${index}`, 'north'));
  t.is(choose('north', hosts).length, 64);
});
