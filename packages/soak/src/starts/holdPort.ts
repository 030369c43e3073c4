import { createSocket } from 'node:dgram';
import { once } from 'node:events';
import { createServer } from 'node:net';

/** Holds a port of an address. Resolves with a function that releases it. */
export async function holdPort(
  protocol: 'tcp' | 'udp',
  port: number,
  address: string,
): Promise<() => void> {
  const holder =
    protocol === 'tcp'
      ? // Destroyed, so that readiness checks do not wait for a response.
        createServer((socket) => socket.destroy()).listen(port, address)
      : createSocket('udp4').bind(port, address);
  await once(holder, 'listening');
  return () => holder.close();
}
