import { randomInt } from 'node:crypto';
import test from 'ava';
import { createFaultyServer } from '../../src/faults/createFaultyServer.js';

// Guards against tests of lost answers that pass because every answer arrives.
test('with loseAnswers a request takes effect and gets no answer', async (t) => {
  const { app } = createFaultyServer();
  t.teardown(() => app.close());
  let effects = 0;
  app.post('/effect', async () => {
    effects += 1;
    return { effects };
  });
  const address = `127.${randomInt(10, 250)}.${randomInt(0, 250)}.1`;
  const url = await app.listen({ host: address, port: 7_000 });

  async function post(path: string, body: object, limitMs = 10_000): Promise<number> {
    const response = await fetch(`${url}${path}`, {
      method: 'POST',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify(body),
      signal: AbortSignal.timeout(limitMs),
    });
    return response.status;
  }

  t.is(await post('/control', { loseAnswers: true }), 200);
  await t.throwsAsync(post('/effect', {}, 500), { name: 'TimeoutError' });
  t.is(effects, 1);
  t.is(await post('/control', { loseAnswers: false }), 200);
  t.is(await post('/effect', {}), 200);
  t.is(effects, 2);
});
