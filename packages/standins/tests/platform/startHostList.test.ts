import { setTimeout as delay } from 'node:timers/promises';
import test from 'ava';
import { request } from 'undici';
import { startHostList } from '../../src/platform/startHostList.js';

async function read(url: string): Promise<unknown> {
  return (await request(`${url}/v1/hosts`)).body.json();
}

test('readers see a change of the host list only after lagMs', async (t) => {
  const list = await startHostList('127.0.0.1', 0, { hosts: [{ serverId: 'a' }], lagMs: 200 });
  t.teardown(() => list.close());
  await request(`${list.url}/v1/hosts`, {
    method: 'PUT',
    headers: { 'content-type': 'application/json' },
    body: JSON.stringify({ hosts: [] }),
  });
  t.deepEqual(await read(list.url), { hosts: [{ serverId: 'a' }] });
  await delay(300);
  t.deepEqual(await read(list.url), { hosts: [] });
});
