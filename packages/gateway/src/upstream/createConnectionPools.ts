import { Agent } from 'node:http';
import type { Socket } from 'node:net';
import type { Endpoint } from '../model/Endpoint.js';

/** A connection is given up this long before the server would close it. */
const IDLE_MARGIN_MS = 1_000;
const MIN_IDLE_MS = 300;
const MAX_IDLE_CONNECTIONS = 64;

export interface ConnectionPools {
  /** Agent with the connections to one lifetime of a server or peer. */
  agentFor(name: string): Agent;
  /** The other end announced how long it keeps an idle connection. */
  updateIdleTimeout(socket: Socket, keepAliveHeader: string | readonly string[] | undefined): void;
  /** Gives up idle connections; those in use go on. */
  closeIdle(name: string): void;
  /** Closes idle connections of names that are not in use any more. */
  retain(names: ReadonlySet<string>): void;
  close(): void;
}

export const formatEndpoint = ({ host, port }: Endpoint): string => `${host}:${port}`;

/**
 * Creates the pools of kept connections. Bytes that arrive on an idle connection end it.
 *
 * @param defaultIdleMs idle time after which a connection is not used again when the other end
 * announces no time-out
 */
export function createConnectionPools(defaultIdleMs: number): ConnectionPools {
  const agents = new Map<string, Agent>();
  const idleLimitsMs = new WeakMap<Socket, number>();

  function destroyOnData(this: Socket): void {
    this.destroy();
  }

  function createAgent(): Agent {
    const agent = new Agent({
      keepAlive: true,
      maxFreeSockets: MAX_IDLE_CONNECTIONS,
      scheduling: 'lifo',
    });
    agent.keepSocketAlive = (stream): boolean => {
      const socket = stream as Socket;
      socket.setKeepAlive(true, defaultIdleMs);
      socket.setTimeout(idleLimitsMs.get(socket) ?? defaultIdleMs);
      socket.on('data', destroyOnData);
      return true;
    };
    const reuseSocket = agent.reuseSocket.bind(agent);
    agent.reuseSocket = (stream, request): void => {
      const socket = stream as Socket;
      reuseSocket(stream, request);
      socket.removeListener('data', destroyOnData);
      socket.setTimeout(0);
    };
    return agent;
  }

  function dropIdle(name: string): void {
    Object.values(agents.get(name)?.freeSockets ?? {}).forEach((sockets) =>
      [...(sockets ?? [])].forEach((socket) => socket.destroy()),
    );
  }

  return {
    agentFor(name) {
      const agent = agents.get(name) ?? createAgent();
      agents.set(name, agent);
      return agent;
    },
    updateIdleTimeout(socket, keepAliveHeader) {
      const seconds = /timeout=(\d+)/.exec(String(keepAliveHeader ?? ''))?.[1];
      if (seconds !== undefined) {
        const limitMs = Number(seconds) * 1_000 - IDLE_MARGIN_MS;
        idleLimitsMs.set(socket, Math.max(MIN_IDLE_MS, Math.min(defaultIdleMs, limitMs)));
      }
    },
    closeIdle: dropIdle,
    retain(names) {
      [...agents.keys()]
        .filter((name) => !names.has(name))
        .forEach((name) => {
          dropIdle(name);
          agents.delete(name);
        });
    },
    close() {
      agents.forEach((agent) => agent.destroy());
    },
  };
}
