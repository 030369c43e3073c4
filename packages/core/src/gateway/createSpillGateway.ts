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
  /** Serves requests in this region. */
  readonly local: InferenceGateway;
  readonly forwardClient: ForwardClient;
  readonly decider: SpillDecider;
  readonly estimateLocal: (request: InferenceRequest) => LocalEstimate;
}

/** Maximum number of other regions tried for one request, each by one forward from this host. */
const MAX_FORWARDS = 2;
/** Error codes of requests that did not run for lack of capacity; another region may serve them. */
const CAPACITY_CODES = new Set(['backend-failed', 'no-server', 'overloaded']);
/**
 * Error codes after which another region may be tried. `wrong-region` is not included: the peer
 * knows a home region of the request that this host does not know yet, so the request must not be
 * sent to any other region.
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

function isCapacityError(error: unknown): boolean {
  return (
    error instanceof RequestError && error.outcome === 'not-run' && CAPACITY_CODES.has(error.code)
  );
}

async function* withEndCallback(
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
 * Creates the gateway that forwards a request to another region when the spill policy decides so,
 * and serves it locally otherwise. A request that is bound to a home region or has already been
 * forwarded is always served locally.
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

  /** Returns undefined when the other region has certainly not run the request. */
  async function forward(
    request: InferenceRequest,
    view: RegionView,
    signal: AbortSignal,
  ): Promise<InferenceAnswer | undefined> {
    const { regionId } = view;
    const { requestId } = request;
    let response: ForwardAnswer;
    try {
      response = await startForward(request, view, signal);
    } catch (cause) {
      signal.throwIfAborted();
      log.warn('forward-failed', { requestId, regionId, error: String(cause) });
      decider.recordRejection(regionId, request.model, clock.monotonicMs());
      if (cause instanceof ConnectFailedError) {
        metrics.increment('forward', { regionId, result: 'not-connected' });
        return undefined;
      }
      metrics.increment('forward', { regionId, result: 'broken' });
      throw new BackendFailedError('The other region did not respond.');
    }
    if (response.kind === 'refused') {
      log.info('forward-refused', { requestId, regionId, code: response.code });
      metrics.increment('forward', { regionId, result: 'refused' });
      if (!isRetryable(response)) {
        throw toRequestError(response);
      }
      decider.recordRejection(regionId, request.model, clock.monotonicMs());
      return undefined;
    }
    log.info('forwarded', { requestId, regionId });
    metrics.increment('forward', { regionId, result: 'served' });
    return response.kind === 'plain'
      ? response
      : { kind: 'stream', events: requireCompleteStream(response.events) };
  }

  /** Forwards the request and reports the end of the response, which releases its spill budget. */
  async function forwardAndRecordEnd(
    request: InferenceRequest,
    view: RegionView,
    signal: AbortSignal,
  ): Promise<InferenceAnswer | undefined> {
    let response: InferenceAnswer | undefined;
    try {
      response = await forward(request, view, signal);
    } finally {
      if (response?.kind !== 'stream') {
        decider.recordEnd(view.regionId);
      }
    }
    return response?.kind === 'stream'
      ? {
          kind: 'stream',
          events: withEndCallback(response.events, () => decider.recordEnd(view.regionId)),
        }
      : response;
  }

  /** Tries the other regions that the decider selects; undefined when this region should serve. */
  async function tryOtherRegions(
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
      const response = await forwardAndRecordEnd(request, view, signal);
      if (response !== undefined) {
        return response;
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
      const forwarded = await tryOtherRegions(request, tried, estimate, signal);
      if (forwarded !== undefined) {
        return forwarded;
      }
      try {
        return await options.local.handle(request, signal);
      } catch (error) {
        if (!isCapacityError(error)) {
          throw error;
        }
        const estimateAfterRejection = (): LocalEstimate => ({
          ...estimate(),
          firstTokenMs: Infinity,
        });
        const response = await tryOtherRegions(request, tried, estimateAfterRejection, signal);
        if (response === undefined) {
          throw error;
        }
        return response;
      }
    },
  };
}
