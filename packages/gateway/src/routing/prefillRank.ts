import { mostUrgentRank } from '../model/mostUrgentRank.js';

/**
 * Maximum length of a short prompt, without cached tokens: what an engine of the platform prefills in
 * one step.
 */
const SHORT_PROMPT_TOKENS = 2_048;

/**
 * Returns the rank with which an engine prefills a prompt. Engines prefill urgent prompts first, so
 * under load the others can starve. A short prompt delays the prompts after it by at most one step
 * and therefore gets the most urgent rank.
 */
export function prefillRank(routeRank: number, uncachedTokens: number): number {
  return uncachedTokens <= SHORT_PROMPT_TOKENS ? mostUrgentRank : routeRank;
}
