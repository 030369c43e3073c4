import type { Agent } from 'node:http';
import type { Socket } from 'node:net';
import type { Endpoint } from '../model/Endpoint.js';
import { createKeepAliveAgent } from './createKeepAliveAgent.js';

/** An idle connection is closed this long before the server would close it. */
const IDLE_MARGIN_MS = 1_000;
const MIN_IDLE_TIMEOUT_MS = 300;
const MAX_IDLE_CONNECTIONS = 64;

export interface ConnectionPools {
  /** Agent that pools the connections to one incarnation of a server, or to a peer. */
  agentFor(name: string): Agent;
  /** Applies the idle timeout that the other end announced in its `Keep-Alive` header. */
  updateIdleTimeout(socket: Socket, keepAliveHeader: string | readonly string[] | undefined): void;
  /** Whether a pool has a connection that is not in use. */
  hasIdle(name: string): boolean;
  /** Closes the idle connections of a pool; those in use stay open. */
  closeIdle(name: string): void;
  /** Removes the pools of all other names and closes their idle connections. */
  retain(names: ReadonlySet<string>): void;
  close(): void;
}

export const formatEndpoint = ({ host, port }: Endpoint): string => `${host}:${port}`;

/**
 * Creates pools of keep-alive connections. An idle connection that receives data is destroyed.
 *
 * @param defaultIdleTimeoutMs idle timeout of connections whose other end announces none
 */
export function createConnectionPools(defaultIdleTimeoutMs: number): ConnectionPools {
  const agents = new Map<string, Agent>();
  const idleTimeoutsMs = new WeakMap<Socket, number>();

  function destroyOnData(this: Socket): void {
    this.destroy();
  }

  function createAgent(): Agent {
    const agent = createKeepAliveAgent({
      maxFreeSockets: MAX_IDLE_CONNECTIONS,
      scheduling: 'lifo',
    });
    agent.keepSocketAlive = (stream): boolean => {
      const socket = stream as Socket;
      socket.setKeepAlive(true, defaultIdleTimeoutMs);
      socket.setTimeout(idleTimeoutsMs.get(socket) ?? defaultIdleTimeoutMs);
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

  function closeIdle(name: string): void {
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
        const idleTimeoutMs = Number(seconds) * 1_000 - IDLE_MARGIN_MS;
        idleTimeoutsMs.set(
          socket,
          Math.max(MIN_IDLE_TIMEOUT_MS, Math.min(defaultIdleTimeoutMs, idleTimeoutMs)),
        );
      }
    },
    hasIdle: (name) =>
      Object.values(agents.get(name)?.freeSockets ?? {}).some((sockets) =>
        sockets?.some((socket) => !socket.destroyed),
      ),
    closeIdle,
    retain(names) {
      [...agents.keys()]
        .filter((name) => !names.has(name))
        .forEach((name) => {
          closeIdle(name);
          agents.delete(name);
        });
    },
    close() {
      agents.forEach((agent) => agent.destroy());
    },
  };
}
