import { performance } from 'node:perf_hooks';
import { setTimeout } from 'node:timers';
import { setTimeout as sleep } from 'node:timers/promises';
import { createKeptChannel, sendRequest } from '../lib/callers.mjs';
import { recordOutcomes, recordRequests } from '../lib/checkLost.mjs';
import { buildConfiguration } from '../lib/config.mjs';
import { runCase } from '../lib/runCase.mjs';
import { startDeployment } from '../lib/startDeployment.mjs';
import { startRestartingServer } from '../lib/startRestartingServer.mjs';

const CONTACT_MS = 6_000;
const CLIENTS_PER_HOST = 6;
/** Time until a server that crashed is back. */
const SERVER_DOWN_MS = 3_000;
const DEADLY_GAP_MS = 4_000;
const DEADLY_REQUESTS = 22;
const DEADLY_PATH = '/layout/deadly';
const DEADLY_BODY = 'x'.repeat(900);
/** Crash from which on the rule counts, and the retries that it allows. */
const COUNTED_FROM_CRASH = 3;
const ALLOWED = 3;
const ZONES = { 'cuenca-a': 'sierra-sur', 'quito-a': 'sierra-norte', 'guayaquil-a': 'costa' };

const configuration = buildConfiguration(1, {
  routes: [
    {
      name: 'layout-draft',
      kind: 'streaming',
      path_prefix: '/layout/',
      service: 'taller-modelo',
      timeout_ms: 5_000,
      target_latency_ms: 800,
      target_gap_ms: 400,
    },
  ],
  services: [{ name: 'taller-modelo', max_connections: 360 }],
});

await runCase(import.meta.url, async ({ record, hasTrouble, closables }) => {
  const deployment = await startDeployment({
    hosts: Object.keys(ZONES).flatMap((zone) => [zone, zone]),
    zones: ZONES,
    configuration,
  });
  closables.push(deployment);
  const { hosts, network, store } = deployment;
  const arrivals = [];
  const crashes = [];
  const run = { isOver: false };
  for (const [index, zone] of Object.keys(ZONES).entries()) {
    for (const id of [`i-${zone}-1`, `i-${zone}-2`]) {
      const server = await startRestartingServer({
        id,
        zone,
        store,
        arrivals,
        record,
        host: `${network}.${100 + index}`,
        service: 'taller-modelo',
        stream: { events: 9, gapMs: 100 },
        isDeadly: ({ url }) => hasTrouble && url === DEADLY_PATH,
        onCrash() {
          crashes.push(performance.now());
          setTimeout(() => run.isOver || server.start(false), SERVER_DOWN_MS);
        },
      });
      closables.push(server);
    }
  }
  await deployment.waitUntilReady();
  record('entry hosts are ready');

  const results = [];
  const headers = {
    'camphorbarrow-model': 'm',
    'camphorbarrow-token-counts': '1000,60',
    'camphorbarrow-prompt-prefix': '5c1e07a2:600,e4402b7d:400',
  };
  async function runClient(index) {
    const agent = createKeptChannel();
    const host = hosts[index % hosts.length];
    for (let count = 0; !run.isOver; count += 1) {
      const body = `client ${index}, request ${count}`.padEnd(900, 'x');
      const request = { agent, host, body, headers, path: '/layout/1', deadlineMs: 5_000 };
      results.push(await sendRequest(request));
      await sleep(50);
    }
    agent.destroy();
  }
  const count = hosts.length * CLIENTS_PER_HOST;
  const clients = Array.from({ length: count }, (_, index) => runClient(index));
  await sleep(CONTACT_MS + 1_000);

  // The hosts are listed region by region, two of each.
  const order = [0, 2, 4, 1, 3, 5].map((index) => hosts[index]);
  const deadly = [];
  for (let turn = 0; turn < DEADLY_REQUESTS; turn += 1) {
    const host = order[turn % order.length];
    const agent = createKeptChannel();
    const request = {
      agent,
      host,
      headers,
      path: DEADLY_PATH,
      body: DEADLY_BODY,
      deadlineMs: 5_000,
    };
    sendRequest(request).then((result) => {
      deadly.push(result);
      agent.destroy();
      record(`request ${turn + 1} of the deadly kind, to ${host.name}: ${result.status}`);
    });
    await sleep(DEADLY_GAP_MS);
  }
  run.isOver = true;
  await Promise.all(clients);
  recordRequests({ results: [...results, ...deadly], arrivals, record });
  recordOutcomes({ results, record });
  const countedFromMs = (crashes[COUNTED_FROM_CRASH - 1] ?? Infinity) + CONTACT_MS;
  const sentAtMs = new Map(deadly.map((result) => [result.attempt, result.sentAtMs]));
  const counted = arrivals.filter(
    ({ attempt, isDeadly }) => isDeadly === true && sentAtMs.get(attempt) >= countedFromMs,
  );
  record(
    `the request crashed ${crashes.length} servers; it reached servers in ${counted.length} retries ` +
      `later than ${CONTACT_MS} ms after the third crash; the rule allows ${ALLOWED}`,
  );
  return counted.length > ALLOWED;
});
