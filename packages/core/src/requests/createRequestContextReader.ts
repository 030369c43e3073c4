import { createHash, randomUUID } from 'node:crypto';
import type { FleetDefaults } from '../config/FleetDefaults.js';
import type { FleetDocument } from '../config/FleetDocument.js';
import { effectiveDefaults } from '../config/effectiveDefaults.js';
import { InvalidHeaderError } from '../errors/InvalidHeaderError.js';
import { LoopDetectedError } from '../errors/LoopDetectedError.js';
import { PeerMismatchError } from '../errors/PeerMismatchError.js';
import { UnauthenticatedError } from '../errors/UnauthenticatedError.js';
import { UnknownRegionError } from '../errors/UnknownRegionError.js';
import { WrongRegionError } from '../errors/WrongRegionError.js';
import type { CustomerId } from '../ids/CustomerId.js';
import type { HostId } from '../ids/HostId.js';
import type { RegionId } from '../ids/RegionId.js';
import type { RequestId } from '../ids/RequestId.js';
import { asId } from '../ids/asId.js';
import type { Clock } from '../ports/Clock.js';
import type { RequestContext } from './RequestContext.js';
import type { Headers } from './Headers.js';
import type { Rank } from './Rank.js';
import { headerNames } from './headerNames.js';
import { singleHeader } from './singleHeader.js';

const MAX_DEADLINE_MS = 3_600_000;
const MAX_IDEMPOTENCY_KEY_LENGTH = 255;
/** Entry hosts that a request may visit, including this one. */
const MAX_PATH_HOSTS = 2;
const HOST_ID = /^[a-z0-9][a-z0-9._-]{0,62}$/i;
const REQUEST_ID = /^[\w-]{1,64}$/;

export interface RequestContextReaderOptions {
  readonly clock: Clock;
  readonly hostId: HostId;
  readonly regionId: RegionId;
  /** Current fleet configuration; throws NoConfigurationError when there is none. */
  readonly configuration: () => FleetDocument;
  /** Regions known from the host list and from the peers. */
  readonly knownRegions: () => ReadonlySet<RegionId>;
  /** Base URLs of a region's entry hosts, best first. */
  readonly entryHostUrls: (regionId: RegionId) => readonly string[];
}

export interface RequestContextReader {
  /** Reads and authenticates the headers of a caller's request. */
  readCallerRequest(headers: Headers): RequestContext;
  /** Reads the headers of a request that an already authenticated peer forwarded. */
  readForwardedRequest(headers: Headers): RequestContext;
}

function readRank(headers: Headers): Rank | undefined {
  const value = singleHeader(headers, headerNames.rank);
  if (value === undefined || value === 'urgent' || value === 'patient') {
    return value;
  }
  throw new InvalidHeaderError(`Header ${headerNames.rank} must be "urgent" or "patient".`);
}

function readDeadlineMs(headers: Headers): number | undefined {
  const value = singleHeader(headers, headerNames.deadline);
  if (value === undefined) {
    return undefined;
  }
  const deadlineMs = /^\d{1,8}$/.test(value) ? Number(value) : 0;
  if (deadlineMs < 1 || deadlineMs > MAX_DEADLINE_MS) {
    throw new InvalidHeaderError(
      `Header ${headerNames.deadline} must be a whole number of milliseconds from 1 to ${MAX_DEADLINE_MS}.`,
    );
  }
  return deadlineMs;
}

function readIdempotencyKey(headers: Headers): string | undefined {
  const value = singleHeader(headers, headerNames.idempotencyKey);
  if (value !== undefined && value.length > MAX_IDEMPOTENCY_KEY_LENGTH) {
    throw new InvalidHeaderError(
      `Header ${headerNames.idempotencyKey} must have at most ${MAX_IDEMPOTENCY_KEY_LENGTH} characters.`,
    );
  }
  return value;
}

/**
 * Creates the reader that authenticates requests and rejects those that are bound to another
 * region.
 */
export function createRequestContextReader(
  options: RequestContextReaderOptions,
): RequestContextReader {
  function authenticate(headers: Headers, document: FleetDocument): CustomerId {
    const authorization = singleHeader(headers, headerNames.authorization);
    const key = /^Bearer (.+)$/i.exec(authorization ?? '')?.[1];
    if (key === undefined) {
      throw new UnauthenticatedError('Send the customer key as "Authorization: Bearer <key>".');
    }
    const keySha256 = createHash('sha256').update(key).digest('hex');
    const customerId = document.customerByKeySha256.get(keySha256);
    if (customerId === undefined) {
      throw new UnauthenticatedError('The customer key is unknown.');
    }
    return customerId;
  }

  function readHomeRegion(
    headers: Headers,
    document: FleetDocument,
    customerId: CustomerId,
  ): RegionId | undefined {
    const configured = document.defaults.customers[customerId]?.homeRegion;
    const value = singleHeader(headers, headerNames.homeRegion);
    if (value === undefined) {
      return configured === undefined ? undefined : asId<RegionId>(configured);
    }
    if (configured !== undefined && configured !== value) {
      throw new InvalidHeaderError(
        `The customer's data is bound to region ${configured}; header ${headerNames.homeRegion} specifies another.`,
      );
    }
    const regionId = asId<RegionId>(value);
    if (regionId !== options.regionId && !options.knownRegions().has(regionId)) {
      throw new UnknownRegionError(`Header ${headerNames.homeRegion} specifies an unknown region.`);
    }
    return regionId;
  }

  function requireHomeRegion(homeRegionId: RegionId | undefined): void {
    if (homeRegionId === undefined || homeRegionId === options.regionId) {
      return;
    }
    throw new WrongRegionError(
      `The request is bound to region ${homeRegionId}; this entry host is in ${options.regionId}.`,
      {
        props: {
          details: {
            homeRegion: homeRegionId,
            entryHostUrls: options.entryHostUrls(homeRegionId),
          },
        },
      },
    );
  }

  function readContext(
    headers: Headers,
    document: FleetDocument,
    customerId: CustomerId,
    path: readonly HostId[],
    requestId: string,
  ): RequestContext {
    const homeRegionId = readHomeRegion(headers, document, customerId);
    requireHomeRegion(homeRegionId);
    const rank = readRank(headers);
    const settingsFor = (scopeRank: Rank | undefined): FleetDefaults =>
      effectiveDefaults(
        document,
        { customerId, regionId: options.regionId, rank: scopeRank },
        options.clock.nowMs(),
      );
    return {
      requestId: asId<RequestId>(requestId),
      customerId,
      homeRegionId,
      rank,
      deadlineMs: readDeadlineMs(headers),
      idempotencyKey: readIdempotencyKey(headers),
      path,
      receivedAtMs: options.clock.monotonicMs(),
      settings: settingsFor(rank),
      settingsForRank: settingsFor,
    };
  }

  function readPath(headers: Headers): readonly HostId[] {
    const value = singleHeader(headers, headerNames.path) ?? '';
    const path = value.split(',').map((hostId) => asId<HostId>(hostId.trim()));
    if (!path.every((hostId) => HOST_ID.test(hostId))) {
      throw new InvalidHeaderError(
        `Header ${headerNames.path} must be a comma-separated list of entry host ids.`,
      );
    }
    if (path.includes(options.hostId)) {
      throw new LoopDetectedError(`The request has already visited ${options.hostId}.`);
    }
    if (path.length >= MAX_PATH_HOSTS) {
      throw new LoopDetectedError(`The request has visited ${path.length} entry hosts already.`);
    }
    return path;
  }

  function requireTargetRegion(headers: Headers): void {
    const target = singleHeader(headers, headerNames.targetRegion);
    if (target !== options.regionId) {
      throw new PeerMismatchError(`This entry host is in region ${options.regionId}.`);
    }
  }

  function readRequestId(headers: Headers): string {
    const value = singleHeader(headers, headerNames.requestId) ?? '';
    if (!REQUEST_ID.test(value)) {
      throw new InvalidHeaderError(`Header ${headerNames.requestId} is missing or malformed.`);
    }
    return value;
  }

  return {
    // Headers used between entry hosts are ignored here, so that callers cannot set them.
    readCallerRequest(headers) {
      const document = options.configuration();
      return readContext(headers, document, authenticate(headers, document), [], randomUUID());
    },
    readForwardedRequest(headers) {
      const document = options.configuration();
      const path = readPath(headers);
      requireTargetRegion(headers);
      const customerId = asId<CustomerId>(singleHeader(headers, headerNames.customer) ?? '');
      if (!Object.hasOwn(document.defaults.customers, customerId)) {
        throw new UnauthenticatedError('The customer of the forwarded request is unknown.');
      }
      return readContext(headers, document, customerId, path, readRequestId(headers));
    },
  };
}
