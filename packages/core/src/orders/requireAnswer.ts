import { AnswerNotKeptError } from '../errors/AnswerNotKeptError.js';
import type { ServiceAnswer } from '../ports/ServiceClient.js';
import type { OrderOutcome } from './OrderOutcome.js';

/**
 * Returns the backend server's response to an order that ran.
 *
 * @throws RequestError the outcome's error when the order did not run or its outcome is unknown
 * @throws AnswerNotKeptError when the order ran but its response is no longer retained
 */
export function requireAnswer(outcome: OrderOutcome): ServiceAnswer {
  if (outcome.kind !== 'run') {
    throw outcome.error;
  }
  if (outcome.answer === undefined) {
    throw new AnswerNotKeptError('The order ran, but its response is no longer retained.');
  }
  return outcome.answer;
}
