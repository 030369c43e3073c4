import { once } from 'node:events';
import { connect } from 'node:net';

/** Whether connections to the address of a base URL are refused. */
export async function refusesConnections(url: string): Promise<boolean> {
  const { hostname, port } = new URL(url);
  const socket = connect({ host: hostname, port: Number(port) });
  try {
    await once(socket, 'connect');
    return false;
  } catch (error) {
    return (error as { code?: string }).code === 'ECONNREFUSED';
  } finally {
    socket.destroy();
  }
}
