import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import path from 'node:path';
import test from 'ava';
import { request } from 'undici';
import { startOrderingServer } from '../../src/service/startOrderingServer.js';

test('an order sent twice is executed twice, and a restart keeps both records', async (t) => {
  const directory = await mkdtemp(path.join(tmpdir(), 'camphorbarrow-'));
  t.teardown(() => rm(directory, { recursive: true }));
  const options = { serverId: 'o1', runMs: 1, recordFile: path.join(directory, 'o1.jsonl') };
  const first = await startOrderingServer('127.0.0.1', 0, options);
  const order = {
    method: 'POST' as const,
    headers: { 'content-type': 'application/json' },
    body: '{"order":"A1"}',
  };
  await (await request(`${first.url}/orders`, order)).body.json();
  await first.close();
  const second = await startOrderingServer('127.0.0.1', 0, options);
  t.teardown(() => second.close());
  await (await request(`${second.url}/orders`, order)).body.json();
  const records = await (await request(`${second.url}/executed`)).body.json();
  t.like(records, { executed: [{ call: 'A1' }, { call: 'A1' }] });
  t.like(await (await request(`${second.url}/orders/A1`)).body.json(), { state: 'confirmed' });
});
