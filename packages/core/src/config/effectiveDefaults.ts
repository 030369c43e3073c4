import type { CustomerId } from '../ids/CustomerId.js';
import type { RegionId } from '../ids/RegionId.js';
import type { Rank } from '../requests/Rank.js';
import type { FleetDefaults } from './FleetDefaults.js';
import type { FleetDocument } from './FleetDocument.js';

/** Properties of a request and its entry host that exceptions are matched against. */
export interface ExceptionTarget {
  readonly customerId: CustomerId;
  readonly regionId: RegionId;
  readonly rank: Rank | undefined;
}

type Exception = FleetDocument['exceptions'][number];

function applies({ scope, expiresAt }: Exception, target: ExceptionTarget, nowMs: number): boolean {
  return (
    (scope.customer === undefined || scope.customer === target.customerId) &&
    (scope.region === undefined || scope.region === target.regionId) &&
    (scope.rank === undefined || scope.rank === target.rank) &&
    (expiresAt === undefined || Date.parse(expiresAt) > nowMs)
  );
}

function merge(defaults: FleetDefaults, { set }: Exception): FleetDefaults {
  return {
    ...defaults,
    admission: { ...defaults.admission, ...set.admission },
    routing: { ...defaults.routing, ...set.routing },
    retry: { ...defaults.retry, ...set.retry },
    timeouts: { ...defaults.timeouts, ...set.timeouts },
    quarantine: { ...defaults.quarantine, ...set.quarantine },
  } as FleetDefaults;
}

/**
 * Fleet defaults with all matching exceptions applied; later exceptions override earlier ones.
 * `nowMs` is the wall-clock time against which expiry is checked.
 */
export function effectiveDefaults(
  document: FleetDocument,
  target: ExceptionTarget,
  nowMs: number,
): FleetDefaults {
  return document.exceptions
    .filter((exception) => applies(exception, target, nowMs))
    .reduce(merge, document.defaults);
}
