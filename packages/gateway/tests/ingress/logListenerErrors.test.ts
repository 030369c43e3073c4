import { once } from 'node:events';
import type { ServerResponse } from 'node:http';
import { connect } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import { createSystemClock } from '@camphorbarrow/core';
import type { LogFields } from '@camphorbarrow/core';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { createListener } from '../../src/index.js';
import { discardingMetrics, silentLog } from '../support/silentSinks.js';

async function startListener(t: ExecutionContext, respond: (response: ServerResponse) => void) {
  const logged: (LogFields & { readonly event: string })[] = [];
  const listener = await createListener({
    name: 'callers',
    endpoint: { host: '127.0.0.1', port: 0 },
    clock: createSystemClock(),
    log: { ...silentLog, error: (event, fields) => logged.push({ event, ...fields }) },
    metrics: discardingMetrics,
    maxConnections: 100,
    handle: async (_request, response) => respond(response),
  });
  t.teardown(() => listener.close());
  const { port } = listener.server.address() as AddressInfo;
  const call = async (): Promise<string> => {
    const caller: Socket = connect(port, '127.0.0.1');
    caller.end('GET / HTTP/1.1\r\nHost: a\r\n\r\n');
    const [data] = (await once(caller, 'data')) as [Buffer];
    return data.toString();
  };
  return { server: listener.server, logged, call };
}

// The event had no listener once the server was listening, and ended the process.
test('a listener goes on after a connection that could not be accepted', async (t) => {
  const { server, logged, call } = await startListener(t, (response) => response.end('ok'));
  const error = Object.assign(new Error('accept ENOBUFS'), { code: 'ENOBUFS' });
  t.true(server.emit('error', error));
  t.true(server.emit('error', error));
  t.deepEqual(logged, [{ event: 'listener-error', listener: 'callers', count: 1 }]);
  t.regex(await call(), /^HTTP\/1.1 200/);
});

test('an error of a response does not end the process', async (t) => {
  const { logged, call } = await startListener(t, (response) => {
    response.end('ok');
    response.write('more');
  });
  t.regex(await call(), /^HTTP\/1.1 200/);
  t.like(logged[0], { event: 'response-error', listener: 'callers' });
});

// Node.js had removed its listener by the time at which the error was reported.
test('an error of a connection with a CONNECT request does not end the process', async (t) => {
  const { server, call } = await startListener(t, (response) => response.end('ok'));
  server.once('connection', (socket: Socket) => {
    socket.prependListener('data', () => socket.destroy(new Error('write EPIPE')));
  });
  const caller = connect((server.address() as AddressInfo).port, '127.0.0.1');
  caller.on('error', () => undefined);
  caller.write('CONNECT a:80 HTTP/1.1\r\nHost: a:80\r\n\r\n');
  await once(caller, 'close');
  t.regex(await call(), /^HTTP\/1.1 200/);
});
