import test from 'ava';
import { asId } from '@camphorbarrow/core';
import type { PromptPartKey } from '@camphorbarrow/core';
import { InvalidMessageError, createHeartbeatEncoder, decodeHeartbeat } from '../../src/index.js';
import type { PeerHeartbeat, ServiceName } from '../../src/index.js';

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
  outcomes: new Map([[asId('s'), { count: 7.5, failures: 2 }]]),
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
  knowsVersions: false,
};

test('a decoded heartbeat equals the encoded one', (t) => {
  const encode = createHeartbeatEncoder(heartbeat);
  t.deepEqual(decodeHeartbeat(encode(heartbeat.echo)), heartbeat);
  t.deepEqual(decodeHeartbeat(encode(undefined)), { ...heartbeat, echo: undefined });
});

// A number would lose digits; text in place of it makes hosts of earlier builds drop the heartbeat.
test('a version beyond the numbers of JavaScript survives encoding, in a field of its own', (t) => {
  const configurationVersion = 9_007_199_254_740_993n;
  const datagram = createHeartbeatEncoder({ ...heartbeat, configurationVersion })(undefined);
  t.is(decodeHeartbeat(datagram).configurationVersion, configurationVersion);
  t.false('cfg' in (JSON.parse(datagram.toString()) as object));
  const malformed = datagram.toString().replace('"9007199254740993"', '"9e15"');
  t.throws(() => decodeHeartbeat(Buffer.from(malformed)));
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

test('limits on rejections survive encoding, and a malformed one does not hide the others', (t) => {
  const service = asId<ServiceName>('model');
  const withLimits: PeerHeartbeat = {
    ...heartbeat,
    rejectionLimits: [
      { server: 'i-1#17', service, maxRejectionsPerSecond: 3, ageMs: 30 },
      { server: 'i-2#18', service, maxRejectionsPerSecond: undefined, ageMs: 40 },
    ],
  };
  const datagram = createHeartbeatEncoder(withLimits)(heartbeat.echo);
  t.deepEqual(decodeHeartbeat(datagram), withLimits);
  // A report from the future would go before every response of the server.
  const rows = 'null,["i-3#1","model",-1,0],["i-4#1","model",1,-1000]';
  const malformed = datagram.toString().replace('"rej":[', `"rej":[${rows},`);
  t.deepEqual(decodeHeartbeat(Buffer.from(malformed)), withLimits);
});

test('the time until a draining host closes survives encoding', (t) => {
  const draining: PeerHeartbeat = { ...heartbeat, state: 'draining', closesInMs: 2_300 };
  const datagram = createHeartbeatEncoder(draining)(heartbeat.echo);
  t.deepEqual(decodeHeartbeat(datagram), draining);
  const malformed = datagram.toString().replace('"closes":2300', '"closes":"soon"');
  t.throws(() => decodeHeartbeat(Buffer.from(malformed)), { instanceOf: InvalidMessageError });
});

test('malformed datagrams are rejected with a typed error', (t) => {
  ['', 'null', '{', '{"v":2}', '{"v":1,"host":{"id":"a"}}'].forEach((text) => {
    t.throws(() => decodeHeartbeat(Buffer.from(text)), { instanceOf: InvalidMessageError });
  });
});

/** Encodes the heartbeat with changed fields of the message. */
const encodeWith = (changes: object): Buffer => {
  const message = JSON.parse(createHeartbeatEncoder(heartbeat)(undefined).toString()) as object;
  return Buffer.from(JSON.stringify({ ...message, ...changes }));
};

const withHost = (changes: object): object => ({ host: { ...heartbeat.host, ...changes } });
const oddEndpoints: readonly unknown[] = [
  ...[0, -1, 70_000, 1e20, 0.5, '80', null].map((port) => ({ host: '10.0.0.1', port })),
  ...['', 'a b', 'host.invalid', '999.1.1.1', ':::', 7].map((host) => ({ host, port: 80 })),
  ...[null, [], 'text', undefined],
];

// The address of a heartbeat becomes that of sockets here, and the directory tells it to callers.
const malformed: Record<string, readonly object[]> = {
  'an address': oddEndpoints.flatMap((endpoint) => [
    withHost({ peers: endpoint }),
    withHost({ callers: endpoint }),
  ]),
  'an IPv6 address for datagrams': [withHost({ peers: { host: '::1', port: 80 } })],
  'an id': ['', 'a\n', '\u65e5', 'i'.repeat(201), 7, null].map((id) => withHost({ id })),
  'a region or zone': ['', 7, null].flatMap((name) => [
    withHost({ region: name }),
    withHost({ zone: name }),
  ]),
  'a host': [{ host: null }, { host: [] }, { host: 'text' }],
  'a revision': [-1, 0.5, 1e300, '17', null].map((rev) => ({ rev })),
  'an echo': [null, {}, { sentAtMs: '3', heldMs: 4 }, []].map((echo) => ({ echo })),
};

for (const [subject, changes] of Object.entries(malformed)) {
  test(`a heartbeat with ${subject} that is malformed is rejected`, (t) => {
    changes.forEach((change) => {
      t.throws(
        () => decodeHeartbeat(encodeWith(change)),
        { instanceOf: InvalidMessageError },
        JSON.stringify(change),
      );
    });
  });
}

test('a malformed row of a heartbeat does not hide the other rows, or its host', (t) => {
  const odd = [null, 7, [], ['s', 'x', []], ['s', 1, [[1]]], ['s', 1]];
  const huge = [
    ['s', 1e300, []],
    ['s', 1, [[0, -1e300]]],
  ];
  const load = [...odd, ...huge, ['good', 1, [[0, 5]]]];
  const figures = [1, 2, 3, 4, 5, 6];
  const cap = [null, [], ['s', ...figures.map(String)], ['s', 1], ['good', ...figures]];
  const crash = [null, {}, { serverId: 's', incarnation: 7, running: [], suspects: [] }];
  const decoded = decodeHeartbeat(encodeWith({ load, cap, crash }));
  t.deepEqual([...decoded.loads.keys()], [asId('good')]);
  t.deepEqual([...decoded.capacity.keys()], [asId('good')]);
  t.deepEqual(decoded.crashes, []);
});

test('unknown fields of a host are not kept, because they would be passed on', (t) => {
  const { host } = decodeHeartbeat(encodeWith(withHost({ extra: [[[]]] })));
  t.deepEqual(host, heartbeat.host);
});
