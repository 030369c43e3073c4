import { BackendFailedError } from '../errors/BackendFailedError.js';
import { ConnectFailedError } from '../errors/ConnectFailedError.js';
import { RequestError } from '../errors/RequestError.js';
import type { HostId } from '../ids/HostId.js';
import type { RegionId } from '../ids/RegionId.js';
import type { Clock } from '../ports/Clock.js';
import type { ForwardAnswer, ForwardClient, ForwardRefusal } from '../ports/ForwardClient.js';
import type { LogSink } from '../ports/LogSink.js';
import type { MetricsSink } from '../ports/MetricsSink.js';
import type { RandomSource } from '../ports/RandomSource.js';
import type { InferenceRequest } from '../requests/InferenceRequest.js';
import type { RegionView } from '../routing/spill/RegionView.js';
import type { LocalEstimate } from '../routing/spill/SpillPolicy.js';
import type { SpillDecider } from '../routing/spill/createSpillDecider.js';
import type { InferenceAnswer } from './InferenceAnswer.js';
import type { InferenceGateway } from './createInferenceGateway.js';
import { requireCompleteStream } from './requireCompleteStream.js';

export interface SpillGatewayOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: LogSink;
  readonly metrics: MetricsSink;
  readonly hostId: HostId;
  /** Serves requests in the own region. */
  readonly local: InferenceGateway;
  readonly forwardClient: ForwardClient;
  readonly decider: SpillDecider;
  readonly estimateLocal: (request: InferenceRequest) => LocalEstimate;
}

/** Regions asked for one request; each forward is a single hop from this host. */
const MAX_FORWARDS = 2;
/** Refusals as not run after which another region may still serve the request. */
const CAPACITY_CODES = new Set(['backend-failed', 'no-server', 'overloaded']);
/**
 * Refusals that depend on the peer. `wrong-region` is none of them: the peer knows a home region
 * that this host has not heard of yet, so the request must go nowhere else.
 */
const RETRYABLE_CODES = new Set([
  ...CAPACITY_CODES,
  'draining',
  'loop-detected',
  'no-configuration',
  'peer-mismatch',
  'unauthenticated',
  'unknown-model',
]);

function isRetryable(refusal: ForwardRefusal): boolean {
  return refusal.outcome === 'not-run' && RETRYABLE_CODES.has(refusal.code);
}

function toRequestError(refusal: ForwardRefusal): RequestError {
  const { statusCode, code, outcome, retryAfterMs, details, message } = refusal;
  return new RequestError(message, { props: { statusCode, code, outcome, retryAfterMs, details } });
}

function isCapacityRefusal(error: unknown): boolean {
  return (
    error instanceof RequestError && error.outcome === 'not-run' && CAPACITY_CODES.has(error.code)
  );
}

async function* endWith(
  events: AsyncIterable<string>,
  onEnd: () => void,
): AsyncGenerator<string, void> {
  try {
    yield* events;
  } finally {
    onEnd();
  }
}

/**
 * Creates a gateway that forwards a request to another region when that pays, and otherwise serves
 * it locally. A request that is bound to a home region or was forwarded already is served locally.
 */
export function createSpillGateway(options: SpillGatewayOptions): InferenceGateway {
  const { clock, decider, log, metrics } = options;

  function startForward(
    request: InferenceRequest,
    view: RegionView,
    signal: AbortSignal,
  ): Promise<ForwardAnswer> {
    const index = Math.floor(options.random.next() * view.peerUrls.length);
    const { connectTimeoutMs, progressTimeoutMs } = request.settings.timeouts;
    return options.forwardClient.start(
      {
        peerUrl: view.peerUrls[index] ?? '',
        regionId: view.regionId,
        route: request.route,
        body: request.body,
        requestId: request.requestId,
        customerId: request.customerId,
        rank: request.rank,
        path: [...request.path, options.hostId],
        remainingMs: Math.max(1, Math.floor(request.deadlineAtMs - clock.monotonicMs())),
        connectTimeoutMs,
        progressTimeoutMs,
        streamed: request.streamed,
      },
      signal,
    );
  }

  /** Undefined when the other region has certainly not run the request. */
  async function forward(
    request: InferenceRequest,
    view: RegionView,
    signal: AbortSignal,
  ): Promise<InferenceAnswer | undefined> {
    const { regionId } = view;
    const { requestId } = request;
    let answer: ForwardAnswer;
    try {
      answer = await startForward(request, view, signal);
    } catch (cause) {
      signal.throwIfAborted();
      log.warn('forward-failed', { requestId, regionId, error: String(cause) });
      decider.recordRefusal(regionId, request.model, clock.monotonicMs());
      if (cause instanceof ConnectFailedError) {
        metrics.increment('forward', { regionId, result: 'not-connected' });
        return undefined;
      }
      metrics.increment('forward', { regionId, result: 'broken' });
      throw new BackendFailedError('The other region did not answer.');
    }
    if (answer.kind === 'refused') {
      log.info('forward-refused', { requestId, regionId, code: answer.code });
      metrics.increment('forward', { regionId, result: 'refused' });
      if (!isRetryable(answer)) {
        throw toRequestError(answer);
      }
      decider.recordRefusal(regionId, request.model, clock.monotonicMs());
      return undefined;
    }
    log.info('forwarded', { requestId, regionId });
    metrics.increment('forward', { regionId, result: 'served' });
    return answer.kind === 'plain'
      ? answer
      : { kind: 'stream', events: requireCompleteStream(answer.events) };
  }

  /** Forwards the request and frees its share of the region when the answer has ended. */
  async function forwardWithinShare(
    request: InferenceRequest,
    view: RegionView,
    signal: AbortSignal,
  ): Promise<InferenceAnswer | undefined> {
    let answer: InferenceAnswer | undefined;
    try {
      answer = await forward(request, view, signal);
    } finally {
      if (answer?.kind !== 'stream') {
        decider.recordEnd(view.regionId);
      }
    }
    return answer?.kind === 'stream'
      ? { kind: 'stream', events: endWith(answer.events, () => decider.recordEnd(view.regionId)) }
      : answer;
  }

  /** Asks other regions while that pays; undefined when the own region should serve. */
  async function forwardWhileItPays(
    request: InferenceRequest,
    tried: Set<RegionId>,
    estimate: () => LocalEstimate,
    signal: AbortSignal,
  ): Promise<InferenceAnswer | undefined> {
    while (tried.size < MAX_FORWARDS) {
      const nowMs = clock.monotonicMs();
      const view = decider.decide({ request, nowMs, local: estimate(), tried });
      if (view === undefined) {
        return undefined;
      }
      tried.add(view.regionId);
      const answer = await forwardWithinShare(request, view, signal);
      if (answer !== undefined) {
        return answer;
      }
    }
    return undefined;
  }

  return {
    async handle(request, signal) {
      if (request.homeRegionId !== undefined || request.path.length > 0) {
        return options.local.handle(request, signal);
      }
      const tried = new Set<RegionId>();
      const estimate = (): LocalEstimate => options.estimateLocal(request);
      const forwarded = await forwardWhileItPays(request, tried, estimate, signal);
      if (forwarded !== undefined) {
        return forwarded;
      }
      try {
        return await options.local.handle(request, signal);
      } catch (error) {
        if (!isCapacityRefusal(error)) {
          throw error;
        }
        const refused = (): LocalEstimate => ({ ...estimate(), firstTokenMs: Infinity });
        const answer = await forwardWhileItPays(request, tried, refused, signal);
        if (answer === undefined) {
          throw error;
        }
        return answer;
      }
    },
  };
}
