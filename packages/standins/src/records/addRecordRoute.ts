import type { FastifyInstance } from 'fastify';
import type { RecordLog } from './createRecordLog.js';

/**
 * Adds `GET /executed`, which returns the executed and the received requests and the time since which
 * the server has been leaving.
 */
export function addRecordRoute(app: FastifyInstance, log: RecordLog): void {
  app.get('/executed', async () => {
    const records = log.all();
    const lastState = records.findLast(({ kind }) => kind === 'leaving' || kind === 'started');
    return {
      executed: records.filter(({ kind }) => kind === 'executed'),
      arrived: records.filter(({ kind }) => kind === 'arrived'),
      leavingSinceMs: lastState?.kind === 'leaving' ? lastState.atMs : null,
    };
  });
}
