import { randomUUID } from 'node:crypto';
import { setTimeout as delay } from 'node:timers/promises';
import { promptOf } from '@camphorbarrow/standins';
import type { EngineBody } from '@camphorbarrow/standins';
import { Agent } from 'undici';
import type { HistoryRecorder } from '../history/createHistoryRecorder.js';
import type { AttemptResult } from './AttemptResult.js';
import type { CallPlan } from './CallPlan.js';
import { requestPermit } from './requestPermit.js';
import { inferenceBody, sendInference } from './sendInference.js';
import { sendService } from './sendService.js';

export interface CallResult {
  readonly call: string;
  readonly attempts: readonly AttemptResult[];
  /** The last attempt, which decides the result of the call. */
  readonly last: AttemptResult;
}

export interface Caller {
  /** Sends a call, with retries as its plan allows. Never rejects. */
  send(plan: CallPlan, resendAfterMs: () => number, onFirstByte: () => void): Promise<CallResult>;
  close(): Promise<void>;
}

export interface CallerOptions {
  readonly recorder: HistoryRecorder;
  readonly urlOf: (host: string) => string;
}

const CONNECT_TIMEOUT_MS = 2_000;

function shouldTryNextHost({ label, code }: AttemptResult): boolean {
  return label === 'unreachable' || (label === 'not-run' && code === 'draining');
}

/** Creates the callers of a scenario. Every attempt uses a separate connection. */
export function createCaller(options: CallerOptions): Caller {
  const { recorder, urlOf } = options;
  const agents = new Map<string, Agent>();

  function agentOf(localAddress: string): Agent {
    const agent =
      agents.get(localAddress) ??
      new Agent({ localAddress, pipelining: 0, connectTimeout: CONNECT_TIMEOUT_MS });
    agents.set(localAddress, agent);
    return agent;
  }

  async function keyOf(plan: CallPlan): Promise<string | undefined> {
    if (plan.kind !== 'order' || plan.key === 'none' || plan.key === undefined) {
      return undefined;
    }
    if (plan.key === 'own') {
      return randomUUID();
    }
    if (typeof plan.key === 'object') {
      return plan.key.fixed;
    }
    for (const host of plan.hosts) {
      const permit = await requestPermit(plan, urlOf(host), agentOf(plan.localAddress));
      if (permit !== undefined) {
        return permit;
      }
    }
    return undefined;
  }

  async function attempt(
    plan: CallPlan,
    hosts: readonly string[],
    key: string | undefined,
    onFirstByte: () => void,
  ): Promise<AttemptResult> {
    const agent = agentOf(plan.localAddress);
    let result: AttemptResult = { label: 'unreachable', host: undefined, totalMs: 0 };
    for (const host of hosts) {
      result =
        plan.kind === 'stream' || plan.kind === 'plain'
          ? await sendInference(plan, host, urlOf(host), agent, onFirstByte)
          : await sendService(plan, host, urlOf(host), agent, key);
      if (!shouldTryNextHost(result)) {
        return result;
      }
    }
    return result;
  }

  return {
    async send(plan, resendAfterMs, onFirstByte) {
      const { call, hosts, homeRegion } = plan;
      const key = await keyOf(plan);
      const content =
        plan.kind === 'stream' || plan.kind === 'plain'
          ? { prompt: promptOf(inferenceBody(plan) as EngineBody), tokens: plan.tokens }
          : { order: plan.order };
      const attempts: AttemptResult[] = [];
      for (let number = 1; number <= plan.resend + 1; number += 1) {
        const first = (number - 1) % hosts.length;
        const hostOrder = [...hosts.slice(first), ...hosts.slice(0, first)];
        const repeatable = plan.kind !== 'order';
        const common = { call, attempt: number };
        recorder.add({
          kind: 'invoked',
          atMs: Date.now(),
          ...common,
          hosts: hostOrder,
          repeatable,
          key,
          homeRegion,
          ...content,
        });
        const result = await attempt(plan, hostOrder, key, onFirstByte);
        attempts.push(result);
        const { label, host, statusCode, code, text } = result;
        const response = { label, host, statusCode, code, text };
        recorder.add({ kind: 'answered', atMs: Date.now(), ...common, ...response });
        if (label === 'complete') {
          break;
        }
        await delay(number <= plan.resend ? resendAfterMs() : 0);
      }
      return { call, attempts, last: attempts.at(-1) as AttemptResult };
    },
    async close() {
      await Promise.all([...agents.values()].map((agent) => agent.destroy()));
    },
  };
}
