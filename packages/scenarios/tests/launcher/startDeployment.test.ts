import { Readable } from 'node:stream';
import anyTest from 'ava';
import type { TestFn } from 'ava';
import OpenAI, { APIError } from 'openai';
import { request } from 'undici';
import { startDeployment } from '../../src/launcher/startDeployment.js';
import { waitUntil } from '../../src/launcher/waitUntil.js';
import type { Deployment } from '../../src/launcher/Deployment.js';

const test = anyTest as TestFn<{ deployment: Deployment }>;

function urlOf(deployment: Deployment, name: string): string {
  return deployment.processes.get(name)?.url ?? '';
}

function clientOf(deployment: Deployment, host: string, apiKey: string): OpenAI {
  return new OpenAI({ baseURL: `${urlOf(deployment, host)}/v1`, apiKey, maxRetries: 0 });
}

/** A request body that never ends. */
async function* endlessBody(): AsyncGenerator<string, void> {
  yield '{';
  await new Promise(() => {});
}

test.before(async (t) => {
  t.context.deployment = await startDeployment({
    name: 'path',
    models: ['layout-large'],
    regions: [
      { name: 'norte', entryHosts: 2, engines: 1, orderingServers: 1 },
      { name: 'sul', entryHosts: 1, engines: 1, orderingServers: 1 },
    ],
    drain: { steerMs: 100 },
  });
});

test.after.always(async (t) => {
  await t.context.deployment.close();
});

test('the openai client receives a complete streamed response', async (t) => {
  const { deployment } = t.context;
  const client = clientOf(deployment, 'norte-1', deployment.customerKey);
  const stream = await client.chat.completions.create({
    model: 'layout-large',
    stream: true,
    max_tokens: 5,
    messages: [{ role: 'user', content: 'Perch width for a wren?' }],
  });
  let text = '';
  let finishReason: string | null = null;
  for await (const chunk of stream) {
    text += chunk.choices[0]?.delta.content ?? '';
    finishReason = chunk.choices[0]?.finish_reason ?? finishReason;
  }
  t.is(text, 'norte-engine-1 t1 t2 t3 t4');
  t.is(finishReason, 'stop');
});

test('the openai client receives unstreamed responses and the list of models', async (t) => {
  const { deployment } = t.context;
  const client = clientOf(deployment, 'sul-1', deployment.customerKey);
  const completion = await client.completions.create({
    model: 'layout-large',
    prompt: 'Assembly sheet',
    max_tokens: 2,
  });
  t.is(completion.choices[0]?.text, 'sul-engine-1 t1');
  const models = await client.models.list();
  t.deepEqual(
    models.data.map(({ id }) => id),
    ['layout-large'],
  );
});

test('canceling a request in the openai client frees its slot at the engine', async (t) => {
  const { deployment } = t.context;
  const runningAtEngine = async (): Promise<number> => {
    const { body } = await request(`${urlOf(deployment, 'sul-engine-1')}/load`);
    return ((await body.json()) as { runningRequests: number }).runningRequests;
  };
  const client = clientOf(deployment, 'sul-1', deployment.customerKeysByRegion.get('sul') ?? '');
  const stream = await client.chat.completions.create({
    model: 'layout-large',
    stream: true,
    max_tokens: 2_000,
    messages: [{ role: 'user', content: 'Roof pitch?' }],
  });
  await waitUntil('the request runs', 5_000, async () => (await runningAtEngine()) > 0);
  stream.controller.abort();
  await waitUntil('the slot is free', 5_000, async () => (await runningAtEngine()) === 0);
  t.pass();
});

test('error responses have a code and an outcome that the openai client can read', async (t) => {
  const { deployment } = t.context;
  const client = clientOf(deployment, 'norte-1', deployment.customerKey);
  const error = await t.throwsAsync(
    client.chat.completions.create({ model: 'nothing', messages: [{ role: 'user', content: '' }] }),
    { instanceOf: APIError },
  );
  t.is(error.status, 404);
  t.is(error.code, 'unknown-model');
  t.like(error.error, { outcome: 'not-run' });
});

test('a request bound to another region is rejected before its body is sent', async (t) => {
  const { deployment } = t.context;
  const response = await request(`${urlOf(deployment, 'norte-1')}/v1/chat/completions`, {
    method: 'POST',
    headers: {
      authorization: `Bearer ${deployment.customerKeysByRegion.get('sul')}`,
      'content-type': 'application/json',
      'content-length': '1000000',
    },
    // The body never ends, so the response can only depend on the headers.
    body: Readable.from(endlessBody()),
  });
  t.is(response.statusCode, 421);
  t.like(await response.body.json(), {
    error: {
      code: 'wrong-region',
      outcome: 'not-run',
      details: { homeRegion: 'sul', entryHostUrls: [urlOf(deployment, 'sul-1')] },
    },
  });
});

test('every entry host lists the entry hosts of its region', async (t) => {
  const { deployment } = t.context;
  const response = await request(`${urlOf(deployment, 'norte-2')}/v1/entry-hosts`);
  const list = (await response.body.json()) as { entryHostUrls: string[] };
  t.deepEqual(
    [...list.entryHostUrls].sort(),
    [urlOf(deployment, 'norte-1'), urlOf(deployment, 'norte-2')].sort(),
  );
});
