import test from 'ava';
import { fork } from 'node:child_process';
import { once } from 'node:events';
import { connect } from 'node:net';
import { fileURLToPath } from 'node:url';
import { MARKER, startStrictListener } from './startStrictListener.js';

const PORT = 18_943;
const PROCESS_PORT = 18_944;

/** Sends raw text and returns the response, up to its end, a closed connection or a timeout. */
async function exchange(parts: readonly string[], port = PORT): Promise<string> {
  const socket = connect(port, '127.0.0.1');
  let response = '';
  socket.setEncoding('utf8').on('data', (data: string) => {
    response += data;
    if (response.includes('}}') || response.endsWith('{}')) {
      socket.destroy();
    }
  });
  socket.on('error', () => undefined);
  parts.forEach((part) => socket.write(part));
  socket.setTimeout(3_000, () => socket.destroy());
  await once(socket, 'close');
  return response;
}

const head = (line: string, ...headers: readonly string[]): string =>
  `${[`${line} HTTP/1.1`, 'host: x', 'authorization: Bearer key', ...headers].join('\r\n')}\r\n\r\n`;
const post = (body: string, ...headers: readonly string[]): string[] => [
  head('POST /v1/completions', `content-length: ${Buffer.byteLength(body)}`, ...headers),
  body,
];
const completion = (model: string, prompt: string): string => JSON.stringify({ model, prompt });
const chunked = head('POST /v1/completions', 'transfer-encoding: chunked');

test('bad input is rejected with a typed body that contains no input', async (t) => {
  const listener = await startStrictListener(PORT);
  t.teardown(() => listener.close());
  const small = completion('small', 'x');
  const rank = 'x-camphorbarrow-rank: urgent';
  const cases: readonly (readonly [string, number, string, readonly string[]])[] = [
    ['declared size', 413, 'body-too-large', post(completion('small', 'x'.repeat(3_000)))],
    ['chunked size', 413, 'body-too-large', [chunked, `1000\r\n${'x'.repeat(4_096)}\r\n`]],
    ['malformed JSON', 400, 'invalid-body', post(MARKER)],
    ['unknown model', 404, 'unknown-model', post(completion(MARKER, 'x'))],
    ['inherited model name', 404, 'unknown-model', post(completion('constructor', 'x'))],
    ['long prompt', 400, 'prompt-too-long', post(completion('small', 'x'.repeat(401)))],
    [
      'unknown region',
      400,
      'unknown-region',
      post(small, `x-camphorbarrow-home-region: ${MARKER}`),
    ],
    ['header twice', 400, 'invalid-header', post(small, rank, rank)],
    ['slow sender', 408, 'body-timeout', [head('POST /v1/completions', 'content-length: 9'), 'x']],
    ['unknown route', 404, 'not-found', [head(`GET /v1/${MARKER}`)]],
    ['undecodable route', 404, 'not-found', [head('GET /v1/%zz')]],
    ['wrong method', 404, 'not-found', [head('GET /v1/completions')]],
    ['unexpected failure', 500, 'internal-error', [head('GET /v1/services/orders/x')]],
  ];
  for (const [name, status, code, parts] of cases) {
    const response = await exchange(parts);
    t.regex(response, new RegExp(`^HTTP/1.1 ${status} `), name);
    t.regex(
      response,
      new RegExp(`"code":"${code}".*"outcome":"${status < 500 ? 'not-run' : 'unknown'}"`),
      name,
    );
    t.false(response.includes(MARKER), name);
  }
  t.regex(await exchange(post(small)), /^HTTP\/1.1 200 /);
});

// The listener runs in another process: the client's copies of the bodies take 20 MiB themselves.
test('rejected bodies are not kept in memory', async (t) => {
  const listener = fork(
    fileURLToPath(new URL('./strictListenerProcess.ts', import.meta.url)),
    [String(PROCESS_PORT)],
    { execArgv: ['--import=tsx'] },
  );
  t.teardown(() => listener.kill());
  await once(listener, 'message');
  const memoryBytes = async (): Promise<number> => {
    listener.send('memory');
    const [bytes] = (await once(listener, 'message')) as [number];
    return bytes;
  };
  const rssBeforeBytes = await memoryBytes();
  const large = `10000000\r\n${'x'.repeat(1_048_576)}`;
  const responses = await Promise.all(
    Array.from({ length: 20 }, () => exchange([chunked, large], PROCESS_PORT)),
  );
  const memoryGrowthBytes = (await memoryBytes()) - rssBeforeBytes;
  t.log(`20 rejected bodies of 1 MiB sent: memory grew by ${memoryGrowthBytes} bytes`);
  responses.forEach((response) => t.regex(response, /^HTTP\/1.1 413 /));
  // Guards against keeping rejected bodies in memory: 20 of them take 20 MiB.
  t.true(memoryGrowthBytes < 15_000_000);
});
