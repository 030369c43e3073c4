import { fleetDefaultsSchema } from '@camphorbarrow/core';
import { z } from 'zod';

const name = z.string().min(1);
const duration = z.number().min(0);
const count = z.int().min(0);

const regionSchema = z.strictObject({
  name,
  engines: count,
  orderingServers: count,
  entryHosts: z.int().min(1),
  /** Share of the deployment's requests that arrive in this region; shares are normalized. */
  share: z.number().positive(),
  /** Time at which the region's request rate peaks. */
  peakAtMs: duration,
});

const engineSchema = z.strictObject({
  maxConcurrentRequests: z.int().min(1),
  /** Requests that may wait in the engine; further requests receive status 429. */
  maxWaitingRequests: count,
  /** Duration of a batch step without any request. */
  stepMs: z.number().positive(),
  /** Additional duration of a step per decoding request. */
  stepMsPerRequest: z.number().min(0),
  prefillTokensPerSecond: z.number().positive(),
  /** Maximum number of prompt tokens that are prefilled in one step. */
  prefillChunkTokens: z.int().min(1),
  /** Capacity of the prefix cache in blocks of 256 tokens; the least recently used are evicted. */
  cacheBlocks: count,
  /** Age of the values in a load report. */
  loadLagMs: duration,
  /** Delay after which a cache event can be read. */
  cacheEventLagMs: duration,
  /** Share of cache events that are lost. */
  cacheEventLossRatio: z.number().min(0).max(1),
});

const orderingSchema = z.strictObject({
  maxConcurrentCalls: z.int().min(1),
  serviceMs: z.number().positive(),
});

const linkSchema = z.strictObject({
  /** Delay between regions, one way. */
  oneWayMs: duration,
  /** Bandwidth of each direction between two regions, shared by all traffic. */
  bitsPerSecond: z.number().positive(),
  /** Delay between availability zones, one way. */
  zoneOneWayMs: duration,
  /** Delay between caller and entry host, one way. */
  callerOneWayMs: duration,
});

const tokens = z.strictObject({ min: z.int().min(1), max: z.int().min(1) });

const inferenceClassSchema = z.strictObject({
  kind: z.literal('inference'),
  name,
  rank: z.enum(['urgent', 'patient']),
  /** Requests per second of the whole deployment outside the peaks. */
  requestsPerSecond: z.number().min(0),
  model: name,
  /** Tokens of the prompt prefix that requests of one customer share. */
  sharedPromptTokens: count,
  ownPromptTokens: tokens,
  outputTokens: tokens,
  /** Output limit that callers send. Should be at least `outputTokens.max`; this is not checked. */
  maxOutputTokens: z.int().min(1),
});

const serviceClassSchema = z.strictObject({
  kind: z.literal('service'),
  name,
  requestsPerSecond: z.number().min(0),
  method: z.enum(['GET', 'POST']),
  path: z.string().startsWith('/'),
  /** Time after which a caller gives up. */
  deadlineMs: duration,
});

const window = { fromMs: duration, toMs: duration };

const floodSchema = z.strictObject({
  ...window,
  className: name,
  /** Factor by which the request rate of the class is multiplied. */
  factor: z.number().min(0),
  /** Number of customers that send the flood; all customers when absent. */
  customers: z.int().min(1).optional(),
});

const faultSchema = z.discriminatedUnion('kind', [
  z.strictObject({ kind: z.literal('region-cut'), region: name, ...window }),
  z.strictObject({ kind: z.literal('server-loss'), serverId: name, ...window }),
  z.strictObject({ kind: z.literal('store-outage'), ...window }),
  z.strictObject({ kind: z.literal('all-attempts-fail'), ...window }),
]);

/** Schema of a workload file; docs/bench.md describes every field. */
export const workloadSchema = z.strictObject({
  name,
  durationMs: z.number().positive(),
  /** Requests that arrive earlier are served but not counted. */
  warmUpMs: duration,
  regions: z.array(regionSchema).min(1),
  engine: engineSchema,
  ordering: orderingSchema,
  link: linkSchema,
  customers: z.strictObject({
    count: z.int().min(1),
    /** Exponent of the Zipf distribution of requests over customers; 0 means uniform. */
    skew: z.number().min(0),
    /** Share of requests bound to the region they arrive in. */
    boundRatio: z.number().min(0).max(1),
  }),
  peak: z.strictObject({
    /** Factor by which the request rate is multiplied at the middle of a peak. */
    factor: z.number().min(1),
    /** Standard deviation of the Gaussian shape of a peak. */
    widthMs: z.number().positive(),
  }),
  classes: z.array(z.discriminatedUnion('kind', [inferenceClassSchema, serviceClassSchema])).min(1),
  cases: z.record(
    name,
    z.strictObject({
      floods: z.array(floodSchema).default([]),
      faults: z.array(faultSchema).default([]),
    }),
  ),
  /** Fleet defaults of the deployment, as in its configuration document. */
  fleetDefaults: fleetDefaultsSchema,
});
