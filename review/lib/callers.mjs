import { clearTimeout, setTimeout } from 'node:timers';
import { performance } from 'node:perf_hooks';
import { randomBytes } from 'node:crypto';
import { Agent, request as httpRequest } from 'node:http';

/**
 * Sends one request of a client and resolves with what the client sees. Never rejects.
 *
 * @param options.agent keeps the channel of the client open
 */
export function sendRequest(options) {
  const { agent, host, method = 'POST', path, deadlineMs, body = '', headers = {} } = options;
  const attempt = randomBytes(8).toString('hex');
  return new Promise((resolve) => {
    const sentAtMs = performance.now();
    const result = { attempt, host: host.ip, path, sentAtMs };
    const settle = (more) => resolve({ ...result, ...more, tookMs: performance.now() - sentAtMs });
    const outgoing = httpRequest({
      agent,
      host: host.ip,
      port: 8144,
      method,
      path,
      headers: {
        host: 'shop.example',
        'camphorbarrow-attempt-id': attempt,
        'camphorbarrow-deadline-remaining': String(deadlineMs),
        'content-length': String(body.length),
        ...headers,
      },
    });
    let isKept = false;
    outgoing.on('socket', (socket) => {
      isKept = !socket.connecting;
      outgoing.setTimeout(0);
    });
    const timer = setTimeout(() => outgoing.destroy(new Error('deadline')), deadlineMs);
    outgoing.on('error', (error) => {
      clearTimeout(timer);
      settle({ status: 0, isKept, error: error.message === 'deadline' ? 'deadline' : 'closed' });
    });
    outgoing.on('response', (response) => {
      let text = '';
      response.setEncoding('latin1');
      response.on('data', (chunk) => {
        text += chunk;
      });
      response.on('error', () => undefined);
      response.on('close', () => {
        clearTimeout(timer);
        settle({
          status: response.statusCode,
          isKept,
          isComplete: response.complete,
          sealed: response.headers['camphorbarrow-server-seal'] !== undefined,
          text,
        });
      });
    });
    outgoing.end(body);
  });
}

/** Creates the agent of a client that keeps one channel. */
export const createKeptChannel = () => new Agent({ keepAlive: true, maxSockets: 1 });
