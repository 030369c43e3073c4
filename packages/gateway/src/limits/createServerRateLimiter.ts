import type { Clock, HostId, ServerId } from '@camphorbarrow/core';
import type { ColdSource, ServerState } from '../model/ServerState.js';
import { createSenderSelection } from './createSenderSelection.js';
import type { SenderSet } from './createSenderSelection.js';

/** Minimum number of entry hosts that may send requests to a server with a limited rate. */
const MIN_SENDERS = 2;
/** Rate at which a server with a limit of zero is asked, so that the end of the limit is noticed. */
const MIN_REQUESTS_PER_SECOND = 0.2;

export interface ServerRateLimiterOptions {
  readonly clock: Clock;
  readonly ownId: HostId;
  /** Entry hosts of this region that are registered in the store. */
  readonly regionHosts: () => readonly HostId[];
  /** Limit that the server named for all hosts together; undefined if there is none. */
  readonly limitOf: (server: ServerState) => number | undefined;
  /** Called with each request that is sent to a server with a limited rate. */
  readonly onLimitedSend?: (send: LimitedSend) => void;
}

/** Request to a server with a limited rate, and the view of the region that permitted it. */
export interface LimitedSend {
  readonly serverId: ServerId;
  readonly limit: RateLimit;
  /** How this host knows that the server is cold; undefined if it is not. */
  readonly coldSource: ColdSource | undefined;
  /** Time for which the server stays cold, as far as this host knows; 0 if it is warm. */
  readonly coldRemainingMs: number;
  /** Hosts that may send to the server, separated by spaces. */
  readonly senders: string;
  /** Number of hosts from which the senders were selected. */
  readonly hostCount: number;
}

/** Reason for which the rate of requests to a server is limited. */
type RateLimit = 'cold' | 'named';

/** Limits the rate of requests to servers that are cold or have named a limit. */
export interface ServerRateLimiter {
  /**
   * Whether this host may send a request to the server now.
   *
   * @param coldRequestsPerSecond limit while the server is cold; 0 means none
   */
  permits(server: ServerState, coldRequestsPerSecond: number): boolean;
  /**
   * Records that a request is being sent to the server.
   *
   * @param coldRequestsPerSecond limit while the server is cold; 0 means none
   */
  recordSend(server: ServerState, coldRequestsPerSecond?: number): void;
  /** Drops the records of all other incarnations. */
  retain(incarnations: ReadonlySet<string>): void;
}

interface SharedRate {
  readonly limit: RateLimit;
  readonly requestsPerSecond: number;
  /** Number of hosts that share the rate equally. */
  readonly senders: number;
  /** Number of requests that a host may send at once after a pause. */
  readonly burst: number;
}

/** Requests arrive irregularly; without a burst, much of a named limit would stay unused. */
const LIMITED_BURST = 2;
const COLD_BURST = 1;
/** Rates of most servers, of which a choice asks for all. */
const NO_RATES: readonly SharedRate[] = [];

/**
 * Number of hosts that share a rate. One for each request a second, so that a host with an outdated view
 * that sends, too, adds at most one request in any second.
 */
const countSenders = (requestsPerSecond: number): number =>
  Math.max(MIN_SENDERS, Math.ceil(requestsPerSecond));

/**
 * Creates a limiter. All entry hosts compute the same senders for a server from the registrations in
 * the store, and each of them uses its share of the rate, so the hosts need not communicate. In any
 * period a server gets at most its rate plus one burst per sender.
 */
export function createServerRateLimiter(options: ServerRateLimiterOptions): ServerRateLimiter {
  const { clock } = options;
  /** Times of the latest sends, the latest first. */
  const sentAtMs = new Map<string, readonly number[]>();
  const selection = createSenderSelection(options);

  function ratesOf(server: ServerState, coldRequestsPerSecond: number): readonly SharedRate[] {
    const isCold = server.coldUntilMs > clock.monotonicMs() && coldRequestsPerSecond > 0;
    const limit = options.limitOf(server);
    if (!isCold && limit === undefined) {
      return NO_RATES;
    }
    return [
      ...(isCold
        ? [
            {
              limit: 'cold' as const,
              requestsPerSecond: coldRequestsPerSecond,
              senders: countSenders(coldRequestsPerSecond),
              burst: COLD_BURST,
            },
          ]
        : []),
      ...(limit === undefined
        ? []
        : [
            {
              limit: 'named' as const,
              requestsPerSecond: Math.max(MIN_REQUESTS_PER_SECOND, limit),
              senders: countSenders(limit),
              burst: LIMITED_BURST,
            },
          ]),
    ];
  }

  const selectSenders = ({ registration }: ServerState, { senders }: SharedRate): SenderSet =>
    selection.select(registration.id, senders);

  function reportSend(server: ServerState, rate: SharedRate): void {
    const { senders, candidateCount } = selectSenders(server, rate);
    options.onLimitedSend?.({
      serverId: server.registration.id,
      limit: rate.limit,
      coldSource: rate.limit === 'cold' ? server.coldSource : undefined,
      coldRemainingMs: Math.round(Math.max(0, server.coldUntilMs - clock.monotonicMs())),
      senders: senders.join(' '),
      hostCount: candidateCount,
    });
  }

  return {
    permits(server, coldRequestsPerSecond) {
      const rates = ratesOf(server, coldRequestsPerSecond);
      if (rates.length === 0) {
        return true;
      }
      const sends = sentAtMs.get(server.incarnation) ?? [];
      return rates.every((rate) => {
        const { senders, isSender } = selectSenders(server, rate);
        const intervalMs = (1_000 * senders.length) / rate.requestsPerSecond;
        const elapsedMs = clock.monotonicMs() - (sends[rate.burst - 1] ?? -Infinity);
        return isSender && elapsedMs >= rate.burst * intervalMs;
      });
    },
    recordSend(server, coldRequestsPerSecond = 0) {
      const { incarnation } = server;
      const [rate] = ratesOf(server, coldRequestsPerSecond);
      if (rate !== undefined) {
        reportSend(server, rate);
      }
      const sends = [clock.monotonicMs(), ...(sentAtMs.get(incarnation) ?? [])];
      sentAtMs.set(incarnation, sends.slice(0, Math.max(COLD_BURST, LIMITED_BURST)));
    },
    retain(incarnations) {
      selection.observe();
      // The first part of an incarnation is the server's id.
      selection.retain(new Set([...incarnations].map((each) => each.split('#')[0] ?? '')));
      [...sentAtMs.keys()]
        .filter((incarnation) => !incarnations.has(incarnation))
        .forEach((incarnation) => sentAtMs.delete(incarnation));
    },
  };
}
