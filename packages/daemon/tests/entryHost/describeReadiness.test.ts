import test from 'ava';
import { describeReadiness } from '../../src/entryHost/describeReadiness.js';

const ready = { drainState: 'live', hasConfiguration: true, hasReadHostList: true } as const;

test('a host is not ready before it knows the configuration and the servers of its region', (t) => {
  t.deepEqual(describeReadiness(ready), { ready: true, reason: 'live' });
  t.like(describeReadiness({ ...ready, hasConfiguration: false }), { reason: 'no-configuration' });
  t.deepEqual(describeReadiness({ ...ready, hasReadHostList: false }), {
    ready: false,
    reason: 'no-host-list',
  });
});

test('a draining host is not ready', (t) => {
  t.deepEqual(describeReadiness({ ...ready, drainState: 'draining' }), {
    ready: false,
    reason: 'draining',
  });
});
