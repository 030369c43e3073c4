import test from 'ava';
import { toRoutingRequest } from '../../src/index.js';
import type { Exchange } from '../../src/index.js';
import { buildRequestMetadata, buildRoute, buildService } from '../support/builders.js';

const exchange = {
  route: buildRoute({ resumable: true }),
  service: buildService(),
  metadata: buildRequestMetadata(),
  expectedEvents: 49,
  typicalEvents: 40,
  relayedBy: 'host-2',
} as unknown as Exchange;
const progress = {
  runs: 0,
  lastEventId: undefined,
  triedServers: new Set<never>(),
  triedRegions: new Set<string>(),
  rejectingHosts: new Set<never>(),
};

// Guards against a resumed stream being treated as a new request: a stream that had delivered 92
// events was relayed to another region, whose host rejected it as overloaded, which ended it.
test('a stream that resumes in another region counts as a retry', (t) => {
  t.like(toRoutingRequest(exchange, progress, 3_000), { isRetry: false, isRelayed: true });
  t.true(toRoutingRequest(exchange, { ...progress, lastEventId: '92' }, 3_000).isRetry);
  t.true(toRoutingRequest(exchange, { ...progress, runs: 1 }, 3_000).isRetry);
});
