import { Agent } from 'node:http';
import type { AgentOptions } from 'node:http';

/**
 * Creates an agent that keeps connections. While a connection passes from one request to the next,
 * Node.js listens to no errors of its socket, and one at that moment would end the process. Errors
 * still reach the request that uses the connection, and a connection with an error is not used again.
 */
export function createKeepAliveAgent(options: AgentOptions = {}): Agent {
  const agent = new Agent({ ...options, keepAlive: true });
  const createConnection = agent.createConnection.bind(agent);
  agent.createConnection = (...parameters) => {
    const stream = createConnection(...parameters);
    stream?.on('error', () => undefined);
    return stream;
  };
  return agent;
}
