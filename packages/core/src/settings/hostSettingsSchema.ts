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
  /** Address announced to callers and peers; the bound address when absent. */
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
  /** Time limit for one call to the service. */
  timeoutMs: z.int().min(1).max(60_000).default(2_000),
});

/** Schema of the settings file of one entry host. docs/settings.md documents every field. */
export const hostSettingsSchema = z.strictObject({
  host: z.strictObject({
    /** Name of the entry host, unique in the deployment. */
    hostId: name,
    /** Region that the host serves. */
    region: name,
    /** Availability zone that the host runs in. */
    availabilityZone: name,
  }),
  /** Local IP address of all outgoing connections; chosen by the operating system when absent. */
  outgoingAddress: ipAddress.optional(),
  callerListener: listener,
  peerListener: listener,
  keyValueService: platformService,
  hostList: platformService,
  clientDirectory: platformService.optional(),
  weightStore: platformService.optional(),
  /** Base URLs of peer listeners to contact while the key-value service is unavailable. */
  seedPeers: z.array(url).default([]),
  secrets: z.strictObject({
    /** Key shared by all entry hosts, for calls between them. */
    peerKey: z.string().min(16),
    /** Key of the hashes that replace requests and idempotency keys in records. */
    recordKey: z.string().min(16),
    /** Operators' keys, by operator name. */
    operatorKeys: z.record(name, z.string().min(16)).default({}),
  }),
  metrics: z
    .strictObject({
      /** IP address of the StatsD receiver. */
      address: z.union([z.ipv4(), z.ipv6()]),
      /** UDP port of the StatsD receiver. */
      port: z.int().min(1).max(65_535).default(8_125),
      /** Prefix of all metric names. */
      prefix: z.string().default('camphorbarrow.'),
    })
    .optional(),
  log: z
    .strictObject({
      /** Minimum severity of logged events. */
      level: z.enum(['debug', 'info', 'warn', 'error']).default('info'),
    })
    .prefault({}),
  drain: z
    .strictObject({
      /**
       * Time for which callers are directed to other entry hosts before new requests are rejected.
       */
      steerMs: z.int().min(0).max(600_000).default(3_000),
      /** Maximum time to wait for requests in flight; no limit when absent. */
      maxDrainMs: z.int().min(1).optional(),
    })
    .prefault({}),
});
