import { request } from 'undici';
import type { Deployment } from '../launcher/Deployment.js';
import type { DeploymentSpec } from '../launcher/DeploymentSpec.js';
import { startDeployment } from '../launcher/startDeployment.js';

const spec: DeploymentSpec = {
  name: 'demo',
  models: ['layout-large'],
  regions: [
    { name: 'sierra-sur', entryHosts: 3, engines: 2, orderingServers: 1 },
    { name: 'sierra-norte', entryHosts: 2, engines: 2, orderingServers: 1 },
    { name: 'costa', entryHosts: 2, engines: 2, orderingServers: 1 },
  ],
  drain: { steerMs: 200 },
};

const print = (line: string): void => {
  process.stdout.write(`${line}\n`);
};

async function streamOnce(deployment: Deployment, hostName: string, key: string): Promise<void> {
  const url = deployment.processes.get(hostName)?.url ?? '';
  const startedMs = performance.now();
  const response = await request(`${url}/v1/chat/completions`, {
    method: 'POST',
    headers: { authorization: `Bearer ${key}`, 'content-type': 'application/json' },
    body: JSON.stringify({
      model: 'layout-large',
      stream: true,
      max_tokens: 8,
      messages: [{ role: 'user', content: 'Suggest an inscription for a commemorative tankard.' }],
    }),
  });
  let firstTokenMs = 0;
  let text = '';
  for await (const chunk of response.body) {
    firstTokenMs ||= performance.now() - startedMs;
    text += String(chunk);
  }
  const complete = text.trimEnd().endsWith('data: [DONE]');
  const totalMs = performance.now() - startedMs;
  print(
    `${hostName.padEnd(15)} ${response.statusCode} first token ${firstTokenMs.toFixed(0)} ms, ` +
      `total ${totalMs.toFixed(0)} ms, ${complete ? 'complete' : 'rejected or incomplete'}`,
  );
}

/**
 * Starts three regions, sends one streamed request through each entry host, shows a home region and
 * a graceful stop, and stops all processes.
 */
export async function runDemo(): Promise<void> {
  print('starting 3 regions ...');
  const deployment = await startDeployment(spec);
  try {
    print(`${deployment.processes.size} processes are ready`);
    for (const [name, { kind }] of deployment.processes) {
      if (kind === 'entryHost') {
        await streamOnce(deployment, name, deployment.customerKey);
      }
    }
    print('a request with home region costa, sent to sierra-sur:');
    await streamOnce(
      deployment,
      'sierra-sur-1',
      deployment.customerKeysByRegion.get('costa') ?? '',
    );
    print('the same request, sent to costa:');
    await streamOnce(deployment, 'costa-1', deployment.customerKeysByRegion.get('costa') ?? '');
    print('stopping costa-1 gracefully ...');
    const stopped = deployment.processes.get('costa-1')?.process;
    stopped?.signal('SIGTERM');
    print(`costa-1 exited with code ${await stopped?.exited()}`);
  } finally {
    await deployment.close();
  }
  print('all processes stopped');
}
