import { get } from 'node:http';

const TIMEOUT_MS = 1_000;

/** Asks the readiness port of a host. */
export const isHostReady = (address: string, port: number): Promise<boolean> =>
  new Promise((resolve) => {
    const request = get({ host: address, port, agent: false }, (response) => {
      response.resume();
      resolve(response.statusCode === 200);
    });
    request.setTimeout(TIMEOUT_MS, () => request.destroy()).on('error', () => resolve(false));
  });
