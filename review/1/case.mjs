import { setTimeout as sleep } from 'node:timers/promises';
import { createKeptChannel, sendRequest } from '../lib/callers.mjs';
import { checkLost, recordOutcomes, recordOwnEnds, recordRequests } from '../lib/checkLost.mjs';
import { buildConfiguration } from '../lib/config.mjs';
import { runCase } from '../lib/runCase.mjs';
import { startDeployment } from '../lib/startDeployment.mjs';
import { startServer, writeWithoutEnd } from '../lib/startServer.mjs';

/** A process is in touch once it has run this long (`contact_ms`). */
const CONTACT_MS = 6_000;
const TROUBLE_MS = 25_000;
const CLIENTS = 40;
const PIECE = 'f\r\nerror: timeout\n\r\n';
const WRITE_BYTES = 65_536;

const configuration = buildConfiguration(1, {
  routes: [
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
  ],
  services: [{ name: 'taller-modelo', max_connections: 360 }, { name: 'pedidos' }],
});

await runCase(import.meta.url, async ({ record, hasTrouble, closables }) => {
  const deployment = await startDeployment({
    hosts: ['cuenca-a', 'cuenca-a'],
    zones: { 'cuenca-a': 'sierra-sur' },
    configuration,
  });
  closables.push(deployment);
  const { hosts, network, store } = deployment;
  const arrivals = [];
  let isInTrouble = false;

  /** Answers with bytes that are no answer and never end. */
  function answerWithoutEnd(request, _response, answer) {
    if (!isInTrouble) {
      return false;
    }
    const headers = Object.entries({
      ...answer,
      'Content-Type': 'text/plain',
      'Transfer-Encoding': 'chunked',
    }).map(([name, value]) => `${name}: ${value}\r\n`);
    const head = `HTTP/1.1 500 Internal Server Error\r\n${headers.join('')}\r\n`;
    record(`server i-model-1 answers ${answer['camphorbarrow-attempt-id']} without end`);
    writeWithoutEnd(request.socket, { head, piece: PIECE, bytesPerWrite: WRITE_BYTES });
    return true;
  }

  const shared = { host: `${network}.100`, zone: 'cuenca-a', store, arrivals };
  const model = { ...shared, service: 'taller-modelo', slots: 64, workMs: 80 };
  const stream = { events: 49, gapMs: 100 };
  closables.push(
    await startServer({ ...model, id: 'i-model-1', stream, trouble: answerWithoutEnd }),
    await startServer({ ...model, id: 'i-model-2', stream }),
    await startServer({ ...model, id: 'i-model-3', stream }),
    await startServer({ ...shared, id: 'i-orders-1', service: 'pedidos' }),
    await startServer({ ...shared, id: 'i-orders-2', service: 'pedidos' }),
  );
  await deployment.waitUntilReady();
  record('entry hosts are ready');

  const results = [];
  let isOver = false;
  async function runClient(index) {
    const agent = createKeptChannel();
    const host = hosts[index % hosts.length];
    const isOrder = index % 8 > 5;
    while (!isOver) {
      const options = isOrder
        ? { path: '/encargo/1', deadlineMs: 3_000 }
        : { path: '/inscripcion/1', deadlineMs: 12_000 };
      results.push(await sendRequest({ agent, host, body: 'x'.repeat(600), ...options }));
      await sleep(100);
    }
    agent.destroy();
  }
  const clients = Array.from({ length: CLIENTS }, (_, index) => runClient(index));

  await sleep(CONTACT_MS + 1_000);
  record(`sent so far: ${results.length}`);
  isInTrouble = hasTrouble;
  record(hasTrouble ? 'server i-model-1 is in trouble from now on' : 'no server is in trouble');
  await sleep(TROUBLE_MS);
  isOver = true;
  await Promise.all(clients);
  recordRequests({ results, arrivals, record });
  recordOutcomes({ results, record });
  recordOwnEnds({ hosts, record });
  return checkLost({ results, arrivals, record });
});
