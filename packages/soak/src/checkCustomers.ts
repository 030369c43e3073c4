import type { Arrival } from './Arrival.js';
import type { CallRecord } from './CallRecord.js';
import { CUSTOMER_HOME, soakCustomers } from './soakCustomers.js';
import type { Violation } from './Violation.js';

/** Prefix of the route that needs a key. */
export const CUSTOMER_PATH = '/customer/';
const UNAUTHENTICATED_STATUS = 401;

const homedNames: ReadonlySet<string | undefined> = new Set(
  soakCustomers.flatMap((customer) => ('home_regions' in customer ? [customer.name] : [])),
);

export interface CustomerEvidence {
  readonly calls: readonly CallRecord[];
  readonly arrivals: readonly Arrival[];
}

/** Checks that servers get the customer's name in place of its key, and only in its regions. */
function checkArrival(call: CallRecord, arrival: Arrival): Violation[] {
  const { attemptId, customer, zone, showsKey } = arrival;
  const violations: Violation[] = [];
  if (call.customer === undefined || customer !== call.customer || showsKey) {
    violations.push({
      promise: 'customer',
      detail: `${attemptId} of ${call.customer ?? 'nobody'} ran for ${customer ?? 'nobody'}${showsKey === true ? ' and showed its key' : ''}`,
    });
  }
  if (homedNames.has(call.customer) && !zone.startsWith(CUSTOMER_HOME)) {
    violations.push({ promise: 'home', detail: `${attemptId} ran in ${zone}` });
  }
  return violations;
}

/** Checks requests on the route that needs a key. */
export function checkCustomers({ calls, arrivals }: CustomerEvidence): Violation[] {
  const keyedCalls = calls.filter(({ kind }) => kind === 'customer');
  const callOf = new Map(keyedCalls.map((call) => [call.attemptId, call]));
  const rejected = keyedCalls
    .filter(({ customer, status }) =>
      customer === undefined ? status === 200 : status === UNAUTHENTICATED_STATUS,
    )
    .map(({ attemptId, customer, status }): Violation => ({
      promise: 'customer',
      detail: `${attemptId} of ${customer ?? 'nobody'} got ${String(status)}`,
    }));
  const ran = arrivals
    .filter(({ target }) => target.startsWith(CUSTOMER_PATH))
    .flatMap((arrival) => {
      const call = callOf.get(arrival.attemptId);
      return call === undefined ? [] : checkArrival(call, arrival);
    });
  return [...rejected, ...ran];
}
