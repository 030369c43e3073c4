// Stand-ins for the cases of the second review: the platform's store, a link that can be cut, servers,
// callers, and the processes of entry hosts. All addresses are loopback addresses.
import { Buffer } from 'node:buffer';
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { createWriteStream, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { Agent, createServer, request as httpRequest } from 'node:http';
import { connect, createServer as createNetServer } from 'node:net';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';
import { performance } from 'node:perf_hooks';
import process from 'node:process';
import { setTimeout as delay } from 'node:timers/promises';
import { clearTimeout, setInterval, clearInterval, setTimeout } from 'node:timers';
import { URL, fileURLToPath } from 'node:url';

export const repository = join(dirname(fileURLToPath(import.meta.url)), '..', '..');
export const sleep = (durationMs) => delay(durationMs);
export const hasTrouble = process.env.TROUBLE !== '0';

/** Writes a line per event, with the time in seconds since the start. */
export function openRecord(folder) {
  const stream = createWriteStream(join(folder, 'record.txt'));
  const startMs = performance.now();
  return {
    write(...words) {
      const seconds = ((performance.now() - startMs) / 1_000).toFixed(3);
      stream.write(`${seconds.padStart(8)} ${words.join(' ')}\n`);
    },
    close: () =>
      new Promise((resolve) => {
        stream.end(resolve);
      }),
  };
}

async function listen(server, host, port = 0) {
  server.listen(port, host);
  await once(server, 'listening');
  return `${host}:${server.address().port}`;
}

/** Ports of entry hosts, which are the same on all machines of a deployment. */
const HOST_PORTS = { front: 8144, ready: 8140, control: 8146, directory: 8143, peers: 7660 };

async function isFree(host, port) {
  const server = createNetServer();
  try {
    await listen(server, host, port);
    return true;
  } catch {
    return false;
  } finally {
    server.close();
  }
}

/** Draws a loopback network on which the ports of entry hosts are free. */
export async function drawNetwork() {
  for (;;) {
    const network = `127.${1 + Math.floor(Math.random() * 250)}.${1 + Math.floor(Math.random() * 250)}`;
    const ports = Object.values(HOST_PORTS);
    const free = await Promise.all(ports.map((port) => isFree(`${network}.1`, port)));
    if (free.every(Boolean)) {
      return (host) => `${network}.${host}`;
    }
  }
}

/** Starts the platform's store, as PROTOCOL.md describes it. */
export async function startStore(host) {
  const items = new Map();
  const leases = new Map();
  const history = [];
  let revision = 1;
  let nextLease = 100;
  const waiting = new Set();

  const wake = () => {
    const all = [...waiting];
    waiting.clear();
    all.forEach((resume) => resume());
  };
  const waitForChange = (timeoutMs) =>
    new Promise((resolve) => {
      const timer = setTimeout(resolve, timeoutMs);
      waiting.add(() => {
        clearTimeout(timer);
        resolve();
      });
    });
  const record = (item) => {
    history.push(item);
    wake();
  };
  function put(key, value, lease = 0) {
    revision += 1;
    const created = items.get(key)?.created ?? revision;
    const item = { key, value, revision, created, lease };
    items.set(key, item);
    record(item);
  }
  function remove(key) {
    if (items.delete(key)) {
      revision += 1;
      record({ key, revision, tombstone: true });
    }
  }
  function endLease(lease) {
    clearTimeout(leases.get(lease)?.timer);
    leases.delete(lease);
    [...items.values()].filter((item) => item.lease === lease).forEach(({ key }) => remove(key));
  }
  function renewLease(lease) {
    const entry = leases.get(lease);
    clearTimeout(entry.timer);
    entry.timer = setTimeout(() => endLease(lease), entry.ttlMs);
  }

  const respond = (response, status, body = {}) =>
    response
      .writeHead(status, { 'content-type': 'application/json', 'store-era': '0' })
      .end(JSON.stringify(body));

  async function readJson(request) {
    const chunks = [];
    for await (const chunk of request) {
      chunks.push(chunk);
    }
    const text = Buffer.concat(chunks).toString();
    return text === '' ? {} : JSON.parse(text);
  }

  function list(url, response) {
    const prefix = url.searchParams.get('path_prefix') ?? '';
    const after = url.searchParams.get('after') ?? '';
    const found = [...items.values()]
      .filter(({ key }) => key.startsWith(prefix) && key > after)
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    respond(response, 200, {
      items: found.slice(0, 500),
      has_more: found.length > 500,
      at: revision,
    });
  }

  async function watch(url, response) {
    const prefix = url.searchParams.get('path_prefix') ?? '';
    const after = Number(url.searchParams.get('after'));
    const endAtMs = performance.now() + Number(url.searchParams.get('wait_ms'));
    const changes = () =>
      history.filter((item) => item.revision > after && item.key.startsWith(prefix));
    while (changes().length === 0 && performance.now() < endAtMs && !response.destroyed) {
      await waitForChange(Math.max(1, endAtMs - performance.now()));
    }
    respond(response, 200, { events: changes(), at: revision });
  }

  async function handle(request, response) {
    const url = new URL(request.url, 'http://store.invalid');
    const body = await readJson(request);
    const last = Number(url.pathname.split('/').at(-1));
    if (url.pathname === '/api/kv-range') {
      list(url, response);
    } else if (url.pathname === '/api/kv-watch') {
      await watch(url, response);
    } else if (url.pathname === '/api/kv-txn') {
      if (body.puts.some(({ lease }) => lease && !leases.has(lease))) {
        respond(response, 404);
        return;
      }
      body.puts.forEach(({ key, value, lease }) => put(key, value, lease));
      (body.remove ?? []).forEach(remove);
      respond(response, 200, { revision });
    } else if (url.pathname === '/api/kv-lease') {
      nextLease += 1;
      leases.set(nextLease, { ttlMs: body.ttl_ms, timer: undefined });
      renewLease(nextLease);
      respond(response, 200, { lease: nextLease, ttl_ms: body.ttl_ms });
    } else if (url.pathname.startsWith('/api/kv-keep/')) {
      if (leases.has(last)) {
        renewLease(last);
        respond(response, 200, { ttl_ms: leases.get(last).ttlMs });
      } else {
        respond(response, 404);
      }
    } else if (url.pathname.startsWith('/api/kv-lease-end/')) {
      endLease(last);
      respond(response, 200);
    } else {
      respond(response, 400);
    }
  }

  const server = createServer((request, response) => {
    handle(request, response).catch(() => response.destroy());
  });
  server.keepAliveTimeout = 60_000;
  const address = await listen(server, host);
  return {
    address,
    /** Writes a key as the operator or a server does. The call is the acknowledgement. */
    put: (key, value) => put(key, Buffer.from(JSON.stringify(value)).toString('base64')),
    remove,
    close() {
      [...leases.values()].forEach(({ timer }) => clearTimeout(timer));
      wake();
      server.closeAllConnections();
      server.close();
    },
  };
}

/**
 * Starts a link to an address. While it is cut, it drops what arrives and leaves new connections
 * without an answer; connections of before stay silent for good, as their bytes are lost.
 */
export async function startLink(host, target) {
  const [targetHost, targetPort] = target.split(':');
  const sockets = new Set();
  let isCut = false;
  const server = createNetServer((near) => {
    if (isCut) {
      sockets.add(near);
      near.on('data', () => undefined);
      near.on('error', () => undefined);
      return;
    }
    const far = connect({ host: targetHost, port: Number(targetPort) });
    let isBroken = false;
    [
      [near, far],
      [far, near],
    ].forEach(([from, to]) => {
      sockets.add(from);
      from.on('data', (chunk) => {
        isBroken ||= isCut;
        if (!isBroken) {
          to.write(chunk);
        }
      });
      from.on('error', () => undefined);
      from.on('close', () => {
        sockets.delete(from);
        isBroken ||= isCut;
        if (!isBroken) {
          to.destroy();
        }
      });
    });
  });
  const address = await listen(server, host);
  return {
    address,
    cut() {
      isCut = true;
    },
    heal() {
      isCut = false;
    },
    close() {
      sockets.forEach((socket) => socket.destroy());
      server.close();
    },
  };
}

/**
 * Starts a plain server that checks in at the store. `answer(request, response, body)` handles a
 * request that runs; by default, it is answered with success after `workMs`.
 */
export async function startServer(options) {
  const { store, host, id, service, zone, record, slots = 64, heartbeatMs = 1_200 } = options;
  const born = Date.now();
  const key = `servers/${id}`;
  let state = 'ready';
  let sequence = 0;
  let workMs = options.workMs ?? 20;
  const runs = [];
  const server = createServer(async (request, response) => {
    const arrivedAtMs = performance.now();
    const chunks = [];
    try {
      for await (const chunk of request) {
        chunks.push(chunk);
      }
    } catch {
      return;
    }
    const attemptId = String(request.headers['camphorbarrow-attempt-id']);
    if (request.headers['camphorbarrow-expect-instance'] !== id) {
      response.writeHead(421, { 'Camphorbarrow-Instance-Id': id }).end();
      return;
    }
    const run = {
      attemptId,
      server: id,
      service,
      arrivedAtMs,
      headers: request.headers,
      method: request.method,
      target: request.url,
      body: Buffer.concat(chunks),
      isCancelled: false,
    };
    runs.push(run);
    record.write(
      'run',
      attemptId,
      'at',
      id,
      'service',
      service,
      'from',
      request.socket.remoteAddress,
    );
    response.on('close', () => {
      run.isCancelled = !response.writableFinished;
    });
    if (options.answer !== undefined && options.setsHeaders === true) {
      await options.answer({ request, response, run });
      return;
    }
    response.setHeader('Camphorbarrow-Attempt-Id', attemptId);
    response.setHeader('Camphorbarrow-Server-Seal', `seal.${id}`);
    response.setHeader('Camphorbarrow-Server-Load', `1,0,${slots}`);
    if (options.answer !== undefined) {
      await options.answer({ request, response, run });
      return;
    }
    await sleep(workMs);
    response.end(`answer to ${attemptId} by ${id}`);
  });
  server.keepAliveTimeout = 5_000;
  const address = await listen(server, host);
  const checkIn = () => {
    sequence += 1;
    store.put(key, {
      service,
      address,
      zone,
      version: 'v1',
      slots,
      state,
      cold_remaining_ms: 0,
      sequence,
      born,
    });
  };
  checkIn();
  const timer = setInterval(checkIn, heartbeatMs);
  return {
    id,
    address,
    runs,
    setWorkMs(next) {
      workMs = next;
    },
    drain() {
      state = 'draining';
      checkIn();
    },
    close() {
      clearInterval(timer);
      server.closeAllConnections();
      server.close();
    },
  };
}

/** Builds a desired state; `routes` override the fields of a safe route. */
export function buildConfiguration({ version, routes, services, limits = {} }) {
  return {
    version,
    routes: routes.map((route) => ({
      host: 'shop.example',
      kind: 'safe',
      timeout_ms: 3_000,
      target_latency_ms: 500,
      priority: 2,
      attempts: 2,
      sticky: false,
      resumable: false,
      home_regions: [],
      ...route,
    })),
    services: services.map((service) => ({
      health_path: '/health',
      max_connections: 100,
      protocol: 'h1',
      tls: false,
      cold_per_s: 0,
      cold_start_s: 0,
      ...service,
    })),
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 4_194_304,
      header_timeout_ms: 5_000,
      idle_timeout_ms: 10_000,
      ...limits,
    },
  };
}

const children = new Set();
process.on('exit', () => children.forEach((child) => child.kill('SIGKILL')));
['SIGINT', 'SIGTERM'].forEach((signal) => process.on(signal, () => process.exit(2)));

/** The command of the deploy file, split at spaces. */
function readCommand() {
  const text = readFileSync(join(repository, 'deploy', 'system.toml'), 'utf8');
  return /^run = "([^"]+)"$/m.exec(text)[1].split(' ');
}

/** Starts an entry host with the command of the deploy file. */
export function startHost(options) {
  const { ip, name, region, zones, store, seeds, record, graceS = 8 } = options;
  const folder = mkdtempSync(join(tmpdir(), 'entry-host-'));
  const settingsPath = join(folder, 'settings.yaml');
  const settings = {
    node_name: name,
    role: 'entry-host',
    machine_class: 'front',
    serves: ['front', 'control', 'directory'],
    ip,
    zone: `${region}-a`,
    region,
    zones,
    listen_addresses: {
      front: `${ip}:${HOST_PORTS.front}`,
      ready: `${ip}:${HOST_PORTS.ready}`,
      control: `${ip}:${HOST_PORTS.control}`,
      directory: `${ip}:${HOST_PORTS.directory}`,
    },
    internal_ports: [HOST_PORTS.peers, HOST_PORTS.peers + 15],
    seeds,
    first_boot: true,
    limits: {
      cpu_share: 0.675,
      cpu_cores: 1,
      memory_mb: 350,
      file_descriptors: 4100,
      link_mbps: 1000.0,
      disk_mb: 0,
    },
    data_directory: null,
    discovery: 'platform',
    entry: 'directory',
    heartbeat_ms: 1_200,
    fault_tolerance: { machines: 1, zones: 1, regions: 1 },
    bounds: {
      contact_ms: 6000,
      drain_ms: 4000,
      grace_s: graceS,
      loss_slack_ms: 200,
      config_ms: 4000,
      budget_ratio: 0.2,
      budget_window_s: 10,
      budget_slack: 54,
      ttl_max_s: 5,
    },
    platform: {
      address: store,
      form: 'kv',
      writes_per_s: 400,
      reads_per_s: 2000,
      history_s: 20,
      value_bytes: 1048576,
      min_ttl_ms: 1000,
    },
  };
  writeFileSync(settingsPath, JSON.stringify(settings));
  const { LANG, PATH, HOME } = process.env;
  const [program, ...words] = readCommand();
  const child = spawn(program, words, {
    cwd: repository,
    env: { LANG, PATH, HOME, CAMPHORBARROW_NODE_FILE: settingsPath },
    stdio: ['ignore', 'pipe', 'pipe'],
  });
  children.add(child);
  const log = createWriteStream(join(folder, 'log.txt'));
  child.stdout.pipe(log);
  child.stderr.on('data', (text) => record.write('stderr', name, String(text).trim()));
  let exit;
  const exited = new Promise((resolve) => {
    child.on('exit', (code, signal) => {
      children.delete(child);
      exit = { code, signal };
      record.write('exit', name, 'code', code, 'signal', signal);
      resolve(exit);
    });
  });
  return {
    name,
    ip,
    region,
    pid: child.pid,
    front: { host: ip, port: HOST_PORTS.front },
    logPath: join(folder, 'log.txt'),
    exit: () => exit,
    exited,
    signal: (signal) => child.kill(signal),
    async isReady() {
      return new Promise((resolve) => {
        const call = httpRequest(
          { host: ip, port: HOST_PORTS.ready, path: '/api/readiness' },
          (response) => {
            response.resume();
            resolve(response.statusCode === 200);
          },
        );
        call.on('error', () => resolve(false));
        call.end();
      });
    },
    async close() {
      if (exit === undefined) {
        child.kill('SIGCONT');
        child.kill('SIGKILL');
        await exited;
      }
      log.end();
      rmSync(folder, { recursive: true, force: true });
    },
  };
}

export async function waitUntilReady(hosts, timeoutMs = 15_000) {
  const endAtMs = performance.now() + timeoutMs;
  for (;;) {
    const ready = await Promise.all(hosts.map((host) => host.isReady()));
    if (ready.every(Boolean)) {
      return;
    }
    if (performance.now() > endAtMs) {
      throw new Error('The hosts are not ready.');
    }
    await sleep(100);
  }
}

let attemptCount = 0;
export function newAttemptId() {
  attemptCount += 1;
  return `a${process.pid.toString(16)}${attemptCount.toString(16).padStart(8, '0')}`;
}

/** Sends one client attempt; never rejects. `status` is 0 if the channel closed without an answer. */
export function callHost(host, options) {
  const { record, path, method = 'GET', body = '', deadlineMs = 5_000 } = options;
  const attemptId = options.attemptId ?? newAttemptId();
  const sentAtMs = performance.now();
  record.write('sent', attemptId, method, path, 'to', host.name);
  return new Promise((resolve) => {
    const finish = (result) => {
      record.write(
        'answer',
        attemptId,
        result.status,
        result.isComplete ? 'complete' : 'cut',
        result.text.slice(0, 80),
      );
      resolve({ attemptId, sentAtMs, endedAtMs: performance.now(), ...result });
    };
    const call = httpRequest(
      {
        ...host.front,
        agent: options.agent ?? new Agent(),
        method,
        path,
        headers: {
          Host: 'shop.example',
          'Camphorbarrow-Attempt-Id': attemptId,
          'Camphorbarrow-Deadline-Remaining': String(deadlineMs),
          'Content-Length': Buffer.byteLength(body),
          ...options.headers,
        },
      },
      (response) => {
        const chunks = [];
        response.on('data', (chunk) => chunks.push(chunk));
        response.on('error', () => undefined);
        response.on('close', () => {
          finish({
            status: response.statusCode,
            headers: response.headers,
            isComplete: response.complete,
            text: Buffer.concat(chunks).toString(),
          });
        });
      },
    );
    call.on('error', (error) => {
      finish({ status: 0, headers: {}, isComplete: false, text: error.code ?? error.message });
    });
    const timer = setTimeout(() => call.destroy(), deadlineMs);
    call.on('close', () => clearTimeout(timer));
    call.end(body);
  });
}
