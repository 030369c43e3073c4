import { get } from 'node:http';
import { setTimeout } from 'node:timers';
import { URL } from 'node:url';
import { performance } from 'node:perf_hooks';
import { spawn } from 'node:child_process';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import process from 'node:process';
import { setTimeout as sleep } from 'node:timers/promises';
import { startStore } from './startStore.mjs';

const ROOT = new URL('../../', import.meta.url).pathname;
const START_TIMEOUT_MS = 20_000;
const RESTART_DELAY_MS = 500;
const MAX_OCTET = 250;
const MAX_OUTPUT_LENGTH = 200_000;

const octet = () => 1 + Math.floor(Math.random() * MAX_OCTET);

/** The words of the `run` line of the deploy file. */
function readRunCommand() {
  const text = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
  return /^run = "(.*)"$/m.exec(text)[1].split(' ');
}

function buildSettings({ name, ip, zone, region, zones, store, seeds }) {
  return {
    node_name: name,
    role: 'entry-host',
    machine_class: 'front',
    serves: ['front', 'directory', 'control'],
    ip,
    zone,
    region,
    zones,
    listen_addresses: {
      front: `${ip}:8144`,
      ready: `${ip}:8140`,
      control: `${ip}:8146`,
      directory: `${ip}:8143`,
    },
    internal_ports: [7660, 7675],
    seeds,
    first_boot: true,
    limits: {
      cpu_share: 0.675,
      cpu_cores: 1,
      memory_mb: 350,
      file_descriptors: 4100,
      link_mbps: 1000,
      disk_mb: 0,
    },
    data_directory: null,
    discovery: 'platform',
    entry: 'directory',
    heartbeat_ms: 1200,
    contracts: ['base', 'drain', 'config', 'cost', 'retry', 'recover', 'engine', 'stream'],
    fault_tolerance: { machines: 1, zones: 1, regions: 1 },
    bounds: {
      contact_ms: 6000,
      acknowledge_ms: 8000,
      drain_ms: 4000,
      grace_s: 8,
      config_ms: 4000,
      budget_ratio: 0.2,
      budget_window_s: 10,
      budget_slack: 52,
      cold_over: 1.5,
      cold_slack: 3,
      evacuation_ms: 5000,
    },
    platform: {
      address: store,
      form: 'kv',
      writes_per_s: 400,
      reads_per_s: 2000,
      history_s: 20,
      value_bytes: 1_048_576,
      min_ttl_ms: 1000,
    },
  };
}

/**
 * Starts a store and entry hosts with the command of the deploy file, each on a loopback address of
 * its own. A host that ends by itself is started again, as the platform does.
 *
 * @param options.hosts zone of each entry host
 * @param options.zones region of each zone
 */
export async function startDeployment({ hosts: hostZones, zones, configuration }) {
  const network = `127.${octet()}.${octet()}`;
  const store = await startStore(`${network}.1`);
  store.put('op/config', configuration);
  const folder = mkdtempSync(join(tmpdir(), 'camphorbarrow-review-'));
  const [program, ...words] = readRunCommand();
  const startedAtMs = performance.now();
  let isClosing = false;
  const hosts = hostZones.map((zone, index) => ({
    name: `front-${zone}-${index + 1}`,
    ip: `${network}.${index + 10}`,
    zone,
    region: zones[zone],
    /** Times at which the process ended without a signal of this script. */
    ownEnds: [],
    process: undefined,
    output: '',
  }));

  function start(host) {
    const path = join(folder, `${host.name}.yaml`);
    const seeds = hosts.slice(0, 3).map(({ ip }) => `${ip}:8146`);
    const settings = buildSettings({ ...host, zones, store: store.address, seeds });
    writeFileSync(path, JSON.stringify(settings));
    const { PATH, HOME, LANG } = process.env;
    const child = spawn(program, words, {
      cwd: ROOT,
      env: { PATH, HOME, LANG, CAMPHORBARROW_NODE_FILE: path },
    });
    Object.assign(host, { process: child });
    [child.stdout, child.stderr].forEach((stream) =>
      stream.setEncoding('utf8').on('data', (text) => {
        Object.assign(host, { output: (host.output + text).slice(-MAX_OUTPUT_LENGTH) });
      }),
    );
    child.once('exit', (code, signal) => {
      if (!isClosing && !host.isStopping) {
        host.ownEnds.push({ atMs: performance.now() - startedAtMs, code, signal });
        setTimeout(() => {
          if (!isClosing) {
            start(host);
          }
        }, RESTART_DELAY_MS);
      }
    });
  }

  function isReady({ ip }) {
    return new Promise((resolve) => {
      get(`http://${ip}:8140/api/readiness`, (response) => {
        response.resume();
        resolve(response.statusCode === 200);
      }).on('error', () => resolve(false));
    });
  }

  async function waitUntilReady() {
    const endAtMs = performance.now() + START_TIMEOUT_MS;
    for (;;) {
      const states = await Promise.all(hosts.map(isReady));
      if (states.every(Boolean)) {
        return;
      }
      if (performance.now() > endAtMs) {
        throw new Error('The entry hosts did not become ready.');
      }
      await sleep(100);
    }
  }

  hosts.forEach(start);
  return {
    network,
    store,
    hosts,
    start,
    waitUntilReady,
    async close() {
      isClosing = true;
      const running = hosts.map(({ process: child }) => child);
      running.forEach((child) => child.kill('SIGCONT'));
      running.forEach((child) => child.kill('SIGKILL'));
      await Promise.all(
        running.map(
          (child) =>
            (child.exitCode ?? child.signalCode) !== null ||
            new Promise((resolve) => {
              child.once('exit', resolve);
            }),
        ),
      );
      store.close();
      rmSync(folder, { recursive: true, force: true });
    },
  };
}
