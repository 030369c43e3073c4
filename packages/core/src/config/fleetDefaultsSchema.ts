import { z } from 'zod';

const milliseconds = z.int().min(1).max(86_400_000);
const ratio = z.number().min(0).max(1);
const name = z.string().regex(/^[a-z0-9][a-z0-9._-]{0,62}$/i, 'must be a short name');

const customerSchema = z.strictObject({
  /** SHA-256 of the customer's key, hex. The key itself is never stored. */
  keySha256: z.string().regex(/^[0-9a-f]{64}$/, 'must be 64 hexadecimal digits'),
  /** Region the customer's data may not leave. */
  homeRegion: name.optional(),
});

const rankSchema = z.strictObject({
  /** Target for the first token, from the request's arrival. */
  firstTokenTargetMs: milliseconds,
  /** Target for the time between two tokens. */
  betweenTokensTargetMs: milliseconds,
  /** Deadline of the whole answer when the caller sets none. */
  deadlineMs: milliseconds,
  /** Share of requests that have to meet the targets. */
  objectiveRatio: ratio,
  /** Worth of one good answer, for reports and experiments. */
  worth: z.number().min(0).max(1000),
});

const serviceSchema = z.strictObject({
  /** Calls that may not be repeated, as "METHOD /path-prefix". All others may be repeated. */
  nonRepeatableCalls: z
    .array(z.string().regex(/^[A-Z]+ \/\S*$/, 'must look like "POST /path"'))
    .default([]),
  /** Limit for one answer of the service. */
  answerTimeoutMs: milliseconds.default(10_000),
});

/** Schema of the fleet defaults. docs/configuration.md documents every field. */
export const fleetDefaultsSchema = z.strictObject({
  customers: z.record(name, customerSchema).default({}),
  models: z
    .record(
      name,
      z.strictObject({
        /** Longest prompt the model takes. */
        maxPromptTokens: z.int().positive().default(131_072),
        /** Name of the model's weights in the weight store; engines are left alone without it. */
        weights: z.string().min(1).optional(),
        /** Engines that serve the model in each region. */
        serversPerRegion: z.int().min(0).max(10_000).default(1),
      }),
    )
    .default({}),
  services: z.record(name, serviceSchema).default({}),
  routeRanks: z
    .strictObject({
      /** Rank of chat completions whose caller names none. */
      'chat/completions': z.enum(['urgent', 'patient']).default('urgent'),
      /** Rank of completions whose caller names none. */
      completions: z.enum(['urgent', 'patient']).default('patient'),
    })
    .prefault({}),
  ranks: z
    .strictObject({
      urgent: rankSchema.default({
        firstTokenTargetMs: 1_700,
        betweenTokensTargetMs: 27,
        deadlineMs: 10_000,
        objectiveRatio: 0.95,
        worth: 1,
      }),
      patient: rankSchema.default({
        firstTokenTargetMs: 30_000,
        betweenTokensTargetMs: 100,
        deadlineMs: 300_000,
        objectiveRatio: 0.95,
        worth: 1,
      }),
    })
    .prefault({}),
  admission: z
    .strictObject({
      /** Bound of the queue of one rank at one entry host. */
      maxQueuedRequests: z.int().min(1).max(100_000).default(512),
      /** Bound of the queue of one rank at one entry host, in prompt and output tokens. */
      maxQueuedTokens: z.int().min(1).max(1_000_000_000).default(4_000_000),
      /** Share of dispatches the patient rank keeps while urgent work waits. */
      patientMinimumShareRatio: ratio.default(0.1),
      /** Service calls in flight at one entry host. */
      maxServiceCalls: z.int().min(1).max(100_000).default(256),
      /** Largest request body. */
      maxBodyBytes: z.int().min(1024).max(268_435_456).default(8_388_608),
    })
    .prefault({}),
  routing: z
    .strictObject({
      /** Requests that are not bound to a region may be served in another one. */
      spillEnabled: z.boolean().default(true),
      /** Least gain in time to first token for which a request goes to another region. */
      spillMinimumGainMs: milliseconds.default(500),
    })
    .prefault({}),
  retry: z
    .strictObject({
      /** Attempts for one request, the first one included. */
      maxAttempts: z.int().min(1).max(10).default(3),
      /** Retries allowed per first attempt. */
      budgetRatio: ratio.default(0.1),
      /** Retries per second that are allowed whatever the number of first attempts. */
      minimumRetriesPerSecond: z.number().min(0).max(1000).default(1),
    })
    .prefault({}),
  timeouts: z
    .strictObject({
      /** Limit for opening a connection to a backend server. */
      connectTimeoutMs: milliseconds.default(1_000),
      /** Longest silence of an engine before the attempt is aborted. */
      progressTimeoutMs: milliseconds.default(10_000),
      /** Limit for reading a caller's request body. */
      bodyTimeoutMs: milliseconds.default(15_000),
    })
    .prefault({}),
  engineOrders: z
    .strictObject({
      /** Servers whose engines take an order with an old fencing token. */
      serversIgnoringFencing: z.array(name).default([]),
    })
    .prefault({}),
  quarantine: z
    .strictObject({
      /** Server crashes after which a request is refused. */
      crashLimit: z.int().min(1).max(10).default(2),
      /** Time for which such a request is refused. */
      holdMs: milliseconds.default(600_000),
    })
    .prefault({}),
});
