import {
  asId,
  createRequestContextReader,
  createFleetDocument,
  createInferenceRequest,
  createSystemClock,
  fleetDocumentSchema,
} from '@camphorbarrow/core';
import { createHash } from 'node:crypto';
import type { CallerApi } from '../../src/callers/CallerApi.js';
import { createCallerListener } from '../../src/callers/createCallerListener.js';
import type { CallerListener } from '../../src/callers/createCallerListener.js';

/** Text that no response may contain. */
export const MARKER = 'pelican-jug-7731';
const document = createFleetDocument(
  fleetDocumentSchema.parse({
    version: 1,
    changeId: 'initial',
    defaults: {
      customers: { workshop: { keySha256: createHash('sha256').update('key').digest('hex') } },
      models: { small: { maxPromptTokens: 100 } },
      admission: { maxBodyBytes: 2048 },
      timeouts: { bodyTimeoutMs: 300 },
    },
  }),
);
const reader = createRequestContextReader({
  clock: { nowMs: () => 0, monotonicMs: () => 0, sleep: async () => {} },
  hostId: asId('costa-1'),
  regionId: asId('costa'),
  configuration: () => document,
  knownRegions: () => new Set([asId('costa')]),
  entryHostUrls: () => [],
});
const api: CallerApi = {
  readCallerRequest: reader.readCallerRequest,
  async infer(context, route, body) {
    createInferenceRequest(context, route, body, 'record-key');
    return { kind: 'plain', statusCode: 200, body: '{}' };
  },
  callService: () => Promise.reject(new Error(MARKER)),
  issueOrderPermits: () => ({ permits: [], validForMs: 1 }),
  models: () => ['small'],
  entryHosts: () => ({ region: 'costa', entryHostUrls: [], validForMs: 1 }),
  requireAccepting: () => undefined,
  readiness: () => ({ ready: true, reason: 'live' }),
};

/** Starts a caller listener that rejects prompts and bodies of more than a few bytes. */
export function startStrictListener(port: number): Promise<CallerListener> {
  return createCallerListener({
    clock: createSystemClock(),
    address: '127.0.0.1',
    port,
    api,
    maxBodyBytes: 1_000_000,
    requestTimeoutMs: 15_000,
  });
}
