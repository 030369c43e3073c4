import { AnswerNotKeptError } from '../errors/AnswerNotKeptError.js';
import type { ServiceAnswer } from '../ports/ServiceClient.js';
import type { OrderOutcome } from './OrderOutcome.js';

/**
 * Answer of an order that ran.
 *
 * @throws RequestError the order's refusal, or AnswerNotKeptError
 */
export function requireAnswer(outcome: OrderOutcome): ServiceAnswer {
  if (outcome.kind !== 'run') {
    throw outcome.error;
  }
  if (outcome.answer === undefined) {
    throw new AnswerNotKeptError('The order ran; its answer is no longer kept.');
  }
  return outcome.answer;
}
