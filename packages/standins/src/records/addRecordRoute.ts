import type { FastifyInstance } from 'fastify';
import type { RecordLog } from './createRecordLog.js';

/** Adds `GET /executed`: executed and received requests, and since when the server is leaving. */
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
