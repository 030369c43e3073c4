import test from 'ava';
import { toRoutingRequest } from '../../src/index.js';
import type { Exchange } from '../../src/index.js';
import { buildRequestMetadata, buildRoute, buildService } from '../support/builders.js';

const exchange = {
  route: buildRoute({ resumable: true }),
  service: buildService(),
  facts: buildRequestMetadata(),
  expectedEvents: 49,
  typicalEvents: 40,
  relayedBy: 'host-2',
} as unknown as Exchange;
const progress = {
  runs: 0,
  lastEventId: undefined,
  triedServers: new Set<never>(),
  triedRegions: new Set<string>(),
};

// A stream of which 92 events had arrived was passed on to a region whose host refused it as
// overloaded, as if it were new, and ended there.
test('a stream that goes on in another region counts as a repeat', (t) => {
  t.like(toRoutingRequest(exchange, progress, 3_000), { isRepeat: false, relayed: true });
  t.true(toRoutingRequest(exchange, { ...progress, lastEventId: '92' }, 3_000).isRetry);
  t.true(toRoutingRequest(exchange, { ...progress, runs: 1 }, 3_000).isRetry);
});
