import { mostUrgentRank } from '../model/mostUrgentRank.js';

/**
 * Longest prompt, without its cached tokens, that counts as short: half of what an engine of the
 * platform reads in one step.
 */
const SHORT_PROMPT_TOKENS = 1_024;

/**
 * Rank in which an engine reads a prompt. Engines read urgent prompts first, so that under load
 * the others wait without end. A short prompt delays those behind it by less than a step and goes
 * with the most urgent ones.
 */
export function prefillRank(routeRank: number, uncachedTokens: number): number {
  return uncachedTokens <= SHORT_PROMPT_TOKENS ? mostUrgentRank : routeRank;
}
