import { Agent, request } from 'undici';
import { createHistogram } from 'node:perf_hooks';
import type { RecordableHistogram } from 'node:perf_hooks';
import { startDeployment } from '../launcher/startDeployment.js';

const REQUESTS = 400;
const CONCURRENCY = 4;
const TOKENS = 64;
const MODEL = 'layout-large';
const MICROSECONDS_PER_MS = 1000;

interface Target {
  readonly name: string;
  readonly url: string;
  readonly headers: Readonly<Record<string, string>>;
}

interface Timings {
  readonly firstToken: RecordableHistogram;
  readonly total: RecordableHistogram;
}

const print = (line: string): void => {
  process.stdout.write(`${line}\n`);
};

async function streamOnce(target: Target, dispatcher: Agent, timings: Timings): Promise<void> {
  const startedMs = performance.now();
  const response = await request(`${target.url}/v1/chat/completions`, {
    method: 'POST',
    dispatcher,
    headers: { 'content-type': 'application/json', ...target.headers },
    body: JSON.stringify({
      model: MODEL,
      stream: true,
      max_tokens: TOKENS,
      messages: [{ role: 'user', content: 'Perch width?' }],
    }),
  });
  let first = true;
  for await (const chunk of response.body) {
    if (first && String(chunk).includes('data:')) {
      first = false;
      // The histogram accepts no value below 1.
      timings.firstToken.record(
        Math.round((performance.now() - startedMs) * MICROSECONDS_PER_MS) + 1,
      );
    }
  }
  timings.total.record(Math.round((performance.now() - startedMs) * MICROSECONDS_PER_MS) + 1);
}

async function measure(target: Target): Promise<Timings> {
  const dispatcher = new Agent();
  const timings: Timings = { firstToken: createHistogram(), total: createHistogram() };
  let sent = 0;
  async function worker(): Promise<void> {
    while (sent < REQUESTS) {
      sent += 1;
      await streamOnce(target, dispatcher, timings);
    }
  }
  await Promise.all(Array.from({ length: CONCURRENCY }, worker));
  await dispatcher.close();
  return timings;
}

const toMs = (microseconds: number): string => (microseconds / MICROSECONDS_PER_MS).toFixed(2);

function report(name: string, { firstToken, total }: Timings): void {
  const columns = [firstToken.percentile(50), firstToken.percentile(99), total.percentile(50)];
  print([name.padEnd(24), ...columns.map((value) => toMs(value).padStart(10))].join(''));
}

/**
 * Measures the latency that one entry host adds to a request and to a token. The same requests are
 * sent to an engine stand-in directly and through the entry host, alternately in one run.
 */
export async function measureOverhead(): Promise<void> {
  const deployment = await startDeployment({
    name: 'overhead',
    models: [MODEL],
    regions: [{ name: 'norte', entryHosts: 1, engines: 1, orderingServers: 0 }],
    engineOptions: { maxConcurrentRequests: CONCURRENCY, tokenMs: 1 },
  });
  try {
    const urlOf = (name: string): string => deployment.processes.get(name)?.url ?? '';
    const direct: Target = { name: 'direct', url: urlOf('norte-engine-1'), headers: {} };
    const through: Target = {
      name: 'through one entry host',
      url: urlOf('norte-1'),
      headers: { authorization: `Bearer ${deployment.customerKey}` },
    };
    print(`${REQUESTS} requests of ${TOKENS} tokens, ${CONCURRENCY} at a time, in ms`);
    print(
      `${''.padEnd(24)}${'first p50'.padStart(10)}${'p99'.padStart(10)}${'total p50'.padStart(10)}`,
    );
    const medians: { direct: number; through: number }[] = [];
    for (let round = 1; round <= 3; round += 1) {
      const directTimings = await measure(direct);
      const throughTimings = await measure(through);
      report(`${direct.name} (${round})`, directTimings);
      report(`${through.name} (${round})`, throughTimings);
      medians.push({
        direct: directTimings.total.percentile(50),
        through: throughTimings.total.percentile(50),
      });
    }
    const added = medians.map((median) => median.through - median.direct);
    print(`added to a complete response, per round: ${added.map(toMs).join(', ')} ms`);
    const perToken = added.map((microseconds) => (microseconds / TOKENS).toFixed(1));
    print(`added per token, per round: ${perToken.join(', ')} microseconds`);
  } finally {
    await deployment.close();
  }
}
