import { asId } from '@camphorbarrow/core';
import type {
  CustomerId,
  Fingerprint,
  HostId,
  InferenceRequest,
  RegionId,
  RequestId,
} from '@camphorbarrow/core';
import type { Arrival } from '../workload/Arrival.js';
import type { Workload } from '../workload/Workload.js';

const TOKENS_PER_BLOCK = 256;
const ENGINE_PRIORITY = { urgent: 0, patient: 10 } as const;

/** Creates the request that an entry host's listener would create from a caller's body. */
export function createBenchRequest(
  workload: Workload,
  arrival: Arrival,
  receivedAtMs: number,
  path: readonly HostId[],
): InferenceRequest {
  const { requestClass, customer } = arrival;
  if (requestClass.kind !== 'inference') {
    throw new TypeError('The arrival is not an inference request.');
  }
  const { rank, model, sharedPromptTokens, maxOutputTokens } = requestClass;
  const promptTokens = sharedPromptTokens + arrival.ownPromptTokens;
  const targets = workload.fleetDefaults.ranks[rank];
  const arrivedAtMs = arrival.atMs;
  const sharedBlocks = Math.floor(sharedPromptTokens / TOKENS_PER_BLOCK);
  const blockHashes = Array.from({ length: Math.floor(promptTokens / TOKENS_PER_BLOCK) }, (_, i) =>
    i < sharedBlocks
      ? `${requestClass.name}/${customer}/${i}`
      : `${requestClass.name}/${customer}/${i}/${arrival.index}`,
  );
  return {
    requestId: asId<RequestId>(String(arrival.index)),
    customerId: asId<CustomerId>(`customer-${customer}`),
    rank,
    homeRegionId: arrival.bound
      ? asId<RegionId>(workload.regions[arrival.regionIndex]?.name ?? '')
      : undefined,
    route: rank === 'urgent' ? 'chat/completions' : 'completions',
    model,
    streamed: true,
    body: JSON.stringify({ priority: ENGINE_PRIORITY[rank] }),
    promptTokens,
    maxOutputTokens,
    receivedAtMs,
    firstTokenDueAtMs: arrivedAtMs + Math.min(targets.firstTokenTargetMs, targets.deadlineMs),
    deadlineAtMs: arrivedAtMs + targets.deadlineMs,
    fingerprint: asId<Fingerprint>(String(arrival.index)),
    blockHashes,
    sharedParts: [],
    path,
    settings: workload.fleetDefaults,
  };
}
