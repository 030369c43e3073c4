import type { StandIn } from './StandIn.js';
import type { StandInSettings } from './StandInSettings.js';
import { startEngine } from './engine/startEngine.js';
import { startClientDirectory } from './platform/startClientDirectory.js';
import { startHostList } from './platform/startHostList.js';
import { startKeyValueService } from './platform/startKeyValueService.js';
import { startWeightStore } from './platform/startWeightStore.js';
import { startRelay } from './relay/startRelay.js';
import { startOrderingServer } from './service/startOrderingServer.js';

function start(settings: StandInSettings): Promise<StandIn> {
  const { address, port } = settings;
  switch (settings.kind) {
    case 'engine':
      return startEngine(address, port, settings.options);
    case 'ordering':
      return startOrderingServer(address, port, settings.options);
    case 'hostList':
      return startHostList(address, port, settings.options);
    case 'weightStore':
      return startWeightStore(address, port, settings.options);
    case 'relay':
      return startRelay(address, port, settings.options);
    case 'keyValue':
      return startKeyValueService(address, port);
    case 'clientDirectory':
      return startClientDirectory(address, port);
  }
}

void start(JSON.parse(process.argv[2] ?? '{}') as StandInSettings).then(() =>
  process.stdout.write('ready\n'),
);
