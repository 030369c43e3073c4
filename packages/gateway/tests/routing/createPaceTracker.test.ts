import test from 'ava';
import { asId, createManualClock } from '@camphorbarrow/core';
import type { ServerId } from '@camphorbarrow/core';
import { createPaceTracker } from '../../src/index.js';

const server = asId<ServerId>('server-1');
const tellerOf = (msPerEvent: number) => ({
  heartbeat: { paces: new Map([[server, msPerEvent]]) },
});

// Of 25 hosts in a region each had one stream at an engine and took it for idle in between:
// requests were admitted to engines on which streams needed 300 ms for an event.
test('a host without streams at an engine knows its pace from others', (t) => {
  const tellers = [tellerOf(300), tellerOf(200)];
  const book = createPaceTracker(createManualClock(), () => tellers);
  t.is(book.msPerEvent(server), 250);
  t.is(book.msPerEvent(asId('server-2')), 35);
});

test('own streams count as much as those of another host', (t) => {
  const tellers = [tellerOf(300)];
  const book = createPaceTracker(createManualClock(), () => tellers);
  book.recordEventGap(server, 35);
  t.is(book.msPerEvent(server), 167.5);
});

test('a pace is told for a short time and forgotten slowly', (t) => {
  const clock = createManualClock();
  const book = createPaceTracker(clock, () => []);
  book.recordEventGap(server, 1_035);
  t.is(book.msPerEvent(server), 85);
  t.deepEqual([...book.ownPaces()], [[server, 85]]);
  clock.advance(600);
  t.is(book.ownPaces().size, 0);
  t.true(book.msPerEvent(server) > 60);
  clock.advance(10_000);
  t.true(book.msPerEvent(server) < 36);
});
