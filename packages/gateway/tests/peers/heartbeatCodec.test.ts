import test from 'ava';
import { asId } from '@camphorbarrow/core';
import type { PromptPartKey } from '@camphorbarrow/core';
import { InvalidMessageError, createHeartbeatEncoder, decodeHeartbeat } from '../../src/index.js';
import type { PeerHeartbeat } from '../../src/index.js';

const heartbeat: PeerHeartbeat = {
  host: {
    id: asId('host-1'),
    region: asId('north'),
    zone: asId('north-a'),
    callers: { host: '10.0.0.1', port: 1 },
    peers: { host: '10.0.0.1', port: 2 },
  },
  incarnation: 'x',
  sentAtMs: 12.5,
  echo: { sentAtMs: 3, heldMs: 4 },
  state: 'ready',
  storePosition: { era: 3, revision: 17 },
  configurationVersion: 4,
  loads: new Map([
    [asId('s'), { running: 3, pendingTokens: new Map([[2, 900]]) }],
    [asId('idle'), { running: 1, pendingTokens: new Map() }],
  ]),
  paces: new Map([[asId('s'), 140]]),
  capacity: new Map([
    [
      asId('model'),
      {
        queueMs: 5,
        msPerToken: 0.02,
        msPerEvent: 40,
        usableServers: 2,
        slotUsageRatio: 0.25,
        running: 7,
      },
    ],
  ]),
  crashes: [],
  partEvidence: { crashes: [], served: [] },
  partTrials: [],
  serverLimits: [],
};

test('a decoded heartbeat equals the encoded one', (t) => {
  const encode = createHeartbeatEncoder(heartbeat);
  t.deepEqual(decodeHeartbeat(encode(heartbeat.echo)), heartbeat);
  t.deepEqual(decodeHeartbeat(encode(undefined)), { ...heartbeat, echo: undefined });
});

test('evidence on prompt parts survives encoding, and a heartbeat without any is accepted', (t) => {
  const part = asId<PromptPartKey>('0123456789abcdef');
  const withEvidence: PeerHeartbeat = {
    ...heartbeat,
    partEvidence: {
      crashes: [{ crashId: 'i-1 17', ageMs: 12, parts: [part], trialParts: [part] }],
      served: [{ part, ageMs: 5 }],
    },
    partTrials: [part],
  };
  const datagram = createHeartbeatEncoder(withEvidence)(heartbeat.echo);
  t.deepEqual(decodeHeartbeat(datagram), withEvidence);
  const malformed = datagram.toString().replace('"crashes":[[', '"crashes":[[null,');
  t.throws(() => decodeHeartbeat(Buffer.from(malformed)), { instanceOf: InvalidMessageError });
});

test('limits of servers survive encoding', (t) => {
  const withLimits: PeerHeartbeat = {
    ...heartbeat,
    serverLimits: [
      { server: 'i-1#17', requestsPerSecond: 1.2, ageMs: 30 },
      { server: 'i-2#18', requestsPerSecond: undefined, ageMs: 40 },
    ],
  };
  const datagram = createHeartbeatEncoder(withLimits)(heartbeat.echo);
  t.deepEqual(decodeHeartbeat(datagram), withLimits);
  const malformed = datagram.toString().replace('"limits":[[', '"limits":[[1,');
  t.throws(() => decodeHeartbeat(Buffer.from(malformed)), { instanceOf: InvalidMessageError });
});

test('malformed datagrams are rejected with a typed error', (t) => {
  ['', 'null', '{', '{"v":2}', '{"v":1,"host":{"id":"a"}}'].forEach((text) => {
    t.throws(() => decodeHeartbeat(Buffer.from(text)), { instanceOf: InvalidMessageError });
  });
});
