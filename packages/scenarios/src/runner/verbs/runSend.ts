import { setTimeout as delay } from 'node:timers/promises';
import { CRASH_MARK } from '@camphorbarrow/standins';
import type { CallPlan } from '../../caller/CallPlan.js';
import type { StepOf } from '../../language/Step.js';
import type { CallGroup, ScenarioContext } from '../ScenarioContext.js';
import { chooseDurationMs } from '../chooseDurationMs.js';
import { createDerivedRandom } from '../createDerivedRandom.js';
import { requireProcess } from '../requireProcess.js';

type SendStep = StepOf<'send'> | StepOf<'crashRequest'>;

/** Customers named `workshop-{region}` have that region as their home region. */
const REGION_CUSTOMER_PREFIX = 'workshop-';

function promptFor(step: SendStep, call: string): string {
  const crash = step.do === 'crashRequest' ? ` ${CRASH_MARK}` : '';
  return `nonce=${call}${crash} ${step.marker ?? ''} `.padEnd(step.promptCharacters, 'wren ');
}

function headersFor(step: SendStep, customerKey: string): Record<string, string> {
  return {
    authorization: `Bearer ${customerKey}`,
    ...(step.rank === undefined ? {} : { 'x-camphorbarrow-rank': step.rank }),
    ...(step.homeRegion === undefined ? {} : { 'x-camphorbarrow-home-region': step.homeRegion }),
    ...(step.deadlineMs === undefined
      ? {}
      : { 'x-camphorbarrow-deadline-ms': String(step.deadlineMs) }),
  };
}

function createPlan(context: ScenarioContext, step: SendStep, number: number): CallPlan {
  const { deployment } = context;
  const hosts = [step.via].flat();
  const call = `${step.id}-${number}`;
  const customerHome = step.customer.startsWith(REGION_CUSTOMER_PREFIX)
    ? step.customer.slice(REGION_CUSTOMER_PREFIX.length)
    : undefined;
  const customerKey =
    customerHome === undefined
      ? deployment.customerKey
      : (deployment.customerKeysByRegion.get(customerHome) ?? '');
  const isSend = step.do === 'send';
  return {
    call,
    kind: isSend ? step.call : 'stream',
    hosts,
    customerKey,
    localAddress: deployment.callerAddress(
      step.from ?? requireProcess(context, hosts[0] ?? '').region,
    ),
    headers: headersFor(step, customerKey),
    timeoutMs: step.timeoutMs,
    model: context.model,
    prompt: promptFor(step, call),
    tokens: step.tokens,
    order: isSend && step.call === 'status' ? `${step.of ?? step.id}-${number}` : call,
    marker: step.marker,
    resend: step.resend,
    homeRegion: step.homeRegion ?? customerHome,
    key: isSend ? step.key : undefined,
  };
}

/** Runs tasks with at most `limit` at a time, each no earlier than its `atMs`. */
async function runAll(
  tasks: readonly { readonly atMs: number; readonly run: () => Promise<void> }[],
  limit: number,
): Promise<void> {
  const startedMs = performance.now();
  const waiting = [...tasks].sort((a, b) => a.atMs - b.atMs);
  async function work(): Promise<void> {
    for (let task = waiting.shift(); task !== undefined; task = waiting.shift()) {
      await delay(Math.max(0, task.atMs - (performance.now() - startedMs)));
      await task.run();
    }
  }
  await Promise.all(Array.from({ length: Math.min(limit, tasks.length) }, work));
}

/** Sends the calls of a step; with `background`, does not wait for them. */
export async function runSend(context: ScenarioContext, step: SendStep): Promise<void> {
  const { seed, random, caller } = context;
  const plans = Array.from({ length: step.count }, (_, index) =>
    createPlan(context, step, index + 1),
  );
  const progress = { streaming: 0 };
  const results: CallGroup['results'] = [];
  const tasks = plans.map((plan) => ({
    atMs: random.next() * step.spreadMs,
    run: async (): Promise<void> => {
      const callRandom = createDerivedRandom(seed, `call ${plan.call}`);
      let counted = false;
      const onFirstByte = (): void => {
        progress.streaming += counted ? 0 : 1;
        counted = true;
      };
      const resendAfterMs = (): number => chooseDurationMs(step.resendAfterMs, callRandom);
      results.push(await caller.send(plan, resendAfterMs, onFirstByte));
    },
  }));
  const group: CallGroup = {
    count: step.count,
    streamingCount: () => progress.streaming,
    results,
    calls: plans.map(({ call }) => call),
    done: runAll(tasks, step.concurrency),
  };
  context.callGroups.set(step.id, group);
  if (!step.background) {
    await group.done;
  }
}
