import { RequestError } from '@camphorbarrow/core';
import type { ChoiceExplainer, ChoiceQuery } from '../routing/createChoiceExplainer.js';

export interface ExplainResponse {
  readonly status: number;
  /** Body, to be sent as JSON: a `ChoiceExplanation`, or `code` and `message` of an error. */
  readonly body: unknown;
}

const badQuery = (message: string): Error =>
  new RequestError(message, { props: { code: 'bad-query', statusCode: 400, outcome: 'not-run' } });

function readText(parameters: URLSearchParams, name: string): string {
  const value = parameters.get(name);
  if (value === null || value === '') {
    throw badQuery(`The parameter ${name} is missing.`);
  }
  return value;
}

function readCount(parameters: URLSearchParams, name: string): number {
  const count = Number(parameters.get(name) ?? 0);
  if (!Number.isSafeInteger(count) || count < 0) {
    throw badQuery(`The parameter ${name} is not a number of tokens.`);
  }
  return count;
}

function readQuery(parameters: URLSearchParams): ChoiceQuery {
  const sharedId = parameters.get('shared-part');
  return {
    host: readText(parameters, 'host'),
    path: readText(parameters, 'path'),
    customer: parameters.get('customer') ?? undefined,
    promptTokens: readCount(parameters, 'prompt-tokens'),
    maxOutputTokens: readCount(parameters, 'max-output-tokens'),
    sharedPart:
      sharedId === null
        ? undefined
        : { id: sharedId, tokens: readCount(parameters, 'shared-tokens') },
  };
}

/**
 * Answers an operator's query for where a request would go.
 *
 * @param parameters `host`, `path`; optionally `customer`, `prompt-tokens`, `max-output-tokens`, and
 *   `shared-part` with `shared-tokens`
 */
export function answerExplain(
  parameters: URLSearchParams,
  explainChoice: ChoiceExplainer,
): ExplainResponse {
  try {
    return { status: 200, body: explainChoice(readQuery(parameters)) };
  } catch (error) {
    if (error instanceof RequestError) {
      const { code, message, statusCode } = error;
      return { status: statusCode, body: { code, message } };
    }
    throw error;
  }
}
