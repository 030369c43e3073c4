import { performance } from 'node:perf_hooks';
import { setTimeout } from 'node:timers';
import { setTimeout as sleep } from 'node:timers/promises';
import { createKeptChannel, sendRequest } from '../lib/callers.mjs';
import { recordOutcomes, recordRequests } from '../lib/checkLost.mjs';
import { buildConfiguration } from '../lib/config.mjs';
import { runCase } from '../lib/runCase.mjs';
import { startDeployment } from '../lib/startDeployment.mjs';
import { startServer } from '../lib/startServer.mjs';

const CONTACT_MS = 6_000;
const CONFIG_MS = 4_000;
/** Times in which the order server spoils some of its answers. */
const GARBLES = 7;
const GARBLE_MS = 5_500;
const GARBLE_GAP_MS = 1_500;
/** One in 20 answers: x = 0.05. */
const SPOILED_EVERY = 20;
const STEADY_MS = 10_000;
const OBSERVED_MS = 12_000;
const ORDERS_PER_S = 22;
const STREAMS_PER_S = 20;
const NEW_ROUTE_PER_S = 5;
const CHANNELS = 24;
const MIN_REQUESTS = 20;
const MIN_RATIO = 1 / 4;

const firstRoutes = [
  {
    name: 'inscripcion',
    kind: 'streaming',
    path_prefix: '/inscripcion/',
    service: 'taller-modelo',
    timeout_ms: 12_000,
    target_latency_ms: 1_500,
    target_gap_ms: 400,
    priority: 2,
    attempts: 2,
    resumable: true,
  },
  {
    name: 'encargo',
    kind: 'unsafe',
    path_prefix: '/encargo/',
    service: 'pedidos',
    timeout_ms: 1_500,
    priority: 2,
  },
];
const addedRoute = { ...firstRoutes[1], name: 'encargo-nuevo', path_prefix: '/encargo-nuevo/' };
const services = [{ name: 'taller-modelo', max_connections: 360 }, { name: 'pedidos' }];

const isServed = ({ status, isComplete, sealed }) => status === 200 && isComplete && sealed;

/** Starts sending requests at a steady rate, over kept channels to all hosts in turn. */
function sendSteadily({ hosts, perSecond, results, ...request }) {
  const channels = hosts.map(() => Array.from({ length: CHANNELS }, createKeptChannel));
  let isOver = false;
  async function run() {
    for (let index = 0; !isOver; index += 1) {
      const host = hosts[index % hosts.length];
      const agents = channels[index % hosts.length];
      const agent = agents[Math.floor(index / hosts.length) % CHANNELS];
      sendRequest({ agent, host, ...request }).then((result) => results.push(result));
      await sleep(1_000 / perSecond);
    }
  }
  const running = run();
  return {
    async stop() {
      isOver = true;
      await running;
    },
  };
}

await runCase(import.meta.url, async ({ record, hasTrouble, closables }) => {
  const deployment = await startDeployment({
    hosts: ['cuenca-a', 'cuenca-a'],
    zones: { 'cuenca-a': 'sierra-sur' },
    configuration: buildConfiguration(1, { routes: firstRoutes, services }),
  });
  closables.push(deployment);
  const { hosts, network, store } = deployment;
  const arrivals = [];
  let isSpoiling = false;
  let answers = 0;
  let spoiled = 0;

  /** Spoils one in 20 answers: the name of a header has a space, so the bytes are no response. */
  function spoil(request, _response, answer) {
    answers += isSpoiling ? 1 : 0;
    if (!isSpoiling || answers % SPOILED_EVERY !== 0) {
      return false;
    }
    spoiled += 1;
    const headers = Object.entries(answer).map(([name, value]) => `${name}: ${value}\r\n`);
    const head = `HTTP/1.1 200 OK\r\n${headers.join('')}X Trace: 1\r\nContent-Length: 4\r\n\r\n`;
    setTimeout(() => request.socket.write(`${head}done`), 40);
    return true;
  }

  const shared = { host: `${network}.100`, zone: 'cuenca-a', store, arrivals };
  const model = { ...shared, service: 'taller-modelo', slots: 64, workMs: 80 };
  const stream = { events: 9, gapMs: 30 };
  closables.push(
    await startServer({ ...model, id: 'i-model-1', stream }),
    await startServer({ ...model, id: 'i-model-2', stream }),
    await startServer({ ...shared, id: 'i-orders-1', service: 'pedidos', trouble: spoil }),
  );
  await deployment.waitUntilReady();
  record('entry hosts are ready');

  const results = [];
  const order = { hosts, results, perSecond: ORDERS_PER_S, path: '/encargo/1', deadlineMs: 3_000 };
  const text = { hosts, results, perSecond: STREAMS_PER_S, path: '/inscripcion/1' };
  const senders = [
    sendSteadily({ ...order, body: 'x'.repeat(600) }),
    sendSteadily({ ...text, body: 'x'.repeat(600), deadlineMs: 12_000 }),
  ];
  await sleep(CONTACT_MS + 1_000);
  for (let garble = 1; garble <= GARBLES; garble += 1) {
    isSpoiling = hasTrouble;
    await sleep(GARBLE_MS);
    isSpoiling = false;
    record(`garble ${garble} of ${GARBLES} is over; spoiled answers so far: ${spoiled}`);
    await sleep(GARBLE_GAP_MS);
  }
  record('all servers are sound from now on');
  await sleep(STEADY_MS);
  const next = { routes: [...firstRoutes, addedRoute], services };
  store.put('op/config', buildConfiguration(2, next));
  record('the store has acknowledged version 2, which adds the route /encargo-nuevo/');
  await sleep(CONFIG_MS);
  const observedAtMs = performance.now();
  const added = { ...order, perSecond: NEW_ROUTE_PER_S, path: '/encargo-nuevo/1' };
  senders.push(sendSteadily({ ...added, body: 'x'.repeat(600) }));
  await sleep(OBSERVED_MS);
  await Promise.all(senders.map((sender) => sender.stop()));
  await sleep(3_500);

  recordRequests({ results, arrivals, record });
  const observed = results.filter(({ sentAtMs }) => sentAtMs >= observedAtMs);
  recordOutcomes({ results: observed, record });
  const onAdded = observed.filter(({ path }) => path === '/encargo-nuevo/1');
  const onFirst = observed.filter(({ path }) => path !== '/encargo-nuevo/1');
  const ratioOf = (requests) => requests.filter(isServed).length / requests.length;
  const addedRatio = ratioOf(onAdded);
  const firstRatio = ratioOf(onFirst);
  record(
    `served in steady state: ${addedRatio.toFixed(2)} of ${onAdded.length} requests on the added ` +
      `route, ${firstRatio.toFixed(2)} of ${onFirst.length} on the first routes`,
  );
  return onAdded.length >= MIN_REQUESTS && addedRatio < firstRatio * MIN_RATIO;
});
