import { PromptTooLongError } from '../errors/PromptTooLongError.js';
import { UnknownModelError } from '../errors/UnknownModelError.js';
import type { InferenceRoute } from '../ports/EngineClient.js';
import type { RequestContext } from './RequestContext.js';
import type { InferenceRequest } from './InferenceRequest.js';
import { fingerprintOf } from './fingerprintOf.js';
import { parseInferenceBody } from './parseInferenceBody.js';
import { promptPartKey } from './promptPartKey.js';
import { prefixBlockHashes } from './prefixBlockHashes.js';

const CHARACTERS_PER_TOKEN = 4;
const DEFAULT_MAX_OUTPUT_TOKENS = 1024;
const ENGINE_PRIORITY = { urgent: 0, patient: 10 } as const;

/**
 * Creates an inference request from the context and the body of an HTTP request.
 *
 * @param recordKey secret of the deployment, used for the request's fingerprint
 * @throws InvalidBodyError, UnknownModelError or PromptTooLongError
 */
export function createInferenceRequest(
  context: RequestContext,
  route: InferenceRoute,
  body: string,
  recordKey: string,
): InferenceRequest {
  const parsed = parseInferenceBody(route, body);
  const { models } = context.settings;
  const model = Object.hasOwn(models, parsed.model) ? models[parsed.model] : undefined;
  if (model === undefined) {
    throw new UnknownModelError('The model of the request is not configured.');
  }
  const promptTokens = Math.ceil(parsed.prompt.length / CHARACTERS_PER_TOKEN);
  if (promptTokens > model.maxPromptTokens) {
    throw new PromptTooLongError(
      `The prompt has about ${promptTokens} tokens; the model accepts ${model.maxPromptTokens}.`,
    );
  }
  const rank = context.rank ?? context.settings.routeRanks[route];
  const settings = context.settingsForRank(rank);
  const targets = settings.ranks[rank];
  const deadlineMs = context.deadlineMs ?? targets.deadlineMs;
  return {
    requestId: context.requestId,
    customerId: context.customerId,
    rank,
    homeRegionId: context.homeRegionId,
    route,
    model: parsed.model,
    streamed: parsed.streamed,
    body: JSON.stringify({ ...parsed.fields, priority: ENGINE_PRIORITY[rank] }),
    promptTokens,
    maxOutputTokens: parsed.maxOutputTokens ?? DEFAULT_MAX_OUTPUT_TOKENS,
    receivedAtMs: context.receivedAtMs,
    firstTokenDueAtMs: context.receivedAtMs + Math.min(targets.firstTokenTargetMs, deadlineMs),
    deadlineAtMs: context.receivedAtMs + deadlineMs,
    fingerprint: fingerprintOf(recordKey, route, body),
    blockHashes: prefixBlockHashes(parsed.model, parsed.prompt),
    sharedParts: parsed.promptParts.slice(0, -1).map(promptPartKey),
    path: context.path,
    settings,
  };
}
