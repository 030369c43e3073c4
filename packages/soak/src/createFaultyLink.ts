import { once } from 'node:events';
import { connect, createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import type { LinkFault } from './LinkFault.js';

/** Delay of every chunk on a delayed link. Calls to the store and the servers usually take less. */
const DELAY_MS = 150;

/** TCP proxy on loopback that injects faults between a process and the target of its calls. */
export interface FaultyLink {
  /** `IP:PORT` to connect to instead of the target. */
  readonly address: string;
  setFault(fault: LinkFault): void;
  close(): void;
}

/** Starts a proxy for a target, given as `IP:PORT`. */
export async function createFaultyLink(target: string): Promise<FaultyLink> {
  const [host = '', port = ''] = target.split(':');
  const sockets = new Set<Socket>();
  let fault: LinkFault = 'none';

  const resetAll = (): void => sockets.forEach((socket) => socket.resetAndDestroy());

  function track(socket: Socket, other: Socket): void {
    sockets.add(socket);
    socket.on('error', () => undefined);
    // A reset is passed on as a reset: if the connection were closed normally, a truncated response
    // without a content length would look complete.
    socket.on('close', (hadError) => {
      sockets.delete(socket);
      if (hadError) {
        other.resetAndDestroy();
      } else {
        other.destroy();
      }
    });
  }

  function forward(from: Socket, to: Socket, direction: 'to-target' | 'from-target'): void {
    const isDropping = (): boolean =>
      fault === 'silent' || (fault === 'one-way' && direction === 'from-target');
    // Nothing may follow dropped bytes: TCP never skips bytes within a stream.
    let hasDropped = false;
    const deliver = (action: () => void): void => {
      hasDropped ||= isDropping();
      if (hasDropped) {
        return;
      }
      if (fault === 'delayed') {
        setTimeout(action, DELAY_MS);
      } else {
        action();
      }
    };
    from.on('data', (chunk) => deliver(() => to.write(chunk)));
    from.on('end', () => deliver(() => to.end()));
  }

  const server = createServer({ allowHalfOpen: true }, (incoming) => {
    const outgoing = connect({ host, port: Number(port), allowHalfOpen: true });
    track(incoming, outgoing);
    track(outgoing, incoming);
    forward(incoming, outgoing, 'to-target');
    forward(outgoing, incoming, 'from-target');
    if (fault === 'reset') {
      resetAll();
    }
  }).listen(0, '127.0.0.1');
  await once(server, 'listening');

  return {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    setFault(next) {
      fault = next;
      if (fault === 'reset') {
        resetAll();
      }
    },
    close() {
      server.close();
      resetAll();
    },
  };
}
