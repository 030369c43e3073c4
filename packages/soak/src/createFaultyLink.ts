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
  /** Injects a fault into the connections of one owner, which goes before that of the link. */
  setOwnerFault(owner: number, fault: LinkFault): void;
  close(): void;
}

interface Delivery {
  readonly action: () => void;
  /** Whether its delay has passed. */
  isDue: boolean;
}

/**
 * Starts a proxy for a target, given as `IP:PORT`.
 *
 * @param findOwner finds who has opened a connection, from the address that it comes from
 */
export async function createFaultyLink(
  target: string,
  findOwner: (address: string) => number | undefined = () => undefined,
): Promise<FaultyLink> {
  const [host = '', port = ''] = target.split(':');
  /** Owner of each socket. */
  const sockets = new Map<Socket, number | undefined>();
  let fault: LinkFault = 'none';
  const ownerFaults = new Map<number, LinkFault>();

  const faultOf = (owner: number | undefined): LinkFault =>
    (owner === undefined ? undefined : ownerFaults.get(owner)) ?? fault;

  const resetFaulty = (): void =>
    sockets.forEach((owner, socket) => {
      if (faultOf(owner) === 'reset') {
        socket.resetAndDestroy();
      }
    });

  function track(socket: Socket, other: Socket, owner: number | undefined): void {
    sockets.set(socket, owner);
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

  function forward(
    from: Socket,
    to: Socket,
    direction: 'to-target' | 'from-target',
    owner: number | undefined,
  ): void {
    const isDropping = (): boolean =>
      faultOf(owner) === 'silent' || (faultOf(owner) === 'one-way' && direction === 'from-target');
    // Nothing may follow dropped bytes: TCP never skips bytes within a stream.
    let hasDropped = false;
    /** Deliveries that wait for their time or for one before them. */
    const waiting: Delivery[] = [];
    const deliverDue = (): void => {
      while (waiting[0]?.isDue === true) {
        waiting.shift()?.action();
      }
    };
    const deliver = (action: () => void): void => {
      hasDropped ||= isDropping();
      if (hasDropped) {
        return;
      }
      const delivery = { action, isDue: faultOf(owner) !== 'delayed' };
      waiting.push(delivery);
      if (!delivery.isDue) {
        setTimeout(() => {
          delivery.isDue = true;
          deliverDue();
        }, DELAY_MS);
      }
      deliverDue();
    };
    from.on('data', (chunk) => deliver(() => to.write(chunk)));
    from.on('end', () => deliver(() => to.end()));
  }

  const server = createServer({ allowHalfOpen: true }, (incoming) => {
    const { remoteAddress = '' } = incoming;
    const owner = findOwner(remoteAddress);
    // The target sees which host a connection comes from.
    const source = owner === undefined ? {} : { localAddress: remoteAddress };
    const outgoing = connect({ host, port: Number(port), allowHalfOpen: true, ...source });
    track(incoming, outgoing, owner);
    track(outgoing, incoming, owner);
    forward(incoming, outgoing, 'to-target', owner);
    forward(outgoing, incoming, 'from-target', owner);
    if (faultOf(owner) === 'reset') {
      incoming.resetAndDestroy();
    }
  }).listen(0, '127.0.0.1');
  await once(server, 'listening');

  return {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    setFault(next) {
      fault = next;
      resetFaulty();
    },
    setOwnerFault(owner, next) {
      if (next === 'none') {
        ownerFaults.delete(owner);
      } else {
        ownerFaults.set(owner, next);
      }
      resetFaulty();
    },
    close() {
      server.close();
      sockets.forEach((_owner, socket) => socket.resetAndDestroy());
    },
  };
}
