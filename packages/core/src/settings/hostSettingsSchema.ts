import { z } from 'zod';

const name = z.string().regex(/^[a-z0-9][a-z0-9._-]{0,62}$/i, 'must be a short name');
const url = z.url({ protocol: /^https?$/ });
const ipAddress = z.union([z.ipv4(), z.ipv6()]);
const port = z.int().min(1).max(65_535);
const listener = z.strictObject({
  /** IP address to bind. */
  address: ipAddress,
  /** TCP port to bind. */
  port,
  /** Address that callers and peers are told; the bound one when absent. */
  announce: z
    .strictObject({
      /** IP address to announce. */
      address: ipAddress,
      /** TCP port to announce. */
      port,
    })
    .optional(),
});

const platformService = z.strictObject({
  /** Base URL of the service, with an IP address. */
  url,
  /** Limit for one call to the service. */
  timeoutMs: z.int().min(1).max(60_000).default(2_000),
});

/** Schema of the settings file of one entry host. docs/settings.md documents every field. */
export const hostSettingsSchema = z.strictObject({
  host: z.strictObject({
    /** Name of the entry host, unique in the deployment. */
    hostId: name,
    /** Region the host serves. */
    region: name,
    /** Availability zone the host runs in. */
    availabilityZone: name,
  }),
  /** Local IP address of all outgoing connections; the system chooses when absent. */
  outgoingAddress: ipAddress.optional(),
  callerListener: listener,
  peerListener: listener,
  keyValueService: platformService,
  hostList: platformService,
  clientDirectory: platformService.optional(),
  weightStore: platformService.optional(),
  /** Peer listeners asked while the key-value service is unavailable. */
  seedPeers: z.array(url).default([]),
  secrets: z.strictObject({
    /** Shared key of all entry hosts. */
    peerKey: z.string().min(16),
    /** Key of the hashes that stand for requests and idempotency keys in records. */
    recordKey: z.string().min(16),
    /** Operators' keys by operator name. */
    operatorKeys: z.record(name, z.string().min(16)).default({}),
  }),
  metrics: z
    .strictObject({
      /** IP address of the StatsD receiver. */
      address: z.union([z.ipv4(), z.ipv6()]),
      /** UDP port of the StatsD receiver. */
      port: z.int().min(1).max(65_535).default(8_125),
      /** Prefix of the names of all metrics. */
      prefix: z.string().default('camphorbarrow.'),
    })
    .optional(),
  log: z
    .strictObject({
      /** Least severe events that are logged. */
      level: z.enum(['debug', 'info', 'warn', 'error']).default('info'),
    })
    .prefault({}),
  drain: z
    .strictObject({
      /** Time in which callers are steered to other entry hosts before new requests are refused. */
      steerMs: z.int().min(0).max(600_000).default(3_000),
      /** Hard limit for requests in flight; none when absent. */
      maxDrainMs: z.int().min(1).optional(),
    })
    .prefault({}),
});
