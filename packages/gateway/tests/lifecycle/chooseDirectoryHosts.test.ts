import test from 'ava';
import { asId } from '@camphorbarrow/core';
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

function choose(region: string, hosts = ready) {
  return chooseDirectoryHosts({
    region: asId(region),
    ready: hosts,
    ownRegion: asId('south'),
  }).map(({ id }) => String(id));
}

test('callers are sent to all hosts of their region and to no other', (t) => {
  t.deepEqual(choose('north'), ['n1', 'n2']);
});

test('callers of a region without hosts are sent to the region that answers', (t) => {
  t.deepEqual(choose('west'), ['s1']);
});

test('any host is better than none', (t) => {
  t.deepEqual(choose('west', ready.slice(0, 2)), ['n1', 'n2']);
});
