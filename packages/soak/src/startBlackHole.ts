import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { connect } from 'node:net';

/** More than the kernel accepts for a listener without a backlog. */
const FILLING_CONNECTIONS = 4;
const PROGRAM = `
  const server = require('node:net').createServer();
  server.listen({ port: 0, host: '127.0.0.1', backlog: 1 }, () => {
    process.stdout.write(String(server.address().port));
  });
`;

/** Port to which connections are not established, like one in a network that drops packets. */
export interface BlackHole {
  readonly port: number;
  close(): void;
}

/** Starts a listener whose process is stopped and whose backlog is full. */
export async function startBlackHole(): Promise<BlackHole> {
  const child = spawn(process.execPath, ['-e', PROGRAM], { stdio: ['ignore', 'pipe', 'inherit'] });
  const [text] = (await once(child.stdout, 'data')) as [Buffer];
  const port = Number(text.toString());
  child.kill('SIGSTOP');
  const sockets = Array.from({ length: FILLING_CONNECTIONS }, () =>
    connect({ host: '127.0.0.1', port }).on('error', () => undefined),
  );
  return {
    port,
    close() {
      sockets.forEach((socket) => socket.destroy());
      child.kill('SIGKILL');
    },
  };
}
