import test from 'ava';
import { Agent, request } from 'undici';
import { startDeployment } from '../../src/launcher/startDeployment.js';
import { waitUntil } from '../../src/launcher/waitUntil.js';

test('all traffic of a deployment goes through the relay and is attributed to its source', async (t) => {
  const deployment = await startDeployment({
    name: 'network',
    models: ['layout-large'],
    regions: [
      { name: 'norte', entryHosts: 1, engines: 1, orderingServers: 0 },
      { name: 'sul', entryHosts: 1, engines: 1, orderingServers: 0 },
    ],
    drain: { steerMs: 0 },
    network: { regionDelayMs: 10 },
  });
  const dispatcher = new Agent({ localAddress: deployment.callerAddress('sul') });
  t.teardown(async () => {
    await dispatcher.close();
    await deployment.close();
  });
  const url = deployment.processes.get('sul-1')?.url ?? '';
  const { statusCode, body } = await request(`${url}/v1/completions`, {
    method: 'POST',
    dispatcher,
    headers: { authorization: `Bearer ${deployment.customerKey}` },
    body: JSON.stringify({ model: 'layout-large', prompt: 'wren-55', max_tokens: 2 }),
  });
  t.is(statusCode, 200);
  await body.dump();
  const linkNames = async (): Promise<string[]> =>
    ((await deployment.network?.links()) ?? []).map(({ from, to }) => `${from.name}>${to.name}`);
  const expected = ['caller-sul>sul-1', 'sul-1>sul-engine-1', 'sul-1>store', 'norte-1>sul-1'];
  await waitUntil('all expected links were used', 5_000, async () => {
    const names = await linkNames();
    return expected.every((link) => names.includes(link));
  });
  t.deepEqual(
    (await linkNames()).filter((name) => name.includes('unknown')),
    [],
  );
  const { sightings } = (await deployment.network?.search('wren-55')) ?? { sightings: [] };
  t.deepEqual(sightings.map(({ from, to }) => `${from.name}>${to.name}`).sort(), [
    'caller-sul>sul-1',
    'sul-1>sul-engine-1',
  ]);
});
