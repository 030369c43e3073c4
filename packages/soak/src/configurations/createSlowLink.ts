import { once } from 'node:events';
import { connect, createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import { sleep } from '../sleep.js';
import type { StoreLinkShape } from './ConfigurationStep.js';

/** Size of the pieces in which bytes pass a slow link. */
const PIECE_BYTES = 4_096;
const MS_PER_SECOND = 1_000;

/** TCP proxy on loopback whose responses pass slowly. */
export interface SlowLink {
  /** `IP:PORT` to connect to instead of the target. */
  readonly address: string;
  setShape(shape: StoreLinkShape): void;
  close(): void;
}

/** Starts a proxy for a target, given as `IP:PORT`. */
export async function createSlowLink(target: string): Promise<SlowLink> {
  const [host = '', port = ''] = target.split(':');
  const sockets = new Set<Socket>();
  let shape: StoreLinkShape = { bytesPerSecond: Infinity, delayMs: 0 };

  async function forward(chunk: Buffer, to: Socket): Promise<void> {
    for (let sent = 0; sent < chunk.length; sent += PIECE_BYTES) {
      const piece = chunk.subarray(sent, sent + PIECE_BYTES);
      const durationMs = (piece.length / shape.bytesPerSecond) * MS_PER_SECOND;
      if (durationMs > 0) {
        await sleep(durationMs);
      }
      to.write(piece);
    }
  }

  async function forwardResponses(from: Socket, to: Socket): Promise<void> {
    for await (const chunk of from as AsyncIterable<Buffer>) {
      // A response of the store begins with a chunk of its own; later ones follow at once.
      if (shape.delayMs > 0 && chunk.subarray(0, 5).toString() === 'HTTP/') {
        await sleep(shape.delayMs);
      }
      await forward(chunk, to);
    }
    to.end();
  }

  const server = createServer((client) => {
    const upstream = connect(Number(port), host);
    [client, upstream].forEach((socket) => {
      sockets.add(socket);
      socket.on('error', () => undefined);
      socket.on('close', () => sockets.delete(socket));
    });
    client.on('close', () => upstream.destroy());
    client.pipe(upstream);
    forwardResponses(upstream, client).catch(() => client.destroy());
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  return {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    setShape(next) {
      shape = next;
    },
    close() {
      sockets.forEach((socket) => socket.destroy());
      server.close();
    },
  };
}
