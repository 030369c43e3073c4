import test from 'ava';
import { asId } from '@camphorbarrow/core';
import type { LogSink, MetricsSink, WatchEvent } from '@camphorbarrow/core';
import { createChangeDecoder } from '../../src/index.js';
import type { FleetChange } from '../../src/index.js';

const event = (key: string, value: string): WatchEvent => ({
  kind: 'put',
  key,
  value,
  modRevision: 1,
});

function setUp(decode: (event: WatchEvent) => FleetChange) {
  const logged: unknown[] = [];
  const counted: unknown[] = [];
  const log: LogSink = { info() {}, warn: (_event, fields) => logged.push(fields), error() {} };
  const metrics: MetricsSink = {
    increment: (name, tags) => counted.push([name, tags?.kind]),
    gauge() {},
    timingMs() {},
    close: async () => undefined,
  };
  return { logged, counted, decode: createChangeDecoder({ log, metrics, decode }) };
}

/** The value of an entry is its problem; an empty one has none. */
const decodeServer = ({ key, value }: WatchEvent): FleetChange => ({
  kind: 'server',
  id: asId(key),
  registration: undefined,
  problem: value === '' ? undefined : value,
});

test('a malformed entry that is written again and again is counted each time and logged once', (t) => {
  const { decode, logged, counted } = setUp(decodeServer);
  ['a', 'a', 'b', 'b', '', 'b'].forEach((value) => decode(event('servers/1', value)));
  const line = (problem: string) => ({ key: 'servers/1', kind: 'server', problem });
  t.deepEqual(logged, [line('a'), line('b'), line('b')]);
  t.deepEqual(counted, Array(5).fill(['store_items_ignored', 'server']));
});

test('the number of remembered keys is limited, and the latest ones are kept', (t) => {
  const { decode, logged } = setUp(decodeServer);
  const keys = Array.from({ length: 2_000 }, (_, index) => `servers/${index}`);
  keys.forEach((key) => decode(event(key, 'a')));
  decode(event('servers/1999', 'a'));
  t.is(logged.length, keys.length);
  decode(event('servers/0', 'a'));
  t.is(logged.length, keys.length + 1);
});

// An exception would make the listing fail each time, so that nothing more is followed.
test('an exception of the decoder is reported as an unreadable item', (t) => {
  const { decode, logged } = setUp(() => {
    throw new RangeError('Maximum call stack size exceeded');
  });
  t.like(decode(event('k'.repeat(10_000), '')), { kind: 'unreadable' });
  t.deepEqual(logged, [
    { key: 'k'.repeat(200), kind: 'unreadable', problem: 'Maximum call stack size exceeded' },
  ]);
});
