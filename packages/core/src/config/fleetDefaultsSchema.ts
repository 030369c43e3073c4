import { z } from 'zod';

const milliseconds = z.int().min(1).max(86_400_000);
const ratio = z.number().min(0).max(1);
const name = z.string().regex(/^[a-z0-9][a-z0-9._-]{0,62}$/i, 'must be a short name');

const customerSchema = z.strictObject({
  /** SHA-256 hash of the customer's key, in hexadecimal. The key itself is never stored. */
  keySha256: z.string().regex(/^[0-9a-f]{64}$/, 'must be 64 hexadecimal digits'),
  /** Region that the customer's data must not leave. */
  homeRegion: name.optional(),
});

const rankSchema = z.strictObject({
  /** Target for the time from the arrival of a request to its first token. */
  firstTokenTargetMs: milliseconds,
  /** Target for the time between two consecutive tokens. */
  betweenTokensTargetMs: milliseconds,
  /** Deadline for the complete response when the caller sets none. */
  deadlineMs: milliseconds,
  /** Share of requests that must meet the targets. */
  objectiveRatio: ratio,
  /** Weight of one good response in reports and experiments. */
  worth: z.number().min(0).max(1000),
});

const serviceSchema = z.strictObject({
  /**
   * Calls that must not be repeated, each as "METHOD /path-prefix". All other calls may be
   * repeated.
   */
  nonRepeatableCalls: z
    .array(z.string().regex(/^[A-Z]+ \/\S*$/, 'must look like "POST /path"'))
    .default([]),
  /** Time limit for one response of the service. */
  answerTimeoutMs: milliseconds.default(10_000),
});

/** Schema of the fleet defaults. docs/configuration.md documents every field. */
export const fleetDefaultsSchema = z.strictObject({
  customers: z.record(name, customerSchema).default({}),
  models: z
    .record(
      name,
      z.strictObject({
        /** Longest prompt that the model accepts. */
        maxPromptTokens: z.int().positive().default(131_072),
        /**
         * Name of the model's weights in the weight store. Without it, entry hosts neither load nor
         * unload the model.
         */
        weights: z.string().min(1).optional(),
        /** Number of engines that serve the model in each region. */
        serversPerRegion: z.int().min(0).max(10_000).default(1),
      }),
    )
    .default({}),
  services: z.record(name, serviceSchema).default({}),
  routeRanks: z
    .strictObject({
      /** Rank of chat completions when the caller sets none. */
      'chat/completions': z.enum(['urgent', 'patient']).default('urgent'),
      /** Rank of completions when the caller sets none. */
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
      /** Maximum length of the queue of one rank at one entry host. */
      maxQueuedRequests: z.int().min(1).max(100_000).default(512),
      /** Maximum number of prompt and output tokens in the queue of one rank at one entry host. */
      maxQueuedTokens: z.int().min(1).max(1_000_000_000).default(4_000_000),
      /** Minimum share of dispatches for the patient rank while urgent requests are waiting. */
      patientMinimumShareRatio: ratio.default(0.1),
      /** Maximum number of service calls in flight at one entry host. */
      maxServiceCalls: z.int().min(1).max(100_000).default(256),
      /** Maximum size of a request body. */
      maxBodyBytes: z.int().min(1024).max(268_435_456).default(8_388_608),
    })
    .prefault({}),
  routing: z
    .strictObject({
      /** Whether requests that are not bound to a region may be served in another region. */
      spillEnabled: z.boolean().default(true),
      /**
       * Minimum reduction of the time to first token for which a request is sent to another region.
       */
      spillMinimumGainMs: milliseconds.default(500),
    })
    .prefault({}),
  retry: z
    .strictObject({
      /** Maximum number of attempts for one request, including the first one. */
      maxAttempts: z.int().min(1).max(10).default(3),
      /** Number of retries allowed per first attempt. */
      budgetRatio: ratio.default(0.1),
      /** Retries per second that are allowed regardless of the number of first attempts. */
      minimumRetriesPerSecond: z.number().min(0).max(1000).default(1),
    })
    .prefault({}),
  timeouts: z
    .strictObject({
      /** Time limit for opening a connection to a backend server. */
      connectTimeoutMs: milliseconds.default(1_000),
      /** Maximum time without data from an engine before the attempt is aborted. */
      progressTimeoutMs: milliseconds.default(10_000),
      /** Time limit for receiving a caller's request body. */
      bodyTimeoutMs: milliseconds.default(15_000),
    })
    .prefault({}),
  engineOrders: z
    .strictObject({
      /** Servers whose engines accept an order with an outdated fencing token. */
      serversIgnoringFencing: z.array(name).default([]),
    })
    .prefault({}),
  quarantine: z
    .strictObject({
      /** Number of server crashes attributed to a request after which it is rejected. */
      crashLimit: z.int().min(1).max(10).default(2),
      /** Time for which such a request is rejected. */
      holdMs: milliseconds.default(600_000),
    })
    .prefault({}),
});
