// Guards against time-outs that a client reports after a pause of its own process, although the
// response arrived in time.
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { Agent } from 'undici';
import { createHttpEngineOrderClient } from '../../src/backends/createHttpEngineOrderClient.js';
import { requestJson } from '../../src/http/requestJson.js';
import { createTrpcPeerClient } from '../../src/peers/createTrpcPeerClient.js';
import { createHttpWeightStore } from '../../src/platform/createHttpWeightStore.js';
import { startPausingServer } from '../support/startPausingServer.js';
import { toResponse } from '../support/toResponse.js';

const TIMEOUT_MS = 300;

function startServer(t: ExecutionContext, body: string): Promise<string> {
  return startPausingServer(t, { rest: toResponse(body), delayMs: 0, pauseMs: 2 * TIMEOUT_MS });
}

test.serial(
  'the response of a platform service is read after a pause of the process',
  async (t) => {
    const agent = new Agent();
    t.teardown(() => agent.destroy());
    const url = await startServer(t, '{"hosts":[]}');
    const call = { url, method: 'GET', timeoutMs: TIMEOUT_MS, dispatcher: agent } as const;
    t.deepEqual(await requestJson(call), { hosts: [] });
  },
);

test.serial('the response of the weight store is read after a pause of the process', async (t) => {
  const url = await startServer(t, '');
  const store = createHttpWeightStore({ url, timeoutMs: TIMEOUT_MS });
  t.teardown(() => store.close());
  t.is(await store.reserveDownload('small'), 0);
});

test.serial('the response to an engine order is read after a pause of the process', async (t) => {
  const client = createHttpEngineOrderClient({ connectTimeoutMs: TIMEOUT_MS });
  t.teardown(() => client.close());
  await t.notThrowsAsync(
    client.send({
      baseUrl: await startServer(t, ''),
      order: { kind: 'unload-model', model: 'small' },
      fencingToken: 1,
      timeoutMs: TIMEOUT_MS,
      onBeforeSend() {},
    }),
  );
});

test.serial('the response of a peer is read after a pause of the process', async (t) => {
  const url = await startServer(t, '{"result":{"data":[]}}');
  const client = createTrpcPeerClient({ peerKey: 'k', timeoutMs: TIMEOUT_MS });
  t.teardown(() => client.close());
  t.deepEqual(await client.fetchServers(url), []);
});
