import { createServer } from 'node:http';
import { connect } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import { once } from 'node:events';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { createConnectionLimit } from '../../src/index.js';
import type { ConnectionLimit } from '../../src/index.js';

const MAX_CONNECTIONS = 2;

interface LimitedServer {
  readonly limit: ConnectionLimit;
  /** Opens a connection; undefined if it was closed immediately. */
  open(): Promise<{ readonly accepted: Socket; close(): Promise<void> } | undefined>;
}

async function startServer(t: ExecutionContext): Promise<LimitedServer> {
  const limit = createConnectionLimit(MAX_CONNECTIONS);
  const server = createServer();
  limit.apply(server);
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const callers: Socket[] = [];
  t.teardown(() => {
    callers.forEach((caller) => caller.destroy());
    server.close();
  });
  return {
    limit,
    async open() {
      const caller = connect((server.address() as AddressInfo).port, '127.0.0.1');
      callers.push(caller);
      const [accepted] = (await Promise.race([
        once(server, 'connection'),
        once(server, 'drop').then(() => []),
      ])) as [Socket | undefined];
      return (
        accepted && {
          accepted,
          async close() {
            caller.destroy();
            await once(accepted, 'close');
          },
        }
      );
    },
  };
}

test('a connection of the reserve exceeds the limit until another connection closes', async (t) => {
  const { limit, open } = await startServer(t);
  const first = await open();
  const second = await open();
  const third = await open();
  const isExceeded = (): readonly boolean[] =>
    [first, second, third].map((opened) => limit.isExceededBy(opened!.accepted));
  t.deepEqual(isExceeded(), [false, false, true]);
  await first!.close();
  t.deepEqual(isExceeded(), [false, false, false]);
  const fourth = await open();
  t.true(limit.isExceededBy(fourth!.accepted));
});

test('closed connections of the reserve do not raise the limit', async (t) => {
  const { limit, open } = await startServer(t);
  await open();
  await open();
  const third = await open();
  await third!.close();
  const fourth = await open();
  t.true(limit.isExceededBy(fourth!.accepted));
});

test('a connection beyond the reserve is not accepted', async (t) => {
  const { open } = await startServer(t);
  await open();
  await open();
  await open();
  t.is(await open(), undefined);
});
